// What is decided about durable jobs beside the module: leases, doubt and what resolves it, what
// becomes of a job after a crash and in which order, how fast recovered jobs come back, how long
// ends are kept. Pure: no I/O, no clock. It must never let a `once` job out again that may have run
// where the old attempt could still take effect.
#ifndef PEARREACH_SRC_NODE_JOB_STATE_LEDGER_H_
#define PEARREACH_SRC_NODE_JOB_STATE_LEDGER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "node/job_state/job.h"
#include "pearreach/dispatcher.h"

namespace pearreach::job_state {

struct Policy {
  std::int64_t lease = 10'000'000;                  // microseconds without a word of an attempt
  std::int64_t retention = 3600'000'000ll;          // ends are kept so long
  int initial_backlog_window = 64;                  // jobs of the backlog handed over at first
  int max_in_flight = 4096;                         // durable jobs in the module's hands at most
  std::size_t max_in_flight_bytes = 64u << 20;      // likewise, of their bodies
  std::int64_t max_duration = 24 * 3600'000'000ll;  // of a job's time
};

// What becomes of a job that the store holds when a node starts.
struct Recovery {
  enum class Action {
    kNone,              // it has ended, or waits in doubt
    kRequeue,           // to the module again, as a job that waits
    kAdopt,             // to the module with its attempt, which may be running
    kMarkInDoubt,       // its lease ran out meanwhile: the module never sees it
    kFailOverdue,       // its time is over: failed, at once
    kFailUnknownClass,  // it belongs to classes or tenants that are no more: failed, at once
  } action = Action::kNone;
  std::string reason;
};

Recovery Recover(const Job& job, const dispatch::ClassSettings* cls, const Policy& policy,
                 UnixMicros now);

// An attempt has been silent for its lease, or ended in a way that proves nothing: may the job go
// out again by the rules alone (the module decides whether it does)?
bool MayRepeat(const Job& job, const dispatch::ClassSettings& cls, UnixMicros now);

// The end that a 'failed' of the module means for the job: where an attempt may have run and the
// class forbids a repeat, nobody knows whether it took effect.
State StateAfterFailure(const Job& job, const dispatch::ClassSettings& cls);

// What a word about a job in doubt, or about one that ended without promise, makes of it.
struct Resolution {
  bool resolves = false;
  State state = State::kFailed;
  std::string reason;
};
enum class WorkerReport { kDone, kFailed, kReturned, kLost };
Resolution Resolve(const Job& job, const std::string& worker, WorkerReport word);

// A job in doubt may be given out once more where every attempt that may have run is at a worker
// that knows fences: with a higher fence the old ones can no longer take effect.
bool MayFence(const Job& job);
std::uint64_t NextFence(const Job& job);

// Plans what follows an end, in the job's own fields: when its call-back is due (`chance` from 0 to
// 1 spreads the calls: 1 s doubled, to 5 min) and, where nothing is left to tell, when its record
// may go. To be called at the end and after each call.
void ScheduleAfterEnd(Job* job, const Policy& policy, UnixMicros now, double chance);
std::int64_t CallbackBackoff(int tries, double chance);
constexpr int kMaxCallbackAttempts = 20;

// How many durable jobs are in the module's hands. New ones go to it at once while there is room;
// what has no room, and what a restart found waiting, is the backlog: it lies in the store and
// comes back a few at a time. The window for it grows by one with each that was served and halves
// with each refused, so that a hundred thousand old jobs neither starve new ones nor push over cold
// workers, and yet keep a warm fleet busy. The backlog's window is on top of the room for new ones:
// neither can shut the other out.
class Pacer {
 public:
  explicit Pacer(const Policy& policy);
  bool RoomForNew(std::size_t bytes) const;
  int RoomForBacklog() const;  // how many more may be handed over now
  void OnHandedOver(bool backlog, std::size_t bytes);
  enum class Result { kServed, kRefused, kOther };
  void OnFinished(bool backlog, std::size_t bytes, Result end);
  int window() const { return window_; }
  int in_flight() const { return new_in_flight_ + backlog_in_flight_; }

 private:
  int min_window_, max_window_, window_;
  std::size_t max_bytes_, bytes_ = 0;
  int new_in_flight_ = 0, backlog_in_flight_ = 0;
};

}  // namespace pearreach::job_state

#endif  // PEARREACH_SRC_NODE_JOB_STATE_LEDGER_H_
