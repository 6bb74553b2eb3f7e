// Measures the latency, CPU time and allocations that nodes add to a call. Each
// run alternates between calls sent directly to a backend server, through the
// node beside it, and through a node on another VM and then the node beside it.
// Calls follow a fixed schedule: the latency of a call that starts late because
// of the call before it includes that delay.
//
// Usage: benchmark_added_latency [CALLS_PER_SECOND [SECONDS]]

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Benchmarks/LibTraffic/counted_allocations.h"
#include "LibTraffic/traffic_server.h"

namespace {

using namespace wagtailmount;  // NOLINT(google-build-using-namespace)
using std::chrono::microseconds;
using std::chrono::steady_clock;

sockaddr_in AddressOf(const endpoint& target) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(target.port);
  inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
  return address;
}

int OpenSocket(const endpoint& target, bool is_listener) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int yes = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  sockaddr_in address = AddressOf(target);
  auto* const generic_address = reinterpret_cast<sockaddr*>(&address);
  const int failure = is_listener
                          ? ::bind(socket, generic_address, sizeof(address))
                          : ::connect(socket, generic_address, sizeof(address));
  if (failure != 0 || (is_listener && ::listen(socket, 128) != 0)) {
    std::perror(target.ToText().c_str());
    std::exit(1);
  }
  return socket;
}

// Answers every request immediately, with a thread for each connection.
// Requests must have no body and fit in one read.
void ServeAsBackendServer(int listener) {
  while (true) {
    const int socket = ::accept(listener, nullptr, nullptr);
    const int yes = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    std::thread{[socket] {
      constexpr std::string_view kAnswer =
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
      std::array<char, 4096> request{};
      while (::recv(socket, request.data(), request.size(), 0) > 0) {
        ::send(socket, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL);
      }
      ::close(socket);
    }}.detach();
  }
}

