#include <boost/test/unit_test.hpp>

#include "LibSource/folder_reader.h"
#include "Tests/LibSource/fake_platform.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One reader and one fake platform on a manual clock. For every snapshot it
/// checks the invariants that hold under any fault: revisions never decrease
/// and the content is the whole folder at that revision.
struct reader_rig {
  manual_clock clock;
  random_source random{7};
  fake_platform platform{clock};
  read_budget budget{{"fsd-1", 2'000, 1}, clock.Now(), random};
  std::string states;
  std::uint64_t newest = 0;
  std::uint64_t confirmed = 0;
  fake_platform::folder snapshot;
  std::function<void()> each_step = [] {};
  folder_reader reader{
      platform,
      budget,
      clock,
      random,
      {},
      {[this](std::uint64_t revision, std::vector<config_file> files) {
         OnSnapshot(revision, files);
       },
       [this](std::uint64_t revision) { confirmed = revision; },
       [this](const source_change& change) {
         states += std::string(NameOf(change.state)) + ", ";
       }}};

  reader_rig() {
    platform.page_size = 2;
    platform.Publish({{"10-a", "a"}, {"20-b", "b"}, {"30-c", "c"}});
    reader.SetReading(true);
  }

  void OnSnapshot(std::uint64_t revision,
                  const std::vector<config_file>& files) {
    BOOST_TEST(revision >= newest);
    newest = revision;
    snapshot.clear();
    for (const auto& file : files) {
      snapshot[file.name] = *file.content;
    }
    BOOST_TEST((snapshot == platform.History().at(revision)),
               "the snapshot must equal the folder at revision " << revision);
  }

  void Run(duration period) {
    const time_point end = clock.Now() + period;
    while (clock.Now() < end) {
      clock.Advance(milliseconds{20});
      platform.Run();
      reader.Tick(clock.Now());
      each_step();
    }
  }
};

struct fault_case {
  const char* name;
  std::function<void(reader_rig&)> provoke;
  const char* states;  ///< The reported state changes, in order.
  std::uint64_t least_torn_reads;
};

/// Runs `edit` once, just before `page` of a listing is answered.
void EditBeforePage(reader_rig& rig, std::size_t page,
                    std::function<void(fake_platform&)> edit) {
  rig.platform.before_page = [&rig, page, edit](std::size_t asked) {
    if (asked == page) {
      rig.platform.before_page = [](std::size_t) {};
      edit(rig.platform);
    }
  };
}

/// Runs `edit` once, just before the file `name` is answered.
void EditBeforeFile(reader_rig& rig, const std::string& name,
                    std::function<void(fake_platform&)> edit) {
  rig.platform.before_file = [&rig, name, edit](const std::string& asked) {
    if (asked == name) {
      rig.platform.before_file = [](const std::string&) {};
      edit(rig.platform);
    }
  };
}

void FailFor(reader_rig& rig, error_kind kind, duration period) {
  rig.Run(seconds{5});
  rig.platform.fail_with = error{kind, "injected failure"};
  rig.Run(period);
  rig.platform.fail_with.reset();
}

const fault_case kFaultCases[] = {
    {"no fault", [](reader_rig&) {}, "up, ", 0},
    {"a file is added between two pages",
     [](reader_rig& rig) {
       EditBeforePage(rig, 1, [](auto& it) { it.Put("15-x", "x"); });
     },
     "up, ", 1},
    {"a file is renamed between two pages",
     [](reader_rig& rig) {
       EditBeforePage(rig, 1, [](auto& it) {
         auto files = it.Files();
         files.erase("10-a");
         files["40-a"] = "a";
         it.Publish(files);
       });
     },
     "up, ", 1},
    {"a file changes between listing and reading",
     [](reader_rig& rig) {
       EditBeforeFile(rig, "30-c", [](auto& it) { it.Put("30-c", "d"); });
     },
     "up, ", 1},
    {"a file is deleted between listing and reading",
     [](reader_rig& rig) {
       EditBeforeFile(rig, "20-b", [](auto& it) { it.Remove("20-b"); });
     },
     "up, ", 1},
    {"file contents do not match their digests for a minute",
     [](reader_rig& rig) {
       rig.platform.spoils_files = true;
       rig.Run(seconds{60});
       rig.platform.spoils_files = false;
     },
     "malformed, up, ", 6},
    {"the platform is down for a minute",
     [](reader_rig& rig) {
       FailFor(rig, error_kind::kUnavailable, seconds{60});
     },
     "up, down, up, ", 0},
    {"the platform's rate limit is exceeded for a minute",
     [](reader_rig& rig) { FailFor(rig, error_kind::kOverLimit, seconds{60}); },
     "up, over limit, up, ", 0},
    {"answers are malformed for a minute",
     [](reader_rig& rig) {
       FailFor(rig, error_kind::kInvalidInput, seconds{60});
     },
     "up, malformed, up, ", 0},
    {"answers take three seconds",
     [](reader_rig& rig) { rig.platform.latency = seconds{3}; }, "up, ", 0},
    {"answers arrive after the timeout",
     [](reader_rig& rig) {
       rig.platform.latency = seconds{50};
       rig.Run(seconds{120});
       BOOST_TEST(rig.reader.LateAnswers() > 0U);
       rig.platform.latency = milliseconds{2};
     },
     "down, up, ", 0},
    {"calls are never answered for two minutes",
     [](reader_rig& rig) {
       rig.Run(seconds{5});
       rig.platform.swallows_calls = true;
       rig.Run(seconds{120});
       rig.platform.swallows_calls = false;
     },
     "up, down, up, ", 0},
    {"every call is answered twice",
     [](reader_rig& rig) { rig.platform.answers_twice = true; }, "up, ", 0},
    {"the platform returns to an older revision for a while",
     [](reader_rig& rig) {
       for (const char* content : {"1", "2", "3"}) {
         rig.platform.Put("20-b", content);
       }
       rig.Run(seconds{5});
       BOOST_TEST(rig.newest == 4U);
       rig.platform.GoBackTo(2);
       rig.Run(seconds{90});
       BOOST_TEST(rig.reader.Counters().lower_revisions > 0U);
       rig.platform.GoBackTo(4);
     },
     "up, gone back, up, ", 0},
    {"the node has a newer revision in force than the platform answers",
     [](reader_rig& rig) {
       rig.platform.Put("20-b", "newer");
       rig.platform.GoBackTo(1);
       rig.reader.LearnRevision(2);
       rig.Run(seconds{40});
       BOOST_TEST(rig.newest == 0U);
       rig.platform.GoBackTo(2);
     },
     "stale, up, ", 0},
    {"the node stops being a reader and becomes one again",
     [](reader_rig& rig) {
       rig.Run(seconds{5});
       rig.reader.SetReading(false);
       const auto calls = rig.platform.calls;
       rig.Run(seconds{100});
       BOOST_TEST(rig.platform.calls == calls);
       rig.reader.SetReading(true);
     },
     "up, ", 0},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(folder_reader_suite)

BOOST_AUTO_TEST_CASE(EveryFaultEndsInTheWholeNewestFolder) {
  for (const auto& fault : kFaultCases) {
    BOOST_TEST_CONTEXT(fault.name) {
      reader_rig rig;
      fault.provoke(rig);
      rig.Run(seconds{100});
      BOOST_TEST(rig.newest == rig.platform.Revision());
      rig.platform.Put("50-last", "last");
      rig.Run(seconds{60});
      BOOST_TEST(rig.newest == rig.platform.Revision());
      BOOST_TEST((rig.snapshot == rig.platform.Files()));
      BOOST_TEST(rig.confirmed == rig.newest);
      BOOST_TEST(rig.states == fault.states);
      BOOST_TEST(rig.reader.Counters().torn_reads >= fault.least_torn_reads);
    }
  }
}

BOOST_AUTO_TEST_CASE(OnlyChangedFilesAreRead) {
  reader_rig rig;
  rig.Run(seconds{2});
  const auto read = rig.reader.Counters().files_read;
  BOOST_TEST(read == 3U);
  rig.platform.Put("20-b", "changed");
  rig.Run(seconds{2});
  BOOST_TEST(rig.newest == 2U);
  BOOST_TEST(rig.reader.Counters().files_read == read + 1);
}

BOOST_AUTO_TEST_CASE(FilesHeldFromPeersAreNotRead) {
  reader_rig rig;
  std::vector<config_file> held;
  for (const auto& [name, content] : rig.platform.Files()) {
    held.push_back({name, std::make_shared<const std::string>(content),
                    DigestOf(content)});
  }
  rig.reader.Hold(held);
  rig.Run(seconds{2});
  BOOST_TEST(rig.newest == 1U);
  BOOST_TEST(rig.reader.Counters().files_read == 0U);
}

BOOST_AUTO_TEST_CASE(FilesThatPeersBringMeanwhileAreNotReadAnyMore) {
  reader_rig rig;
  fake_platform::folder files;
  std::vector<config_file> held;
  for (int i = 0; i < 500; ++i) {
    const std::string text = std::to_string(i);
    files[text] = text;
    held.push_back(
        {text, std::make_shared<const std::string>(text), DigestOf(text)});
  }
  rig.platform.page_size = 1'000;
  rig.platform.Publish(files);
  rig.Run(milliseconds{200});
  BOOST_TEST(rig.newest == 0U);
  rig.reader.Hold(held);
  rig.Run(seconds{2});
  BOOST_TEST(rig.newest == 2U);
  BOOST_TEST(rig.reader.Counters().files_read < 100U);
}

BOOST_AUTO_TEST_CASE(AWatchThatIsNotHeldBackIsNotRepeatedAtOnce) {
  reader_rig rig;
  rig.Run(seconds{2});
  const auto calls = rig.platform.calls;
  rig.platform.latency = milliseconds{0};
  // The platform answers each watch immediately with the known revision.
  rig.each_step = [&rig] { rig.platform.EndWatches(); };
  rig.Run(seconds{30});
  BOOST_TEST(rig.platform.calls - calls <= 32U);
}

BOOST_AUTO_TEST_CASE(AnswersAfterTheReadersEndAreDropped) {
  manual_clock clock;
  random_source random(1);
  fake_platform platform(clock);
  platform.Publish({{"a", "a"}});
  read_budget budget({"fsd-1", 2'000, 1}, clock.Now(), random);
  auto reader = std::make_unique<folder_reader>(platform, budget, clock, random,
                                                folder_reader::settings{},
                                                folder_reader::callbacks{});
  reader->SetReading(true);
  clock.Advance(seconds{1});
  reader->Tick(clock.Now());
  BOOST_TEST(platform.calls == 1U);
  reader.reset();
  clock.Advance(seconds{1});
  platform.Run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
