#include "LibSpread/join_gate.h"

#include <algorithm>

namespace wagtailmount {

join_gate::join_gate(const join_settings& settings, time_point now)
    : settings_(settings), deadline_(now + settings.join_wait) {}

void join_gate::NoteHello(const hello_message& hello) {
  if (is_serving_) {
    late_version_reports_ += hello.receiver_last_held > served_version_ ? 1 : 0;
    return;
  }
  peers_heard_.insert(hello.sender.vm);
  least_version_ = std::max(least_version_, hello.receiver_last_held);
  newest_revision_ =
      std::max({newest_revision_, hello.newest_seen, hello.held.revision,
                hello.receiver_last_held.revision});
}

void join_gate::NoteRefused(std::uint64_t revision) {
  greatest_refused_ = std::max(greatest_refused_, revision);
}

void join_gate::AfterPause(time_point now) {
  deadline_ = now + settings_.join_wait;
}

join_decision join_gate::Decide(time_point now, const version_id& held) {
  if (is_serving_) {
    served_version_ = std::max(served_version_, held);
    return join_decision::kServe;
  }
  const bool is_wait_over = now >= deadline_;
  if (held.revision == 0 || held < least_version_) {
    return is_wait_over ? join_decision::kServeNothing : join_decision::kWait;
  }
  const bool has_enough_hellos =
      expected_peers_ > 0 &&
      peers_heard_.size() >= std::min(settings_.enough_peers, expected_peers_);
  const bool is_newest = held.revision >= newest_revision_ ||
                         newest_revision_ <= greatest_refused_;
  if (!is_wait_over && !(has_enough_hellos && is_newest)) {
    return join_decision::kWait;
  }
  is_serving_ = true;
  served_version_ = held;
  return join_decision::kServe;
}

}  // namespace wagtailmount
