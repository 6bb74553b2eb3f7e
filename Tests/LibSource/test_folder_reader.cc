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
struct reader_fixture {
  manual_clock clock;
  random_source random{7};
  fake_platform platform{clock};
  read_budget budget{{"fsd-1", 2'000, 1}, clock.Now(), random};
  std::string states;
  std::uint64_t newest = 0;
  std::uint64_t confirmed = 0;
  fake_platform::folder snapshot;
  std::function<void()> after_each_step = [] {};
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
       [this](const source_state_change& change) {
         states += std::string(NameOf(change.state)) + ", ";
       }}};

  reader_fixture() {
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
      after_each_step();
    }
  }
};

struct fault_case {
  const char* name;
  std::function<void(reader_fixture&)> inject;
  const char* states;  ///< The reported state changes, in order.
  std::uint64_t min_torn_reads;
};

/// Runs `edit` once, just before `page` of a listing is answered.
void EditBeforePage(reader_fixture& fixture, std::size_t page,
                    std::function<void(fake_platform&)> edit) {
  fixture.platform.before_page = [&fixture, page, edit](std::size_t asked) {
    if (asked == page) {
      fixture.platform.before_page = [](std::size_t) {};
      edit(fixture.platform);
    }
  };
}

/// Runs `edit` once, just before the file `name` is answered.
void EditBeforeFile(reader_fixture& fixture, const std::string& name,
                    std::function<void(fake_platform&)> edit) {
  fixture.platform.before_file = [&fixture, name,
                                  edit](const std::string& asked) {
    if (asked == name) {
      fixture.platform.before_file = [](const std::string&) {};
      edit(fixture.platform);
    }
  };
}

void FailFor(reader_fixture& fixture, error_kind kind, duration period) {
  fixture.Run(seconds{5});
  fixture.platform.fail_with = error{kind, "injected failure"};
  fixture.Run(period);
  fixture.platform.fail_with.reset();
}

