// The store client against a store that answers piece by piece, or never ends.
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "platform/store_client.h"

namespace asio = boost::asio;
using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

// Freed memory that the address sanitizer holds back would count as held.
extern "C" const char* __asan_default_options();
extern "C" const char* __asan_default_options() {
  return "quarantine_size_mb=1";
}

namespace {

// Answers one call with `pieces`, pausing before each one; an endless store
// then sends the last one again and again.
class dribbling_store {
 public:
  dribbling_store(std::vector<std::string> pieces, milliseconds pause,
                  bool is_endless = false)
      : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this, pieces = std::move(pieces), pause, is_endless] {
          asio::ip::tcp::socket socket{context_};
          acceptor_.accept(socket);
          asio::streambuf asked;
          asio::read_until(socket, asked, "\r\n\r\n");
          boost::system::error_code failure;
          for (const std::string& piece : pieces) {
            std::this_thread::sleep_for(pause);
            asio::write(socket, asio::buffer(piece), failure);
          }
          while (is_endless && !failure) {
            asio::write(socket, asio::buffer(pieces.back()), failure);
          }
          // Until the client goes.
          std::string rest(1, '\0');
          socket.read_some(asio::buffer(rest), failure);
        }) {}
  ~dribbling_store() { thread_.join(); }
  dribbling_store(const dribbling_store&) = delete;
  dribbling_store& operator=(const dribbling_store&) = delete;

  endpoint Address() {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

long PeakMemoryKilobytes() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  return used.ru_maxrss;
}

result<catalog_page> ListFrom(dribbling_store& store) {
  asio::io_context context;
  std::optional<result<catalog_page>> listed;
  {
    platform::store_client client{context, store.Address()};
    client.List("", false, [&](result<catalog_page> answered) {
      listed = std::move(answered);
    });
    context.run();
  }
  BOOST_REQUIRE(listed);
  return *std::move(listed);
}

// A whole answer without items: its head, then the body in `count` pieces.
std::vector<std::string> PiecesOfAnswer(std::size_t count,
                                        const std::string& fields = {}) {
  const std::string body = R"({"items":[],"has-more":false,"at-rev":7})";
  std::vector<std::string> pieces{
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + fields +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"};
  const std::size_t size = (body.size() + count - 1) / count;
  for (std::size_t begin = 0; begin < body.size(); begin += size) {
    pieces.push_back(body.substr(begin, size));
  }
  return pieces;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_client_suite)

BOOST_AUTO_TEST_CASE(AnAnswerIsWaitedForWhileItComes) {
  dribbling_store store{PiecesOfAnswer(6), milliseconds{400}};
  const auto listed = ListFrom(store);
  BOOST_REQUIRE(listed);
  BOOST_TEST(listed->revision == 7U);
}

BOOST_AUTO_TEST_CASE(AnAnswerThatStopsIsGivenUp) {
  auto pieces = PiecesOfAnswer(3);
  pieces.pop_back();
  dribbling_store store{pieces, milliseconds{10}};
  const auto begin = std::chrono::steady_clock::now();
  const auto listed = ListFrom(store);
  BOOST_REQUIRE(!listed);
  BOOST_TEST((listed.error().kind == error_kind::kTimeout));
  BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds{2'500}));
}

// Guards against a bad answer that takes a large part of a VM's memory.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndEndsInBoundedMemory) {
  constexpr long kMaximumGrowthKilobytes = 16 * 1024;
  const std::string bytes(0x10000, 'x');
  const std::string chunk = "10000\r\n" + bytes + "\r\n";
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  const std::pair<std::string, std::string> table[] = {
      {status_line + "Content-Length: 9000000000000\r\n\r\n", bytes},
      {status_line + "Transfer-Encoding: chunked\r\n\r\n", chunk},
      {status_line + "Transfer-Encoding: chunked\r\n\r\n5;", bytes},
      {status_line + "Connection: close\r\n\r\n", bytes},
      {status_line + "X-Long: ", bytes},
      {"", bytes},
  };
  for (const auto& [begin, repeated] : table) {
    const long before = PeakMemoryKilobytes();
    dribbling_store store{{begin, repeated}, milliseconds{0}, true};
    BOOST_TEST(!ListFrom(store).has_value());
    BOOST_TEST(PeakMemoryKilobytes() - before <= kMaximumGrowthKilobytes);
  }
}

// Guards against changes that are asked for again and again, as they are too
// long to be told at once.
BOOST_AUTO_TEST_CASE(ChangesThatAreTooLongForOneAnswerAskForAListing) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n";
  dribbling_store store{{head}, milliseconds{0}};
  asio::io_context context;
  std::optional<result<catalog_changes>> told;
  platform::store_client client{context, store.Address()};
  client.Watch(7, milliseconds{100}, [&](result<catalog_changes> answered) {
    told = std::move(answered);
  });
  context.run();
  BOOST_REQUIRE(told);
  BOOST_REQUIRE(!told->has_value());
  BOOST_TEST((told->error().kind == error_kind::kConflict));
}

BOOST_AUTO_TEST_CASE(TheEraOfAnAnswerIsRead) {
  dribbling_store without{PiecesOfAnswer(1), milliseconds{0}};
  BOOST_TEST(ListFrom(without)->era == 0U);
  dribbling_store with{PiecesOfAnswer(1, "Store-Era: 12\r\n"), milliseconds{0}};
  BOOST_TEST(ListFrom(with)->era == 12U);
  dribbling_store malformed{PiecesOfAnswer(1, "Store-Era: 1x\r\n"),
                            milliseconds{0}};
  const auto refused = ListFrom(malformed);
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().kind == error_kind::kInvalidInput));
}

BOOST_AUTO_TEST_SUITE_END()
