// Where durable jobs lie: an interface, so that an engine that several nodes share can stand behind
// it later, and the one engine there is, SQLite. It owns the file and the thread that writes; it
// must never say that something is durable which the engine has not synced, never take a failed
// sync for good, and never make the loop wait.
#ifndef PEARREACH_SRC_STORE_STORE_H_
#define PEARREACH_SRC_STORE_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jobs/job.h"

namespace pearreach::store {

// What cannot be opened or read, in one line.
struct StoreError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One change. A job's record is written whole but for its attempts, which have records of their
// own.
struct PutJob {
  jobs::Job job;
  bool with_payload = false;  // path, body and the rest that never changes, at its intake
};
struct PutAttempt {
  std::uint64_t seq = 0;
  jobs::Attempt attempt;
};
struct Forget {
  std::uint64_t seq = 0;
};
using Change = std::variant<PutJob, PutAttempt, Forget>;

// Changes that become durable together or not at all.
struct Write {
  std::vector<Change> changes;
  // Called on the main loop: empty once all is synced, else why it is not. Null: nobody asks.
  std::function<void(const std::string& error)> done;
};

struct Figures {
  std::uint64_t writes = 0, groups = 0, failures = 0;  // a group has one sync
  std::uint64_t waiting = 0;                           // not yet durable
  std::uint64_t file_bytes = 0;
};

class Store {
 public:
  virtual ~Store() = default;  // writes what is waiting
  virtual void Submit(Write write) = 0;
  // Blocking; before any Submit, or by tools. Jobs in the order of their intake.
  virtual void Load(const std::function<void(jobs::Job)>& each) = 0;
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

}  // namespace pearreach::store

#endif  // PEARREACH_SRC_STORE_STORE_H_
