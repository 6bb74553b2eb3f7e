#include "LibNode/catalog_control.h"

#include <algorithm>
#include <utility>

#include "LibLoad/start_check.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// A link on which nothing arrives for this long is closed. It is twice the
/// longest heartbeat period, kSlowStatePeriod.
constexpr milliseconds kLinkSilenceTimeout{1'800};
constexpr milliseconds kMaximumLinkBackoff{1'000};
/// A catalog counts as fresh if it was confirmed by the platform at most this
/// long ago.
constexpr milliseconds kMaximumFreshAge = catalog_control::kLongestUnnoticed;
/// How long a starting node waits for a confirmation that the configuration
/// from a possibly stale listing is fresh before it serves anyway: a link's
/// handshake or a platform call, and a margin.
constexpr milliseconds kConfirmationTimeout{1'500};
/// How long after its start a reader or its stand-by begins to open links to
/// all VMs of its failure domain. Normally those open the links; when the whole
/// fleet starts at once, all have done so by then.
constexpr milliseconds kWholeDomainDelay{3'000};
// What was placed before a leaving was noticed may start a while longer.
static_assert(catalog_control::kLongestUnnoticed + kLeavingGracePeriod <=
                  catalog_feed::kPropagationLimit,
              "a request may start too late at a leaving backend server");

upstream_directory::settings DirectorySettings(const node_settings& settings) {
  upstream_directory::settings directory_settings;
  directory_settings.own_backend_server = settings.backend_server;
  directory_settings.own_service = settings.service;
  directory_settings.region = settings.region;
  directory_settings.failure_domain = settings.failure_domain;
  directory_settings.hop_port = settings.advertised_hop.port;
  return directory_settings;
}

catalog_feed::settings FeedSettings(const node_settings& settings) {
  catalog_feed::settings feed_settings;
  const double link = settings.link_megabits_per_second;
  feed_settings.lists_upstreams_first =
      link > 0.0 && link < reader_ranking::kFastLinkMegabitsPerSecond;
  return feed_settings;
}

peer_links::settings LinkSettings(const node_settings& settings) {
  peer_links::settings link_settings;
  link_settings.vm = settings.vm;
  link_settings.silence_timeout = kLinkSilenceTimeout;
  link_settings.maximum_backoff = kMaximumLinkBackoff;
  return link_settings;
}

}  // namespace

catalog_control::catalog_control(const node_settings& settings,
                                 const runtime_clock& clock,
                                 catalog_source& source,
                                 const catalog_format& format,
                                 structured_log& log,
                                 snapshot_publisher publish, std::uint64_t seed)
    : settings_(settings),
      clock_(clock),
      source_(source),
      format_(format),
      log_(log),
      publish_(std::move(publish)),
      started_unix_ms_(clock.UnixMilliseconds()),
      started_at_(clock.Now()),
      feed_(FeedSettings(settings), seed),
      directory_(DirectorySettings(settings)),
      ranking_(settings.vm, settings.link_megabits_per_second),
      links_(LinkSettings(settings), clock, *this, seed + 1) {}

void catalog_control::Tick() {
  const time_point now = clock_.Now();
  // A node with a fast link sends the catalog to the others, so it opens links
  // to them from its start.
  const bool is_past_start =
      now - started_at_ > kWholeDomainDelay || ranking_.IsOwnLinkFast();
  if (is_peer_choice_due_ || is_past_start != links_to_whole_domain_) {
    is_peer_choice_due_ = false;
    links_to_whole_domain_ = is_past_start;
    ChoosePeers();
  }
  links_.Tick();
  feed_.UpdateOutage(now);
  CallPlatform(now);
  if (directory_.Expire(now)) {
    is_snapshot_due_ = true;
  }
  PublishIfChanged();
  RequestMissingChanges(now);
  SendToPeers(now);
}

// A listing at the start may be seconds old, and show backend servers that have
// left meanwhile as available.
void catalog_control::UpdateServing(time_point now) {
  UpdateFreshness(now);
  const bool is_confirmed = is_fresh_ || HasConfirmingPeer() ||
                            now - started_at_ > kConfirmationTimeout;
  if (is_serving_ || in_force_ == nullptr || !is_confirmed) {
    return;
  }
  is_serving_ = true;
  log_.Add(log_line{"serving"}
               .Number("version",
                       static_cast<std::int64_t>(in_force_->Version().revision))
               .Flag("is_fresh", is_fresh_));
}

void catalog_control::UpdateFreshness(time_point now) {
  const auto age = feed_.Age(now);
  const bool is_fresh = age && *age < kMaximumFreshAge;
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
  listed_items_.clear();
  listing_position_ = {};
  // Keys are listed in order and those of upstreams come last, so a listing
  // that starts after their prefix holds nothing else.
  ListFrom(call == feed_call::kListUpstreams
               ? std::string{format_.upstream_prefix}
               : std::string{},
           call);
}

void catalog_control::ListFrom(const std::string& after_key, feed_call call) {
  ++platform_calls_;
  source_.List(after_key, call != feed_call::kList,
               [this, call](result<catalog_page> page) {
                 HandlePage(std::move(page), call);
               });
}

void catalog_control::HandlePage(result<catalog_page> page, feed_call call) {
  if (!page) {
    RecordCallEnd(page.error(), false);
    return;
  }
  // The pages of a listing are read at different revisions, and one that may be
  // stale at any: only changes up to the oldest of them are certainly in it.
  if (listing_position_.revision == 0) {
    listing_position_ = {page->era, page->revision};
  }
  listing_position_.revision =
      std::min(listing_position_.revision, page->revision);
  if (page->era != listing_position_.era ||
      page->era < catalog_.Position().era) {
    listed_items_.clear();
    RecordOtherEra(listing_position_.era, page->era);
    return;
  }
  for (catalog_item& item : page->items) {
    listed_items_.push_back(std::move(item));
  }
  if (page->has_more && !listed_items_.empty()) {
    ListFrom(listed_items_.back().key, call);
    return;
  }
  const catalog_position before = catalog_.Position();
  const auto changed =
      call == feed_call::kListUpstreams
          ? catalog_.ApplyPartialListing(listed_items_, listing_position_.era)
          : catalog_.ApplyListing(listed_items_, listing_position_.revision,
                                  listing_position_.era);
  listed_items_.clear();
  RecordPosition(before);
  RecordCallEnd(std::nullopt, !changed.empty());
  ApplyChanges(changed);
}

void catalog_control::Watch() {
  ++platform_calls_;
  source_.Watch(
      catalog_.CompleteTo(), feed_.WatchWait(clock_.Now()),
      [this, from = catalog_.Position()](result<catalog_changes> changes) {
        if (!changes) {
          RecordCallEnd(changes.error(), false);
          return;
        }
        // Another era, so the revision asked for is not one of its own.
        if (changes->era != from.era) {
          RecordOtherEra(from.era, changes->era);
          return;
        }
        const auto changed =
            catalog_.ApplyUpdate({from.revision, changes->revision,
                                  std::move(changes->items), from.era});
        RecordCallEnd(std::nullopt, !changed.empty(), changes->transfer);
        next_state_at_ = clock_.Now();  // Peers rely on this answer too.
        ApplyChanges(changed);
      });
}

// Ends a call whose answer is of another era than `expected`. A newer one needs
// a listing at once. An older one comes from a platform that is not restored
// everywhere yet, which is asked again later.
void catalog_control::RecordOtherEra(std::uint64_t expected,
                                     std::uint64_t stated) {
  const std::uint64_t newest = std::max(expected, catalog_.Position().era);
  RecordCallEnd(
      error{stated > newest ? error_kind::kConflict : error_kind::kUnavailable,
            "the platform states era " + std::to_string(stated) + " after " +
                std::to_string(newest)},
      false);
}

// Notes that a newer era of the platform has replaced the catalog.
void catalog_control::RecordPosition(catalog_position before) {
  const catalog_position now_held = catalog_.Position();
  if (before.revision == 0 || before.era == now_held.era) {
    return;
  }
  era_began_at_ = clock_.Now();
  log_.Add(
      log_line{"platform-era"}
          .Number("era", static_cast<std::int64_t>(now_held.era))
          .Number("era_before", static_cast<std::int64_t>(before.era))
          .Number("complete_to", static_cast<std::int64_t>(now_held.revision))
          .Number("complete_to_before",
                  static_cast<std::int64_t>(before.revision)));
}

void catalog_control::RecordCallEnd(const std::optional<error>& failure,
                                    bool has_changes, milliseconds transfer) {
  const time_point now = clock_.Now();
  const bool was_failing = feed_.IsFailing();
  feed_.End(now, failure ? std::optional{failure->kind} : std::nullopt,
            has_changes, transfer);
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

void catalog_control::PublishIfChanged() {
  UpdateServing(clock_.Now());
  if (!is_snapshot_due_ || !is_serving_) {
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
