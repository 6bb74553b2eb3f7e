"""Measures the memory, CPU time and delay of one node's control work.

For each size, starts the stand-in platform with a folder of that many files and
a list of that many VMs, and one node that reads both. Prints the node's memory,
its CPU time while idle and for each change, and the delay from an edit of a
file until the node has the change in force.

Usage: python3 -B Benchmarks/LibNode/measure_node.py [VMS:FILES...]
"""

import hashlib
import json
import os
import pathlib
import shutil
import statistics
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Tests" / "Process"))

from processes import STAND_INS, Node, Ports, StandIn, wait_until  # noqa: E402

DEFAULT_SIZES = ["1000:200", "5500:1000", "22000:4000"]
PLATFORM_RATE = 2000
FAILURE_DOMAINS, REGIONS = 13, 5
SERVICES_PER_FILE = 0.775  # 3,100 services in 4,000 files.
IDLE_SECONDS, CHANGE_COUNT = 10, 8
JOIN_LIMIT_SECONDS = 240


def first_reader(count):
    """Returns the number of the VM that ranks first of all as a reader."""
    return min(range(count), key=lambda number: hashlib.sha256(
        f"reader/vm-{number}".encode()).digest()[:8])


def listed_vm(number, services):
    port = 30000 + number % 20000
    return {"vm": f"vm-{number}", "region": f"region-{number % REGIONS}",
            "failure_domain": f"domain-{number % FAILURE_DOMAINS}",
            "service": f"service-{number % services}",
            "peer": f"127.0.0.2:{port}", "hop": f"127.0.0.3:{port}",
            "state": "live"}


def write_file(folder, number, deadline_ms):
    name = f"service-{number}"
    document = {
        "team": f"team-{number % 40}",
        "services": {name: {"slots": 20, "connections": 130}},
        "routes": {
            f"{name}-read": {
                "match": {"path_prefix": f"/{name}", "methods": ["GET"]},
                "service": name, "deadline_ms": deadline_ms},
            f"{name}-write": {
                "match": {"path_prefix": f"/{name}", "methods": ["POST"]},
                "service": name, "idempotent": "never",
                "deadline_ms": 2000}}}
    new_file = folder.parent / "fresh.json"
    new_file.write_text(json.dumps(document, indent=2))
    new_file.replace(folder / f"{number:05}-{name}.json")


def write_small_file(folder, number):
    (folder / f"{number:05}-resource.json").write_text(json.dumps({
        "team": "platform", "resources": {
            f"retries-{number}": {"kind": "retry_policy", "attempts": 2}}}))


def cpu_time_ms(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / os.sysconf("SC_CLK_TCK")


def memory_mb(pid, key="VmRSS"):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(key + ":"):
            return int(line.split()[1]) / 1024
    return 0.0


class Measurement:
    def __init__(self, vms, files):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wagtailmount-"))
        self.config = self.folder / "config"
        self.config.mkdir()
        self.services = max(1, int(files * SERVICES_PER_FILE))
        for number in range(files):
            if number < self.services:
                write_file(self.config, number, 2000)
            else:
                write_small_file(self.config, number)
        records = [listed_vm(number, self.services) for number in range(vms)]
        (self.folder / "vms.json").write_text(json.dumps({"vms": records}))
        ports = Ports()
        self.platform = StandIn("platform", [
            STAND_INS / "stand_in_platform", "--listen", ports.take(),
            "--control", ports.take(), "--folder", self.config,
            "--vms", self.folder / "vms.json", "--rate", PLATFORM_RATE],
            self.folder)
        own = records[first_reader(vms)]
        self.node = Node(own["vm"], own["failure_domain"], own["service"], {
            "vm": own["vm"], "region": own["region"],
            "failure_domain": own["failure_domain"],
            "service": own["service"],
            "listen": {name: ports.take()
                       for name in ("caller", "hop", "peer", "admin")},
            "backend_server": {"address": "127.0.0.1:1"},
            "platform": {"addresses": [self.platform.command[2]],
                         "calls_per_second": PLATFORM_RATE,
                         "expected_vms": vms},
            "seeds": [], "join_wait_ms": 500}, self.folder)

    def run(self, vms, files):
        self.platform.start()
        self.node.start()
        pid = self.node.popen.pid
        joined = wait_until("the node serves", self.node.is_serving,
                            JOIN_LIMIT_SECONDS)
        wait_until("the list of VMs is known",
                   lambda: self.node.status()["vms"] >= vms, 60)
        before = cpu_time_ms(pid)
        time.sleep(IDLE_SECONDS)
        idle = (cpu_time_ms(pid) - before) / IDLE_SECONDS
        changes, delays = self.change(pid)
        print(f"{vms} VMs, {files} files, {self.services} services: joined "
              f"after {joined:.1f} s; memory {memory_mb(pid):.1f} MB, peak "
              f"{memory_mb(pid, 'VmHWM'):.1f} MB; idle {idle:.1f} ms of "
              f"CPU time per second; a change {changes:.1f} ms, in force "
              f"after median {statistics.median(delays):.0f} ms, worst "
              f"{max(delays):.0f} ms", flush=True)

    def change(self, pid):
        """Returns the CPU time per change, with idle work, and delays, in ms."""
        delays = []
        before, began = cpu_time_ms(pid), time.monotonic()
        for number in range(CHANGE_COUNT):
            held = self.node.held()[0]
            write_file(self.config, 0, 3000 + number)
            delays.append(1000 * wait_until(
                "the change is in force",
                lambda: self.node.held()[0] > held, 60))
        spent = cpu_time_ms(pid) - before
        print(f"  (all changes took {time.monotonic() - began:.1f} s)")
        return spent / CHANGE_COUNT, delays

    def end(self):
        self.node.kill()
        self.platform.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def main():
    for size in sys.argv[1:] or DEFAULT_SIZES:
        vms, files = (int(part) for part in size.split(":"))
        measurement = Measurement(vms, files)
        try:
            measurement.run(vms, files)
        finally:
            measurement.end()


if __name__ == "__main__":
    main()
