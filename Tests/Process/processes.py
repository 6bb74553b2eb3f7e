"""Real processes of a test: how they start, are asked, stopped and killed."""

import ctypes
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("WAGTAILMOUNT_BUILD", ROOT / "build"))
STAND_INS = BUILD / "Tests" / "StandIns"
PROGRAMS = BUILD / "Programs"
FIRST_PORT, PORTS, PORTS_IN_BLOCK = 24000, 2000, 50
PR_SET_PDEATHSIG = 1


class PortSupply:
    """The ports of one process, from as many blocks as it needs; those of its first block come again at the end."""

    def __init__(self):
        self._lock = threading.Lock()
        self._claims, self._ports, self._next = [], [], 0
        blocks = range(FIRST_PORT, FIRST_PORT + PORTS, PORTS_IN_BLOCK)
        begin = os.getpid() % len(blocks)
        self._unclaimed = [*blocks[begin:], *blocks[:begin]]

    def take(self):
        with self._lock:
            for _ in range(PORTS + 1):
                if self._next == len(self._ports):
                    self._claim_next_block()
                port = self._ports[self._next]
                self._next += 1
                if is_free(port):
                    return port
        raise RuntimeError("no free port in the blocks of this process")

    def _claim_next_block(self):
        while self._unclaimed:
            first = self._unclaimed.pop(0)
            # A probe of a port doesn't keep it, so two processes could find the same one free. A name in the abstract
            # namespace of sockets is held by one process, until it ends.
            claim = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            try:
                claim.bind(f"\0wagtailmount-test-ports-{first}")
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            self._ports += range(first, first + PORTS_IN_BLOCK)
            return
        if not self._ports:
            raise RuntimeError("other tests hold all ports")
        self._next = 0


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Ports:
    """Hands out free loopback ports of this project's block, to one test process at a time."""

    _supply = PortSupply()

    def take(self):
        return f"127.0.0.1:{self._supply.take()}"


def call(address, method, target, document=None, timeout=2.0):
    """One JSON call; returns the status and the parsed answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        body = None if document is None else json.dumps(document)
        connection.request(method, target, body)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"null")
    finally:
        connection.close()


def wait_until(what, condition, seconds):
    """Waits for the condition and returns the seconds it took."""
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        if condition():
            return time.monotonic() - began
        time.sleep(0.02)
    raise AssertionError(f"not within {seconds} s: {what}")


def die_with_parent():
    """Lets no process outlive a test that is killed itself."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process of the test, with its output in a file."""

    def __init__(self, name, command, folder):
        self.name, self.command, self.folder = name, command, folder
        self.popen = None
        self.starts = 0
        self.is_frozen = False

    def start(self):
        self.starts += 1
        self.is_frozen = False
        self.output = self.folder / f"{self.name}.{self.starts}.out"
        with open(self.output, "wb") as out:
            self.popen = subprocess.Popen(
                [str(part) for part in self.command], stdout=out,
                stderr=subprocess.STDOUT, cwd=self.folder,
                preexec_fn=die_with_parent)
        return self

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(10)

    def freeze(self):
        self.is_frozen = True
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)
        self.is_frozen = False

    def stop(self, seconds=40):
        """Asks for a planned stop and returns the exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(seconds)


class StandIn(Process):
    """A stand-in, ready once it has printed its addresses."""

    def start(self):
        super().start()
        wait_until(f"{self.name} listens", self._has_addresses, 10)
        return self

    def _has_addresses(self):
        line = self.output.read_text().split("\n")[0]
        if not line.startswith("{"):
            if not self.is_running():
                raise AssertionError(f"{self.name} ended: {line}")
            return False
        self.addresses = json.loads(line)
        return True

    def faults(self, **switched):
        return call(self.addresses["control"], "POST", "/faults", switched)[1]

    def counts(self):
        return call(self.addresses["control"], "GET", "/counts")[1]


class Node(Process):
    """One wagtailmountd, with every event it told of, over all its starts."""

    def __init__(self, vm, domain, service, settings, folder):
        path = folder / f"{vm}.settings.json"
        path.write_text(json.dumps(settings, indent=2))
        program = PROGRAMS / "wagtailmountd" / "wagtailmountd"
        super().__init__(vm, [program, "--settings", path], folder)
        self.vm, self.domain, self.service = vm, domain, service
        self.settings = settings
        self.listen = settings["listen"]
        self.events = []  # (start number, event)
        self._events_lock = threading.Lock()

    def status(self):
        try:
            return call(self.listen["admin"], "GET", "/v1/status")[1]
        except (OSError, http.client.HTTPException, ValueError):
            return None

    def held(self):
        """The revision and digest in force; (0, "") for none."""
        status = self.status()
        held = status["held"] if status else None
        return (held["revision"], held["digest"]) if held else (0, "")

    def is_serving(self):
        status = self.status()
        return bool(status) and status["phase"] == "serving"

    def is_serving_or_ended(self):
        return not self.is_running() or self.is_serving()

    def poll_events(self):
        """Adds the events that the node has told of since the last look."""
        with self._events_lock:
            start = self.starts
            last = max((event["sequence"] for number, event in self.events
                        if number == start), default=0)
            try:
                answer = call(self.listen["admin"], "GET",
                              f"/v1/events?after={last}", timeout=0.5)[1]
            except (OSError, http.client.HTTPException, ValueError):
                return
            if start == self.starts:
                self.events += [(start, event) for event in answer["events"]]

    def in_force(self):
        """(start number, revision, Unix milliseconds) of each version."""
        return [(number, event["revision"], event["unix_ms"])
                for number, event in self.events
                if event["kind"] == "in-force"]
