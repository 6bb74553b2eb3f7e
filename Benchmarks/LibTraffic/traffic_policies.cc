// Measures the decisions by themselves, in stepped time and with printed seeds,
// so that the figures don't depend on the machine:
//   - latency with one slow and one lying upstream of seven, by choice policy;
//   - goodput at 1, 2 and 4 times of capacity, with and without admission.
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

#include "LibLoad/admission.h"
#include "LibRouting/upstream_choice.h"

namespace {

using namespace wagtailmount;  // NOLINT(google-build-using-namespace)
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs closures in the order of their times.
class event_queue {
 public:
  void At(time_point when, std::function<void()> what) {
    events_.push({when, next_++, std::move(what)});
  }

  void RunUntil(time_point end) {
    while (!events_.empty() && events_.top().when < end) {
      event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.what();
    }
  }

  time_point Now() const { return now_; }

 private:
  struct event {
    time_point when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const event& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  std::priority_queue<event> events_;
  std::uint64_t next_ = 0;
  time_point now_{seconds{3'600}};
};

duration Exponential(random_source& random, duration mean) {
  const double factor = -std::log(1.0 - random.Fraction());
  return std::chrono::duration_cast<duration>(mean * factor);
}

// Seven upstreams of 20 slots; calls take 8 ms, on vm-1 ten times as long. What
// vm-2 says of itself ("idle") is a lie: it takes 40 ms.
struct backend_server {
  int running = 0;
  std::deque<std::function<void()>> waiting;
};

enum class policy { kRoundRobin, kRandom, kLeastSaid, kOwnSight };

void RunChoice(const char* name, policy chosen_policy, std::uint64_t seed) {
  constexpr int kUpstreams = 7;
  constexpr int kSlots = 20;
  constexpr microseconds kBetweenCalls{2'000};
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
  std::vector<duration> taken;
  int turn = 0;
  const auto choose = [&]() -> int {
    if (chosen_policy == policy::kRoundRobin) {
      return turn++ % kUpstreams;
    }
    if (chosen_policy == policy::kRandom) {
      return static_cast<int>(random.Below(kUpstreams));
    }
    if (chosen_policy == policy::kLeastSaid) {
      // Two random ones, the better by the load endpoint; vm-2 says 0.
      const auto said = [&](int number) {
        return number == 2 ? 0 : servers[number].running;
      };
      const auto first = static_cast<int>(random.Below(kUpstreams));
      const auto second = static_cast<int>(random.Below(kUpstreams));
      return said(second) < said(first) ? second : first;
    }
    const auto choice =
        chooser.Choose(events.Now(), upstreams, {}, seconds{10}, random);
    return static_cast<int>(choice->chosen - upstreams.data());
  };
  std::function<void(int, time_point)> start = [&](int number,
                                                   time_point begin) {
    ++servers[number].running;
    const milliseconds mean{number == 1 ? 80 : number == 2 ? 40 : 8};
    events.At(events.Now() + Exponential(random, mean), [&, number, begin] {
      backend_server& server = servers[number];
      --server.running;
      taken.push_back(events.Now() - begin);
      chooser.End(events.Now(), upstreams[number].vm, attempt_signal::kGood,
                  events.Now() - begin);
      if (!server.waiting.empty()) {
        const auto next = std::move(server.waiting.front());
        server.waiting.pop_front();
        next();
      }
    });
  };
  std::function<void()> arrive = [&] {
    const int number = choose();
    const time_point begin = events.Now();
    chooser.Begin(upstreams[number].vm);
    backend_server& server = servers[number];
    if (server.running < kSlots) {
      start(number, begin);
    } else {
      server.waiting.emplace_back([&, number, begin] { start(number, begin); });
    }
    events.At(events.Now() + Exponential(random, kBetweenCalls), arrive);
  };
  events.At(events.Now(), arrive);
  events.RunUntil(events.Now() + seconds{60});
  std::sort(taken.begin(), taken.end());
  const auto quantile = [&](double probability) {
    const auto at = static_cast<std::size_t>(
        probability * static_cast<double>(taken.size() - 1));
    return std::chrono::duration<double, std::milli>(taken[at]).count();
  };
  std::printf("%-22s %7zu  %8.1f  %8.1f  %8.1f\n", name, taken.size(),
              quantile(0.5), quantile(0.99), quantile(0.999));
}

// One owner of 20 slots, calls of 10 ms, deadline 200 ms. A caller that gets
// nothing in time is a lost call; work finished late is wasted.
void RunGoodput(double load, bool is_admitted, std::uint64_t seed) {
  constexpr int kSlots = 20;
  constexpr milliseconds kMean{10};
  constexpr milliseconds kDeadline{200};
  constexpr seconds kTime{5};
  event_queue events;
  random_source random{seed};
  admission decided;
  upstream_limits limits;
  limits.slots = kSlots;
  if (!is_admitted) {
    limits.queue = 1'000'000;
  }
  decided.SetLimits(limits);
  std::map<admission_id, time_point> begins;
  std::uint64_t good = 0;
  std::uint64_t arrived = 0;
  std::vector<duration> taken;
  std::function<void(admission_id)> start;
  const auto apply = [&](const std::vector<admission_effect>& effects) {
    for (const admission_effect& effect : effects) {
      if (effect.refused == refusal_cause::kNone) {
        start(effect.id);
      }
    }
  };
  start = [&](admission_id id) {
    events.At(events.Now() + Exponential(random, kMean), [&, id] {
      const duration whole = events.Now() - begins[id];
      begins.erase(id);
      if (whole <= kDeadline) {
        ++good;
        taken.push_back(whole);
      }
      apply(decided.Finish(events.Now(), id));
    });
  };
  const duration between = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(kMean.count()) / kSlots / load));
  std::function<void()> arrive = [&] {
    ++arrived;
    // Without admission nothing tells a late request from one in time.
    const time_point deadline =
        events.Now() + (is_admitted ? duration{kDeadline} : seconds{3'600});
    const auto reply =
        decided.Arrive(events.Now(), deadline, request_priority::kInteractive);
    if (reply.decided != admission_reply::kind::kRefused) {
      begins[reply.id] = events.Now();
    }
    apply(reply.effects);
    if (reply.decided == admission_reply::kind::kStart) {
      start(reply.id);
    }
    events.At(events.Now() + Exponential(random, between), arrive);
  };
  events.At(events.Now(), arrive);
  events.RunUntil(events.Now() + kTime);
  std::sort(taken.begin(), taken.end());
  const double median =
      taken.empty()
          ? 0.0
          : std::chrono::duration<double, std::milli>(taken[taken.size() / 2])
                .count();
  const double capacity = 1'000.0 * kSlots / static_cast<double>(kMean.count());
  std::printf("%4.0fx  %-17s %8llu  %11.1f  %9.1f\n", load,
              is_admitted ? "with admission" : "without",
              static_cast<unsigned long long>(arrived),
              100.0 * static_cast<double>(good) /
                  (capacity * static_cast<double>(kTime.count())),
              median);
}

}  // namespace

int main(int argument_count, char** arguments) {
  const std::uint64_t seed =
      argument_count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  std::printf("%-22s %7s  %8s  %8s  %8s  (ms)\n", "choice", "calls", "median",
              "99/100", "999/1000");
  RunChoice("round-robin", policy::kRoundRobin, seed);
  RunChoice("random", policy::kRandom, seed);
  RunChoice("two, by what they say", policy::kLeastSaid, seed);
  RunChoice("two, by own sight", policy::kOwnSight, seed);
  std::printf("%5s  %-17s %8s  %11s  %9s\n", "load", "policy", "arrived",
              "% of capac.", "median ms");
  for (const double load : {1.0, 2.0, 4.0}) {
    RunGoodput(load, false, seed);
    RunGoodput(load, true, seed);
  }
}
