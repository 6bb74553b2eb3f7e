"""The machine that reads the store for its zone is cut off from the store and from the other zone, silently."""

import json
import pathlib
import select
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins"))
from mesh import DRAIN_S, TROUBLE, CannotRun, configuration, play  # noqa: E402

HOST = "ledger.example"
SETTLE_S = 40.0  # Links that are not wanted any more are closed by then.
CUT_S = 5.5
READER_ZONE, OTHER_ZONE = "hall-a", "hall-b"


class Relay:
    """A stretch of network before `target`. While it is cut, no byte passes and a connection that is tried hangs."""

    def __init__(self, address, target):
        self.target = self._split(target)
        self.is_cut = False  # For all connections.
        self.holds_new = False  # For those that are not open yet.
        self.last_sent = 0.0  # When the last bytes went towards the target.
        self._plugs = []
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self._split(address))
        self._listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()

    @staticmethod
    def _split(address):
        host, port = address.rsplit(":", 1)
        return host, int(port)

    def _accept(self):
        while True:
            if self.holds_new:
                time.sleep(0.01)
                continue
            if not select.select([self._listener], [], [], 0.02)[0] or self.holds_new:
                continue
            near, _ = self._listener.accept()
            threading.Thread(target=self._run, args=(near,), daemon=True).start()

    def _run(self, near):
        try:
            far = socket.create_connection(self.target, timeout=2)
        except OSError:
            near.close()
            return
        for each in (near, far):
            each.settimeout(None)
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                ready = select.select([near, far], [], [], 0.05)[0] if not self.is_cut else time.sleep(0.01)
                for source in ready or ():
                    if self.is_cut:
                        break
                    piece = source.recv(65536)
                    if not piece:
                        return
                    (far if source is near else near).sendall(piece)
                    if source is near:
                        self.last_sent = time.monotonic()
        except OSError:
            pass
        finally:
            near.close()
            far.close()

    def cut(self):
        self.is_cut = True
        self.hold_new()

    def hold_new(self):
        """The queue of new connections is filled, so that the kernel drops the opening packets of others."""
        self.holds_new = True
        self._listener.listen(0)
        for _ in range(2):
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(self._listener.getsockname())
            self._plugs.append(plug)

    def heal(self):
        for plug in self._plugs:
            plug.close()
        self._listener.listen(128)
        self.is_cut = self.holds_new = False


def behind_relays(mesh, number, zone):
    """A machine whose ways to the store and to the control port of its node lead over relays."""
    upstream, node = mesh.add(number, "ledger", zone, beats=False)
    inside = f"{mesh.net}.{number + 100}:{mesh.ports['peer']}"
    outside = f"{node.machine}:{mesh.ports['peer']}"
    store = f"{mesh.net}.{number + 150}:{mesh.ports['store']}"
    node.peer_relay = Relay(outside, inside)
    node.store_relay = Relay(store, mesh.store_address)
    text = node.settings.read_text()
    for before, after in ((f'"peer": "{outside}"', f'"peer": "{inside}"'), (mesh.store_address, store)):
        if before not in text:
            raise CannotRun("the template of the settings is another one")
        text = text.replace(before, after)
    node.settings.write_text(text)
    return upstream, node


def is_reader(mesh, node):
    said = [json.loads(line)["is_reader"] for line in (mesh.folder / f"{node.machine}.log").read_text().splitlines()
            if line.startswith("{") and '"reader-role"' in line]
    return bool(said) and said[-1]


def scene(mesh):
    mesh.quiet = True
    mesh.store.write("op/config", configuration(
        7, ["ledger"], [{"host": HOST, "prefix": "/balance/", "kind": "safe", "service": "ledger"}]))
    zone = [behind_relays(mesh, number, READER_ZONE) for number in (11, 12, 13)]
    _, other = behind_relays(mesh, 21, OTHER_ZONE)
    mesh.start()
    time.sleep(SETTLE_S)
    readers = [node for _, node in zone if is_reader(mesh, node)]
    if len(readers) != 1:
        raise CannotRun(f"{len(readers)} machines of the zone say that they read the store")
    reader = readers[0]
    followers = [(upstream, node) for upstream, node in zone if node is not reader]
    leaving = followers[0][0]
    mesh.record.add(f"{reader.machine} reads the store for {READER_ZONE}; the machines {followers[0][1].machine} and "
                    f"{followers[1][1].machine} of that zone are never touched")
    # Within the first tenth of a second of one of its watches, which last 1.5 s: within the first 0.6 s would do.
    began = reader.store_relay.last_sent
    while reader.store_relay.last_sent == began:
        time.sleep(0.01)
    if TROUBLE:
        mesh.record.add(f"cut: {reader.machine} from the store and from {OTHER_ZONE}, for {CUT_S} s")
        reader.store_relay.cut()
        other.peer_relay.cut()  # Of the machines of the reader's zone, only the reader has a link there.
        reader.peer_relay.hold_new()  # Its links within the zone are up: these would come from the other zone.
    time.sleep(0.05)
    acknowledged = leaving.drain()
    sent, over = {}, threading.Event()

    def client(node):
        while not over.is_set():
            answer = mesh.call(node, HOST, "/balance/1", tells=False)
            sent[answer.request_id] = (node.machine, answer)
            time.sleep(0.01)

    clients = [threading.Thread(target=client, args=(node,)) for _, node in followers for _ in range(4)]
    for each in clients:
        each.start()
    time.sleep(CUT_S - 0.1)
    over.set()
    for each in clients:
        each.join()
    if TROUBLE:
        for relay in (reader.store_relay, other.peer_relay, reader.peer_relay):
            relay.heal()
        mesh.record.add("the cut heals")
    late = {request_id: at - acknowledged for at, request_id in leaving.ran
            if at > acknowledged + DRAIN_S and request_id in sent}
    for request_id, seconds in late.items():
        mesh.record.add(f"{request_id}, sent at {sent[request_id][0]}, reached {leaving.identity} {seconds:.3f} s after "
                        f"the acknowledgement and got {sent[request_id][1].status}")
    in_time = sum(1 for at, request_id in leaving.ran if acknowledged < at <= acknowledged + DRAIN_S)
    return not late, (f"{len(late)} of {len(sent)} requests reached the leaving upstream more than {DRAIN_S} s after the "
                      f"acknowledgement, the last one after {max(late.values(), default=0.0):.2f} s; {in_time} before")


play(__file__, scene)
