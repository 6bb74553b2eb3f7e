"""A fault soak of the real programs on loopback: seed, schedule, verdict."""

import argparse
import collections
import sys
import time

from soak_callers import Callers
from soak_fleet import SoakFleet
from soak_judge import Record, breaches
from soak_schedule import Operator, Schedule

SETTLE_SECONDS = 5.0  # From the end of the last step until everything must work.


def soak(seed, seconds, size, callers, keep):
    schedule = Schedule(seed, size, seconds)
    print(f"seed {seed}, {seconds:.0f} s, {size} nodes, {schedule.grace_seconds} s of grace, {len(schedule.steps)} steps",
          *schedule.lines(), sep="\n", flush=True)
    fleet = SoakFleet(seed, size, schedule.grace_seconds)
    found = ["the run did not end"]
    try:
        began = time.monotonic()
        while not all(node.is_ready() for node in fleet.nodes):
            if time.monotonic() - began > 20:
                raise RuntimeError("the nodes did not get ready")
            time.sleep(0.05)
        operator = Operator(fleet, schedule)
        load = Callers(fleet, seed, callers)
        operator.run(seconds)
        load.stop()
        record = Record([*load.attempts, *operator.attempts], fleet.backends, operator)
        found = [*operator.failures, *breaches(record, operator.over_at + SETTLE_SECONDS)]
        served = sum(each.status == 200 for each in load.attempts)
        refused = sum(each.status in (429, 503) for each in load.attempts)
        failures = collections.Counter(each.failure for each in load.attempts if each.failure)
        print(f"{len(load.attempts)} requests, {served} served, {refused} refused as not run, "
              f"{sum(each.status == 0 for each in load.attempts)} without an answer {dict(failures)}; {len(operator.limits)} limits, "
              f"{len(operator.leavings)} leavings, {len(operator.publications)} versions, "
              f"{operator.settings_changes} changes of settings, "
              f"{len(operator.attempts)} lethal requests")
    finally:
        fleet.close(keep or bool(found))
    for line in found[:20]:
        print(line)
    print(f"seed {seed}: " + (f"BROKEN, {len(found)} breaches" if found else "kept every promise"), flush=True)
    return not found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int(time.time()), help="draws the schedule")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds to run, one after the other")
    parser.add_argument("--minutes", type=float, default=0.75, help="length of a run")
    parser.add_argument("--nodes", type=int, default=6, help="6 to 200")
    parser.add_argument("--callers", type=int, default=2, help="callers at each node")
    parser.add_argument("--keep", action="store_true", help="keep settings and logs")
    chosen = parser.parse_args()
    if not 6 <= chosen.nodes <= 200:
        parser.error("--nodes must be 6 to 200, for both services in each failure domain")
    verdicts = [soak(seed, chosen.minutes * 60, chosen.nodes, chosen.callers, chosen.keep)
                for seed in range(chosen.seed, chosen.seed + chosen.seeds)]
    return 0 if all(verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
