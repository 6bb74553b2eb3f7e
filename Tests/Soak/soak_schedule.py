"""What is done to the fleet of a soak, drawn from its seed: faults come in series and overlap."""

import dataclasses
import random
import signal
import threading
import time

from soak_callers import send
from soak_fleet import LETHAL, SERVICES, terminate

DRAIN_SECONDS = 2.0
WARM_UP_SECONDS = 4.0
CALM_AT_END_SECONDS = 9.0


@dataclasses.dataclass
class Disturbance:
    """Something done to one node (or to the store: node -1), and when it was over."""
    kind: str
    node: int
    began: float
    ended: float = float("inf")
    grace_seconds: float = 0.0  # Of a planned stop.

    def overlaps(self, begin, end):
        return self.began <= end and self.ended >= begin


class Schedule:
    """Draws what happens and when; run() does it."""

    # (what, weight, longest time in seconds)
    KINDS = (("kill", 3, 0.5), ("terminate", 3, 0), ("freeze", 2, 1.5), ("store-front", 3, 4), ("store-down", 2, 3),
             ("store-back", 1, 1), ("publish", 5, 0), ("publish-series", 2, 0), ("backend-crash", 2, 1),
             ("backend-leave", 3, 0), ("backend-limit", 4, 12), ("backend-fault", 6, 4), ("entry-lapses", 1, 2))
    BACKEND_FAULTS = ("shed", "error", "reset", "cut", "garbage", "endless", "copy", "slow")
    FRONT_FAULTS = ("busy", "silent", "reset", "slow")
    GRACE_SECONDS = (3.0, 4.0, 6.0, 10.0)

    def __init__(self, seed, size, seconds):
        chance = random.Random(f"schedule {seed}")
        self.steps = []
        at = WARM_UP_SECONDS
        while at < seconds - CALM_AT_END_SECONDS:
            kind, _, longest = chance.choices(self.KINDS, [weight for _, weight, _ in self.KINDS])[0]
            step = {"at": round(at, 2), "kind": kind, "node": chance.randrange(size),
                    "for": round(chance.uniform(0.3, 1) * longest, 2), "draw": round(chance.random(), 3)}
            self.steps.append(step)
            at += chance.choice((0.05, 0.5, 1.0, 2.0))
        # Drawn apart, so that the seeds of earlier findings draw what they drew then.
        chance = random.Random(f"lethal requests {seed}")
        for _ in range(chance.choice((0, 1, 1, 2))):
            at = chance.uniform(WARM_UP_SECONDS, max(WARM_UP_SECONDS, seconds - CALM_AT_END_SECONDS))
            self.steps.append({"at": round(at, 2), "kind": "lethal-request", "node": 0,
                               "for": round(chance.uniform(3, 9), 2), "draw": round(chance.random(), 3)})
        # Drawn apart as well: changes of the operator's, beside the stops and at other times.
        chance = random.Random(f"changes {seed}")
        self.grace_seconds = chance.choice(self.GRACE_SECONDS)
        for stop in [step for step in self.steps if step["kind"] == "terminate"]:
            for kind in ("publish-series", "settings", "settings"):
                if chance.random() < 0.6:
                    node = stop["node"] if chance.random() < 0.5 else chance.randrange(size)
                    at = max(WARM_UP_SECONDS, stop["at"] + chance.uniform(-0.5, 4))
                    self.steps.append({"at": round(at, 2), "kind": kind, "node": node, "for": 0,
                                       "draw": round(chance.random(), 3)})
        self.steps.sort(key=lambda step: step["at"])

    def lines(self):
        return [f"{step['at']:6.2f} s {step['kind']} node {step['node']} for {step['for']} s, draw {step['draw']}"
                for step in self.steps]

    @staticmethod
    def pick(choices, draw):
        return choices[min(int(draw * len(choices)), len(choices) - 1)]


