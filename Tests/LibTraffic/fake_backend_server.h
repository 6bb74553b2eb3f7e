#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "LibBase/endpoint.h"
#include "Tests/LibTraffic/endless_answers.h"
#include "Tests/free_endpoint.h"

namespace wagtailmount::testing {

/// An HTTP server that reproduces the failures of real backend servers. It
/// answers 200 with the request's body, or with "hello" if there is none. The
/// header field "X-Fake" of a request selects another behaviour:
///   hang              runs the request and never answers
///   slow              answers after 300 ms
///   wait              answers once ReleaseWaitingRequests() has been called
///   close-unread      resets the connection without reading the body
///   reset-after-read  runs the request, then resets the connection
///   truncate          runs the request, then closes within a short body
///   truncate-chunked  the same with a chunked body
///   truncate-long     closes within a body too long for a node to buffer
///   truncate-held     closes within a body that a node buffers only if other
///                     requests on the connection wait for its end
///   long-wait         answers with a body of 1 MiB; its second half comes with
///                     ReleaseWaitingRequests()
///   long              answers with a body of 1 MiB
///   long-chunked      the same with a chunked body
///   until-close       delimits the body by closing the connection
///   until-close-cut   the same, reset before the body's end
///   long-until-close-cut  the same with a body too long for a node to buffer
///   wrong-id          answers with the X-Request-Id of another request
///   not-run           503 with X-Not-Run: true, without running the request
///   misdirected       421 with X-Not-Run: true, without running the request
///   plain-misdirected  421 alone, without running the request
///   copy              answers twice
///   late-copy         answers; a second copy precedes the next answer
///   garbage           answers with bytes that are not HTTP
///   close-after       answers completely, then closes the connection without
///                     having announced it
///   early-answer      sends a 103 response before the final one
///   crash             runs the request, then refuses connections and closes
///                     all that are open, as when its process ends
///   endless-...       sends bytes until the node closes the connection, in
///                     the part of the answer that the name says
///   own-fields        sets Wagtailmount-Verdict and Wagtailmount-Reason itself
class fake_backend_server {
 public:
  explicit fake_backend_server(endpoint address = FreeEndpoint());
  ~fake_backend_server();
  fake_backend_server(const fake_backend_server&) = delete;
  fake_backend_server& operator=(const fake_backend_server&) = delete;

  const endpoint& Address() const { return address_; }

  /// How many times a request with this X-Request-Id has been run.
  int RunCount(const std::string& id) const;
  int TotalRuns() const { return runs_; }
  /// How many connections have been accepted.
  int Connections() const { return connections_; }
  int PeakConnections() const { return peak_connections_; }
  int PeakRunning() const { return peak_running_; }
  /// How many requests it works on now.
  int Running() const { return running_; }
  /// The request line and header of the last request, as received.
  std::string LastRequestHead() const;
  void ReleaseWaitingRequests();
  bool HasCrashed() const { return has_crashed_; }
  /// Closes all connections, as a restart does whose listening socket belongs
  /// to a supervisor.
  void CloseConnections();
  /// How many endless answers are being sent.
  int EndlessAnswers() const { return endless_answers_; }
  /// Adds header fields, each a line that ends with CRLF, to the answers with a
  /// body of stated length and to those of "not-run", from now on.
  void SetAnswerFields(const std::string& lines);
  /// The greatest number of requests received within any `window` that begins
  /// at `from` or later.
  int MaximumReceived(std::chrono::steady_clock::time_point from,
                      std::chrono::milliseconds window) const;

 private:
  void ServeConnection(int socket);
  /// `owed_copy` is sent before the answer to the next request.
  bool AnswerNextRequest(int socket, std::string& unread,
                         std::string& owed_copy);
  /// Spends the time that a behaviour takes before its answer.
  void Run(int socket, const std::string& behaviour);
  void Crash();
  void SendUntilClosed(int socket, const endless_answer& answer);
  bool SendAnswer(int socket, const std::string& behaviour,
                  const std::string& id, const std::string& method,
                  const std::string& body, std::string& owed_copy);

  endpoint address_;
  int listener_ = -1;
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> has_crashed_{false};
  std::atomic<int> runs_{0};
  std::atomic<int> connections_{0};
  std::atomic<int> peak_connections_{0};
  std::atomic<int> running_{0};
  std::atomic<int> endless_answers_{0};
  std::atomic<int> peak_running_{0};
  mutable std::mutex mutex_;
  std::condition_variable released_;
  bool is_released_ = false;
  std::map<std::string, int> runs_by_id_;
  std::string answer_fields_;
  std::vector<std::chrono::steady_clock::time_point> received_at_;
  std::string last_request_head_;
  std::vector<int> sockets_;
  std::vector<std::thread> connection_threads_;
  std::thread accept_thread_;
};

}  // namespace wagtailmount::testing
