#include <boost/test/unit_test.hpp>

#include "LibCatalog/upstream_directory.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

registered_upstream Registered(std::string id, std::string address,
                               std::uint64_t created = 1) {
  registered_upstream made;
  made.record.id = std::move(id);
  made.record.service = "ledger";
  made.record.backend_server = {std::move(address), 9000};
  made.record.failure_domain = "hall";
  made.record.slots = 18;
  made.created = created;
  return made;
}

registered_upstream Born(registered_upstream from, std::int64_t born) {
  from.record.born = born;
  return from;
}

registered_upstream WrittenAt(registered_upstream from,
                              std::uint64_t revision) {
  from.revision = revision;
  return from;
}

registered_upstream Leaving(registered_upstream from) {
  from.record.is_leaving = true;
  return from;
}

struct directory_fixture {
  void Update(const std::vector<registered_upstream>& registered,
              milliseconds keep_missing_for = milliseconds{0}) {
    directory.Update(clock.Now(), registered, clock.Now() + keep_missing_for);
  }

  std::vector<upstream> Ledger() const {
    const auto all = directory.Upstreams();
    return all.empty() ? std::vector<upstream>{} : all.front()->upstreams;
  }

  manual_clock clock;
  upstream_directory directory{{.own_backend_server = {"10.0.0.1", 9000},
                                .own_service = "ledger",
                                .region = "pk",
                                .failure_domain = "hall",
                                .hop_port = 7000}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_directory_suite, directory_fixture)

BOOST_AUTO_TEST_CASE(AnUpstreamIsReachedByTheNodeBesideIt) {
  Update({Registered("i-1", "10.0.0.2")});
  BOOST_REQUIRE(Ledger().size() == 1U);
  BOOST_TEST(Ledger()[0].hop.ToText() == "10.0.0.2:7000");
  BOOST_TEST(Ledger()[0].backend_server_id == "i-1");
}

// A backend server's last heartbeat may be stored after the record that says
// that it is leaving. It must not make the upstream available again.
BOOST_AUTO_TEST_CASE(ADelayedHeartbeatDoesNotMakeALeavingUpstreamAvailable) {
  Update({Registered("i-1", "10.0.0.1")});
  Update({Leaving(Registered("i-1", "10.0.0.1"))});
  const time_point since = clock.Now();
  clock.Advance(milliseconds{1'400});
  Update({Registered("i-1", "10.0.0.1")});
  BOOST_TEST(Ledger()[0].is_leaving);
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == since));
  Update({});
  Update({Registered("i-1", "10.0.0.1")});
  BOOST_TEST(Ledger()[0].is_leaving);
}

// Registrations expire during a platform outage and are renewed soon after it,
// so a missing one is kept for a while after the platform has failed.
BOOST_AUTO_TEST_CASE(AMissingRegistrationIsKeptOnlyUntilTheGivenTime) {
  Update({Registered("i-1", "10.0.0.2"), Registered("i-2", "10.0.0.3")});
  Update({Registered("i-2", "10.0.0.3")}, milliseconds{2'500});
  BOOST_TEST(Ledger().size() == 2U);
  clock.Advance(milliseconds{2'400});
  BOOST_TEST(!directory.Expire(clock.Now()));
  clock.Advance(milliseconds{200});
  BOOST_TEST(directory.Expire(clock.Now()));
  BOOST_TEST(Ledger().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AMissingRegistrationIsDroppedAtOnceWithoutAnOutage) {
  Update({Registered("i-1", "10.0.0.2")});
  Update({});
  BOOST_TEST(Ledger().empty());
}

BOOST_AUTO_TEST_CASE(AMissingLeavingRegistrationIsDroppedAtOnce) {
  Update({Leaving(Registered("i-1", "10.0.0.2"))});
  Update({}, milliseconds{2'500});
  BOOST_TEST(Ledger().empty());
}

BOOST_AUTO_TEST_CASE(TheLaterOfTwoRegistrationsAtOneAddressIsValid) {
  Update(
      {Registered("i-old", "10.0.0.2", 3), Registered("i-new", "10.0.0.2", 9)});
  BOOST_REQUIRE(Ledger().size() == 1U);
  BOOST_TEST(Ledger()[0].backend_server_id == "i-new");
}

// A backend server may state the same remaining time again, and it counts from
// the later statement.
BOOST_AUTO_TEST_CASE(ColdnessCountsFromTheLastWritingOfTheOwnRegistration) {
  BOOST_TEST((directory.OwnBackendServer({}).cold_stated_at == time_point{}));
  auto own = Registered("i-1", "10.0.0.1");
  own.record.cold_remaining = milliseconds{4'000};
  own.revision = 7;
  Update({own});
  const time_point first = clock.Now();
  clock.Advance(milliseconds{500});
  Update({own, Registered("i-2", "10.0.0.2")});
  BOOST_TEST((directory.OwnBackendServer({}).cold_stated_at == first));
  own.revision = 8;
  Update({own});
  BOOST_TEST((directory.OwnBackendServer({}).cold_stated_at == clock.Now()));
  BOOST_TEST(
      (directory.OwnBackendServer({}).cold_remaining == milliseconds{4'000}));
  Update({});
  BOOST_TEST((directory.OwnBackendServer({}).cold_stated_at == clock.Now()));
}

// A start under an id that was used before states a later birth.
BOOST_AUTO_TEST_CASE(AStartUnderAUsedIdHasAnIncarnationOfItsOwn) {
  auto own = Registered("i-1", "10.0.0.1");
  own.record.born = 1'000;
  Update({own});
  const std::uint64_t before = directory.OwnBackendServer({}).incarnation;
  BOOST_TEST(before == Ledger()[0].incarnation);
  own.record.born = 2'000;
  Update({own});
  BOOST_TEST(directory.OwnBackendServer({}).incarnation != before);
}

// The platform may still hold a registration of an earlier backend server of
// another service at this VM's address. It must not replace the service from
// the settings or its slots.
BOOST_AUTO_TEST_CASE(ARegistrationOfAnotherServiceDoesNotChangeTheOwnService) {
  auto former = Registered("i-1", "10.0.0.1");
  former.record.service = "casefile";
  former.record.slots = 5;
  Update({former});
  BOOST_TEST(directory.OwnBackendServer({}).service == "ledger");
  BOOST_TEST(directory.OwnBackendServer({}).limits.slots ==
             upstream_limits{}.slots);
}

BOOST_AUTO_TEST_CASE(ActiveNodesExcludeLeavingBackendServers) {
  Update(
      {Registered("i-1", "10.0.0.2"), Leaving(Registered("i-2", "10.0.0.3"))});
  BOOST_REQUIRE(directory.ActiveNodes().size() == 1U);
  BOOST_TEST(directory.ActiveNodes()[0].vm == "10.0.0.2");
}

// Some backend servers never report that they leave: their registration is
// removed. The node beside one must know that it is leaving all the same.
BOOST_AUTO_TEST_CASE(AnOwnRegistrationThatIsRemovedCountsAsLeaving) {
  Update({Registered("i-1", "10.0.0.1"), Registered("i-2", "10.0.0.2")});
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == time_point{}));
  clock.Advance(milliseconds{500});
  Update({Registered("i-2", "10.0.0.2")});
  const time_point since = clock.Now();
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == since));
  clock.Advance(milliseconds{500});
  Update({Registered("i-3", "10.0.0.3")});
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == since));
  BOOST_TEST(directory.OwnBackendServer({}).limits.slots == 18U);
}

BOOST_AUTO_TEST_CASE(ALeavingThatWasReportedCountsFromItsReport) {
  Update({Registered("i-1", "10.0.0.1")});
  Update({Leaving(Registered("i-1", "10.0.0.1"))});
  const time_point since = clock.Now();
  clock.Advance(milliseconds{1'000});
  Update({});
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == since));
}

BOOST_AUTO_TEST_CASE(AnOwnRegistrationThatLapsesCountsAsLeavingOnceDropped) {
  Update({Registered("i-1", "10.0.0.1")});
  Update({}, milliseconds{2'500});
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == time_point{}));
  clock.Advance(milliseconds{2'600});
  BOOST_TEST(directory.Expire(clock.Now()));
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == clock.Now()));
  Update({Registered("i-1", "10.0.0.1")});
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == time_point{}));
}

// A process that starts after its backend server has left finds no registration
// of it, while other nodes may still send requests.
BOOST_AUTO_TEST_CASE(AStartedNodeWithoutAnOwnRegistrationCountsItAsLeaving) {
  Update({Registered("i-2", "10.0.0.2")});
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == clock.Now()));
  Update({Registered("i-1", "10.0.0.1"), Registered("i-2", "10.0.0.2")});
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == time_point{}));
}

