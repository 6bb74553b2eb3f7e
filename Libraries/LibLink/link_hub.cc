// Compiled as C++17, since websocketpp is not valid C++20.
#include "LibLink/link_hub.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdint>
#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace wagtailmount {

namespace {

constexpr std::int64_t kConnectTimeoutMilliseconds = 2'000;
constexpr std::int64_t kHandshakeTimeoutMilliseconds = 3'000;
constexpr std::int64_t kCloseTimeoutMilliseconds = 1'000;

/// Sent data that is not acknowledged for so long closes the link, so that a
/// cut is noticed long before TCP itself would give up.
constexpr unsigned kUnacknowledgedTimeoutMilliseconds = 10'000;

constexpr std::size_t kMaximumHandshakeBodyBytes = 1024;
constexpr int kListenBacklog = 512;

/// What incoming and outgoing links have in common. Single-threaded, without
/// the library's own logs, and without its asynchronous locking.
template <typename base>
struct transport_settings : public base::transport_config {
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using concurrency_type = websocketpp::concurrency::none;
  static bool const enable_multithreading = false;
  static const std::int64_t timeout_connect = kConnectTimeoutMilliseconds;
};

template <typename base>
struct websocket_settings : public base {
  using type = websocket_settings<base>;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using concurrency_type = websocketpp::concurrency::none;
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_settings<base>>;
  static const std::int64_t timeout_open_handshake =
      kHandshakeTimeoutMilliseconds;
  static const std::int64_t timeout_close_handshake = kCloseTimeoutMilliseconds;
  static const std::size_t max_http_body_size = kMaximumHandshakeBodyBytes;
};

using acceptor =
    websocketpp::server<websocket_settings<websocketpp::config::asio>>;
using connector =
    websocketpp::client<websocket_settings<websocketpp::config::asio_client>>;

template <typename connection_ptr>
void PrepareSocket(const connection_ptr& connection) {
  auto& socket = connection->get_raw_socket();
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const unsigned timeout = kUnacknowledgedTimeoutMilliseconds;
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof timeout);
}

class websocket_link_hub final : public link_hub {
 public:
  websocket_link_hub(boost::asio::io_context& context, const settings& chosen,
                     link_listener& listener)
      : context_(context), settings_(chosen), listener_(listener) {}

  ~websocket_link_hub() override { Stop(); }

  websocket_link_hub(const websocket_link_hub&) = delete;
  websocket_link_hub& operator=(const websocket_link_hub&) = delete;

  result<void> Listen() {
    incoming_.init_asio(&context_);
    outgoing_.init_asio(&context_);
    incoming_.set_reuse_addr(true);
    incoming_.set_listen_backlog(kListenBacklog);
    incoming_.set_max_message_size(settings_.maximum_frame_bytes);
    outgoing_.set_max_message_size(settings_.maximum_frame_bytes);
    SetIncomingHandlers();
    boost::system::error_code failure;
    const auto address =
        boost::asio::ip::make_address(settings_.listen.address, failure);
    websocketpp::lib::error_code listen_failure;
    if (!failure) {
      incoming_.listen(
          boost::asio::ip::tcp::endpoint(address, settings_.listen.port),
          listen_failure);
    }
    if (failure || listen_failure) {
      return Fail(error_kind::kUnavailable,
                  "cannot listen for peers on " + settings_.listen.ToText());
    }
    incoming_.start_accept(listen_failure);
    const auto local = incoming_.get_local_endpoint(failure);
    listening_ = {local.address().to_string(), local.port()};
    return {};
  }

  link_id Open(const endpoint& peer) override {
    const link_id link = next_link_++;
    websocketpp::lib::error_code failure;
    auto connection =
        outgoing_.get_connection("ws://" + peer.ToText() + "/", failure);
    if (failure) {
      links_[link] = open_link{};
      ReportLater(link, failure.message());
      return link;
    }
    connection->set_tcp_post_init_handler(
        [connection = connection.get()](const websocketpp::connection_hdl&) {
          PrepareSocket(connection);
        });
    SetLinkHandlers(connection, link, true);
    links_[link] = open_link{{}, connection, link_state::kOpening};
    outgoing_.connect(connection);
    return link;
  }

  void Close(link_id link) override {
    const auto found = links_.find(link);
    if (found == links_.end() || found->second.state == link_state::kClosing) {
      return;
    }
    found->second.state = link_state::kClosing;
    if (found->second.from_peer) {
      CloseConnection(*found->second.from_peer);
    }
    if (found->second.to_peer) {
      CloseConnection(*found->second.to_peer);
    }
  }

  bool Send(link_id link, std::string_view frame) override {
    const auto found = links_.find(link);
    const bool is_sent =
        found != links_.end() && found->second.state == link_state::kOpen &&
        frame.size() <= settings_.maximum_frame_bytes &&
        (found->second.from_peer ? Write(*found->second.from_peer, frame)
                                 : Write(*found->second.to_peer, frame));
    if (!is_sent) {
      ++counters_.frames_refused;
      return false;
    }
    ++counters_.frames_sent;
    counters_.bytes_sent += frame.size();
    return true;
  }

  link_counters Counters() const override { return counters_; }

  endpoint Listening() const override { return listening_; }

