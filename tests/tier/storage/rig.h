// A temporary folder and a store in it, driven by the main loop.
#ifndef PEARREACH_TESTS_TIER_STORAGE_RIG_H_
#define PEARREACH_TESTS_TIER_STORAGE_RIG_H_

#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tier/storage/table_store.h"

namespace pearreach::storage {

constexpr std::size_t kCapacity = 16 << 20;
constexpr const char* kTablesFile = "tables.mdb";

class Folder {
 public:
  Folder() {
    std::string path = "/tmp/table_store_test.XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(path.data()) != nullptr);
    path_ = path;
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& path() const { return path_; }
  std::string Tables() const { return path_ + "/" + kTablesFile; }

  std::string ReadTables() const {
    std::ifstream file(Tables(), std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  void WriteTables(const std::string& bytes) const {
    std::ofstream file(Tables(), std::ios::binary | std::ios::trunc);
    file << bytes;
  }

 private:
  std::string path_;
};

inline std::unique_ptr<TableStore> Open(const Folder& folder, std::size_t capacity = kCapacity) {
  auto store = OpenTableStore(folder.path(), capacity);
  CPPUNIT_ASSERT_MESSAGE(store.status().ToString(), store.ok());
  return *std::move(store);
}

// Runs the main loop until `ready`; fails after five seconds.
template <class Ready>
void RunUntil(const Ready& ready) {
  constexpr guint kMaxMs = 5000;
  bool late = false;
  const auto ring = [](gpointer flag) -> gboolean {
    *static_cast<bool*>(flag) = true;
    return G_SOURCE_CONTINUE;
  };
  const guint timer = g_timeout_add(kMaxMs, ring, &late);
  while (!ready() && !late) g_main_context_iteration(nullptr, TRUE);
  g_source_remove(timer);
  CPPUNIT_ASSERT_MESSAGE("the store does not answer", !late);
}

inline absl::Status CommitAndWait(TableStore* store, std::vector<Write> batch) {
  bool done = false;
  absl::Status result;
  store->Commit(std::move(batch), [&](absl::Status status) {
    result = std::move(status);
    done = true;
  });
  RunUntil([&] { return done; });
  return result;
}

inline void Put(TableStore* store, const std::string& key, const std::string& value) {
  const absl::Status status = CommitAndWait(store, {{key, value, false}});
  CPPUNIT_ASSERT_MESSAGE(status.ToString(), status.ok());
}

inline std::string ValueOf(const TableStore& store, const std::string& key) {
  const auto value = store.Get(key);
  return value.ok() ? *value : "(" + value.status().ToString() + ")";
}

}  // namespace pearreach::storage

#endif  // PEARREACH_TESTS_TIER_STORAGE_RIG_H_
