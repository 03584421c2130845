// One LMDB file with the tables of a process: opening, reading of the last synced state, and
// transactions of several batches. Without LMDB's locks, which have no effect where this runs: one
// thread writes, and reads share one snapshot that is renewed, under a mutex, after each sync.
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
    // Puts may fill the file up to the first; transactions that only erase may use up to the
    // second, so that a full file can be emptied.
    std::size_t put_limit_bytes = 0, erase_limit_bytes = 0;
  };

  static absl::StatusOr<std::unique_ptr<Environment>> Open(const Options& options);
  ~Environment();
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;

  // Writer's thread: applies and syncs `batches`, together if all fit, else each by itself. One
  // result a batch. After a failed sync all further ones fail: what the file holds is not known.
  std::vector<absl::Status> Commit(const std::vector<std::vector<Write>>& batches);

  // Any thread; what was synced last.
  absl::StatusOr<std::string> Get(std::string_view key) const;
  absl::Status ForEach(
      std::string_view prefix,
      const std::function<void(std::string_view key, std::string_view value)>& visit) const;

  // Any thread; as of the last sync.
  Space space() const { return {used_bytes_.load(), options_.put_limit_bytes}; }

  // Of the table about the file itself.
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
  absl::Status sync_failure_;                    // writer's thread: the sync that failed
  mutable std::recursive_mutex snapshot_mutex_;  // a visitor may read as well
  MDB_txn* snapshot_ = nullptr;                  // guarded by it
  std::atomic<std::size_t> used_bytes_ = 0;
};

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_ENVIRONMENT_H_