  void Stop() override {
    if (is_stopped_) {
      return;
    }
    is_stopped_ = true;
    websocketpp::lib::error_code ignored;
    if (incoming_.is_listening()) {
      incoming_.stop_listening(ignored);
    }
    while (!links_.empty()) {
      const auto link = links_.begin()->first;
      Close(link);
      links_.erase(link);
    }
  }

 private:
  enum class link_state { kOpening, kOpen, kClosing };

  /// One of the two connections is set; neither for a link that never began.
  struct open_link {
    acceptor::connection_ptr from_peer;
    connector::connection_ptr to_peer;
    link_state state = link_state::kClosing;
  };

  void SetIncomingHandlers() {
    incoming_.set_tcp_post_init_handler(
        [this](const websocketpp::connection_hdl& hdl) {
          PrepareSocket(incoming_.get_con_from_hdl(hdl));
        });
    incoming_.set_validate_handler(
        [this](const websocketpp::connection_hdl& hdl) {
          return AdmitIncoming(incoming_.get_con_from_hdl(hdl));
        });
    incoming_.set_fail_handler([this](const websocketpp::connection_hdl&) {
      if (!is_stopped_) {
        ++counters_.links_failed;
      }
    });
  }

  bool AdmitIncoming(const acceptor::connection_ptr& connection) {
    if (is_stopped_ || links_.size() >= settings_.maximum_links) {
      ++counters_.links_refused;
      connection->set_status(
          websocketpp::http::status_code::service_unavailable);
      return false;
    }
    const link_id link = next_link_++;
    SetLinkHandlers(connection, link, false);
    links_[link] = open_link{connection, {}, link_state::kOpening};
    return true;
  }

  template <typename connection_ptr>
  void SetLinkHandlers(const connection_ptr& connection, link_id link,
                       bool is_outgoing) {
    connection->set_open_handler(
        [this, link, is_outgoing](const websocketpp::connection_hdl&) {
          OnOpened(link, is_outgoing);
        });
    auto* const raw = connection.get();
    connection->set_fail_handler(
        [this, link, raw](const websocketpp::connection_hdl&) {
          if (!is_stopped_) {
            ++counters_.links_failed;
          }
          OnEnded(link, raw->get_ec().message());
        });
    connection->set_close_handler(
        [this, link, raw](const websocketpp::connection_hdl&) {
          OnEnded(link, raw->get_ec() ? raw->get_ec().message()
                                      : raw->get_remote_close_reason());
        });
    connection->set_message_handler(
        [this, link](const websocketpp::connection_hdl&,
                     const acceptor::message_ptr& received) {
          OnReceived(link, received->get_opcode(), received->get_payload());
        });
  }

  void OnOpened(link_id link, bool is_outgoing) {
    const auto found = links_.find(link);
    if (found == links_.end() || found->second.state != link_state::kOpening) {
      return;
    }
    found->second.state = link_state::kOpen;
    listener_.OnLinkOpened(link, is_outgoing);
  }

  void OnReceived(link_id link, websocketpp::frame::opcode::value kind,
                  const std::string& payload) {
    const auto found = links_.find(link);
    if (found == links_.end() || found->second.state != link_state::kOpen) {
      return;
    }
    if (kind != websocketpp::frame::opcode::binary) {
      ++counters_.frames_unfit;
      Close(link);
      return;
    }
    ++counters_.frames_received;
    counters_.bytes_received += payload.size();
    listener_.OnFrame(link, payload);
  }

  void OnEnded(link_id link, const std::string& reason) {
    if (links_.erase(link) > 0 && !is_stopped_) {
      listener_.OnLinkClosed(link, reason);
    }
  }

  void ReportLater(link_id link, std::string reason) {
    boost::asio::post(context_, [this, link, reason = std::move(reason)] {
      OnEnded(link, reason);
    });
  }

  template <typename connection>
  static void CloseConnection(connection& peer) {
    websocketpp::lib::error_code failure;
    peer.close(websocketpp::close::status::going_away, "", failure);
    if (failure) {
      // A link that is not open yet has no closing handshake.
      peer.terminate(websocketpp::lib::error_code());
    }
  }

  template <typename connection>
  bool Write(connection& peer, std::string_view frame) {
    // The library counts what waits, but not the batch that it is writing,
    // which may be as large.
    const std::size_t bound = settings_.maximum_buffered_bytes / 2;
    if (peer.get_buffered_amount() + frame.size() > bound) {
      return false;
    }
    return !peer.send(frame.data(), frame.size(),
                      websocketpp::frame::opcode::binary);
  }

  boost::asio::io_context& context_;
  settings settings_;
  link_listener& listener_;
  acceptor incoming_;
  connector outgoing_;
  std::map<link_id, open_link> links_;
  link_id next_link_ = 1;
  link_counters counters_;
  endpoint listening_;
  bool is_stopped_ = false;
};

}  // namespace

result<std::unique_ptr<link_hub>> link_hub::Create(
    boost::asio::io_context& context, const settings& chosen,
    link_listener& listener) {
  auto hub = std::make_unique<websocket_link_hub>(context, chosen, listener);
  const auto listening = hub->Listen();
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  return hub;
}

}  // namespace wagtailmount
