"""Judges a soak by what callers and backend servers saw: a line for each breach of a promise."""

import bisect
import collections

CONTACT_SECONDS = 3.0  # A node is calm when nothing was done to it for so long.
ARRIVALS_AFTER_CRASHES = 3  # Of a request under which three backend servers have crashed.
CONVERGE_SECONDS = 2.0
DRAIN_SECONDS = 2.0
TOLD_SECONDS = 0.5
LIMIT_WINDOW_SECONDS = 4.0
TIMEOUT_SECONDS = 1.5
ANSWER_SLACK_SECONDS = 0.5
LOSS_SLACK_SECONDS = 0.2
NOT_RUN_STATUSES = (408, 421, 429, 503)
PROCESS_AND_STORE = ("kill", "terminate", "freeze", "store-front", "store")


class Record:
    """What a soak left: attempts of callers, starts of backend servers, what the operator did."""

    def __init__(self, attempts, backends, operator):
        self.attempts = attempts
        self.backends = backends
        self.disturbances = operator.disturbances
        self.publications = operator.publications
        self.leavings = operator.leavings
        self.limits = operator.limits
        self.by_id = {each.request_id: each for each in attempts}
        self.runs = collections.defaultdict(list)
        for backend in backends:
            for request_id, at in backend.runs:
                self.runs[request_id].append((backend.identity, at))

    def is_calm(self, node, begin, end, kinds=None):
        """Whether nothing was done to a node, nor to the store, from CONTACT_SECONDS before `begin` to `end`."""
        return not any(each.node in (node, -1) and (kinds is None or each.kind in kinds)
                       and each.overlaps(begin - CONTACT_SECONDS, end) for each in self.disturbances)

    def is_started_or_frozen(self, node, begin, end):
        return any(each.node == node and each.overlaps(begin, end) and
                   each.kind.startswith(("kill", "terminate", "freeze")) for each in self.disturbances)


def told_at(record, what):
    """When a node first passed on an answer of a backend server that says `what`: (node, identity) -> time."""
    told = {}
    for each in sorted(record.attempts, key=lambda attempt: attempt.ended):
        if getattr(each, what):
            told.setdefault((each.node, each.stamp), each.ended)
    return told


def twice(record):
    for request_id, runs in record.runs.items():
        attempt = record.by_id.get(request_id)
        if attempt is None:
            yield f"UNASKED: {request_id} ran and no caller sent it"
        elif attempt.method == "POST" and len(runs) > 1:
            yield f"TWICE: {request_id} ran at {runs}"


def refused(record):
    for each in record.attempts:
        if each.method == "POST" and each.status in NOT_RUN_STATUSES and record.runs.get(each.request_id):
            yield f"REFUSED: {each.request_id} was answered {each.status} and ran at {record.runs[each.request_id]}"


def mixed(record):
    known = {backend.identity for backend in record.backends}
    for each in record.attempts:
        if each.status == 200 and not (each.is_own and each.stamp in known):
            yield f"MIXED: {each.request_id} got a success that is not its own whole answer, from {each.stamp or '-'}"
        elif each.status == 200 and each.stamp not in {identity for identity, _ in record.runs[each.request_id]}:
            yield f"MIXED: {each.request_id} got an answer of {each.stamp}, which did not run it"


def ordered(record):
    """Answers on a connection come in the order of its requests, refusals too."""
    for each in record.attempts:
        if each.answer_id and each.answer_id != each.request_id:
            yield f"MIXED: {each.request_id} got the answer to {each.answer_id}"


def drained(record):
    """By the platform's acknowledgement, for calm nodes; by the answers that a node passed on, for all."""
    told = told_at(record, "is_leaving_stated")
    published = dict(record.leavings)
    owners = {backend.identity: int(backend.address.split(":")[0].split(".")[3]) - 2 for backend in record.backends}
    for backend in record.backends:
        since = published.get(backend.identity)
        for request_id, at in backend.arrivals:
            attempt = record.by_id.get(request_id)
            if attempt is None:
                continue
            stated = told.get((attempt.node, backend.identity))
            if stated is not None and attempt.sent > stated + DRAIN_SECONDS and (
                    not record.is_started_or_frozen(attempt.node, stated, at)):
                yield (f"DRAIN: {request_id} reached {backend.identity} {at - stated:.2f} s after node {attempt.node} "
                       f"had passed on that it leaves")
            calm = since is not None and record.is_calm(attempt.node, since, at) and (
                record.is_calm(owners[backend.identity], since, at))
            if calm and at > since + DRAIN_SECONDS:
                yield f"DRAIN: {request_id} reached {backend.identity} {at - since:.2f} s after it was acknowledged"


def limited(record):
    told = told_at(record, "is_limit_named")
    arrivals = {backend.identity: backend.arrivals for backend in record.backends}
    for identity, limit, begin, end in record.limits:
        counted = []
        for request_id, at in arrivals.get(identity, ()):
            attempt = record.by_id.get(request_id)
            if attempt is None or not begin + CONTACT_SECONDS <= at <= end:
                continue
            stated = told.get((attempt.node, identity))
            is_told = stated is not None and stated + TOLD_SECONDS <= at
            if is_told and not record.is_started_or_frozen(attempt.node, begin, at):
                counted.append(at)
        counted.sort()
        allowed = 1.5 * limit * LIMIT_WINDOW_SECONDS + 5
        for index, at in enumerate(counted):
            count = bisect.bisect_left(counted, at + LIMIT_WINDOW_SECONDS) - index
            if count > allowed:
                yield (f"LIMIT: {identity} had named {limit} a second and got {count} requests in 4 s; allowed "
                       f"{allowed:.0f}")
                break


