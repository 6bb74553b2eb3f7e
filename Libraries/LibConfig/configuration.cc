#include "LibConfig/configuration.h"

#include <algorithm>
#include <array>
#include <utility>

#include "LibBase/text.h"
#include "LibConfig/config_limits.h"
#include "LibConfig/route_order.h"

namespace wagtailmount {

namespace {

std::string_view WithoutPort(std::string_view host) {
  const auto colon = host.rfind(':');
  const auto bracket = host.rfind(']');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || colon > bracket);
  return has_port ? host.substr(0, colon) : host;
}

/// The path without its last segment, "/" for a path of one segment; empty for
/// "/" itself, which has no parent.
std::string_view ParentOf(std::string_view path) {
  const auto slash = path.rfind('/');
  if (slash == std::string_view::npos || path.size() <= 1) {
    return {};
  }
  return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
}

/// `path` itself or its longest ancestor that has at most `longest` bytes;
/// empty if there is none.
std::string_view LongestAncestorOf(std::string_view path, std::size_t longest) {
  if (path.size() <= longest) {
    return path;
  }
  const auto slash = path.rfind('/', longest);
  if (slash == std::string_view::npos) {
    return {};
  }
  return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
}

}  // namespace

configuration::configuration(contents parts) : parts_(std::move(parts)) {
  if (parts_.record == nullptr) {
    PutInOrder();
  }
  IndexHosts();
}

void configuration::PutInOrder() {
  std::sort(parts_.services.begin(), parts_.services.end(),
            [](const auto& left, const auto& right) {
              return left->name < right->name;
            });
  std::sort(parts_.routes.begin(), parts_.routes.end(),
            [](const auto& left, const auto& right) {
              return IsBefore(*left, *right);
            });
}

void configuration::IndexHosts() {
  for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
    const route& each = *parts_.routes[i];
    if (hosts_.empty() || hosts_.back().host != each.host) {
      hosts_.push_back({each.host, i, i, each.path_prefix.size()});
    }
    hosts_.back().end = i + 1;
  }
}

std::shared_ptr<const service> configuration::FindService(
    std::string_view name) const {
  const auto found =
      std::lower_bound(parts_.services.begin(), parts_.services.end(), name,
                       [](const auto& each, std::string_view wanted) {
                         return each->name < wanted;
                       });
  const bool is_known =
      found != parts_.services.end() && (*found)->name == name;
  return is_known ? *found : nullptr;
}

const configuration::host_range* configuration::FindHost(
    std::string_view host) const {
  const auto found =
      std::lower_bound(hosts_.begin(), hosts_.end(), host,
                       [](const host_range& each, std::string_view wanted) {
                         return IsHostBefore(each.host, wanted);
                       });
  const bool is_known = found != hosts_.end() && found->host == host;
  return is_known ? &*found : nullptr;
}

const route* configuration::FindInHost(const host_range& range,
                                       std::string_view path,
                                       std::string_view method) const {
  const auto first =
      parts_.routes.begin() + static_cast<std::ptrdiff_t>(range.begin);
  const auto last =
      parts_.routes.begin() + static_cast<std::ptrdiff_t>(range.end);
  for (std::string_view prefix = LongestAncestorOf(path, range.longest_prefix);
       !prefix.empty(); prefix = ParentOf(prefix)) {
    auto found = std::lower_bound(
        first, last, prefix, [](const auto& each, std::string_view wanted) {
          return IsPrefixBefore(each->path_prefix, wanted);
        });
    for (; found != last && (*found)->path_prefix == prefix; ++found) {
      const bool is_below = path.size() > prefix.size() || prefix == "/";
      if (TakesMethod(**found, method) &&
          (is_below || !(*found)->matches_only_below)) {
        return found->get();
      }
    }
  }
  return nullptr;
}

const route* configuration::FindRoute(std::string_view host,
                                      std::string_view path,
                                      std::string_view method) const {
  const std::string_view bare_host = WithoutPort(host);
  std::array<char, kLongestHostBytes> lower_case{};
  if (!bare_host.empty() && bare_host.size() <= lower_case.size()) {
    std::transform(bare_host.begin(), bare_host.end(), lower_case.begin(),
                   LowerCaseOf);
    const host_range* exact =
        FindHost(std::string_view(lower_case.data(), bare_host.size()));
    const route* found =
        exact == nullptr ? nullptr : FindInHost(*exact, path, method);
    if (found != nullptr) {
      return found;
    }
  }
  const host_range* any = FindHost("");
  return any == nullptr ? nullptr : FindInHost(*any, path, method);
}

}  // namespace wagtailmount
