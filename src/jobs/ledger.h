// What is decided about durable jobs beside the module: leases, doubt and what resolves it, what
// becomes of a job after a crash and in which order, how fast recovered jobs come back, how long
// ends are kept. Pure: no I/O, no clock. It must never let a `once` job out again that may have run
// where the old attempt could still take effect.
#ifndef PEARREACH_SRC_JOBS_LEDGER_H_
#define PEARREACH_SRC_JOBS_LEDGER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "marlquay/dispatcher.h"

namespace pearreach::jobs {

struct Policy {
  std::int64_t lease = 10'000'000;             // microseconds without a word of an attempt
  std::int64_t keep = 3600'000'000ll;          // ends are kept so long
  int recovered_at_once = 64;                  // recovered jobs in the module's hands at most
  std::int64_t longest = 24 * 3600'000'000ll;  // of a job's time
};

// What becomes of a job that the store holds when a node starts.
struct Recovery {
  enum class What {
    kNothing,   // it has ended, or waits in doubt
    kQueue,     // to the module again, as a job that waits
    kAdopt,     // to the module with its attempt, which may be running
    kDoubt,     // its lease ran out meanwhile: the module never sees it
    kEnd,       // its time is over: failed, at once
    kWithdraw,  // it belongs to classes or tenants that are no more: failed, at once
  } what = What::kNothing;
  std::string reason;
};

Recovery Recover(const Job& job, const marlquay::ClassSettings* cls, const Policy& policy,
                 UnixMicros now);

// An attempt has been silent for its lease, or ended in a way that proves nothing: may the job go
// out again by the rules alone (the module decides whether it does)?
bool MayRepeat(const Job& job, const marlquay::ClassSettings& cls, UnixMicros now);

// The end that a 'failed' of the module means for the job: where an attempt may have run and the
// class forbids a repeat, nobody knows whether it took effect.
State EndOfFailure(const Job& job, const marlquay::ClassSettings& cls);

// What a word about a job in doubt, or about one that ended without promise, makes of it.
struct Resolution {
  bool resolves = false;
  State state = State::kFailed;
  std::string reason;
};
enum class Word { kDone, kFailed, kReturned, kLost };
Resolution Resolve(const Job& job, const std::string& worker, Word word);

// A job in doubt may be given out once more where every attempt that may have run is at a worker
// that knows fences: with a higher fence the old ones can no longer take effect.
bool MayFence(const Job& job);
std::uint64_t NextFence(const Job& job);

// An end that has been kept for long enough, and whose client has been told.
bool MayForget(const Job& job, const Policy& policy, UnixMicros now);

// Wait before call-back number `tries` + 1, with a part by chance (0 to 1): 1 s doubled, to 5 min.
std::int64_t CallbackWait(int tries, double chance);
constexpr int kMostCallbacks = 20;

// Gives recovered jobs back in their order, as the module's hands become free: new jobs are not
// starved by a hundred thousand old ones.
class Pacer {
 public:
  explicit Pacer(int at_once) : at_once_(at_once) {}
  // How many more may be handed over now.
  int Room() const { return at_once_ > out_ ? at_once_ - out_ : 0; }
  void Out() { ++out_; }
  void Back() { --out_; }

 private:
  int at_once_, out_ = 0;
};

}  // namespace pearreach::jobs

#endif  // PEARREACH_SRC_JOBS_LEDGER_H_
