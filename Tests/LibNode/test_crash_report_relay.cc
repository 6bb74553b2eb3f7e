#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "LibLink/message_codec.h"
#include "LibLoad/crash_ledger.h"
#include "LibNode/crash_report_relay.h"

namespace wagtailmount {

namespace {

class counting_hub final : public link_hub {
 public:
  link_id Open(const endpoint&) override { return 0; }
  void Close(link_id) override {}
  bool Send(link_id link, std::string_view frame) override {
    const auto content = DecodeMessage(frame);
    const auto* const sent =
        content ? std::get_if<crash_reports_message>(&*content) : nullptr;
    reports[link] += sent == nullptr ? 0 : sent->reports.size();
    return true;
  }
  link_counters Counters() const override { return {}; }
  endpoint Listening() const override { return {"127.0.0.1", 7003}; }
  void Stop() override {}

  std::map<link_id, std::size_t> reports;  ///< Sent on each link.
};

class silent_listener final : public peer_listener {
 public:
  hello_message MakeHello(std::string_view) override { return {}; }
  void OnPeerUp(const std::string&, const hello_message&) override {}
  void OnPeerDown(const std::string&, std::string_view) override {}
  void OnPeerMessage(const std::string&, const message&) override {}
};

class ledger_store final : public crash_report_store {
 public:
  std::vector<crash_report> Merge(
      std::span<const crash_report> reports) override {
    return ledger.Merge(now, reports);
  }
  std::vector<crash_report> TakeNews() override {
    return std::exchange(news, {});
  }
  void SetNewsListener(std::function<void()>) override {}
  std::vector<crash_report> Summary() const override {
    return ledger.Summary(now);
  }

  time_point now{std::chrono::hours{1}};
  crash_ledger ledger;
  std::vector<crash_report> news;
};

crash_report Report(std::uint64_t crash) {
  return {{1, DigestOf(std::to_string(crash))},
          crash,
          1,
          false,
          std::chrono::milliseconds{0}};
}

// A node with links to three peers.
struct relay_fixture {
  relay_fixture() {
    links.SetLinkHub(hub);
    relay.SetStore(store);
    for (link_id link = 1; link <= 3; ++link) {
      hello_message hello;
      hello.sender.vm = "peer-" + std::to_string(link);
      hello.sender.incarnation = 1;
      links.OnLinkOpened(link, false);
      links.OnFrame(link, EncodeMessage(hello));
    }
  }

  manual_clock clock;
  counting_hub hub;
  silent_listener listener;
  peer_links links{{.vm = "own"}, clock, listener, 1};
  ledger_store store;
  crash_report_relay relay{links};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crash_report_relay_suite, relay_fixture)

BOOST_AUTO_TEST_CASE(WhatThisNodeFoundOutGoesToAllPeersOnce) {
  store.news = {Report(1), Report(2)};
  relay.SendNews();
  relay.SendNews();
  for (link_id link = 1; link <= 3; ++link) {
    BOOST_TEST(hub.reports[link] == 2U);
  }
}

BOOST_AUTO_TEST_CASE(WhatAPeerReportsGoesOnToTheOthersOnce) {
  const crash_reports_message sent{{Report(1)}};
  relay.Handle("peer-1", sent);
  relay.Handle("peer-2", sent);
  BOOST_TEST(hub.reports[1] == 0U);
  BOOST_TEST(hub.reports[2] == 1U);
  BOOST_TEST(hub.reports[3] == 1U);
}

BOOST_AUTO_TEST_CASE(ANodeThatStartsLearnsWhatIsKnown) {
  relay.Handle("peer-1", {{Report(1), Report(2), Report(3)}});
  relay.OnPeerUp("peer-1");
  BOOST_TEST(hub.reports[1] == 3U);
}

BOOST_AUTO_TEST_CASE(ManyReportsAreSentInMessagesOfBoundedLength) {
  for (std::uint64_t crash = 0; crash < 300; ++crash) {
    store.news.push_back(Report(crash));
  }
  relay.SendNews();
  BOOST_TEST(hub.reports[1] == 300U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
