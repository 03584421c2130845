// The narrow interface between a front (a protocol that clients speak) and the node behind it. It
// owns nothing. It must never name a protocol: another front goes through the same calls, and so
// through the same decisions and rules.
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

using Ticket = dispatch::RequestId;  // of one taken job, never used twice

// A job as a client submits it. `path`, `body` and both ids reach the worker unchanged.
struct Job {
  std::string id;
  std::string path, body, idempotency_key, content_type;
  int cls = 0;
  int tenant = -1;
  double slots = 1;
  bool is_repeat = false;
  std::optional<std::uint64_t> key;
  Micros received = 0;        // when its last byte was seen, by Now()
  Micros client_timeout = 0;  // how long its client waits
  Micros lease = 0;           // an attempt without a word for so long is given up; 0: not for that
  std::uint64_t fence = 0;    // of a durable job's attempts; 0: none
  std::string callback;       // where a durable job's end is told; empty: nowhere
};

// What is decided of a job before the module sees it, where the fleet shares budgets.
struct Admission {
  bool refused = false;            // a limit is reached: the module never hears of the job
  Micros retry_after = 0;          // refused: until there is room
  std::optional<bool> over_share;  // beyond what its account may use in full worth; none: not known
};

struct Answer {
  enum class Kind { kServed, kRefused, kRejected, kFailed };  // kRejected: the job itself is bad
  Kind kind = Kind::kFailed;
  std::string result;              // kServed
  Micros retry_after = 0;          // kRefused; 0: says nothing
  bool deadline_exceeded = false;  // kFailed: the time is up
};

// A word about a worker's news: true, it may forget it; false, it should say it again.
using JobUpdateAck = std::function<void(bool)>;

// A durable job as its client may see it.
struct JobView {
  std::string id, state, cls, result, reason;
  bool ended = false, served = false, refused = false;
  bool deadline_exceeded = false;  // ended because its time was up
  int attempts = 0;
  Micros retry_after = 0;
};

struct DurableSubmitResult {
  // kAway: cannot be made durable now; kBad: its call-back may not be called.
  enum class Kind { kAccepted, kUnavailable, kConflict, kBadCallback };
  Kind kind = Kind::kUnavailable;
  std::string id;  // kTaken
  Micros retry_after = 0;
};
using DurableSubmitCallback = std::function<void(const DurableSubmitResult&)>;
using JobViewCallback = std::function<void(const std::optional<JobView>&)>;

class Client {
 public:
  virtual ~Client() = default;
  // The one final answer. Not called from inside Submit, nor after Abandon.
  virtual void OnAnswer(Ticket ticket, const Answer& answer) = 0;
};

class Core {
 public:
  virtual ~Core() = default;
  virtual const dispatch::Site& site() const = 0;
  virtual bool ready() const = 0;
  virtual std::size_t open_jobs() const = 0;  // taken and not answered
  // Nothing: a job of this id is open.
  virtual std::optional<Ticket> Submit(Job job, Client* client) = 0;
  virtual void Abandon(Ticket ticket) = 0;  // the client has gone away
  virtual void HandleJobUpdate(const News& news,
                               JobUpdateAck heard) = 0;  // a worker's word of a job

  // Durable jobs; a core that keeps none refuses them.
  virtual bool supports_durable_jobs() const { return false; }
  // Takes a job on durably; `taken` is told once that is so, or at once that it is not.
  // NOLINTNEXTLINE(performance-unnecessary-value-param): an override takes the job over
  virtual void SubmitDurable(Job, DurableSubmitCallback taken) {
    const DurableSubmitCallback done = std::move(taken);
    done({});
  }
  // Tells how a durable job stands: at once, or once it has ended and that is durable, `wait` from
  // now at the latest. Nothing: there is no such job.
  virtual void QueryDurable(const std::string&, Micros /*wait*/, JobViewCallback seen) {
    const JobViewCallback done = std::move(seen);
    done(std::nullopt);
  }
  // Those who wait in Look are told how their jobs stand, now; nobody waits from then on.
  virtual void AnswerWaiters() {}
  virtual void CancelDurable(const std::string&, JobViewCallback seen) {
    const JobViewCallback done = std::move(seen);
    done(std::nullopt);
  }
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_CORE_H_