std::unique_ptr<traffic_server> StartNode(int number, const endpoint& backend,
                                          const runtime_clock& clock) {
  traffic_settings settings;
  settings.vm = "vm-" + std::to_string(number);
  settings.failure_domain = "fsd-hall";
  settings.region = "pk-central";
  settings.service = number == 0 ? "other" : "ledger";
  const auto port = static_cast<std::uint16_t>(23'100 + 10 * number);
  settings.caller = {"127.0.0.1", port};
  settings.hop = {"127.0.0.1", static_cast<std::uint16_t>(port + 1)};
  settings.backend_server = backend;
  auto started = traffic_server::Start(settings, clock);
  if (!started) {
    std::fprintf(stderr, "%s\n", started.error().message.c_str());
    std::exit(1);
  }
  return std::move(*started);
}

std::shared_ptr<const routing_snapshot> MakeSnapshot() {
  auto ledger = std::make_shared<service>();
  ledger->name = "ledger";
  auto ledger_route = std::make_shared<route>();
  ledger_route->name = "ledger";
  ledger_route->path_prefix = "/";
  ledger_route->target = ledger;
  ledger_route->retry = std::make_shared<retry_policy>();
  configuration::contents contents;
  contents.services = {ledger};
  contents.routes = {ledger_route};
  auto upstreams = std::make_shared<service_upstreams>();
  upstreams->service = "ledger";
  upstream owner;
  owner.vm = "vm-1";
  owner.failure_domain = "fsd-hall";
  owner.region = "pk-central";
  owner.hop = {"127.0.0.1", 23'111};
  upstreams->upstreams = {owner};
  return std::make_shared<const routing_snapshot>(
      std::make_shared<const configuration>(std::move(contents)),
      std::vector<std::shared_ptr<const service_upstreams>>{upstreams});
}

struct call_path {
  const char* name;
  endpoint address;
  int socket = -1;
  std::vector<microseconds> latencies{};
  std::uint64_t allocations = 0;
  double cpu_seconds = 0.0;
};

double ProcessCpuSeconds() {
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         1e-9 * static_cast<double>(now.tv_nsec);
}

void Call(call_path& path, steady_clock::time_point due) {
  constexpr std::string_view kRequest =
      "GET /balance HTTP/1.1\r\nHost: ledger\r\nUser-Agent: agent\r\n"
      "Accept: */*\r\n\r\n";
  std::array<char, 4096> answer{};
  ::send(path.socket, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
  const auto count = ::recv(path.socket, answer.data(), answer.size(), 0);
  const std::string_view text{
      answer.data(), static_cast<std::size_t>(std::max<ssize_t>(0, count))};
  if (!text.starts_with("HTTP/1.1 200") || !text.ends_with("hello")) {
    std::fprintf(stderr, "%s: incomplete or unexpected answer\n", path.name);
    std::exit(1);
  }
  path.latencies.push_back(
      std::chrono::duration_cast<microseconds>(steady_clock::now() - due));
}

void RunSlice(call_path& path, int calls, microseconds period) {
  path.latencies.reserve(path.latencies.size() +
                         static_cast<std::size_t>(calls));
  const std::uint64_t allocations_before = AllocationCount();
  const double cpu_seconds_before = ProcessCpuSeconds();
  auto due = steady_clock::now();
  for (int call = 0; call < calls; ++call) {
    // Latency counts from the due time if the previous call ended after it, and
    // otherwise from the wake-up, to leave out the scheduling delay of this
    // thread.
    const bool is_behind = steady_clock::now() > due;
    std::this_thread::sleep_until(due);
    Call(path, is_behind ? due : steady_clock::now());
    due += period;
  }
  path.allocations += AllocationCount() - allocations_before;
  path.cpu_seconds += ProcessCpuSeconds() - cpu_seconds_before;
}

long Quantile(call_path& path, double probability) {
  std::sort(path.latencies.begin(), path.latencies.end());
  const auto index = static_cast<std::size_t>(
      probability * static_cast<double>(path.latencies.size() - 1));
  return path.latencies[index].count();
}

void PrintResults(call_path& path, call_path& direct) {
  const auto calls = static_cast<double>(path.latencies.size());
  std::printf("%-8s %7zu", path.name, path.latencies.size());
  for (const double probability : {0.5, 0.99, 0.999}) {
    const long latency = Quantile(path, probability);
    std::printf("  %6ld (%+5ld)", latency,
                latency - Quantile(direct, probability));
  }
  std::printf("  %8.1f  %7.1f\n", 1e6 * path.cpu_seconds / calls,
              static_cast<double>(path.allocations) / calls);
}

}  // namespace

int main(int argument_count, char** arguments) {
  const int rate = argument_count > 1 ? std::atoi(arguments[1]) : 136;
  const int seconds = argument_count > 2 ? std::atoi(arguments[2]) : 15;
  const endpoint backend{"127.0.0.1", 23'190};
  std::thread{ServeAsBackendServer, OpenSocket(backend, true)}.detach();
  const system_runtime_clock clock;
  const auto entry = StartNode(0, backend, clock);
  const auto owner = StartNode(1, backend, clock);
  const auto snapshot = MakeSnapshot();
  entry->Publish(snapshot);
  owner->Publish(snapshot);

  std::array<call_path, 3> paths{{{"direct", backend},
                                  {"local", {"127.0.0.1", 23'110}},
                                  {"two-hop", {"127.0.0.1", 23'100}}}};
  const microseconds period{1'000'000 / rate};
  for (call_path& path : paths) {
    path.socket = OpenSocket(path.address, false);
    RunSlice(path, 20, period);
    path = call_path{path.name, path.address, path.socket, {}, 0, 0.0};
  }
  constexpr int kSlicesPerSecond = 4;
  for (int slice = 0; slice < seconds * kSlicesPerSecond; ++slice) {
    for (call_path& path : paths) {
      RunSlice(path, std::max(1, rate / kSlicesPerSecond), period);
    }
  }
  std::printf("%d calls/s on each path; microseconds (difference to direct)\n",
              rate);
  std::printf("%-8s %7s  %14s  %14s  %14s  %8s  %7s\n", "path", "calls",
              "median", "p99", "p99.9", "cpu/call", "allocs");
  for (call_path& path : paths) {
    PrintResults(path, paths[0]);
  }
  std::fflush(stdout);
  std::_Exit(0);
}
