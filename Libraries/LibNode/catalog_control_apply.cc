// The member functions of catalog_control that put changed catalog entries into
// force.

#include <algorithm>
#include <set>
#include <utility>

#include "LibNode/catalog_control.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// How long after an outage of the platform an entry that vanished is still
/// used.
/// The platform may have dropped entries of live backend servers, which
/// register again within 2 s according to the platform; the rest is a margin.
constexpr milliseconds kVanishedEntryGrace{2'500};
}  // namespace

void catalog_control::ApplyChanges(const std::vector<std::string>& keys) {
  bool has_upstreams = false;
  bool has_configuration = false;
  bool has_evacuations = false;
  for (const std::string& key : keys) {
    has_configuration |= key == format_.configuration_key;
    has_upstreams |= key.starts_with(format_.upstream_prefix);
    has_evacuations |= IsEvacuation(key);
  }
  if (has_configuration) {
    ApplyConfiguration();
  }
  if (has_upstreams) {
    ApplyUpstreams();
  }
  // After the upstreams, which tell the failure domains that there are.
  if (has_evacuations) {
    ApplyEvacuations();
  }
  PublishIfChanged();
  SendToPeers(clock_.Now());
}

bool catalog_control::IsEvacuation(std::string_view key) const {
  return !format_.evacuation_prefix.empty() &&
         key.starts_with(format_.evacuation_prefix);
}

void catalog_control::ApplyEvacuations() {
  std::set<std::string> asked_for;
  for (const catalog_item* const item :
       catalog_.ItemsUnder(format_.evacuation_prefix)) {
    asked_for.insert(item->key.substr(format_.evacuation_prefix.size()));
  }
  const auto changes = directory_.SetEvacuated(clock_.Now(), asked_for);
  is_snapshot_due_ |= !changes.empty();
  for (const evacuation_table::change& each : changes) {
    const std::string& name = each.failure_domain;
    log_.Add(log_line{each.has_begun ? "evacuation-begun" : "evacuation-ended"}
                 .Text("failure_domain", name)
                 .Number("complete_to",
                         static_cast<std::int64_t>(catalog_.CompleteTo())));
    const bool is_known = name == settings_.failure_domain ||
                          directory_.IsFailureDomainKnown(name);
    if (each.has_begun && !is_known) {
      // It holds all the same: backend servers may start there later.
      log_.Add(log_line{"evacuation-of-unknown-domain"}.Text("failure_domain",
                                                             name));
    }
  }
}

void catalog_control::ApplyConfiguration() {
  const catalog_item* const item = catalog_.Find(format_.configuration_key);
  if (item == nullptr) {
    return;  // Without an entry, the configuration in force stays.
  }
  auto read = format_.read_configuration(*item);
  if (!read) {
    log_.Add(
        log_line{"configuration-refused"}
            .Text("reason", read.error().message)
            .Number("revision", static_cast<std::int64_t>(item->revision)));
    return;
  }
  const bool is_older =
      in_force_ != nullptr &&
      (*read)->Version().revision <= in_force_->Version().revision;
  if (is_older) {
    log_.Add(log_line{"configuration-not-newer"}
                 .Number("version",
                         static_cast<std::int64_t>((*read)->Version().revision))
                 .Number("in_force", static_cast<std::int64_t>(
                                         in_force_->Version().revision)));
    return;
  }
  in_force_ = *std::move(read);
  is_snapshot_due_ = true;
  LogWarnings();
  log_.Add(log_line{"configuration-in-force"}
               .Number("version",
                       static_cast<std::int64_t>(in_force_->Version().revision))
               .Number("revision", static_cast<std::int64_t>(item->revision))
               .Number("routes",
                       static_cast<std::int64_t>(in_force_->Routes().size())));
}

// Logs the first warnings of the configuration in force: one kind that is not
// known may stand at each of thousands of routes.
void catalog_control::LogWarnings() {
  constexpr std::size_t kMaximumLines = 5;
  const auto warnings = in_force_->Warnings();
  for (const std::string& warning :
       warnings.first(std::min(warnings.size(), kMaximumLines))) {
    log_.Add(log_line{"configuration-warning"}
                 .Text("warning", warning)
                 .Number("of", static_cast<std::int64_t>(warnings.size())));
  }
}

// The reason may quote the entry, which may be long.
void catalog_control::LogUnreadable(const catalog_item& item,
                                    std::string_view reason) {
  constexpr std::size_t kLongestReason = 300;
  log_.Add(log_line{"upstream-unreadable"}
               .Text("key", item.key)
               .Text("reason", reason.substr(0, kLongestReason)));
}

void catalog_control::ApplyUpstreams() {
  std::vector<registered_upstream> registered;
  std::map<std::string, decoded_upstream, std::less<>> decoded;
  for (const catalog_item* const item :
       catalog_.ItemsUnder(format_.upstream_prefix)) {
    const auto before = decoded_upstreams_.find(item->key);
    decoded_upstream read{item->revision, item->created, item->content, true,
                          std::nullopt};
    if (before != decoded_upstreams_.end() &&
        before->second.revision == item->revision &&
        *before->second.content == *item->content) {
      read = before->second;
    } else if (auto record = format_.read_upstream(*item)) {
      read.record = *std::move(record);
    } else {
      // An invalid entry is skipped and does not affect the other upstreams. If
      // it overwrites one that was valid, that one tells more.
      read.is_readable = false;
      const bool is_overwritten = before != decoded_upstreams_.end() &&
                                  before->second.created == item->created;
      if (is_overwritten) {
        read.record = before->second.record;
      }
      // Told once, however often it is written.
      if (!is_overwritten || before->second.is_readable) {
        LogUnreadable(*item, record.error().message);
      }
    }
    if (read.record) {
      registered.push_back({*read.record, item->created, item->revision});
    }
    decoded.emplace(item->key, std::move(read));
  }
  decoded_upstreams_ = std::move(decoded);
  const bool is_same = std::equal(
      registered.begin(), registered.end(), registered_upstreams_.begin(),
      registered_upstreams_.end(), [this](const auto& left, const auto& right) {
        // The backend server of this VM may state the same anew.
        const bool is_own =
            left.record.backend_server == settings_.backend_server;
        return left.created == right.created && left.record == right.record &&
               (!is_own || left.revision == right.revision);
      });
  if (is_same) {
    return;
  }
  registered_upstreams_ = std::move(registered);
  const time_point now = clock_.Now();
  // The platform expires entries of live backend servers only if it was
  // unavailable. A platform that was restored lacks the entries that are newer
  // than its copy.
  time_point keep_vanished_until =
      feed_.LastOutageAt() ? *feed_.LastOutageAt() + kVanishedEntryGrace
                           : time_point{};
  if (era_began_at_ != time_point{}) {
    keep_vanished_until =
        std::max(keep_vanished_until, era_began_at_ + kVanishedEntryGrace);
  }
  directory_.Update(now, registered_upstreams_, keep_vanished_until);
  is_snapshot_due_ = true;
  log_.Add(log_line{"upstreams-changed"}
               .Number("count",
                       static_cast<std::int64_t>(registered_upstreams_.size()))
               .Number("complete_to",
                       static_cast<std::int64_t>(catalog_.CompleteTo()))
               .Flag("is_doubtful", now < keep_vanished_until));
  ChoosePeers();
}

}  // namespace wagtailmount
