"""Callers of a node that is told to stop, and what a planned stop may not do to their requests."""

import dataclasses
import http.client
import random
import socket
import threading
import time

from shared_reader import SharedReader

DEADLINE_SECONDS = 12.0  # Longer than any grace period here.
LOSS_SLACK_SECONDS = 0.2
LAST_EXCUSED_SECONDS = 3.0  # After the signal: a request sent later may not be cut at the end of the grace period.
PIPELINED_REQUESTS = 4
OWN_FAILURES = (502, 504)
PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass
class Request:
    """One request of a caller, and how it ended."""
    request_id: str
    method: str
    work_seconds: float
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0  # 0: no complete answer.
    stamp: str = ""
    failure: str = ""
    is_behind: bool = False  # Sent behind another that was not answered yet.


class Callers:
    """Callers at one node that use kept, new and pipelined connections until stop()."""

    def __init__(self, address, paths, work_seconds, per_way=4):
        self._address, self._paths, self._work_seconds = address, paths, work_seconds
        self.requests = []  # Appends are atomic.
        self._is_stopped = threading.Event()
        ways = (self._use_kept, self._use_new, self._pipeline)
        self._threads = [threading.Thread(target=way, args=(random.Random(f"{way.__name__} {number}"),), daemon=True)
                         for way in ways for number in range(per_way)]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(DEADLINE_SECONDS + 2)

    def _next(self, chance, is_safe_only=False):
        prefix, method = chance.choice([each for each in self._paths if not is_safe_only or each[1] == "GET"])
        work = chance.choice(self._work_seconds)
        return Request(f"{chance.getrandbits(64):016x}", method, work), f"{prefix}{work}"

    def _use_new(self, chance):
        while not self._is_stopped.wait(chance.uniform(0.02, 0.2)):
            connection = self._send(None, *self._next(chance))
            if connection is not None:
                connection.close()

    def _use_kept(self, chance):
        connection = None
        while not self._is_stopped.wait(chance.uniform(0.0, 0.1)):
            connection = self._send(connection, *self._next(chance))

    def _send(self, connection, request, path):
        """Sends one request; returns the connection if it is kept."""
        request.sent = time.monotonic()
        try:
            if connection is None:
                connection = http.client.HTTPConnection(*self._address, timeout=DEADLINE_SECONDS + 1)
                connection.connect()
            request.sent = time.monotonic()
            connection.request(request.method, path, "cash" if request.method == "POST" else None,
                               headers_of(request))
            read_answer(request, connection.getresponse())
            if request.failure or connection.sock is None:
                connection.close()
                connection = None
        except (OSError, http.client.HTTPException) as failure:
            request.failure = type(failure).__name__
            connection.close()
            connection = None
        request.ended = time.monotonic()
        self.requests.append(request)
        return connection

    def _pipeline(self, chance):
        while not self._is_stopped.wait(chance.uniform(0.0, 0.2)):
            asked = [self._next(chance, is_safe_only=True) for _ in range(PIPELINED_REQUESTS)]
            self._send_at_once([request for request, _ in asked], [path for _, path in asked])

    def _send_at_once(self, requests, paths):
        text = "".join(f"GET {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in
                                                          headers_of(request).items()) + "\r\n"
                       for request, path in zip(requests, paths))
        answered = 0
        try:
            with socket.create_connection(self._address, timeout=DEADLINE_SECONDS + 1) as connection:
                for number, request in enumerate(requests):
                    request.sent, request.is_behind = time.monotonic(), number > 0
                connection.sendall(text.encode())
                reader = SharedReader(connection)
                for request in requests:
                    answer = http.client.HTTPResponse(reader, method="GET")
                    answer.begin()
                    read_answer(request, answer)
                    request.ended = time.monotonic()
                    answered += 1
        except (OSError, http.client.HTTPException) as failure:
            for request in requests[answered:]:
                request.failure, request.ended = type(failure).__name__, time.monotonic()
        self.requests.extend(requests)


def headers_of(request):
    return {"Host": "mesh.example", "X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
            "X-Request-Id": request.request_id}


def read_answer(request, answer):
    answer.read()
    request.status = answer.status
    request.stamp = answer.getheader("X-Response-Stamp", "")


def breaches(requests, runs, stopped_at, grace):
    """A line for each request that a planned stop harmed. `runs` tells by id when a request began to run."""
    for each in requests:
        began = runs.get(each.request_id)
        if each.method == "POST" and began is not None and each.status in PROMISES:
            yield f"REFUSED: {each} ran"
        is_cut = each.status == 0 and each.failure != "ConnectionRefusedError"
        is_broken_off = each.status in OWN_FAILURES and not each.stamp and began is not None
        if not (is_cut or is_broken_off) or each.ended < stopped_at:
            continue
        # Nothing was at work on it. It was read, unless its connection was reset.
        if began is None:
            is_read = not each.is_behind and each.failure not in ("ConnectionResetError", "BrokenPipeError")
            if is_read and each.ended - each.sent > LOSS_SLACK_SECONDS:
                yield f"LOST: {describe(each, stopped_at)}, reached no backend server"
            continue
        is_excused = (each.sent <= stopped_at + LAST_EXCUSED_SECONDS and
                      began + each.work_seconds >= stopped_at + grace * 5 / 6)
        if not is_excused:
            yield f"LOST: {describe(each, stopped_at)}, ran from {began - stopped_at:.3f} s on"


def describe(request, stopped_at):
    return (f"{request.method} {request.request_id} of {request.work_seconds} s of work, sent at "
            f"{request.sent - stopped_at:.3f} s, ended with {request.failure or request.status} at "
            f"{request.ended - stopped_at:.3f} s")
