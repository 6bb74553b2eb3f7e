// Whether a backend server is cold, in stepped time.

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "LibLoad/cold_start_judge.h"

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

constexpr milliseconds kPeriod{3'000};
constexpr milliseconds kStep{1};

// A judge of a backend server whose registration this process has read.
struct judge_fixture {
  judge_fixture() {
    judge.SetPeriod(kPeriod);
    Register(1, milliseconds{0});
    clock.Advance(seconds{10});
  }

  void Register(std::uint64_t incarnation, milliseconds remaining) {
    registered.incarnation = incarnation;
    registered.remaining = remaining;
    registered.stated_at = clock.Now();
    judge.Register(clock.Now(), registered);
  }

  bool IsCold() const { return judge.SignAt(clock.Now()) != cold_sign::kNone; }

  manual_clock clock;
  cold_registration registered;
  cold_start_judge judge{clock.Now()};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cold_start_judge_suite, judge_fixture)

BOOST_AUTO_TEST_CASE(ANewProcessAssumesTheWorstUntilItIsTold) {
  cold_start_judge fresh{clock.Now()};
  fresh.SetPeriod(kPeriod);
  BOOST_TEST((fresh.SignAt(clock.Now()) == cold_sign::kOwnStart));
  clock.Advance(milliseconds{600});
  fresh.Register(clock.Now(), {.incarnation = 7,
                               .remaining = milliseconds{0},
                               .stated_at = clock.Now(),
                               .evacuation_ended_at = {}});
  BOOST_TEST((fresh.SignAt(clock.Now()) == cold_sign::kNone));
}

// The VM lost power: the platform still holds what the start before wrote.
BOOST_AUTO_TEST_CASE(ARegistrationFromBeforeAPowerLossEndsNoDoubt) {
  cold_start_judge fresh{clock.Now()};
  fresh.SetPeriod(kPeriod);
  clock.Advance(milliseconds{100});
  fresh.Register(clock.Now(), {.incarnation = 7,
                               .remaining = milliseconds{0},
                               .stated_at = clock.Now(),
                               .evacuation_ended_at = {}});
  BOOST_TEST((fresh.SignAt(clock.Now()) == cold_sign::kOwnStart));
  clock.Advance(milliseconds{300});
  fresh.Register(clock.Now(), {.incarnation = 8,
                               .remaining = milliseconds{2'500},
                               .stated_at = clock.Now(),
                               .evacuation_ended_at = {}});
  clock.Advance(milliseconds{2'499});
  BOOST_TEST((fresh.SignAt(clock.Now()) == cold_sign::kStated));
}

BOOST_AUTO_TEST_CASE(ANewProcessThatIsNeverToldAssumesTheWorstForThePeriod) {
  cold_start_judge fresh{clock.Now()};
  fresh.SetPeriod(kPeriod);
  // Known from other nodes only: nothing was read by this process.
  fresh.Register(clock.Now(), {.incarnation = 7,
                               .remaining = milliseconds{0},
                               .stated_at = {},
                               .evacuation_ended_at = {}});
  clock.Advance(kPeriod - kStep);
  BOOST_TEST((fresh.SignAt(clock.Now()) == cold_sign::kOwnStart));
  clock.Advance(kStep);
  BOOST_TEST((fresh.SignAt(clock.Now()) == cold_sign::kNone));
}

BOOST_AUTO_TEST_CASE(AStatedColdnessLastsAsLongAsStated) {
  BOOST_TEST(!IsCold());
  Register(1, milliseconds{800});
  BOOST_TEST((judge.SignAt(clock.Now()) == cold_sign::kStated));
  clock.Advance(milliseconds{799});
  BOOST_TEST(IsCold());
  clock.Advance(kStep);
  BOOST_TEST(!IsCold());
}

BOOST_AUTO_TEST_CASE(AWarmBackendServerMayBecomeColdAgain) {
  Register(1, milliseconds{1'000});
  clock.Advance(seconds{5});
  BOOST_TEST(!IsCold());
  Register(1, milliseconds{2'000});
  BOOST_TEST(IsCold());
}

BOOST_AUTO_TEST_CASE(ANewStartIsColdUntilItStatesOtherwise) {
  registered.incarnation = 2;
  judge.Register(clock.Now(), registered);  // No statement of its own yet.
  BOOST_TEST((judge.SignAt(clock.Now()) == cold_sign::kNewStart));
  clock.Advance(milliseconds{200});
  Register(3, milliseconds{0});
  BOOST_TEST(!IsCold());
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionDoubtsForThePeriod) {
  judge.RecordUnreachable(clock.Now());
  judge.RecordAnswer(clock.Now() - seconds{1});
  clock.Advance(kPeriod - kStep);
  BOOST_TEST((judge.SignAt(clock.Now()) == cold_sign::kUnreachable));
  clock.Advance(kStep);
  BOOST_TEST(!IsCold());
}

// It may have been written before the restart.
BOOST_AUTO_TEST_CASE(ARegistrationReadJustAfterASignEndsNoDoubt) {
  judge.RecordUnreachable(clock.Now());
  clock.Advance(milliseconds{100});
  Register(1, milliseconds{0});
  BOOST_TEST(IsCold());
  clock.Advance(milliseconds{500});
  Register(1, milliseconds{0});
  BOOST_TEST(!IsCold());
}

// A network that resets single connections must not make a warm backend server
// look cold.
BOOST_AUTO_TEST_CASE(AnAnswerOnAnOlderConnectionEndsTheDoubtOfALostOne) {
  const time_point now = clock.Now();
  judge.RecordConnectionLost(now, now - milliseconds{50});
  BOOST_TEST((judge.SignAt(now) == cold_sign::kConnectionLost));
  judge.RecordAnswer(now - milliseconds{80});
  BOOST_TEST(!IsCold());
}

BOOST_AUTO_TEST_CASE(AnAnswerOnANewerConnectionDoesNotEndTheDoubt) {
  const time_point now = clock.Now();
  judge.RecordConnectionLost(now, now - milliseconds{50});
  judge.RecordAnswer(now + milliseconds{1});
  BOOST_TEST(IsCold());
  // It was opened after the backend server may have ended, before the loss was
  // noticed.
  judge.RecordAnswer(now - milliseconds{20});
  BOOST_TEST(IsCold());
}

// The loss of a connection opened after a restart must not hide the restart.
BOOST_AUTO_TEST_CASE(ALaterLossDoesNotEndTheDoubtOfAnEarlierOne) {
  const time_point ended = clock.Now();
  judge.RecordConnectionLost(ended, ended - milliseconds{50});
  const time_point opened = ended + milliseconds{10};
  clock.Advance(milliseconds{500});
  judge.RecordConnectionLost(clock.Now(), opened + milliseconds{400});
  judge.RecordAnswer(opened);
  BOOST_TEST(IsCold());
  // It can't have ended after the connection was opened.
  clock.Advance(kPeriod - milliseconds{490});
  BOOST_TEST(!IsCold());
}

BOOST_AUTO_TEST_CASE(AnEvacuatedFailureDomainComesBackCold) {
  registered.evacuation_ended_at = clock.Now();
  judge.Register(clock.Now(), registered);
  BOOST_TEST((judge.SignAt(clock.Now()) == cold_sign::kEvacuationEnded));
  clock.Advance(milliseconds{500});
  judge.Register(clock.Now(), registered);
  BOOST_TEST(IsCold());
  Register(1, milliseconds{0});
  BOOST_TEST(!IsCold());
}

BOOST_AUTO_TEST_CASE(AnAnswerThatStatesTheTimeIsBelieved) {
  const time_point now = clock.Now();
  judge.RecordUnreachable(now);
  judge.RecordStatement(now, now - kStep, milliseconds{0});
  BOOST_TEST(IsCold());
  clock.Advance(kStep);
  judge.RecordStatement(clock.Now(), now, milliseconds{0});
  BOOST_TEST(!IsCold());
  judge.RecordStatement(clock.Now(), clock.Now(), milliseconds{500});
  BOOST_TEST((judge.SignAt(clock.Now()) == cold_sign::kStated));
}

BOOST_AUTO_TEST_SUITE_END()
