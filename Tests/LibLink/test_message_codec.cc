#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "LibBase/random.h"
#include "LibLink/message_codec.h"

namespace wagtailmount {

namespace {

using nlohmann::json;

json BinaryOf(std::size_t size_bytes) {
  return json::binary(std::vector<std::uint8_t>(size_bytes, 7));
}

json VersionOf(std::uint64_t revision) {
  return json::array({revision, BinaryOf(digest::kSizeBytes)});
}

json RecordWithState(std::uint64_t state) {
  const json address = json::array({"127.0.0.1", 7102});
  return json::array({"fsd-1", "pk-central", "fsd-hall", "ledger", address,
                      address, 3, state});
}

std::string FrameOf(const json& content) {
  std::string bytes;
  json::to_cbor(content, bytes);
  return bytes;
}

std::vector<message> OneOfEachKind() {
  const version_id version{7, DigestOf("manifest")};
  vm_record record{.vm = "fsd-1",
                   .region = "pk-central",
                   .failure_domain = "fsd-hall",
                   .service = "ledger",
                   .peer = {"127.0.0.1", 7102},
                   .hop = {"::1", 7101},
                   .incarnation = 1'700'000'000'000,
                   .state = vm_state::kLeaving};
  const std::string all_bytes("\0\xff\x80 text", 8);
  return {
      hello_message{1, record, version, 9, version},
      offer_message{version, 3, std::chrono::milliseconds{1500}},
      pull_message{version, version_id{}, {"10-a.json"}},
      manifest_message{
          version, version, {{"10-a.json", DigestOf("a"), 120}}, {"20-b.json"}},
      files_request_message{{DigestOf("a"), DigestOf("b")}},
      files_message{{{DigestOf(all_bytes), all_bytes}}, {DigestOf("b")}},
      refusal_message{{version, {{"10-a.json", "$.route", "no such service"}}}},
      membership_message{{record, record}, true},
      compare_message{version, 9, ~std::uint64_t{0},
                      std::chrono::milliseconds{20}},
      membership_request_message{{42, 43}},
      catalog_state_message{41, std::chrono::milliseconds{30}, {"10.0.0.1"}, 3},
      catalog_request_message{40, 3},
      catalog_update_message{
          {40,
           42,
           {{"a/1", 41, 7, false,
             std::make_shared<const std::string>(all_bytes), 39},
            {"a/2", 42, 8, true, nullptr, 0}},
           3},
          std::chrono::milliseconds{5}},
      crash_reports_message{{{{11, DigestOf("request")},
                              ~std::uint64_t{0},
                              2,
                              true,
                              std::chrono::milliseconds{70}}}},
  };
}

struct refused_frame {
  std::string name;
  std::string frame;
  std::string reason;
};

std::vector<refused_frame> RefusedFrames() {
  const json version = VersionOf(7);
  const json short_digest = json::array({7, BinaryOf(31)});
  const json no_address = json::array({"hall", 1});
  json record = RecordWithState(1);
  record[4] = no_address;
  return {
      {"empty", "", "no CBOR"},
      {"not CBOR", "\xff\xff", "no CBOR"},
      {"cut off", EncodeMessage(OneOfEachKind()[0]).substr(0, 40), "no CBOR"},
      {"trailing byte", EncodeMessage(OneOfEachKind()[1]) + "x", "no CBOR"},
      {"oversized", std::string(kMaximumFrameBytes + 1, '\0'), "bytes, over"},
      {"nested to the stack's end", std::string(1'000'000, '\x81'),
       "nested too deeply"},
      {"a byte for each value",
       std::string("\x9a\x00\x10\x00\x00", 5) + std::string(1 << 20, '\0'),
       "too many values"},
      {"a length that memory lacks", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff\x01",
       "no CBOR"},
      {"a map", FrameOf(json::object({{"kind", 1}})), "holds a map"},
      {"a bare number", FrameOf(5), "message is not an array"},
      {"no fields", FrameOf({1}), "message has 1 items instead of 2"},
      {"unknown kind", FrameOf({14, json::array()}), "kind is over 13"},
      {"negative kind", FrameOf({-1, json::array()}),
       "kind is not an unsigned number"},
      {"fields of another kind", FrameOf({1, {version, 0}}),
       "offer has 2 items instead of 3"},
      {"short digest", FrameOf({1, {short_digest, 0, 0}}),
       "content is not a digest"},
      {"text for a digest", FrameOf({1, {{7, std::string(32, 'a')}, 0, 0}}),
       "content is not a byte string"},
      {"fraction for a number", FrameOf({1, {version, 0.5, 0}}),
       "hops is not an unsigned number"},
      {"negative age", FrameOf({1, {version, 0, -5}}),
       "source age is not an unsigned number"},
      {"age that overflows", FrameOf({1, {version, 0, ~std::uint64_t{0}}}),
       "source age is over"},
      {"hops of 33 bits", FrameOf({1, {version, std::uint64_t{1} << 32U, 0}}),
       "hops is over"},
      {"unknown state", FrameOf({7, {json::array({RecordWithState(4)}), 0}}),
       "state is over 3"},
      {"host name for an address", FrameOf({7, {json::array({record}), 0}}),
       "address is not an IP address"},
      {"repair mark over one", FrameOf({7, {json::array(), 2}}),
       "is repair is over 1"},
      {"list that is none", FrameOf({4, json::array({5})}),
       "list is not an array"},
      {"file over a megabyte",
       FrameOf({5,
                {json::array({json::array(
                     {BinaryOf(32), BinaryOf((std::size_t{1} << 20U) + 1)})}),
                 json::array()}}),
       "content is over 1048576 bytes"},
      {"nameless manifest entry",
       FrameOf({3,
                {version, version,
                 json::array({json::array({"", BinaryOf(32), 1})}),
                 json::array()}}),
       "name is empty"},
      {"too many names",
       FrameOf(
           {2, {version, version, json(std::vector<std::string>(1025, "a"))}}),
       "names are too many"},
      {"refusal without a reason", FrameOf({6, {version, json::array()}}),
       "reasons are empty"},
      {"catalog state of another length", FrameOf({10, {1}}),
       "catalog state has 1 items instead of 4"},
      {"too many fast VMs",
       FrameOf({10, {1, 2, json(std::vector<std::string>(5, "a")), 0}}),
       "fast VMs are too many"},
      {"nameless catalog item",
       FrameOf(
           {12, {1, 2, json::array({{"", 1, 1, 0, 0, BinaryOf(1)}}), 0, 0}}),
       "key is empty"},
      {"catalog content as text",
       FrameOf({12, {1, 2, json::array({{"a", 1, 1, 0, 0, "text"}}), 0, 0}}),
       "content is not a byte string"},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(message_codec_suite)

BOOST_AUTO_TEST_CASE(EveryKindIsReadBackAsWritten) {
  std::size_t kind = 0;
  for (const auto& content : OneOfEachKind()) {
    const auto frame = EncodeMessage(content);
    const auto decoded = DecodeMessage(frame);
    BOOST_REQUIRE_MESSAGE(decoded.has_value(), decoded.error().message);
    BOOST_TEST(decoded->index() == kind);
    BOOST_TEST((EncodeMessage(*decoded) == frame));
    ++kind;
  }
  BOOST_TEST(kind == std::variant_size_v<message>);
}

BOOST_AUTO_TEST_CASE(UnfitFramesAreRefusedWithTheirReason) {
  for (const auto& unfit : RefusedFrames()) {
    const auto decoded = DecodeMessage(unfit.frame);
    BOOST_REQUIRE_MESSAGE(!decoded.has_value(), unfit.name + " was taken");
    const bool is_named =
        decoded.error().message.find(unfit.reason) != std::string::npos;
    BOOST_TEST(is_named, unfit.name + ": " + decoded.error().message);
  }
}

BOOST_AUTO_TEST_CASE(DamagedFramesNeverCrashTheReader) {
  random_source random(7);
  std::size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    const auto messages = OneOfEachKind();
    auto frame = EncodeMessage(messages[random.Below(messages.size())]);
    for (std::uint64_t i = 0; i <= random.Below(4); ++i) {
      frame[random.Below(frame.size())] = static_cast<char>(random.Below(256));
    }
    refused += DecodeMessage(frame).has_value() ? 0 : 1;
  }
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
