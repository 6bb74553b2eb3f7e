"""The fleet of a soak: real nodes, one store with a front for each node, and backend servers that misbehave on request."""

import concurrent.futures
import http.client
import json
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "Process"))

from catalog_stand_ins import Answering, Server, Store, answer_from_store, configuration  # noqa: E402
from processes import PROGRAMS, Ports, Process  # noqa: E402

SERVICES = ("ledger", "casefile")
DOMAINS = ("hall-a", "hall-b", "hall-c")
ROUTES = [("/balance/", "safe", "ledger"), ("/posting/", "unsafe", "ledger"), ("/history/", "safe", "casefile")]
# A backend server crashes when it begins to run a request with such a body; what follows tells one from another.
LETHAL = b"lethal-"


class StoreFront:
    """One node's way to the store, which can fail for this node alone."""

    def __init__(self, address, store):
        self.fault = None  # None, "busy", "silent", "reset" or "slow".
        front = self

        class Handler(Answering):
            def do_GET(self):
                if front.fault == "silent":
                    time.sleep(5)
                if front.fault in ("silent", "reset"):
                    self.close_connection = True
                    return
                if front.fault == "slow":
                    time.sleep(0.4)
                if front.fault == "busy":
                    self.answer(503)
                else:
                    answer_from_store(self, store)

        self._server = Server(address, Handler)

    def stop(self):
        self._server.stop()


class BackendServer:
    """One start of a backend server; `arrivals` holds (request id, time) of what reached it, `runs` of what it ran."""

    def __init__(self, identity, address, service, seed):
        self.identity, self.address, self.service = identity, address, service
        self.arrivals, self.runs = [], []
        self.rate_limit = None
        self.is_leaving = False
        self.fault, self.fault_share = None, 0.0
        self.is_stopped = False
        self.lethal_arrivals = []  # (body, request id, time) of requests that crash it, or would have.
        self.on_crash = None  # Called once it has crashed.
        self._crashing = threading.Lock()
        self._connections = set()
        chance = random.Random(seed)
        backend = self

        class Handler(Answering):
            def setup(self):
                super().setup()
                backend._connections.add(self.connection)

            def finish(self):
                backend._connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                request_id = self.headers.get("X-Request-Id")
                if self.headers.get("X-Expect-Instance") != backend.identity:
                    self.answer(421, headers=[("X-Not-Executed", "1")])
                    return
                now = time.monotonic()
                backend.arrivals.append((request_id, now))
                fault = backend.fault if chance.random() < backend.fault_share else None
                if fault == "shed":
                    self.answer(503, headers=[("X-Not-Executed", "1"), ("X-Request-Id", request_id), *backend.stated()])
                    return
                backend.runs.append((request_id, now))
                if body.startswith(LETHAL):
                    backend.lethal_arrivals.append((body, request_id, now))
                    time.sleep(0.05)
                    backend.crash()
                    self.close_connection = True
                    return
                time.sleep(chance.uniform(0.005, 0.03) * (8 if fault == "slow" else 1))
                self.answer_run(fault, request_id, body)

            do_POST = do_GET

            def answer_run(self, fault, request_id, body):
                whole = b"%s of %s" % (request_id.encode(), body)
                headers = [("X-Request-Id", request_id), ("X-Response-Stamp", backend.identity), *backend.stated()]
                if fault == "error":
                    self.answer(500, b"", headers)
                elif fault == "reset":
                    self.close_connection = True
                elif fault == "cut":
                    self.send_response(200)
                    for name, value in [*headers, ("Content-Length", str(len(whole) + 9))]:
                        self.send_header(name, value)
                    self.end_headers()
                    self.wfile.write(whole)
                    self.close_connection = True
                elif fault == "garbage":
                    self.wfile.write(b"\x00no answer at all\r\n\r\n" * 4)
                    self.close_connection = True
                elif fault == "endless":
                    self.wfile.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
                    while not backend.is_stopped:
                        self.wfile.write(b"x" * 4096)
                elif fault == "copy":
                    self.answer(200, whole, headers)
                    self.answer(200, whole, headers)
                else:
                    self.answer(200, whole, headers)

        self._server = Server(address, Handler)

    def stated(self):
        limit = self.rate_limit
        return ([("Server-Limit", f"{limit:.1f}")] if limit is not None else []) + (
            [("Server-Leaving", "1")] if self.is_leaving else [])

    def entry(self, domain, state="ready"):
        return {"service": self.service, "address": self.address, "zone": domain, "config-version": "v1", "slots": 8,
                "state": state, "cold-remaining": "0ms", "seq": 1}

    def crash(self):
        with self._crashing:
            if self.is_stopped:
                return
            self.stop()
        if self.on_crash:
            self.on_crash(self)

    def stop(self):
        """Ends it as a process ends: with its connections."""
        self.is_stopped = True
        self._server.stop()
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The other side has closed it.


