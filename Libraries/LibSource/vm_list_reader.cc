#include "LibSource/vm_list_reader.h"

#include <iterator>
#include <utility>

namespace wagtailmount {

vm_list_reader::vm_list_reader(platform_client& client, read_budget& budget,
                               const runtime_clock& clock,
                               random_source& random, const settings& chosen,
                               list_handler on_list)
    : client_(client),
      budget_(budget),
      clock_(clock),
      random_(random),
      settings_(chosen),
      on_list_(std::move(on_list)),
      backoff_(chosen.fleet_size) {}

void vm_list_reader::SetReading(bool should_read) {
  if (should_read == is_reading_) {
    return;
  }
  is_reading_ = should_read;
  backoff_.Reset();
  RestartAfter(duration::zero());
}

void vm_list_reader::Tick(time_point now) {
  if (calls_.IsOverdue(now)) {
    ++counters_.failures;
    RestartAfter(backoff_.NextWait(random_));
  }
  if (!is_reading_ || now < resume_at_ || calls_.InFlight() > 0 ||
      !budget_.TryTake(now)) {
    return;
  }
  ++counters_.calls;
  client_.ListVms(next_, calls_.Track<vm_page>(
                             now + settings_.call_timeout,
                             [this](auto page) { OnPage(std::move(page)); }));
}

void vm_list_reader::OnPage(result<vm_page> page) {
  if (!page) {
    ++counters_.failures;
    RestartAfter(backoff_.NextWait(random_));
    return;
  }
  if (revision_ && *revision_ != page->revision) {
    ++counters_.torn_reads;
    RestartAfter(backoff_.NextWait(random_));
    return;
  }
  const bool is_next_out_of_order = !page->next.empty() && page->next <= next_;
  const bool is_too_long =
      records_.size() + page->records.size() > settings_.maximum_vms;
  if (is_next_out_of_order || is_too_long) {
    ++counters_.failures;
    RestartAfter(backoff_.NextWait(random_));
    return;
  }
  AddPage(std::move(*page));
}

void vm_list_reader::AddPage(vm_page page) {
  const bool is_unchanged = !revision_ && page.revision == delivered_revision_;
  if (is_unchanged) {
    records_ = std::move(delivered_);
    revision_ = page.revision;
    Deliver();
    return;
  }
  revision_ = page.revision;
  records_.insert(records_.end(), std::make_move_iterator(page.records.begin()),
                  std::make_move_iterator(page.records.end()));
  next_ = std::move(page.next);
  if (next_.empty()) {
    Deliver();
  }
}

void vm_list_reader::Deliver() {
  ++counters_.lists;
  delivered_revision_ = revision_;
  delivered_ = std::move(records_);
  backoff_.Reset();
  // Jitter spreads out the polls of readers that started together.
  const auto spread = settings_.period * (0.5 + random_.Fraction());
  RestartAfter(std::chrono::duration_cast<duration>(spread));
  if (on_list_) {
    on_list_(*delivered_revision_, delivered_);
  }
}

void vm_list_reader::RestartAfter(duration wait) {
  calls_.DropAll();
  revision_.reset();
  next_.clear();
  records_.clear();
  resume_at_ = clock_.Now() + wait;
}

}  // namespace wagtailmount
