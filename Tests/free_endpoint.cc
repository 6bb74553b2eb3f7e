#include "Tests/free_endpoint.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <mutex>
#include <stdexcept>
#include <string>

namespace wagtailmount::testing {

namespace {

constexpr unsigned kFirstPort = 20'000;
constexpr unsigned kPorts = 4'000;
constexpr unsigned kPortsInBlock = 50;
constexpr unsigned kBlocks = kPorts / kPortsInBlock;

/// A probe of a port doesn't keep it, so two processes could find the same one
/// free. A name in the abstract namespace of sockets is held by one process,
/// until it ends.
bool ClaimBlock(unsigned block) {
  const std::string name = "wagtailmount-test-ports-" +
                           std::to_string(kFirstPort + block * kPortsInBlock);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::copy(name.begin(), name.end(), address.sun_path + 1);
  const auto length =
      static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  const int claim = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::bind(claim, reinterpret_cast<const sockaddr*>(&address), length) == 0) {
    return true;
  }
  ::close(claim);
  return false;
}

bool IsFree(std::uint16_t port) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor probe(context);
  boost::system::error_code failure;
  probe.open(boost::asio::ip::tcp::v4(), failure);
  probe.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true),
                   failure);
  probe.bind({boost::asio::ip::make_address("127.0.0.1"), port}, failure);
  return !failure;
}

/// The ports of one process, from as many blocks as it needs.
class port_supply {
 public:
  std::uint16_t Take() {
    const std::lock_guard lock{mutex_};
    while (true) {
      while (next_ != end_) {
        const auto port = static_cast<std::uint16_t>(next_++);
        if (IsFree(port)) {
          return port;
        }
      }
      ClaimNextBlock();
    }
  }

 private:
  void ClaimNextBlock() {
    for (; tried_ < kBlocks; ++tried_) {
      const unsigned block =
          (static_cast<unsigned>(getpid()) + tried_) % kBlocks;
      if (ClaimBlock(block)) {
        ++tried_;
        next_ = kFirstPort + block * kPortsInBlock;
        end_ = next_ + kPortsInBlock;
        return;
      }
    }
    throw std::runtime_error{"no port for tests is left"};
  }

  std::mutex mutex_;
  unsigned tried_ = 0;
  unsigned next_ = 0;
  unsigned end_ = 0;
};

}  // namespace

endpoint FreeEndpoint() {
  static port_supply supply;
  return {"127.0.0.1", supply.Take()};
}

}  // namespace wagtailmount::testing
