"""The whole path on a platform that publishes a catalog: real nodes, a stand-in store and stand-in backend servers."""

import http.client
import json
import signal
import time
import unittest

from catalog_fleet import ROUTES, SERVICES, CatalogFleet
from catalog_stand_ins import BackendServer, configuration
from processes import wait_until


class CatalogTest(CatalogFleet):
    def test_serves_across_nodes_and_names_the_caller(self):
        for vm, (_, service) in SERVICES.items():
            for path in ("/balance/7", "/history/7"):
                status, body, headers = self.call(vm, path, request_id=f"id-{vm}-{path[1:4]}")
                self.assertEqual((status, body), (200, f"id-{vm}-{path[1:4]} of b''".encode().replace(b"b''", b"")))
                self.assertIn("X-Response-Stamp", headers)
        for backend in self.backends.values():
            for request_id, caller, _ in backend.ran:
                self.assertEqual(caller, SERVICES[request_id.split("-")[1]][1])
        status, _, _ = self.call("127.0.0.2", "/posting/1", "POST", "cash")
        self.assertEqual(status, 200)
        self.assertEqual(self.call("127.0.0.2", "/unknown/1")[0], 404)
        self.assertEqual(self.call("127.0.0.2", "/balance")[0], 404)

    def test_a_changed_route_is_in_force_everywhere_within_two_seconds(self):
        changed = [("/balance/", "safe", "casefile")] + ROUTES[1:] + [("/added/", "safe", "ledger")]
        self.store.write("op/config", configuration(9, changed))
        wait_until("the added route is served by all nodes",
                   lambda: all(self.call(vm, "/added/1")[0] == 200 for vm in SERVICES), 2)
        before = self.runs("ledger")
        for vm in SERVICES:
            self.assertEqual(self.call(vm, "/balance/1")[0], 200)
        self.assertEqual(self.runs("ledger"), before)
        # An older version, and one that can't be read, change nothing.
        self.store.write("op/config", configuration(8, ROUTES))
        self.store.write("op/config", {"config-version": "r11"})
        time.sleep(1.0)
        self.assertEqual(self.call("127.0.0.4", "/added/1")[0], 200)
        self.assertTrue(any(line["event"] == "configuration-refused" for line in self.log_of("127.0.0.2")))

    def test_a_leaving_backend_server_gets_nothing_after_two_seconds(self):
        leaving = self.backends["127.0.0.2"]
        self.store.write("servers/" + leaving.identity, leaving.entry("hall-a", "draining"))
        since = time.monotonic()
        # A late write of its earlier state does not bring it back.
        time.sleep(0.5)
        self.store.write("servers/" + leaving.identity, leaving.entry("hall-a"))
        while time.monotonic() - since < 3.5:
            for vm in SERVICES:
                self.assertEqual(self.call(vm, "/balance/1")[0], 200)
        self.assertTrue(all(when - since <= 2.0 for _, _, when in leaving.ran))

    def test_an_address_used_again_by_another_start_runs_nothing_meant_for_the_first(self):
        backend = self.backends["127.0.0.2"]
        backend.identity = "i-other"
        for vm in SERVICES:
            self.assertEqual(self.call(vm, "/balance/1")[0], 200)
        self.assertEqual(backend.ran, [])

    def test_a_stopped_node_cuts_nothing_and_comes_back(self):
        self.nodes["127.0.0.3"].send_signal(signal.SIGTERM)
        time.sleep(0.3)
        self.assertFalse(self.is_ready("127.0.0.3"))
        for _ in range(20):
            self.assertEqual(self.call("127.0.0.3", "/history/1")[0], 200)
            self.assertEqual(self.call("127.0.0.5", "/history/1")[0], 200)
        self.assertEqual(self.nodes["127.0.0.3"].wait(timeout=7), 0)
        self.start("127.0.0.3")
        self.wait_ready(["127.0.0.3"])
        self.assertEqual(self.call("127.0.0.3", "/balance/1")[0], 200)

    def test_without_the_store_what_is_known_is_served_and_a_new_start_learns_it(self):
        self.store.is_down = True
        self.nodes["127.0.0.5"].kill()
        self.nodes["127.0.0.5"].wait()
        for _ in range(20):
            self.assertEqual(self.call("127.0.0.2", "/balance/1")[0], 200)
        self.start("127.0.0.5")
        self.wait_ready(["127.0.0.5"])
        self.assertEqual(self.call("127.0.0.5", "/history/1")[0], 200)

    def test_each_node_of_a_domain_that_starts_again_without_the_store_learns_from_its_neighbours(self):
        domain = ["127.0.0.2", "127.0.0.3"] + [f"127.0.0.{number}" for number in range(6, 9)]
        for vm in domain[2:]:
            self.add("hall-a", vm, "ledger")
        self.wait_ready(domain)
        # Both sides of each link have known each other for longer than a start of the whole fleet takes.
        time.sleep(3.5)
        self.store.is_down = True
        for vm in domain:
            self.nodes[vm].kill()
            self.nodes[vm].wait()
            time.sleep(0.6)
            self.start(vm)
            self.wait_ready([vm])
            self.assertEqual(self.call(vm, "/history/1")[0], 200)

    def test_a_start_on_a_slow_link_takes_the_configuration_from_a_peer(self):
        self.write_settings("127.0.0.2", "hall-a", "ledger", self.store_address, link_megabits_per_second=5)
        self.nodes["127.0.0.2"].kill()
        self.nodes["127.0.0.2"].wait()
        before = self.store.whole_listings
        self.start("127.0.0.2")
        self.wait_ready(["127.0.0.2"])
        self.assertEqual(self.call("127.0.0.2", "/history/1")[0], 200)
        self.assertEqual(self.store.whole_listings, before)
        # Without peers the store tells everything.
        for node in self.nodes.values():
            node.kill()
            node.wait()
        self.start("127.0.0.2")
        self.wait_ready(["127.0.0.2"])
        self.assertGreater(self.store.whole_listings, before)

    def test_a_start_that_can_learn_nothing_refuses_as_not_run(self):
        self.store.is_down = True
        for node in self.nodes.values():
            node.kill()
            node.wait()
        self.start("127.0.0.2")
        time.sleep(2.0)
        self.assertFalse(self.is_ready("127.0.0.2"))
        status, _, headers = self.call("127.0.0.2", "/balance/1")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.store.is_down = False
        self.wait_ready(["127.0.0.2"])

    def change_everything(self, version):
        """A route is added, a backend server leaves, another one registers."""
        self.store.write("op/config", configuration(version, ROUTES + [("/added/", "safe", "ledger")]))
        leaving = self.backends["127.0.0.2"]
        self.store.write("servers/" + leaving.identity, leaving.entry("hall-a", "draining"))
        self.add("hall-b", "127.0.0.6", "ledger")
        wait_until("the added route is served by all nodes",
                   lambda: all(self.call(vm, "/added/1")[0] == 200 for vm in SERVICES), 3)
        wait_until("the added backend server is used", lambda: self.uses("127.0.0.6"), 4)

    def uses(self, backend_vm):
        for vm in SERVICES:
            self.call(vm, "/balance/1")
        return bool(self.backends[backend_vm].ran)

    def check_nothing_is_taken_back(self, seconds):
        """Under load on all nodes; returns when the leaving backend server ran its last request."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for vm in SERVICES:
                self.assertEqual(self.call(vm, "/added/1")[0], 200)
                self.assertEqual(self.call(vm, "/balance/1")[0], 200)
                self.assertEqual(self.call(vm, "/posting/1", "POST", "cash")[0], 200)
        return max((when for _, _, when in self.backends["127.0.0.2"].ran), default=0.0)

    def test_a_store_that_goes_back_under_load_takes_nothing_back(self):
        before = time.monotonic()
        time.sleep(0.2)
        self.change_everything(9)
        time.sleep(2.0)  # The leaving backend server gets nothing any more.
        since = time.monotonic()
        self.store.go_back(before, away=0.5)
        # The backend servers and the operator write again; revisions are given out a second time.
        self.store.write("servers/i-6", self.backends["127.0.0.6"].entry("hall-b"))
        last = self.check_nothing_is_taken_back(2.0)
        self.assertLess(last, since)
        changed = ROUTES + [("/added/", "safe", "ledger"), ("/again/", "safe", "casefile")]
        self.store.write("op/config", configuration(10, changed))
        wait_until("a change of the new era is in force everywhere",
                   lambda: all(self.call(vm, "/again/1")[0] == 200 for vm in SERVICES), 2)
        # A second drill at once, to before the change; then a start that hears of both.
        self.store.go_back(time.monotonic() - 1.0, away=0.2)
        self.nodes["127.0.0.5"].kill()
        self.nodes["127.0.0.5"].wait()
        self.store.write("op/config", configuration(12, changed))
        self.start("127.0.0.5")
        self.wait_ready(["127.0.0.5"])
        wait_until("all nodes are in the newest era", lambda: all(
            self.status(vm)["era"] == self.store.era for vm in SERVICES), 4)
        self.assertLess(self.check_nothing_is_taken_back(1.0), since)
        eras = [line for line in self.log_of("127.0.0.3") if line["event"] == "platform-era"]
        self.assertEqual([line["era"] for line in eras], [2, 3])

    def status(self, vm):
        connection = http.client.HTTPConnection(vm, int(self.ports["admin"]), timeout=1)
        connection.request("GET", "/v1/status")
        return json.loads(connection.getresponse().read())

    def test_a_reload_signal_is_survived_and_told(self):
        self.nodes["127.0.0.2"].send_signal(signal.SIGHUP)
        wait_until("the reload is told", lambda: any(
            line["event"] == "settings-reloaded" for line in self.log_of("127.0.0.2")), 2)
        self.assertEqual(self.call("127.0.0.2", "/balance/1")[0], 200)

    def test_metrics_are_told_as_text(self):
        self.call("127.0.0.2", "/balance/1")
        connection = http.client.HTTPConnection("127.0.0.2", int(self.ports["admin"]), timeout=1)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        self.assertIn("wagtailmount_requests_total 1\n", text)
        self.assertIn('wagtailmount_latency_ms_bucket{service="ledger",le="+Inf"} 1\n', text)


if __name__ == "__main__":
    unittest.main()
