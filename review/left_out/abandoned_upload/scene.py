"""Clients that sent uploads leave while these wait for a busy upstream."""

import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "stand_ins"))
from mesh import TROUBLE, configuration, play  # noqa: E402

HOST = "scan.example"
SLOTS = 6
WORK_S = 0.1
BODY = b"x" * 120_000
A_SECOND = 80
SECONDS = 5
SHARE = 0.3
WITHIN_S = 0.3


def scene(mesh):
    mesh.store.write("op/config", configuration(
        7, ["intake", "front"], [{"host": HOST, "prefix": "/scan/", "kind": "upload", "service": "intake",
                                  "timeout": "4000ms", "aim": "1200ms"}]))
    mesh.add(1, "front", "hall-a")
    mesh.add(2, "front", "hall-b")
    upstream, _ = mesh.add(3, "intake", "hall-a", slots=SLOTS, work_s=WORK_S)
    mesh.start()
    time.sleep(4.0)  # All machines are in touch.
    closed = {}

    chance = random.Random(36)

    def send(machine, patience):
        request_id = mesh.new_id()
        sock = socket.create_connection((machine, mesh.ports["outbound"]), timeout=4)
        mesh.record.add(f"client at {machine} sends {request_id} POST /scan/1 with {len(BODY)} bytes")
        sock.sendall(f"POST /scan/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
                     f"Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY)
        try:
            sock.settimeout(patience or 4)
            answer = sock.recv(65536)
            mesh.record.add(f"client at {machine} {request_id}: {answer.split(b' ')[1:2]}")
        except socket.timeout:
            closed[request_id] = time.monotonic()
            mesh.record.add(f"client at {machine} {request_id}: leaves")
        sock.close()

    threads = []
    for number in range(A_SECOND * SECONDS):
        leaves = TROUBLE and chance.random() < SHARE
        patience = chance.uniform(0.1, WITHIN_S) if leaves else None
        threads.append(threading.Thread(target=send, args=(mesh.machine(1 + number % 2), patience)))
        threads[-1].start()
        time.sleep(1 / A_SECOND)
    for each in threads:
        each.join()
    time.sleep(3.0)
    late = [(at - closed[request_id], request_id) for at, request_id in upstream.ran
            if request_id in closed and at - closed[request_id] > 0.5]
    told = ", ".join(f"{after:.1f}" for after, _ in late)
    return len(late) <= 3, (f"{len(late)} of the {len(closed)} uploads whose clients left reached the upstream more than "
                            f"0.5 s later ({told} s)")


play(__file__, scene)
