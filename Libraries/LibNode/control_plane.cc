#include "LibNode/control_plane.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailmount {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Number of events that are kept for the admin API.
constexpr std::size_t kEventCapacity = 1'000;
constexpr std::chrono::seconds kEverySecond{1};
/// If this much time passes between two ticks, the process was paused.
constexpr milliseconds kPauseThreshold{2'000};
/// Stands for the age of the platform's last confirmation while this node has
/// learnt of none.
constexpr milliseconds kUnconfirmedSourceAge = std::chrono::hours{24};
constexpr std::chrono::seconds kVmListPeriod{10};
/// When many VMs change state together, their records are forwarded over
/// several ticks, so that they do not delay configuration messages on the
/// links.
constexpr std::size_t kMaximumRecordsPerTick = 16;
/// Number of refused versions that the admin API reports.
constexpr std::size_t kRefusalCapacity = 32;
/// Gives the links other random numbers than the spreader, whose seed is the
/// same.
constexpr std::uint64_t kLinkSeedMask = 0x6c696e6b;

folder_reader::settings ReaderSettings(const node_settings& settings) {
  folder_reader::settings reader_settings;
  reader_settings.fleet_size = settings.expected_vms;
  return reader_settings;
}

vm_list_reader::settings ListReaderSettings(const node_settings& settings) {
  vm_list_reader::settings reader_settings;
  reader_settings.fleet_size = settings.expected_vms;
  reader_settings.period = kVmListPeriod;
  return reader_settings;
}

std::string DescribeVersion(const version_id& version) {
  return "revision " + std::to_string(version.revision) + " (" +
         version.content.ToShortHex() + ")";
}

std::string DescribeSource(std::string_view peer, std::uint32_t hops) {
  return peer.empty() ? std::string("read from the platform")
                      : "from peer " + std::string(peer) + ", " +
                            std::to_string(hops) + " hops from its reader";
}

}  // namespace

std::string_view NameOf(node_phase phase) {
  switch (phase) {
    case node_phase::kJoining:
      return "joining";
    case node_phase::kServing:
      return "serving";
    case node_phase::kDraining:
      return "draining";
  }
  return "unknown";
}

control_plane::control_plane(node_settings settings, const runtime_clock& clock,
                             platform_client& platform,
                             snapshot_publisher publish, std::uint64_t seed)
    : settings_(std::move(settings)),
      clock_(clock),
      publish_(std::move(publish)),
      started_unix_ms_(clock.UnixMilliseconds()),
      random_(seed),
      events_(clock, kEventCapacity),
      membership_(
          {}, MakeOwnRecord(settings_, started_unix_ms_, vm_state::kStarting),
          clock.Now()),
      spreader_({.vm = settings_.vm}, seed, clock.Now()),
      join_gate_({.join_wait = settings_.join_wait}, clock.Now()),
      read_budget_({.vm = settings_.vm,
                    .platform_calls_per_second = static_cast<double>(
                        settings_.platform_calls_per_second),
                    .fleet_size = settings_.expected_vms},
                   clock.Now(), random_),
      folder_reader_(platform, read_budget_, clock, random_,
                     ReaderSettings(settings_), MakeReaderCallbacks()),
      vm_list_reader_(
          platform, read_budget_, clock, random_, ListReaderSettings(settings_),
          [this](std::uint64_t revision, const std::vector<vm_record>& list) {
            ApplyVmList(list, revision);
          }),
      links_({.vm = settings_.vm}, clock, *this, seed ^ kLinkSeedMask),
      pause_detector_(kPauseThreshold),
      reader_jitter_(random_.Fraction()),
      next_second_tick_(clock.Now()) {
  events_.Add(event_kind::kStarted, 0,
              "incarnation " + std::to_string(started_unix_ms_));
}

folder_reader::callbacks control_plane::MakeReaderCallbacks() {
  return {.on_snapshot =
              [this](std::uint64_t revision, std::vector<config_file> files) {
                Apply(spreader_.AcceptFromSource(clock_.Now(), revision,
                                                 std::move(files)));
              },
          .on_confirmed =
              [this](std::uint64_t revision) {
                Apply(spreader_.SourceConfirmed(clock_.Now(), revision));
              },
          .on_state_change =
              [this](const source_state_change& change) {
                RecordSourceChange(change);
              }};
}

void control_plane::RecordSourceChange(const source_state_change& change) {
  const std::string text = std::string(NameOf(change.state)) +
                           (change.reason.message.empty() ? "" : ": ") +
                           change.reason.message;
  LOG(INFO) << "platform state: " << text;
  events_.Add(event_kind::kPlatform, 0, text);
}

