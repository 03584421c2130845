// Durable key-value tables of one process: LMDB below `data_path`, writes grouped on a thread of
// their own. A batch is durable as a whole or not at all. Loop thread only, but for the writer.
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

// Whole pages; those that a change has given up count as free once it is synced.
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
  // Reads what has been committed (synced), by key order from `prefix` on.
  virtual absl::StatusOr<std::string> Get(std::string_view key) const = 0;  // NOT_FOUND
  virtual void ForEach(
      std::string_view prefix,
      const std::function<void(std::string_view key, std::string_view value)>& visit) const = 0;
  // A random name of this disk's contents, made when the folder was first used; a wiped disk gets
  // another one.
  virtual const std::string& disk_id() const = 0;
  virtual Space space() const { return {}; }
  virtual bool was_empty() const = 0;  // the folder held nothing when it was opened
};

// `capacity_bytes`: the most that the files may grow to.
absl::StatusOr<std::unique_ptr<TableStore>> OpenTableStore(const std::string& data_path,
                                                           std::size_t capacity_bytes);

// Removes the files for good; the next store that is opened there is a new one. A store that is
// open there goes on without leaving anything.
absl::Status RemoveTableStore(const std::string& data_path);

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_TABLE_STORE_H_
