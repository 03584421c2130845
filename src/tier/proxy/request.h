// A request that must run on a worker of a service: a live one of a client, or an item of a batch
// job. Both pass the same admission (dispatch::Dispatcher, one a service).
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
  std::string service;                // the route's target, already picked from a split
  std::string method, target;         // as the worker gets them
  std::vector<http::Header> headers;  // end-to-end ones, X-Attempt-Id and Host among them
  std::string body;
  std::string attempt_id;  // X-Attempt-Id
  // On the clock of Now(): the client's deadline or the end of the route's limit, the earlier of
  // the two. 0: no deadline.
  Micros deadline = 0;
  double target_ms = 0;             // latency target for the first byte
  double gap_target_ms = 0;         // streamed: longest pause between events that keeps it in time
  int rank = 0;                     // 0 is the most urgent
  int attempts = 1;                 // most workers that it may be sent to
  bool idempotent = false;          // may run more than once
  bool streamed = false;            // text/event-stream with rising ids
  bool resumable = false;           // streamed and may go on at another worker with Last-Event-Id
  bool bulk = false;                // an item of a batch job: yields to live requests
  bool stop_on_500 = false;         // a 500 of a worker ends the request: no further worker gets it
  std::uint64_t last_event_id = 0;  // of the request; 0: from the start
  std::uint64_t prefix_key = 0;     // of the shared parts of its prompt (PromptShape); 0: none
  double shared_tokens = 0;         // of these parts
  double own_tokens = 0;            // of its prompt, shared with nobody
  double total_tokens = 0;          // prompt tokens plus the maximum of output tokens
};

enum class RequestEnd {
  kComplete,  // the whole answer was passed on
  kNotRun,    // a promise: it has not run and never will; come back after `retry_after`
  kFailed,    // no promise: a worker failed, or may have run it
  kTimeout,   // the time is over, no promise
  kBroken,    // the answer had begun and cannot be completed
};

struct RequestResult {
  RequestEnd end = RequestEnd::kFailed;
  Micros retry_after = 0;
  int worker_status = 0;  // last status that a worker gave, 0: none
};

// OnHead once at most, then OnBody any number of times, then OnEnd exactly once. For a streamed one
// OnBody carries whole events, none twice, without gaps, whichever workers they came from.
class RequestSink {
 public:
  virtual ~RequestSink() = default;
  virtual void OnHead(int status, const std::vector<http::Header>& headers) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnEnd(const RequestResult& result) = 0;
  // Bytes that the receiver has not taken. Once there are many, the worker's connection is read no
  // further until RequestRunner::Resume.
  virtual std::size_t backlog() const { return 0; }
};

class RequestRunner {
 public:
  virtual ~RequestRunner() = default;
  // Accepts the request; the sink is told its end unless Cancel comes first.
  virtual std::uint64_t Submit(RequestSpec spec, std::shared_ptr<RequestSink> sink) = 0;
  // The client is gone or the batch job was ended: closes connections to workers at once; the sink
  // is not called any more.
  virtual void Cancel(std::uint64_t request) = 0;
  // The receiver of the response has taken all that was pending: reading from the worker goes on.
  virtual void Resume(std::uint64_t) {}
  // How many more items of this service this node would run now without harm to live ones;
  // 0 where workers are unknown or filled.
  virtual int BulkCapacity(const std::string& service) const = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_REQUEST_H_
