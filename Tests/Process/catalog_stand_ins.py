"""Stand-ins of a platform that publishes a catalog: its store, and backend servers that register there."""

import base64
import http.server
import json
import sys
import threading
import time
import urllib.parse

PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20  # Of one page, at most.


class Answering(http.server.BaseHTTPRequestHandler):
    """Answers over kept connections and prints nothing."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class QuietServer(http.server.ThreadingHTTPServer):
    """Says nothing of askers that are killed in the midst of a call."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class Server:
    """An HTTP server on its own threads, until stop()."""

    def __init__(self, address, handler):
        host, port = address.split(":")
        self._http = QuietServer((host, int(port)), handler)
        threading.Thread(target=self._http.serve_forever, args=(0.02,), daemon=True).start()

    def stop(self):
        self._http.shutdown()
        self._http.server_close()


def answer_from_store(handler, store):
    """Answers one call to the store over a handler of Answering."""
    path, _, query = handler.path.partition("?")
    asked = dict(part.partition("=")[::2] for part in query.split("&"))
    if store.is_down:
        handler.answer(503)
        return
    if path == "/kv-range":
        document = store.page(urllib.parse.unquote(asked.get("after", "")))
    elif path == "/kv-watch":
        document = store.watch(int(asked["after"]), int(asked["wait-ms"]) / 1000)
        if document is None:
            handler.answer(410, headers=[("Store-Era", str(store.era))])
            return
    else:
        handler.answer(404)
        return
    handler.answer(200, json.dumps(document).encode(),
                   [("Content-Type", "application/json"), ("Store-Era", str(store.era))])


class Store:
    """The platform's store: items by key, one revision counter, waiting watches."""

    def __init__(self, address):
        self._changed = threading.Condition()
        self._revision = 1
        self._items = {}  # By key: the last event.
        self._copies = []  # Of each state: when it was reached, its revision, its items.
        self.era = 1
        self.is_down = False
        self.calls = 0
        self.whole_listings = 0
        store = self

        class Handler(Answering):
            def do_GET(self):
                store.calls += 1
                answer_from_store(self, store)

        self._server = Server(address, Handler)

    def write(self, key, document):
        self.write_bytes(key, json.dumps(document).encode())

    def write_bytes(self, key, content):
        value = base64.b64encode(content).decode()
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get("created") or self._revision  # Removals have none.
            self._items[key] = {"key": key, "value": value, "revision": self._revision, "created": created}
            self._keep_copy()

    def remove(self, key):
        with self._changed:
            self._revision += 1
            self._items[key] = {"key": key, "revision": self._revision, "removed": True}
            self._keep_copy()

    def _keep_copy(self):
        self._copies.append((time.monotonic(), self._revision, dict(self._items)))
        self._changed.notify_all()

    def go_back(self, to, away):
        """A drill: away for a moment, then back from the copy of the time `to`, in a new era."""
        self.is_down = True
        time.sleep(away)
        with self._changed:
            _, self._revision, items = [copy for copy in self._copies if copy[0] <= to][-1]
            self._items = dict(items)
            self.era += 1
            self.is_down = False
            self._changed.notify_all()

    def page(self, after):
        self.whole_listings += after == ""
        with self._changed:
            items = [self._items[key] for key in sorted(self._items)
                     if key > after and not self._items[key].get("removed")]
            page, size = [], 0
            for item in items:
                size += len(item["value"])
                if page and (len(page) == PAGE_ITEMS or size > PAGE_BYTES):
                    break
                page.append(item)
            return {"items": page, "has-more": len(page) < len(items), "at-rev": self._revision}

    def watch(self, after, wait):
        """What changed after a revision; None if that is not one of this era."""
        end = time.monotonic() + wait
        with self._changed:
            era = self.era
            if after > self._revision:
                return None
            while self.era == era and self._revision <= after and time.monotonic() < end and not self.is_down:
                self._changed.wait(max(0.0, min(0.1, end - time.monotonic())))
            if self.era != era:
                return None
            events = [item for item in self._items.values() if item["revision"] > after]
            return {"events": sorted(events, key=lambda item: item["revision"]), "at-rev": self._revision}

    def stop(self):
        self._server.stop()


class BackendServer:
    """One start of a backend server: checks which start is meant, and keeps what it ran."""

    def __init__(self, identity, address, service):
        self.identity, self.address, self.service = identity, address, service
        self.ran = []  # Of each request: id, caller service, when.
        backend = self

        class Handler(Answering):
            def do_GET(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                expected = self.headers.get("X-Expect-Instance")
                identity = ("X-Instance-Id", backend.identity)
                if expected != backend.identity:
                    self.answer(421, headers=[identity, ("X-Not-Executed", "1")])
                    return
                request_id = self.headers.get("X-Request-Id")
                backend.ran.append((request_id, self.headers.get("X-Caller-Service"), time.monotonic()))
                backend.work(self.path)
                self.answer(200, b"%s of %s" % (request_id.encode(), body),
                            [identity, ("X-Request-Id", request_id), ("X-Response-Stamp", backend.identity)])

            do_POST = do_GET

        self._server = Server(address, Handler)

    def work(self, path):
        """What a request does while it runs."""

    def entry(self, zone, state="ready"):
        return {"service": self.service, "address": self.address, "zone": zone, "config-version": "v1", "slots": 8,
                "state": state, "cold-remaining": "0ms", "seq": 1}

    def stop(self):
        self._server.stop()


def configuration(version, routes, timeout="1500ms", target_latency="500ms"):
    """The operators' configuration; `routes` holds (prefix, kind, service)."""
    rules = [{"name": "r" + prefix.replace("/", "-"), "route-kind": kind, "target-latency": target_latency,
              "priority": 1, "match": {"prefix": prefix},
              "action": {"service": service, "timeout": timeout, "max-attempts": 2}}
             for prefix, kind, service in routes]
    services = sorted({service for _, _, service in routes})
    return {"config-version": f"r{version}",
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout": "3s",
                       "idle-timeout": "15s"},
            "listeners": [{"host": "mesh.example", "rules": rules}],
            "clusters": [{"name": service, "health-path": "/healthz", "max-connections": 64, "protocol": "h1",
                          "tls": False} for service in services]}
