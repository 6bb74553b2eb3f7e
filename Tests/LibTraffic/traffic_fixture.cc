#include "Tests/LibTraffic/traffic_fixture.h"

#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <limits>
#include <stdexcept>
#include <thread>

#include "Tests/LibTraffic/raw_http.h"

namespace wagtailmount::testing {

namespace {

using std::chrono::milliseconds;

constexpr int kReceiveTimeoutMs = 10'000;

std::shared_ptr<const route> MakeRoute(
    const std::string& prefix, const std::shared_ptr<const service>& target,
    const std::shared_ptr<const retry_policy>& retry,
    const fixture_options& options) {
  auto made = std::make_shared<route>();
  made->name = prefix;
  made->path_prefix = prefix;
  made->target = target;
  made->retry = retry;
  made->deadline = options.deadline;
  made->latency_objective = options.latency_objective;
  if (prefix == "/background") {
    made->priority = request_priority::kBackground;
  }
  if (prefix == "/repeatable") {
    made->repeatable = idempotency::kAlways;
  }
  return made;
}

structured_log::settings LogSettings(int descriptor) {
  structured_log::settings chosen;
  chosen.descriptor = descriptor;
  chosen.capacity = 4'096;
  chosen.lines_a_second = 4'096;
  chosen.bytes_a_flush = std::size_t{16} * 1024 * 1024;
  return chosen;
}

bool HasTestCaseFailed() {
  namespace unit_test = boost::unit_test;
  return !unit_test::results_collector_t::instance()
              .results(unit_test::framework::current_test_case_id())
              .passed();
}

}  // namespace

test_log::test_log(const runtime_clock& clock)
    : descriptor_(::memfd_create("log", 0)),
      log_(LogSettings(descriptor_), clock) {}

test_log::~test_log() { ::close(descriptor_); }

std::string test_log::Text() {
  log_.Flush();
  std::string text;
  char buffer[65536];
  for (ssize_t count = 1; count > 0;) {
    count = ::pread(descriptor_, buffer, sizeof(buffer),
                    static_cast<off_t>(text.size()));
    text.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(0, count)));
  }
  return text;
}