def configured(record):
    """A node never goes back within one life; a calm one has each version in time."""
    acknowledged = sorted(record.publications, key=lambda publication: publication[1])
    lives = collections.defaultdict(list)
    for each in record.disturbances:
        if each.kind.startswith(("kill", "terminate")):
            lives[each.node].append((each.began, each.ended))
    highest = {}
    for each in sorted(record.attempts, key=lambda attempt: attempt.sent):
        if not each.path.startswith("/version-") or each.status not in (200, 404):
            continue
        asked = int(each.path.strip("/").partition("-")[2])
        if any(begin <= each.ended and end >= each.sent for begin, end in lives[each.node]):
            continue
        life = sum(begin < each.sent for begin, _ in lives[each.node])
        newest, since = highest.get((each.node, life), (0, 0.0))
        if each.status == 200:
            if asked < newest and each.sent > since:
                yield f"CONFIG: {each.request_id}: node {each.node} went back from version {newest} to {asked}"
            elif asked > newest:
                highest[each.node, life] = (asked, each.ended)
        else:
            due = [(version, at) for version, at in acknowledged if version == asked]
            later = [at for version, at in acknowledged if version > asked]
            is_due = due and each.sent > due[0][1] + CONVERGE_SECONDS and not any(at <= each.ended for at in later)
            if is_due and record.is_calm(each.node, due[0][1], each.ended):
                yield (f"CONFIG: {each.request_id}: node {each.node} had not version {asked} "
                       f"{each.sent - due[0][1]:.2f} s after its acknowledgement")


def lost(record):
    """Under planned work only, and at calm nodes, each request that was sent whole gets an answer."""
    for each in record.attempts:
        if each.status or each.failure == "ConnectionRefusedError":
            continue
        # Stops are planned, of this node or of the one beside the backend server.
        others = [other for other in record.disturbances if other.kind not in ("terminate", "store-front")
                  and other.overlaps(each.sent - CONTACT_SECONDS, each.ended)]
        runs = record.runs.get(each.request_id)
        # Behind an answer that closes the connection, a request counts as not read.
        if each.is_behind and not runs:
            continue
        # A request that crosses the close of its connection was not read.
        if not others and (runs or each.ended - each.sent > LOSS_SLACK_SECONDS):
            yield (f"LOST: {each.request_id} at node {each.node} ended with {each.failure} after "
                   f"{each.ended - each.sent:.2f} s, ran at {runs}")


def held(record):
    """A calm node answers by the route's time limit and some more."""
    for each in record.attempts:
        taken = each.ended - each.sent
        if taken > TIMEOUT_SECONDS + ANSWER_SLACK_SECONDS and record.is_calm(each.node, each.sent, each.ended):
            yield f"HELD: {each.request_id} at node {each.node} took {taken:.2f} s"


def outlived(record):
    for each in record.disturbances:
        if each.kind == "terminate, outlived its grace period":
            yield f"GRACE: node {each.node} was still there {each.grace_seconds} s after SIGTERM"


def crashed(record):
    """A request under which three backend servers crashed reaches few more, from calm nodes."""
    arrivals = collections.defaultdict(list)
    for backend in record.backends:
        for body, request_id, at in getattr(backend, "lethal_arrivals", ()):
            arrivals[body].append((at, backend.identity, request_id))
    for body, arrived in arrivals.items():
        crashes = {}
        for at, identity, _ in sorted(arrived):
            crashes.setdefault(identity, at)
        if len(crashes) < 3:
            continue
        since = sorted(crashes.values())[2]
        late = [request_id for at, _, request_id in arrived if at > since + CONTACT_SECONDS and record.is_calm(
            record.by_id[request_id].node, record.by_id[request_id].sent, at, PROCESS_AND_STORE)]
        if len(late) > ARRIVALS_AFTER_CRASHES:
            yield (f"BUDGET: {body.decode()} reached backend servers {len(late)} times more after three had crashed "
                   f"under it; {len(crashes)} crashed")


def recovered(record, calm_from):
    """After the last fault, everything works again at all nodes."""
    last = [each for each in record.attempts if each.sent > calm_from and not each.path.startswith("/version-")]
    for node in sorted({each.node for each in record.attempts}):
        own = [each for each in last if each.node == node]
        served = sum(each.status == 200 for each in own)
        if not own or served < 0.98 * len(own):
            yield f"RECOVER: node {node} served {served} of {len(own)} requests at the end"


PROMISES = (twice, refused, mixed, ordered, drained, limited, configured, lost, held, outlived, crashed)


def breaches(record, calm_from):
    found = [line for promise in PROMISES for line in promise(record)]
    return found + list(recovered(record, calm_from))
