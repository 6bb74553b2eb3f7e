"""Uploads to upstreams that read slowly: is an answer given at the route's timeout?"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "stand_ins"))
from mesh import TROUBLE, configuration, play  # noqa: E402

HOST = "scan.example"
TIMEOUT_S = 2.0
DEADLINE_S = 6.0
BODY = b"x" * 8_000_000
BYTES_A_SECOND = 500_000
REQUESTS = 12


def pace(count):
    time.sleep(count / BYTES_A_SECOND)


def scene(mesh):
    mesh.store.write("op/config", configuration(
        7, ["intake"], [{"host": HOST, "prefix": "/scan/", "kind": "upload", "service": "intake",
                         "timeout": f"{TIMEOUT_S * 1000:.0f}ms", "aim": "1200ms"}]))
    for number, zone in ((1, "hall-a"), (2, "hall-b"), (3, "hall-c")):
        mesh.add(number, "intake", zone, slots=18, read_pace=pace if TROUBLE else None)
    mesh.start()
    time.sleep(4.0)  # All machines are in touch.
    answers = []

    def send(node):
        answers.append(mesh.call(node, HOST, "/scan/1", "POST", BODY, deadline_ms=int(DEADLINE_S * 1000),
                                 wait_s=DEADLINE_S))

    threads = []
    for number in range(REQUESTS):
        threads.append(threading.Thread(target=send, args=(mesh.nodes[1 + number % 3],)))
        threads[-1].start()
        time.sleep(0.2)
    for each in threads:
        each.join()
    unanswered = [each for each in answers if each.seconds > TIMEOUT_S]
    late = [each for each in unanswered if each.seconds > TIMEOUT_S + 0.5 or each.failure]
    # CONFIG: eight or more, and over a quarter (more than half in its other wording).
    broken = len(late) >= 8 and len(late) > len(unanswered) / 2 and len(late) > len(answers) / 4
    worst = max(each.seconds for each in answers)
    return not broken, (f"{len(late)} of the {len(unanswered)} uploads that were unanswered at the route's timeout of "
                        f"{TIMEOUT_S} s had no answer 0.5 s later, of {len(answers)}; the latest took {worst:.1f} s")


play(__file__, scene)
