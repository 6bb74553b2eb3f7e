#pragma once

#include "LibLoad/body_schedule.h"
#include "LibTraffic/http_message.h"

/// Large bodies between two nodes: the header section goes first, and the body
/// once the owner has told the sender to go ahead, at the rate it names.
namespace wagtailmount::detail {

/// Whether the owner is asked before the body of `request` is sent.
bool IsBodyAnnounced(const outgoing_request& request);

/// How an announced request was written.
struct announced_write {
  /// kNothingWritten as long as nothing of the body was written: without it,
  /// no owner runs the request.
  write_status written = write_status::kNothingWritten;
  /// The owner answered instead of telling the sender to go ahead. Nothing of
  /// the body was sent, and the answer is unread.
  bool is_answered = false;
};

/// Writes the header section of `request` with "Expect: 100-continue", waits
/// for the go-ahead, and writes the body. The connection's timeout must be set;
/// the body's sender is waited for until `deadline`.
task<announced_write> WriteAnnounced(http_connection& connection,
                                     outgoing_request& request,
                                     time_point deadline);

/// Tells the sender of a request to send its body, at a rate that is bounded
/// unless it is 0; false if the connection is lost.
task<bool> SendGoAhead(http_connection& sender, std::uint64_t bytes_a_second);

}  // namespace wagtailmount::detail
