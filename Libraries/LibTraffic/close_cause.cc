#include "LibTraffic/close_cause.h"

namespace wagtailmount {

std::string_view NameOf(close_cause cause) {
  switch (cause) {
    case close_cause::kIdle:
      return "idle";
    case close_cause::kStop:
      return "stop";
    case close_cause::kAnswered:
      return "answered";
    case close_cause::kFailed:
      return "failed";
  }
  return "unknown";
}

std::string_view NameOf(cut_cause cause) {
  switch (cause) {
    case cut_cause::kCallerLeft:
      return "caller-left";
    case cut_cause::kRequestLost:
      return "request-lost";
    case cut_cause::kAnswerLost:
      return "answer-lost";
    case cut_cause::kAnswerLate:
      return "answer-late";
    case cut_cause::kBehind:
      return "behind";
  }
  return "unknown";
}

}  // namespace wagtailmount
