#include "LibNode/catalog_control.h"

#include <algorithm>
#include <utility>

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// A link that is silent for so long is closed. Source: four heartbeats.
constexpr milliseconds kLinkSilence{1'800};
constexpr milliseconds kLinkBackoff{1'000};
/// Beyond that age of the platform's last word, a catalog does not count as
/// fresh. Source: catalog_feed's staleness, and the time to read.
constexpr milliseconds kFreshAge{1'400};
/// How long after a failed call of the platform entries stay that vanish: live
/// backend servers have registered again by then. Source: two seconds by the
/// platform's word, and a margin.
constexpr milliseconds kDoubt{2'500};
/// How long a start waits for a confirmation of what a stale listing gave.
/// Source: a link's handshake or a call, and a margin.
constexpr milliseconds kLongestConfirmation{1'500};
/// From then on a node opens links to those that should have opened one to it.
/// Source: at a start of the whole fleet all have done so by then.
constexpr milliseconds kOthersOpenFirst{3'000};
/// How long a watch waits at the platform. One that was lost there without a
/// word is noticed that late at most. Source: less than the least bound on
/// leaving upstreams, 2 s.
constexpr milliseconds kWatchWait{1'500};

upstream_directory::settings DirectorySettings(const node_settings& settings) {
  upstream_directory::settings chosen;
  chosen.own_backend_server = settings.backend_server;
  chosen.own_service = settings.service;
  chosen.region = settings.region;
  chosen.hop_port = settings.advertised_hop.port;
  return chosen;
}

catalog_feed::settings FeedSettings(const node_settings& settings) {
  catalog_feed::settings chosen;
  const double link = settings.link_megabits_per_second;
  chosen.lists_upstreams_first =
      link > 0.0 && link < reader_ranking::kFastLinkMegabitsPerSecond;
  return chosen;
}

peer_links::settings LinkSettings(const node_settings& settings) {
  peer_links::settings chosen;
  chosen.vm = settings.vm;
  chosen.silence_limit = kLinkSilence;
  chosen.greatest_backoff = kLinkBackoff;
  return chosen;
}

}  // namespace

catalog_control::catalog_control(const node_settings& settings,
                                 const runtime_clock& clock,
                                 catalog_source& source,
                                 const catalog_format& format,
                                 structured_log& log, snapshot_taker publish,
                                 std::uint64_t seed)
    : settings_(settings),
      clock_(clock),
      source_(source),
      format_(format),
      log_(log),
      publish_(std::move(publish)),
      started_(clock.UnixMilliseconds()),
      started_at_(clock.Now()),
      feed_(FeedSettings(settings), seed),
      directory_(DirectorySettings(settings)),
      ranking_(settings.vm, settings.link_megabits_per_second),
      links_(LinkSettings(settings), clock, *this, seed + 1) {}

void catalog_control::Tick() {
  const time_point now = clock_.Now();
  // Who has a fast link feeds the others from the start.
  const bool is_past_start =
      now - started_at_ > kOthersOpenFirst || ranking_.IsOwnLinkFast();
  if (are_peers_due_ || is_past_start != looks_for_others_) {
    are_peers_due_ = false;
    looks_for_others_ = is_past_start;
    ChoosePeers();
  }
  links_.Tick();
  CallPlatform(now);
  WatchFreshness(now);
  if (directory_.Expire(now)) {
    is_snapshot_due_ = true;
  }
  PublishIfChanged();
  RequestWhatIsLacking(now);
  SendToPeers(now);
  const bool is_confirmed =
      is_fresh_ || now - started_at_ > kLongestConfirmation;
  if (!is_serving_ && in_force_ != nullptr && is_confirmed) {
    is_serving_ = true;
    log_.Add(log_line{"serving"}
                 .Number("version", static_cast<std::int64_t>(
                                        in_force_->Version().revision))
                 .Flag("is_fresh", is_fresh_));
  }
}

void catalog_control::WatchFreshness(time_point now) {
  const auto age = feed_.Age(now);
  const bool is_fresh = age && *age < kFreshAge;
  if (is_fresh != is_fresh_) {
    is_fresh_ = is_fresh;
    log_.Add(log_line{is_fresh ? "catalog-fresh" : "catalog-not-fresh"}
                 .Number("complete_to",
                         static_cast<std::int64_t>(catalog_.CompleteTo()))
                 .Number("age_ms", age ? age->count() : -1)
                 .Flag("is_reader", feed_.IsReader())
                 .Flag("is_platform_failing", feed_.IsFailing()));
  }
}

void catalog_control::CallPlatform(time_point now) {
  const feed_call call = feed_.NextCall(now, catalog_.CompleteTo());
  if (call == feed_call::kNone) {
    return;
  }
  feed_.Begin(now, call);
  if (call == feed_call::kWatch) {
    Watch();
  } else {
    List(call);
  }
}

void catalog_control::List(feed_call call) {
  listed_.clear();
  listed_from_ = 0;
  // Keys are listed in their order, and the upstreams' are the last ones.
  ListFrom(call == feed_call::kListUpstreams
               ? std::string{format_.upstream_prefix}
               : std::string{},
           call);
}

void catalog_control::ListFrom(const std::string& after_key, feed_call call) {
  ++platform_calls_;
  source_.List(after_key, call != feed_call::kList,
               [this, call](result<catalog_page> answered) {
                 TakePage(std::move(answered), call);
               });
}

void catalog_control::TakePage(result<catalog_page> answered, feed_call call) {
  if (!answered) {
    EndCall(answered.error(), false);
    return;
  }
  // Pages are no snapshot; nothing is missing up to the first one's revision.
  if (listed_from_ == 0) {
    listed_from_ = answered->revision;
  }
  for (catalog_item& item : answered->items) {
    listed_.push_back(std::move(item));
  }
  if (answered->has_more && !listed_.empty()) {
    ListFrom(listed_.back().key, call);
    return;
  }
  const auto changed = call == feed_call::kListUpstreams
                           ? catalog_.ApplyPartialListing(listed_)
                           : catalog_.ApplyListing(listed_, listed_from_);
  listed_.clear();
  EndCall(std::nullopt, !changed.empty());
  TakeChanges(changed);
}

void catalog_control::Watch() {
  ++platform_calls_;
  source_.Watch(
      catalog_.CompleteTo(), kWatchWait,
      [this, after = catalog_.CompleteTo()](result<catalog_changes> answered) {
        if (!answered) {
          EndCall(answered.error(), false);
          return;
        }
        const auto changed = catalog_.ApplyUpdate(
            {after, answered->revision, std::move(answered->items)});
        EndCall(std::nullopt, !changed.empty());
        TakeChanges(changed);
      });
}

void catalog_control::EndCall(const std::optional<error>& failure,
                              bool has_changes) {
  const time_point now = clock_.Now();
  const bool was_failing = feed_.IsFailing();
  feed_.End(now, failure ? std::optional{failure->kind} : std::nullopt,
            has_changes);
  platform_failures_ += failure ? 1 : 0;
  if (failure) {
    log_.Add(log_line{"platform-call-failed"}
                 .Text("kind", NameOf(failure->kind))
                 .Text("reason", failure->message)
                 .Number("complete_to",
                         static_cast<std::int64_t>(catalog_.CompleteTo())));
  } else if (was_failing) {
    log_.Add(log_line{"platform-regained"}.Number(
        "complete_to", static_cast<std::int64_t>(catalog_.CompleteTo())));
  }
}

void catalog_control::TakeChanges(const std::vector<std::string>& keys) {
  bool has_upstreams = false;
  bool has_configuration = false;
  for (const std::string& key : keys) {
    has_configuration |= key == format_.configuration_key;
    has_upstreams |= key.starts_with(format_.upstream_prefix);
  }
  if (has_configuration) {
    TakeConfiguration();
  }
  if (has_upstreams) {
    TakeUpstreams();
  }
  PublishIfChanged();
  SendToPeers(clock_.Now());
}

void catalog_control::TakeConfiguration() {
  const catalog_item* const item = catalog_.Find(format_.configuration_key);
  if (item == nullptr) {
    return;  // What is in force stays in force.
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
  log_.Add(log_line{"configuration-in-force"}
               .Number("version",
                       static_cast<std::int64_t>(in_force_->Version().revision))
               .Number("revision", static_cast<std::int64_t>(item->revision))
               .Number("routes",
                       static_cast<std::int64_t>(in_force_->Routes().size())));
}

void catalog_control::TakeUpstreams() {
  std::vector<registered_upstream> registered;
  std::map<std::string, decoded_upstream, std::less<>> decoded;
  for (const catalog_item* const item :
       catalog_.ItemsUnder(format_.upstream_prefix)) {
    const auto before = decoded_.find(item->key);
    decoded_upstream read{item->revision, std::nullopt};
    if (before != decoded_.end() && before->second.revision == item->revision) {
      read = before->second;
    } else if (auto record = format_.read_upstream(*item)) {
      read.record = *std::move(record);
    } else {
      // An entry that can't be read names no upstream and harms no other.
      log_.Add(log_line{"upstream-unreadable"}
                   .Text("key", item->key)
                   .Text("reason", record.error().message));
    }
    if (read.record) {
      registered.push_back({*read.record, item->created});
    }
    decoded.emplace(item->key, std::move(read));
  }
  decoded_ = std::move(decoded);
  const bool is_same = std::equal(
      registered.begin(), registered.end(), registered_.begin(),
      registered_.end(), [](const auto& left, const auto& right) {
        return left.created == right.created && left.record == right.record;
      });
  if (is_same) {
    return;
  }
  registered_ = std::move(registered);
  const time_point now = clock_.Now();
  // Only a platform that did not answer may have let live entries lapse.
  const time_point doubt_until =
      feed_.FailedAt() ? *feed_.FailedAt() + kDoubt : time_point{};
  directory_.Update(now, registered_, doubt_until);
  is_snapshot_due_ = true;
  log_.Add(log_line{"upstreams-changed"}
               .Number("count", static_cast<std::int64_t>(registered_.size()))
               .Number("complete_to",
                       static_cast<std::int64_t>(catalog_.CompleteTo()))
               .Flag("is_doubtful", now < doubt_until));
  ChoosePeers();
}

void catalog_control::PublishIfChanged() {
  if (!is_snapshot_due_ || in_force_ == nullptr) {
    return;
  }
  is_snapshot_due_ = false;
  const auto declared = in_force_->FindService(settings_.service);
  publish_(std::make_shared<const routing_snapshot>(
      in_force_, directory_.Upstreams(),
      directory_.OwnBackendServer(declared ? declared->limits
                                           : upstream_limits{})));
}

}  // namespace wagtailmount
