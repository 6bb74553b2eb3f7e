"""Planned stop of a node whose requests wait in the queue beside a busy upstream."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "stand_ins"))
from mesh import TROUBLE, configuration, play  # noqa: E402

HOST = "history.example"
DEADLINE_S = 20.0
WORK_S = 3.0
SLOTS = 4
REQUESTS = 3 * SLOTS
LOSS_SLACK_S = 0.2


def scene(mesh):
    mesh.store.write("op/config", configuration(
        7, ["ledger", "casefile"], [
            {"host": HOST, "prefix": "/history/", "kind": "safe", "service": "casefile",
             "timeout": f"{DEADLINE_S * 1000:.0f}ms", "aim": "8000ms"},
            {"host": HOST, "prefix": "/posting/", "kind": "unsafe", "service": "casefile",
             "timeout": f"{DEADLINE_S * 1000:.0f}ms", "aim": "8000ms"}]))
    mesh.add(1, "ledger", "hall-a")
    mesh.add(2, "ledger", "hall-b")
    mesh.add(3, "casefile", "hall-a", slots=SLOTS, work_s=WORK_S)
    mesh.start()
    time.sleep(4.0)  # All machines are in touch.
    stopped = mesh.nodes[1]

    def send(number, answers):
        path, method = ("/posting/1", "POST") if number % 2 else ("/history/1", "GET")
        answers.append(mesh.call(stopped, HOST, path, method, b"x" if number % 2 else None,
                                 deadline_ms=int(DEADLINE_S * 1000)))

    answers = []
    threads = [threading.Thread(target=send, args=(number, answers)) for number in range(REQUESTS)]
    for each in threads:
        each.start()
    time.sleep(0.3)
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
    for each in threads:
        each.join()
    ran = {request_id for upstream in mesh.upstreams for _, request_id in upstream.ran}
    lost = [each for each in answers
            if each.failure and each.request_id not in ran and LOSS_SLACK_S < each.seconds < DEADLINE_S - 1]
    worked_on = [each for each in answers if each.failure and each.request_id in ran]
    return not lost, (f"{len(lost)} of {len(answers)} requests that were read whole and reached no upstream lost their "
                      f"connection without an answer; {len(worked_on)} more were being worked on, which is excused")


play(__file__, scene)
