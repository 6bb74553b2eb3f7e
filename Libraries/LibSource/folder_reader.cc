#include "LibSource/folder_reader.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace wagtailmount {

namespace {

/// Consecutive torn reads that are retried without delay. Operators' edits
/// cause one or two in a row, a faulty platform any number.
constexpr unsigned kImmediateRetries = 2;

/// Consecutive torn reads after which the platform is reported as malformed.
constexpr unsigned kTornReadsUntilMalformed = 6;

/// Delay before the next watch after one that returned sooner than this without
/// a change. Limits the call rate if the platform answers watches at once
/// instead of holding them open.
constexpr duration kMinimumWatchInterval = std::chrono::seconds{1};

source_state StateFor(error_kind kind) {
  switch (kind) {
    case error_kind::kOverLimit:
      return source_state::kOverLimit;
    case error_kind::kInvalidInput:
    case error_kind::kConflict:
      return source_state::kMalformed;
    default:
      return source_state::kDown;
  }
}

}  // namespace

std::string_view NameOf(source_state state) {
  switch (state) {
    case source_state::kUnknown:
      return "unknown";
    case source_state::kUp:
      return "up";
    case source_state::kDown:
      return "down";
    case source_state::kOverLimit:
      return "over limit";
    case source_state::kMalformed:
      return "malformed";
    case source_state::kStale:
      return "stale";
    case source_state::kRolledBack:
      return "gone back";
  }
  return "unknown";
}

folder_reader::folder_reader(platform_client& client, read_budget& budget,
                             const runtime_clock& clock, random_source& random,
                             const settings& chosen, callbacks handlers)
    : client_(client),
      budget_(budget),
      clock_(clock),
      random_(random),
      settings_(chosen),
      callbacks_(std::move(handlers)),
      backoff_(chosen.fleet_size),
      listing_(chosen.limits) {}

void folder_reader::SetReading(bool should_read) {
  if (should_read == is_reading_) {
    return;
  }
  is_reading_ = should_read;
  calls_.DropAll();
  step_ = step::kIdle;
  if (should_read) {
    backoff_.Reset();
    resume_at_ = clock_.Now();
    RestartListing();
  }
}

void folder_reader::Tick(time_point now) {
  if (calls_.IsOverdue(now)) {
    ++counters_.timeouts;
    RestartAfterFailure(
        {error_kind::kTimeout, "the platform did not answer in time"});
  }
  Advance();
}

void folder_reader::SetHeldFiles(std::span<const config_file> files) {
  held_contents_.clear();
  for (const auto& file : files) {
    held_contents_.emplace(file.content_digest, file.content);
  }
  std::erase_if(unread_, [this](std::size_t index) {
    return held_contents_.contains(listing_.Entries()[index].content_digest);
  });
}

void folder_reader::LearnRevision(std::uint64_t revision) {
  highest_known_ = std::max(highest_known_, revision);
}

void folder_reader::SetFleetSize(std::size_t fleet_size) {
  backoff_.SetFleetSize(fleet_size);
}

// A client may answer before its call returns. The nested Advance() then
// returns at once, and the outer loop continues from the new state.
void folder_reader::Advance() {
  if (is_advancing_) {
    return;
  }
  is_advancing_ = true;
  while (TakeStep()) {
  }
  is_advancing_ = false;
}

bool folder_reader::TakeStep() {
  const time_point now = clock_.Now();
  if (!is_reading_ || now < resume_at_) {
    return false;
  }
  const bool is_reading_files = step_ == step::kReadingFiles;
  if (is_reading_files && unread_.empty() && calls_.InFlight() == 0) {
    DeliverSnapshot();
    return true;
  }
  const bool has_room =
      is_reading_files
          ? calls_.InFlight() < settings_.parallel_reads && !unread_.empty()
          : calls_.InFlight() == 0;
  if (!has_room || !budget_.TryTake(now)) {
    return false;
  }
  ++counters_.calls;
  switch (step_) {
    case step::kListing:
      SendList();
      return true;
    case step::kReadingFiles:
      SendRead();
      return true;
    case step::kWatching:
      SendWatch();
      return true;
    case step::kIdle:
      break;
  }
  return false;
}

void folder_reader::SendList() {
  client_.List(listing_.Next(),
               calls_.Track<listing_page>(clock_.Now() + settings_.call_timeout,
                                          [this](auto page) {
                                            OnPage(std::move(page));
                                            Advance();
                                          }));
}

void folder_reader::SendRead() {
  const manifest_entry entry = listing_.Entries()[unread_.back()];
  unread_.pop_back();
  client_.Read(entry.name, entry.content_digest,
               calls_.Track<std::string>(clock_.Now() + settings_.call_timeout,
                                         [this, entry](auto content) {
                                           OnFile(entry, std::move(content));
                                           Advance();
                                         }));
}

void folder_reader::SendWatch() {
  watch_began_at_ = clock_.Now();
  client_.Watch(
      platform_revision_,
      calls_.Track<std::uint64_t>(watch_began_at_ + settings_.watch_timeout,
                                  [this](auto revision) {
                                    OnWatched(std::move(revision));
                                    Advance();
                                  }));
}

void folder_reader::RestartListing() {
  listing_ = folder_listing(settings_.limits);
  unread_.clear();
  step_ = step::kListing;
}

void folder_reader::OnPage(result<listing_page> page) {
  if (!page) {
    RestartAfterFailure(std::move(page).error());
    return;
  }
  const auto added = listing_.Add(std::move(*page));
  if (!added && added.error().kind == error_kind::kConflict) {
    RestartAfterTornRead(added.error());
    return;
  }
  if (!added) {
    RestartAfterFailure(added.error());
    return;
  }
  if (RejectIfLowerRevision(listing_.Revision())) {
    return;
  }
  if (listing_.IsComplete()) {
    OnListingComplete();
  }
}

