#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "LibAdmin/admin_server.h"
#include "LibBase/clock.h"
#include "LibBase/error.h"
#include "LibLink/link_hub.h"
#include "LibNode/control_plane.h"
#include "LibNode/node_admin.h"
#include "LibNode/settings.h"
#include "LibSource/http_platform_client.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// One node process on a platform that publishes a folder: owns its servers,
/// links and control state, and handles signals. The thread that calls Run() is
/// its control thread; the traffic server has its own threads.
class node {
 public:
  /// Opens every listening address, or fails and leaves none open.
  static result<std::unique_ptr<node>> Create(const node_settings& settings,
                                              const runtime_clock& clock);

  /// Serves until a planned stop has ended. SIGTERM or SIGINT begins one, as
  /// does the operators' interface; SIGINT during a stop ends it immediately,
  /// while SIGTERM changes nothing. Returns false if requests were still in
  /// flight when the process stopped.
  bool Run();

 private:
  node(const node_settings& settings, const runtime_clock& clock);

  result<void> Open();
  void ScheduleTick();
  void WaitForSignal();
  void BeginDrain();
  void ContinueDrain();
  void Finish(bool is_clean);
  void Publish(std::shared_ptr<const routing_snapshot> snapshot);

  node_settings settings_;
  const runtime_clock& clock_;
  boost::asio::io_context context_{1};
  boost::asio::signal_set signals_{context_};
  boost::asio::steady_timer timer_{context_};
  std::unique_ptr<traffic_server> traffic_;
  std::unique_ptr<http_platform_client> platform_;
  std::unique_ptr<control_plane> control_;
  std::unique_ptr<link_hub> hub_;
  std::unique_ptr<node_admin> admin_;
  std::unique_ptr<admin_server> admin_server_;
  bool is_draining_ = false;
  bool is_clean_ = true;
  time_point drain_began_;
};

}  // namespace wagtailmount
