// One LMDB file with the tables of a process: opens it, reads the last synced state and commits
// several batches in one transaction. Owned by the table store.
//
// Thread safety: Commit and SetDiskId are called by one thread at a time (the writer thread once it
// runs); reads may come from any thread. LMDB's own locks are off, as they have no effect where
// this runs: reads share one snapshot, which is renewed under a mutex after each sync.
#ifndef PEARREACH_SRC_TIER_STORAGE_ENVIRONMENT_H_
#define PEARREACH_SRC_TIER_STORAGE_ENVIRONMENT_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <lmdb.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "tier/storage/table_store.h"

namespace pearreach::storage {

class Environment {
 public:
  struct Options {
    std::string file;
    // Puts may fill the file up to the first limit; transactions that only erase may use it up to
    // the second one, so that a full file can be emptied.
    std::size_t put_limit_bytes = 0, erase_limit_bytes = 0;
  };

  static absl::StatusOr<std::unique_ptr<Environment>> Open(const Options& options);
  ~Environment();
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;

  // Writer thread: applies and syncs `batches` in one transaction if all fit, else each in its own.
  // Returns one status a batch, RESOURCE_EXHAUSTED if it does not fit. After a failed sync all
  // further batches fail with its status, as the content of the file is not known.
  std::vector<absl::Status> Commit(const std::vector<std::vector<Write>>& batches);

  // Any thread; as of the last sync. NOT_FOUND: no such key.
  absl::StatusOr<std::string> Get(std::string_view key) const;
  absl::Status ForEach(
      std::string_view prefix,
      const std::function<void(std::string_view key, std::string_view value)>& visit) const;

  // Any thread; as of the last sync.
  Space space() const { return {used_bytes_.load(), options_.put_limit_bytes}; }

  // The random id of the disk's contents, in the table with the metadata of the file.
  absl::Status SetDiskId(const std::string& disk_id);
  absl::StatusOr<std::string> ReadDiskId() const;

 private:
  struct Tables {
    MDB_dbi metadata = 0, data = 0;
  };
  enum class Limit { kPut, kErase };

  explicit Environment(const Options& options) : options_(options) {}
  absl::Status Start();
  absl::Status OpenTables();
  absl::Status OpenSnapshot();

  absl::Status CommitTogether(const std::vector<const std::vector<Write>*>& batches);
  absl::Status CommitOne(const std::vector<Write>& batch);
  absl::Status ApplyAndSync(MDB_dbi table, const std::vector<const std::vector<Write>*>& batches);
  absl::Status Sync();
  absl::Status RenewSnapshot();
  void CountPages();
  absl::Status SetLimit(Limit limit);
  absl::StatusOr<std::string> GetFrom(MDB_dbi table, std::string_view key) const;

  const Options options_;
  MDB_env* env_ = nullptr;
  Tables tables_;
  absl::Status sync_failure_;  // writer's thread: the sync that failed
  // Recursive, as a visitor of ForEach may read as well; Abseil's mutexes are not.
  mutable std::recursive_mutex snapshot_mutex_;
  MDB_txn* snapshot_ = nullptr;  // guarded by it
  std::atomic<std::size_t> used_bytes_ = 0;
};

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_ENVIRONMENT_H_
