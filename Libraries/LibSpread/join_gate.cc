#include "LibSpread/join_gate.h"

#include <algorithm>

namespace wagtailmount {

join_gate::join_gate(const join_settings& chosen, time_point now)
    : settings_(chosen), deadline_(now + chosen.join_wait) {}

void join_gate::NoteHello(const hello_message& hello) {
  if (is_serving_) {
    told_too_late_ += hello.receiver_last_held > served_ ? 1 : 0;
    return;
  }
  heard_.insert(hello.sender.vm);
  least_ = std::max(least_, hello.receiver_last_held);
  newest_ = std::max({newest_, hello.newest_seen, hello.held.revision,
                      hello.receiver_last_held.revision});
}

void join_gate::NoteRefused(std::uint64_t revision) {
  refused_ = std::max(refused_, revision);
}

void join_gate::AfterPause(time_point now) {
  deadline_ = now + settings_.join_wait;
}

join_decision join_gate::Decide(time_point now, const version_id& held) {
  if (is_serving_) {
    served_ = std::max(served_, held);
    return join_decision::kServe;
  }
  const bool is_over = now >= deadline_;
  if (held.revision == 0 || held < least_) {
    return is_over ? join_decision::kServeNothing : join_decision::kWait;
  }
  const bool has_heard_enough =
      expected_peers_ > 0 &&
      heard_.size() >= std::min(settings_.enough_peers, expected_peers_);
  const bool is_newest = held.revision >= newest_ || newest_ <= refused_;
  if (!is_over && !(has_heard_enough && is_newest)) {
    return join_decision::kWait;
  }
  is_serving_ = true;
  served_ = held;
  return join_decision::kServe;
}

}  // namespace wagtailmount
