// Durable key-value table of one process: an LMDB file below `data_path`, with writes grouped on a
// thread of their own. A batch is applied atomically. Owned by the process's node.
//
// Thread safety: all calls and callbacks are on the loop thread.
#ifndef PEARREACH_SRC_TIER_STORAGE_TABLE_STORE_H_
#define PEARREACH_SRC_TIER_STORAGE_TABLE_STORE_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::storage {

struct Write {
  std::string key;
  std::string value;
  bool erase = false;
};

// In bytes of entire pages; pages that a change has freed count as free once it is synced.
struct Space {
  std::size_t used_bytes = 0;
  std::size_t limit_bytes = std::numeric_limits<std::size_t>::max();  // that puts may use
};

class TableStore {
 public:
  virtual ~TableStore() = default;
  // `done` is called on the main loop once the batch is synced to disk (or has failed), in the
  // order of the commits. Batches that come while one is being synced go together in the next.
  virtual void Commit(std::vector<Write> batch, std::function<void(absl::Status)> done) = 0;
  // Reads the state of the last sync. NOT_FOUND: no such key.
  virtual absl::StatusOr<std::string> Get(std::string_view key) const = 0;
  // Visits the keys that begin with `prefix` in their order, as of the last sync. `visit` may read
  // and commit.
  virtual void ForEach(
      std::string_view prefix,
      const std::function<void(std::string_view key, std::string_view value)>& visit) const = 0;
  // A random id of this disk's contents, made when the folder was first used; a wiped disk gets a
  // new one.
  virtual const std::string& disk_id() const = 0;
  virtual Space space() const { return {}; }
  virtual bool was_empty() const = 0;  // the folder held nothing when it was opened
};

// Opens the store below `data_path`, or creates it. `capacity_bytes`: the most that the files may
// grow to. INVALID_ARGUMENT: too little capacity or no path; DATA_LOSS: the file is damaged; other
// codes come from the operating system.
absl::StatusOr<std::unique_ptr<TableStore>> OpenTableStore(const std::string& data_path,
                                                           std::size_t capacity_bytes);

// Removes the files; the next store that is opened there is a new one. A store that is still open
// there goes on, and nothing of what it writes remains.
absl::Status RemoveTableStore(const std::string& data_path);

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_TABLE_STORE_H_
