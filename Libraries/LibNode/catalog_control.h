#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibCatalog/catalog.h"
#include "LibCatalog/catalog_feed.h"
#include "LibCatalog/catalog_format.h"
#include "LibCatalog/catalog_position.h"
#include "LibCatalog/catalog_source.h"
#include "LibCatalog/reader_ranking.h"
#include "LibCatalog/upstream_directory.h"
#include "LibLog/structured_log.h"
#include "LibNode/crash_report_relay.h"
#include "LibNode/peer_links.h"
#include "LibNode/settings.h"
#include "LibRouting/evacuation_table.h"
#include "LibRouting/routing_snapshot.h"

namespace wagtailmount {

/// Holds all control state of one node whose platform publishes a catalog:
/// keeps a complete copy of the catalog, read from the platform or received
/// from peers, and publishes routing snapshots. Runs on one thread and does no
/// I/O itself.
class catalog_control final : public peer_listener {
 public:
  /// Called with each new routing snapshot, from the time on when IsServing().
  using snapshot_publisher =
      std::function<void(std::shared_ptr<const routing_snapshot>)>;

  /// All references must outlive the object.
  catalog_control(const node_settings& settings, const runtime_clock& clock,
                  catalog_source& source, const catalog_format& format,
                  structured_log& log, snapshot_publisher publish,
                  std::uint64_t seed);

  /// Sets the hub that opens links and sends frames. Must be called once,
  /// before the first Tick().
  void SetLinkHub(link_hub& hub) { links_.SetLinkHub(hub); }
  link_listener& LinkListener() { return links_; }

  /// Sets where crash reports are kept. Must outlive the object.
  void SetCrashReports(crash_report_store& store) {
    crash_reports_.SetStore(store);
  }
  /// Sends what this node found out to its peers, without waiting for Tick().
  void SendCrashReports() { crash_reports_.SendNews(); }

  /// Does all periodic work and everything whose time has come. Must be called
  /// every kTickPeriod.
  void Tick();
  static constexpr std::chrono::milliseconds kTickPeriod{100};

  /// How late a node that reaches the platform may learn of a change, at most:
  /// its reader is cut off without an error, so that only the last answer grows
  /// old, until the node notices that and reads for itself.
  static constexpr std::chrono::milliseconds kLongestUnnoticed =
      catalog_feed::settings{}.stale_after + kTickPeriod +
      catalog_feed::kReadTime;

  /// True once a configuration is in force that was confirmed as fresh, or for
  /// which the wait for a confirmation has timed out. It stays true.
  bool IsServing() const { return is_serving_; }

  const std::shared_ptr<const configuration>& InForce() const {
    return in_force_;
  }
  /// The revision up to which the catalog lacks no change; 0 while it is not
  /// yet complete.
  std::uint64_t CompleteTo() const { return catalog_.CompleteTo(); }
  /// How long ago the catalog was known to be the platform's newest state; none
  /// when it never was.
  std::optional<std::chrono::milliseconds> SourceAge() const {
    return feed_.Age(clock_.Now());
  }
  /// The era of CompleteTo().
  std::uint64_t Era() const { return catalog_.Position().era; }
  /// The failure domains that are evacuated.
  const evacuation_table& Evacuations() const {
    return directory_.Evacuations();
  }
  std::uint64_t PlatformCalls() const { return platform_calls_; }
  std::uint64_t PlatformFailures() const { return platform_failures_; }
  /// Whether this node reads the platform for its failure domain.
  bool IsReader() const { return feed_.IsReader(); }
  std::size_t PeerCount() const { return links_.Peers().size(); }

  hello_message MakeHello(std::string_view peer_vm) override;
  void OnPeerUp(const std::string& peer_vm,
                const hello_message& hello) override;
  void OnPeerDown(const std::string& peer_vm, std::string_view reason) override;
  void OnPeerMessage(const std::string& peer_vm,
                     const message& content) override;