fixture_options SingleSlotOptions() {
  fixture_options options;
  options.limits.slots = 1;
  options.attempts = 1;
  options.deadline = std::chrono::milliseconds{5'000};
  return options;
}

traffic_fixture::traffic_fixture(int owners, fixture_options options,
                                 std::uint32_t threads)
    : options_(options), threads_(threads) {
  for (int number = 0; number <= owners; ++number) {
    test_vm made;
    made.vm = "vm-" + std::to_string(number);
    made.failure_domain = "fsd-hall";
    made.backend_server = std::make_unique<fake_backend_server>();
    made.backend_address = made.backend_server->Address();
    made.log = std::make_unique<test_log>(clock_);
    StartNode(made, number == 0 ? "other" : "ledger");
    vms_.push_back(std::move(made));
  }
}

traffic_fixture::~traffic_fixture() {
  if (!HasTestCaseFailed()) {
    return;
  }
  for (const test_vm& each : vms_) {
    std::cerr << "-- " << each.vm << " logged:\n" << each.log->Text();
  }
}

void traffic_fixture::StartNode(test_vm& vm, const std::string& service) {
  traffic_settings settings;
  settings.vm = vm.vm;
  settings.failure_domain = vm.failure_domain;
  settings.region = "pk-central";
  settings.service = service;
  settings.caller = vm.caller_address;
  settings.hop = vm.hop_address;
  settings.backend_server = vm.backend_address;
  settings.threads = threads_;
  settings.maximum_descriptors = options_.maximum_descriptors;
  settings.link_megabits_per_second = options_.link_megabits_per_second;
  settings.fields.expected_backend_server = options_.expected_backend_server;
  settings.cold_overage = options_.cold_overage;
  settings.cold_slack = options_.cold_slack;
  settings.fields.may_end_with_connection = options_.may_end_with_connection;
  auto started = traffic_server::Start(settings, clock_, &vm.log->Log());
  if (!started) {
    throw std::runtime_error(started.error().message);
  }
  vm.server = std::move(*started);
}

void traffic_fixture::RestartOwner(int number) {
  test_vm& owner = Owner(number);
  owner.server.reset();
  StartNode(owner, "ledger");
}

void traffic_fixture::RestartEntry() {
  Entry().server.reset();
  StartNode(Entry(), "other");
}

void traffic_fixture::RestartBackendServer(int number) {
  test_vm& owner = Owner(number);
  owner.backend_server.reset();
  owner.backend_server =
      std::make_unique<fake_backend_server>(owner.backend_address);
}

std::shared_ptr<const configuration> traffic_fixture::MakeConfiguration()
    const {
  auto ledger = std::make_shared<service>();
  ledger->name = "ledger";
  ledger->limits = options_.limits;
  auto other = std::make_shared<service>();
  other->name = "other";
  auto retry = std::make_shared<retry_policy>();
  retry->attempts = options_.attempts;
  retry->budget_share = options_.budget_share;
  configuration::contents parts;
  parts.version.revision = 1;
  parts.services = {ledger, other};
  parts.limits.idle_timeout = options_.idle_timeout;
  parts.limits.header_timeout = options_.header_timeout;
  for (const char* prefix : {"/background", "/repeatable", "/"}) {
    parts.routes.push_back(MakeRoute(prefix, ledger, retry, options_));
  }
  auto split =
      std::make_shared<route>(*MakeRoute("/split", ledger, retry, options_));
  split->parts = {{ledger, 3}, {other, 1}};
  parts.routes.push_back(std::move(split));
  return std::make_shared<const configuration>(std::move(parts));
}

std::shared_ptr<const routing_snapshot> traffic_fixture::MakeSnapshot(
    const std::function<void(upstream&)>& edit_upstream,
    const std::optional<own_backend_server>& own) const {
  auto ledger = std::make_shared<service_upstreams>();
  ledger->service = "ledger";
  for (std::size_t number = 1; number < vms_.size(); ++number) {
    upstream made;
    made.vm = vms_[number].vm;
    made.failure_domain = vms_[number].failure_domain;
    made.region = "pk-central";
    made.hop = vms_[number].hop_address;
    made.incarnation = 1;
    if (!options_.expected_backend_server.empty()) {
      made.backend_server_id = "backend-" + made.vm;
    }
    if (edit_upstream) {
      edit_upstream(made);
    }
    ledger->upstreams.push_back(made);
  }
  return std::make_shared<const routing_snapshot>(
      MakeConfiguration(),
      std::vector<std::shared_ptr<const service_upstreams>>{ledger}, own);
}

void traffic_fixture::PublishTo(
    test_vm& vm, const std::function<void(upstream&)>& edit_upstream,
    const std::optional<own_backend_server>& own) {
  vm.server->Publish(MakeSnapshot(edit_upstream, own));
}

void traffic_fixture::Publish(
    const std::function<void(upstream&)>& edit_upstream,
    const std::optional<own_backend_server>& own) {
  const auto snapshot = MakeSnapshot(edit_upstream, own);
  for (test_vm& vm : vms_) {
    vm.server->Publish(snapshot);
  }
}

std::string received_answer::Field(const std::string& name) const {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

test_caller::test_caller(const endpoint& address) {
  socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in socket_address = AddressOf(address);
  if (::connect(socket_, reinterpret_cast<const sockaddr*>(&socket_address),
                sizeof(socket_address)) != 0) {
    throw std::runtime_error("cannot connect to " + address.ToText());
  }
}

test_caller::~test_caller() { Close(); }

void test_caller::Close() {
  if (socket_ >= 0) {
    ::close(socket_);
    socket_ = -1;
  }
}

bool test_caller::Send(std::string_view text) { return SendAll(socket_, text); }

received_answer test_caller::Receive(bool has_no_body) {
  namespace http = boost::beast::http;
  received_answer answer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  parser.eager(true);
  parser.skip(has_no_body);
  while (!parser.is_done()) {
    boost::system::error_code failure;
    const std::size_t consumed =
        parser.put(boost::asio::buffer(unread_), failure);
    const bool is_header_newly_complete =
        answer.head.empty() && parser.is_header_done();
    if (is_header_newly_complete) {
      answer.head = unread_.substr(0, unread_.find("\r\n\r\n") + 2);
    }
    unread_.erase(0, consumed);
    if (parser.is_done() || (failure && failure != http::error::need_more)) {
      break;
    }
    pollfd polled{socket_, POLLIN, 0};
    char buffer[65536];
    if (::poll(&polled, 1, kReceiveTimeoutMs) <= 0) {
      break;
    }
    const auto count = ::recv(socket_, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      break;
    }
    unread_.append(buffer, static_cast<std::size_t>(count));
  }
  answer.is_complete = parser.is_done();
  if (parser.is_header_done()) {
    answer.status = static_cast<int>(parser.get().result_int());
    answer.body = parser.get().body();
  }
  return answer;
}

std::optional<std::string> test_caller::Discard(milliseconds limit) {
  constexpr std::size_t kKeptBytes = 16;
  const auto end = std::chrono::steady_clock::now() + limit;
  std::string last;
  while (std::chrono::steady_clock::now() < end) {
    pollfd polled{socket_, POLLIN, 0};
    char buffer[65536];
    if (::poll(&polled, 1, 10) <= 0) {
      continue;
    }
    const auto count = ::recv(socket_, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      return last;
    }
    last.append(buffer, static_cast<std::size_t>(count));
    last.erase(0, last.size() - std::min(last.size(), kKeptBytes));
  }
  return std::nullopt;
}

bool test_caller::IsClosed() {
  pollfd polled{socket_, POLLIN, 0};
  char byte = 0;
  return ::poll(&polled, 1, 1'500) > 0 && ::recv(socket_, &byte, 1, 0) <= 0;
}

bool test_caller::HasPeerReadEverything() {
  constexpr milliseconds kResetDelay{50};
  std::this_thread::sleep_for(kResetDelay);
  pollfd polled{socket_, POLLIN, 0};
  ::poll(&polled, 1, 0);
  return (polled.revents & (POLLERR | POLLHUP)) == 0;
}

received_answer Call(const endpoint& address, const std::string& method,
                     const std::string& target, const std::string& header_lines,
                     const std::string& body) {
  test_caller caller{address};
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: ledger\r\n";
  request += header_lines;
  if (!body.empty()) {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  caller.Send(request + "\r\n" + body);
  return caller.Receive(method == "HEAD");
}

bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + milliseconds{5'000};
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds{2});
  }
  return true;
}

}  // namespace wagtailmount::testing