void control_plane::ApplyVmList(std::span<const vm_record> list,
                                std::uint64_t revision) {
  Apply(membership_.MergePlatformList(clock_.Now(), list, revision), "");
  is_peer_choice_due_ = true;
}

void control_plane::Tick() {
  const time_point now = clock_.Now();
  if (pause_detector_.Step(now)) {
    const auto length =
        duration_cast<milliseconds>(pause_detector_.LastPause());
    LOG(WARNING) << "the process was paused for " << length.count() << " ms";
    events_.Add(event_kind::kPause, 0,
                "paused for " + std::to_string(length.count()) + " ms");
    membership_.AfterPause(now);
    join_gate_.AfterPause(now);
    folder_reader_.SetReading(false);
    vm_list_reader_.SetReading(false);
    next_second_tick_ = now;
  }
  links_.Tick();
  spreader_.SetMembershipHash(membership_.Hash());
  Apply(spreader_.Tick(now));
  if (now >= next_second_tick_) {
    next_second_tick_ = now + kEverySecond;
    TickEverySecond(now);
  }
  TickJoining(now);
  folder_reader_.Tick(now);
  vm_list_reader_.Tick(now);
  SendMembershipDelta(kMaximumRecordsPerTick);
  PublishIfChanged();
}

void control_plane::TickEverySecond(time_point now) {
  Apply(membership_.Tick(now), "");
  UpdateReaderRole(now);
  if (is_peer_choice_due_) {
    is_peer_choice_due_ = false;
    ChoosePeers();
  }
}

void control_plane::TickJoining(time_point now) {
  if (phase_ != node_phase::kJoining) {
    return;
  }
  const version_id held = spreader_.HeldVersion();
  if (join_gate_.Decide(now, held) == join_decision::kServe) {
    BeginServing(held.revision);
  }
}

void control_plane::BeginServing(std::uint64_t revision) {
  phase_ = node_phase::kServing;
  LOG(INFO) << "serving";
  events_.Add(event_kind::kServing, revision,
              "serving; highest revision that peers saw this VM hold before: " +
                  std::to_string(join_gate_.LeastVersion().revision));
  Apply(membership_.AnnounceSelf(clock_.Now(), vm_state::kServing), "");
  is_snapshot_due_ = true;
}

void control_plane::UpdateReaderRank(time_point now) {
  const std::uint64_t hash = membership_.Hash();
  if (ranked_hash_ == hash && ranked_size_ == membership_.Size()) {
    return;
  }
  ranked_hash_ = hash;
  ranked_size_ = membership_.Size();
  const auto records = membership_.Records();
  const std::size_t fleet_size =
      std::max<std::size_t>(records.size(), settings_.expected_vms);
  read_budget_.SetFleetSize(fleet_size, now);
  folder_reader_.SetFleetSize(fleet_size);
  reader_rank_ = ReaderRank(settings_.vm, settings_.failure_domain, records);
}

void control_plane::UpdateReaderRole(time_point now) {
  UpdateReaderRank(now);
  const bool reads =
      phase_ != node_phase::kDraining &&
      ShouldRead(reader_rank_, SourceAge().value_or(kUnconfirmedSourceAge),
                 reader_jitter_, {});
  if (reads != folder_reader_.IsReading()) {
    events_.Add(event_kind::kReaderRole, 0,
                std::string(reads ? "starts" : "stops") +
                    " reading from the platform, rank " +
                    std::to_string(reader_rank_) + " in its failure domain");
  }
  folder_reader_.SetReading(reads);
  vm_list_reader_.SetReading(reads);
}

void control_plane::SendMembershipDelta(std::size_t maximum) {
  if (membership_.DeltaSize() == 0) {
    return;
  }
  const membership_message delta{membership_.TakeDelta(maximum), false};
  for (const auto& vm : links_.Peers()) {
    links_.Send(vm, delta);
  }
}

void control_plane::PublishIfChanged() {
  const auto held = spreader_.Held();
  if (!is_snapshot_due_ || held == nullptr || phase_ == node_phase::kJoining) {
    return;
  }
  is_snapshot_due_ = false;
  publish_(std::make_shared<const routing_snapshot>(
      held, membership_.AllUpstreams(), OwnBackendServer(*held)));
}

