#pragma once

#include <stdio.h>
#include <sys/types.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibLink/message_codec.h"
#include "LibNode/catalog_control.h"

namespace wagtailmount {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Holds the calls of the node until the test answers them.
class held_source final : public catalog_source {
 public:
  void List(std::string_view, bool, answer<catalog_page> done) override {
    listing = std::move(done);
  }
  void Watch(std::uint64_t revision, std::chrono::milliseconds,
             answer<catalog_changes> done) override {
    watched_after = revision;
    watch = std::move(done);
  }

  answer<catalog_page> listing;
  answer<catalog_changes> watch;
  std::uint64_t watched_after = 0;
};

class idle_hub final : public link_hub {
 public:
  link_id Open(const endpoint&) override { return ++last_link; }
  void Close(link_id) override {}
  bool Send(link_id, std::string_view frame) override {
    sent.push_back(*DecodeMessage(frame));
    return true;
  }
  link_counters Counters() const override { return {}; }
  endpoint Listening() const override { return {"127.0.0.1", 7003}; }
  void Stop() override {}

  template <typename T>
  const T* LastSent() const {
    for (auto each = sent.rbegin(); each != sent.rend(); ++each) {
      if (const T* found = std::get_if<T>(&*each)) {
        return found;
      }
    }
    return nullptr;
  }

  link_id last_link = 0;
  std::vector<message> sent;
};

// Contents of the test's entries: a configuration's version number, and
// "ADDRESS STATE DOMAIN" of an upstream, where DOMAIN is "hall" if it is
// missing.
inline result<std::shared_ptr<const configuration>> ReadVersion(
    const catalog_item& item) {
  configuration::contents parts;
  parts.version.revision = std::stoull(*item.content);
  return std::make_shared<const configuration>(std::move(parts));
}

inline result<upstream_record> ReadState(const catalog_item& item) {
  const auto space = item.content->find(' ');
  if (space == std::string::npos) {
    return Fail(error_kind::kInvalidInput, "unreadable");
  }
  upstream_record record;
  record.id = item.key.substr(2);
  record.service = "ledger";
  const std::string rest = item.content->substr(space + 1);
  const auto end = rest.find(' ');
  record.failure_domain =
      end == std::string::npos ? "hall" : rest.substr(end + 1);
  record.backend_server = {item.content->substr(0, space), 9000};
  record.slots = 4;
  record.is_leaving = rest.substr(0, end) == "draining";
  return record;
}

inline catalog_item Entry(std::string key, std::uint64_t revision,
                          std::string content, std::uint64_t created = 1) {
  return {std::move(key),
          revision,
          created,
          false,
          std::make_shared<const std::string>(std::move(content)),
          0};
}

inline node_settings Settings() {
  node_settings settings;
  settings.vm = "10.0.0.1";
  settings.failure_domain = "hall";
  settings.region = "pk";
  settings.service = "ledger";
  settings.backend_server = {"10.0.0.1", 9000};
  return settings;
}

// A node, and what it calls.
struct control_parts {
  void Step(duration span) {
    clock.Advance(span);
    control.Tick();
  }

  void AnswerListing(const catalog_page& page) {
    BOOST_REQUIRE(source.listing != nullptr);
    std::exchange(source.listing, nullptr)(page);
  }

  // Answers the first watch, which tells no changes, and waits for the next.
  void ConfirmListing(std::uint64_t revision) {
    for (int tick = 0; tick < 20 && source.watch == nullptr; ++tick) {
      Step(100ms);
    }
    BOOST_REQUIRE(source.watch != nullptr);
    std::exchange(source.watch, nullptr)(catalog_changes{revision, {}, 4});
    for (int tick = 0; tick < 5; ++tick) {
      Step(100ms);
    }
  }

  // Ends the watch as the platform does that no longer has its revision, and
  // waits for the listing that follows.
  void EndWatchWith(result<catalog_changes> answer) {
    BOOST_REQUIRE(source.watch != nullptr);
    std::exchange(source.watch, nullptr)(std::move(answer));
    for (int tick = 0; tick < 20 && source.listing == nullptr; ++tick) {
      Step(100ms);
    }
  }

  std::string Available() const {
    std::string names;
    for (const upstream& each : published->UpstreamsOf("ledger")) {
      const bool is_usable = !each.is_leaving && !each.is_evacuated;
      names += is_usable ? each.backend_server_id + " " : "";
    }
    return names;
  }

  // How often the log has a line with this text.
  int Logged(const std::string& text) {
    log.Flush();
    std::string all(1U << 20U, '\0');
    const auto count = pread(fileno(log_file.get()), all.data(), all.size(), 0);
    all.resize(static_cast<std::size_t>(std::max<ssize_t>(0, count)));
    int found = 0;
    for (auto at = all.find(text); at != std::string::npos;
         at = all.find(text, at + 1)) {
      ++found;
    }
    return found;
  }

  manual_clock clock;
  node_settings settings = Settings();
  held_source source;
  catalog_format format{"op", "s/", "e/", ReadVersion, ReadState};
  std::unique_ptr<FILE, int (*)(FILE*)> log_file{tmpfile(), fclose};
  structured_log log{{.descriptor = fileno(log_file.get())}, clock};
  idle_hub hub;
  std::shared_ptr<const routing_snapshot> published;
  catalog_control control{settings,
                          clock,
                          source,
                          format,
                          log,
                          [this](std::shared_ptr<const routing_snapshot> made) {
                            published = std::move(made);
                          },
                          1};
};

}  // namespace wagtailmount
