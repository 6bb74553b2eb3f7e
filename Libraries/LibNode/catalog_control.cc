#include "LibNode/catalog_control.h"

#include <algorithm>
#include <set>
#include <utility>

#include "LibBase/digest.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// The heartbeat of links. Source: three in a row are missed before a follower
/// reads by itself (catalog_feed::settings::stale_after).
constexpr milliseconds kStatePeriod{300};
/// The like of links on which nobody relies for freshness: to other failure
/// domains, and of nodes that are no readers.
constexpr milliseconds kSlowStatePeriod{900};
/// A link that is silent for so long is closed. Source: four heartbeats.
constexpr milliseconds kLinkSilence{1'800};
constexpr milliseconds kLinkBackoff{1'000};
/// How long news that a peer has may still come by themselves. Source:
/// catalog_feed's pause between two watches, and a margin.
constexpr milliseconds kPeerPatience{350};
/// A larger update is left to be read from the platform: passing it on to each
/// node of a failure domain would hold up requests on a slow link. Source: 20
/// nodes on a link of 5 Mbit/s within half a second.
constexpr std::size_t kLargestUpdate = std::size_t{16} * 1024;
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
      feed_({}, seed),
      directory_(DirectorySettings(settings)),
      links_(LinkSettings(settings), clock, *this, seed + 1) {}

void catalog_control::Tick() {
  const time_point now = clock_.Now();
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
    List(call == feed_call::kListStale);
  }
}

void catalog_control::List(bool may_be_stale) {
  listed_.clear();
  listed_from_ = 0;
  ListFrom({}, may_be_stale);
}

void catalog_control::ListFrom(std::string after_key, bool may_be_stale) {
  ++platform_calls_;
  source_.List(after_key, may_be_stale,
               [this, may_be_stale](result<catalog_page> answered) {
                 TakePage(std::move(answered), may_be_stale);
               });
}

void catalog_control::TakePage(result<catalog_page> answered,
                               bool may_be_stale) {
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
    ListFrom(listed_.back().key, may_be_stale);
    return;
  }
  const auto changed = catalog_.TakeListing(listed_, listed_from_);
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
        const auto changed = catalog_.TakeUpdate(
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
      directory_.Own(declared ? declared->limits : upstream_limits{})));
}

// In each failure domain the VM of the lowest hash reads the platform, and the
// next one stands by. Both have links to all nodes of their failure domain, and
// the readers have links to each other.
void catalog_control::ChoosePeers() {
  std::map<std::string, std::string> reader_of;  // By failure domain.
  std::vector<std::string> own_domain;
  const auto is_before = [](const std::string& left, const std::string& right) {
    return HashOf(left) < HashOf(right);
  };
  for (const neighbour& each : directory_.Neighbours()) {
    std::string& best = reader_of[each.failure_domain];
    if (best.empty() || is_before(each.vm, best)) {
      best = each.vm;
    }
    if (each.failure_domain == settings_.failure_domain) {
      own_domain.push_back(each.vm);
    }
  }
  std::sort(own_domain.begin(), own_domain.end(), is_before);
  const bool is_reader =
      !own_domain.empty() && own_domain.front() == settings_.vm;
  if (is_reader != feed_.IsReader()) {
    feed_.SetReader(is_reader);
    log_.Add(log_line{"reader-role"}.Flag("is_reader", is_reader));
  }
  std::set<std::string> wanted;
  constexpr std::size_t kLinksInDomain = 2;
  for (const std::string& vm : own_domain) {
    if (wanted.size() < kLinksInDomain) {
      wanted.insert(vm);
    }
  }
  const bool is_alone = own_domain.size() <= 1;
  if (is_reader || is_alone) {
    for (const auto& [domain, vm] : reader_of) {
      wanted.insert(vm);
    }
  }
  wanted.erase(settings_.vm);
  std::vector<wanted_peer> peers;
  for (const std::string& vm : wanted) {
    peers.push_back({vm, {vm, settings_.advertised_peer.port}});
  }
  links_.SetWanted(peers);
}

milliseconds catalog_control::AgeToTell() const {
  const auto age = feed_.Age(clock_.Now());
  return age ? std::min(*age, kUnknownSourceAge) : kUnknownSourceAge;
}

