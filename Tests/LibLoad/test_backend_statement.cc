#include <boost/test/unit_test.hpp>
#include <optional>

#include "LibLoad/backend_statement.h"
#include "LibLoad/statement_memory.h"

using std::chrono::milliseconds;
using std::chrono::minutes;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

struct memory_fixture {
  statement_memory::change Record(const backend_statement& statement,
                                  milliseconds asked_ago = milliseconds{0},
                                  const char* id = "first") {
    clock.Advance(milliseconds{10});
    return memory.Record(clock.Now(), clock.Now() - asked_ago, id, statement);
  }

  std::optional<double> RateLimit(const char* id = "first") const {
    const auto* const known = memory.Find(id);
    return known == nullptr ? std::nullopt : known->rate_limit;
  }

  manual_clock clock;
  statement_memory memory;
  const backend_statement limited{.rate_limit = 22.8, .is_complete = true};
  const backend_statement unlimited{.rate_limit = std::nullopt,
                                    .is_complete = true};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(backend_statement_suite, memory_fixture)

BOOST_AUTO_TEST_CASE(ARateLimitIsADecimalNumber) {
  struct limit_case {
    const char* text;
    std::optional<double> expected;
  };
  const limit_case table[] = {
      {"22.8", 22.8},        {"0", 0.0},
      {"0.5", 0.5},          {"150", 150.0},
      {"", std::nullopt},    {"-1", std::nullopt},
      {"nan", std::nullopt}, {"inf", std::nullopt},
      {"1e3", std::nullopt}, {"0x10", std::nullopt},
      {"5 5", std::nullopt}, {" 5", std::nullopt},
      {"5/s", std::nullopt}, {"2000000000", std::nullopt},
  };
  for (const limit_case& each : table) {
    BOOST_TEST_CONTEXT(each.text) {
      BOOST_TEST((ParseRateLimit(each.text) == each.expected));
      if (each.expected) {
        BOOST_TEST(
            (ParseRateLimit(FormatRateLimit(*each.expected)) == each.expected));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ALimitHoldsUntilAnAnswerAskedForLaterNamesNone) {
  BOOST_TEST(Record(limited).is_rate_limit_changed);
  BOOST_TEST(!Record(limited).is_rate_limit_changed);
  // Asked for before the limit was named, and delivered after it.
  BOOST_TEST(!Record(unlimited, milliseconds{50}).is_rate_limit_changed);
  BOOST_TEST((RateLimit() == 22.8));
  BOOST_TEST(Record(unlimited).is_rate_limit_changed);
  BOOST_TEST(!RateLimit());
}

BOOST_AUTO_TEST_CASE(WhatIsNotProvedOrMalformedLiftsNoLimit) {
  Record(limited);
  Record({});
  BOOST_TEST((RateLimit() == 22.8));
  const backend_statement malformed{.rate_limit = std::nullopt,
                                    .is_rate_limit_malformed = true,
                                    .is_complete = true};
  BOOST_TEST(Record(malformed).has_become_malformed);
  BOOST_TEST(!Record(malformed).has_become_malformed);
  BOOST_TEST((RateLimit() == 22.8));
}

BOOST_AUTO_TEST_CASE(EachStartOfABackendServerHasItsOwnRecord) {
  const backend_statement leaving{
      .rate_limit = std::nullopt, .is_leaving = true, .is_complete = true};
  BOOST_TEST(Record(leaving).has_begun_to_leave);
  BOOST_TEST(!Record(leaving).has_begun_to_leave);
  BOOST_TEST((memory.Find("first")->leaving_since != time_point{}));
  BOOST_TEST(memory.Find("second") == nullptr);
  Record(limited, milliseconds{0}, "second");
  BOOST_TEST(!RateLimit());
  BOOST_TEST((RateLimit("second") == 22.8));
  // Never taken back.
  Record(unlimited);
  BOOST_TEST((memory.Find("first")->leaving_since != time_point{}));
}

// Without an id, the next start could not be told from the one that leaves.
BOOST_AUTO_TEST_CASE(ABackendServerWithoutAnIdDoesNotLeaveByItsAnswers) {
  BOOST_TEST(!Record({.rate_limit = std::nullopt, .is_leaving = true},
                     milliseconds{0}, "")
                  .has_begun_to_leave);
  BOOST_TEST((memory.Find("")->leaving_since == time_point{}));
}

BOOST_AUTO_TEST_CASE(RecordsAreForgottenLongAfterTheLastAnswer) {
  Record(limited);
  clock.Advance(minutes{9});
  Record(limited, milliseconds{0}, "second");
  BOOST_TEST((RateLimit() == 22.8));
  clock.Advance(minutes{2});
  Record(limited, milliseconds{0}, "second");
  BOOST_TEST(memory.Find("first") == nullptr);
  BOOST_TEST((RateLimit("second") == 22.8));
}

// A backend server that started again under its id has stated nothing yet.
BOOST_AUTO_TEST_CASE(ANewStartUnderAnIdInheritsNoStatement) {
  memory.SetStart(clock.Now(), "first", 1);
  Record(limited);
  Record({.rate_limit = std::nullopt, .is_leaving = true});
  memory.SetStart(clock.Now(), "first", 1);
  BOOST_TEST((RateLimit() == 22.8));
  memory.SetStart(clock.Now(), "first", 2);
  BOOST_TEST(memory.Find("first") == nullptr);
}

// An answer of the earlier start is read after the later one is known.
BOOST_AUTO_TEST_CASE(ALateAnswerOfTheEarlierStartIsNotTakenForTheLaterOne) {
  memory.SetStart(clock.Now(), "first", 1);
  memory.SetStart(clock.Now(), "first", 2);
  Record({.rate_limit = 5.0, .is_leaving = true}, milliseconds{200});
  BOOST_TEST(memory.Find("first") == nullptr);
  Record(limited);
  BOOST_TEST((RateLimit() == 22.8));
}

BOOST_AUTO_TEST_SUITE_END()