// A platform that was restored from a copy shows registrations again whose
// backend servers have left.
BOOST_AUTO_TEST_CASE(ARemovedRegistrationThatIsRestoredIsNotUsedAgain) {
  const auto left = Registered("i-1", "10.0.0.2", 5);
  const auto own = Registered("i-2", "10.0.0.1", 6);
  Update({left, own});
  Update({});
  const time_point since = clock.Now();
  clock.Advance(milliseconds{900});
  Update({left, own});
  BOOST_REQUIRE(Ledger().size() == 2U);
  BOOST_TEST(Ledger()[0].is_leaving);
  BOOST_TEST(Ledger()[1].is_leaving);
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == since));
  // One that was created again belongs to a backend server that runs.
  Update({left, Registered("i-2", "10.0.0.1", 9)});
  BOOST_TEST(Ledger()[0].is_leaving);
  BOOST_TEST(!Ledger()[1].is_leaving);
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == time_point{}));
}

// The copy is older than the report, and its backend server may not write again
// before it ends.
BOOST_AUTO_TEST_CASE(AnUpstreamSeenLeavingStaysLeavingInARestoredState) {
  Update({Registered("i-1", "10.0.0.2", 5)});
  Update({Leaving(Registered("i-1", "10.0.0.2", 5))});
  Update({Registered("i-1", "10.0.0.2", 5)});
  BOOST_TEST(Ledger()[0].is_leaving);
  // Absent from the copy, then written again as it was.
  Update({}, milliseconds{2'500});
  BOOST_TEST(Ledger().empty());
  Update({Registered("i-1", "10.0.0.2", 8)});
  BOOST_TEST(Ledger()[0].is_leaving);
}

// A backend server left and started again under its id.
BOOST_AUTO_TEST_CASE(ANewStartUnderAnIdThatLeftIsNotLeaving) {
  Update({Born(Registered("i-1", "10.0.0.1"), 1'000)});
  Update({Leaving(Born(Registered("i-1", "10.0.0.1"), 1'000))});
  BOOST_TEST(Ledger()[0].is_leaving);
  Update({Born(Registered("i-1", "10.0.0.1"), 2'000)});
  BOOST_REQUIRE(Ledger().size() == 1U);
  BOOST_TEST(!Ledger()[0].is_leaving);
  BOOST_TEST((directory.OwnBackendServer({}).leaving_since == time_point{}));
}

// The new start's entry may have been created in the same write as that of a
// removed start, in a platform that counts anew.
BOOST_AUTO_TEST_CASE(ANewStartUnderARemovedIdIsUsed) {
  Update({Born(Registered("i-1", "10.0.0.1", 9), 1'000)});
  Update({});
  Update({Born(Registered("i-1", "10.0.0.1", 9), 2'000)});
  BOOST_REQUIRE(Ledger().size() == 1U);
  BOOST_TEST(!Ledger()[0].is_leaving);
}

BOOST_AUTO_TEST_CASE(ALaterBirthWinsOverALaterCreation) {
  Update({Born(Registered("i-1", "10.0.0.2", 9), 1'000),
          Born(Registered("i-2", "10.0.0.2", 3), 2'000)});
  BOOST_REQUIRE(Ledger().size() == 1U);
  BOOST_TEST(Ledger()[0].backend_server_id == "i-2");
}

// The last beat of the earlier start is stored after the first one of the later
// start, or shows again in a restored platform.
BOOST_AUTO_TEST_CASE(ALateBeatOfAnEarlierBirthBringsNothingBack) {
  Update({Born(Registered("i-1", "10.0.0.1"), 1'000)});
  Update({Born(Registered("i-1", "10.0.0.1"), 2'000)});
  const std::uint64_t later = Ledger()[0].incarnation;
  Update({Leaving(Born(Registered("i-1", "10.0.0.1", 8), 1'000))});
  BOOST_REQUIRE(Ledger().size() == 1U);
  BOOST_TEST(Ledger()[0].incarnation == later);
  BOOST_TEST(!Ledger()[0].is_leaving);
  BOOST_TEST(directory.OwnBackendServer({}).incarnation == later);
  Update({});
  Update({Born(Registered("i-1", "10.0.0.1", 12), 1'000)});
  BOOST_TEST(Ledger().empty());
}

// Guards against a start that is ignored for its whole life, and never taken
// for leaving, as the clock of its VM was set back since the start before it.
BOOST_AUTO_TEST_CASE(AStartWithAnEarlierBirthIsUsedOnceItWritesAgain) {
  const auto earlier = Born(Registered("i-1", "10.0.0.1"), 1'000);
  Update({WrittenAt(Born(Registered("i-1", "10.0.0.1"), 2'000), 5)});
  const std::uint64_t replaced = Ledger()[0].incarnation;
  Update({WrittenAt(earlier, 7)});
  Update({WrittenAt(earlier, 7)});
  BOOST_TEST(Ledger()[0].incarnation == replaced);
  Update({WrittenAt(earlier, 9)});
  BOOST_REQUIRE(Ledger().size() == 1U);
  BOOST_TEST(Ledger()[0].incarnation != replaced);
  Update({WrittenAt(Leaving(earlier), 11)});
  BOOST_TEST(Ledger()[0].is_leaving);
}

// A late write of the start that it has replaced doesn't bring that back.
BOOST_AUTO_TEST_CASE(ALateWriteOfAReplacedLaterBirthBringsNothingBack) {
  const auto earlier = Born(Registered("i-1", "10.0.0.1"), 1'000);
  const auto later = Born(Registered("i-1", "10.0.0.1"), 2'000);
  Update({WrittenAt(later, 5)});
  Update({WrittenAt(earlier, 7)});
  Update({WrittenAt(earlier, 9)});
  const std::uint64_t valid = Ledger()[0].incarnation;
  Update({WrittenAt(Leaving(later), 10)});
  BOOST_TEST(Ledger()[0].incarnation == valid);
  BOOST_TEST(!Ledger()[0].is_leaving);
  Update({WrittenAt(earlier, 11)});
  BOOST_TEST(Ledger()[0].incarnation == valid);
}

// A start whose last writes come late, between those of the next one, is not
// taken for a later one.
BOOST_AUTO_TEST_CASE(LateWritesBetweenThoseOfALaterBirthBringNothingBack) {
  const auto earlier = Born(Registered("i-1", "10.0.0.1"), 1'000);
  const auto later = Born(Registered("i-1", "10.0.0.1"), 2'000);
  Update({WrittenAt(later, 5)});
  const std::uint64_t valid = Ledger()[0].incarnation;
  for (std::uint64_t revision = 6; revision < 12; revision += 2) {
    Update({WrittenAt(Leaving(earlier), revision)});
    BOOST_TEST(Ledger()[0].incarnation == valid);
    Update({WrittenAt(later, revision + 1)});
    BOOST_TEST(Ledger()[0].incarnation == valid);
    BOOST_TEST(!Ledger()[0].is_leaving);
  }
}

BOOST_AUTO_TEST_CASE(AnEvacuationMarksTheUpstreamsOfItsFailureDomainOnly) {
  auto elsewhere = Registered("i-2", "10.0.0.2");
  elsewhere.record.failure_domain = "yard";
  Update({Registered("i-1", "10.0.0.1"), elsewhere});
  const time_point since = clock.Now();
  directory.SetEvacuated(since, {"hall", "no-such-domain"});
  BOOST_TEST(Ledger()[0].is_evacuated);
  BOOST_TEST(!Ledger()[1].is_evacuated);
  BOOST_TEST((directory.OwnBackendServer({}).evacuated_since == since));
  BOOST_TEST(!directory.IsFailureDomainKnown("no-such-domain"));
  // Also while the own registration is missing, and for one that comes later.
  Update({elsewhere});
  BOOST_TEST((directory.OwnBackendServer({}).evacuated_since == since));
  clock.Advance(milliseconds{100});
  directory.SetEvacuated(clock.Now(), {"yard"});
  Update({Registered("i-3", "10.0.0.1"), elsewhere});
  const own_backend_server own = directory.OwnBackendServer({});
  BOOST_TEST((own.evacuated_since == time_point{}));
  BOOST_TEST((own.evacuation_ended_at == clock.Now()));
  BOOST_TEST(Ledger()[0].is_evacuated);
  BOOST_TEST(!Ledger()[1].is_evacuated);
}

BOOST_AUTO_TEST_SUITE_END()
