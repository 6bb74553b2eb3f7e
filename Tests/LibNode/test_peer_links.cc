#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "LibLink/message_codec.h"
#include "LibNode/peer_links.h"

namespace wagtailmount {

namespace {

using namespace std::chrono_literals;

const endpoint kAddress{"127.0.0.1", 7003};

/// Records what is opened, closed and sent.
class fake_hub final : public link_hub {
 public:
  link_id Open(const endpoint&) override { return ++last_link; }
  void Close(link_id link) override { closed.push_back(link); }
  bool Send(link_id link, std::string_view frame) override {
    sent[link].emplace_back(frame);
    return true;
  }
  link_counters Counters() const override { return {}; }
  endpoint Listening() const override { return kAddress; }
  void Stop() override {}

  link_id last_link = 0;
  std::vector<link_id> closed;
  std::map<link_id, std::vector<std::string>> sent;
};

class fake_listener final : public peer_listener {
 public:
  hello_message MakeHello(std::string_view) override { return {}; }
  void OnPeerUp(const std::string& vm, const hello_message&) override {
    events += "+" + vm;
  }
  void OnPeerDown(const std::string& vm, std::string_view) override {
    events += "-" + vm;
  }
  void OnPeerMessage(const std::string& vm, const message&) override {
    events += "m" + vm;
  }

  std::string events;
};

struct links_fixture {
  links_fixture() { links.SetLinkHub(hub); }

  std::string EncodedHelloFrom(std::string vm, std::uint64_t incarnation = 1) {
    hello_message hello;
    hello.sender.vm = std::move(vm);
    hello.sender.incarnation = incarnation;
    return EncodeMessage(hello);
  }

  void AcceptLink(link_id link, const std::string& frame) {
    links.OnLinkOpened(link, false);
    links.OnFrame(link, frame);
  }

  /// Dials `vm` and completes the hello; returns the link.
  link_id Dial(const std::string& vm) {
    const wanted_peer wanted{vm, kAddress};
    links.SetWanted({&wanted, 1});
    links.Tick();
    links.OnLinkOpened(hub.last_link, true);
    links.OnFrame(hub.last_link, EncodedHelloFrom(vm));
    return hub.last_link;
  }

  manual_clock clock;
  fake_hub hub;
  fake_listener listener;
  peer_links links{{.vm = "m"}, clock, listener, 1};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_links_suite, links_fixture)

BOOST_AUTO_TEST_CASE(DialedPeerIsIdentifiedByItsHello) {
  Dial("z");
  BOOST_TEST(listener.events == "+z");
  BOOST_TEST(links.Send("z", compare_message{}));
  BOOST_TEST(!links.Send("y", compare_message{}));
}

BOOST_AUTO_TEST_CASE(FailedDialIsRetriedAfterABackoff) {
  const wanted_peer wanted{"z", kAddress};
  links.SetWanted({&wanted, 1});
  links.Tick();
  links.OnLinkClosed(1, "refused");
  links.Tick();
  BOOST_TEST(hub.last_link == 1U);
  clock.Advance(500ms);
  links.Tick();
  BOOST_TEST(hub.last_link == 2U);
  BOOST_TEST(links.Counters().failed_opens == 1U);
}

BOOST_AUTO_TEST_CASE(SimultaneousDialsKeepTheLinkDialedByTheLowerName) {
  const link_id own = Dial("z");
  AcceptLink(100, EncodedHelloFrom("z"));
  BOOST_TEST(hub.closed == std::vector<link_id>{100});
  BOOST_TEST(listener.events == "+z");
  AcceptLink(101, EncodedHelloFrom("z", 2));
  BOOST_TEST(hub.closed.back() == own);
  BOOST_TEST(links.Send("z", compare_message{}));
  BOOST_TEST(!hub.sent[101].empty());
}

BOOST_AUTO_TEST_CASE(HigherNameDropsItsLinkWhenTheLowerNameDials) {
  const link_id own = Dial("a");
  AcceptLink(100, EncodedHelloFrom("a"));
  BOOST_TEST(hub.closed == std::vector<link_id>{own});
}

BOOST_AUTO_TEST_CASE(UnwantedLinkIsClosedAfterTheGracePeriod) {
  const link_id own = Dial("z");
  links.SetWanted({});
  for (int second = 0; second < 32; ++second) {
    clock.Advance(1s);
    links.OnFrame(own, EncodeMessage(compare_message{}));
    links.Tick();
    BOOST_TEST(hub.closed.empty() == (second < 30));
  }
}

BOOST_AUTO_TEST_CASE(SilentLinkIsClosed) {
  Dial("z");
  clock.Advance(7s);
  links.Tick();
  BOOST_TEST(listener.events == "+z-z");
}

BOOST_AUTO_TEST_CASE(InvalidFirstFrameClosesTheLinkAndIsCounted) {
  hello_message old_protocol;
  old_protocol.sender.vm = "z";
  old_protocol.protocol = hello_message::kProtocol + 1;
  const std::string frames[] = {EncodeMessage(old_protocol),
                                EncodedHelloFrom("m"), EncodedHelloFrom(""),
                                EncodeMessage(compare_message{}), "garbage"};
  link_id link = 100;
  for (const auto& frame : frames) {
    AcceptLink(++link, frame);
    BOOST_TEST(hub.closed.back() == link);
  }
  BOOST_TEST(listener.events.empty());
  // The codec itself refuses the empty name.
  BOOST_TEST(links.Counters().refused_hellos == 3U);
  BOOST_TEST(links.Counters().malformed_frames == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
