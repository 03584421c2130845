// The rules for durable jobs that the Dispatcher does not cover: leases, jobs in doubt and how they
// are resolved, recovery after a crash, the pace at which recovered jobs are handed over, and the
// retention of ended jobs. Pure functions without I/O or clock. A job of effect `once` that may
// have run is never sent again while the old attempt could still take effect.
#ifndef PEARREACH_SRC_NODE_JOB_STATE_LEDGER_H_
#define PEARREACH_SRC_NODE_JOB_STATE_LEDGER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "node/job_state/job.h"
#include "pearreach/dispatcher.h"

namespace pearreach::job_state {

struct Policy {
  std::int64_t lease = 10'000'000;              // microseconds without an update about an attempt
  std::int64_t retention = 3600'000'000ll;      // microseconds for which ended jobs are kept
  int initial_backlog_window = 64;              // backlog jobs handed over at first
  int max_in_flight = 4096;                     // durable jobs with the Dispatcher
  std::size_t max_in_flight_bytes = 64u << 20;  // total size of their bodies
  std::int64_t max_duration = 24 * 3600'000'000ll;  // longest client time-out, in microseconds
};

// How a stored job continues when a node starts.
struct Recovery {
  enum class Action {
    kNone,              // it has ended, or is in doubt
    kRequeue,           // hand it to the Dispatcher as a waiting job
    kAdopt,             // hand it over with its attempt, which may be running
    kMarkInDoubt,       // its lease has expired; the Dispatcher never sees it
    kFailOverdue,       // fail it: its time is over, or it was reported failed
    kFailUnknownClass,  // fail it: its class no longer exists
  } action = Action::kNone;
  std::string reason;
};

Recovery Recover(const Job& job, const dispatch::ClassSettings* cls, const Policy& policy,
                 UnixMicros now);

// Returns whether a job may be sent again after an attempt whose lease has expired, or that ended
// without proof of whether it ran. Whether it is sent is up to the Dispatcher.
bool MayRepeat(const Job& job, const dispatch::ClassSettings& cls, UnixMicros now);

// Returns the state of a job that the Dispatcher has failed: kInDoubt if its class forbids repeats
// and an attempt may have run, as it is then unknown whether the job took effect.
State StateAfterFailure(const Job& job, const dispatch::ClassSettings& cls);

// The effect of a worker's report on a job in doubt.
struct Resolution {
  bool resolves = false;
  State state = State::kFailed;
  std::string reason;
};
enum class WorkerReport { kDone, kFailed, kReturned, kLost };
Resolution Resolve(const Job& job, const std::string& worker, WorkerReport report);

// Returns whether a job in doubt may be sent again with a higher fencing token. That requires that
// each attempt that may have run is at a worker that supports fencing, as it can then no longer
// take effect.
bool MayFence(const Job& job);
std::uint64_t NextFence(const Job& job);

// Sets when an ended job's next call-back is due or, if no call-back is left to make, when its
// record may be deleted. To be called when the job ends and after each call-back. `random` is from
// 0 to 1.
void ScheduleAfterEnd(Job* job, const Policy& policy, UnixMicros now, double random);
// Returns the wait after the call-back number `tries` (from 0) in microseconds: 1 s, doubled up to
// 5 min, of which `random` (0 to 1) selects a value in the upper half.
std::int64_t CallbackBackoff(int tries, double random);
constexpr int kMaxCallbackAttempts = 20;

// Limits the durable jobs that the Dispatcher has at a time. New jobs are handed over at once while
// there is room. Jobs without room, and those that a restart finds waiting, form the backlog: they
// stay in the store and are handed over a few at a time. The window for the backlog grows by one
// with each job served and halves with each job refused, so that a backlog of a hundred thousand
// jobs neither starves new jobs nor overloads cold workers, and still keeps a warm fleet busy. The
// window is in addition to the room for new jobs, so that neither can block the other.
class Pacer {
 public:
  explicit Pacer(const Policy& policy);
  bool RoomForNew(std::size_t bytes) const;
  int RoomForBacklog() const;  // how many more jobs may be handed over now
  void OnHandedOver(bool backlog, std::size_t bytes);
  enum class Result { kServed, kRefused, kOther };
  void OnFinished(bool backlog, std::size_t bytes, Result result);
  int window() const { return window_; }
  int in_flight() const { return new_in_flight_ + backlog_in_flight_; }

 private:
  int min_window_, max_window_, window_;
  std::size_t max_bytes_, bytes_ = 0;
  int new_in_flight_ = 0, backlog_in_flight_ = 0;
};

}  // namespace pearreach::job_state

#endif  // PEARREACH_SRC_NODE_JOB_STATE_LEDGER_H_