 private:
  /// A decoded catalog entry, kept so that it is decoded again only when its
  /// revision changes. If the entry is invalid, `record` is what it held while
  /// it was valid, or empty.
  struct decoded_upstream {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    /// What was decoded: a restored platform gives a revision out again.
    std::shared_ptr<const std::string> content;
    bool is_readable = true;
    std::optional<upstream_record> record;
  };

  /// What this node knows about a linked peer.
  struct peer_progress {
    catalog_position position;      ///< Of its catalog; revision 0 if unknown.
    bool is_in_own_domain = false;  ///< In this node's failure domain.
    /// It has held the platform's newest state at some time.
    bool has_been_fresh = false;
    time_point ahead_since{};  ///< Since when its catalog is newer than this
                               ///< node's; zero while it is not.
  };

  void CallPlatform(time_point now);
  void List(feed_call call);
  void ListFrom(const std::string& after_key, feed_call call);
  void HandlePage(result<catalog_page> page, feed_call call);
  void Watch();
  void RecordCallEnd(const std::optional<error>& failure, bool has_changes,
                     std::chrono::milliseconds transfer = {});

  void RecordOtherEra(std::uint64_t expected, std::uint64_t stated);
  void RecordPosition(catalog_position before);
  void ApplyChanges(const std::vector<std::string>& keys);
  void ApplyConfiguration();
  void LogWarnings();
  void ApplyUpstreams();
  void LogUnreadable(const catalog_item& item, std::string_view reason);
  bool IsEvacuation(std::string_view key) const;
  void ApplyEvacuations();
  void PublishIfChanged();
  void UpdateFreshness(time_point now);
  void UpdateServing(time_point now);
  bool HasConfirmingPeer() const;
  void ChoosePeers();
  void SendToPeers(time_point now);
  void RequestMissingChanges(time_point now);
  std::chrono::milliseconds SourceAgeToSend() const;
  catalog_update UpdateFor(catalog_position known) const;
  void RequestChanges(const std::string& peer_vm);
  void SendState(const std::string& peer_vm, bool is_in_own_domain);
  void Handle(const std::string& peer_vm, const catalog_state_message& state);
  void RequestWholeCatalog(const std::string& peer_vm);
  void Handle(const std::string& peer_vm,
              const catalog_request_message& request);
  void Handle(const std::string& peer_vm, const catalog_update_message& sent);

  const node_settings& settings_;
  const runtime_clock& clock_;
  catalog_source& source_;
  const catalog_format& format_;
  structured_log& log_;
  snapshot_publisher publish_;
  std::int64_t started_unix_ms_;
  time_point started_at_;
  catalog catalog_;
  catalog_feed feed_;
  upstream_directory directory_;
  reader_ranking ranking_;
  peer_links links_;
  crash_report_relay crash_reports_{links_};

  std::shared_ptr<const configuration> in_force_;
  std::map<std::string, decoded_upstream, std::less<>> decoded_upstreams_;
  std::vector<registered_upstream> registered_upstreams_;
  std::vector<catalog_item> listed_items_;
  catalog_position listing_position_;
  std::uint64_t platform_calls_ = 0;
  std::uint64_t platform_failures_ = 0;
  std::map<std::string, peer_progress, std::less<>> peers_;
  catalog_position announced_position_;
  time_point era_began_at_{};  ///< Zero before this node saw an era change.
  time_point next_state_at_{};
  time_point next_slow_state_at_{};
  time_point next_whole_request_at_{};
  time_point next_whole_answer_at_{};
  bool is_fresh_ = false;
  bool is_serving_ = false;
  bool is_snapshot_due_ = false;
  bool is_peer_choice_due_ = false;
  bool links_to_whole_domain_ =
      false;  ///< Whether the reader and its stand-by open links to all VMs of
              ///< their failure domain.
};

}  // namespace wagtailmount
