// Measures what distributing versions costs one node for several folder sizes:
// its memory, and CPU time and bytes for joining, per change and per idle
// second. The node validates each version in full; its peers are simulated.
// Usage: BenchSpread [PEERS]
#include <unistd.h>

#include <algorithm>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <string>
#include <vector>

#include "LibLink/message_codec.h"
#include "LibSpread/spreader.h"
#include "Tests/LibSpread/versions.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using testing::MakeFile;

/// Overhead of WebSocket, TCP and IP for each message, in bytes.
constexpr std::size_t kFramingBytes = 60;

double CpuMilliseconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e3 +
         static_cast<double>(used.tv_nsec) / 1e6;
}

double ResidentMegabytes() {
  std::ifstream statistics("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  statistics >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Returns a file of 600 bytes with one service and its route; `edit` sets the
/// number of slots.
config_file FileOf(std::size_t number, std::uint64_t edit) {
  const std::string id = std::to_string(number);
  std::string text = "{\"team\": \"team-" + std::to_string(number % 40) +
                     "\", \"services\": {\"service-" + id +
                     "\": {\"slots\": " + std::to_string(10 + edit % 20) +
                     "}}, \"routes\": {\"route-" + id +
                     "\": {\"match\": {\"path_prefix\": \"/service-" + id +
                     "\"}, \"service\": \"service-" + id + "\"}}}";
  text += std::string(600 - std::min<std::size_t>(600, text.size()), ' ');
  return MakeFile("20-service-" + id + ".json", text);
}

/// A spreader whose messages all pass through the codec; counts their bytes.
class measured_node {
 public:
  explicit measured_node(std::uint64_t seed) : spread({.vm = "n"}, seed, now) {}

  std::vector<send_effect> CollectSent(const spread_effects& effects) {
    std::vector<send_effect> sent;
    for (const auto& effect : effects) {
      if (const auto* send = std::get_if<send_effect>(&effect)) {
        bytes_sent += EncodeMessage(send->content).size() + kFramingBytes;
        sent.push_back(*send);
      }
    }
    return sent;
  }

  std::vector<send_effect> Receive(const std::string& vm,
                                   const message& content) {
    const auto frame = EncodeMessage(content);
    bytes_received += frame.size() + kFramingBytes;
    return CollectSent(spread.Handle(now, vm, *DecodeMessage(frame)));
  }

  time_point now{std::chrono::seconds{1000}};
  spreader spread;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

std::string PeerName(std::size_t number) {
  return "peer-" + std::to_string(number);
}

/// Delivers the messages `sent` by `joiner` to `source`, and the answers of
/// `source` to `joiner`, until no more are sent.
void Exchange(measured_node& joiner, measured_node& source,
              std::vector<send_effect> sent) {
  while (!sent.empty()) {
    std::vector<send_effect> replies;
    for (const auto& request : sent) {
      if (request.peer_vm != PeerName(0)) {
        continue;
      }
      for (const auto& answer : source.Receive("joiner", request.content)) {
        for (auto& next : joiner.Receive(PeerName(0), answer.content)) {
          replies.push_back(std::move(next));
        }
      }
    }
    // `source` limits the rate of its answers: advance the clocks until more of
    // them arrive, for up to 2 s.
    for (int i = 0; replies.empty() && joiner.spread.IsPulling() && i < 20;
         ++i) {
      source.now += milliseconds{100};
      joiner.now += milliseconds{100};
      for (const auto& answer :
           source.CollectSent(source.spread.Tick(source.now))) {
        for (auto& next : joiner.Receive(PeerName(0), answer.content)) {
          replies.push_back(std::move(next));
        }
      }
    }
    sent = std::move(replies);
  }
}

void Measure(std::size_t files, std::size_t peers) {
  const double idle_memory = ResidentMegabytes();
  std::vector<config_file> folder;
  for (std::size_t i = 0; i < files; ++i) {
    folder.push_back(FileOf(i, 0));
  }
  std::sort(folder.begin(), folder.end(),
            [](const auto& left, const auto& right) {
              return left.name < right.name;
            });
  auto source = std::make_unique<measured_node>(1);
  hello_message hello;
  source->CollectSent(source->spread.PeerUp(source->now, "joiner", hello));
  source->CollectSent(source->spread.AcceptFromSource(source->now, 1, folder));
  const double source_memory = ResidentMegabytes() - idle_memory;

  // The joining node pulls the whole version from the one peer that holds it.
  auto joiner = std::make_unique<measured_node>(2);
  for (std::size_t i = 1; i < peers; ++i) {
    joiner->CollectSent(joiner->spread.PeerUp(joiner->now, PeerName(i), hello));
  }
  const double join_started = CpuMilliseconds();
  hello.held = source->spread.HeldVersion();
  Exchange(*joiner, *source,
           joiner->CollectSent(
               joiner->spread.PeerUp(joiner->now, PeerName(0), hello)));
  const double join_time = CpuMilliseconds() - join_started;
  const double joiner_memory =
      ResidentMegabytes() - idle_memory - source_memory;
  if (joiner->spread.HeldVersion() != source->spread.HeldVersion()) {
    std::printf("the joining node did not receive the version\n");
    return;
  }
  const auto join_bytes = joiner->bytes_received;

  constexpr std::uint64_t kChanges = 50;
  joiner->bytes_sent = 0;
  joiner->bytes_received = 0;
  double change_time = 0;
  for (std::uint64_t edit = 1; edit <= kChanges; ++edit) {
    folder[edit * 7 % files] = FileOf(edit * 7 % files, edit);
    std::sort(folder.begin(), folder.end(),
              [](const auto& left, const auto& right) {
                return left.name < right.name;
              });
    source->CollectSent(
        source->spread.AcceptFromSource(source->now, edit + 1, folder));
    const double started = CpuMilliseconds();
    const offer_message offer{source->spread.HeldVersion(), 1, milliseconds{0}};
    Exchange(*joiner, *source, joiner->Receive(PeerName(0), offer));
    for (std::size_t i = 1; i < peers; ++i) {
      joiner->Receive(PeerName(i), offer);
    }
    change_time += CpuMilliseconds() - started;
  }
  const bool is_current =
      joiner->spread.HeldVersion() == source->spread.HeldVersion();
  const auto change_bytes =
      (joiner->bytes_sent + joiner->bytes_received) / kChanges;

  constexpr int kIdleSeconds = 60;
  joiner->bytes_sent = 0;
  const double idle_started = CpuMilliseconds();
  for (int i = 0; i < kIdleSeconds * 10; ++i) {
    joiner->now += milliseconds{100};
    joiner->CollectSent(joiner->spread.Tick(joiner->now));
  }
  const double idle_time = CpuMilliseconds() - idle_started;
  std::printf(
      "%6zu files %3zu peers | memory %5.1f MB | join %7.1f ms %9zu bytes | "
      "change %6.2f ms (including the peer's answers) %6zu bytes%s | idle "
      "second %.3f ms, %zu bytes sent\n",
      files, peers, joiner_memory, join_time,
      static_cast<std::size_t>(join_bytes), change_time / kChanges,
      static_cast<std::size_t>(change_bytes),
      is_current ? "" : " (NOT CURRENT)", idle_time / kIdleSeconds,
      static_cast<std::size_t>(joiner->bytes_sent / kIdleSeconds));
}

}  // namespace

}  // namespace wagtailmount

int main(int argc, char** argv) {
  const std::size_t peers = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 20;
  for (const std::size_t files : {400U, 1550U, 3100U, 6200U}) {
    wagtailmount::Measure(files, peers);
  }
  return 0;
}
