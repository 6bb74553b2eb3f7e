#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "LibBase/random.h"
#include "Tests/LibConfig/folder_builder.h"

namespace wagtailmount {

using testing::Describe;
using testing::Publish;

namespace {

constexpr std::uint64_t kSeed = 20'241;
constexpr int kRounds = 6'000;
constexpr std::size_t kMaxMutations = 3;

/// Fragments more likely than random bytes to expose parser faults.
constexpr std::array<std::string_view, 22> kFragments{"{",
                                                      "}",
                                                      "[",
                                                      "]",
                                                      "\"",
                                                      "\\u0000",
                                                      "\\ud800",
                                                      "//",
                                                      "/*",
                                                      "null",
                                                      "-1",
                                                      "1e999",
                                                      "99999999999999999999",
                                                      "\xff",
                                                      "\xed\xa0\x80",
                                                      "\r\n",
                                                      ":",
                                                      ",",
                                                      "true",
                                                      "\"team\"",
                                                      "\"services\"",
                                                      "[[[[[[[[[["};

std::vector<std::string> ReadExamples() {
  std::vector<std::string> texts;
  const std::filesystem::path folder =
      std::filesystem::path(WAGTAILMOUNT_SOURCE_FOLDER) / "examples";
  for (const auto& each :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (each.path().parent_path().filename() == "config") {
      std::ostringstream text;
      text << std::ifstream(each.path()).rdbuf();
      texts.push_back(text.str());
    }
  }
  std::sort(texts.begin(), texts.end());
  return texts;
}

void Mutate(std::string& text, const std::vector<std::string>& samples,
            random_source& random) {
  const std::size_t at = random.Below(text.size() + 1);
  const std::size_t length =
      random.Below(std::min<std::size_t>(text.size() - at, 64) + 1);
  switch (random.Below(5)) {
    case 0:
      text.erase(at, length);
      break;
    case 1:
      text.insert(at, text.substr(at, length));
      break;
    case 2:
      text.insert(at, kFragments.at(random.Below(kFragments.size())));
      break;
    case 3:
      if (at < text.size()) {
        text[at] = static_cast<char>(random.Below(256));
      }
      break;
    default: {
      const std::string& other = samples[random.Below(samples.size())];
      text.replace(at, length, other, random.Below(other.size()), length);
    }
  }
}

/// Whether a refusal is safe to print and forward: it has at least one reason,
/// is under 100000 bytes and holds only printable ASCII.
bool IsBoundedPrintableText(const refusal& refused) {
  const std::string description = Describe(refused);
  return !refused.reasons.empty() && description.size() < 100'000 &&
         std::all_of(description.begin(), description.end(),
                     [](char character) {
                       return character == '\n' ||
                              (character >= ' ' && character <= '~');
                     });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(parser_fuzz)

/// Any input is either accepted or refused with reasons, and the result is the
/// same with and without a previous version to reuse objects from.
BOOST_AUTO_TEST_CASE(MutatedFilesAreAcceptedOrRefusedCleanly) {
  random_source random(kSeed);
  const auto samples = ReadExamples();
  BOOST_REQUIRE(samples.size() >= 8U);
  std::shared_ptr<const configuration> previous;
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string text = samples[random.Below(samples.size())];
    const std::size_t mutations = random.Below(kMaxMutations);
    for (std::size_t i = 0; i <= mutations; ++i) {
      Mutate(text, samples, random);
    }
    const auto files = Publish(
        {{"10-fuzzed.json", text}, {"20-sound.json", R"({"team": "sound"})"}});
    const auto full = AcceptFolder(1, files, nullptr);
    const auto incremental = AcceptFolder(1, files, previous.get());
    BOOST_REQUIRE_EQUAL(full.has_value(), incremental.has_value());
    if (full.has_value()) {
      previous = *incremental;
      ++accepted;
      continue;
    }
    BOOST_REQUIRE_EQUAL(Describe(full.error()), Describe(incremental.error()));
    BOOST_REQUIRE(IsBoundedPrintableText(full.error()));
  }
  BOOST_TEST_MESSAGE(accepted << " of " << kRounds << " accepted, seed "
                              << kSeed);
  BOOST_TEST(accepted > 0);
  BOOST_TEST(accepted < kRounds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
