#include "StandIns/socket_owner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace wagtailmount::stand_ins {

namespace {

struct diagnosis_request {
  nlmsghdr header;
  inet_diag_req_v2 body;
};

diagnosis_request RequestFor(const endpoint& local, const endpoint& remote) {
  diagnosis_request request{};
  request.header.nlmsg_len = sizeof request;
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_states = ~0U;
  inet_diag_sockid& asked = request.body.id;
  ::inet_pton(AF_INET, local.address.c_str(), asked.idiag_src);
  ::inet_pton(AF_INET, remote.address.c_str(), asked.idiag_dst);
  asked.idiag_sport = htons(local.port);
  asked.idiag_dport = htons(remote.port);
  asked.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  asked.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return request;
}

}  // namespace

// /proc/net/tcp would tell it too, but only with every socket of the machine;
// after a test that closed thousands of connections that takes milliseconds.
std::uint64_t SocketInodeOf(const endpoint& local, const endpoint& remote) {
  const int asking =
      ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (asking < 0) {
    throw std::system_error{errno, std::system_category(), "sock_diag"};
  }
  const diagnosis_request request = RequestFor(local, remote);
  std::array<char, 4096> answer{};
  ssize_t got = ::send(asking, &request, sizeof request, 0);
  if (got > 0) got = ::recv(asking, answer.data(), answer.size(), 0);
  ::close(asking);
  nlmsghdr header{};
  inet_diag_msg found{};
  if (got < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof found)) return 0;
  std::memcpy(&header, answer.data(), sizeof header);
  if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) return 0;
  std::memcpy(&found, answer.data() + NLMSG_HDRLEN, sizeof found);
  return found.idiag_inode;
}

bool HoldsSocket(std::int64_t process_id, std::uint64_t inode) {
  const std::string wanted = "socket:[" + std::to_string(inode) + "]";
  const std::filesystem::path folder =
      "/proc/" + std::to_string(process_id) + "/fd";
  std::error_code failure;
  // The loop asks for errors itself, since the process may end meanwhile.
  std::filesystem::directory_iterator entry(folder, failure);
  while (!failure && entry != std::filesystem::directory_iterator{}) {
    std::error_code gone;
    if (std::filesystem::read_symlink(entry->path(), gone) == wanted) {
      return true;
    }
    entry.increment(failure);
  }
  return false;
}

}  // namespace wagtailmount::stand_ins
