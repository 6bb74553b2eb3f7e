// Simulates upstream choice and admission in virtual time with a printed seed,
// so that the results do not depend on the machine:
//   - latency by choice policy, with seven upstreams, of which one is slow and
//     one reports a load lower than it has;
//   - goodput at 1, 2 and 4 times the capacity, with and without admission.
//
// Usage: benchmark_traffic_policies [SEED]

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "LibLoad/admission_controller.h"
#include "LibRouting/upstream_choice.h"

namespace {

using namespace wagtailmount;  // NOLINT(google-build-using-namespace)
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs scheduled actions in the order of their times, and those of the same
// time in the order in which they were scheduled.
class event_queue {
 public:
  void Schedule(time_point when, std::function<void()> action) {
    events_.push({when, next_order_++, std::move(action)});
  }

  void RunUntil(time_point end) {
    while (!events_.empty() && events_.top().when < end) {
      event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.action();
    }
  }

  time_point Now() const { return now_; }

 private:
  struct event {
    time_point when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  std::priority_queue<event> events_;
  std::uint64_t next_order_ = 0;
  time_point now_{seconds{3'600}};
};

duration Exponential(random_source& random, duration mean) {
  const double factor = -std::log(1.0 - random.Fraction());
  return std::chrono::duration_cast<duration>(mean * factor);
}

// The state of one simulated backend server.
struct backend_server {
  int running = 0;
  std::deque<std::function<void()>> waiting;
};

// How the upstream of a call is chosen.
enum class choice_policy {
  kRoundRobin,
  kRandom,
  kLeastReportedLoad,
  kObservation
};

// Prints the latencies under one choice policy with seven upstreams of 20
// slots. Calls take 8 ms on average, but 80 ms at vm-1, and 40 ms at vm-2,
// which always reports that it is idle.
void MeasureChoice(const char* name, choice_policy policy, std::uint64_t seed) {
  constexpr int kUpstreams = 7;
  constexpr int kSlots = 20;
  constexpr microseconds kMeanInterval{2'000};
  event_queue events;
  random_source random{seed};
  std::vector<upstream> upstreams(kUpstreams);
  for (int number = 0; number < kUpstreams; ++number) {
    upstreams[number].vm = "vm-" + std::to_string(number);
    upstreams[number].failure_domain = "fsd-hall";
    upstreams[number].region = "pk-central";
  }
  std::vector<backend_server> servers(kUpstreams);
  upstream_chooser chooser{{"fsd-hall", "pk-central"}};
  std::vector<duration> latencies;
  int next_in_turn = 0;
  const auto choose = [&]() -> int {
    if (policy == choice_policy::kRoundRobin) {
      return next_in_turn++ % kUpstreams;
    }
    if (policy == choice_policy::kRandom) {
      return static_cast<int>(random.Below(kUpstreams));
    }
    if (policy == choice_policy::kLeastReportedLoad) {
      // Two random upstreams, of which the one with less reported load is
      // chosen; vm-2 always reports 0.
      const auto reported_load = [&](int number) {
        return number == 2 ? 0 : servers[number].running;
      };
      const auto first = static_cast<int>(random.Below(kUpstreams));
      const auto second = static_cast<int>(random.Below(kUpstreams));
      return reported_load(second) < reported_load(first) ? second : first;
    }
    const auto choice =
        chooser.Choose(events.Now(), upstreams, {}, seconds{10}, random);
    return static_cast<int>(choice->chosen - upstreams.data());
  };
  std::function<void(int, time_point)> start = [&](int number,
                                                   time_point arrival) {
    ++servers[number].running;
    const milliseconds mean{number == 1 ? 80 : number == 2 ? 40 : 8};
    events.Schedule(
        events.Now() + Exponential(random, mean), [&, number, arrival] {
          backend_server& server = servers[number];
          --server.running;
          latencies.push_back(events.Now() - arrival);
          chooser.End(events.Now(), upstreams[number].vm, attempt_signal::kGood,
                      events.Now() - arrival);
          if (!server.waiting.empty()) {
            const auto next = std::move(server.waiting.front());
            server.waiting.pop_front();
            next();
          }
        });
  };
  std::function<void()> arrive = [&] {
    const int number = choose();
    const time_point arrival = events.Now();
    chooser.Begin(upstreams[number].vm);
    backend_server& server = servers[number];
    if (server.running < kSlots) {
      start(number, arrival);
    } else {
      server.waiting.emplace_back(
          [&, number, arrival] { start(number, arrival); });
    }
    events.Schedule(events.Now() + Exponential(random, kMeanInterval), arrive);
  };
  events.Schedule(events.Now(), arrive);
  events.RunUntil(events.Now() + seconds{60});
  std::sort(latencies.begin(), latencies.end());
  const auto quantile = [&](double probability) {
    const auto index = static_cast<std::size_t>(
        probability * static_cast<double>(latencies.size() - 1));
    return std::chrono::duration<double, std::milli>(latencies[index]).count();
  };
  std::printf("%-22s %7zu  %8.1f  %8.1f  %8.1f\n", name, latencies.size(),
              quantile(0.5), quantile(0.99), quantile(0.999));
}

// Prints the goodput, in percent of capacity, of one owner with 20 slots, calls
// of 10 ms on average and a deadline of 200 ms. Only calls answered within the
// deadline count.
void MeasureGoodput(double load, bool has_admission, std::uint64_t seed) {
  constexpr int kSlots = 20;
  constexpr milliseconds kMeanServiceTime{10};
  constexpr milliseconds kDeadline{200};
  constexpr seconds kSimulatedTime{5};
  event_queue events;
  random_source random{seed};
  admission_controller owner_admission;
  upstream_limits limits;
  limits.slots = kSlots;
  if (!has_admission) {
    limits.queue = 1'000'000;
  }
  owner_admission.SetLimits(limits);
  std::map<admission_id, time_point> arrivals;
  std::uint64_t answered_in_time = 0;
  std::uint64_t request_count = 0;
  std::vector<duration> latencies;
  std::function<void(admission_id)> start;
  const auto apply = [&](const std::vector<admission_effect>& effects) {
    for (const admission_effect& effect : effects) {
      if (effect.refused == refusal_cause::kNone) {
        start(effect.id);
      }
    }
  };
  start = [&](admission_id id) {
    events.Schedule(events.Now() + Exponential(random, kMeanServiceTime),
                    [&, id] {
                      const duration latency = events.Now() - arrivals[id];
                      arrivals.erase(id);
                      if (latency <= kDeadline) {
                        ++answered_in_time;
                        latencies.push_back(latency);
                      }
                      apply(owner_admission.Finish(events.Now(), id));
                    });
  };
  const duration mean_interval = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(kMeanServiceTime.count()) / kSlots / load));
  std::function<void()> arrive = [&] {
    ++request_count;
    // Without admission every request is accepted and run, also past its
    // deadline; an hour stands for no deadline.
    const time_point deadline =
        events.Now() + (has_admission ? duration{kDeadline} : seconds{3'600});
    const auto reply = owner_admission.Arrive(events.Now(), deadline,
                                              request_priority::kInteractive);
    if (reply.decided != admission_reply::kind::kRefused) {
      arrivals[reply.id] = events.Now();
    }
    apply(reply.effects);
    if (reply.decided == admission_reply::kind::kStart) {
      start(reply.id);
    }
    events.Schedule(events.Now() + Exponential(random, mean_interval), arrive);
  };
  events.Schedule(events.Now(), arrive);
  events.RunUntil(events.Now() + kSimulatedTime);
  std::sort(latencies.begin(), latencies.end());
  const double median = latencies.empty()
                            ? 0.0
                            : std::chrono::duration<double, std::milli>(
                                  latencies[latencies.size() / 2])
                                  .count();
  const double capacity =
      1'000.0 * kSlots / static_cast<double>(kMeanServiceTime.count());
  std::printf("%4.0fx  %-17s %8llu  %11.1f  %9.1f\n", load,
              has_admission ? "with admission" : "without admission",
              static_cast<unsigned long long>(request_count),
              100.0 * static_cast<double>(answered_in_time) /
                  (capacity * static_cast<double>(kSimulatedTime.count())),
              median);
}

}  // namespace

int main(int argument_count, char** arguments) {
  const std::uint64_t seed =
      argument_count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  std::printf("%-22s %7s  %8s  %8s  %8s  (ms)\n", "choice", "calls", "median",
              "p99", "p99.9");
  MeasureChoice("round-robin", choice_policy::kRoundRobin, seed);
  MeasureChoice("random", choice_policy::kRandom, seed);
  MeasureChoice("two, by reported load", choice_policy::kLeastReportedLoad,
                seed);
  MeasureChoice("two, by observation", choice_policy::kObservation, seed);
  std::printf("%5s  %-17s %8s  %11s  %9s\n", "load", "policy", "arrived",
              "goodput %", "median ms");
  for (const double load : {1.0, 2.0, 4.0}) {
    MeasureGoodput(load, false, seed);
    MeasureGoodput(load, true, seed);
  }
}
