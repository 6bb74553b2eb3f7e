"""Signals that come while a node stops."""

import signal
import time

import test_planned_stop


class RepeatedSignalTest(test_planned_stop.PlannedStopTest):
    """A supervisor that sends SIGTERM again and again. Guards against a second signal that cuts what is in flight."""

    def wait_for_end(self, node):
        end = time.monotonic() + self.grace_seconds
        while node.poll() is None and time.monotonic() < end:
            time.sleep(0.3)
            node.send_signal(signal.SIGTERM)
        node.wait(max(0.0, end - time.monotonic()))


class InterruptedStopTest(test_planned_stop.CatalogFleet):
    """An operator at a terminal who doesn't want to wait."""

    def test_an_interrupt_ends_a_stop_at_once(self):
        node = self.nodes[test_planned_stop.STOPPED]
        node.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        self.assertIsNone(node.poll())
        node.send_signal(signal.SIGINT)
        node.wait(1.0)
