// The interface between a protocol frontend and the node behind it. It names no protocol, so that
// every frontend goes through the same calls, decisions and rules.
#ifndef PEARREACH_SRC_NODE_ENGINE_CORE_H_
#define PEARREACH_SRC_NODE_ENGINE_CORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "common/event_loop/io.h"
#include "node/config/config.h"

namespace pearreach {

// Identifies one accepted job within this process; never reused.
using Ticket = dispatch::RequestId;

// A job as a client submits it. `path`, `body` and both ids reach the worker unchanged.
struct Job {
  std::string id;
  std::string path, body, idempotency_key, content_type;
  int cls = 0;
  int tenant = -1;
  double slots = 1;
  bool is_repeat = false;
  std::optional<std::uint64_t> key;
  Micros received = 0;        // when its last byte was read, by Now()
  Micros client_timeout = 0;  // how long the client waits
  Micros lease = 0;           // an attempt without an update for this long is given up; 0: no lease
  std::uint64_t fence = 0;    // fencing token of a durable job's attempts; 0: none
  std::string callback;       // URL that is called when a durable job has ended; empty: none
};

// The admission decision for a job, made before the dispatcher sees it, where the fleet shares
// budgets.
struct Admission {
  bool refused = false;            // a limit is reached: the job never reaches the dispatcher
  Micros retry_after = 0;          // if refused: when there will be room again
  std::optional<bool> over_share;  // the account exceeds its share at full value; none: not known
};

struct Answer {
  // kRejected: a worker found the job itself invalid.
  enum class Kind { kServed, kRefused, kRejected, kFailed };
  Kind kind = Kind::kFailed;
  std::string result;              // kServed
  Micros retry_after = 0;          // kRefused; 0: not given
  bool deadline_exceeded = false;  // kFailed
};

// Acknowledges a worker's update: `true` if the worker may discard it, `false` if it must send it
// again.
using JobUpdateAck = std::function<void(bool)>;

// The state of a durable job as shown to its client.
struct JobView {
  std::string id, state, cls, result, reason;
  bool ended = false, served = false, refused = false;
  bool deadline_exceeded = false;
  int attempts = 0;
  Micros retry_after = 0;
};

struct DurableSubmitResult {
  // kUnavailable: the job cannot be stored at present. kConflict: a job with this request id is
  // open. kBadCallback: the call-back URL is not allowed.
  enum class Kind { kAccepted, kUnavailable, kConflict, kBadCallback };
  Kind kind = Kind::kUnavailable;
  std::string id;  // kAccepted
  Micros retry_after = 0;
};
using DurableSubmitCallback = std::function<void(const DurableSubmitResult&)>;
using JobViewCallback = std::function<void(const std::optional<JobView>&)>;

// Receives the answers to the jobs that it has submitted.
class Client {
 public:
  virtual ~Client() = default;
  // Called once with the final answer; not from inside Submit, and not after Abandon.
  virtual void OnAnswer(Ticket ticket, const Answer& answer) = 0;
};

class Core {
 public:
  virtual ~Core() = default;
  virtual const dispatch::Site& site() const = 0;
  virtual bool ready() const = 0;
  virtual std::size_t open_jobs() const = 0;  // accepted and not yet answered
  // Returns nullopt if a job with this id is already open.
  virtual std::optional<Ticket> Submit(Job job, Client* client) = 0;
  // Gives a job up because its client has disconnected.
  virtual void Abandon(Ticket ticket) = 0;
  // Handles a worker's update about a job; `ack` is called once it has been processed.
  virtual void HandleJobUpdate(const News& update, JobUpdateAck ack) = 0;

  // Durable jobs. The default implementations refuse them.
  virtual bool supports_durable_jobs() const { return false; }
  // Stores a job. Calls `done` once the job is durable, or as soon as it is clear that it will not
  // be.
  // NOLINTNEXTLINE(performance-unnecessary-value-param): overrides take ownership of the job
  virtual void SubmitDurable(Job, DurableSubmitCallback done) {
    const DurableSubmitCallback callback = std::move(done);
    callback({});
  }
  // Reports a durable job's state: at once if `wait` is 0, otherwise once the job's end is durable
  // or after `wait`, whichever comes first. Reports nullopt if there is no such job.
  virtual void QueryDurable(const std::string&, Micros /*wait*/, JobViewCallback done) {
    const JobViewCallback callback = std::move(done);
    callback(std::nullopt);
  }
  // Answers all pending QueryDurable calls with the present state of their jobs. Later calls are
  // answered without waiting.
  virtual void AnswerWaiters() {}
  // Cancels a durable job at its client's request and reports its state.
  virtual void CancelDurable(const std::string&, JobViewCallback done) {
    const JobViewCallback callback = std::move(done);
    callback(std::nullopt);
  }
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_CORE_H_
