"""A fleet of real nodes on a platform that publishes a catalog, with a stand-in store and stand-in backend servers."""

import http.client
import json
import os
import pathlib
import subprocess
import tempfile
import unittest

from catalog_stand_ins import BackendServer, Store, configuration
from processes import PROGRAMS, Ports, die_with_parent, wait_until

SERVICES = {"127.0.0.2": ("hall-a", "ledger"), "127.0.0.3": ("hall-a", "casefile"),
            "127.0.0.4": ("hall-b", "ledger"), "127.0.0.5": ("hall-b", "casefile")}
ROUTES = [("/balance/", "safe", "ledger"), ("/posting/", "unsafe", "ledger"), ("/history/", "safe", "casefile")]


class CatalogFleet(unittest.TestCase):
    """Four VMs in two failure domains, each by its own loopback address."""

    vms = SERVICES

    def setUp(self):
        ports = Ports()
        self.ports = {name: ports.take().rpartition(":")[2]
                      for name in ("caller", "hop", "peer", "admin", "readiness", "backend")}
        self.folder = pathlib.Path(tempfile.mkdtemp())
        store_address = ports.take()
        self.store = Store(store_address)
        self.backends, self.nodes = {}, {}
        self.store_address = store_address
        self.store.write("op/config", configuration(3, ROUTES))
        for vm, (domain, service) in self.vms.items():
            self.add(domain, vm, service)
        self.wait_ready(self.vms)

    def add(self, domain, vm, service):
        backend = self.make_backend(f"i-{vm[-1]}", f"{vm}:{self.ports['backend']}", service)
        self.backends[vm] = backend
        self.store.write(f"servers/{backend.identity}", backend.entry(domain))
        self.write_settings(vm, domain, service, self.store_address)
        self.start(vm)

    def make_backend(self, identity, address, service):
        return BackendServer(identity, address, service)

    def tearDown(self):
        for node in self.nodes.values():
            node.kill()
            node.wait()
        for backend in self.backends.values():
            backend.stop()
        self.store.stop()

    def write_settings(self, vm, domain, service, store_address, **more):
        listen = {name: f"{vm}:{self.ports[name]}" for name in ("caller", "hop", "peer", "admin", "readiness")}
        settings = {"vm": vm, "region": "pk", "failure_domain": domain, "service": service, "listen": listen,
                    "backend_server": {"address": f"{vm}:{self.ports['backend']}"},
                    "platform": {"interface": "catalog", "addresses": [store_address], "calls_per_second": 2000,
                                 "expected_vms": 1},
                    "drain_grace": "6s", "retries": {"share": 0.2, "slack": 64}, **more}
        (self.folder / f"{vm}.json").write_text(json.dumps(settings))

    def start(self, vm):
        with open(self.folder / f"{vm}.log", "ab") as log:
            self.nodes[vm] = subprocess.Popen(
                [PROGRAMS / "wagtailmountd" / "wagtailmountd", "--settings", self.folder / f"{vm}.json"],
                stdout=log, stderr=log, preexec_fn=die_with_parent)

    def is_ready(self, vm):
        try:
            connection = http.client.HTTPConnection(vm, int(self.ports["readiness"]), timeout=1)
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, vms):
        wait_until("all nodes are ready", lambda: all(self.is_ready(vm) for vm in vms), 8)

    def call(self, vm, path, method="GET", body=None, request_id=None):
        connection = http.client.HTTPConnection(vm, int(self.ports["caller"]), timeout=3)
        try:
            connection.request(method, path, body, {"Host": "mesh.example", "X-Deadline-Ms": "2000",
                                                    "X-Request-Id": request_id or os.urandom(8).hex()})
            answer = connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        finally:
            connection.close()

    def runs(self, service):
        return sum(len(backend.ran) for backend in self.backends.values() if backend.service == service)

    def memory_kb(self, vm, field):
        """What the kernel says of a node's memory, such as "VmRSS" or "VmHWM"."""
        with open(f"/proc/{self.nodes[vm].pid}/status", encoding="ascii") as status:
            return int(next(line for line in status if line.startswith(field)).split()[1])

    def log_of(self, vm):
        return [json.loads(line) for line in (self.folder / f"{vm}.log").read_text().splitlines()
                if line.startswith("{")]
