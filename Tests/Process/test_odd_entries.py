"""Entries that other writers left among those of the upstreams, on real processes."""

import time

from catalog_fleet import ROUTES, SERVICES, CatalogFleet
from catalog_stand_ins import configuration
from processes import wait_until

VALUE_BYTES = 1 << 20  # The largest value that the store takes.
CONVERGE_SECONDS = 2.0
OUTAGE_SECONDS = 5.0  # After the store's return, a change is in force in the usual time.
MOST_CHANGES = 16  # Of the largest size; they take 22 MB in an answer.
SMALLEST_MEMORY_KB = 88 * 1024  # Of the users' VMs.
ENTRY = (b'{"service":"ledger","address":"127.0.0.9:9","zone":"hall-a","config-version":"v1","slots":8,"state":"ready",'
         b'"cold-remaining":"0ms","seq":1}')
ODD_CONTENTS = {
    "deep-lists": b"[" * VALUE_BYTES,
    "deep-closed-lists": b"[" * (VALUE_BYTES // 2) + b"]" * (VALUE_BYTES // 2),
    "deep-objects": b'{"a":' * (VALUE_BYTES // 5),
    "deep-field": ENTRY.replace(b'"seq":1', b'"seq":' + b"[" * 100_000 + b"]" * 100_000),
    "wide-list": b"[" + b"1," * (VALUE_BYTES // 2 - 2) + b"1]",
    "long-address": ENTRY.replace(b"127.0.0.9", b"1" * (VALUE_BYTES // 2)),
    "number-out-of-range": ENTRY.replace(b'"slots":8', b'"slots":1e400'),
    "large-number": ENTRY.replace(b'"slots":8', b'"slots":1e300'),
    "long-number": ENTRY.replace(b'"slots":8', b'"slots":' + b"9" * 5_000),
    "negative-number": ENTRY.replace(b'"slots":8', b'"slots":-1'),
    "large-birth": ENTRY.replace(b'"seq":1', b'"born":18446744073709551615,"seq":1'),
    "port-out-of-range": ENTRY.replace(b":9\"", b":65536\""),
    "long-port": ENTRY.replace(b":9\"", b":" + b"9" * 40 + b'"'),
    "no-port": ENTRY.replace(b"127.0.0.9:9", b"127.0.0.9:0"),
    "long-time": ENTRY.replace(b"0ms", b"1e308s"),
    "no-number-time": ENTRY.replace(b"0ms", b"nans"),
    "no-text": bytes(range(256)) * 4,
    "empty": b"",
    "null": b"null",
    "other-types": b'{"service":[],"address":{},"zone":1,"slots":"8","state":null,"cold-remaining":0}',
}


class OddEntriesTest(CatalogFleet):
    def leave_odd_entries(self):
        for number, (name, content) in enumerate(ODD_CONTENTS.items()):
            # Some sort before the upstreams' entries, some between, some behind them.
            self.store.write_bytes(f"servers/{'aiz'[number % 3]}-{name}", content)
        self.store.write_bytes("servers/" + "k" * 192, b"[")
        self.store.write_bytes("servers/", ENTRY)

    def check_all_follow(self, version):
        """A route that is added now is served everywhere in time, and no process has ended."""
        added = f"/added-{version}/"
        self.store.write("op/config", configuration(version, ROUTES + [(added, "safe", "ledger")]))
        wait_until("the added route is served by all nodes",
                   lambda: all(self.call(vm, added + "1")[0] == 200 for vm in SERVICES), CONVERGE_SECONDS)
        for vm, node in self.nodes.items():
            self.assertIsNone(node.poll(), vm)

    # Guards against nodes that end, or follow the store no longer, because of one entry that is no upstream's.
    def test_odd_entries_are_skipped_and_all_else_is_followed(self):
        logged = {vm: len(self.log_of(vm)) for vm in SERVICES}
        self.leave_odd_entries()
        self.check_all_follow(12)
        leaving = self.backends["127.0.0.2"]
        self.store.write(f"servers/{leaving.identity}", leaving.entry("hall-a", "draining"))
        time.sleep(CONVERGE_SECONDS)
        before = len(leaving.ran)
        for vm in SERVICES:
            for _ in range(10):
                self.assertEqual(self.call(vm, "/balance/1")[0], 200)
        self.assertEqual(len(leaving.ran), before)
        for vm in SERVICES:
            self.assertLess(self.memory_kb(vm, "VmHWM"), SMALLEST_MEMORY_KB, vm)
            lines = self.log_of(vm)[logged[vm]:]
            self.assertLess(max(len(str(line)) for line in lines), 1_000)
            self.assertEqual(sum(line["event"] == "upstream-unreadable" for line in lines), len(ODD_CONTENTS) + 2)

    # The same at a node's start, with a change of the configuration written behind them.
    def test_a_start_reads_past_odd_entries(self):
        self.leave_odd_entries()
        self.store.write("op/config", configuration(12, ROUTES + [("/added-12/", "safe", "ledger")]))
        for vm in SERVICES:
            self.nodes[vm].kill()
            self.nodes[vm].wait()
        for vm in SERVICES:
            self.start(vm)
        self.wait_ready(SERVICES)
        for vm in SERVICES:
            self.assertEqual(self.call(vm, "/added-12/1")[0], 200)
        self.check_all_follow(13)
        for vm in SERVICES:
            self.assertLess(self.memory_kb(vm, "VmHWM"), SMALLEST_MEMORY_KB, vm)

    # Guards against nodes that follow the store no longer, since what changed while it was away is too long for one
    # answer.
    def test_changes_that_are_too_long_for_one_answer_are_followed(self):
        self.store.is_down = True
        time.sleep(0.5)
        for number in range(MOST_CHANGES):
            self.store.write_bytes(f"servers/odd-{number:02d}", b"[" * VALUE_BYTES)
        self.store.is_down = False
        time.sleep(OUTAGE_SECONDS)
        self.check_all_follow(12)
        for vm in SERVICES:
            self.assertLess(self.memory_kb(vm, "VmHWM"), SMALLEST_MEMORY_KB, vm)

    # One node starts among others that hold the odd entries, over a link on which it takes the catalog from a peer.
    def test_a_start_on_a_slow_link_reads_past_odd_entries(self):
        self.leave_odd_entries()
        vm = "127.0.0.2"
        self.write_settings(vm, "hall-a", "ledger", self.store_address, link_megabits_per_second=5)
        self.nodes[vm].kill()
        self.nodes[vm].wait()
        self.start(vm)
        self.wait_ready([vm])
        self.check_all_follow(12)
        self.assertLess(self.memory_kb(vm, "VmHWM"), SMALLEST_MEMORY_KB)
