"""CONFIG: a configuration that grows by many routes comes in force later than `converge` on machines with slow links."""

import json
import pathlib
import random
import sys
import threading
import time
import uuid

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib-2"))
from mesh import TROUBLE, NarrowLink, configuration, main, now, route  # noqa: E402

CONVERGE = 2.5
LINK_MEGABITS = 5.0
SERVICES = {1: ("hall-a", "ledger"), 2: ("hall-b", "ledger"), 3: ("hall-a", "casefile"), 4: ("hall-b", "casefile"),
            5: ("hall-a", "casefile"), 6: ("hall-b", "casefile")}
ROUTES_BEFORE, MORE_ROUTES = 1400, 1400
VALUE_BYTES = 1048576


def idle_routes(count):
    """Routes that nobody asks for: one for each of many tenants and kinds of document."""
    chance = random.Random(7)

    def name():
        return str(uuid.UUID(int=chance.getrandbits(128), version=4))

    rules = []
    for _ in range(count):
        each = route(f"/tenants/{name()}/collections/instalments-and-receipts/{name()}/", "safe",
                     chance.choice(("ledger", "casefile")), timeout=f"{chance.randint(500, 9000)}ms",
                     target_latency=f"{chance.randint(100, 450)}ms", priority=chance.randint(0, 9))
        each["name"] = f"instalments-and-receipts-of-tenant-{name()}"
        rules.append(each)
    return rules


def play(mesh):
    old = [route("/balance/", "safe", "ledger"), route("/cases/", "safe", "ledger")]
    new = [route("/balance/", "safe", "ledger"), route("/cases/", "safe", "casefile")]
    services = ["casefile", "ledger"]
    mesh.store.write("op/config", configuration(3, old + idle_routes(ROUTES_BEFORE), services))
    links = []
    for number, (zone, service) in SERVICES.items():
        mesh.add_machine(number, zone, service)
        fields = mesh.settings_fields(number)
        way = mesh.ip(number), mesh.ports["store"]
        links.append(NarrowLink(way, ("127.0.0.1", mesh.ports["store"]), LINK_MEGABITS))
        mesh.write_settings(number, platform={**fields["platform"], "address": "%s:%d" % way},
                            limits={**fields["limits"], "link-mbps": LINK_MEGABITS})
        mesh.start(number)
    mesh.wait_ready(seconds=30)
    time.sleep(6.0)  # All machines are in touch, and hold the configuration.
    is_over = threading.Event()
    sent = {}

    def client(number):
        count = 0
        while not is_over.is_set():
            count += 1
            request_id = f"m{number}-{count}"
            sent[request_id] = number, now()
            mesh.call(number, "/cases/1", request_id=request_id)
            time.sleep(0.04)

    clients = [threading.Thread(target=client, args=(number,), daemon=True) for number in SERVICES]
    for each in clients:
        each.start()
    time.sleep(2.0)
    document = configuration(5, new + idle_routes(ROUTES_BEFORE + (MORE_ROUTES if TROUBLE else 0)), services)
    size = len(json.dumps(document))
    assert size <= VALUE_BYTES
    acknowledged = mesh.store.write("op/config", document)
    mesh.record.line("configuration", acknowledged, version="r5", bytes=size)
    time.sleep(8.0)
    is_over.set()
    for each in clients:
        each.join(4)
    stale = {}
    latest = 0.0
    for number, upstream in mesh.upstreams.items():
        if SERVICES[number][1] != "ledger":
            continue
        for at, request_id, path in upstream.runs:
            machine, sent_at = sent[request_id]
            if path.startswith("/cases/") and sent_at > acknowledged + CONVERGE:
                stale[machine] = stale.get(machine, 0) + 1
                latest = max(latest, sent_at - acknowledged)
                mesh.record.line("stale-run", at, id=request_id, machine=machine, service="ledger",
                                 sent_after_ack_ms=int((sent_at - acknowledged) * 1000))
    first = {}
    for number, upstream in mesh.upstreams.items():
        for at, request_id, path in upstream.runs:
            if SERVICES[number][1] == "casefile" and path.startswith("/cases/"):
                machine, sent_at = sent[request_id]
                first[machine] = min(first.get(machine, 1e9), sent_at - acknowledged)
    print("in force after, by machine:", {machine: round(first[machine], 2) for machine in sorted(first)})
    print(f"configuration of {size} bytes; requests sent later than {CONVERGE} s after its acknowledgement and run by the "
          f"old service, by machine: {stale}; the latest was sent {latest:.2f} s after it")
    if stale:
        return [f"CONFIG: {sum(stale.values())} requests were run as only the older version allows, sent up to {latest:.2f} s "
                f"after the acknowledgement of the newer one ({CONVERGE} s are allowed), at {len(stale)} machines in touch"]
    return []


main(HERE, play)
