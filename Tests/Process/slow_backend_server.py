"""A backend server that is slow to read or to write, in the way that the last part of a request's path names."""

import socket
import time

from faulty_backend_server import FaultyBackendServer

LONG_ANSWER_BYTES = 200_000  # More than a node holds of an answer before it passes it on.
RECEIVE_BUFFER_BYTES = 32_768
READ_BYTES = 4_096


class SlowBackendServer(FaultyBackendServer):
    """One start of a backend server. What it does, by the last part of the path:

    read-N          reads the body at N bytes a second, and answers
    pause-S         writes half of a long answer, pauses for S seconds, and writes the rest
    break-S         writes half of a long answer, pauses for S seconds, and breaks off
    anything else   as its base class
    """

    def __init__(self, identity, address, service):
        super().__init__(identity, address, service)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def _read_body(self, stream, length, behaviour):
        kind, _, rate = behaviour.partition("-")
        if kind != "read":
            super()._read_body(stream, length, behaviour)
            return
        while length > 0:
            count = len(stream.read(min(READ_BYTES, length)))
            if count == 0:
                raise ConnectionResetError
            length -= count
            time.sleep(count / float(rate))

    def _answer(self, accepted, behaviour, fields, owed):
        kind, _, seconds = behaviour.partition("-")
        if kind not in ("pause", "break"):
            return super()._answer(accepted, behaviour, fields, owed)
        request_id = fields["x-request-id"]
        self.ran.append((request_id, fields.get("x-caller-service"), time.monotonic()))
        half = b"x" * (LONG_ANSWER_BYTES // 2)
        accepted.sendall(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.identity}\r\nX-Request-Id: {request_id}\r\n"
                         f"X-Response-Stamp: {self.identity}\r\nContent-Length: {2 * len(half)}\r\n\r\n".encode() + half)
        time.sleep(float(seconds))
        if kind == "break":
            return None
        accepted.sendall(half)
        return b""
