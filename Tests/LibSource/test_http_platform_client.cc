#include <boost/test/unit_test.hpp>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibSource/http_platform_client.h"

namespace wagtailmount {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Sends the same bytes on every connection and then closes it. With empty
/// `answer`, keeps connections open and sends nothing.
class canned_response_server {
 public:
  canned_response_server(asio::io_context& context, std::string answer)
      : acceptor_(context, tcp::endpoint(tcp::v4(), 0)),
        response_(std::move(answer)) {
    Accept();
  }

  endpoint Address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  std::size_t Connections() const { return connections_.size(); }
  const std::string& LastRequest() const { return last_request_; }

 private:
  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    asio::streambuf request;
  };

  void Accept() {
    acceptor_.async_accept([this](error_code failure, tcp::socket accepted) {
      if (failure) {
        return;
      }
      connections_.push_back(std::make_unique<connection>(std::move(accepted)));
      Serve(*connections_.back());
      Accept();
    });
  }

  void Serve(connection& one) {
    asio::async_read_until(
        one.socket, one.request, "\r\n\r\n",
        [this, &one](error_code failure, std::size_t size) {
          if (failure) {
            return;
          }
          last_request_.assign(asio::buffers_begin(one.request.data()),
                               asio::buffers_begin(one.request.data()) +
                                   static_cast<std::ptrdiff_t>(size));
          if (response_.empty()) {
            return;
          }
          asio::async_write(one.socket, asio::buffer(response_),
                            [&one](error_code, std::size_t) {
                              error_code ignored;
                              one.socket.shutdown(tcp::socket::shutdown_both,
                                                  ignored);
                              one.socket.close(ignored);
                            });
        });
  }

  tcp::acceptor acceptor_;
  std::string response_;
  std::string last_request_;
  std::vector<std::unique_ptr<connection>> connections_;
};

std::string HttpResponse(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

const std::string kFileContent = "{\"services\": []}";
const std::string kFileDigestHex = DigestOf(kFileContent).ToHex();
const std::string kEntryJson = R"({"name": "10-a.json", "digest": ")" +
                               kFileDigestHex + R"(", "size": 16})";
const std::string kVmJson =
    R"({"vm": "fsd-1", "region": "pk-central", "failure_domain": "fsd-hall",
        "service": "ledger", "peer": "127.0.0.1:7102",
        "hop": "127.0.0.1:7101", "state": "leaving"})";

/// Runs the event loop until one call is answered, for at most 10 s.
template <typename T, typename sender>
result<T> Await(asio::io_context& context, sender send) {
  std::optional<result<T>> answered;
  send([&answered](result<T> answer) { answered = std::move(answer); });
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
  while (!answered && std::chrono::steady_clock::now() < end) {
    context.run_one_for(std::chrono::milliseconds{100});
  }
  BOOST_REQUIRE(answered.has_value());
  return std::move(*answered);
}

http_platform_client::settings SettingsFor(std::vector<endpoint> addresses) {
  http_platform_client::settings chosen;
  chosen.addresses = std::move(addresses);
  chosen.call_timeout = std::chrono::milliseconds{300};
  chosen.connect_timeout = std::chrono::milliseconds{200};
  chosen.watch_timeout = std::chrono::milliseconds{300};
  return chosen;
}

struct invalid_response {
  const char* name;
  std::string answer;
  error_kind kind;
};

