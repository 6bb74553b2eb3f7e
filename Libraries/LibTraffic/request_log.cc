#include "LibTraffic/request_log.h"

#include <chrono>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

void LogRequestEnd(structured_log& log, const request_end& ended) {
  const auto count = [](duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  };
  const entry_result& result = ended.result;
  log_line line{"request-ended"};
  line.Text("id", ended.id)
      .Text("route", ended.chosen_route.name)
      .Text("service", ended.target.name)
      .Text("upstream", result.upstream)
      .Text("chosen_as", NameOf(result.why))
      .Number("attempts", result.attempts)
      .Text("verdict", NameOf(result.proved))
      .Text("cause", NameOf(result.cause))
      .Number("status", result.answer ? static_cast<std::int64_t>(
                                            result.answer->message.result_int())
                                      : StatusOf(result.cause, result.proved))
      .Number("taken_ms", count(ended.taken))
      .Number("objective_left_ms", count(ended.objective_left))
      .Number("version", static_cast<std::int64_t>(ended.version));
  log.Add(std::move(line));
}

}  // namespace wagtailmount::detail
