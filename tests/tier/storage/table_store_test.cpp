// The ordinary use of a store: commits, reads, reopening, and a full file.
#include "tier/storage/table_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tier/storage/rig.h"

namespace pearreach::storage {
namespace {

class TableStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableStoreTest);
  CPPUNIT_TEST(ReadsWhatWasCommitted);
  CPPUNIT_TEST(VisitsKeysOfPrefixInOrder);
  CPPUNIT_TEST(VisitorMayReadAndCommit);
  CPPUNIT_TEST(CallsBackInCommitOrder);
  CPPUNIT_TEST(AppliesBatchAtomically);
  CPPUNIT_TEST(KeepsDiskIdOverReopening);
  CPPUNIT_TEST(WritesQueuedBatchesBeforeDestruction);
  CPPUNIT_TEST(CallbackMayDestroyStore);
  CPPUNIT_TEST(StoresLargeValues);
  CPPUNIT_TEST(RejectsPutsWhenFullAndAllowsErases);
  CPPUNIT_TEST(RejectsInvalidFolder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsWhatWasCommitted() {
    const Folder folder;
    auto store = Open(folder);
    CPPUNIT_ASSERT(absl::IsNotFound(store->Get("a").status()));
    CPPUNIT_ASSERT(CommitAndWait(store.get(), {{"a", "1"}, {"b", ""}, {"c", "3"}}).ok());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), ValueOf(*store, "a"));
    CPPUNIT_ASSERT_EQUAL(std::string(), ValueOf(*store, "b"));
    CPPUNIT_ASSERT(CommitAndWait(store.get(), {{"a", "", true}, {"c", "4"}, {"x", "", true}}).ok());
    CPPUNIT_ASSERT(absl::IsNotFound(store->Get("a").status()));
    CPPUNIT_ASSERT_EQUAL(std::string("4"), ValueOf(*store, "c"));
    CPPUNIT_ASSERT(CommitAndWait(store.get(), {}).ok());
  }

  void VisitsKeysOfPrefixInOrder() {
    const Folder folder;
    auto store = Open(folder);
    CPPUNIT_ASSERT(
        CommitAndWait(store.get(), {{"b/2", "y"}, {"a", "w"}, {"b/1", "x"}, {"c", "z"}}).ok());
    CPPUNIT_ASSERT_EQUAL(std::string("b/1=x b/2=y "), Listed(*store, "b/"));
    CPPUNIT_ASSERT_EQUAL(std::string("a=w b/1=x b/2=y c=z "), Listed(*store, ""));
    CPPUNIT_ASSERT_EQUAL(std::string(), Listed(*store, "d"));
  }

  void VisitorMayReadAndCommit() {
    const Folder folder;
    auto store = Open(folder);
    Put(store.get(), "a", "1");
    bool done = false;
    store->ForEach("", [&](std::string_view key, std::string_view value) {
      CPPUNIT_ASSERT_EQUAL(std::string(value), ValueOf(*store, std::string(key)));
      store->Commit({{"b", "2"}}, [&](absl::Status status) { done = status.ok(); });
    });
    RunUntil([&] { return done; });
    CPPUNIT_ASSERT_EQUAL(std::string("a=1 b=2 "), Listed(*store, ""));
  }

  void CallsBackInCommitOrder() {
    const Folder folder;
    auto store = Open(folder);
    constexpr int kCommits = 500;
    std::vector<int> reported;
    for (int i = 0; i < kCommits; ++i) {
      store->Commit({{"key", std::to_string(i)}}, [&reported, i](absl::Status status) {
        CPPUNIT_ASSERT(status.ok());
        reported.push_back(i);
      });
    }
    CPPUNIT_ASSERT(reported.empty());
    RunUntil([&] { return reported.size() == kCommits; });
    for (int i = 0; i < kCommits; ++i) CPPUNIT_ASSERT_EQUAL(i, reported[i]);
    CPPUNIT_ASSERT_EQUAL(std::to_string(kCommits - 1), ValueOf(*store, "key"));
  }

  void AppliesBatchAtomically() {
    const Folder folder;
    auto store = Open(folder);
    const std::string too_long(5000, 'k');
    std::vector<absl::Status> results;
    const auto note = [&](absl::Status status) { results.push_back(std::move(status)); };
    store->Commit({{"a", "1"}}, note);
    store->Commit({{"b", "1"}, {too_long, "1"}}, note);
    store->Commit({{"c", "1"}, {"", "1"}}, note);
    store->Commit({{"d", "1"}}, note);
    RunUntil([&] { return results.size() == 4; });
    CPPUNIT_ASSERT(results[0].ok() && results[3].ok());
    CPPUNIT_ASSERT(absl::IsInvalidArgument(results[1]) && absl::IsInvalidArgument(results[2]));
    CPPUNIT_ASSERT_EQUAL(std::string("a=1 d=1 "), Listed(*store, ""));
  }

  void KeepsDiskIdOverReopening() {
    const Folder folder, other;
    auto store = Open(folder);
    const std::string disk_id = store->disk_id();
    CPPUNIT_ASSERT(store->was_empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, disk_id.size());
    Put(store.get(), "a", "1");
    store.reset();
    store = Open(folder);
    CPPUNIT_ASSERT(!store->was_empty());
    CPPUNIT_ASSERT_EQUAL(disk_id, store->disk_id());
    CPPUNIT_ASSERT_EQUAL(std::string("a=1 "), Listed(*store, ""));
    CPPUNIT_ASSERT(Open(other)->disk_id() != disk_id);
  }

  void WritesQueuedBatchesBeforeDestruction() {
    const Folder folder;
    auto store = Open(folder);
    const auto none = [](absl::Status) { CPPUNIT_FAIL("called after the end"); };
    for (int i = 0; i < 100; ++i) store->Commit({{"key" + std::to_string(i), "v"}}, none);
    store.reset();
    while (g_main_context_iteration(nullptr, FALSE)) {
    }
    store = Open(folder);
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("v"), ValueOf(*store, "key" + std::to_string(i)));
    }
  }

  void CallbackMayDestroyStore() {
    const Folder folder;
    auto store = Open(folder);
    store->Commit({{"a", "1"}}, [&](absl::Status) { store.reset(); });
    RunUntil([&] { return store == nullptr; });
    CPPUNIT_ASSERT_EQUAL(std::string("1"), ValueOf(*Open(folder), "a"));
  }

  void StoresLargeValues() {
    const Folder folder;
    auto store = Open(folder);
    const std::string large(3 << 20, 'x'), larger((3 << 20) + 1, 'y');
    Put(store.get(), "a", large);
    Put(store.get(), "b", larger);
    Put(store.get(), "a", larger);
    store.reset();
    store = Open(folder);
    CPPUNIT_ASSERT(ValueOf(*store, "a") == larger);
    CPPUNIT_ASSERT(ValueOf(*store, "b") == larger);
  }

  void RejectsPutsWhenFullAndAllowsErases() {
    const Folder folder;
    constexpr std::size_t kSmall = 1 << 20;
    auto store = Open(folder, kSmall);
    const std::string value(10000, 'v');
    int kept = 0;
    absl::Status status;
    while (status.ok()) {
      status = CommitAndWait(store.get(), {{"key" + std::to_string(kept), value}});
      if (status.ok()) ++kept;
    }
    CPPUNIT_ASSERT_MESSAGE(status.ToString(), absl::IsResourceExhausted(status));
    CPPUNIT_ASSERT(kept > 20);
    const Space full = store->space();
    CPPUNIT_ASSERT(full.used_bytes <= full.limit_bytes && full.limit_bytes < kSmall);
    CPPUNIT_ASSERT(full.used_bytes > full.limit_bytes * 8 / 10);
    AssertStored(*store, kept, value);
    store.reset();
    CPPUNIT_ASSERT(folder.ReadTables().size() <= kSmall);
    store = Open(folder, kSmall);
    CPPUNIT_ASSERT_EQUAL(full.used_bytes, store->space().used_bytes);
    AssertStored(*store, kept, value);
    for (int i = 0; i < kept; ++i) {
      status = CommitAndWait(store.get(), {{"key" + std::to_string(i), "", true}});
      CPPUNIT_ASSERT_MESSAGE(status.ToString(), status.ok());
    }
    CPPUNIT_ASSERT(store->space().used_bytes < full.used_bytes / 5);
    CPPUNIT_ASSERT_EQUAL(std::string(), Listed(*store, ""));
    for (int i = 0; i < kept / 2; ++i) Put(store.get(), "new" + std::to_string(i), value);
    CPPUNIT_ASSERT(folder.ReadTables().size() <= kSmall);
  }

  void RejectsInvalidFolder() {
    CPPUNIT_ASSERT(!OpenTableStore("", kCapacity).ok());
    CPPUNIT_ASSERT(!OpenTableStore("/dev/null/data", kCapacity).ok());
    CPPUNIT_ASSERT(!OpenTableStore("/tmp", 1).ok());
  }

 private:
  static std::string Listed(const TableStore& store, const std::string& prefix) {
    std::string listed;
    store.ForEach(prefix, [&](std::string_view key, std::string_view value) {
      listed += std::string(key) + "=" + std::string(value) + " ";
    });
    return listed;
  }

  static void AssertStored(const TableStore& store, int kept, const std::string& value) {
    for (int i = 0; i < kept; ++i) {
      CPPUNIT_ASSERT_EQUAL(value, ValueOf(store, "key" + std::to_string(i)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableStoreTest);

}  // namespace
}  // namespace pearreach::storage
