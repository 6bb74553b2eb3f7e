#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibBase/clock.h"
#include "LibSource/platform_client.h"

namespace wagtailmount {

/// In-memory implementation of platform_client with fault injection. Answers
/// are given from Run(), never from within the call itself.
class fake_platform final : public platform_client {
 public:
  using folder = std::map<std::string, std::string>;

  explicit fake_platform(const manual_clock& clock) : clock_(clock) {}

  /// Replaces the whole folder and increments the revision.
  void Publish(folder files) {
    files_ = std::move(files);
    history_[++revision_] = files_;
    UpdateListing();
  }
  void Put(const std::string& name, const std::string& content) {
    folder files = files_;
    files[name] = content;
    Publish(std::move(files));
  }
  void Remove(const std::string& name) {
    folder files = files_;
    files.erase(name);
    Publish(std::move(files));
  }
  /// Serves the folder of a revision published before. A lower revision than
  /// the current one acts like a restore from a backup.
  void RestoreRevision(std::uint64_t revision) {
    revision_ = revision;
    files_ = history_.at(revision);
    UpdateListing();
  }

  std::uint64_t Revision() const { return revision_; }
  const folder& Files() const { return files_; }
  const std::map<std::uint64_t, folder>& History() const { return history_; }

  /// Injected faults, latency and page size.
  std::optional<error> fail_with;
  bool never_answers = false;  ///< Accepts calls but never answers them.
  bool answers_twice = false;
  bool corrupts_files = false;  ///< Returns content that misses its digest.
  duration latency = std::chrono::milliseconds{2};
  std::size_t page_size = 1'000;
  /// Called before a listing page or a file is answered. `page` is 0 for the
  /// first page of a listing and 1 for any later page.
  std::function<void(std::size_t page)> before_page = [](std::size_t) {};
  std::function<void(const std::string& name)> before_file =
      [](const std::string&) {};
  std::vector<vm_record> vms;
  std::uint64_t vms_revision = 1;

  std::uint64_t calls = 0;
  std::uint64_t max_calls_per_second = 0;

  void List(std::string_view after, answer<listing_page> done) override {
    CountCall();
    AnswerLater<listing_page>(
        std::move(done),
        [this, from = std::string(after)] { return ListingPage(from); });
  }

  void Read(std::string_view name, const digest& content,
            answer<std::string> done) override {
    CountCall();
    AnswerLater<std::string>(std::move(done),
                             [this, name = std::string(name), content] {
                               return FileContent(name, content);
                             });
  }

  void Watch(std::uint64_t known, answer<std::uint64_t> done) override {
    CountCall();
    if (never_answers) {
      return;
    }
    pending_watches_.push_back(
        {clock_.Now() + std::chrono::seconds{30}, known, std::move(done)});
  }

  void ListVms(std::string_view after, answer<vm_page> done) override {
    CountCall();
    AnswerLater<vm_page>(std::move(done), [this, from = std::string(after)] {
      vm_page page{vms_revision, {}, ""};
      for (const auto& record : vms) {
        if (record.vm > from && page.records.size() == page_size) {
          page.next = page.records.back().vm;
          break;
        }
        if (record.vm > from) {
          page.records.push_back(record);
        }
      }
      const auto hook = before_page;
      hook(from.empty() ? 0 : 1);
      return result<vm_page>(std::move(page));
    });
  }

  /// Makes all pending watches time out at the next Run().
  void TimeOutWatches() {
    for (auto& watch : pending_watches_) {
      watch.until = clock_.Now();
    }
  }

  /// Gives all answers that are due at the clock's current time.
  void Run() {
    const time_point now = clock_.Now();
    for (auto& due : TakeDue(pending_answers_, [&](const pending_answer& call) {
           return call.due <= now;
         })) {
      due.run();
    }
    for (auto& due : TakeDue(pending_watches_, [&](const pending_watch& watch) {
           return watch.until <= now || fail_with || watch.known != revision_;
         })) {
      AnswerLater<std::uint64_t>(std::move(due.done), [this] {
        return result<std::uint64_t>(revision_);
      });
    }
  }

 private:
  struct pending_answer {
    time_point due;
    std::function<void()> run;
  };
  struct pending_watch {
    time_point until;
    std::uint64_t known = 0;
    answer<std::uint64_t> done;
  };

  template <typename T, typename condition>
  static std::vector<T> TakeDue(std::vector<T>& all, condition is_due) {
    std::vector<T> due;
    std::vector<T> rest;
    for (auto& one : all) {
      (is_due(one) ? due : rest).push_back(std::move(one));
    }
    all = std::move(rest);
    return due;
  }

  template <typename T>
  void AnswerLater(answer<T> done, std::function<result<T>()> produce) {
    if (never_answers) {
      return;
    }
    pending_answers_.push_back(
        {clock_.Now() + latency,
         [this, done = std::move(done), produce = std::move(produce)] {
           const int times = answers_twice ? 2 : 1;
           for (int i = 0; i < times; ++i) {
             done(fail_with ? result<T>(tl::unexpected(*fail_with))
                            : produce());
           }
         }});
  }

  result<listing_page> ListingPage(const std::string& after) {
    // Calls a copy, since the hook may replace itself.
    const auto hook = before_page;
    hook(after.empty() ? 0 : 1);
    listing_page page{revision_, {}, ""};
    auto entry = std::upper_bound(
        entries_.begin(), entries_.end(), after,
        [](const std::string& name, const manifest_entry& listed) {
          return name < listed.name;
        });
    for (; entry != entries_.end(); ++entry) {
      if (page.entries.size() == page_size) {
        page.next = page.entries.back().name;
        break;
      }
      page.entries.push_back(*entry);
    }
    return page;
  }

  result<std::string> FileContent(const std::string& name,
                                  const digest& content) {
    const auto hook = before_file;
    hook(name);
    const auto file = files_.find(name);
    if (file == files_.end() || DigestOf(file->second) != content) {
      return Fail(error_kind::kConflict, "the file has changed");
    }
    return corrupts_files ? file->second + " " : file->second;
  }

  void UpdateListing() {
    entries_.clear();
    for (const auto& [name, content] : files_) {
      entries_.push_back({name, DigestOf(content), content.size()});
    }
  }

  void CountCall() {
    ++calls;
    const time_point second =
        std::chrono::floor<std::chrono::seconds>(clock_.Now());
    calls_in_current_second_ =
        second == current_second_ ? calls_in_current_second_ + 1 : 1;
    current_second_ = second;
    max_calls_per_second =
        std::max(max_calls_per_second, calls_in_current_second_);
  }

  const manual_clock& clock_;
  std::uint64_t revision_ = 0;
  folder files_;
  std::vector<manifest_entry> entries_;  ///< The listing of `files_`.
  std::map<std::uint64_t, folder> history_;
  std::vector<pending_answer> pending_answers_;
  std::vector<pending_watch> pending_watches_;
  time_point current_second_{};
  std::uint64_t calls_in_current_second_ = 0;
};

}  // namespace wagtailmount
