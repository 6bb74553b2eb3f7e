"""An upstream starts again under its id after the time of day of its machine went back; later it is drained."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "stand_ins"))
from mesh import DRAIN_S, TROUBLE, Upstream, configuration, play  # noqa: E402

HOST = "ledger.example"
STEP_MS = 2400  # The machine's time of day is ahead by this for the first start, and right again for the second.
AWAY_S = 1.5


def unix_ms():
    return int(time.time() * 1000)


def scene(mesh):
    mesh.store.write("op/config", configuration(
        7, ["ledger"], [{"host": HOST, "prefix": "/balance/", "kind": "safe", "service": "ledger"},
                        {"host": HOST, "prefix": "/posting/", "kind": "unsafe", "service": "ledger"}]))
    for number, zone in ((2, "hall-a"), (3, "hall-b"), (4, "hall-b")):
        mesh.add(number, "ledger", zone, born=unix_ms())
    first, node = mesh.add(1, "ledger", "hall-a", "i-0001", born=unix_ms() + (STEP_MS if TROUBLE else 0))
    mesh.record.add(f"upstream i-0001: first start, born {first.born}")
    mesh.start()
    time.sleep(max(0.0, 0.7 - mesh.record.now()))
    first.end()
    mesh.record.add("upstream i-0001: crashes")
    time.sleep(AWAY_S)
    second = Upstream(mesh, mesh.machine(1), "ledger", "hall-a", "i-0001", born=unix_ms())
    mesh.upstreams.append(second)
    second.register()
    mesh.record.add(f"upstream i-0001: starts again, born {second.born}")
    time.sleep(6.0)  # All machines are in touch.
    acknowledged = second.drain()
    end = acknowledged + 7.0  # Some go on serving for many seconds.
    sent = {}
    while time.monotonic() < end:
        for each in mesh.nodes.values():
            for path, method, body in (("/balance/1", "GET", None), ("/posting/1", "POST", b"x")):
                answer = mesh.call(each, HOST, path, method, body)
                sent[answer.request_id] = each.machine
        time.sleep(0.05)
    late = [(at, request_id) for at, request_id in second.ran if at > acknowledged + DRAIN_S and request_id in sent]
    machines = sorted({sent[each].rpartition(".")[2] for _, each in late})
    return not late, (f"{len(late)} of {len(sent)} requests ran at the upstream more than {DRAIN_S} s after the store had "
                      f"acknowledged that it drains; sent by machines {machines}")


play(__file__, scene)
