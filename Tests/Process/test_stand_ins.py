"""The stand-ins keep to docs/PROTOCOLS.md, and their faults show as asked."""

import http.client
import os
import pathlib
import shutil
import socket
import tempfile
import threading
import time
import unittest

from processes import STAND_INS, Ports, StandIn, call, wait_until


class StandInsTest(unittest.TestCase):

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wagtailmount-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.ports = Ports()

    def start(self, name, *arguments):
        process = StandIn(name, [STAND_INS / name, *arguments], self.folder)
        self.addCleanup(process.kill)
        return process.start()

    def start_platform(self, *arguments):
        self.config = self.folder / "config"
        self.config.mkdir()
        for name in ("10-a.json", "20-b.json", "30-c.json"):
            (self.config / name).write_text("{}")
        (self.folder / "vms.json").write_text('{"vms": [{"vm": "a"}]}')
        platform = self.start("stand_in_platform", "--folder", self.config,
                              "--vms", self.folder / "vms.json", *arguments)
        self.address = platform.addresses["listen"]
        return platform

    def get(self, target):
        return call(self.address, "GET", target)[1]

    def edit(self, name, content):
        (self.folder / "fresh").write_text(content)
        (self.folder / "fresh").replace(self.config / name)

    def test_platform_pages_and_watches(self):
        platform = self.start_platform("--page", "2")
        first = self.get("/v1/folder?after=")
        self.assertEqual([entry["name"] for entry in first["entries"]],
                         ["10-a.json", "20-b.json"])
        last = self.get("/v1/folder?after=" + first["next"])
        self.assertEqual((last["next"], len(last["entries"])), ("", 1))
        threading.Timer(0.2, self.edit, ("40-d.json", "{}")).start()
        self.assertEqual(self.get("/v1/folder/watch?known=1"),
                         {"revision": 2})
        self.assertEqual(platform.counts()["calls"], 3)

    def test_platform_keeps_to_its_rate(self):
        platform = self.start_platform("--rate", "50")
        connection = http.client.HTTPConnection(self.address, timeout=2)
        self.addCleanup(connection.close)
        answered, began = {200: 0, 429: 0}, time.monotonic()
        while time.monotonic() - began < 1:
            connection.request("GET", "/v1/folder")
            answer = connection.getresponse()
            answer.read()
            answered[answer.status] += 1
            if answer.status == 429:
                self.assertEqual(answer.getheader("Retry-After"), "1")
        # One second's rate and the burst of a tenth of it.
        self.assertLessEqual(answered[200], 56)
        self.assertGreaterEqual(answered[200], 45)
        self.assertEqual(platform.counts()["over_limit"], answered[429])

    def test_platform_faults(self):
        platform = self.start_platform()
        self.edit("10-a.json", "[1]")
        wait_until("the edit shows", lambda: self.get("/v1/folder")[
            "revision"] == 2, 2)
        newest = self.get("/v1/folder")
        platform.faults(torn=True)
        self.assertEqual(self.get("/v1/folder"), newest)
        self.assertEqual(self.get("/v1/folder/files/10-a.json"), {})
        platform.faults(torn=False, gone_back_to=1)
        self.assertEqual(self.get("/v1/folder")["revision"], 1)
        platform.faults(gone_back_to=0, stale=True)
        self.edit("10-a.json", "[2]")
        time.sleep(0.3)
        self.assertEqual(self.get("/v1/folder"), newest)
        platform.faults(stale=False)
        self.assertEqual(self.get("/v1/folder")["revision"], 3)
        platform.faults(down=True)
        with self.assertRaises(OSError):
            self.get("/v1/folder")

    def test_platform_lists_vms_late(self):
        platform = self.start_platform()
        platform.faults(vm_lag_ms=400)
        (self.folder / "vms.json").write_text('{"vms": [{"vm": "b"}]}')
        time.sleep(0.2)
        self.assertEqual(self.get("/v1/vms")["vms"], [{"vm": "a"}])
        wait_until("the change shows", lambda: self.get("/v1/vms")["vms"] == [
            {"vm": "b"}], 2)

    def start_backend(self, *arguments):
        self.log = self.folder / "ran"
        backend = self.start("stand_in_backend_server", "--name", "b1",
                             "--log", self.log, *arguments)
        self.address = backend.addresses["listen"]
        return backend

    def request(self, request_id, target="/", method="GET", fields=None):
        """Returns status, body and header; None when no whole answer came."""
        connection = http.client.HTTPConnection(self.address, timeout=2)
        try:
            connection.request(method, target, headers={
                "X-Request-Id": request_id, **(fields or {})})
            answer = connection.getresponse()
            return answer.status, answer.read(), answer.headers
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def ran(self):
        return [tuple(line.split(" ")[:2])
                for line in self.log.read_text().splitlines()]

    def test_backend_server_faults(self):
        backend = self.start_backend()
        cases = [  # fault, whether it runs, whether a whole answer comes
            ({}, True, True),
            ({"drain": True}, False, True),
            ({"shed": True}, False, True),
            ({"reset_unanswered": True}, True, False),
            ({"reset_mid_answer": True}, True, False),
            ({"truncate": True}, True, False),
            ({"close_after_answer": True}, True, True)]
        for number, (fault, runs, answers) in enumerate(cases):
            with self.subTest(fault=fault):
                backend.faults(**fault)
                request_id = f"r{number}"
                answer = self.request(request_id, "/?bytes=100")
                self.assertEqual(answer is not None, answers)
                self.assertEqual(("started", request_id) in self.ran(), runs)
                if answers:
                    refused = answer[2].get("X-Not-Run") == "true"
                    self.assertEqual(refused, not runs)
                backend.faults(**{name: False for name in fault})

    def test_backend_server_is_cancelled_and_keeps_deadlines(self):
        self.start_backend()
        connection = http.client.HTTPConnection(self.address, timeout=2)
        connection.request("GET", "/?ms=2000", headers={"X-Request-Id": "c"})
        wait_until("it starts", lambda: ("started", "c") in self.ran(), 2)
        connection.close()
        wait_until("it is cancelled",
                   lambda: ("cancelled", "c") in self.ran(), 1)
        self.assertIsNone(self.request("d", "/?ms=2000",
                                       fields={"X-Deadline-Ms": "100"}))
        self.assertIn(("cancelled", "d"), self.ran())

    def test_backend_server_sheds_past_its_slots(self):
        self.start_backend("--slots", "2")
        answers = []
        callers = [threading.Thread(target=lambda i=i: answers.append(
            self.request(f"s{i}", "/?ms=500"))) for i in range(5)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(sorted(answer[0] for answer in answers),
                         [200, 200, 503, 503, 503])

    def test_backend_server_lies_about_health_and_load(self):
        backend = self.start_backend()
        backend.faults(health_status=503, load=0.9)
        self.assertEqual(self.request("h", "/healthz")[0], 503)
        self.assertIn(b"0.9", self.request("l", "/loadz")[1])

    def test_relay_cuts_freezes_and_heals_by_opener(self):
        self.start_backend()
        link = self.ports.take()
        relay = self.start("stand_in_relay", "--link",
                           f"b={link}>{self.address}")
        self.address = link
        self.assertEqual(self.request("a")[0], 200)

        def rule(opener, fault):
            rules = [{"from": opener, "to": "b", "fault": fault}]
            call(relay.addresses["control"], "POST", "/rules", {
                "processes": {"me": os.getpid(), "init": 1},
                "rules": rules if fault else []})

        rule("me", "cut")
        self.assertIsNone(self.request("b"))
        rule("init", "cut")
        self.assertEqual(self.request("c")[0], 200)
        rule("me", "frozen")
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(self.request("d")))
        caller.start()
        time.sleep(0.3)
        self.assertEqual(answers, [])
        rule("me", None)
        caller.join()
        self.assertEqual(answers[0][0], 200)

    def test_relay_serves_beside_many_closed_connections(self):
        # As tests leave them behind that ran just before: the system keeps each for a minute.
        self.start_backend()
        link = self.ports.take()
        self.start("stand_in_relay", "--link", f"b={link}>{self.address}")
        host, port = self.address.split(":")
        for _ in range(10_000):
            socket.create_connection((host, int(port)), timeout=2).close()
        self.address = link
        began = time.monotonic()
        for number in range(100):
            self.assertEqual(self.request(f"r{number}")[0], 200)
        # A fleet opens some 300 connections while its nodes' first reads may take 4 s.
        self.assertLess(time.monotonic() - began, 1.3)


if __name__ == "__main__":
    unittest.main()
