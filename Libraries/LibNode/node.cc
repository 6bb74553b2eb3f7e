#include "LibNode/node.h"

#include <glog/logging.h>

#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

#include "LibNode/stop_schedule.h"
#include "LibNode/traffic_start.h"

namespace wagtailmount {

namespace {

/// How long a leaving node still forwards callers' requests to other upstreams.
/// In this time callers move to other nodes without a refused request, and
/// peers learn that this VM is leaving.
constexpr std::chrono::seconds kCallerNoticePeriod{2};

/// How long, after that, connections that callers opened at the last moment may
/// still bring requests. Stopping sooner would reset these connections, and a
/// caller can't tell whether a request that it had already written was run.
constexpr std::chrono::milliseconds kLastRequestPeriod{500};

}  // namespace

node::node(const node_settings& settings, const runtime_clock& clock)
    : settings_(settings), clock_(clock) {}

result<std::unique_ptr<node>> node::Create(const node_settings& settings,
                                           const runtime_clock& clock) {
  std::unique_ptr<node> created(new node(settings, clock));
  return created->Open().map([&created] { return std::move(created); });
}

result<void> node::Open() {
  const std::uint64_t seed = MakeRandomSeed(settings_, clock_);
  auto traffic =
      traffic_server::Start(MakeTrafficSettings(settings_, seed), clock_);
  if (!traffic) {
    return tl::unexpected(traffic.error());
  }
  traffic_ = *std::move(traffic);
  auto platform =
      http_platform_client::Create(context_, {.addresses = settings_.platform});
  if (!platform) {
    return tl::unexpected(platform.error());
  }
  platform_ = *std::move(platform);
  control_ = std::make_unique<control_plane>(
      settings_, clock_, *platform_,
      [this](std::shared_ptr<const routing_snapshot> snapshot) {
        Publish(std::move(snapshot));
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
  admin_ = std::make_unique<node_admin>(*control_, *traffic_,
                                        [this] { BeginDrain(); });
  auto server = admin_server::Create(context_, settings_.admin, *admin_);
  if (!server) {
    return tl::unexpected(server.error());
  }
  admin_server_ = *std::move(server);
  return {};
}

void node::Publish(std::shared_ptr<const routing_snapshot> snapshot) {
  traffic_->Publish(std::move(snapshot));
}

bool node::Run() {
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  WaitForSignal();
  ScheduleTick();
  context_.run();
  return is_clean_;
}

void node::ScheduleTick() {
  timer_.expires_after(control_plane::kTickPeriod);
  timer_.async_wait([this](const boost::system::error_code& failure) {
    if (failure) {
      return;
    }
    control_->Tick();
    if (control_->IsSuperseded()) {
      LOG(WARNING)
          << "a newer process of this VM is running; draining this one";
      BeginDrain();
    }
    ContinueDrain();
    if (!context_.stopped()) {
      ScheduleTick();
    }
  });
}

void node::WaitForSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& failure, int signal) {
        if (failure) {
          return;
        }
        const bool ends_now = is_draining_ && signal == SIGINT;
        LOG(INFO) << "signal " << signal
                  << (ends_now ? ": stopping immediately" : ": draining");
        if (ends_now) {
          Finish(traffic_->IsIdle());
          return;
        }
        BeginDrain();
        WaitForSignal();
      });
}

void node::BeginDrain() {
  if (is_draining_) {
    return;
  }
  is_draining_ = true;
  drain_began_ = clock_.Now();
  control_->BeginDrain();
  traffic_->BeginLeaving();
  const stop_schedule schedule = MakeStopSchedule(settings_.drain_grace);
  traffic_->BeginStop({.answer_by = drain_began_ + schedule.answer_by,
                       .verdict_wait = schedule.verdict_wait});
}

void node::ContinueDrain() {
  if (!is_draining_) {
    return;
  }
  const duration elapsed = clock_.Now() - drain_began_;
  if (elapsed >= kCallerNoticePeriod) {
    traffic_->BeginDrain();
  }
  if (elapsed >= kCallerNoticePeriod + kLastRequestPeriod &&
      traffic_->IsIdle()) {
    Finish(true);
  } else if (elapsed >= settings_.drain_grace) {
    LOG(ERROR) << "requests are still in flight after the grace period of "
               << settings_.drain_grace.count()
               << " ms; stopping without finishing them";
    Finish(false);
  }
}

void node::Finish(bool is_clean) {
  is_clean_ = is_clean;
  control_->AnnounceGone();
  // Write the announcement to the links before they are closed.
  context_.poll();
  hub_->Stop();
  admin_server_->Stop();
  context_.stop();
}

}  // namespace wagtailmount
