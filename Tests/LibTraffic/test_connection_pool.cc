// The idle connections of one traffic thread, to listeners of this test.

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "LibTraffic/connection_pool.h"
#include "Tests/free_endpoint.h"

namespace wagtailmount::detail {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A node that accepts connections and may leave.
class listening_node {
 public:
  explicit listening_node(boost::asio::io_context& context)
      : acceptor_(context,
                  tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}),
        context_(context) {}

  endpoint Address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  std::unique_ptr<http_connection> ConnectTo() {
    auto connection =
        std::make_unique<http_connection>(context_.get_executor());
    connection->stream.socket().connect(acceptor_.local_endpoint());
    accepted_.push_back(acceptor_.accept());
    return connection;
  }

  void Leave() { accepted_.clear(); }

 private:
  tcp::acceptor acceptor_;
  boost::asio::io_context& context_;
  std::vector<tcp::socket> accepted_;
};

struct pool_fixture {
  void KeepTo(listening_node& node, int count) {
    for (int number = 0; number < count; ++number) {
      pool.Keep(node.Address(), node.ConnectTo(), clock.Now());
    }
  }

  void CloseUnused() { pool.CloseUnused(clock.Now(), seconds{30}, kBackend); }

  const endpoint kBackend{"127.0.0.1", 1};
  boost::asio::io_context context;
  manual_clock clock;
  connection_pool pool;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(connection_pool_suite, pool_fixture)

// Guards against descriptors that run out because connections to nodes that
// have left stay open.
BOOST_AUTO_TEST_CASE(ConnectionsToANodeThatHasLeftAreClosed) {
  listening_node leaving{context};
  listening_node staying{context};
  for (int round = 0; round < 20; ++round) {
    KeepTo(leaving, 10);
    KeepTo(staying, 1);
    leaving.Leave();
    clock.Advance(milliseconds{1'100});
    CloseUnused();
    BOOST_TEST(pool.Size() <= static_cast<std::size_t>(round + 1));
  }
  BOOST_TEST(pool.Take(staying.Address(), clock.Now(), seconds{30}));
}

BOOST_AUTO_TEST_CASE(ConnectionsIdleForTooLongAreClosedBesideUsedOnes) {
  listening_node node{context};
  KeepTo(node, 18);
  for (int second = 0; second < 32; ++second) {
    clock.Advance(seconds{1});
    auto used = pool.Take(node.Address(), clock.Now(), seconds{30});
    BOOST_REQUIRE(used);
    pool.Keep(node.Address(), std::move(used), clock.Now());
    CloseUnused();
  }
  BOOST_TEST(pool.Size() == 1U);
}

// Their close tells that the backend server has ended, which Take() reports.
BOOST_AUTO_TEST_CASE(ClosedConnectionsToTheBackendServerAreReported) {
  listening_node backend_server{context};
  KeepTo(backend_server, 1);
  backend_server.Leave();
  clock.Advance(seconds{2});
  pool.CloseUnused(clock.Now(), seconds{30}, backend_server.Address());
  BOOST_TEST(!pool.Take(backend_server.Address(), clock.Now(), seconds{30}));
  BOOST_TEST(pool.TakeClosedIdleSince().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount::detail
