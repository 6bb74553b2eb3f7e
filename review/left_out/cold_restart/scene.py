"""While the store is down an upstream's process ends; its supervisor, which holds the listening socket, starts it anew."""

import pathlib
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "stand_ins"))
from mesh import BEAT_S, TROUBLE, Node, Upstream, configuration, play  # noqa: E402

HOST = "rates.example"
COLD_S, COLD_PER_S, OVERAGE, SLACK = 3.0, 15, 1.5, 8
ALLOWED = COLD_PER_S * OVERAGE + SLACK
CLIENTS = 24
SERVICE = "rates"


class Supervised(Upstream):
    """Its connections end with its process; its listening socket does not."""

    def __init__(self, *arguments, **options):
        self.starts = [time.monotonic() - 60]
        super().__init__(*arguments, beats=False, **options)
        threading.Thread(target=self._beat_all, daemon=True).start()

    def entry(self):
        entry = super().entry()
        now = time.monotonic()
        entry["born"] = 1_700_000_000_000 + int(self.starts[-1] * 1000)
        if now < self.starts[-1] + COLD_S and len(self.starts) > 1:
            entry["cold-remaining"] = f"{int((self.starts[-1] + COLD_S - now) * 1000)}ms"
        return entry

    def _beat_all(self):
        """Each heartbeat, as long as the store is up."""
        while not self._ended.wait(BEAT_S):
            with self._lock:
                if self.registers and not self.mesh.store._listener.is_stopped:
                    self.mesh.store.write(f"servers/{self.identity}", self.entry())

    def _serve(self, connection):
        connection.start = len(self.starts)
        super()._serve(connection)

    def crash(self):
        with self._lock:
            self.starts.append(time.monotonic())
            self._running = 0
        with self._listener._lock:
            for each in list(self._listener._open):
                try:
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        self.mesh.record.add(f"upstream {self.identity}: ends, and starts again under its id, cold for {COLD_S} s")


def scene(mesh):
    mesh.quiet = True
    document = configuration(7, ["front", SERVICE], [{"host": HOST, "prefix": "/rates/", "kind": "safe",
                                                      "service": SERVICE, "aim": "300ms", "timeout": "1000ms"}])
    for each in document["clusters"]:
        each.update({"cold-start": f"{int(COLD_S * 1000)}ms", "cold-per-s": COLD_PER_S})
    mesh.store.write("op/config", document)
    front, entry = mesh.add(1, "front", "hall-a", beats=False)
    upstream = Supervised(mesh, mesh.machine(2), SERVICE, "hall-a", "i-0002", slots=9, work_s=0.028)
    mesh.upstreams.append(upstream)
    upstream.register()
    node = Node(mesh, mesh.machine(2), SERVICE, "hall-a")
    mesh.nodes[2] = node
    for each in (entry, node):
        text = each.settings.read_text()
        cold = f'"cold_starts": {{ "overage": {OVERAGE}, "slack": {SLACK} }},'  # As the template writes it.
        each.settings.write_text(text.replace('"retries"', cold + '\n  "retries"'))
    mesh.start()
    over = threading.Event()

    def client():
        while not over.is_set():
            mesh.call(entry, HOST, "/rates/1", deadline_ms=2000, tells=False)

    clients = [threading.Thread(target=client) for _ in range(CLIENTS)]
    for each in clients:
        each.start()
    time.sleep(6.0)
    began = time.monotonic()
    warm = sum(1 for at, _ in upstream.ran if at > began - 1)
    if TROUBLE:
        mesh.store.stop()
        mesh.record.add("the store is down from here on")
        time.sleep(0.3)
        upstream.crash()
        began = upstream.starts[-1]
    time.sleep(COLD_S)
    over.set()
    for each in clients:
        each.join()
    cold = sorted(at for at, _ in upstream.ran if began <= at < began + COLD_S) if TROUBLE else []
    most = max((sum(1 for at in cold if first <= at < first + 1.0) for first in cold), default=0)
    for tenth in range(int(COLD_S * 10)):
        count = sum(1 for at, _ in upstream.ran if began + tenth / 10 <= at < began + (tenth + 1) / 10)
        mesh.record.add(f"{tenth / 10:.1f} s after: {count} requests run")
    return most <= ALLOWED, f"the cold upstream ran {most} requests in one second, {ALLOWED} are allowed ({warm} a second before)"


play(__file__, scene)
