"""Backend servers that send bytes without end, on real processes: many at once, beside sound requests."""

import concurrent.futures
import http.client
import os
import socket
import threading
import time

from catalog_fleet import CatalogFleet
from catalog_stand_ins import BackendServer, configuration
from endless_backend_server import ENDLESS_BODIES, FORMS, EndlessBackendServer
from processes import wait_until
from test_slow_peers import send_all

ENTRY, OWNER = "127.0.0.2", "127.0.0.3"
BOTH = (ENTRY, OWNER)
ROUTES = [("/scan/", "upload", "ledger"), ("/photos/", "download", "ledger"), ("/balance/", "safe", "ledger"),
          ("/history/", "safe", "casefile"), ("/filing/", "unsafe", "casefile")]
TIMEOUT_SECONDS = 2.0
ANSWER_SLACK_SECONDS = 0.5  # After the time limit of a route.
UPLOAD_BYTES = 300_000
PROMISES = (408, 421, 429, 503)  # Each says: not run, and never will be.
# What a node may hold of the answers: a header section or framing, a retained body and a streamed piece of each one
# that is served at a time, and what its allocator keeps besides.
GROWTH_KB_EACH, GROWTH_KB = 256, 8_192
SOUND_CALLERS = 6  # At each node.
SLOW_CALLERS = 20  # At each node.
SLOW_READ_BYTES, SLOW_READ_SECONDS = 1_024, 0.25
# Of a caller that reads all that comes: what it has not read yet is not the node's to end.
RECEIVE_BUFFER_BYTES = 65_536


class SoundCallers:
    """Callers of the sound service at each node, until stop()."""

    def __init__(self, test):
        self.statuses = []
        self._test = test
        self._is_over = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(vm, number), daemon=True)
                         for vm in BOTH for number in range(SOUND_CALLERS)]
        for thread in self._threads:
            thread.start()

    def _run(self, vm, number):
        path, method = (("/history/1", "GET"), ("/filing/1", "POST"))[number % 2]
        while not self._is_over.is_set():
            try:
                self.statuses.append(self._test.call(vm, path, method, "cash" if method == "POST" else None)[0])
            except (OSError, http.client.HTTPException) as failure:
                self.statuses.append(type(failure).__name__)

    def stop(self):
        self._is_over.set()
        for thread in self._threads:
            thread.join(5)


