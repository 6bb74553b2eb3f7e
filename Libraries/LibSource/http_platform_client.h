#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "LibBase/endpoint.h"
#include "LibBase/error.h"
#include "LibSource/platform_client.h"

namespace wagtailmount {

/// Calls the platform over HTTP/1.1, as specified in docs/PROTOCOLS.md. Errors:
/// - kUnavailable: no address is reachable, or the platform answered 5xx or
///   closed the connection early;
/// - kTimeout: no complete answer before the deadline;
/// - kOverLimit: status 429;
/// - kConflict: the file was deleted or its content changed;
/// - kInvalidInput: the answer violates the protocol or a size limit.
class http_platform_client final : public platform_client {
 public:
  struct settings {
    /// Tried in turn, starting with the one that answered last.
    std::vector<endpoint> addresses;
    std::chrono::milliseconds connect_timeout{1'000};
    std::chrono::milliseconds call_timeout{4'000};
    /// More than the platform's longest wait of 30 s.
    std::chrono::milliseconds watch_timeout{35'000};
    std::size_t maximum_body_bytes = std::size_t{1024} * 1024;
  };

  /// Fails if there is no address. `context` must outlive the client; all calls
  /// must be made, and all answers arrive, on its thread. An answer may arrive
  /// after the client is destroyed, or before the call returns if a name is
  /// invalid.
  static result<std::unique_ptr<http_platform_client>> Create(
      boost::asio::io_context& context, const settings& chosen);

  ~http_platform_client() override;
  http_platform_client(const http_platform_client&) = delete;
  http_platform_client& operator=(const http_platform_client&) = delete;

  void List(std::string_view after, answer<listing_page> done) override;
  void Read(std::string_view name, const digest& content_digest,
            answer<std::string> done) override;
  void Watch(std::uint64_t known, answer<std::uint64_t> done) override;
  void ListVms(std::string_view after, answer<vm_page> done) override;

 private:
  struct shared_state;

  http_platform_client(boost::asio::io_context& context,
                       std::shared_ptr<shared_state> state);

  boost::asio::io_context& context_;
  std::shared_ptr<shared_state> state_;
};

}  // namespace wagtailmount
