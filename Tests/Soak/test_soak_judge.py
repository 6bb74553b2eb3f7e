"""The judge of the soak finds each kind of breach, and none where there is none."""

import types
import unittest

from soak_callers import Attempt
from soak_judge import Record, breaches
from soak_schedule import Disturbance, Schedule

END = 100.0  # Of the soak; everything is calm and works for the last seconds.


class JudgeTest(unittest.TestCase):

    def setUp(self):
        self.attempts, self.disturbances, self.publications = [], [], []
        self.leavings, self.limits = [], []
        self.backends = [types.SimpleNamespace(identity=f"i-{number}", address=f"127.0.0.{number + 2}:1", arrivals=[],
                                               runs=[]) for number in range(3)]
        for number in range(40):
            self.serve(f"calm-{number}", sent=END + number / 10, node=number % 2, backend=2)

    def serve(self, request_id, sent=20.0, node=0, backend=0, method="GET", **changed):
        """A request that is served as it should, but for what is changed."""
        at = sent + 0.01
        self.backends[backend].arrivals.append((request_id, at))
        self.backends[backend].runs.append((request_id, at))
        fields = {"path": "/balance/7", "ended": sent + 0.05, "status": 200, "is_own": True, "stamp": f"i-{backend}",
                  **changed}
        self.attempts.append(Attempt(request_id, method, node, sent, **fields))

    def ask(self, request_id, sent, status, version, node=0, **changed):
        self.attempts.append(Attempt(request_id, "GET", node, sent, path=f"/version-{version}/", ended=sent + 0.01,
                                     status=status, is_own=True, **changed))
        if status == 200:
            self.attempts[-1].stamp = "i-0"
            self.backends[0].runs.append((request_id, sent))

    def disturb(self, kind, node, began, ended):
        self.disturbances.append(Disturbance(kind, node, began, ended))

    def check(self, *promises):
        record = Record(self.attempts, self.backends, types.SimpleNamespace(
            disturbances=self.disturbances, publications=self.publications, leavings=self.leavings,
            limits=self.limits))
        found = breaches(record, END)
        self.assertEqual(sorted({line.partition(":")[0] for line in found}), sorted(promises), found)

    def test_a_calm_run_has_no_breach(self):
        self.serve("get")
        self.serve("post", method="POST")
        self.check()

    def test_a_posting_that_ran_twice(self):
        self.serve("post", method="POST")
        self.backends[1].runs.append(("post", 20.2))
        self.check("TWICE")

    def test_pipelined_answers_in_order(self):
        for request_id in ("p0", "p1"):
            self.serve(request_id, answer_id=request_id, is_behind=request_id != "p0")
        self.check()

    def test_pipelined_answers_out_of_order(self):
        self.serve("p0", answer_id="p1", status=503, is_own=False)
        self.check("MIXED")

    def test_a_pipelined_request_behind_a_close_may_be_unread(self):
        self.attempts.append(Attempt("p1", "GET", 0, 20.0, path="/balance/7", ended=20.9,
                                     failure="ConnectionResetError", is_behind=True))
        self.check()

    def test_a_pipelined_request_that_ran_is_answered(self):
        self.serve("p1", status=0, stamp="", failure="ConnectionResetError", is_behind=True)
        self.check("LOST")

    def test_a_lookup_may_run_twice(self):
        self.serve("get")
        self.backends[1].runs.append(("get", 20.2))
        self.check()

    def test_a_run_that_nobody_asked_for(self):
        self.backends[0].runs.append(("unknown", 20.0))
        self.check("UNASKED")

    def test_a_posting_that_was_refused_and_ran(self):
        self.serve("post", method="POST", status=503, is_own=False, stamp="")
        self.check("REFUSED")

    def test_another_answer(self):
        self.serve("get", is_own=False)
        self.check("MIXED")

    def test_an_answer_of_a_backend_server_that_did_not_run_it(self):
        self.serve("get", stamp="i-1")
        self.check("MIXED")

    def test_work_after_an_acknowledged_leaving(self):
        self.leavings.append(("i-0", 20.0))
        self.serve("in-time", sent=21.9)
        self.check()
        self.serve("late", sent=22.1)
        self.check("DRAIN")

    def test_work_after_an_acknowledged_leaving_at_a_node_that_was_cut_off(self):
        self.leavings.append(("i-0", 20.0))
        self.disturb("store-front", 0, 19.0, 23.0)
        self.serve("late", sent=22.1)
        self.check()

    def test_work_after_a_leaving_that_the_node_had_passed_on(self):
        self.serve("told", sent=20.0, is_leaving_stated=True)
        self.disturb("store-front", 0, 19.0, 23.0)
        self.serve("late", sent=22.2)
        self.check("DRAIN")

    def test_work_after_a_leaving_that_another_life_of_the_node_had_passed_on(self):
        self.serve("told", sent=20.0, is_leaving_stated=True)
        self.disturb("kill", 0, 21.0, 21.5)
        self.serve("late", sent=22.2)
        self.check()

    def limit(self, count, **changed):
        self.limits.append(["i-0", 2.0, 20.0, 40.0])
        self.serve("told", sent=20.1, is_limit_named=True)
        for number in range(count):
            self.serve(f"limited-{number}", sent=25.0 + number / 10, **{"is_limit_named": True, **changed})

    def test_no_more_than_a_limit_allows(self):
        self.limit(17)
        self.check()

    def test_more_than_a_limit_allows(self):
        self.limit(18)
        self.check("LIMIT")

    def test_more_than_a_limit_allows_from_nodes_that_were_not_told(self):
        self.limit(30, node=1, is_limit_named=False)
        self.check()

    def test_a_version_that_is_not_there_in_time(self):
        self.publications.append((7, 20.0))
        self.ask("soon", 21.9, 404, 7)
        self.check()
        self.ask("late", 22.1, 404, 7)
        self.check("CONFIG")

    def test_a_node_that_goes_back(self):
        self.publications += [(7, 10.0), (8, 12.0)]
        self.ask("new", 20.0, 200, 8)
        self.ask("old", 21.0, 200, 7)
        self.check("CONFIG")

    def test_a_new_process_may_begin_with_an_older_version(self):
        self.publications += [(7, 10.0), (8, 12.0)]
        self.ask("new", 20.0, 200, 8)
        self.disturb("kill", 0, 20.2, 20.8)
        self.ask("old", 21.0, 200, 7)
        self.check()

    def test_a_request_that_a_planned_stop_broke_off(self):
        self.disturb("terminate", 0, 19.0, 24.0)
        self.serve("cut", status=0, failure="RemoteDisconnected", ended=20.9)
        self.check("LOST")

    def test_a_request_that_a_stop_of_another_node_broke_off(self):
        self.disturb("terminate", 1, 19.0, 24.0)
        self.serve("cut", status=0, failure="RemoteDisconnected", ended=20.9)
        self.check("LOST")

    def test_a_request_that_a_kill_broke_off(self):
        self.disturb("kill", 0, 19.0, 24.0)
        self.serve("cut", status=0, failure="RemoteDisconnected", ended=20.9)
        self.check()

    def test_a_request_that_crossed_the_close_of_its_connection(self):
        self.attempts.append(Attempt("crossed", "GET", 0, 20.0, path="/balance/7", ended=20.01,
                                     failure="RemoteDisconnected", is_kept=True))
        self.check()

    def test_a_request_that_is_held(self):
        self.serve("held", ended=22.1)
        self.check("HELD")

    def test_a_process_that_outlives_its_grace_period(self):
        self.disturb("terminate, outlived its grace period", 0, 19.0, 25.5)
        self.check("GRACE")

    def crash(self, *seconds):
        """Requests that crash one backend server after the other."""
        self.backends += [types.SimpleNamespace(identity=f"c-{number}", address="127.0.0.4:1", arrivals=[], runs=[],
                                                lethal_arrivals=[]) for number in range(len(seconds))]
        for number, at in enumerate(seconds):
            self.serve(f"lethal-{number}", sent=at, backend=3 + number, status=502, is_own=False, stamp="")
            self.backends[3 + number].lethal_arrivals.append((b"lethal-1", f"lethal-{number}", at))

    def test_a_request_that_goes_on_crashing_backend_servers(self):
        self.crash(20.0, 20.2, 20.4, 24.0, 25.0, 26.0, 27.0)
        self.check("BUDGET")

    def test_a_request_that_crashed_backend_servers_and_was_stopped(self):
        self.crash(20.0, 20.2, 20.4, 21.0, 23.0, 24.0, 25.0, 26.0)
        self.check()

    def test_a_crashing_request_at_nodes_that_were_cut_off(self):
        self.disturb("store-front", 0, 22.0, 30.0)
        self.crash(20.0, 20.2, 20.4, 24.0, 25.0, 26.0, 27.0)
        self.check()

    def test_a_node_that_does_not_recover(self):
        for number in range(3):
            self.serve(f"failed-{number}", sent=END + 1, node=1, status=503, is_own=False, stamp="")
        self.check("RECOVER")

    def test_each_draw_picks_something(self):
        self.assertEqual([Schedule.pick("abc", draw) for draw in (0.0, 0.34, 0.999, 1.0)], ["a", "b", "c", "c"])

    def test_a_seed_draws_the_same_schedule(self):
        self.assertEqual(Schedule(5, 6, 60).lines(), Schedule(5, 6, 60).lines())
        self.assertNotEqual(Schedule(5, 6, 60).lines(), Schedule(6, 6, 60).lines())

    def test_seeds_differ_in_their_grace_period(self):
        drawn = {Schedule(seed, 6, 60).grace_seconds for seed in range(40)}
        self.assertEqual(drawn, set(Schedule.GRACE_SECONDS))

    def test_stops_meet_changes_of_the_configuration_and_of_settings(self):
        for kind in ("publish-series", "settings"):
            met = [step for seed in range(40) for steps in [Schedule(seed, 6, 60).steps] for step in steps
                   if step["kind"] == kind and any(other["kind"] == "terminate" and
                                                   0 <= step["at"] - other["at"] <= 3 for other in steps)]
            self.assertGreater(len(met), 10)


if __name__ == "__main__":
    unittest.main()
