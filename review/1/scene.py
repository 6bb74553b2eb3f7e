"""The settings files change, and a bound in them is a fraction; later all processes are killed and start again."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins"))
from mesh import TROUBLE, CannotRun, configuration, play  # noqa: E402

HOST = "portal.example"
MACHINES = 4
SIGNALLED, HUP_GAP_S = 2, 2.0  # A share of 0.5; the other files change without a signal.
SLACK_BEFORE, SLACK_AFTER = "56", "56.5" if TROUBLE else "57"
RESTART_S, RECOVER_S, ASKED_S = 0.5, 15.0, 4.0


def change_settings(node):
    text = node.settings.read_text()
    before = f'"slack": {SLACK_BEFORE} '
    if before not in text:
        raise CannotRun("the template of the settings is another one")
    node.settings.write_text(text.replace(before, f'"slack": {SLACK_AFTER} '))


def ask(mesh, nodes, seconds):
    """Clients at all machines; returns how many requests were sent and how many succeeded."""
    asked, served, lock = [], [], threading.Lock()
    end = time.monotonic() + seconds

    def client(node):
        while time.monotonic() < end:
            answer = mesh.call(node, HOST, "/policy/1", deadline_ms=2500, tells=False)
            with lock:
                asked.append(node)
                if answer.status == 200 and "X-Response-Stamp" in answer.fields:
                    served.append(node)
            time.sleep(0.1)

    clients = [threading.Thread(target=client, args=(node,)) for node in nodes]
    for each in clients:
        each.start()
    for each in clients:
        each.join()
    return len(asked), len(served)


def scene(mesh):
    mesh.quiet = True
    mesh.store.write("op/config", configuration(
        7, ["handbook-web"], [{"host": HOST, "prefix": "/policy/", "kind": "safe", "service": "handbook-web"}]))
    nodes = []
    for number in range(1, MACHINES + 1):
        _, node = mesh.add(number, "handbook-web", f"hall-{'abcd'[number - 1]}")
        node.settings.write_text(node.settings.read_text().replace('"slack": 64 ', f'"slack": {SLACK_BEFORE} '))
        nodes.append(node)
    mesh.start()
    asked, served = ask(mesh, nodes, 3.0)
    mesh.record.add(f"before: {served} of {asked} requests served")
    if served < asked / 4:
        raise CannotRun("too little is served before the fault")
    for number, node in enumerate(nodes):
        change_settings(node)
        mesh.record.add(f"the settings file of {node.machine} has changed: retry-slack is {SLACK_AFTER}, it was {SLACK_BEFORE}")
        if number < SIGNALLED:
            node.signal(signal.SIGHUP)
            time.sleep(HUP_GAP_S)
    for node in nodes:
        node.kill()
    over = threading.Event()
    ends = dict.fromkeys(nodes, 0)

    def keep_running(node):
        """The platform starts a process that has ended, after a short delay."""
        while not over.wait(RESTART_S):
            if node.process.poll() is not None:
                if node.process.returncode != -signal.SIGKILL:
                    ends[node] += 1
                    mesh.record.add(f"node {node.machine}: ended by itself with status {node.process.returncode}")
                node.start()

    keepers = [threading.Thread(target=keep_running, args=(node,)) for node in nodes]
    for each in keepers:
        each.start()
    time.sleep(RESTART_S + RECOVER_S)
    asked, served = ask(mesh, nodes, ASKED_S)
    over.set()
    for each in keepers:
        each.join()
    last = (mesh.folder / f"{nodes[0].machine}.log").read_text().splitlines()[-1].replace(str(mesh.folder), "")
    mesh.record.add(f"the last line that {nodes[0].machine} wrote: {last[:200]}")
    return served >= asked / 4, (f"of {asked} requests sent later than {RECOVER_S} s after the machines were back, "
                                 f"{served} were served; processes ended by themselves {sum(ends.values())} times")


play(__file__, scene)
