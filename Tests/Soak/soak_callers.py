"""Callers of a soak: each keeps its connections and uses them until the process is gone."""

import dataclasses
import http.client
import pathlib
import random
import select
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "Process"))

from shared_reader import SharedReader  # noqa: E402

DEADLINE_SECONDS = 1.5
PIPELINING_SHARE = 0.1
PIPELINED_REQUESTS = 6
KINDS = (("GET", "/balance/7"), ("POST", "/posting/7"), ("GET", "/history/7"))


@dataclasses.dataclass
class Attempt:
    """One request of a caller at one node, and how it ended."""
    request_id: str
    method: str
    node: int
    sent: float
    path: str = ""
    ended: float = 0.0
    status: int = 0  # 0: no complete answer.
    is_own: bool = False  # The whole body, for this request.
    stamp: str = ""
    is_limit_named: bool = False
    is_leaving_stated: bool = False
    failure: str = ""
    is_kept: bool = False  # Sent on a connection that had carried others.
    is_behind: bool = False  # Sent behind another that was not answered yet.
    answer_id: str = ""  # The request that the answer names.


class Callers:
    """Some callers at each node, until stop()."""

    def __init__(self, fleet, seed, callers_per_node=2, pause=0.04):
        self.fleet, self.pause = fleet, pause
        self.attempts = []  # Appends are atomic.
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(f"{seed}-{number}", node), daemon=True)
            for node in fleet.nodes for number in range(callers_per_node)]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(6)

    def _run(self, seed, node):
        chance = random.Random(f"{seed}-{node.number}")
        connection = None
        count = 0
        while not self._is_stopped.is_set():
            count += 1
            if chance.random() < PIPELINING_SHARE:
                ids = [f"{node.number}.{seed}.{count}p{number}" for number in range(PIPELINED_REQUESTS)]
                self.attempts.extend(send_pipelined(node, "/balance/7", ids))
                continue
            method, path = KINDS[chance.randrange(len(KINDS))]
            if chance.random() < 0.1:
                method, path = "GET", f"/version-{self.fleet.version}/"
            request_id = f"{node.number}.{seed}.{count}"
            attempt, connection = send(node, connection, method, path, request_id)
            self.attempts.append(attempt)
            self._is_stopped.wait(chance.uniform(0, 2 * self.pause))


def send(node, connection, method, path, request_id, body=None):
    """Sends one request; returns how it ended, and the connection if it is kept."""
    attempt = Attempt(request_id, method, node.number, time.monotonic(), path)
    if connection is not None and select.select([connection.sock], [], [], 0)[0]:
        connection.close()
        connection = None
    attempt.is_kept = connection is not None
    body = body or (f"of-{request_id}" if method == "POST" else None)
    try:
        if connection is None:
            connection = http.client.HTTPConnection(node.vm, int(node.ports["caller"]), timeout=4)
            connection.connect()
        attempt.sent = time.monotonic()
        connection.request(method, path, body, {
            "Host": "mesh.example", "X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)), "X-Request-Id": request_id})
        answer = connection.getresponse()
        note_answer(attempt, answer, body)
        if answer.will_close:
            connection.close()
            connection = None
    except (OSError, http.client.HTTPException) as failure:
        attempt.failure = type(failure).__name__
        connection.close()
        connection = None
    attempt.ended = time.monotonic()
    return attempt, connection


def note_answer(attempt, answer, body=None):
    got = answer.read()
    attempt.status = answer.status
    attempt.stamp = answer.getheader("X-Response-Stamp", "")
    attempt.answer_id = answer.getheader("X-Request-Id", "")
    attempt.is_own = got == f"{attempt.request_id} of {body or ''}".encode() and (
        attempt.answer_id == attempt.request_id)
    attempt.is_limit_named = answer.getheader("Server-Limit") is not None
    attempt.is_leaving_stated = answer.getheader("Server-Leaving") is not None


def send_pipelined(node, path, request_ids):
    """Sends lookups at once on a connection of their own; returns how each ended."""
    attempts = [Attempt(each, "GET", node.number, time.monotonic(), path, is_behind=each != request_ids[0])
                for each in request_ids]
    text = "".join(f"GET {path} HTTP/1.1\r\nHost: mesh.example\r\nX-Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n"
                   f"X-Request-Id: {each}\r\n\r\n" for each in request_ids)
    current = 0
    try:
        with socket.create_connection((node.vm, int(node.ports["caller"])), timeout=4) as connection:
            connection.sendall(text.encode())
            reader = SharedReader(connection)
            for current, attempt in enumerate(attempts):
                answer = http.client.HTTPResponse(reader, method="GET")
                answer.begin()
                note_answer(attempt, answer)
                attempt.ended = time.monotonic()
                if answer.getheader("Connection", "").lower() == "close":
                    raise ConnectionResetError
    except (OSError, http.client.HTTPException) as failure:
        for attempt in attempts[current:]:
            attempt.failure = attempt.failure if attempt.status else type(failure).__name__
            attempt.ended = attempt.ended or time.monotonic()
    return attempts