// Nothing while the own failure domain was never evacuated: then the settings
// tell all that is needed.
std::optional<own_backend_server> control_plane::OwnBackendServer(
    const configuration& held) const {
  own_backend_server own;
  own.evacuated_since = evacuations_.Since(settings_.failure_domain);
  own.evacuation_ended_at = evacuations_.EndedAt(settings_.failure_domain);
  if (own.evacuated_since == time_point{} &&
      own.evacuation_ended_at == time_point{}) {
    return std::nullopt;
  }
  own.service = settings_.service;
  if (const auto declared = held.FindService(settings_.service)) {
    own.limits = declared->limits;
  }
  own.fleet_size =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, membership_.Size()));
  return own;
}

void control_plane::ApplyEvacuations(const configuration& in_force) {
  std::set<std::string> asked_for;
  for (const auto& each : in_force.Evacuations()) {
    asked_for.insert(each->name);
  }
  for (const auto& change : evacuations_.Update(clock_.Now(), asked_for)) {
    const bool is_known =
        change.failure_domain == settings_.failure_domain ||
        membership_.IsFailureDomainKnown(change.failure_domain);
    const std::string text = "evacuation of failure domain " +
                             change.failure_domain +
                             (change.has_begun ? " begins" : " ends") +
                             (is_known ? "" : "; no VM there is known");
    LOG(INFO) << text;
    events_.Add(event_kind::kEvacuation, in_force.Version().revision, text);
  }
  Apply(membership_.SetEvacuated(std::move(asked_for)), "");
}

void control_plane::BeginDrain() {
  phase_ = node_phase::kDraining;
  LOG(INFO) << "draining";
  events_.Add(event_kind::kDrain, 0, "draining: takes no new requests");
  Apply(membership_.AnnounceSelf(clock_.Now(), vm_state::kLeaving), "");
  folder_reader_.SetReading(false);
  vm_list_reader_.SetReading(false);
  SendMembershipDelta(membership_.DeltaSize());
}

void control_plane::AnnounceGone() {
  Apply(membership_.AnnounceSelf(clock_.Now(), vm_state::kGone), "");
  SendMembershipDelta(membership_.DeltaSize());
}

void control_plane::Apply(const spread_effects& effects) {
  for (const auto& effect : effects) {
    std::visit(
        [this](const auto& concrete_effect) { ApplyEffect(concrete_effect); },
        effect);
  }
}

void control_plane::ApplyEffect(const send_effect& effect) {
  links_.Send(effect.peer_vm, effect.content);
}

void control_plane::CountConvergence(const in_force_effect& effect) {
  // A process gets its first version by joining, whenever that was published,
  // so its age says nothing about convergence.
  if (!provenance_.has_value()) {
    return;
  }
  milliseconds target = milliseconds::max();
  for (const auto& service : effect.version->Services()) {
    target = std::min(target, service->level.convergence);
  }
  ++convergence_.changes;
  convergence_.late += effect.source_age > target ? 1 : 0;
}

void control_plane::ApplyEffect(const in_force_effect& effect) {
  CountConvergence(effect);
  const version_id& version = effect.version->Version();
  provenance_ = {.from_peer = effect.from_peer,
                 .hops = effect.hops,
                 .source_age = effect.source_age,
                 .since_unix_milliseconds = clock_.UnixMilliseconds()};
  folder_reader_.SetHeldFiles(effect.version->Files());
  folder_reader_.LearnRevision(version.revision);
  const std::string text = DescribeVersion(version) + " " +
                           DescribeSource(effect.from_peer, effect.hops);
  LOG(INFO) << "version in force: " << text;
  events_.Add(event_kind::kInForce, version.revision, text);
  ApplyEvacuations(*effect.version);
  is_snapshot_due_ = true;
}

void control_plane::ApplyEffect(const refused_effect& effect) {
  join_gate_.NoteRefused(effect.refused.version.revision);
  refusals_.push_back(effect);
  if (refusals_.size() > kRefusalCapacity) {
    refusals_.pop_front();
  }
  const refusal_reason& first = effect.refused.reasons.front();
  const std::string text = DescribeVersion(effect.refused.version) + ": " +
                           first.file + ": " + first.path + ": " + first.reason;
  LOG(WARNING) << "version refused: " << text;
  events_.Add(event_kind::kRefused, effect.refused.version.revision, text);
}

void control_plane::ApplyEffect(const conflict_effect& effect) {
  const std::string text = "different contents under one revision: held " +
                           DescribeVersion(effect.held) + ", other " +
                           DescribeVersion(effect.other);
  LOG(WARNING) << text;
  events_.Add(event_kind::kConflict, effect.held.revision, text);
}

}  // namespace wagtailmount
