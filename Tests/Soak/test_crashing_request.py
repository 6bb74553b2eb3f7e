"""A request that crashes every backend server that runs it comes again and again, at any of real nodes."""

import collections
import threading
import time
import unittest

from soak_callers import send
from soak_fleet import SoakFleet
from soak_judge import Record, crashed
from soak_schedule import Operator, Schedule

NODES = 12
SEED = 27


class CrashingRequestTest(unittest.TestCase):

    def setUp(self):
        self.fleet = SoakFleet(SEED, NODES)
        self.addCleanup(self.fleet.close, False)
        self.operator = Operator(self.fleet, Schedule(SEED, NODES, 0))
        began = time.monotonic()
        while not all(node.is_ready() for node in self.fleet.nodes):
            self.assertLess(time.monotonic() - began, 20)
            time.sleep(0.05)

    def send_beside(self, stopped, attempts):
        """Sound requests, some of which share the path with the lethal ones."""
        count = 0
        while not stopped.wait(0.02):
            count += 1
            node = self.fleet.nodes[count % NODES]
            path, body = (("/history/7", None), ("/history/7", "sound"), ("/balance/7", None))[count % 3]
            attempts.append(send(node, None, "GET", path, f"sound.{count}.{node.number}", body)[0])

    def test_a_request_that_crashes_backend_servers_is_stopped(self):
        stopped, sound = threading.Event(), []
        beside = threading.Thread(target=self.send_beside, args=(stopped, sound))
        beside.start()
        self.operator._lethal_request(None, 14.0, 0.27)
        stopped.set()
        beside.join()
        record = Record([*sound, *self.operator.attempts], self.fleet.backends, self.operator)
        crashes = [backend for backend in self.fleet.backends if backend.lethal_arrivals]
        print(f"{len(self.operator.attempts)} lethal requests, {len(crashes)} crashes; lethal "
              f"{collections.Counter(each.status for each in self.operator.attempts)}, sound "
              f"{collections.Counter(each.status for each in sound)}")
        self.assertEqual(list(crashed(record)), [])
        refused = [each for each in self.operator.attempts if each.status == 503]
        self.assertTrue(all(not record.runs.get(each.request_id) for each in refused))
        late = [each for each in sound if each.sent > sound[0].sent + 6]
        self.assertGreaterEqual(sum(each.status == 200 for each in late), 0.98 * len(late))


if __name__ == "__main__":
    unittest.main()
