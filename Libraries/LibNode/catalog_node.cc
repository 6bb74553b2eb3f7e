#include "LibNode/catalog_node.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <string>
#include <string_view>
#include <utility>

#include "LibNode/signal_listener.h"
#include "LibNode/stop_schedule.h"
#include "LibNode/traffic_start.h"

namespace wagtailmount {

catalog_node::catalog_node(const node_settings& settings,
                           const platform_adapter& adapter,
                           const runtime_clock& clock, settings_loader reload)
    : settings_(settings),
      adapter_(adapter),
      clock_(clock),
      reload_(std::move(reload)),
      log_({}, clock) {}

result<std::unique_ptr<catalog_node>> catalog_node::Create(
    const node_settings& settings, const platform_adapter& adapter,
    const runtime_clock& clock, settings_loader reload) {
  std::unique_ptr<catalog_node> created(
      new catalog_node(settings, adapter, clock, std::move(reload)));
  return created->Open().map([&created] { return std::move(created); });
}

result<void> catalog_node::Open() {
  const std::uint64_t seed = MakeRandomSeed(settings_, clock_);
  traffic_settings server_settings = MakeTrafficSettings(settings_, seed);
  server_settings.fields = adapter_.fields;
  server_settings.retries = {.share = settings_.retry_share,
                             .slack = settings_.retry_slack};
  auto traffic = traffic_server::Start(server_settings, clock_, &log_);
  if (!traffic) {
    return tl::unexpected(traffic.error());
  }
  traffic_ = *std::move(traffic);
  auto source = adapter_.make_source(context_, settings_);
  if (!source) {
    return tl::unexpected(source.error());
  }
  source_ = *std::move(source);
  control_ = std::make_unique<catalog_control>(
      settings_, clock_, *source_, adapter_.format, log_,
      [this](std::shared_ptr<const routing_snapshot> snapshot) {
        traffic_->Publish(std::move(snapshot));
      },
      seed);
  auto hub = link_hub::Create(context_, {.listen = settings_.peer},
                              control_->LinkListener());
  if (!hub) {
    return tl::unexpected(hub.error());
  }
  hub_ = *std::move(hub);
  control_->SetLinkHub(*hub_);
  control_->SetCrashReports(traffic_->CrashReports());
  traffic_->CrashReports().SetNewsListener([this] {
    boost::asio::post(context_, [this] { control_->SendCrashReports(); });
  });
  admin_ = std::make_unique<catalog_admin>(*control_, *traffic_, log_);
  auto admin = admin_server::Create(context_, settings_.admin, *admin_);
  if (!admin) {
    return tl::unexpected(admin.error());
  }
  admin_server_ = *std::move(admin);
  readiness_ = std::make_unique<readiness_handler>(
      adapter_.readiness_path,
      [this] { return control_->IsServing() && !is_stopping_; });
  auto readiness_server =
      admin_server::Create(context_, settings_.readiness, *readiness_);
  if (!readiness_server) {
    return tl::unexpected(readiness_server.error());
  }
  readiness_server_ = *std::move(readiness_server);
  return {};
}

bool catalog_node::Run() {
  log_.Add(log_line{"started"}
               .Text("vm", settings_.vm)
               .Text("failure_domain", settings_.failure_domain)
               .Text("service", settings_.service));
  const signal_listener signals{{SIGTERM, SIGINT, SIGHUP},
                                clock_,
                                context_,
                                [this](int signal, time_point arrived_at) {
                                  HandleSignal(signal, arrived_at);
                                }};
  Tick();
  context_.run();
  LogCuts();
  log_.Add(log_line{"stopped"}.Flag("is_clean", is_clean_));
  log_.Flush();
  return is_clean_;
}

void catalog_node::ScheduleTick() {
  timer_.expires_after(catalog_control::kTickPeriod);
  timer_.async_wait([this](const boost::system::error_code& failure) {
    if (!failure) {
      Tick();
    }
  });
}

void catalog_node::Tick() {
  control_->Tick();
  log_.Flush();
  if (!context_.stopped()) {
    ScheduleTick();
  }
}

void catalog_node::HandleSignal(int signal, time_point arrived_at) {
  log_.Add(log_line{"signal"}
               .Number("signal", signal)
               .Flag("is_stopping", is_stopping_));
  if (signal == SIGHUP) {
    Reload();
  } else if (!is_stopping_) {
    BeginStop(arrived_at);
  } else if (signal == SIGINT) {
    Finish(traffic_->IsIdle());
  }
}

// Applies only the grace period of a planned stop: addresses can't change while
// they are open. The log line says whether other changed settings need a
// restart.
void catalog_node::Reload() {
  const auto read = reload_();
  if (!read) {
    log_.Add(log_line{"settings-refused"}.Text("reason", read.error().message));
    return;
  }
  const bool needs_restart = read->caller != settings_.caller ||
                             read->hop != settings_.hop ||
                             read->peer != settings_.peer ||
                             read->backend_server != settings_.backend_server ||
                             read->platform != settings_.platform;
  settings_.drain_grace = read->drain_grace;
  log_.Add(log_line{"settings-reloaded"}.Flag("needs_restart", needs_restart));
}

void catalog_node::BeginStop(time_point arrived_at) {
  is_stopping_ = true;
  stop_began_ = arrived_at;
  // Kept to, even if the settings change meanwhile.
  stop_schedule_ = MakeStopSchedule(settings_.drain_grace);
  traffic_->BeginStop({.drain_from = stop_began_ + stop_schedule_.drain_at,
                       .answer_by = stop_began_ + stop_schedule_.answer_by,
                       .verdict_wait = stop_schedule_.verdict_wait});
  const duration late = clock_.Now() - arrived_at;
  log_.Add(
      log_line{"stop-begun"}
          .Number("late_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(late)
                      .count())
          .Number("in_flight",
                  static_cast<std::int64_t>(traffic_->Counters().in_flight))
          .Number("grace_ms", settings_.drain_grace.count()));
  ScheduleStop();
}

void catalog_node::ScheduleStop() {
  // The steps of a short grace period are some tens of milliseconds apart.
  constexpr std::chrono::milliseconds kStopInterval{20};
  stop_timer_.expires_after(kStopInterval);
  stop_timer_.async_wait([this](const boost::system::error_code& failure) {
    if (!failure) {
      ContinueStop();
    }
  });
}

void catalog_node::ContinueStop() {
  const duration elapsed = clock_.Now() - stop_began_;
  const stop_progress progress{
      .is_idle = traffic_->IsIdle(),
      .has_withdrawn = traffic_->HasWithdrawn(),
      .is_answering = traffic_->Counters().answers_being_written > 0};
  switch (StopPhaseAt(elapsed, stop_schedule_, progress)) {
    case stop_phase::kNotice:
      break;
    case stop_phase::kDrain:
      BeginDrain(elapsed);
      break;
    case stop_phase::kClose:
      if (!is_draining_) {
        // What waits in the listen backlogs is accepted first.
        BeginDrain(elapsed);
        break;
      }
      traffic_->CloseIdleConnections();
      if (traffic_->HasClosedIdleConnections() && traffic_->IsIdle()) {
        Finish(true);
      }
      break;
    case stop_phase::kCut:
      if (progress.is_idle) {
        Finish(true);
        break;
      }
      log_.Add(log_line{"stop-cuts-requests"}.Number(
          "in_flight",
          static_cast<std::int64_t>(traffic_->Counters().in_flight)));
      Finish(false);
      break;
  }
  if (!context_.stopped()) {
    ScheduleStop();
  }
}

void catalog_node::BeginDrain(duration elapsed) {
  if (std::exchange(is_draining_, true)) {
    return;
  }
  traffic_->BeginDrain();
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  log_.Add(
      log_line{"stop-drains"}
          .Number("elapsed_ms", duration_cast<milliseconds>(elapsed).count())
          .Number("in_flight",
                  static_cast<std::int64_t>(traffic_->Counters().in_flight)));
}

// Nobody reads the metrics of a process that has ended.
void catalog_node::LogCuts() {
  const traffic_counters counters = traffic_->Counters();
  log_line line{"callers-cut"};
  for (std::size_t cause = 0; cause < kCutCauses; ++cause) {
    line.Number(NameOf(static_cast<cut_cause>(cause)),
                static_cast<std::int64_t>(counters.requests_cut.at(cause)));
  }
  for (std::size_t cause = 0; cause < kCloseCauses; ++cause) {
    const std::string_view name = NameOf(static_cast<close_cause>(cause));
    line.Number("unread-" + std::string{name},
                static_cast<std::int64_t>(counters.closed_unread.at(cause)));
  }
  line.Number("in_flight", static_cast<std::int64_t>(counters.in_flight));
  log_.Add(std::move(line));
}

void catalog_node::Finish(bool is_clean) {
  is_clean_ = is_clean;
  hub_->Stop();
  admin_server_->Stop();
  readiness_server_->Stop();
  context_.stop();
}

}  // namespace wagtailmount
