"""CONFIG: entries of a service that isn't named take sound upstreams out of use, and routes to these are never served."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from mesh import TROUBLE, configuration, main, now, route  # noqa: E402

CONVERGE = 2.5
SERVICES = {1: ("hall-a", "ledger"), 2: ("hall-a", "casefile"), 3: ("hall-b", "ledger"), 4: ("hall-b", "casefile")}
COUNTED_SECONDS = 15.0
LEAST_REQUESTS = 20


def play(mesh):
    rules = [route("/balance/", "safe", "ledger"), route("/posting/", "unsafe", "ledger")]
    mesh.store.write("op/config", configuration(3, rules, ["casefile", "ledger"]))

    def work(request):
        time.sleep(0.02)
        return request["id"].encode()

    for number, (zone, service) in SERVICES.items():
        mesh.add_machine(number, zone, service, work)
        mesh.start(number)
    mesh.wait_ready()
    time.sleep(3.5)  # All machines are in touch.
    if TROUBLE:
        for number in (2, 4):
            zone, _ = SERVICES[number]
            address = "%s:%d" % mesh.upstreams[number].address
            entry = {"service": "inventory", "address": address, "zone": zone, "config-version": "v1", "slots": 1,
                     "state": "ready", "cold-remaining": "0ms", "seq": 1, "born": int(time.time() * 1000)}
            mesh.record.line("stray-write", mesh.store.write(f"servers/agent-{number}", entry), entry=entry)
    time.sleep(1.0)
    added = rules + [route("/cases/", "safe", "casefile")]
    acknowledged = mesh.store.write("op/config", configuration(5, added, ["casefile", "ledger"]))
    mesh.record.line("route-added", acknowledged)
    time.sleep(CONVERGE + 3.5)  # Steady state.
    asked, served, lock = {}, {}, threading.Lock()
    end = now() + COUNTED_SECONDS

    def client(number):
        while now() < end:
            for path in ("/balance/1", "/cases/1"):
                status, _, _ = mesh.call(number, path)
                with lock:
                    asked[path] = asked.get(path, 0) + 1
                    served[path] = served.get(path, 0) + (status == 200)
            time.sleep(0.1)

    clients = [threading.Thread(target=client, args=(number,), daemon=True) for number in SERVICES]
    for each in clients:
        each.start()
    for each in clients:
        each.join(COUNTED_SECONDS + 8)
    first, later = (served[path] / asked[path] for path in ("/balance/1", "/cases/1"))
    print(f"first routes: {served['/balance/1']} of {asked['/balance/1']} served; the route added later: "
          f"{served['/cases/1']} of {asked['/cases/1']}")
    healthy = all(mesh.upstreams[number].entry("", "ready") for number in (2, 4))
    if healthy and asked["/cases/1"] >= LEAST_REQUESTS and later < first / 4:
        return [f"CONFIG: in steady state {served['/cases/1']} of {asked['/cases/1']} requests on the route added later "
                f"were served, and {served['/balance/1']} of {asked['/balance/1']} on the first routes"]
    return []


main(HERE, play)
