"""Callers that send requests without pause, and the judge of what happened.

The backend servers' logs are the judge: they tell what really ran.
"""

import collections
import dataclasses
import hashlib
import http.client
import random
import select
import threading
import time
import zlib

ANSWER_SECONDS = 8
KINDS = (("GET", "/ledger/balances"), ("POST", "/ledger/postings"))


@dataclasses.dataclass
class Outcome:
    """How one attempt of a caller at one node ended."""
    request_id: str
    method: str
    node: str
    began: float
    seconds: float = 0
    status: int = 0
    verdict: str = ""
    reason: str = ""
    backend: str = ""
    failure: str = ""  # Empty when a whole answer came.
    written: bool = False  # Whether any byte of the request was sent.

    def is_served(self):
        return not self.failure and self.status == 200


class Load:
    """Callers in threads; each keeps its connections as browsers do."""

    def __init__(self, fleet, seed, callers=8, pause=0.01, size=3000,
                 service_ms=5, nodes=None):
        self.nodes = nodes or list(fleet.nodes.values())
        self.fleet, self.pause, self.size = fleet, pause, size
        self.service_ms = service_ms
        self.outcomes = []  # Appended to by all callers; appends are atomic.
        self._going = True
        self._threads = [
            threading.Thread(target=self._run, daemon=True,
                             args=(f"{seed}-{number}",
                                   self.nodes[number % len(self.nodes)]))
            for number in range(callers)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, kind, value, trace):
        self._going = False
        for thread in self._threads:
            thread.join(ANSWER_SECONDS + 2)

    def _run(self, name, node):
        chance = random.Random(name)
        connections = {}
        number = 0
        while self._going:
            number += 1
            method, path = KINDS[chance.randrange(len(KINDS))]
            request_id = f"{name}-{number}"
            # What was surely not run goes to another node under another id.
            for attempt in range(len(self.nodes)):
                outcome = self._send(connections, node, method, path,
                                     f"{request_id}-{attempt}")
                self.outcomes.append(outcome)
                if outcome.written and outcome.verdict != "not-run":
                    break
                node = self.nodes[(self.nodes.index(node) + 1)
                                  % len(self.nodes)]
            time.sleep(chance.uniform(0, 2 * self.pause))
        for connection in connections.values():
            connection.close()

    def _send(self, connections, node, method, path, request_id):
        outcome = Outcome(request_id, method, node.vm, time.monotonic())
        connection = connections.pop(node.vm, None)
        if connection is not None and select.select(
                [connection.sock], [], [], 0)[0]:
            # The node closed it while it was idle.
            connection.close()
            connection = None
        try:
            if connection is None:
                connection = http.client.HTTPConnection(
                    node.listen["caller"], timeout=ANSWER_SECONDS)
                connection.connect()
            chunked = "&chunked=1" if zlib.crc32(request_id.encode()) % 2 else ""
            outcome.written = True
            connection.request(
                method, f"{path}?bytes={self.size}&ms={self.service_ms}"
                f"{chunked}", body=request_id if method == "POST" else None,
                headers={"X-Request-Id": request_id})
            answer = connection.getresponse()
            body = answer.read()
            self._judge_answer(outcome, answer, body)
            if not outcome.failure and not answer.will_close:
                connections[node.vm] = connection
        except (OSError, http.client.HTTPException) as failure:
            outcome.failure = type(failure).__name__
        if node.vm not in connections and connection is not None:
            connection.close()
        outcome.seconds = time.monotonic() - outcome.began
        return outcome

    def _judge_answer(self, outcome, answer, body):
        outcome.status = answer.status
        outcome.verdict = answer.getheader("Wagtailmount-Verdict", "")
        outcome.reason = answer.getheader("Wagtailmount-Reason", "")
        if answer.status != 200:
            return
        head, _, rest = body.partition(b"\n")
        fields = head.decode(errors="replace").split(" ")
        sent = outcome.request_id if outcome.method == "POST" else ""
        whole = (outcome.request_id + ".") * (
            self.size // len(outcome.request_id) + 1)
        own = [outcome.request_id, fields[1] if len(fields) > 1 else "",
               hashlib.sha256(sent.encode()).hexdigest()]
        outcome.backend = own[1]
        if fields != own or rest != whole[:self.size].encode():
            outcome.failure = "AnotherOrPartialAnswer"


def breaches(outcomes, ran):
    """What must never be, whatever fails: a line for each breach."""
    found = []
    for one in outcomes:
        runs = len(ran.get(one.request_id, []))
        label = (f"{one.request_id} {one.method} at {one.node}: status "
                 f"{one.status}, verdict {one.verdict or '-'}, reason "
                 f"{one.reason or '-'}, {one.failure or 'whole'}, ran {runs}"
                 f" times at {ran.get(one.request_id)}")
        if one.method == "POST" and runs > 1:
            found.append("doubled: " + label)
        if one.verdict == "not-run" and runs > 0:
            found.append("called not-run but ran: " + label)
        if not one.written and runs > 0:
            found.append("never sent but ran: " + label)
        if one.verdict == "ran" and runs == 0:
            found.append("called ran but did not: " + label)
        if one.status == 200 and one.verdict != "ran":
            found.append("answered without the verdict ran: " + label)
        if one.status and not one.verdict:
            found.append("no verdict: " + label)
        if one.failure == "AnotherOrPartialAnswer":
            found.append("not its own whole answer: " + label)
    return found


def harmed(outcomes):
    """Attempts that were sent and neither served nor refused as not run."""
    return [one for one in outcomes
            if one.written and not one.is_served()
            and one.verdict != "not-run"]


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if (
        ordered) else 0


def summary(outcomes):
    """One line of counts and latency, for the log of a run."""
    served = [one.seconds * 1000 for one in outcomes if one.is_served()]
    ends = collections.Counter(
        one.failure or (one.verdict if one.is_served() else
                        f"{one.verdict}/{one.reason}") for one in outcomes)
    return (f"{len(outcomes)} attempts, {len(served)} served, ms median "
            f"{quantile(served, 0.5):.1f} p99 {quantile(served, 0.99):.1f} "
            f"worst {quantile(served, 1):.1f}; {dict(ends)}")