class SoakNode(Process):
    """A wagtailmountd at a loopback address of its own, and the backend server beside it."""

    def __init__(self, number, ports, folder, store, grace_seconds):
        self.vm = f"127.0.0.{number + 2}"
        self.number = number
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.service = SERVICES[number // len(DOMAINS) % len(SERVICES)]
        self.ports = ports
        store_address = Ports().take()
        self.front = StoreFront(store_address, store)
        self.backend = None
        self._settings = {
            "vm": self.vm, "region": "pk", "failure_domain": self.domain, "service": self.service,
            "listen": {name: f"{self.vm}:{ports[name]}"
                       for name in ("caller", "hop", "peer", "admin", "readiness")},
            "backend_server": {"address": f"{self.vm}:{ports['backend']}"},
            "platform": {"interface": "catalog", "addresses": [store_address], "calls_per_second": 2000,
                         "expected_vms": 1},
            "retries": {"share": 0.2, "slack": 64}}
        self._path = folder / f"{self.vm}.json"
        self.settings_lock = threading.Lock()
        self.set_grace(grace_seconds)
        self.handles_signals = True  # Not while it starts.
        super().__init__(self.vm, [PROGRAMS / "wagtailmountd" / "wagtailmountd", "--settings", self._path], folder)

    def set_grace(self, seconds):
        """Writes other settings, which are in force from the next start or SIGHUP on."""
        self.grace_seconds = seconds
        written = self._path.with_suffix(".new")
        written.write_text(json.dumps({**self._settings, "drain_grace": f"{seconds}s"}))
        written.replace(self._path)

    def is_ready(self):
        connection = http.client.HTTPConnection(self.vm, int(self.ports["readiness"]), timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class SoakFleet:
    """All of it, with the record of what was done to it."""

    def __init__(self, seed, size, grace_seconds=6.0):
        self.seed = seed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wagtailmount-soak-"))
        ports = Ports()
        numbers = {name: ports.take().rpartition(":")[2]
                   for name in ("caller", "hop", "peer", "admin", "readiness", "backend")}
        self.store = Store(ports.take())
        self.version = 1
        self.starts = 0
        self.backends = []  # Every start there was.
        self.on_backend_crash = None  # Called with the node and the start that crashed.
        self.lock = threading.Lock()
        # A process that starts holds, until it runs its program, a copy of each listening socket: no address can be
        # used again meanwhile.
        self._forking = threading.Lock()
        self.publish()
        self.nodes = [SoakNode(number, numbers, self.folder, self.store, grace_seconds) for number in range(size)]
        # Processes end with the thread that started them.
        self._starter = concurrent.futures.ThreadPoolExecutor(1)
        for node in self.nodes:
            self.start_backend(node)
            self.start_node(node)

    def start_node(self, node):
        with self._forking:
            self._starter.submit(node.start).result()

    def publish(self):
        """Puts a version in the store whose only new route names it; returns version and time."""
        with self.lock:
            self.version += 1
            routes = [*ROUTES, (f"/version-{self.version}/", "safe", "ledger")]
            self.store.write("op/config", configuration(self.version, routes))
            return self.version, time.monotonic()

    def start_backend(self, node):
        with self.lock:
            self.starts += 1
            identity = f"i-{self.starts:04d}"
        with self._forking:
            node.backend = BackendServer(identity, f"{node.vm}:{node.ports['backend']}", node.service,
                                         f"{self.seed}-{identity}")
        node.backend.on_crash = lambda gone: self.on_backend_crash and self.on_backend_crash(node, gone)
        self.backends.append(node.backend)
        self.store.write(f"servers/{identity}", node.backend.entry(node.domain))

    def close(self, keep):
        for node in self.nodes:
            node.thaw()
            node.kill()
            node.front.stop()
            node.backend.stop()
        self.store.stop()
        self._starter.shutdown()
        if keep:
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def terminate(node):
    node.signal(signal.SIGTERM)
