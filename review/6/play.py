"""DRAIN: a reader that is killed and started again makes its zone lose the removal of an upstream for good."""

import http.client
import json
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from mesh import TROUBLE, configuration, main, now, route  # noqa: E402

DRAIN = 2.0
STORM_SECONDS, STORM_GAP = 5.0, 0.25
RESTART_AFTER = 0.3  # "A process that exits or is killed is restarted after a short delay"
SERVES_ON = 12.0  # "continues serving for `drain` ... and a little longer (at times many seconds)"
SERVICES = {1: ("hall-a", "ledger"), 2: ("hall-a", "ledger"), 3: ("hall-a", "ledger"), 4: ("hall-b", "ledger"),
            5: ("hall-b", "casefile")}


def is_reader(mesh, number):
    connection = http.client.HTTPConnection(mesh.ip(number), mesh.ports["admin"], timeout=2)
    try:
        connection.request("GET", "/v1/status")
        return json.loads(connection.getresponse().read())["is_reader"]
    finally:
        connection.close()


def play(mesh):
    rules = [route("/balance/", "safe", "ledger"), route("/posting/", "unsafe", "ledger"),
             route("/history/", "safe", "casefile")]
    version = [3]

    def change_configuration():
        version[0] += 2
        timeout = f"{2000 + version[0]}ms"
        changed = [route("/balance/", "safe", "ledger", timeout=timeout)] + rules[1:]
        mesh.record.line("configuration", mesh.store.write(
            "op/config", configuration(version[0], changed, ["casefile", "ledger"])), version=version[0])

    mesh.store.write("op/config", configuration(version[0], rules, ["casefile", "ledger"]))

    def work(request):
        time.sleep(0.03)
        return request["id"].encode()

    for number, (zone, service) in SERVICES.items():
        mesh.add_machine(number, zone, service, work)
        mesh.start(number)
    mesh.wait_ready()
    time.sleep(5.0)  # All machines are in touch, and have their links.
    reader = next(number for number in (1, 2, 3) if is_reader(mesh, number))
    others = [number for number in (1, 2, 3) if number != reader]
    leaving = mesh.upstreams[others[0]]
    print(f"the reader of hall-a is machine {reader}; {leaving.identity} leaves")
    is_over = threading.Event()
    sent = {}

    def client(number, seed):
        chance = random.Random(seed)
        while not is_over.is_set():
            request_id = f"m{number}-{chance.getrandbits(48):012x}"
            sent[request_id] = number, now()
            if chance.random() < 0.7:
                mesh.call(number, "/balance/1", request_id=request_id)
            else:
                mesh.call(number, "/posting/1", "POST", b"cash", request_id=request_id)
            time.sleep(chance.uniform(0.02, 0.08))

    # Only machines that are never touched take requests.
    clients = [threading.Thread(target=client, args=(number, 10 * number + index), daemon=True)
               for number in others for index in range(2)]
    for each in clients:
        each.start()
    time.sleep(2.0)

    def storm():
        end = now() + STORM_SECONDS
        while now() < end:
            change_configuration()
            time.sleep(STORM_GAP)

    threading.Thread(target=storm, daemon=True).start()
    time.sleep(1.1)
    if TROUBLE:
        mesh.nodes[reader].kill()
        mesh.nodes[reader].wait()
        mesh.record.line("killed", machine=reader)
    time.sleep(0.1)
    mesh.beats.out(leaving)  # It never reports `draining`: its entry is removed, and it goes on serving.
    acknowledged = now()
    mesh.record.line("removed", acknowledged, upstream=leaving.identity)
    time.sleep(RESTART_AFTER - 0.1)
    if TROUBLE:
        mesh.start(reader)
        mesh.record.line("started", machine=reader)
    time.sleep(max(0.0, acknowledged + SERVES_ON - now()))
    is_over.set()
    for each in clients:
        each.join(4)
    late = [(at, request_id) for at, request_id, _ in leaving.runs if at > acknowledged + DRAIN]
    for at, request_id in late:
        mesh.record.line("late-run", at, id=request_id, machine=sent[request_id][0],
                         after_ack_ms=int((at - acknowledged) * 1000))
    latest = max((at for at, _ in late), default=acknowledged) - acknowledged
    print(f"requests at machines that were never touched: {len(sent)}; run at the leaving upstream later than {DRAIN} s after "
          f"its removal was acknowledged: {len(late)}, up to {latest:.1f} s")
    if late:
        return [f"DRAIN: {len(late)} requests, taken and sent on by machines in touch, ran at an upstream later than {DRAIN} s "
                f"after its removal was acknowledged, up to {latest:.1f} s later, when it still ran"]
    return []


main(HERE, play)