class EndlessAnswersTest(CatalogFleet):
    """The only upstream of `ledger` answers without end; requests come from its own VM and from another one."""

    vms = {ENTRY: ("hall-a", "casefile"), OWNER: ("hall-a", "ledger")}

    def make_backend(self, identity, address, service):
        kind = EndlessBackendServer if service == "ledger" else BackendServer
        return kind(identity, address, service)

    def setUp(self):
        super().setUp()
        document = configuration(4, ROUTES, timeout=f"{TIMEOUT_SECONDS}s", target_latency="1s")
        document["limits"]["max-body-bytes"] = 1 << 20
        self.store.write("op/config", document)
        time.sleep(2.0)
        self.endless = self.backends[OWNER]

    def connect(self, vm, receive_buffer=None):
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.settimeout(2 * TIMEOUT_SECONDS)
        connection.connect((vm, int(self.ports["caller"])))
        return connection

    def ask(self, vm, method, path, body=b"", framing="length"):
        """Returns id, status (0 if there was no whole answer) and seconds taken."""
        request_id = os.urandom(8).hex()
        length = "Transfer-Encoding: chunked" if framing == "chunked" else f"Content-Length: {len(body)}"
        head = (f"{method} {path} HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {int(TIMEOUT_SECONDS * 1000)}\r\n{length}\r\n\r\n").encode()
        if framing == "chunked":
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        began = time.monotonic()
        status = 0
        with self.connect(vm, receive_buffer=RECEIVE_BUFFER_BYTES) as connection:
            threading.Thread(target=send_all, args=(connection, head + body), daemon=True).start()
            try:
                answer = http.client.HTTPResponse(connection, method=method)
                answer.begin()
                while answer.read(65_536):
                    pass
                status = answer.status if not answer.length else 0
            except (OSError, http.client.HTTPException):
                pass
        return request_id, status, time.monotonic() - began

    def check_endless(self, asked):
        """Asks all at once, beside sound requests."""
        before = {vm: self.memory_kb(vm, "VmRSS") for vm in BOTH}
        sound = SoundCallers(self)
        time.sleep(0.5)
        with concurrent.futures.ThreadPoolExecutor(len(asked)) as pool:
            ended = list(pool.map(lambda arguments: self.ask(*arguments), asked))
        sound.stop()
        ran = {request_id for request_id, _, _ in self.endless.ran}
        self.assertGreater(len(ran), len(asked) // 2)
        for arguments, (request_id, status, seconds) in zip(asked, ended):
            with self.subTest(vm=arguments[0], method=arguments[1], path=arguments[2]):
                self.assertLess(seconds, TIMEOUT_SECONDS + ANSWER_SLACK_SECONDS)
                self.assertTrue(status == 0 or status >= 500, status)
                self.assertFalse(request_id in ran and status in PROMISES, status)
        self.check_released()
        self.assertGreater(len(sound.statuses), 100)
        self.assertEqual({each for each in sound.statuses if each != 200}, set())
        for vm, node in self.nodes.items():
            self.assertIsNone(node.poll())
            grown = self.memory_kb(vm, "VmHWM") - before[vm]
            self.assertLess(grown, GROWTH_KB + GROWTH_KB_EACH * len(asked), vm)

    def check_released(self):
        """The backend server was held no longer than the route allows."""
        wait_until("all endless answers have ended", lambda: self.endless.sending == 0, 10)
        longest = max(ended - began for began, ended in self.endless.endless)
        self.assertLess(longest, TIMEOUT_SECONDS + ANSWER_SLACK_SECONDS)

    # Guards against nodes that hold or pass on an answer for as long as it comes.
    def test_answers_without_end_are_ended(self):
        self.check_endless([(vm, "GET", f"{prefix}endless-{form}")
                            for vm in BOTH for prefix in ("/balance/", "/photos/") for form in FORMS])

    # The same while the body of the request is on its way, read or not.
    def test_answers_without_end_are_ended_beside_their_uploads(self):
        body = b"x" * UPLOAD_BYTES
        self.check_endless([(vm, "POST", f"/scan/{kind}-{form}", body, framing)
                            for vm in BOTH for form in FORMS
                            for kind, framing in (("endless", "length"), ("early", "length"), ("early", "chunked"))])

    # Guards against a caller that reads slowly, and so holds a slot and a connection of the backend server for longer
    # than its route allows.
    def test_slow_callers_do_not_keep_them_going(self):
        before = {vm: self.memory_kb(vm, "VmRSS") for vm in BOTH}
        sound = SoundCallers(self)
        forms = [list(ENDLESS_BODIES)[number % len(ENDLESS_BODIES)] for number in range(SLOW_CALLERS)]
        threads = [threading.Thread(target=self.read_slowly, args=(vm, f"/photos/endless-{form}"), daemon=True)
                   for vm in BOTH for form in forms]
        for thread in threads:
            thread.start()
        wait_until("they are being sent", lambda: self.endless.sending == len(threads), TIMEOUT_SECONDS)
        self.check_released()
        sound.stop()
        self.assertEqual({each for each in sound.statuses if each != 200}, set())
        for vm in BOTH:
            grown = self.memory_kb(vm, "VmHWM") - before[vm]
            self.assertLess(grown, GROWTH_KB + GROWTH_KB_EACH * len(threads), vm)

    def read_slowly(self, vm, path):
        with self.connect(vm, receive_buffer=4_096) as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: {os.urandom(8).hex()}\r\n"
                               f"X-Deadline-Ms: {int(TIMEOUT_SECONDS * 1000)}\r\n\r\n".encode())
            try:
                while connection.recv(SLOW_READ_BYTES):
                    time.sleep(SLOW_READ_SECONDS)
            except OSError:
                pass  # Cut by the node.