// Changes go out at once within the failure domain; others are told that there
// are some, for they read the platform themselves and bytes between failure
// domains are dear. The state goes out every while too, as heartbeat.
void catalog_control::SendToPeers(time_point now) {
  const std::uint64_t complete_to = catalog_.CompleteTo();
  const bool is_state_due = now >= next_state_;
  const bool is_slow_due = now >= next_slow_state_;
  const bool is_news = complete_to != told_complete_to_;
  if (!is_news && !is_state_due) {
    return;
  }
  told_complete_to_ = complete_to;
  if (is_state_due) {
    next_state_ = now + kStatePeriod;
  }
  if (is_slow_due) {
    next_slow_state_ = now + kSlowStatePeriod;
  }
  for (const std::string& peer : links_.Peers()) {
    peer_facts& known = peers_[peer];
    if (known.is_near && known.complete_to > 0 &&
        known.complete_to < complete_to) {
      catalog_update update = catalog_.UpdateAfter(known.complete_to);
      if (!update.items.empty() && update.ContentBytes() <= kLargestUpdate &&
          links_.Send(peer,
                      catalog_update_message{std::move(update), AgeToTell()})) {
        known.complete_to = complete_to;
        continue;
      }
    }
    const bool is_relied_on = known.is_near && feed_.IsReader();
    const bool is_due = is_relied_on ? is_state_due : is_slow_due;
    if (is_due || known.complete_to < complete_to) {
      links_.Send(peer, catalog_state_message{complete_to, AgeToTell()});
    }
  }
}

// Most of the time the own reader brings the same a moment later.
void catalog_control::RequestWhatIsLacking(time_point now) {
  for (auto& [peer, known] : peers_) {
    if (known.complete_to <= catalog_.CompleteTo()) {
      known.ahead_since = time_point{};
      continue;
    }
    if (known.ahead_since == time_point{}) {
      known.ahead_since = now;
    }
    if (now - known.ahead_since < kPeerPatience) {
      continue;
    }
    // Near ones bring what they can by themselves: this is too much for a link.
    known.ahead_since = now;
    if (known.is_near) {
      feed_.NeedOwnRead();
    } else {
      links_.Send(peer, catalog_request_message{catalog_.CompleteTo()});
    }
    return;
  }
}

hello_message catalog_control::MakeHello(std::string_view) {
  hello_message hello;
  hello.sender = {.vm = settings_.vm,
                  .region = settings_.region,
                  .failure_domain = settings_.failure_domain,
                  .service = settings_.service,
                  .peer = settings_.advertised_peer,
                  .hop = settings_.advertised_hop,
                  .incarnation = static_cast<std::uint64_t>(started_),
                  .state = vm_state::kServing};
  return hello;
}

void catalog_control::OnPeerUp(const std::string& peer_vm,
                               const hello_message& hello) {
  log_.Add(log_line{"peer-up"}.Text("peer", peer_vm));
  peers_[peer_vm] = {
      .complete_to = 0,
      .is_near = hello.sender.failure_domain == settings_.failure_domain,
      .ahead_since = {}};
  links_.Send(peer_vm,
              catalog_state_message{catalog_.CompleteTo(), AgeToTell()});
}

void catalog_control::OnPeerDown(const std::string& peer_vm,
                                 std::string_view reason) {
  log_.Add(log_line{"peer-down"}.Text("peer", peer_vm).Text("reason", reason));
  peers_.erase(peer_vm);
}

void catalog_control::OnPeerMessage(const std::string& peer_vm,
                                    const message& content) {
  if (const auto* state = std::get_if<catalog_state_message>(&content)) {
    Handle(peer_vm, *state);
  } else if (const auto* request =
                 std::get_if<catalog_request_message>(&content)) {
    Handle(peer_vm, *request);
  } else if (const auto* sent = std::get_if<catalog_update_message>(&content)) {
    Handle(peer_vm, *sent);
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_state_message& state) {
  peers_[peer_vm].complete_to = state.complete_to;
  if (state.complete_to == catalog_.CompleteTo()) {
    feed_.HearOfPeer(clock_.Now(), state.source_age);
  } else {
    RequestWhatIsLacking(clock_.Now());
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_request_message& request) {
  if (catalog_.CompleteTo() <= request.after) {
    return;
  }
  if (links_.Send(peer_vm,
                  catalog_update_message{catalog_.UpdateAfter(request.after),
                                         AgeToTell()})) {
    peers_[peer_vm].complete_to = catalog_.CompleteTo();
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_update_message& sent) {
  peer_facts& known = peers_[peer_vm];
  known.complete_to = std::max(known.complete_to, sent.update.complete_to);
  if (sent.update.after > catalog_.CompleteTo()) {
    links_.Send(peer_vm, catalog_request_message{catalog_.CompleteTo()});
    return;
  }
  const auto changed = catalog_.TakeUpdate(sent.update);
  if (catalog_.CompleteTo() < sent.update.complete_to) {
    feed_.NeedOwnRead();
  }
  if (catalog_.CompleteTo() == sent.update.complete_to) {
    feed_.HearOfPeer(clock_.Now(), sent.source_age);
  }
  TakeChanges(changed);
}

}  // namespace wagtailmount
