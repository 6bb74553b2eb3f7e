#include "Tests/LibTraffic/endless_answers.h"

#include <map>

namespace wagtailmount::testing {

std::optional<endless_answer> FindEndlessAnswer(std::string_view name) {
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  const std::string chunked =
      status_line + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(0x4000, 'x');
  const std::map<std::string_view, endless_answer> answers = {
      {"endless-status-line", {"HTTP/1.1 200 ", bytes}},
      {"endless-header", {status_line + "X-Long: ", bytes}},
      {"endless-headers", {status_line, "X-One: more\r\n"}},
      {"endless-interim", {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
      {"endless-chunk-extension", {chunked + "5;", bytes}},
      {"endless-trailer", {chunked + "5\r\nhello\r\n0\r\nX-Long: ", bytes}},
      {"endless-trailers",
       {chunked + "5\r\nhello\r\n0\r\n", "X-One: more\r\n"}},
      {"endless-chunks", {chunked, "4000\r\n" + bytes + "\r\n"}},
      {"endless-body",
       {status_line + "Content-Length: 9000000000000\r\n\r\n", bytes}},
      {"endless-until-close",
       {status_line + "Connection: close\r\n\r\n", bytes}},
      {"endless-garbage", {"", bytes}},
      {"endless-after-answer",
       {status_line + "Content-Length: 5\r\n\r\nhello", bytes}},
  };
  const auto found = answers.find(name);
  return found == answers.end() ? std::nullopt : std::optional{found->second};
}

}  // namespace wagtailmount::testing
