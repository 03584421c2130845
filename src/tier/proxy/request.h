// A request to be run on a worker of a service: a live client request or an item of a batch job.
// Both kinds pass the same admission (one dispatch::Dispatcher per service).
#ifndef PEARREACH_SRC_TIER_PROXY_REQUEST_H_
#define PEARREACH_SRC_TIER_PROXY_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"

namespace pearreach::proxy {

struct RequestSpec {
  std::string service;                // target of the route, after the traffic split
  std::string method, target;         // as sent to the worker
  std::vector<http::Header> headers;  // end-to-end headers, including X-Attempt-Id and Host
  std::string body;
  std::string attempt_id;  // X-Attempt-Id
  // On the clock of Now(): the client's deadline or the end of the route's limit, the earlier of
  // the two. 0: no deadline.
  Micros deadline = 0;
  double target_ms = 0;      // latency target for the first byte
  double gap_target_ms = 0;  // streamed: latency target between two events
  int rank = 0;              // 0 is the most urgent
  int attempts = 1;          // maximum number of workers on which it may run
  bool idempotent = false;   // safe to run more than once
  bool streamed = false;     // response is a text/event-stream with increasing ids
  // Streamed, and another worker can resume the stream with Last-Event-Id.
  bool resumable = false;
  bool bulk = false;                // item of a batch job; has lower priority than live requests
  bool stop_on_500 = false;         // a response with status 500 is final and not retried
  std::uint64_t last_event_id = 0;  // Last-Event-Id of the request; 0: from the start
  std::uint64_t prefix_key = 0;     // key of the shared prompt prefix (PromptShape); 0: none
  double shared_tokens = 0;         // prompt tokens in the shared prefix
  double own_tokens = 0;            // prompt tokens outside the shared prefix
  double total_tokens = 0;          // prompt tokens plus maximum output tokens
};

enum class RequestEnd {
  kComplete,  // the complete response was forwarded
  kNotRun,    // guaranteed not to have run; retry after `retry_after`
  kFailed,    // a worker failed; the request may have run
  kTimeout,   // deadline exceeded; the request may have run
  kBroken,    // the response was partly forwarded and cannot be completed
};

struct RequestResult {
  RequestEnd end = RequestEnd::kFailed;
  Micros retry_after = 0;
  int worker_status = 0;  // status of the last worker response; 0: none
};

// Receives the response: OnHead at most once, then OnBody any number of times, then OnEnd exactly
// once. For a streamed request, OnBody delivers complete events without duplicates or gaps,
// whichever workers they came from.
class RequestSink {
 public:
  virtual ~RequestSink() = default;
  virtual void OnHead(int status, const std::vector<http::Header>& headers) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnEnd(const RequestResult& result) = 0;
  // Asked immediately before the request is sent to a worker, at each attempt. If false, it is not
  // sent any more and ends.
  virtual bool MaySend() const { return true; }
  // Bytes that the client has not received yet. Above a limit, the worker's connection is not read
  // until RequestRunner::Resume.
  virtual std::size_t backlog() const { return 0; }
};

class RequestRunner {
 public:
  virtual ~RequestRunner() = default;
  // Starts the request and returns its id. The sink receives OnEnd unless the request is cancelled
  // first.
  virtual std::uint64_t Submit(RequestSpec spec, std::shared_ptr<RequestSink> sink) = 0;
  // Cancels a request because its client disconnected or its batch job was cancelled. Closes the
  // connection to the worker at once; the sink is not called any more.
  virtual void Cancel(std::uint64_t request) = 0;
  // Ends a request before its deadline, because this process shuts down. The sink receives OnEnd
  // with what is known of the request, as at its deadline.
  virtual void Terminate(std::uint64_t) {}
  // Continues reading the worker's response after the client has received the backlog.
  virtual void Resume(std::uint64_t) {}
  // Number of further batch items of this service that this node can run now without delaying live
  // requests. 0 if no workers are known or all are busy.
  virtual int BulkCapacity(const std::string& service) const = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_REQUEST_H_
