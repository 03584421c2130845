// Where durable jobs lie: an interface, so that an engine that several nodes share can stand behind
// it later, and the one engine there is, SQLite. It owns the file and the thread that reads and
// writes it; it must never say that something is durable which the engine has not synced, never
// take a failed sync for good, and never make the loop wait.
#ifndef PEARREACH_SRC_NODE_JOB_STORE_STORE_H_
#define PEARREACH_SRC_NODE_JOB_STORE_STORE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "node/job_state/job.h"

namespace pearreach::job_store {

// What cannot be opened or read, in one line.
struct StoreError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---------------------------------------------------------------- changes

// A new job, whole. Not written where a job that is kept has its idempotency key (within class and
// account) or its request id; one that was refused holds neither, for it never ran.
struct TakeJob {
  job_state::Job job;
};
// A job's record as it changes: all but what its client handed in. The body goes with its end.
struct PutJob {
  job_state::Job job;
};
struct PutAttempt {
  std::uint64_t seq = 0;
  job_state::Attempt attempt;
};
// The worker has said that it knows fences.
struct KnowsFences {
  std::string worker;
};
// Drops up to `limit` jobs that may be forgotten by `now`.
struct Forget {
  job_state::UnixMicros now = 0;
  int limit = 1000;
};
using Change = std::variant<TakeJob, PutJob, PutAttempt, KnowsFences, Forget>;

struct Outcome {
  std::string error;  // empty: all is synced
  enum class Kind { kWritten, kTwin, kConflict };
  Kind kind =
      Kind::kWritten;  // of a TakeJob: kTwin, the key's job is `id`; kConflict, the request's
  std::string id;
  std::uint64_t forgotten = 0;
};

// Changes that become durable together or not at all. A TakeJob stands alone.
struct Write {
  std::vector<Change> changes;
  std::function<void(const Outcome&)> done;  // on the main loop; null: nobody asks
};

// ---------------------------------------------------------------- questions

struct ById {
  std::string id;
};
struct BySeq {
  std::uint64_t seq = 0;
};
struct ByRequest {
  std::string request_id;
};
// Up to `limit` jobs of a state that has not ended, by their order of intake, after `after`.
struct InState {
  job_state::State state = job_state::State::kQueued;
  std::uint64_t after = 0;
  int limit = 64;
};
// Queued jobs whose time is over by `now`.
struct Overdue {
  job_state::UnixMicros now = 0;
  int limit = 256;
};
// Ends whose call-back is planned, by its time.
struct WantCallback {
  int limit = 256;
};
using Question = std::variant<ById, BySeq, ByRequest, InState, Overdue, WantCallback>;

struct Found {
  std::string error;
  std::vector<job_state::Job> jobs;  // with their attempts, bodies and results
};

// Answered on the main loop. It sees all writes whose `done` was called before this answer; one
// that is still under way may be seen or not.
struct Read {
  Question question;
  std::function<void(Found)> done;
};

struct Figures {
  std::uint64_t writes = 0, groups = 0, failures = 0, reads = 0;  // a group has one sync
  std::uint64_t waiting = 0;                                      // not yet durable
  std::uint64_t file_bytes = 0;
};

class Store {
 public:
  virtual ~Store() = default;  // writes what is waiting
  virtual void Submit(Write write) = 0;
  virtual void Ask(Read read) = 0;
  // Blocking, so for starts and tools. In the order of intake.
  virtual void Load(const std::function<void(job_state::Job)>& each) = 0;
  virtual void LoadState(job_state::State state,
                         const std::function<void(job_state::Job)>& each) = 0;
  // How many jobs there are in each state that has not ended.
  virtual std::array<std::uint64_t, 3> CountOpen() = 0;
  virtual std::vector<std::string> FencingWorkers() = 0;
  // Answers at once; by tools.
  virtual Found AskNow(const Question& question) = 0;

  virtual std::uint64_t NextSeq() = 0;
  // Another node's epoch has been seen: this one owns the store no longer.
  virtual bool lost() const = 0;
  virtual Figures figures() = 0;
};

// Faults for tests, asked around each commit: empty lets it through, else it fails with this text.
// kSync comes after what was written has in truth reached the disk: a sync that fails says nothing.
enum class Stage { kCommit, kSync };
using Fault = std::function<std::string(Stage)>;

struct SqliteOptions {
  std::string path;
  std::string owner;       // the node's name
  bool read_only = false;  // for tools: takes no ownership
  Fault fault;
};

// Throws StoreError: a newer version, a file that is none, another node's lock.
std::unique_ptr<Store> OpenSqlite(const SqliteOptions& options);

// "ok", or what is wrong with the file, a line each.
std::vector<std::string> VerifySqlite(const std::string& path);
// Gives the room of forgotten jobs back. Bytes before and after.
std::pair<std::uint64_t, std::uint64_t> CompactSqlite(const std::string& path);

}  // namespace pearreach::job_store

#endif  // PEARREACH_SRC_NODE_JOB_STORE_STORE_H_
