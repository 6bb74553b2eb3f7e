"""Backend servers that are slow to read or to write, on real processes: only a request's own time ends it."""

import concurrent.futures
import http.client
import os
import signal
import socket
import threading
import time

from catalog_fleet import CatalogFleet
from catalog_stand_ins import BackendServer, configuration
from slow_backend_server import LONG_ANSWER_BYTES, SlowBackendServer

ENTRY, OWNER = "127.0.0.2", "127.0.0.3"
ROUTES = [("/scan/", "upload", "ledger"), ("/photos/", "download", "ledger"), ("/balance/", "safe", "ledger"),
          ("/history/", "safe", "casefile")]
TIMEOUT_SECONDS = 10.0
ANSWER_SLACK_SECONDS = 0.5  # After the time limit of a route.
MAY_HAVE_RUN = (502, 504)  # What a node answers in place of a backend server that works on the request.
BOTH = (ENTRY, OWNER)


def send_all(connection, content):
    try:
        connection.sendall(content)
    except OSError:
        pass  # The answer tells.


class SlowPeersFleet(CatalogFleet):
    """The only upstream of `ledger` is slow; requests come from its own VM and from another one."""

    vms = {ENTRY: ("hall-a", "casefile"), OWNER: ("hall-a", "ledger")}

    def make_backend(self, identity, address, service):
        kind = SlowBackendServer if service == "ledger" else BackendServer
        return kind(identity, address, service)

    def configure(self, version, timeout_seconds):
        document = configuration(version, ROUTES, timeout=f"{timeout_seconds}s", target_latency="5s")
        document["limits"]["max-body-bytes"] = 16 << 20
        self.store.write("op/config", document)
        time.sleep(2.0)


class SlowPeersTest(SlowPeersFleet):
    def ask(self, vm, method, path, body=b""):
        """Returns status, length of the answer and seconds taken; status 0 if it was not whole."""
        head = (f"{method} {path} HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: {os.urandom(8).hex()}\r\n"
                f"X-Deadline-Ms: {int(TIMEOUT_SECONDS * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n")
        began = time.monotonic()
        with socket.create_connection((vm, int(self.ports["caller"])), timeout=2 * TIMEOUT_SECONDS) as connection:
            # An answer may come while the body is still being sent.
            threading.Thread(target=send_all, args=(connection, head.encode() + body), daemon=True).start()
            try:
                answer = http.client.HTTPResponse(connection, method=method)
                answer.begin()
                return answer.status, len(answer.read()), time.monotonic() - began
            except (OSError, http.client.HTTPException):
                return 0, 0, time.monotonic() - began

    def ask_at_once(self, count, *arguments):
        with concurrent.futures.ThreadPoolExecutor(2 * count) as pool:
            asked = [pool.submit(self.ask, vm, *arguments) for vm in BOTH for _ in range(count)]
            return [each.result() for each in asked]

    # Guards against a connection that is ended because its peer, which is alive, closes its window for a second.
    def test_an_upload_that_is_read_slowly_is_not_broken_off(self):
        self.configure(5, TIMEOUT_SECONDS)
        for status, _, _ in self.ask_at_once(3, "POST", "/scan/read-60000", b"x" * 240_000):
            self.assertEqual(status, 200)

    # Guards against an answer that is ended by a time limit of its pieces though its request has time left.
    def test_an_answer_that_pauses_is_not_broken_off(self):
        self.configure(5, TIMEOUT_SECONDS)
        for status, length, _ in self.ask_at_once(3, "GET", "/photos/pause-6"):
            self.assertEqual((status, length), (200, LONG_ANSWER_BYTES))

    # Guards against a request that is held past its route's time limit, as its body has a time limit of its own.
    def test_an_upload_that_is_not_read_in_time_is_answered_in_time(self):
        self.configure(5, 2)
        for status, _, seconds in self.ask_at_once(3, "POST", "/scan/read-500000", b"x" * 8_000_000):
            self.assertIn(status, MAY_HAVE_RUN)
            self.assertLess(seconds, 2 + ANSWER_SLACK_SECONDS)

    # Guards against lookups that run behind a long answer, and get none when it breaks off.
    def test_nothing_is_passed_on_behind_an_answer_that_may_break_off(self):
        self.configure(5, TIMEOUT_SECONDS)
        for vm in BOTH:
            name = os.urandom(8).hex()
            self.ask_behind(vm, name, "/photos/break-1", "/history/1")  # Until the connection ends.
            self.assertNotIn(f"{name}-1", [ran[0] for backend in self.backends.values() for ran in backend.ran])

    # The same on a route whose answers were short so far.
    def test_what_runs_behind_an_answer_that_breaks_off_is_answered(self):
        self.configure(5, TIMEOUT_SECONDS)
        for vm in BOTH:
            name = os.urandom(8).hex()
            awaited = f"{name}-1 of ".encode()
            answers = self.ask_behind(vm, name, "/balance/break-1", "/history/1", awaited=awaited)
            self.assertIn(f"{name}-1", [ran[0] for backend in self.backends.values() for ran in backend.ran])
            self.assertTrue(awaited in answers, "what ran got no answer")

    def ask_behind(self, vm, name, *paths, awaited=None):
        """Sends all at once; returns what comes until `awaited` has, or the connection ends."""
        requests = "".join(
            f"GET {path} HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: {name}-{number}\r\n"
            f"X-Deadline-Ms: 8000\r\n\r\n" for number, path in enumerate(paths))
        answers = b""
        with socket.create_connection((vm, int(self.ports["caller"])), timeout=TIMEOUT_SECONDS) as connection:
            connection.sendall(requests.encode())
            try:
                while not (awaited and awaited in answers) and (piece := connection.recv(65536)):
                    answers += piece
            except ConnectionResetError:
                pass
        return answers


class SlowReaderAtAStopTest(SlowPeersFleet):
    grace_seconds = 3.0

    def write_settings(self, vm, domain, service, store_address, **more):
        super().write_settings(vm, domain, service, store_address,
                               **{"drain_grace": f"{self.grace_seconds}s", **more})

    # Guards against an answer that is cut at the end of a planned stop, though its backend server has made it.
    def test_an_answer_outlasts_the_grace_period_of_its_entry(self):
        self.check_slow_reader(self.nodes[ENTRY])

    def test_an_answer_outlasts_the_grace_period_of_its_owner(self):
        self.check_slow_reader(self.nodes[OWNER])

    def check_slow_reader(self, node):
        self.configure(5, TIMEOUT_SECONDS)
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            # Segments as on a network: with those of the loopback, the kernel would buffer all of it anyway.
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
            connection.settimeout(TIMEOUT_SECONDS)
            connection.connect((ENTRY, int(self.ports["caller"])))
            connection.sendall(f"GET /photos/pause-0 HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: "
                               f"{os.urandom(8).hex()}\r\nX-Deadline-Ms: 9000\r\n\r\n".encode())
            answer = connection.recv(1_024)
            node.send_signal(signal.SIGTERM)
            node.wait(self.grace_seconds)
            while len(answer.partition(b"\r\n\r\n")[2]) < LONG_ANSWER_BYTES and (piece := connection.recv(65_536)):
                answer += piece
        self.assertEqual(len(answer.partition(b"\r\n\r\n")[2]), LONG_ANSWER_BYTES)