const std::shared_ptr<const std::string>* folder_reader::FindContent(
    const digest& content_digest) const {
  for (const auto* contents : {&fetched_contents_, &held_contents_}) {
    const auto found = contents->find(content_digest);
    if (found != contents->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

void folder_reader::OnListingComplete() {
  const auto& entries = listing_.Entries();
  if (has_delivered_ && delivered_revision_ == listing_.Revision() &&
      delivered_entries_ == entries) {
    Confirm(delivered_revision_);
    return;
  }
  std::unordered_set<digest> listed;
  unread_.clear();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const bool is_first = listed.insert(entries[i].content_digest).second;
    if (FindContent(entries[i].content_digest) != nullptr) {
      ++counters_.files_reused;
    } else if (is_first) {
      unread_.push_back(i);
    }
  }
  std::reverse(unread_.begin(), unread_.end());
  std::erase_if(fetched_contents_,
                [&](const auto& file) { return !listed.contains(file.first); });
  step_ = step::kReadingFiles;
}

void folder_reader::OnFile(const manifest_entry& entry,
                           result<std::string> content) {
  if (!content && content.error().kind == error_kind::kConflict) {
    RestartAfterTornRead(std::move(content).error());
    return;
  }
  if (!content) {
    RestartAfterFailure(std::move(content).error());
    return;
  }
  ++counters_.files_read;
  if (content->size() != entry.size_bytes ||
      DigestOf(*content) != entry.content_digest) {
    RestartAfterTornRead(
        {error_kind::kConflict,
         "\"" + entry.name + "\" does not match its listed size and digest"});
    return;
  }
  fetched_contents_[entry.content_digest] =
      std::make_shared<const std::string>(std::move(*content));
}

void folder_reader::DeliverSnapshot() {
  std::vector<config_file> files;
  files.reserve(listing_.Entries().size());
  contents_by_digest used;
  for (const auto& entry : listing_.Entries()) {
    const auto* content = FindContent(entry.content_digest);
    files.push_back({entry.name, *content, entry.content_digest});
    used.emplace(entry.content_digest, *content);
  }
  fetched_contents_ = std::move(used);
  has_delivered_ = true;
  delivered_revision_ = listing_.Revision();
  delivered_entries_ = listing_.Entries();
  highest_answered_ = delivered_revision_;
  LearnRevision(delivered_revision_);
  consecutive_torn_reads_ = 0;
  backoff_.Reset();
  step_ = step::kWatching;
  ++counters_.snapshots;
  ChangeState(source_state::kUp, {});
  if (callbacks_.on_snapshot) {
    callbacks_.on_snapshot(delivered_revision_, std::move(files));
  }
}

void folder_reader::Confirm(std::uint64_t revision) {
  consecutive_torn_reads_ = 0;
  backoff_.Reset();
  step_ = step::kWatching;
  ++counters_.confirmations;
  ChangeState(source_state::kUp, {});
  if (callbacks_.on_confirmed) {
    callbacks_.on_confirmed(revision);
  }
}

void folder_reader::OnWatched(result<std::uint64_t> revision) {
  if (!revision) {
    RestartAfterFailure(std::move(revision).error());
    return;
  }
  if (RejectIfLowerRevision(*revision)) {
    return;
  }
  if (!has_delivered_ || *revision != delivered_revision_) {
    RestartListing();
    return;
  }
  const time_point now = clock_.Now();
  if (now - watch_began_at_ < kMinimumWatchInterval) {
    resume_at_ = now + kMinimumWatchInterval;
  }
  Confirm(*revision);
}

bool folder_reader::RejectIfLowerRevision(std::uint64_t revision) {
  platform_revision_ = revision;
  highest_answered_ = std::max(highest_answered_, revision);
  if (revision >= std::max(highest_answered_, highest_known_)) {
    return false;
  }
  ++counters_.lower_revisions;
  const bool is_rolled_back = revision < highest_answered_;
  const std::uint64_t known = std::max(highest_answered_, highest_known_);
  calls_.DropAll();
  step_ = step::kWatching;
  resume_at_ = clock_.Now() + backoff_.NextWait(random_);
  ChangeState(
      is_rolled_back ? source_state::kRolledBack : source_state::kStale,
      {error_kind::kConflict,
       "the platform answered revision " + std::to_string(revision) +
           " although it is known to have reached " + std::to_string(known)});
  return true;
}

void folder_reader::RestartAfterTornRead(error reason) {
  ++counters_.torn_reads;
  ++consecutive_torn_reads_;
  calls_.DropAll();
  RestartListing();
  if (consecutive_torn_reads_ > kImmediateRetries) {
    resume_at_ = clock_.Now() + backoff_.NextWait(random_);
  }
  if (consecutive_torn_reads_ >= kTornReadsUntilMalformed) {
    ChangeState(source_state::kMalformed, std::move(reason));
  }
}

void folder_reader::RestartAfterFailure(error reason) {
  ++counters_.failures;
  calls_.DropAll();
  RestartListing();
  resume_at_ = clock_.Now() + backoff_.NextWait(random_);
  const source_state next = StateFor(reason.kind);
  ChangeState(next, std::move(reason));
}

void folder_reader::ChangeState(source_state next, error reason) {
  if (next == state_) {
    return;
  }
  state_ = next;
  if (callbacks_.on_state_change) {
    callbacks_.on_state_change({next, std::move(reason)});
  }
}

}  // namespace wagtailmount
