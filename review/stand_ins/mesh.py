"""Stand-ins for a small deployment on loopback addresses: the platform's store, upstreams and clients.

They follow PROTOCOL.md. The nodes are the project's own program, started with the command of deploy/system.toml and
with settings that are rendered from deploy/settings.template.
"""

import base64
import ctypes
import http.client
import json
import os
import pathlib
import random
import re
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.5
DRAIN_S = 2.0
HISTORY_S = 20.0


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def deploy_file():
    text = (ROOT / "deploy" / "system.toml").read_text()
    run = re.search(r'^run = "(.*)"$', text, re.M).group(1)
    template = re.search(r'^template = "(.*)"$', text, re.M).group(1)
    return shlex.split(run), (ROOT / template).read_text()


def render(template, values):
    """The parts of the platform's template language that deploy/settings.template uses."""

    def look_up(name):
        found = values
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            elif isinstance(found, dict):
                found = found.get(part)
            else:
                found = None
        return found

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        found = look_up(match.group(1))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^}#/^]+)\}\}", value, text)


MAX_FDS = 4100  # `max-fds` of the settings: "Memory and descriptors are limited for each process" (DEPLOY.md).


def prepare_process():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # It ends with the script.
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


def use_own_descriptors():
    """The script may hold as many descriptors as it is allowed to."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most < 2 * MAX_FDS:
        raise CannotRun(f"the script may hold only {most} descriptors")
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


class HttpConnection:
    """One accepted connection, read as HTTP/1.1."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def read_some(self, most=65536):
        piece = self.sock.recv(most)
        self.buffer += piece
        return piece

    def read_head(self):
        while b"\r\n\r\n" not in self.buffer:
            if not self.read_some():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return method, target, fields

    def read_body(self, fields, pace=None):
        """The whole body; None if it breaks off. `pace` is called with each piece's length."""
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in self.buffer:
                    if not self.read_some():
                        return None
                line, _, self.buffer = self.buffer.partition(b"\r\n")
                size = int(line.split(b";")[0], 16)
                while len(self.buffer) < size + 2:
                    piece = self.read_some(4096 if pace else 65536)
                    if not piece:
                        return None
                    if pace:
                        pace(len(piece))
                body += self.buffer[:size]
                self.buffer = self.buffer[size + 2:]
                if size == 0:
                    return body
        length = int(fields.get("content-length", 0))
        pieces, held = [self.buffer], len(self.buffer)
        self.buffer = b""
        while held < length:
            piece = self.sock.recv(min(length - held, 16384 if pace else 65536))
            if not piece:
                return None
            pieces.append(piece)
            held += len(piece)
            if pace:
                pace(len(piece))
        body = b"".join(pieces)
        body, self.buffer = body[:length], body[length:]
        return body

    def answer(self, status, fields=(), body=b"", reason="Status", over_s=0.0):
        """`over_s`: the body is written in pieces over so many seconds."""
        lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        if not over_s:
            self.sock.sendall(head + body)
            return
        self.sock.sendall(head)
        pieces = 100
        size = -(-len(body) // pieces)
        for number in range(pieces):
            self.sock.sendall(body[number * size:(number + 1) * size])
            time.sleep(over_s / pieces)


class Listener:
    """Accepts connections, each on a thread of its own."""

    def __init__(self, address, serve, receive_buffer=None):
        host, port = address.split(":")
        self._serve = serve
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._socket.bind((host, int(port)))
        self._socket.listen(512)
        self._open = set()
        self._lock = threading.Lock()
        self.is_stopped = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.is_stopped:
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(accepted)
            threading.Thread(target=self._run, args=(accepted,), daemon=True).start()

    def _run(self, accepted):
        try:
            self._serve(HttpConnection(accepted))
        except (OSError, ValueError):
            pass
        with self._lock:
            self._open.discard(accepted)
        accepted.close()

    def stop(self):
        self.is_stopped = True
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        with self._lock:
            for each in self._open:
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Store:
    """The platform's metadata store: items, one revision counter, watches, pages, stale reads."""

    def __init__(self, address, record, page_items=500, page_bytes=1 << 20):
        self.record = record
        self.page_items, self.page_bytes = page_items, page_bytes
        self._changed = threading.Condition()
        self._revision = 100
        self._items = {}
        self._events = []  # (time, event)
        self._states = [(time.monotonic(), 100, {})]
        # How old the answer to a stale read is, in seconds, by the key that it begins after.
        self.stale_age = lambda after: 0.0
        self.tells = False
        self._listener = Listener(address, self._serve)

    def write(self, key, document):
        raw = document if isinstance(document, bytes) else json.dumps(document, separators=(",", ":")).encode()
        with self._changed:
            self._revision += 1
            held = self._items.get(key)
            item = {"key": key, "value": base64.b64encode(raw).decode(), "revision": self._revision,
                    "created": held["created"] if held else self._revision, "lease": 0}
            self._items[key] = item
            self._note(item)
            return self._revision

    def remove(self, key):
        with self._changed:
            if key not in self._items:
                return self._revision
            self._revision += 1
            del self._items[key]
            self._note({"key": key, "revision": self._revision, "removed": True})
            return self._revision

    def _note(self, event):
        now = time.monotonic()
        self._events.append((now, event))
        self._states.append((now, self._revision, dict(self._items)))
        while len(self._states) > 2 and self._states[1][0] < now - HISTORY_S:
            self._states.pop(0)
        self._changed.notify_all()

    def _serve(self, connection):
        while True:
            head = connection.read_head()
            if head is None:
                return
            _, target, _ = head
            path, _, query = target.partition("?")
            asked = dict(part.partition("=")[::2] for part in query.split("&"))
            status, document = self._answer(path, asked)
            connection.answer(status, [("Content-Type", "application/json")], json.dumps(document).encode())

    def _answer(self, path, asked):
        unquote = urllib.parse.unquote
        if path == "/kv-range":
            return 200, self._page(unquote(asked.get("prefix", "")), unquote(asked.get("after", "")),
                                   asked.get("stale-ok") == "1")
        if path == "/kv-watch":
            return self._watch(unquote(asked.get("prefix", "")), int(asked["after"]), int(asked["wait-ms"]) / 1000)
        return 404, {}

    def _page(self, prefix, after, may_be_stale):
        age = self.stale_age(after) if may_be_stale else 0.0
        with self._changed:
            revision, items = self._revision, self._items
            if age > 0:
                then = time.monotonic() - age
                _, revision, items = ([each for each in self._states if each[0] <= then] or self._states[:1])[-1]
            keys = [key for key in sorted(items) if key.startswith(prefix) and key > after]
            page, size = [], 0
            for key in keys:
                length = len(items[key]["value"]) + len(key)
                if page and (len(page) >= self.page_items or size + length > self.page_bytes):
                    break
                page.append(items[key])
                size += length
            if self.tells:
                self.record.add(f"store: a page of {len(page)} items after '{after}', at-rev {revision}, "
                                f"{'stale-ok, ' if may_be_stale else ''}{age:.1f} s old, "
                                f"has-more {len(page) < len(keys)}")
            return {"items": page, "has-more": len(page) < len(keys), "at-rev": revision}

    def _watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        with self._changed:
            while True:
                now = time.monotonic()
                forgotten = [event["revision"] for at, event in self._events if at < now - HISTORY_S]
                if forgotten and after < forgotten[-1]:
                    return 410, {}
                events = [event for _, event in self._events
                          if event["revision"] > after and event["key"].startswith(prefix)]
                if events or now >= end:
                    return 200, {"events": events, "at-rev": self._revision}
                self._changed.wait(min(0.1, end - now))

    def stop(self):
        self._listener.stop()


class Upstream:
    """One start of an upstream: it registers itself, beats, and answers requests."""

    def __init__(self, mesh, machine, service, zone, identity, slots=18, born=None, work_s=0.02, receive_buffer=None,
                 read_pace=None, beats=True, answer_bytes=0, write_s=0.0):
        self.mesh, self.machine, self.service, self.zone = mesh, machine, service, zone
        self.identity, self.slots, self.born = identity, slots, born
        self.work_s, self.read_pace = work_s, read_pace
        self.answer_bytes, self.write_s = answer_bytes, write_s
        self.address = f"{machine}:{mesh.ports['app']}"
        self.state, self.seq = "ready", 0
        self.registers = False
        self.ran = []  # (seconds, request id)
        self._running = 0
        self._lock = threading.Lock()
        self._listener = Listener(self.address, self._serve, receive_buffer)
        self._ended = threading.Event()
        self._beats = beats
        threading.Thread(target=self._beat, daemon=True).start()

    def entry(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "config-version": "v1",
                 "slots": self.slots, "state": self.state, "cold-remaining": "0ms", "seq": self.seq}
        if self.born is not None:
            entry["born"] = self.born
        return entry

    def register(self):
        with self._lock:
            self.registers = True
            return self.mesh.store.write(f"servers/{self.identity}", self.entry())

    def drain(self):
        with self._lock:
            self.state = "draining"
            revision = self.mesh.store.write(f"servers/{self.identity}", self.entry())
        self.mesh.record.add(f"upstream {self.identity}: reports draining, acknowledged at revision {revision}")
        return time.monotonic()

    def leave_unannounced(self):
        """Its entry is removed; it serves on until end()."""
        with self._lock:
            self.registers = False
            revision = self.mesh.store.remove(f"servers/{self.identity}")
        self.mesh.record.add(f"upstream {self.identity}: entry removed, acknowledged at revision {revision}")
        return time.monotonic()

    def _beat(self):
        while not self._ended.wait(BEAT_S):
            with self._lock:
                if self.registers and self._beats:
                    self.mesh.store.write(f"servers/{self.identity}", self.entry())

    def _serve(self, connection):
        while True:
            head = connection.read_head()
            if head is None:
                return
            method, target, fields = head
            request_id = fields.get("x-request-id", "")
            identity = ("X-Instance-Id", self.identity)
            if target == "/healthz":
                connection.answer(200, [identity])
                continue
            if fields.get("x-expect-instance", self.identity) != self.identity:
                connection.read_body(fields)
                connection.answer(421, [identity, ("X-Request-Id", request_id)])
                continue
            with self._lock:
                is_full = self._running >= self.slots
                self._running += not is_full
            if is_full:
                connection.read_body(fields)
                connection.answer(503, [identity, ("X-Request-Id", request_id), ("X-Not-Executed", "1")])
                continue
            try:
                since = self.mesh.record.now()
                self.ran.append((time.monotonic(), request_id))
                if not self.mesh.quiet:
                    self.mesh.record.add(f"upstream {self.identity} ({self.service}, {self.machine}) runs {request_id} "
                                         f"{method} {target}")
                body = connection.read_body(fields, self.read_pace)
                if body is None:
                    self.mesh.record.add(f"upstream {self.identity}: {request_id} was broken off in its body")
                    return
                time.sleep(self.work_s)
                answer = f"{request_id} {len(body)} bytes by {self.identity}\n".encode()
                answer += b"." * max(0, self.answer_bytes - len(answer))
                connection.answer(200, [identity, ("X-Request-Id", request_id),
                                        ("X-Response-Stamp", f"{self.identity}.{request_id}")], answer, "OK",
                                  self.write_s)
                if self.mesh.record.now() - since > 1.0:
                    self.mesh.record.add(f"upstream {self.identity}: answered {request_id}")
            finally:
                with self._lock:
                    self._running -= 1

    def end(self):
        """Its process ends."""
        self._ended.set()
        with self._lock:
            self.registers = False
        self._listener.stop()


class Node:
    """One machine's process of the system."""

    def __init__(self, mesh, machine, service, zone):
        self.mesh, self.machine, self.service, self.zone = mesh, machine, service, zone
        self.process = None
        self.write_settings()

    def write_settings(self):
        ports = self.mesh.ports
        listen = {name: f"{self.machine}:{ports[name]}" for name in ("inbound", "outbound", "ready")}
        values = {"ip": self.machine, "zone": self.zone, "region": "pk-central", "service": self.service,
                  "limits": {"link-mbps": 1000.0, "max-fds": MAX_FDS}, "listen": listen,
                  "internal-ports": [ports["peer"], ports["admin"]],
                  "app-addr": f"{self.machine}:{ports['app']}",
                  "platform": {"address": self.mesh.store_address, "reads-per-s": 2000},
                  "bounds": {"grace": "6s", "retry-ratio": 0.2, "retry-slack": 64}}
        self.settings = self.mesh.folder / f"{self.machine}.json"
        self.settings.write_text(render(self.mesh.template, values))

    def start(self):
        command = [str(self.settings) if word.startswith("/etc/") else word for word in self.mesh.command]
        program = ROOT / command[0]
        if not program.exists():
            raise CannotRun(f"{program.relative_to(ROOT)} is not built")
        with open(self.mesh.folder / f"{self.machine}.log", "ab") as log:
            self.process = subprocess.Popen([str(program)] + command[1:], cwd=ROOT, stdout=log, stderr=log,
                                            preexec_fn=prepare_process)
        self.mesh.record.add(f"node {self.machine} ({self.service}, {self.zone}): started")

    def signal(self, number):
        self.mesh.record.add(f"node {self.machine}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.machine, self.mesh.ports["ready"], timeout=1)
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False


class Answer:
    def __init__(self, status, fields, body, seconds, failure=None):
        self.status, self.fields, self.body, self.seconds, self.failure = status, fields, body, seconds, failure


class Mesh:
    """A small deployment: one store, some machines, each with an upstream and a node."""

    def __init__(self, case_folder, **store_options):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.command, self.template = deploy_file()
        self.net = f"127.{random.randrange(64, 120)}.{random.randrange(1, 250)}"
        names = ("store", "app", "inbound", "outbound", "ready", "peer", "admin")
        self.ports = dict(zip(names, self._free_ports(len(names))))
        self.store_address = f"{self.net}.250:{self.ports['store']}"
        self.store = Store(self.store_address, self.record, **store_options)
        self.nodes, self.upstreams = {}, []
        self.quiet = False  # Each run of a request stands in the record.
        self._count = 0
        self._lock = threading.Lock()
        self.record.add(f"TROUBLE={int(TROUBLE)}")

    def _free_ports(self, count):
        found = []
        while len(found) < count:
            port = random.randrange(20000, 30000)
            with socket.socket() as probe:
                try:
                    probe.bind(("0.0.0.0", port))
                except OSError:
                    continue
            if port not in found:
                found.append(port)
        return found

    def machine(self, number):
        return f"{self.net}.{number}"

    def add(self, number, service, zone, identity=None, **options):
        upstream = Upstream(self, self.machine(number), service, zone, identity or f"i-{number:04x}", **options)
        self.upstreams.append(upstream)
        upstream.register()
        node = Node(self, self.machine(number), service, zone)
        self.nodes[number] = node
        return upstream, node

    def start(self):
        for node in self.nodes.values():
            node.start()
        self.wait_ready(self.nodes.values())

    def wait_ready(self, nodes, seconds=15):
        end = time.monotonic() + seconds
        while not all(node.is_ready() for node in nodes):
            if time.monotonic() > end:
                raise CannotRun("the nodes do not become ready")
            time.sleep(0.05)

    def new_id(self):
        with self._lock:
            self._count += 1
            return f"{random.getrandbits(40):010x}{self._count:06x}"

    def call(self, node, host, path, method="GET", body=None, deadline_ms=3000, request_id=None, tells=True,
             wait_s=None):
        """One request of a client beside `node`, on a connection of its own."""
        request_id = request_id or self.new_id()
        began = time.monotonic()
        if tells:
            self.record.add(f"client at {node.machine} sends {request_id} {method} {path}"
                            + (f" with {len(body)} bytes" if body else ""))
        connection = http.client.HTTPConnection(node.machine, self.ports["outbound"],
                                                timeout=wait_s or deadline_ms / 1000)
        try:
            connection.request(method, path, body, {"Host": host, "X-Request-Id": request_id,
                                                    "X-Deadline-Ms": str(deadline_ms)})
            sent_s = time.monotonic() - began
            if tells and body and len(body) > 65536:
                self.record.add(f"client at {node.machine} {request_id}: has sent all of it after {sent_s:.3f} s")
            reply = connection.getresponse()
            content = reply.read()
            result = Answer(reply.status, dict(reply.getheaders()), content, time.monotonic() - began)
        except (OSError, http.client.HTTPException) as failure:
            result = Answer(0, {}, b"", time.monotonic() - began, repr(failure))
        finally:
            connection.close()
        result.request_id = request_id
        result.began = began
        if tells:
            told = result.failure or f"{result.status} {result.body[:60]!r}"
            self.record.add(f"client at {node.machine} {request_id}: {told} after {result.seconds:.3f} s")
        return result

    def stop(self):
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for upstream in self.upstreams:
            upstream.end()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, services, routes, idle="15s"):
    """`routes`: dictionaries with host, prefix, kind, service, and perhaps timeout, aim, attempts, priority."""
    hosts = {}
    for number, each in enumerate(routes):
        rule = {"name": each.get("name", f"r-{number}"), "route-kind": each["kind"],
                "target-latency": each.get("aim", "600ms"), "priority": each.get("priority", 1),
                "match": {"prefix": each["prefix"]},
                "action": {"service": each["service"], "timeout": each.get("timeout", "3000ms"),
                           "max-attempts": each.get("attempts", 2)}}
        hosts.setdefault(each["host"], []).append(rule)
    return {"config-version": f"r{version}",
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms",
                       "idle-timeout": idle},
            "listeners": [{"host": host, "rules": rules} for host, rules in hosts.items()],
            "clusters": [{"name": service, "health-path": "/healthz", "max-connections": 130, "protocol": "h1",
                          "tls": False} for service in services]}


def play(case_file, scene, **store_options):
    """Runs scene(mesh), which returns whether the rule held; ends with the exit status of a case."""
    folder = pathlib.Path(case_file).resolve().parent
    mesh, status = None, 2
    try:
        use_own_descriptors()
        mesh = Mesh(folder, **store_options)
        held, told = scene(mesh)
        status = 0 if held else 1
        mesh.record.add(("the rule held: " if held else "THE RULE IS BROKEN: ") + told)
        print(("held: " if held else "broken: ") + told)
    except CannotRun as failure:
        if mesh:
            mesh.record.add(f"could not run: {failure}")
        print(f"could not run: {failure}")
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
    finally:
        if mesh:
            mesh.stop()
    os._exit(status)
