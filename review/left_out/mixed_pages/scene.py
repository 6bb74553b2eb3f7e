"""A node starts again while the upstream beside it is taken away; the pages of its first listing differ in age."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "stand_ins"))
from mesh import DRAIN_S, TROUBLE, configuration, play  # noqa: E402

CONTACT_S = 3.0
STALE_S = 2.0
FILLERS = 56
HOST = "ledger.example"


def scene(mesh):
    mesh.store.write("op/config", configuration(
        7, ["ledger", "casefile"], [{"host": HOST, "prefix": "/balance/", "kind": "safe", "service": "ledger"}]))
    # Upstreams of another service, so that the store's listing has two pages. Nothing is sent to them.
    for number in range(FILLERS):
        mesh_upstream(mesh, 100 + number, "casefile", f"hall-{'cd'[number % 2]}", f"i-{number:04x}")
    leaving, node = mesh.add(1, "ledger", "hall-a", "i-ffff")
    mesh.add(2, "ledger", "hall-a", "i-1002")
    mesh.add(3, "ledger", "hall-b", "i-1003")
    mesh.add(4, "ledger", "hall-b", "i-1004")
    # Of the pages of a stale read, the first is fresh and the others are two seconds old.
    mesh.store.stale_age = lambda after: STALE_S if after else 0.0
    mesh.start()
    time.sleep(4.0)
    for each in mesh.nodes.values():
        mesh.call(each, HOST, "/balance/1")
    acknowledged = leaving.leave_unannounced()
    time.sleep(0.8)
    if TROUBLE:
        mesh.store.tells = True
        node.kill()
        time.sleep(0.3)
        node.start()
        mesh.wait_ready([node])
    in_touch = time.monotonic() + CONTACT_S
    time.sleep(max(0.0, max(in_touch, acknowledged + DRAIN_S) + 0.3 - time.monotonic()))
    mesh.record.add("from here on the machine is in touch, and the upstream's time is over")
    end = time.monotonic() + 4.0
    sent = {}
    while time.monotonic() < end:
        for each in mesh.nodes.values():
            answer = mesh.call(each, HOST, "/balance/1")
            sent[answer.request_id] = (each.machine, answer)
        time.sleep(0.05)
    late = [request_id for at, request_id in leaving.ran if at > acknowledged + DRAIN_S and request_id in sent]
    machines = sorted({sent[each][0].rpartition(".")[2] for each in late})
    return not late, (f"{len(late)} of {len(sent)} requests ran at the upstream more than {DRAIN_S} s after its removal "
                      f"was acknowledged; sent by machines {machines}")


def mesh_upstream(mesh, number, service, zone, identity):
    from mesh import Upstream
    upstream = Upstream(mesh, mesh.machine(number), service, zone, identity)
    mesh.upstreams.append(upstream)
    upstream.register()


play(__file__, scene, page_items=50)
