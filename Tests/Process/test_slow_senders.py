"""Callers that are slow to send a body, on real processes: only the time of their request ends it, with an answer."""

import concurrent.futures
import http.client
import os
import socket
import threading
import time

from test_slow_peers import ANSWER_SLACK_SECONDS, BOTH, MAY_HAVE_RUN, TIMEOUT_SECONDS, SlowPeersFleet

LIMIT_SECONDS = 2
LONG_BODY_BYTES, SHORT_BODY_BYTES = 1_000_000, 40_000  # Longer and shorter than what a node holds for a retry.
SEND_SECONDS = 10
NOT_RUN = (408, 503)


class SlowSendersTest(SlowPeersFleet):
    # Guards against a connection that is closed without an answer at the time limit, as its body has not arrived.
    def test_an_upload_that_is_not_sent_in_time_is_answered_in_time(self):
        self.configure(5, LIMIT_SECONDS)
        for status, seconds in self.send_from_both(LONG_BODY_BYTES, evenly):
            self.assertIn(status, MAY_HAVE_RUN)
            self.assertLess(seconds, LIMIT_SECONDS + ANSWER_SLACK_SECONDS)

    # The same for a body that is held until it is whole: nothing of it was passed on.
    def test_a_short_body_that_is_not_sent_in_time_is_refused_in_time(self):
        self.configure(5, LIMIT_SECONDS)
        for status, seconds in self.send_from_both(SHORT_BODY_BYTES, evenly):
            self.assertIn(status, NOT_RUN)
            self.assertLess(seconds, LIMIT_SECONDS + ANSWER_SLACK_SECONDS)
        self.assertEqual([backend.ran for backend in self.backends.values() if backend.service == "ledger"], [[]])

    # Guards against a time limit of the pieces of a body, while their request has time left.
    def test_an_upload_whose_sender_pauses_is_not_broken_off(self):
        self.configure(5, TIMEOUT_SECONDS)
        for length in (LONG_BODY_BYTES, SHORT_BODY_BYTES):
            for status, _ in self.send_from_both(length, with_a_pause):
                self.assertEqual(status, 200)

    def send_from_both(self, length, pieces):
        with concurrent.futures.ThreadPoolExecutor(len(BOTH)) as pool:
            return list(pool.map(lambda vm: self.send_slowly(vm, length, pieces), BOTH))

    def send_slowly(self, vm, length, pieces):
        """Returns the status, 0 if there was none, and the seconds taken."""
        began = time.monotonic()
        with socket.create_connection((vm, int(self.ports["caller"])), timeout=TIMEOUT_SECONDS + 2) as connection:
            threading.Thread(target=write_slowly, args=(connection, length, pieces), daemon=True).start()
            try:
                answer = http.client.HTTPResponse(connection, method="POST")
                answer.begin()
                return answer.status, time.monotonic() - began
            except (OSError, http.client.HTTPException):
                return 0, time.monotonic() - began


def evenly(length):
    """Pieces of a body, each with the seconds until the next one."""
    return [(length // 50, SEND_SECONDS / 50)] * 50


def with_a_pause(length):
    return [(length // 2, 6.0), (length - length // 2, 0.0)]


def write_slowly(connection, length, pieces):
    head = (f"POST /scan/read-10000000 HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: {os.urandom(8).hex()}\r\n"
            f"Content-Length: {length}\r\n\r\n")
    try:
        connection.sendall(head.encode())
        for count, pause in pieces(length):
            connection.sendall(b"x" * count)
            time.sleep(pause)
    except OSError:
        pass  # The answer tells.
