"""Signals that come while a node stops."""

import signal
import time

import test_planned_stop
from catalog_stand_ins import configuration
from planned_stop import Callers
from processes import wait_until


class RepeatedSignalTest(test_planned_stop.PlannedStopTest):
    """A supervisor that sends SIGTERM again and again. Guards against a second signal that cuts what is in flight."""

    def wait_for_end(self, node):
        end = time.monotonic() + self.grace_seconds
        while node.poll() is None and time.monotonic() < end:
            time.sleep(0.3)
            node.send_signal(signal.SIGTERM)
        node.wait(max(0.0, end - time.monotonic()))


class InterruptedStopTest(test_planned_stop.CatalogFleet):
    """An operator at a terminal who doesn't want to wait for a request that still runs."""

    work_seconds = 5.0

    def make_backend(self, identity, address, service):
        return test_planned_stop.WorkingBackendServer(identity, address, service)

    def setUp(self):
        super().setUp()
        self.store.write("op/config", configuration(4, test_planned_stop.ROUTES, timeout="15000ms"))
        time.sleep(2.0)

    def test_an_interrupt_ends_a_stop_at_once(self):
        node = self.nodes[test_planned_stop.STOPPED]
        callers = Callers((test_planned_stop.STOPPED, int(self.ports["caller"])), [("/balance/", "GET")],
                          [self.work_seconds], per_way=1)
        backends = self.backends.values()
        wait_until("a request runs", lambda: any(backend.ran for backend in backends), 2)
        began = time.monotonic()
        node.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        self.assertIsNone(node.poll())
        node.send_signal(signal.SIGINT)
        node.wait(1.0)
        callers.stop()
        cut = [each for each in callers.requests if each.sent < began]
        self.assertTrue(cut)
        self.assertEqual([each for each in cut if each.status == 200], [])
