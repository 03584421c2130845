// A durable job and its attempts as they stand in the store. It owns nothing but plain records;
// times are Unix microseconds, as they must mean the same after a restart.
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
  kQueued = 0,     // taken on; no attempt of it is out
  kRunning = 1,    // an attempt is out, or its intent is written
  kInDoubt = 2,    // may have run, may run yet, and nobody says: no attempt may follow
  kServed = 3,     // ended, with a result
  kRefused = 4,    // ended: it never ran, and may be handed in again
  kFailed = 5,     // ended without promise
  kCancelled = 6,  // ended: given up by its client before it was sent
};
constexpr const char* kStateNames[] = {"queued",  "running", "in doubt", "served",
                                       "refused", "failed",  "cancelled"};
inline bool IsEnd(State s) { return s >= State::kServed; }

// What is known of an attempt.
enum class ExecutionState {
  kInFlight = 0,    // its intent is written; it may be on its way, running or done
  kNeverRan = 1,    // proven never to have run
  kMayHaveRun = 2,  // ended in a way that proves nothing
  kDone = 3,        // the worker said so
  kFenced = 4,  // may have run, but a higher fence was given out: it cannot take effect any more
};

struct Attempt {
  int number = 0;  // from 0 on, over restarts
  std::string worker;
  std::uint64_t fence = 0;    // higher than that of any attempt before it
  bool knows_fences = false;  // the worker refuses what comes with a lower fence
  ExecutionState execution = ExecutionState::kInFlight;
  bool started = false;
  UnixMicros sent = 0;         // when the intent was written
  UnixMicros lease_until = 0;  // extended by each word of it
};

struct Job {
  std::uint64_t seq = 0;  // the store's order of intake
  std::string id;         // public, in /_jobs/ID: MakeId
  std::string request_id, path, body, idempotency_key, content_type;
  std::string cls, tenant;  // by name: indices may change with the settings
  double slots = 1;
  std::optional<std::uint64_t> key;
  UnixMicros created = 0, due = 0, ended = 0;
  State state = State::kQueued;
  std::vector<Attempt> attempts;
  std::string result;            // kServed
  std::string reason;            // of any other end, or of the doubt, for people
  std::int64_t retry_after = 0;  // microseconds; kRefused
  std::string callback;          // a URL, or empty
  bool callback_done = false;
  int callback_tries = 0;
  UnixMicros next_callback_at = 0;  // when the next call is due; 0: none
  UnixMicros purge_at = 0;          // when its record may go; 0: not yet known
  // Of the node that has it. With an engine that nodes share, another may take over a job whose
  // owner's lease is over by raising the epoch; what the old owner writes then is refused.
  std::string owner;
  std::uint64_t epoch = 0;
};

// The public id of a job: 32 hex digits, of which the first half is its seq, so that a store finds
// it without an index of ids, and the second `chance`, so that nobody guesses another's.
std::string MakeJobId(std::uint64_t seq, std::uint64_t chance);
// The seq that an id claims; nothing where it is no id.
std::optional<std::uint64_t> SeqFromId(std::string_view id);

}  // namespace pearreach::job_state

#endif  // PEARREACH_SRC_NODE_JOB_STATE_JOB_H_
