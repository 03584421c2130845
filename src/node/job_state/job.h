// The stored form of a durable job and its attempts. Times are Unix time in microseconds, so that
// they stay valid after a restart.
#ifndef PEARREACH_SRC_NODE_JOB_STATE_JOB_H_
#define PEARREACH_SRC_NODE_JOB_STATE_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::job_state {

using UnixMicros = std::int64_t;

enum class State {
  kQueued = 0,     // accepted; no attempt is in flight
  kRunning = 1,    // an attempt is in flight, or the intent to send it is stored
  kInDoubt = 2,    // may have run or still run, without a report: it must not be sent again
  kServed = 3,     // ended with a result
  kRefused = 4,    // ended without having run; the client may submit it again
  kFailed = 5,     // ended without a statement on whether it ran
  kCancelled = 6,  // ended: cancelled by its client
};
constexpr const char* kStateNames[] = {"queued",  "running", "in doubt", "served",
                                       "refused", "failed",  "cancelled"};
inline bool IsEnd(State s) { return s >= State::kServed; }

// Whether an attempt has run, as far as is known.
enum class ExecutionState {
  kInFlight = 0,    // its intent is stored; it may be under way, running or done
  kNeverRan = 1,    // it provably never ran
  kMayHaveRun = 2,  // ended without proof of either
  kDone = 3,        // reported by the worker
  kFenced = 4,      // may have run, but a higher fencing token bars it from taking effect
};

struct Attempt {
  int number = 0;  // counts from 0, also across restarts
  std::string worker;
  std::uint64_t fence = 0;    // fencing token, higher than that of all earlier attempts
  bool knows_fences = false;  // the worker refuses requests with a lower token
  ExecutionState execution = ExecutionState::kInFlight;
  bool started = false;
  UnixMicros sent = 0;         // when the intent was stored
  UnixMicros lease_until = 0;  // extended by each update
};

struct Job {
  std::uint64_t seq = 0;  // position in the store's order of submission
  std::string id;         // public id, in /_jobs/ID; see MakeJobId
  std::string request_id, path, body, idempotency_key, content_type;
  std::string cls, tenant;  // by name, as indices may change with the settings
  double slots = 1;
  std::optional<std::uint64_t> key;
  UnixMicros created = 0, due = 0, ended = 0;
  State state = State::kQueued;
  std::vector<Attempt> attempts;
  std::string result;            // kServed
  std::string reason;            // for people; of any other end, or of kInDoubt
  std::int64_t retry_after = 0;  // microseconds; kRefused
  std::string callback;          // a URL, or empty
  bool callback_done = false;
  int callback_tries = 0;
  UnixMicros next_callback_at = 0;  // when the next call-back is due; 0: none
  UnixMicros purge_at = 0;          // when the record may be deleted; 0: not yet known
  // The node that owns the job. In a store that nodes share, another node may take over a job whose
  // owner's lease has expired by raising the epoch. The store then refuses the old owner's writes.
  std::string owner;
  std::uint64_t epoch = 0;
};

// Returns the public id of a job: 32 hex digits. The first half is its seq, so that a store finds
// the job without an index of ids. The second half is `random`, so that ids cannot be guessed.
std::string MakeJobId(std::uint64_t seq, std::uint64_t random);
// Returns the seq contained in an id, or nullopt if the id is malformed.
std::optional<std::uint64_t> SeqFromId(std::string_view id);

}  // namespace pearreach::job_state

#endif  // PEARREACH_SRC_NODE_JOB_STATE_JOB_H_