class Operator:
    """Does what a schedule says, each step on a thread of its own, and keeps the record for the judge."""

    def __init__(self, fleet, schedule):
        self.fleet, self.schedule = fleet, schedule
        self.disturbances = []
        self.publications = []  # (version, acknowledged at)
        self.leavings = []  # (identity, acknowledged at)
        self.limits = []  # [identity, requests a second, from, until]
        self.failures = []  # Of the operator itself.
        self.attempts = []  # Requests that crash backend servers.
        self.settings_changes = 0
        self._come_backs = []
        fleet.on_backend_crash = self._crashed
        self.over_at = 0.0  # When the last step had ended.
        self._busy = {node.number: threading.Lock() for node in fleet.nodes}
        self._backend_busy = {node.number: threading.Lock() for node in fleet.nodes}
        self._store_busy = threading.Lock()

    def run(self, seconds):
        began = time.monotonic()
        threads = []
        for step in self.schedule.steps:
            time.sleep(max(0.0, began + step["at"] - time.monotonic()))
            threads.append(threading.Thread(target=self._do, args=(step,), daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join(60)
        for thread in self._come_backs:
            thread.join(60)
        # Steps wait for each other, so the last one may end late.
        self.over_at = time.monotonic()
        time.sleep(max(CALM_AT_END_SECONDS, began + seconds - time.monotonic()))

    def _do(self, step):
        try:
            name = "_" + step["kind"].replace("-", "_")
            getattr(self, name)(self.fleet.nodes[step["node"]], step["for"], step["draw"])
        except Exception as failure:  # pylint: disable=broad-except
            self.failures.append(f"{step}: {failure!r}")

    def _disturb(self, kind, node):
        disturbance = Disturbance(kind, node.number if node else -1, time.monotonic())
        self.disturbances.append(disturbance)
        return disturbance

    def _over(self, disturbance):
        disturbance.ended = time.monotonic()

    def _wait_ready(self, node):
        for _ in range(400):
            if node.is_ready():
                return
            time.sleep(0.02)

    # Signals to one process overlap with everything else but each other's waits.
    def _kill(self, node, span, _):
        disturbance = self._disturb("kill", node)
        with self._busy[node.number]:
            node.handles_signals = False
            node.kill()
            time.sleep(span)
            self.fleet.start_node(node)
            self._wait_ready(node)
            node.handles_signals = True
        self._over(disturbance)

    def _terminate(self, node, _, __):
        disturbance = self._disturb("terminate", node)
        with self._busy[node.number]:
            with node.settings_lock:
                disturbance.began, disturbance.grace_seconds = time.monotonic(), node.grace_seconds
                terminate(node)
            try:
                node.popen.wait(disturbance.grace_seconds)
            except Exception:  # pylint: disable=broad-except
                disturbance.kind = "terminate, outlived its grace period"
                node.kill()
            node.handles_signals = False
            self.fleet.start_node(node)
            self._wait_ready(node)
            node.handles_signals = True
        self._over(disturbance)

    def _settings(self, node, _, draw):
        """Another grace period, which a stop that has begun doesn't take."""
        with node.settings_lock:
            if not node.handles_signals:
                return
            node.set_grace(Schedule.pick(Schedule.GRACE_SECONDS, draw))
            node.signal(signal.SIGHUP)
            self.settings_changes += 1
            time.sleep(0.3)  # It reads them meanwhile.

    def _freeze(self, node, span, _):
        disturbance = self._disturb("freeze", node)
        with self._busy[node.number]:
            node.freeze()
            time.sleep(span)
            node.thaw()
        self._over(disturbance)

    def _store_front(self, node, span, draw):
        disturbance = self._disturb("store-front", node)
        node.front.fault = Schedule.pick(Schedule.FRONT_FAULTS, draw)
        time.sleep(span)
        node.front.fault = None
        self._over(disturbance)

    def _store_down(self, _, span, __):
        disturbance = self._disturb("store", None)
        with self._store_busy:
            self.fleet.store.is_down = True
            time.sleep(span)
            self.fleet.store.is_down = False
        self._over(disturbance)

    def _store_back(self, _, span, __):
        """The store is restored from a copy some seconds old; the operator and the backend servers write again."""
        disturbance = self._disturb("store", None)
        with self._store_busy:
            self.fleet.store.go_back(time.monotonic() - 1.5, span)
            for node in self.fleet.nodes:
                backend = node.backend
                state = "draining" if backend.is_leaving else "ready"
                self.fleet.store.write(f"servers/{backend.identity}", backend.entry(node.domain, state))
            # Entries of starts that are gone lapse, for nobody writes them any more.
            current = {node.backend.identity for node in self.fleet.nodes}
            for backend in self.fleet.backends:
                if backend.identity not in current:
                    self.fleet.store.remove(f"servers/{backend.identity}")
            self.publications.append(self.fleet.publish())
        self._over(disturbance)

    def _publish(self, _, __, ___):
        with self._store_busy:
            self.publications.append(self.fleet.publish())

    def _publish_series(self, _, __, ___):
        for _ in range(4):
            self._publish(None, None, None)
            time.sleep(0.15)

    def _backend_crash(self, node, span, _):
        disturbance = self._disturb("backend", node)
        with self._backend_busy[node.number]:
            gone = node.backend
            gone.stop()
            time.sleep(span)
            self.fleet.store.remove(f"servers/{gone.identity}")
            self.fleet.start_backend(node)
        self._over(disturbance)

    def _crashed(self, node, gone):
        self._come_backs.append(threading.Thread(target=self._come_back, args=(node, gone), daemon=True))
        self._come_backs[-1].start()

    def _come_back(self, node, gone):
        disturbance = self._disturb("backend", node)
        time.sleep(1.5)
        with self._backend_busy[node.number]:
            self.fleet.store.remove(f"servers/{gone.identity}")
            if node.backend is gone:
                self.fleet.start_backend(node)
        self._over(disturbance)

    def _lethal_request(self, _, span, draw):
        """A request that crashes every backend server that runs it comes again and again, of one calling service."""
        chance = random.Random(draw)
        service = Schedule.pick(SERVICES, chance.random())
        entries = [node for node in self.fleet.nodes if node.service == service]
        body = LETHAL.decode() + str(draw)
        end = time.monotonic() + span
        while time.monotonic() < end:
            node = chance.choice(entries)
            request_id = f"{body}.{len(self.attempts)}.{node.number}"
            attempt, connection = send(node, None, "GET", "/history/7", request_id, body)
            self.attempts.append(attempt)
            if connection:
                connection.close()
            time.sleep(chance.uniform(0, 0.3))

    def _backend_leave(self, node, _, draw):
        """Leaves as planned: said in the entry, in the answers, or in both; the next start follows."""
        with self._backend_busy[node.number]:
            leaving = node.backend
            if draw < 0.7:
                leaving.is_leaving = True
            if draw > 0.3:
                with self._store_busy:
                    self.fleet.store.write(f"servers/{leaving.identity}", leaving.entry(node.domain, "draining"))
                    self.leavings.append((leaving.identity, time.monotonic()))
            time.sleep(DRAIN_SECONDS + 1.5)
            disturbance = self._disturb("backend", node)
            self.fleet.store.remove(f"servers/{leaving.identity}")
            leaving.stop()
            self.fleet.start_backend(node)
            self._over(disturbance)

    def _backend_limit(self, node, span, draw):
        with self._backend_busy[node.number]:
            limited = node.backend
            limited.rate_limit = round(0.5 + 4 * draw, 1)
            limit = [limited.identity, limited.rate_limit, time.monotonic(), float("inf")]
            self.limits.append(limit)
            time.sleep(span)
            limited.rate_limit = None
            limit[3] = time.monotonic()

    def _backend_fault(self, node, span, draw):
        disturbance = self._disturb("backend", node)
        backend = node.backend
        backend.fault = Schedule.pick(Schedule.BACKEND_FAULTS, draw)
        backend.fault_share = 0.5
        time.sleep(span)
        backend.fault = None
        self._over(disturbance)

    def _entry_lapses(self, node, span, _):
        """The entry lapses while the store is away, and is back after it."""
        disturbance = self._disturb("store", None)
        with self._backend_busy[node.number], self._store_busy:
            self.fleet.store.is_down = True
            self.fleet.store.remove(f"servers/{node.backend.identity}")
            time.sleep(span)
            self.fleet.store.is_down = False
            time.sleep(0.5)
            self.fleet.store.write(f"servers/{node.backend.identity}", node.backend.entry(node.domain))
        self._over(disturbance)