const invalid_response kInvalidResponses[] = {
    {"no response", "", error_kind::kTimeout},
    {"connection closed within the headers", "HTTP/1.1 200 OK\r\nCont",
     error_kind::kUnavailable},
    {"connection closed within the body",
     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"revision\": 1",
     error_kind::kUnavailable},
    {"not HTTP", "SSH-2.0-OpenSSH_9.2\r\n\r\n", error_kind::kInvalidInput},
    {"two Content-Length headers",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
     error_kind::kInvalidInput},
    {"body too large", "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n",
     error_kind::kInvalidInput},
    {"headers too large",
     "HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
     error_kind::kInvalidInput},
    {"a chunk extension of 1 MiB",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n27;" +
         std::string(std::size_t{1024} * 1024, 'x') +
         "\r\n{\"revision\": 1, \"entries\":[], \"vms\":[]}\r\n0\r\n\r\n",
     error_kind::kInvalidInput},
    {"rate limit exceeded", HttpResponse("429 Too Many Requests", "slow down"),
     error_kind::kOverLimit},
    {"server error", HttpResponse("503 Service Unavailable", "no"),
     error_kind::kUnavailable},
    {"forbidden", HttpResponse("403 Forbidden", "no"),
     error_kind::kInvalidInput},
    {"redirect", HttpResponse("302 Found", ""), error_kind::kInvalidInput},
    {"not JSON", HttpResponse("200 OK", "<html>"), error_kind::kInvalidInput},
    {"an array", HttpResponse("200 OK", "[]"), error_kind::kInvalidInput},
    {"no revision", HttpResponse("200 OK", R"({"entries": [], "vms": []})"),
     error_kind::kInvalidInput},
    {"a negative revision",
     HttpResponse("200 OK", R"({"revision": -1, "entries": [], "vms": []})"),
     error_kind::kInvalidInput},
    {"a number too large for any type",
     HttpResponse("200 OK", R"({"revision": 1e999, "entries": [], "vms": []})"),
     error_kind::kInvalidInput},
    {"a revision that is a string",
     HttpResponse("200 OK", R"({"revision": "7", "entries": [], "vms": []})"),
     error_kind::kInvalidInput},
    {"an element that is not an object",
     HttpResponse("200 OK", R"({"revision": {}, "entries": [7], "vms": [7]})"),
     error_kind::kInvalidInput},
};

const invalid_response kInvalidListings[] = {
    {"no entries", R"({"revision": 1})", error_kind::kInvalidInput},
    {"a short digest",
     R"({"revision": 1, "entries": [{"name": "a", "digest": "00", "size": 1}]})",
     error_kind::kInvalidInput},
    {"an entry without a size",
     R"({"revision": 1, "entries": [{"name": "a", "digest": ")" +
         kFileDigestHex + R"("}]})",
     error_kind::kInvalidInput},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_platform_client_suite)

BOOST_AUTO_TEST_CASE(ValidResponsesAreParsed) {
  asio::io_context context;
  canned_response_server folder(
      context, HttpResponse("200 OK", R"({"revision": 7, "next": "10-a.json",
                                    "later": 1, "entries": [)" +
                                          kEntryJson + "]}"));
  canned_response_server vms(
      context,
      HttpResponse("200 OK", R"({"revision": 3, "vms": [)" + kVmJson + "]}"));
  canned_response_server file(context, HttpResponse("200 OK", kFileContent));
  const auto client_of = [&](const canned_response_server& server) {
    return std::move(*http_platform_client::Create(
        context, SettingsFor({server.Address()})));
  };
  const auto to_folder = client_of(folder);
  const auto page = Await<listing_page>(
      context, [&](auto done) { to_folder->List("05-x", done); });
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page->revision == 7U);
  BOOST_TEST(page->next == "10-a.json");
  BOOST_TEST(page->entries.at(0).content_digest.ToHex() == kFileDigestHex);
  BOOST_TEST(folder.LastRequest().find("GET /v1/folder?after=05-x ") == 0U);
  const auto revision = Await<std::uint64_t>(
      context, [&](auto done) { to_folder->Watch(6, done); });
  BOOST_TEST(revision.value() == 7U);
  BOOST_TEST(folder.LastRequest().find("GET /v1/folder/watch?known=6 ") == 0U);

  const auto to_vms = client_of(vms);
  const auto list =
      Await<vm_page>(context, [&](auto done) { to_vms->ListVms("", done); });
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list->records.at(0).vm == "fsd-1");
  BOOST_TEST(list->records.at(0).hop.port == 7101);
  BOOST_TEST((list->records.at(0).state == vm_state::kLeaving));

  const auto to_file = client_of(file);
  const auto content = Await<std::string>(context, [&](auto done) {
    to_file->Read("10-a.json", DigestOf(kFileContent), done);
  });
  BOOST_TEST(content.value() == kFileContent);
  const auto other = Await<std::string>(context, [&](auto done) {
    to_file->Read("10-a.json", DigestOf("another"), done);
  });
  BOOST_TEST((other.error().kind == error_kind::kConflict));
}

