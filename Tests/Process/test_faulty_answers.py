"""Answers that belong to no request, and answers that end early, on real processes."""

import http.client
import time

from catalog_fleet import CatalogFleet
from catalog_stand_ins import BackendServer
from faulty_backend_server import COPY_SECONDS, FaultyBackendServer

ENTRY, OWNER = "127.0.0.2", "127.0.0.3"
PROMISES = (408, 421, 429, 503)  # Each says: not run, and never will be.
REFUSALS = ("refuse-twice", "refuse-before-next", "refuse-unnamed")


class FaultyAnswersTest(CatalogFleet):
    """The only upstream of `ledger` breaks the protocol; requests come from its own VM and from another one."""

    vms = {ENTRY: ("hall-a", "casefile"), OWNER: ("hall-a", "ledger")}

    def make_backend(self, identity, address, service):
        kind = FaultyBackendServer if service == "ledger" else BackendServer
        return kind(identity, address, service)

    def runs_of(self, request_id):
        return sum(ran[0] == request_id for ran in self.backends[OWNER].ran)

    def check_posting(self, vm, request_id):
        """A posting that the upstream runs is never told as not run, runs once, and gets no answer but its own."""
        status, body, _ = self.call(vm, "/posting/1", "POST", "cash", request_id)
        self.assertEqual(self.runs_of(request_id), 1)
        self.assertNotIn(status, PROMISES)
        if status == 200:
            self.assertEqual(body, f"{request_id} of ".encode())
        return status

    # Guards against a refusal that is written once more and taken for the answer to the next request.
    def test_a_repeated_refusal_stands_for_no_other_request(self):
        for vm in (ENTRY, OWNER):
            for behaviour in REFUSALS:
                for number in range(5):
                    with self.subTest(vm=vm, behaviour=behaviour, number=number):
                        name = f"{vm}-{behaviour}-{number}"
                        status, _, _ = self.call(vm, f"/posting/{behaviour}", "POST", "cash", f"{name}-refused")
                        self.assertEqual(status, 503)
                        if number % 2:
                            time.sleep(2 * COPY_SECONDS)
                        status = self.check_posting(vm, f"{name}-next")
                        if behaviour != "refuse-unnamed":
                            self.assertEqual(status, 200)
                        self.check_posting(vm, f"{name}-last")

    # Guards against a refusal of an earlier attempt that is taken for the answer to a later one of the same request.
    def test_a_repeated_refusal_stands_for_no_other_attempt_of_its_request(self):
        for vm in (ENTRY, OWNER):
            for behaviour in REFUSALS:
                with self.subTest(vm=vm, behaviour=behaviour):
                    name = f"{vm}-{behaviour}-again"
                    status, _, _ = self.call(vm, f"/posting/{behaviour}", "POST", "cash", name)
                    self.assertEqual(status, 503)
                    self.assertEqual(self.check_posting(vm, name), 200)

    # Guards against an answer that stops in its head, at any byte, and is passed on as a success with an empty body.
    def test_an_answer_that_ends_early_is_never_a_success(self):
        whole = self.backends[OWNER].whole_answer("end-early-000-cut")
        for vm in (ENTRY, OWNER):
            for way in ("cut", "reset"):
                for length in range(len(whole)):
                    request_id = f"end-early-{length:03d}-{way}"[-17:]
                    try:
                        status, body, _ = self.call(vm, f"/balance/{way}-{length}", request_id=request_id)
                    except (http.client.HTTPException, ConnectionError):
                        continue
                    with self.subTest(vm=vm, way=way, length=length):
                        self.assertGreaterEqual(status, 500, body)
        self.assertGreater(len(self.backends[OWNER].ran), 2 * len(whole))
