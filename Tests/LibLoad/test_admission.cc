#include <boost/test/unit_test.hpp>

#include "LibLoad/admission_controller.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

using kind = admission_reply::kind;

struct admission_fixture {
  admission_fixture() {
    upstream_limits limits;
    limits.slots = 2;
    limits.queue = 3;
    controller.SetLimits(limits);
  }

  admission_reply Arrive(
      request_priority priority = request_priority::kInteractive,
      milliseconds left = milliseconds{1'000}) {
    return controller.Arrive(clock.Now(), clock.Now() + left, priority);
  }

  manual_clock clock;
  admission_controller controller;
};

constexpr auto kBackground = request_priority::kBackground;
constexpr auto kInteractive = request_priority::kInteractive;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admission_suite, admission_fixture)

BOOST_AUTO_TEST_CASE(SlotAndQueueLimitsAreExact) {
  const kind expected[] = {kind::kStart,  kind::kStart,  kind::kQueued,
                           kind::kQueued, kind::kQueued, kind::kRefused};
  for (const kind each : expected) {
    BOOST_TEST((Arrive().decided == each));
  }
  BOOST_TEST(controller.Running() == 2U);
  BOOST_TEST(controller.Queued() == 3U);
  BOOST_TEST((Arrive().refused == refusal_cause::kQueueFull));
}

BOOST_AUTO_TEST_CASE(FreedSlotGoesToTheLongestWaitingRequest) {
  const auto running = Arrive();
  Arrive();
  const auto first = Arrive();
  Arrive();
  const auto effects = controller.Finish(clock.Now(), running.id);
  BOOST_REQUIRE(effects.size() == 1U);
  BOOST_TEST((effects[0] == admission_effect{first.id, refusal_cause::kNone}));
  BOOST_TEST(controller.Finish(clock.Now(), running.id).empty());
}

BOOST_AUTO_TEST_CASE(InteractiveStartsBeforeBackground) {
  const auto running = Arrive();
  Arrive();
  Arrive(kBackground);
  const auto interactive = Arrive(kInteractive);
  const auto effects = controller.Finish(clock.Now(), running.id);
  BOOST_REQUIRE(effects.size() == 1U);
  BOOST_TEST(effects[0].id == interactive.id);
}

BOOST_AUTO_TEST_CASE(InteractiveRequestEvictsBackgroundFromFullQueue) {
  Arrive();
  Arrive();
  Arrive(kBackground);
  const auto newest = Arrive(kBackground);
  Arrive();
  const auto interactive = Arrive(kInteractive);
  BOOST_TEST((interactive.decided == kind::kQueued));
  BOOST_REQUIRE(interactive.effects.size() == 1U);
  BOOST_TEST((interactive.effects[0] ==
              admission_effect{newest.id, refusal_cause::kShed}));
  BOOST_TEST((Arrive(kBackground).refused == refusal_cause::kQueueFull));
}

BOOST_AUTO_TEST_CASE(NothingStartsAfterItsDeadline) {
  const auto running = Arrive();
  Arrive();
  const auto late = Arrive(kInteractive, milliseconds{50});
  const auto in_time = Arrive(kInteractive, milliseconds{500});
  clock.Advance(milliseconds{50});
  const auto effects = controller.Finish(clock.Now(), running.id);
  BOOST_REQUIRE(effects.size() == 2U);
  BOOST_TEST(
      (effects[0] == admission_effect{late.id, refusal_cause::kTooLate}));
  BOOST_TEST(
      (effects[1] == admission_effect{in_time.id, refusal_cause::kNone}));
  BOOST_TEST((Arrive(kInteractive, milliseconds{0}).refused ==
              refusal_cause::kTooLate));
}

BOOST_AUTO_TEST_CASE(RequestWithWaitBeyondItsDeadlineIsRefusedAtOnce) {
  const auto first = Arrive();
  const auto second = Arrive();
  clock.Advance(milliseconds{200});
  controller.Finish(clock.Now(), first.id);
  controller.Finish(clock.Now(), second.id);
  Arrive();
  Arrive();
  // With 200 ms a request and two slots, the first in the queue waits 100 ms.
  BOOST_TEST((Arrive(kInteractive, milliseconds{90}).refused ==
              refusal_cause::kTooLate));
  BOOST_TEST(
      (Arrive(kInteractive, milliseconds{150}).decided == kind::kQueued));
}

BOOST_AUTO_TEST_CASE(AWithdrawnRequestNeverStarts) {
  const auto running = Arrive();
  Arrive();
  const auto queued = Arrive();
  BOOST_TEST(controller.Withdraw(queued.id));
  BOOST_TEST(!controller.Withdraw(queued.id));
  BOOST_TEST(!controller.Withdraw(running.id));
  BOOST_TEST(controller.Finish(clock.Now(), running.id).empty());
}

BOOST_AUTO_TEST_CASE(ConnectionLimitBelowSlotsBoundsRunningRequests) {
  upstream_limits limits;
  limits.slots = 20;
  limits.connections = 1;
  controller.SetLimits(limits);
  BOOST_TEST((Arrive().decided == kind::kStart));
  BOOST_TEST((Arrive().decided == kind::kQueued));
}

// The failure domain is evacuated: what waits can still be served elsewhere,
// and what runs goes on.
BOOST_AUTO_TEST_CASE(AnEvacuationRefusesAllThatIsQueuedAndNothingElse) {
  const auto running = Arrive();
  Arrive();
  const auto first = Arrive();
  const auto second = Arrive(kBackground);
  const auto effects = controller.RefuseQueued(refusal_cause::kEvacuated);
  const std::vector<admission_effect> expected{
      {first.id, refusal_cause::kEvacuated},
      {second.id, refusal_cause::kEvacuated}};
  BOOST_TEST((effects == expected));
  BOOST_TEST(controller.Queued() == 0U);
  BOOST_TEST(controller.Running() == 2U);
  BOOST_TEST(controller.Finish(clock.Now(), running.id).empty());
  BOOST_TEST(controller.RefuseQueued(refusal_cause::kEvacuated).empty());
}

BOOST_AUTO_TEST_SUITE_END()
