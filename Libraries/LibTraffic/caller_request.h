#pragma once

#include <memory>

#include "LibTraffic/caller_line.h"

namespace wagtailmount::detail {

/// One request of a caller, from its header section to its answer.
class caller_request {
 public:
  /// `line` must outlive the request.
  static std::unique_ptr<caller_request> Make(traffic_worker& worker,
                                              caller_line& line);

  virtual ~caller_request() = default;

  /// Takes its place behind the other requests of the connection.
  virtual void Join() = 0;

  /// Its place in the line; zero before it has joined.
  virtual line_ticket Ticket() const = 0;

  /// Parses a request that was sent behind others, from the connection's
  /// buffer. Joins the line if it can be served beside them; otherwise false,
  /// and Serve() goes on with it once it is the only one.
  virtual bool ReadBehind() = 0;

  /// Reads and serves the request, and answers it when its turn has come. It
  /// must have joined the line.
  virtual task<next_step> Serve() = 0;
};

}  // namespace wagtailmount::detail
