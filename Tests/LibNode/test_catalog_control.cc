// The control state of a node in stepped time, on a platform that is restored
// from an earlier copy.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "LibLink/message_codec.h"
#include "LibNode/catalog_control.h"

namespace wagtailmount {

namespace {

using namespace std::chrono_literals;

// Holds the calls of the node until the test answers them.
class held_source final : public catalog_source {
 public:
  void List(std::string_view, bool, answer<catalog_page> done) override {
    listing = std::move(done);
  }
  void Watch(std::uint64_t revision, std::chrono::milliseconds,
             answer<catalog_changes> done) override {
    watched_after = revision;
    watch = std::move(done);
  }

  answer<catalog_page> listing;
  answer<catalog_changes> watch;
  std::uint64_t watched_after = 0;
};

class idle_hub final : public link_hub {
 public:
  link_id Open(const endpoint&) override { return ++last_link; }
  void Close(link_id) override {}
  bool Send(link_id, std::string_view frame) override {
    sent.push_back(*DecodeMessage(frame));
    return true;
  }
  link_counters Counters() const override { return {}; }
  endpoint Listening() const override { return {"127.0.0.1", 7003}; }
  void Stop() override {}

  template <typename T>
  const T* LastSent() const {
    for (auto each = sent.rbegin(); each != sent.rend(); ++each) {
      if (const T* found = std::get_if<T>(&*each)) {
        return found;
      }
    }
    return nullptr;
  }

  link_id last_link = 0;
  std::vector<message> sent;
};

// Contents of the test's entries: a configuration's version number, and
// "ADDRESS ready" or "ADDRESS draining" of an upstream.
result<std::shared_ptr<const configuration>> ReadVersion(
    const catalog_item& item) {
  configuration::contents parts;
  parts.version.revision = std::stoull(*item.content);
  return std::make_shared<const configuration>(std::move(parts));
}

result<upstream_record> ReadState(const catalog_item& item) {
  const auto space = item.content->find(' ');
  upstream_record record;
  record.id = item.key.substr(2);
  record.service = "ledger";
  record.failure_domain = "hall";
  record.backend_server = {item.content->substr(0, space), 9000};
  record.slots = 4;
  record.is_leaving = item.content->substr(space + 1) == "draining";
  return record;
}

catalog_item Entry(std::string key, std::uint64_t revision, std::string content,
                   std::uint64_t created = 1) {
  return {std::move(key),
          revision,
          created,
          false,
          std::make_shared<const std::string>(std::move(content)),
          0};
}

node_settings Settings() {
  node_settings settings;
  settings.vm = "10.0.0.1";
  settings.failure_domain = "hall";
  settings.region = "pk";
  settings.service = "ledger";
  settings.backend_server = {"10.0.0.1", 9000};
  return settings;
}

// A node, and what it calls.
struct control_parts {
  void Step(duration span) {
    clock.Advance(span);
    control.Tick();
  }

  void AnswerListing(const catalog_page& page) {
    BOOST_REQUIRE(source.listing != nullptr);
    std::exchange(source.listing, nullptr)(page);
  }

  // Ends the watch as the platform does that no longer has its revision, and
  // waits for the listing that follows.
  void EndWatchWith(result<catalog_changes> answer) {
    BOOST_REQUIRE(source.watch != nullptr);
    std::exchange(source.watch, nullptr)(std::move(answer));
    for (int tick = 0; tick < 20 && source.listing == nullptr; ++tick) {
      Step(100ms);
    }
  }

  std::string Available() const {
    std::string names;
    for (const upstream& each : published->UpstreamsOf("ledger")) {
      names += each.is_leaving ? "" : each.backend_server_id + " ";
    }
    return names;
  }

  manual_clock clock;
  node_settings settings = Settings();
  held_source source;
  catalog_format format{"op", "s/", "e/", ReadVersion, ReadState};
  structured_log log{{}, clock};
  idle_hub hub;
  std::shared_ptr<const routing_snapshot> published;
  catalog_control control{settings,
                          clock,
                          source,
                          format,
                          log,
                          [this](std::shared_ptr<const routing_snapshot> made) {
                            published = std::move(made);
                          },
                          1};
};

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
    for (int tick = 0; tick < 12; ++tick) {
      Step(100ms);
    }
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
  EndWatchWith(
      catalog_changes{21, {Entry("s/i-1", 21, "10.0.0.1 ready")}, 4});
  Step(100ms);
  BOOST_TEST((published->Own()->cold_stated_at > before));
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

// In an outage the peer's state is old, but nobody has a newer one.
BOOST_AUTO_TEST_CASE(APeerInTheSameStateIsEnoughInAnOutage) {
  control.OnPeerMessage("10.0.0.2", catalog_state_message{20, 9s, {}, 4});
  Step(100ms);
  BOOST_REQUIRE(published != nullptr);
  BOOST_TEST(Available() == "i-1 i-2 ");
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
