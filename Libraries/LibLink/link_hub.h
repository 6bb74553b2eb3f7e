#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "LibBase/endpoint.h"
#include "LibBase/error.h"

namespace wagtailmount {

/// Names one link of this process; never used twice.
using link_id = std::uint64_t;

/// What a link hub reports, always on the thread that runs its io_context.
class link_listener {
 public:
  virtual ~link_listener() = default;

  virtual void OnLinkOpened(link_id link, bool is_outgoing) = 0;
  virtual void OnFrame(link_id link, std::string_view frame) = 0;
  /// Reported once for every link that was opened or asked for, also when it
  /// could not be opened and when this process closed it. Never called from
  /// within Open(), Close() or Send().
  virtual void OnLinkClosed(link_id link, std::string_view reason) = 0;
};

struct link_counters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_refused =
      0;  ///< Not sent since the receiver is too slow, or oversized.
  std::uint64_t frames_unfit = 0;   ///< Received, but not binary.
  std::uint64_t links_refused = 0;  ///< Incoming, over `maximum_links`.
  std::uint64_t links_failed = 0;   ///< Never got through the handshake.
};

/// Control links to other nodes: websockets with binary frames. Nothing blocks:
/// a receiver with more than `maximum_buffered_bytes` unsent gets no further
/// frame until it catches up.
class link_hub {
 public:
  struct settings {
    endpoint listen;
    std::size_t maximum_buffered_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t maximum_frame_bytes = std::size_t{3} * 1024 * 1024;
    std::size_t maximum_links = 512;  ///< Incoming links are refused past that.
  };

  /// Fails when the address can't be listened on. `context` and `listener` must
  /// outlive the hub, and `context` must not be run once the hub is destroyed.
  /// `context` is run by one thread, which makes every call.
  static result<std::unique_ptr<link_hub>> Create(
      boost::asio::io_context& context, const settings& chosen,
      link_listener& listener);

  virtual ~link_hub() = default;

  virtual link_id Open(const endpoint& peer) = 0;
  virtual void Close(link_id link) = 0;

  /// False when the frame was not taken: unknown link, oversized frame or slow
  /// receiver.
  virtual bool Send(link_id link, std::string_view frame) = 0;

  virtual link_counters Counters() const = 0;

  /// Where the hub listens; tells the port when port 0 was asked for.
  virtual endpoint Listening() const = 0;

  /// Stops listening and closes every link; nothing is reported after that.
  virtual void Stop() = 0;
};

}  // namespace wagtailmount