const fault_case kFaultCases[] = {
    {"no fault", [](reader_fixture&) {}, "up, ", 0},
    {"a file is added between two pages",
     [](reader_fixture& fixture) {
       EditBeforePage(fixture, 1, [](auto& it) { it.Put("15-x", "x"); });
     },
     "up, ", 1},
    {"a file is renamed between two pages",
     [](reader_fixture& fixture) {
       EditBeforePage(fixture, 1, [](auto& it) {
         auto files = it.Files();
         files.erase("10-a");
         files["40-a"] = "a";
         it.Publish(files);
       });
     },
     "up, ", 1},
    {"a file changes between listing and reading",
     [](reader_fixture& fixture) {
       EditBeforeFile(fixture, "30-c", [](auto& it) { it.Put("30-c", "d"); });
     },
     "up, ", 1},
    {"a file is deleted between listing and reading",
     [](reader_fixture& fixture) {
       EditBeforeFile(fixture, "20-b", [](auto& it) { it.Remove("20-b"); });
     },
     "up, ", 1},
    {"file contents do not match their digests for a minute",
     [](reader_fixture& fixture) {
       fixture.platform.corrupts_files = true;
       fixture.Run(seconds{60});
       fixture.platform.corrupts_files = false;
     },
     "malformed, up, ", 6},
    {"the platform is down for a minute",
     [](reader_fixture& fixture) {
       FailFor(fixture, error_kind::kUnavailable, seconds{60});
     },
     "up, down, up, ", 0},
    {"the platform's rate limit is exceeded for a minute",
     [](reader_fixture& fixture) {
       FailFor(fixture, error_kind::kOverLimit, seconds{60});
     },
     "up, over limit, up, ", 0},
    {"answers are malformed for a minute",
     [](reader_fixture& fixture) {
       FailFor(fixture, error_kind::kInvalidInput, seconds{60});
     },
     "up, malformed, up, ", 0},
    {"answers take three seconds",
     [](reader_fixture& fixture) { fixture.platform.latency = seconds{3}; },
     "up, ", 0},
    {"answers arrive after the timeout",
     [](reader_fixture& fixture) {
       fixture.platform.latency = seconds{50};
       fixture.Run(seconds{120});
       BOOST_TEST(fixture.reader.LateAnswers() > 0U);
       fixture.platform.latency = milliseconds{2};
     },
     "down, up, ", 0},
    {"calls are never answered for two minutes",
     [](reader_fixture& fixture) {
       fixture.Run(seconds{5});
       fixture.platform.never_answers = true;
       fixture.Run(seconds{120});
       fixture.platform.never_answers = false;
     },
     "up, down, up, ", 0},
    {"every call is answered twice",
     [](reader_fixture& fixture) { fixture.platform.answers_twice = true; },
     "up, ", 0},
    {"the platform returns to an older revision for a while",
     [](reader_fixture& fixture) {
       for (const char* content : {"1", "2", "3"}) {
         fixture.platform.Put("20-b", content);
       }
       fixture.Run(seconds{5});
       BOOST_TEST(fixture.newest == 4U);
       fixture.platform.RestoreRevision(2);
       fixture.Run(seconds{90});
       BOOST_TEST(fixture.reader.Counters().lower_revisions > 0U);
       fixture.platform.RestoreRevision(4);
     },
     "up, gone back, up, ", 0},
    {"the node has a newer revision in force than the platform answers",
     [](reader_fixture& fixture) {
       fixture.platform.Put("20-b", "newer");
       fixture.platform.RestoreRevision(1);
       fixture.reader.LearnRevision(2);
       fixture.Run(seconds{40});
       BOOST_TEST(fixture.newest == 0U);
       fixture.platform.RestoreRevision(2);
     },
     "stale, up, ", 0},
    {"the node stops being a reader and becomes one again",
     [](reader_fixture& fixture) {
       fixture.Run(seconds{5});
       fixture.reader.SetReading(false);
       const auto calls = fixture.platform.calls;
       fixture.Run(seconds{100});
       BOOST_TEST(fixture.platform.calls == calls);
       fixture.reader.SetReading(true);
     },
     "up, ", 0},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(folder_reader_suite)

BOOST_AUTO_TEST_CASE(WholeNewestFolderIsDeliveredAfterEveryFault) {
  for (const auto& fault : kFaultCases) {
    BOOST_TEST_CONTEXT(fault.name) {
      reader_fixture fixture;
      fault.inject(fixture);
      fixture.Run(seconds{100});
      BOOST_TEST(fixture.newest == fixture.platform.Revision());
      fixture.platform.Put("50-last", "last");
      fixture.Run(seconds{60});
      BOOST_TEST(fixture.newest == fixture.platform.Revision());
      BOOST_TEST((fixture.snapshot == fixture.platform.Files()));
      BOOST_TEST(fixture.confirmed == fixture.newest);
      BOOST_TEST(fixture.states == fault.states);
      BOOST_TEST(fixture.reader.Counters().torn_reads >= fault.min_torn_reads);
    }
  }
}

BOOST_AUTO_TEST_CASE(OnlyChangedFilesAreRead) {
  reader_fixture fixture;
  fixture.Run(seconds{2});
  const auto read = fixture.reader.Counters().files_read;
  BOOST_TEST(read == 3U);
  fixture.platform.Put("20-b", "changed");
  fixture.Run(seconds{2});
  BOOST_TEST(fixture.newest == 2U);
  BOOST_TEST(fixture.reader.Counters().files_read == read + 1);
}

BOOST_AUTO_TEST_CASE(FilesHeldFromPeersAreNotRead) {
  reader_fixture fixture;
  std::vector<config_file> held;
  for (const auto& [name, content] : fixture.platform.Files()) {
    held.push_back({name, std::make_shared<const std::string>(content),
                    DigestOf(content)});
  }
  fixture.reader.SetHeldFiles(held);
  fixture.Run(seconds{2});
  BOOST_TEST(fixture.newest == 1U);
  BOOST_TEST(fixture.reader.Counters().files_read == 0U);
}

BOOST_AUTO_TEST_CASE(FilesReceivedFromPeersDuringAReadAreSkipped) {
  reader_fixture fixture;
  fake_platform::folder files;
  std::vector<config_file> held;
  for (int i = 0; i < 500; ++i) {
    const std::string text = std::to_string(i);
    files[text] = text;
    held.push_back(
        {text, std::make_shared<const std::string>(text), DigestOf(text)});
  }
  fixture.platform.page_size = 1'000;
  fixture.platform.Publish(files);
  fixture.Run(milliseconds{200});
  BOOST_TEST(fixture.newest == 0U);
  fixture.reader.SetHeldFiles(held);
  fixture.Run(seconds{2});
  BOOST_TEST(fixture.newest == 2U);
  BOOST_TEST(fixture.reader.Counters().files_read < 100U);
}

BOOST_AUTO_TEST_CASE(WatchAnsweredImmediatelyIsNotRepeatedImmediately) {
  reader_fixture fixture;
  fixture.Run(seconds{2});
  const auto calls = fixture.platform.calls;
  fixture.platform.latency = milliseconds{0};
  // The platform answers each watch immediately with the known revision.
  fixture.after_each_step = [&fixture] { fixture.platform.TimeOutWatches(); };
  fixture.Run(seconds{30});
  BOOST_TEST(fixture.platform.calls - calls <= 32U);
}

BOOST_AUTO_TEST_CASE(AnswersAfterDestructionOfTheReaderAreDropped) {
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
