#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "LibAdmin/admin_server.h"
#include "LibBase/clock.h"
#include "LibBase/error.h"
#include "LibLink/link_hub.h"
#include "LibLog/structured_log.h"
#include "LibNode/catalog_admin.h"
#include "LibNode/catalog_control.h"
#include "LibNode/platform_adapter.h"
#include "LibNode/settings.h"
#include "LibNode/stop_schedule.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// One node process on a platform that publishes a catalog: owns its servers,
/// links and control state, and handles signals. The thread that calls Run() is
/// its control thread; the traffic server has its own threads.
class catalog_node {
 public:
  /// Reads the settings file again; called on SIGHUP.
  using settings_loader = std::function<result<node_settings>()>;

  /// Opens every listening address, or fails and leaves none open. `clock` and
  /// `adapter` must outlive the node.
  static result<std::unique_ptr<catalog_node>> Create(
      const node_settings& settings, const platform_adapter& adapter,
      const runtime_clock& clock, settings_loader reload);

  /// Serves until a planned stop has ended. SIGTERM or SIGINT begins one;
  /// SIGINT during a stop ends it immediately, while SIGTERM, which supervisors
  /// send again, changes nothing. Returns false if requests were still in
  /// flight when the process stopped.
  bool Run();

 private:
  catalog_node(const node_settings& settings, const platform_adapter& adapter,
               const runtime_clock& clock, settings_loader reload);

  result<void> Open();
  void ScheduleTick();
  void Tick();
  void HandleSignal(int signal, time_point arrived_at);
  void Reload();
  void BeginStop(time_point arrived_at);
  void ContinueStop();
  void ScheduleStop();
  void BeginDrain(duration elapsed);
  void LogCuts();
  void Finish(bool is_clean);

  node_settings settings_;
  const platform_adapter& adapter_;
  const runtime_clock& clock_;
  settings_loader reload_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer timer_{context_};
  boost::asio::steady_timer stop_timer_{context_};
  structured_log log_;
  std::unique_ptr<traffic_server> traffic_;
  std::unique_ptr<catalog_source> source_;
  std::unique_ptr<catalog_control> control_;
  std::unique_ptr<link_hub> hub_;
  std::unique_ptr<catalog_admin> admin_;
  std::unique_ptr<admin_server> admin_server_;
  std::unique_ptr<readiness_handler> readiness_;
  std::unique_ptr<admin_server> readiness_server_;
  bool is_stopping_ = false;
  bool is_draining_ = false;
  bool is_clean_ = true;
  time_point stop_began_;
  stop_schedule stop_schedule_;
};

}  // namespace wagtailmount
