#include "LibTraffic/decision_log.h"

#include <utility>

namespace wagtailmount::detail {

decision_log::decision_log() { pending_.set_capacity(kCapacity); }

void decision_log::Add(const traffic_decision& decision) {
  while (!pending_.try_push(decision)) {
    traffic_decision oldest;
    pending_.try_pop(oldest);
  }
}

std::vector<traffic_decision> decision_log::Read() const {
  while (true) {
    traffic_decision arrived;
    if (!pending_.try_pop(arrived)) {
      break;
    }
    recent_.push_back(std::move(arrived));
  }
  while (recent_.size() > kCapacity) {
    recent_.pop_front();
  }
  return {recent_.begin(), recent_.end()};
}

}  // namespace wagtailmount::detail
