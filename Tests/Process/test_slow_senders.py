"""Callers that are slow to send a long body, on real processes: they are answered at their route's time limit."""

import concurrent.futures
import http.client
import os
import socket
import threading
import time

from test_slow_peers import ANSWER_SLACK_SECONDS, BOTH, MAY_HAVE_RUN, SlowPeersFleet

BODY_BYTES, PIECE_BYTES, BYTES_A_SECOND = 1_000_000, 20_000, 100_000
LIMIT_SECONDS = 2


class SlowSendersTest(SlowPeersFleet):
    # Guards against a connection that is closed without an answer at the time limit, as its body has not arrived.
    def test_an_upload_that_is_not_sent_in_time_is_answered_in_time(self):
        self.configure(5, LIMIT_SECONDS)
        with concurrent.futures.ThreadPoolExecutor(len(BOTH)) as pool:
            for status, seconds in pool.map(self.send_slowly, BOTH):
                self.assertIn(status, MAY_HAVE_RUN)
                self.assertLess(seconds, LIMIT_SECONDS + ANSWER_SLACK_SECONDS)

    def send_slowly(self, vm):
        """Returns the status, 0 if there was none, and the seconds taken."""
        began = time.monotonic()
        with socket.create_connection((vm, int(self.ports["caller"])), timeout=10) as connection:
            threading.Thread(target=write_slowly, args=(connection,), daemon=True).start()
            try:
                answer = http.client.HTTPResponse(connection, method="POST")
                answer.begin()
                return answer.status, time.monotonic() - began
            except (OSError, http.client.HTTPException):
                return 0, time.monotonic() - began


def write_slowly(connection):
    head = (f"POST /scan/read-10000000 HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: {os.urandom(8).hex()}\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n")
    try:
        connection.sendall(head.encode())
        for _ in range(BODY_BYTES // PIECE_BYTES):
            connection.sendall(b"x" * PIECE_BYTES)
            time.sleep(PIECE_BYTES / BYTES_A_SECOND)
    except OSError:
        pass  # The answer tells.
