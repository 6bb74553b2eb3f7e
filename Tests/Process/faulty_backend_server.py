"""A backend server that breaks the protocol in the way that the last part of a request's path names."""

import re
import socket
import struct
import threading
import time

WORK_SECONDS = 0.1
COPY_SECONDS = 0.02  # From an answer to its second copy.


class FaultyBackendServer:
    """One start of a backend server. What it does, by the last part of the path:

    refuse-twice            refuses the request, and does so once more a little later
    refuse-before-next      refuses it; the second copy is written just before the answer to the next request
    refuse-unnamed          the same, and the second copy names no request
    cut-N, reset-N          runs the request and writes the first N bytes of its answer, then closes or resets
    anything else           runs the request and answers
    """

    def __init__(self, identity, address, service):
        self.identity, self.address, self.service = identity, address, service
        self.ran = []  # Of each request: id, caller service, when.
        host, port = address.split(":")
        self._listener = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, zone, state="ready"):
        return {"service": self.service, "address": self.address, "zone": zone, "config-version": "v1", "slots": 8,
                "state": state, "cold-remaining": "0ms", "seq": 1}

    def stop(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def whole_answer(self, request_id):
        body = f"{request_id} of ".encode()
        head = (f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.identity}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Response-Stamp: {self.identity}\r\nContent-Length: {len(body)}\r\n\r\n")
        return head.encode() + body

    def _accept(self):
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(accepted,), daemon=True).start()

    def _serve(self, accepted):
        owed = b""  # Written before the next answer.
        try:
            with accepted, accepted.makefile("rb") as stream:
                while True:
                    request = self._read(stream)
                    if request is None:
                        return
                    owed = self._answer(accepted, *request, owed)
                    if owed is None:
                        return
        except OSError:
            pass

    def _read(self, stream):
        line = stream.readline().decode()
        if not line:
            return None
        fields = {}
        while (field := stream.readline().decode().strip()):
            name, _, value = field.partition(":")
            fields[name.lower()] = value.strip()
        behaviour = line.split(" ")[1].rpartition("/")[2]
        self._read_body(stream, int(fields.get("content-length", 0)), behaviour)
        return behaviour, fields

    def _read_body(self, stream, length, _behaviour):
        stream.read(length)

    def _answer(self, accepted, behaviour, fields, owed):
        """Returns what is to be written before the next answer; None at the end of the connection."""
        request_id = fields.get("x-request-id", "")
        named = f"X-Request-Id: {request_id}\r\n"
        refusal = f"HTTP/1.1 503 Busy\r\nX-Instance-Id: {self.identity}\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        if not behaviour.startswith("refuse-"):
            self.ran.append((request_id, fields.get("x-caller-service"), time.monotonic()))
        accepted.sendall(owed)
        if behaviour.startswith("refuse-"):
            accepted.sendall((refusal % named).encode())
            if behaviour == "refuse-twice":
                time.sleep(COPY_SECONDS)
                accepted.sendall((refusal % named).encode())
                return b""
            return (refusal % ("" if behaviour == "refuse-unnamed" else named)).encode()
        cut = re.fullmatch(r"(cut|reset)-(\d+)", behaviour)
        if cut:
            accepted.sendall(self.whole_answer(request_id)[:int(cut.group(2))])
            if cut.group(1) == "reset":
                time.sleep(COPY_SECONDS)  # What was written arrives before the reset.
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return None
        time.sleep(WORK_SECONDS)
        accepted.sendall(self.whole_answer(request_id))
        return b""
