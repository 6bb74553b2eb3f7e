// The control state of a node in stepped time, on a platform that is restored
// from an earlier copy.

#include <boost/test/unit_test.hpp>

#include "LibLoad/start_check.h"
#include "Tests/LibNode/catalog_control_parts.h"

namespace wagtailmount {

namespace {

// A node that has listed era 4 up to revision 20: configuration 7, its own
// upstream i-1, i-2 and i-3, of which i-3 is leaving.
struct control_fixture : control_parts {
  control_fixture() {
    control.SetLinkHub(hub);
    Step(0ms);
    AnswerListing({20,
                   {Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready"),
                    Entry("s/i-2", 12, "10.0.0.2 ready"),
                    Entry("s/i-3", 13, "10.0.0.3 draining")},
                   false,
                   4});
    BOOST_REQUIRE(published == nullptr);
    ConfirmListing(20);
    BOOST_REQUIRE(control.IsServing());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(catalog_control_suite, control_fixture)

// The copy is from revision 14: configuration 6 was in force, i-3 had not
// reported its leaving, and i-2 had not registered.
BOOST_AUTO_TEST_CASE(ARestoredPlatformTakesNothingBack) {
  BOOST_TEST(Available() == "i-1 i-2 ");
  EndWatchWith(Fail(error_kind::kConflict, "gone"));
  AnswerListing({14,
                 {Entry("op", 9, "6"), Entry("s/i-1", 11, "10.0.0.1 ready"),
                  Entry("s/i-3", 12, "10.0.0.3 ready")},
                 false,
                 5});
  BOOST_TEST(control.Era() == 5U);
  BOOST_TEST(control.CompleteTo() == 14U);
  BOOST_TEST(control.InForce()->Version().revision == 7U);
  BOOST_TEST(Available() == "i-1 i-2 ");
  // i-2 writes again, at a revision that was given out before; so does the
  // operator.
  Step(1'000ms);
  BOOST_REQUIRE(source.watch != nullptr);
  BOOST_TEST(source.watched_after == 14U);
  std::exchange(source.watch, nullptr)(catalog_changes{
      16, {Entry("s/i-2", 15, "10.0.0.2 ready", 15), Entry("op", 16, "8")}, 5});
  BOOST_TEST(control.InForce()->Version().revision == 8U);
  Step(2'000ms);
  BOOST_TEST(Available() == "i-1 i-2 ");
}

BOOST_AUTO_TEST_CASE(AnEntryThatIsNotWrittenAgainIsDroppedAfterItsGrace) {
  EndWatchWith(Fail(error_kind::kConflict, "gone"));
  AnswerListing({14,
                 {Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready")},
                 false,
                 5});
  Step(2'000ms);
  BOOST_TEST(Available() == "i-1 i-2 ");
  Step(600ms);
  BOOST_TEST(Available() == "i-1 ");
}

// The revision that the node watched after was given out again meanwhile, so
// the platform answers the watch; its era shows that changes are missing.
BOOST_AUTO_TEST_CASE(AWatchAnsweredInANewEraIsNotTakenForItsChanges) {
  EndWatchWith(catalog_changes{22, {Entry("s/i-9", 21, "10.0.0.9 ready")}, 5});
  BOOST_TEST((control.CompleteTo() == 20U));
  BOOST_TEST(Available() == "i-1 i-2 ");
  AnswerListing({22,
                 {Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready"),
                  Entry("s/i-2", 19, "10.0.0.2 draining"),
                  Entry("s/i-9", 21, "10.0.0.9 ready")},
                 false,
                 5});
  BOOST_TEST(control.Era() == 5U);
  BOOST_TEST(Available() == "i-1 i-9 ");
}

// The platform was restored while its listing was read.
BOOST_AUTO_TEST_CASE(AListingOfTwoErasIsReadAgain) {
  EndWatchWith(Fail(error_kind::kConflict, "gone"));
  AnswerListing({14, {Entry("op", 10, "7")}, true, 5});
  AnswerListing({12, {Entry("s/i-1", 11, "10.0.0.1 ready")}, false, 6});
  BOOST_TEST(control.Era() == 4U);
  for (int tick = 0; tick < 20 && source.listing == nullptr; ++tick) {
    Step(100ms);
  }
  AnswerListing({12,
                 {Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready"),
                  Entry("s/i-2", 12, "10.0.0.2 ready")},
                 false,
                 6});
  BOOST_TEST(control.Era() == 6U);
  BOOST_TEST(Available() == "i-1 i-2 ");
}

// Not all of the platform is restored yet. It is asked again, but not in each
// turn of the control thread.
BOOST_AUTO_TEST_CASE(AnswersOfAnEarlierEraAreAskedForAgainWithPauses) {
  int calls = 0;
  for (int tick = 0; tick < 50; ++tick) {
    if (source.watch != nullptr) {
      ++calls;
      std::exchange(source.watch, nullptr)(
          catalog_changes{25, {Entry("s/i-9", 25, "10.0.0.9 ready")}, 3});
    } else if (source.listing != nullptr) {
      ++calls;
      AnswerListing({25, {Entry("s/i-9", 25, "10.0.0.9 ready")}, false, 3});
    }
    Step(100ms);
  }
  BOOST_TEST(calls > 2);
  BOOST_TEST(calls < 20);
  BOOST_TEST((control.CompleteTo() == 20U));
  BOOST_TEST(Available() == "i-1 i-2 ");
}

// An entry may come back at the same revision with another content.
BOOST_AUTO_TEST_CASE(ARevisionGivenOutAgainIsDecodedAgain) {
  EndWatchWith(Fail(error_kind::kConflict, "gone"));
  AnswerListing({14,
                 {Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready"),
                  Entry("s/i-2", 12, "10.0.0.2 draining")},
                 false,
                 5});
  BOOST_TEST(Available() == "i-1 ");
}

// A peer that has not heard of the new era confirms nothing and sends nothing
// that counts; one that has, brings the whole catalog.
BOOST_AUTO_TEST_CASE(PeersOfTwoErasAreToldApart) {
  hello_message hello;
  hello.sender.vm = "10.0.0.2";
  hello.sender.failure_domain = "hall";
  control.OnPeerUp("10.0.0.2", hello);
  EndWatchWith(Fail(error_kind::kConflict, "gone"));
  AnswerListing({14,
                 {Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready")},
                 false,
                 5});
  control.OnPeerMessage("10.0.0.2", catalog_state_message{20, 0ms, {}, 4});
  control.OnPeerMessage(
      "10.0.0.2",
      catalog_update_message{{20, 21, {Entry("op", 21, "9")}, 4}, 0ms});
  BOOST_TEST(control.CompleteTo() == 14U);
  BOOST_TEST(control.InForce()->Version().revision == 7U);
  control.OnPeerMessage(
      "10.0.0.2",
      catalog_update_message{
          {0, 9, {Entry("op", 9, "8"), Entry("s/i-1", 8, "10.0.0.1 ready")}, 6},
          0ms});
  BOOST_TEST(control.Era() == 6U);
  BOOST_TEST(control.CompleteTo() == 9U);
  BOOST_TEST(control.InForce()->Version().revision == 8U);
}

// The entry of this VM's backend server is written again with the same content:
// what it states about being cold counts from then on.
BOOST_AUTO_TEST_CASE(AnOwnEntryWrittenAgainIsANewStatement) {
  const time_point before = published->Own()->cold_stated_at;
  BOOST_TEST((before != time_point{}));
  EndWatchWith(catalog_changes{21, {Entry("s/i-1", 21, "10.0.0.1 ready")}, 4});
  Step(100ms);
  BOOST_TEST((published->Own()->cold_stated_at > before));
}

// Guards against an owner that learns late of a leaving, its reader being cut
// off, and then goes on starting what was placed there until past the limit.
BOOST_AUTO_TEST_CASE(NothingStartsPastTheLimitHoweverLateALeavingIsLearned) {
  const time_point acknowledged = clock.Now();
  const time_point learned = acknowledged + catalog_control::kLongestUnnoticed;
  const auto cause_at = [&](time_point now) {
    return CauseNotToStart(now, {.deadline = now + 1s,
                                 .has_requester_left = false,
                                 .leaving_since = learned,
                                 .is_evacuated = false});
  };
  const time_point limit = acknowledged + catalog_feed::kPropagationLimit;
  BOOST_TEST((cause_at(learned + 1ms) == refusal_cause::kNone));
  BOOST_TEST((cause_at(limit + 1ms) == refusal_cause::kDraining));
}

// Guards against an upstream that is taken for gone, and stays so when it
// writes again, because somebody wrote over its entry. The log tells it once.
BOOST_AUTO_TEST_CASE(AnUnreadableWriteOverAnEntryTakesNoUpstreamOutOfUse) {
  for (std::uint64_t revision = 21; revision < 31; ++revision) {
    EndWatchWith(
        catalog_changes{revision, {Entry("s/i-2", revision, "unreadable")}, 4});
    Step(300ms);
  }
  BOOST_TEST(Available() == "i-1 i-2 ");
  BOOST_TEST(Logged("upstream-unreadable") == 1);
  EndWatchWith(
      catalog_changes{31, {Entry("s/i-2", 31, "10.0.0.2 draining")}, 4});
  BOOST_TEST(Available() == "i-1 ");
}

BOOST_AUTO_TEST_SUITE_END()

// A node that starts again: its first listing may be seconds old and show i-2
// as available, which has left since.
struct starting_fixture : control_parts {
  starting_fixture() {
    control.SetLinkHub(hub);
    Step(0ms);
    AnswerListing({20,
                   {Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready"),
                    Entry("s/i-2", 12, "10.0.0.2 ready")},
                   false,
                   4});
    hello_message hello;
    hello.sender.vm = "10.0.0.2";
    hello.sender.failure_domain = "hall";
    control.OnPeerUp("10.0.0.2", hello);
  }
};

BOOST_FIXTURE_TEST_SUITE(starting_control_suite, starting_fixture)

BOOST_AUTO_TEST_CASE(AStartUsesNoUpstreamThatAnOldListingShows) {
  Step(100ms);
  // The peer has started as well, and knows no more.
  control.OnPeerMessage("10.0.0.2",
                        catalog_state_message{20, kUnknownSourceAge, {}, 4});
  Step(100ms);
  BOOST_TEST(published == nullptr);
  control.OnPeerMessage(
      "10.0.0.2",
      catalog_update_message{
          {20, 23, {Entry("s/i-2", 22, "10.0.0.2 draining")}, 4}, 50ms});
  BOOST_REQUIRE(published != nullptr);
  BOOST_TEST(Available() == "i-1 ");
}

// Guards against a removal that is never seen, as a later page of a stale
// listing is older than the first and than the removal.
BOOST_FIXTURE_TEST_CASE(AListingIsAsOldAsItsOldestPage, control_parts) {
  control.SetLinkHub(hub);
  Step(0ms);
  AnswerListing({24,
                 {Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready")},
                 true,
                 4});
  AnswerListing({20, {Entry("s/i-2", 12, "10.0.0.2 ready")}, false, 4});
  BOOST_TEST(control.CompleteTo() == 20U);
  for (int tick = 0; tick < 20 && source.watch == nullptr; ++tick) {
    Step(100ms);
  }
  BOOST_REQUIRE(source.watch != nullptr);
  BOOST_TEST(source.watched_after == 20U);
  catalog_item removal = Entry("s/i-2", 22, "");
  removal.is_removed = true;
  removal.content = nullptr;
  std::exchange(source.watch, nullptr)(catalog_changes{24, {removal}, 4});
  Step(100ms);
  BOOST_REQUIRE(published != nullptr);
  BOOST_TEST(Available() == "i-1 ");
}

// In an outage the peer's state is old, but nobody has a newer one.
BOOST_AUTO_TEST_CASE(APeerInTheSameStateIsEnoughInAnOutage) {
  control.OnPeerMessage("10.0.0.2", catalog_state_message{20, 9s, {}, 4});
  Step(100ms);
  BOOST_REQUIRE(published != nullptr);
  BOOST_TEST(Available() == "i-1 i-2 ");
}

// Guards against a start that takes a watch for answered because it was not
// refused, and uses upstreams that an old listing shows.
BOOST_AUTO_TEST_CASE(AWatchInFlightConfirmsNoListing) {
  for (int tick = 0; tick < 14; ++tick) {
    Step(100ms);
  }
  BOOST_TEST((source.watch != nullptr));
  BOOST_TEST(published == nullptr);
  std::exchange(source.watch, nullptr)(
      catalog_changes{21, {Entry("s/i-2", 21, "10.0.0.2 draining")}, 4});
  BOOST_REQUIRE(published != nullptr);
  BOOST_TEST(Available() == "i-1 ");
}

BOOST_AUTO_TEST_CASE(AStartWithoutAnyConfirmationServesAfterABoundedWait) {
  for (int tick = 0; tick < 4; ++tick) {
    Step(100ms);
  }
  BOOST_TEST(published == nullptr);
  // The watch that it then makes is refused.
  for (int tick = 0; tick < 12; ++tick) {
    if (source.watch != nullptr) {
      std::exchange(source.watch,
                    nullptr)(Fail(error_kind::kUnavailable, "refused"));
    }
    Step(100ms);
  }
  BOOST_TEST(published != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