BOOST_AUTO_TEST_CASE(InvalidResponsesReturnTheirErrorKind) {
  for (const auto& bad : kInvalidResponses) {
    BOOST_TEST_CONTEXT(bad.name) {
      asio::io_context context;
      canned_response_server server(context, bad.answer);
      const auto client = std::move(*http_platform_client::Create(
          context, SettingsFor({server.Address()})));
      const auto page = Await<listing_page>(
          context, [&](auto done) { client->List("", done); });
      const auto list = Await<vm_page>(
          context, [&](auto done) { client->ListVms("", done); });
      const auto watched = Await<std::uint64_t>(
          context, [&](auto done) { client->Watch(1, done); });
      for (const auto* failed :
           {page ? nullptr : &page.error(), list ? nullptr : &list.error(),
            watched ? nullptr : &watched.error()}) {
        BOOST_REQUIRE(failed != nullptr);
        BOOST_TEST((failed->kind == bad.kind), failed->message);
        BOOST_TEST(!failed->message.empty());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(InvalidListingErrorsNameTheJsonPath) {
  for (const auto& bad : kInvalidListings) {
    BOOST_TEST_CONTEXT(bad.name) {
      asio::io_context context;
      canned_response_server server(context,
                                    HttpResponse("200 OK", bad.answer));
      const auto client = std::move(*http_platform_client::Create(
          context, SettingsFor({server.Address()})));
      const auto page = Await<listing_page>(
          context, [&](auto done) { client->List("", done); });
      BOOST_REQUIRE(!page.has_value());
      BOOST_TEST((page.error().kind == bad.kind));
      BOOST_TEST(page.error().message.find("$.entries") != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(AMissingFileIsAConflict) {
  asio::io_context context;
  canned_response_server server(context, HttpResponse("404 Not Found", ""));
  const auto client = std::move(
      *http_platform_client::Create(context, SettingsFor({server.Address()})));
  const auto content = Await<std::string>(context, [&](auto done) {
    client->Read("10-a.json", DigestOf(""), done);
  });
  BOOST_TEST((content.error().kind == error_kind::kConflict));
}

BOOST_AUTO_TEST_CASE(MalformedNamesAreNotSent) {
  asio::io_context context;
  canned_response_server server(context, HttpResponse("200 OK", ""));
  const auto client = std::move(
      *http_platform_client::Create(context, SettingsFor({server.Address()})));
  const auto content = Await<std::string>(context, [&](auto done) {
    client->Read("../vms HTTP/1.1\r\n", DigestOf(""), done);
  });
  BOOST_TEST((content.error().kind == error_kind::kInvalidInput));
  BOOST_TEST(server.Connections() == 0U);
}

BOOST_AUTO_TEST_CASE(NextAddressIsTriedAfterAFailureAndTheWorkingOneIsKept) {
  asio::io_context context;
  std::optional<tcp::acceptor> closed(std::in_place, context,
                                      tcp::endpoint(tcp::v4(), 0));
  const endpoint dead{"127.0.0.1", closed->local_endpoint().port()};
  closed.reset();
  canned_response_server failing(context,
                                 HttpResponse("500 Internal Server Error", ""));
  canned_response_server good(context,
                              HttpResponse("200 OK", R"({"revision": 9})"));
  const auto client = std::move(*http_platform_client::Create(
      context, SettingsFor({dead, failing.Address(), good.Address()})));
  for (int i = 0; i < 3; ++i) {
    const auto revision = Await<std::uint64_t>(
        context, [&](auto done) { client->Watch(1, done); });
    BOOST_TEST(revision.value() == 9U);
  }
  BOOST_TEST(failing.Connections() == 1U);
  BOOST_TEST(good.Connections() == 3U);
}

BOOST_AUTO_TEST_CASE(AddressThatTimedOutIsNotTriedFirstAgain) {
  asio::io_context context;
  canned_response_server silent(context, "");
  canned_response_server good(context,
                              HttpResponse("200 OK", R"({"revision": 9})"));
  const auto client = std::move(*http_platform_client::Create(
      context, SettingsFor({silent.Address(), good.Address()})));
  const auto first =
      Await<std::uint64_t>(context, [&](auto done) { client->Watch(1, done); });
  BOOST_TEST((first.error().kind == error_kind::kTimeout));
  const auto second =
      Await<std::uint64_t>(context, [&](auto done) { client->Watch(1, done); });
  BOOST_TEST(second.value() == 9U);
}

BOOST_AUTO_TEST_CASE(CreateFailsWithoutAnAddress) {
  asio::io_context context;
  BOOST_TEST(!http_platform_client::Create(context, {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
