"""Clients send a lookup behind a download; the node that passes the download on is killed in the middle of it."""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "stand_ins"))
from mesh import TROUBLE, configuration, play  # noqa: E402

HOST = "docs.example"
CLIENTS = 8
DEADLINE_MS = 8000


def answers_on(sock, ids, record):
    """Reads answers in order until the connection ends; returns the ids that were answered whole."""
    data, whole = b"", []
    sock.settimeout(DEADLINE_MS / 1000)
    while len(whole) < len(ids):
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65536)
            if not piece:
                return whole
            data += piece
        head, _, data = data.partition(b"\r\n\r\n")
        fields = dict(line.lower().partition(b": ")[::2] for line in head.split(b"\r\n")[1:])
        record.add(f"client: {ids[len(whole)]} gets {head.split(b' ')[1].decode()}")
        chunked = fields.get(b"transfer-encoding") == b"chunked"
        left = int(fields.get(b"content-length", 0))
        while True:
            if chunked:
                if data.endswith(b"0\r\n\r\n"):
                    data = b""
                    break
            elif len(data) >= left:
                data = data[left:]
                break
            piece = sock.recv(65536)
            if not piece:
                return whole
            data += piece
        whole.append(ids[len(whole)])
    return whole


def client(mesh, machine, results):
    sock = socket.create_connection((machine, mesh.ports["outbound"]), timeout=2)
    results.append(entry := {"sent": [], "answered": []})
    try:
        # One lookup first, so that the connection is a kept one.
        for paths in (["/lookup/0"], ["/photos/1", "/lookup/1"]):
            ids = [mesh.new_id() for _ in paths]
            for request_id, path in zip(ids, paths):
                mesh.record.add(f"client at {machine} sends {request_id} GET {path}")
                sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
                             f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode())
            entry["sent"] = ids
            entry["answered"] = answers_on(sock, ids, mesh.record)
    except OSError as failure:
        mesh.record.add(f"client: {failure!r}")
    finally:
        sock.close()
    mesh.record.add(f"client: the connection is over; sent {entry['sent']}, answered whole {entry['answered']}")


def scene(mesh):
    mesh.store.write("op/config", configuration(
        7, ["photos", "lookup", "front"], [
            {"host": HOST, "prefix": "/photos/", "kind": "download", "service": "photos", "timeout": "8000ms",
             "aim": "4000ms"},
            {"host": HOST, "prefix": "/lookup/", "kind": "safe", "service": "lookup", "timeout": "8000ms"}]))
    mesh.add(1, "front", "hall-a")
    mesh.add(2, "photos", "hall-a", answer_bytes=600_000, write_s=3.0)
    lookup, _ = mesh.add(3, "lookup", "hall-b")
    mesh.start()
    time.sleep(4.0)  # All machines are in touch.
    results = []
    threads = [threading.Thread(target=client, args=(mesh, mesh.machine(1), results)) for _ in range(CLIENTS)]
    for each in threads:
        each.start()
    time.sleep(1.2)
    if TROUBLE:
        mesh.nodes[2].kill()
    for each in threads:
        each.join()
    ran = {request_id for _, request_id in lookup.ran}
    lost = [each for each in results
            if len(each["sent"]) == 2 and each["sent"][1] in ran and each["sent"][1] not in each["answered"]]
    return len(lost) <= 3, (f"{len(lost)} of {CLIENTS} lookups that a machine in touch passed on from a kept connection to "
                            f"a sound upstream got no answer before that machine closed the connection")


play(__file__, scene)
