#include <boost/test/unit_test.hpp>

#include "LibCatalog/catalog_feed.h"

using std::chrono::milliseconds;
using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using namespace wagtailmount;          // NOLINT(google-build-using-namespace)

namespace {

struct feed_fixture {
  feed_call Next(std::uint64_t complete_to) {
    return feed.NextCall(clock.Now(), complete_to);
  }

  void Call(feed_call call, std::optional<error_kind> failure = std::nullopt) {
    feed.Begin(clock.Now(), call);
    clock.Advance(milliseconds{5});
    feed.End(clock.Now(), failure, false);
  }

  // A follower that has listed, and whose peer has just reported the same state
  // as the newest one.
  void BecomeFollowerWithRecentPeer() {
    Call(feed_call::kListStale);
    feed.RecordPeerState(clock.Now(), milliseconds{0});
  }

  manual_clock clock;
  catalog_feed feed{{}, 1};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(catalog_feed_suite, feed_fixture)

BOOST_AUTO_TEST_CASE(AStartingNodeMakesAStaleListingAndWaitsForItsPeers) {
  BOOST_TEST((Next(0) == feed_call::kListStale));
  Call(feed_call::kListStale);
  BOOST_TEST((Next(7) == feed_call::kNone));
  BOOST_TEST(!feed.Age(clock.Now()));
  clock.Advance(milliseconds{700});
  BOOST_TEST((Next(7) == feed_call::kWatch));
}

BOOST_AUTO_TEST_CASE(AStartingNodeOnASlowLinkListsOnlyTheUpstreamsFirst) {
  catalog_feed::settings chosen;
  chosen.lists_upstreams_first = true;
  feed = catalog_feed{chosen, 1};
  BOOST_TEST((Next(0) == feed_call::kListUpstreams));
  Call(feed_call::kListUpstreams);
  BOOST_TEST((Next(0) == feed_call::kNone));
  BOOST_TEST(!feed.Age(clock.Now()));
  clock.Advance(milliseconds{450});
  BOOST_TEST((Next(0) == feed_call::kNone));
  // A peer has sent the whole catalog, which was the newest state 100 ms ago.
  feed.RecordPeerState(clock.Now(), milliseconds{100});
  BOOST_TEST((Next(7) == feed_call::kNone));
  clock.Advance(milliseconds{100});
  BOOST_TEST((Next(0) == feed_call::kListStale));
}

BOOST_AUTO_TEST_CASE(AReaderWatchesAllTheTime) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  BOOST_TEST((Next(7) == feed_call::kWatch));
  Call(feed_call::kWatch);
  BOOST_TEST((Next(7) == feed_call::kWatch));
}

BOOST_AUTO_TEST_CASE(AFollowerWatchesOnlyWhileNoPeerSendsARecentState) {
  BecomeFollowerWithRecentPeer();
  BOOST_TEST((Next(7) == feed_call::kNone));
  clock.Advance(milliseconds{1'500});
  BOOST_TEST((Next(7) == feed_call::kWatch));
  // After a read of its own it still does not rely on silent peers.
  Call(feed_call::kWatch);
  BOOST_TEST((Next(7) == feed_call::kWatch));
  feed.RecordPeerState(clock.Now(), milliseconds{200});
  BOOST_TEST((Next(7) == feed_call::kNone));
}

BOOST_AUTO_TEST_CASE(AnOldPeerStateDoesNotReplaceAWatch) {
  BecomeFollowerWithRecentPeer();
  clock.Advance(milliseconds{1'500});
  feed.RecordPeerState(clock.Now(), milliseconds{1'500});
  BOOST_TEST((Next(7) == feed_call::kWatch));
}

// A peer cannot send a change that is too large for its link: the follower
// reads from the platform once and then relies on its peers again.
BOOST_AUTO_TEST_CASE(AFollowerReadsOnceWhatItsPeersCannotSend) {
  BecomeFollowerWithRecentPeer();
  feed.RequestOwnRead();
  BOOST_TEST((Next(7) == feed_call::kWatch));
  Call(feed_call::kWatch);
  BOOST_TEST((Next(7) == feed_call::kNone));
}

BOOST_AUTO_TEST_CASE(AReaderListsAtOnceWhenTheHistoryIsDiscarded) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  Call(feed_call::kWatch, error_kind::kConflict);
  BOOST_TEST((Next(7) == feed_call::kList));
  BOOST_TEST(!feed.IsFailing());
}

// Guards against a platform that is asked without pause, as its listings don't
// help.
BOOST_AUTO_TEST_CASE(AListingThatDidNotHelpIsNotMadeAgainAtOnce) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  Call(feed_call::kWatch, error_kind::kConflict);
  Call(feed_call::kList);
  Call(feed_call::kWatch, error_kind::kConflict);
  BOOST_TEST((Next(7) == feed_call::kNone));
  clock.Advance(milliseconds{200});
  BOOST_TEST((Next(7) == feed_call::kList));
  Call(feed_call::kList);
  Call(feed_call::kWatch);
  clock.Advance(milliseconds{200});
  Call(feed_call::kWatch, error_kind::kConflict);
  BOOST_TEST((Next(7) == feed_call::kList));
}

// Guards against a burst of listings: if every node of a failure domain has a
// watch of its own when the platform discards its history, all of them have to
// list. Followers wait, so that the reader can list and send them the result.
BOOST_AUTO_TEST_CASE(AFollowerDelaysItsListingWhenTheHistoryIsDiscarded) {
  Call(feed_call::kListStale);
  clock.Advance(milliseconds{700});
  Call(feed_call::kWatch, error_kind::kConflict);
  BOOST_TEST((Next(7) == feed_call::kNone));
  clock.Advance(milliseconds{750});
  BOOST_TEST((Next(7) == feed_call::kNone));
  // Without a message from the reader it lists by itself.
  clock.Advance(milliseconds{500});
  BOOST_TEST((Next(7) == feed_call::kList));
  feed.RecordPeerState(clock.Now(), milliseconds{50});
  BOOST_TEST((Next(9) == feed_call::kNone));
}

BOOST_AUTO_TEST_CASE(FailedCallsAreRetriedWithExponentialBackoff) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  int calls = 0;
  for (int step = 0; step < 1'000; ++step) {
    if (Next(7) != feed_call::kNone) {
      ++calls;
      Call(feed_call::kWatch, error_kind::kUnavailable);
    }
    clock.Advance(milliseconds{10});
  }
  // A reader makes about 35 calls at most in an outage of 10 s.
  BOOST_TEST(calls > 15);
  BOOST_TEST(calls < 40);
  BOOST_TEST(feed.IsFailing());
}

// Entries that vanish are kept only around an outage. One failed call, of a VM
// that is slow or that the platform refuses for a moment, is none: an upstream
// whose entry is removed just then must not stay in use.
BOOST_AUTO_TEST_CASE(AFailedCallAloneIsNoOutage) {
  BecomeFollowerWithRecentPeer();
  for (int step = 0; step < 30; ++step) {
    Call(feed_call::kWatch, error_kind::kTimeout);
    clock.Advance(milliseconds{95});
    feed.UpdateOutage(clock.Now());
    feed.RecordPeerState(clock.Now(), milliseconds{300});
  }
  BOOST_TEST(!feed.LastOutageAt().has_value());
}

BOOST_AUTO_TEST_CASE(AnOutageLastsUntilTheNewestStateIsHeldAgain) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  Call(feed_call::kWatch);
  for (int step = 0; step < 25; ++step) {
    Call(feed_call::kWatch, error_kind::kUnavailable);
    clock.Advance(milliseconds{95});
    feed.UpdateOutage(clock.Now());
  }
  const time_point last = clock.Now();
  BOOST_REQUIRE(feed.LastOutageAt().has_value());
  BOOST_TEST((*feed.LastOutageAt() == last));
  Call(feed_call::kWatch);
  clock.Advance(milliseconds{95});
  feed.UpdateOutage(clock.Now());
  BOOST_TEST((*feed.LastOutageAt() == last));
}

// Guards against a reader that is cut off from the platform and takes its
// unanswered watch for a sign that nothing has changed.
BOOST_AUTO_TEST_CASE(AWatchInFlightProvesNothing) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  Call(feed_call::kWatch);
  feed.Begin(clock.Now(), feed_call::kWatch);
  for (int step = 1; step <= 30; ++step) {
    clock.Advance(milliseconds{100});
    BOOST_TEST((*feed.Age(clock.Now()) == milliseconds{100 * step}));
  }
}

// A start has listed what may be seconds old.
BOOST_AUTO_TEST_CASE(AFirstWatchInFlightConfirmsNoStaleListing) {
  Call(feed_call::kListStale);
  clock.Advance(milliseconds{700});
  BOOST_TEST((feed.WatchWait(clock.Now()) == milliseconds{100}));
  feed.Begin(clock.Now(), feed_call::kWatch);
  clock.Advance(milliseconds{500});
  BOOST_TEST(!feed.Age(clock.Now()));
}

// Guards against a listing that counts as newer than its first page.
BOOST_AUTO_TEST_CASE(AnAnswerIsAsOldAsItsFirstBytes) {
  feed.SetReader(true);
  feed.Begin(clock.Now(), feed_call::kList);
  clock.Advance(milliseconds{900});
  feed.End(clock.Now(), std::nullopt, true);
  BOOST_TEST((*feed.Age(clock.Now()) == milliseconds{900}));
  feed.Begin(clock.Now(), feed_call::kWatch);
  clock.Advance(milliseconds{500});
  feed.End(clock.Now(), std::nullopt, true, milliseconds{300});
  BOOST_TEST((*feed.Age(clock.Now()) == milliseconds{300}));
}

BOOST_AUTO_TEST_CASE(AWatchIsAnsweredBeforeThePeersOfItsReaderDoubtIt) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  Call(feed_call::kWatch);
  BOOST_TEST((feed.WatchWait(clock.Now()) == milliseconds{1'200}));
  clock.Advance(milliseconds{300});
  BOOST_TEST((feed.WatchWait(clock.Now()) == milliseconds{900}));
  clock.Advance(milliseconds{3'000});
  BOOST_TEST((feed.WatchWait(clock.Now()) == milliseconds{100}));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr milliseconds kStep{5};

// The reader of a failure domain and a follower that hears only from it, each
// woken once in a tick, on a platform where nothing changes.
struct failure_domain {
  explicit failure_domain(milliseconds follower_phase)
      : follower_phase_(follower_phase) {
    reader.SetReader(true);
    for (catalog_feed* each : {&reader, &follower}) {
      each->Begin(clock.Now(), feed_call::kListStale);
      each->End(clock.Now(), std::nullopt, true);
    }
  }

  void Step() {
    clock.Advance(kStep);
    const time_point now = clock.Now();
    if (is_watching_ && now >= answer_at_ && !is_cut_off) {
      is_watching_ = false;
      reader.End(now, std::nullopt, false);
      Tell(now);
    }
    const duration since_start = now - start_;
    if (since_start % kTick == duration::zero()) {
      if (reader.NextCall(now, 7) == feed_call::kWatch) {
        is_watching_ = true;
        answer_at_ = now + reader.WatchWait(now) + kAnswerTime;
        reader.Begin(now, feed_call::kWatch);
      }
      Tell(now);
    }
    if (since_start % kTick == follower_phase_ && !follower.IsInFlight() &&
        follower.NextCall(now, 7) == feed_call::kWatch) {
      follower.Begin(now, feed_call::kWatch);
      ++own_reads;
    }
  }

  void Run(milliseconds span) {
    for (milliseconds done{0}; done < span; done += kStep) {
      Step();
    }
  }

  bool is_cut_off = false;
  int own_reads = 0;
  manual_clock clock;
  catalog_feed reader{{}, 1};
  catalog_feed follower{{}, 2};

 private:
  static constexpr milliseconds kTick{100};
  static constexpr milliseconds kAnswerTime{10};

  void Tell(time_point now) {
    if (const auto age = reader.Age(now)) {
      follower.RecordPeerState(now, *age);
    }
  }

  milliseconds follower_phase_;
  time_point start_ = clock.Now();
  time_point answer_at_{};
  bool is_watching_ = false;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(catalog_feed_chain_suite)

// Guards against a failure domain that keeps to an old catalog, configuration
// or evacuation because its reader, cut off without an error, vouches for it.
// Whatever moment the cut falls on, a change from then on is read in time.
BOOST_AUTO_TEST_CASE(ADomainWhoseReaderIsCutOffReadsWithinTheLimit) {
  for (milliseconds phase{0}; phase < milliseconds{100}; phase += 25ms) {
    for (milliseconds cut_at{5'000}; cut_at < 7'600ms; cut_at += 15ms) {
      failure_domain domain{phase};
      domain.Run(cut_at);
      domain.is_cut_off = true;
      const int before = domain.own_reads;
      milliseconds waited{0};
      while (domain.own_reads == before && waited < 10s) {
        domain.Step();
        waited += kStep;
      }
      BOOST_TEST_REQUIRE(
          (waited <= catalog_feed::kPropagationLimit - catalog_feed::kReadTime),
          "cut at " << cut_at.count() << " ms: the follower reads "
                    << waited.count() << " ms later");
    }
  }
}

BOOST_AUTO_TEST_CASE(AFollowerOfAReaderThatIsAnsweredMakesNoCalls) {
  failure_domain domain{50ms};
  domain.Run(3'000ms);
  const int at_start = domain.own_reads;
  domain.Run(60'000ms);
  BOOST_TEST(domain.own_reads == at_start);
}

BOOST_AUTO_TEST_SUITE_END()
