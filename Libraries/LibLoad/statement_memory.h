#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/clock.h"
#include "LibLoad/backend_statement.h"

namespace wagtailmount {

/// Remembers what backend servers stated about themselves, by the id of each
/// start of one; an empty id stands for a backend server that has none.
class statement_memory {
 public:
  /// What one start of a backend server has stated.
  struct record {
    std::optional<double> rate_limit;  ///< Requests a second.
    time_point limit_stated_at{};      ///< When it was last named.
    bool is_rate_limit_malformed = false;
    time_point leaving_since{};  ///< Zero if it is not leaving.
    time_point recorded_at{};    ///< When it last answered.
  };

  /// What a statement changed.
  struct change {
    bool is_rate_limit_changed = false;
    bool has_become_malformed = false;  ///< Its rate limit.
    bool has_begun_to_leave = false;
  };

  /// States that the start with this `incarnation` is the one behind `id` from
  /// `now` on. What an earlier start under the same id stated is forgotten, and
  /// answers to requests that were sent before `now` do not count any more.
  void SetStart(time_point now, std::string_view id, std::uint64_t incarnation);

  /// Records the statement in an answer read at `now` to a request that was
  /// sent at `asked_at`. Answers cross each other: one that names no limit
  /// lifts it only if it was asked for after the limit was last named.
  change Record(time_point now, time_point asked_at, std::string_view id,
                const backend_statement& statement);

  /// What the backend server with this id has stated; null if nothing.
  const record* Find(std::string_view id) const;

  bool IsEmpty() const { return records_.empty(); }

 private:
  void Forget(time_point now);

  struct start {
    std::uint64_t incarnation = 0;
    time_point since{};  ///< Zero for the first start known under its id.
    time_point seen_at{};
  };

  std::map<std::string, record, std::less<>> records_;
  std::map<std::string, start, std::less<>> starts_;  ///< By id.
  time_point next_cleanup_{};
};

}  // namespace wagtailmount
