"""Starts stand-ins and nodes as one fleet on loopback.

Everything is chosen from a seed that is printed; every wait is bounded.
"""

import json
import pathlib
import random
import shutil
import sys
import tempfile
import threading
import time

from processes import STAND_INS, Node, Ports, StandIn, call, wait_until

PLATFORM_RATE = 2000
FAILURE_DOMAINS = ["fsd-hall", "lhr-hall", "mux-hall", "gjw-hall"]
EVENT_POLL_SECONDS = 0.1
PRINTED_LINES = 40  # Of each process of a fleet that failed.


class Fleet:
    """A platform, nodes with their backend servers, and perhaps a relay."""

    def __init__(self, seed, files, nodes_per_domain=1, services=("ledger",),
                 relay=False, node_settings=None, keep=False):
        print(f"seed {seed}", flush=True)
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wagtailmount-"))
        self.config = self.folder / "config"
        self.config.mkdir()
        for name, content in files.items():
            (self.config / name).write_text(content)
        self.ports = Ports()
        self.keep = keep
        self.relay = None
        self.nodes, self.backends = {}, {}
        self.node_settings = node_settings or {}
        self._plan(nodes_per_domain, services, relay)

    def _plan(self, nodes_per_domain, services, relay):
        names = [(domain, number) for number in range(nodes_per_domain)
                 for domain in FAILURE_DOMAINS]
        self.links = []
        self.platform = StandIn("platform", [
            STAND_INS / "stand_in_platform", "--listen", self.ports.take(),
            "--control", self.ports.take(), "--folder", self.config,
            "--vms", self.folder / "vms.json", "--rate", PLATFORM_RATE],
            self.folder)
        for index, (domain, number) in enumerate(names):
            vm = f"{domain.split('-')[0]}-{number + 1}"
            service = services[index // len(FAILURE_DOMAINS) % len(services)]
            self._plan_node(vm, domain, service, len(names), relay)
        seeds = [node.settings["listen"]["peer"] if not relay else
                 node.settings["advertise"]["peer"]
                 for node in list(self.nodes.values())[:4]]
        for node in self.nodes.values():
            node.settings["seeds"] = seeds
            node.command[2].write_text(json.dumps(node.settings, indent=2))
        self.leaving = set()
        self._rules = []
        self.write_vms()
        if relay:
            self.relay = StandIn("relay", [
                STAND_INS / "stand_in_relay", "--control", self.ports.take(),
                *[part for link in self.links for part in ("--link", link)]],
                self.folder)

    def _plan_node(self, vm, domain, service, size, relay):
        backend = StandIn(f"{vm}-backend", [
            STAND_INS / "stand_in_backend_server", "--name", vm,
            "--listen", self.ports.take(), "--control", self.ports.take(),
            "--log", self.folder / f"{vm}.ran"], self.folder)
        listen = {name: self.ports.take()
                  for name in ("caller", "hop", "peer", "admin")}
        platform = self.platform.command[2]
        settings = {
            "vm": vm, "region": "pk-central", "failure_domain": domain,
            "service": service, "listen": listen,
            "backend_server": {"address": backend.command[4]},
            "platform": {"addresses": [platform],
                         "calls_per_second": PLATFORM_RATE,
                         "expected_vms": size},
            "seeds": [], "join_wait_ms": 3000, **self.node_settings}
        if relay:
            settings["advertise"] = {
                name: self._link(f"{vm}.{name}", listen[name])
                for name in ("peer", "hop")}
            settings["platform"]["addresses"] = [
                self._link(f"{vm}.platform", platform)]
        self.backends[vm] = backend
        self.nodes[vm] = Node(vm, domain, service, settings, self.folder)

    def _link(self, name, target):
        address = self.ports.take()
        self.links.append(f"{name}={address}>{target}")
        return address

    def write_vms(self):
        """Publishes the platform's list of VMs; `leaving` marks some."""
        vms = [{"vm": node.vm, "region": "pk-central",
                "failure_domain": node.domain, "service": node.service,
                **{name: node.settings.get("advertise", node.listen)[name]
                   for name in ("peer", "hop")},
                "state": "leaving" if node.vm in self.leaving else "live"}
               for node in self.nodes.values()]
        fresh = self.folder / "vms.json.new"
        fresh.write_text(json.dumps({"vms": vms}, indent=2))
        fresh.replace(self.folder / "vms.json")

    def __enter__(self):
        try:
            self.platform.start()
            if self.relay:
                self.relay.start()
            for backend in self.backends.values():
                backend.start()
            for node in self.nodes.values():
                node.start()
            self._polls = True
            self._poller = threading.Thread(target=self._poll, daemon=True)
            self._poller.start()
            self.wait_serving()
            self.name_processes()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def __exit__(self, kind, value, trace):
        self._polls = False
        if kind is not None:
            self.print_ends()
        for process in self.processes():
            process.kill()
        if self.keep or kind is not None:
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def processes(self):
        extra = [self.relay] if self.relay else []
        return [*self.nodes.values(), *self.backends.values(), *extra,
                self.platform]

    def print_ends(self):
        for process in self.processes():
            if not process.popen:
                continue
            lines = process.output.read_text(errors="replace").splitlines()
            print(f"-- {process.name}: exit status {process.popen.poll()}",
                  *lines[-PRINTED_LINES:], sep="\n   ")
        for node in self.nodes.values():
            print(f"-- {node.vm}: listens on {node.listen},"
                  f" status {node.status()}")

    def _poll(self):
        while self._polls:
            for node in self.nodes.values():
                if node.is_running() and not node.is_frozen:
                    node.poll_events()
            time.sleep(EVENT_POLL_SECONDS)

    def wait_serving(self, nodes=None, seconds=20):
        for node in nodes or self.nodes.values():
            wait_until(f"{node.vm} serves", node.is_serving_or_ended, seconds)
            if not node.is_running():
                raise AssertionError(f"{node.vm} ended by itself, exit status"
                                     f" {node.popen.returncode}")

    def name_processes(self):
        """Tells the relay which process is which VM; call it after starts."""
        self.rules(*self._rules)

    def rules(self, *rules):
        """Replaces the relay's rules, each (from, to, "cut" | "frozen")."""
        self._rules = list(rules)
        if not self.relay:
            return
        call(self.relay.addresses["control"], "POST", "/rules", {
            "processes": {node.vm: node.popen.pid
                          for node in self.nodes.values()},
            "rules": [{"from": start, "to": end, "fault": fault}
                      for start, end, fault in rules]})

    def add_rules(self, *rules):
        self.rules(*self._rules, *rules)

    def cut_domain(self, domain, fault="frozen", platform=True):
        """Cuts a failure domain off from all others (and the platform)."""
        inside = [node for node in self.nodes.values()
                  if node.domain == domain]
        outside = [node for node in self.nodes.values()
                   if node.domain != domain]
        rules = [(near.vm, f"{far.vm}.{name}", fault)
                 for left, right in ((inside, outside), (outside, inside))
                 for near in left for far in right for name in ("peer", "hop")]
        if platform:
            rules += [("*", f"{node.vm}.platform", fault) for node in inside]
        self.rules(*rules)

    def publish(self, name, content):
        """Puts a file in the folder whole; returns the Unix milliseconds."""
        fresh = self.config / f".{name}"
        fresh.write_text(content)
        fresh.replace(self.config / name)
        return time.time() * 1000

    def revision(self):
        return self.platform.counts()["revision"]

    def ran(self):
        """Starts in all backend logs: request id -> list of VMs."""
        starts = {}
        for vm in self.backends:
            log = self.folder / f"{vm}.ran"
            for line in log.read_text().splitlines() if log.exists() else []:
                what, request_id = line.split(" ")[:2]
                if what == "started":
                    starts.setdefault(request_id, []).append(vm)
        return starts
