// What is found on a disk after a process or its machine died: files as an unclosed store, or a
// loss of power amid its writes, leaves them.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "tier/storage/rig.h"
#include "tier/storage/table_store.h"

namespace pearreach::storage {
namespace {

constexpr std::size_t kPageBytes = 4096;  // of LMDB's file on this machine
constexpr std::size_t kRootPages = 2;     // the two pages with the roots, written in turn
constexpr std::size_t kSectorBytes = 512;

// The file after each of two commits, while the store is open.
struct Images {
  std::string before, after;
};

class PowerLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PowerLossTest);
  CPPUNIT_TEST(ReadsUnclosedStore);
  CPPUNIT_TEST(IgnoresNewPagesWithoutTheirRoot);
  CPPUNIT_TEST(TornRootPageLeavesOneState);
  CPPUNIT_TEST(IgnoresTornTail);
  CPPUNIT_TEST(AcceptsShortFileWithAllUsedPages);
  CPPUNIT_TEST(ReportsTruncatedFile);
  CPPUNIT_TEST(ReportsDamagedRoots);
  CPPUNIT_TEST(RecreatesHalfCreatedFile);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsUnclosedStore() {
    const Images images = TwoCommits();
    CPPUNIT_ASSERT_EQUAL(std::string("old"), StateOf(images.before));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), StateOf(images.after));
  }

  void IgnoresNewPagesWithoutTheirRoot() {
    const Images images = TwoCommits();
    std::minstd_rand random(1);
    for (int round = 0; round < 40; ++round) {
      std::string mixed = images.before;
      mixed.resize(std::max(images.before.size(), images.after.size()));
      for (std::size_t at = kRootPages * kPageBytes; at < images.after.size(); at += kSectorBytes) {
        if (random() % 2 == 0) mixed.replace(at, kSectorBytes, images.after, at, kSectorBytes);
      }
      CPPUNIT_ASSERT_EQUAL(std::string("old"), StateOf(mixed));
    }
  }

  void TornRootPageLeavesOneState() {
    const Images images = TwoCommits();
    const std::size_t roots = kRootPages * kPageBytes;
    const auto first =
        std::mismatch(images.before.begin(), images.before.begin() + roots, images.after.begin());
    const std::size_t from = first.first - images.before.begin();
    CPPUNIT_ASSERT(from < roots);
    constexpr std::size_t kRootBytes = 200;
    for (std::size_t length = 0; length < kRootBytes; ++length) {
      std::string torn = images.after;
      torn.replace(0, roots, images.before, 0, roots);
      torn.replace(from, length, images.after, from, length);
      const std::string state = StateOf(torn);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(length) + ": " + state,
                             state == "old" || state == "new");
    }
  }

  void IgnoresTornTail() {
    const Images images = TwoCommits();
    for (const std::size_t bytes : {std::size_t{1}, kSectorBytes, kPageBytes, 3 * kPageBytes + 7}) {
      CPPUNIT_ASSERT_EQUAL(std::string("new"), StateOf(images.after + std::string(bytes, '\xa5')));
    }
  }

  void AcceptsShortFileWithAllUsedPages() {
    const Folder folder;
    auto store = Open(folder);
    const std::string value(100000, 'v');
    for (int i = 0; i < 4; ++i) Put(store.get(), "state", "old");  // leaves free pages
    // LMDB takes from the free pages in this transaction; the first value's pages are the last of
    // the file and are given back at once.
    const std::vector<Write> batch = {{"state", "new"}, {"a", value}, {"a", "", true}};
    CPPUNIT_ASSERT(CommitAndWait(store.get(), batch).ok());
    const std::string image = folder.ReadTables();
    CPPUNIT_ASSERT_EQUAL(std::string("new"), StateOf(image));
    CPPUNIT_ASSERT(image.size() < value.size());  // else this shows nothing
  }

  void ReportsTruncatedFile() {
    const Images images = TwoCommits();
    const std::size_t pages = images.after.size() / kPageBytes;
    for (std::size_t held = kRootPages; held < pages; ++held) {
      const Folder folder;
      folder.WriteTables(images.after.substr(0, held * kPageBytes + kSectorBytes));
      const auto store = OpenTableStore(folder.path(), kCapacity);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(held) + " pages taken", !store.ok());
      CPPUNIT_ASSERT_MESSAGE(store.status().ToString(), absl::IsDataLoss(store.status()));
    }
  }

  void ReportsDamagedRoots() {
    const Images images = TwoCommits();
    std::string damaged = images.after;
    damaged.replace(0, kRootPages * kPageBytes, kRootPages * kPageBytes, '\xa5');
    for (const std::string& image : {damaged, std::string(100, 'x'), std::string(8192, '\0')}) {
      const Folder folder;
      folder.WriteTables(image);
      const auto store = OpenTableStore(folder.path(), kCapacity);
      CPPUNIT_ASSERT(!store.ok());
      CPPUNIT_ASSERT_MESSAGE(store.status().ToString(), absl::IsDataLoss(store.status()));
      CPPUNIT_ASSERT(folder.ReadTables() == image);  // left as it was found
    }
  }

  void RecreatesHalfCreatedFile() {
    const Folder folder;
    std::ofstream(folder.path() + "/tables.new") << "half of a file";
    auto store = Open(folder);
    CPPUNIT_ASSERT(store->was_empty());
    Put(store.get(), "state", "new");
    CPPUNIT_ASSERT_EQUAL(std::string("new"), ValueOf(*store, "state"));
  }

 private:
  // Some large and some small values, so that the file has pages of all kinds.
  static Images TwoCommits() {
    const Folder folder;
    auto store = Open(folder);
    std::vector<Write> batch;
    for (int i = 0; i < 200; ++i) {
      batch.push_back({"key" + std::to_string(i), std::string(60, 'v')});
    }
    CPPUNIT_ASSERT(CommitAndWait(store.get(), batch).ok());
    Put(store.get(), "state", "old");
    Images images;
    images.before = folder.ReadTables();
    batch = {{"large", std::string(20000, 'l')}, {"state", "new"}};
    for (int i = 0; i < 50; ++i) batch.push_back({"key" + std::to_string(i), "", true});
    CPPUNIT_ASSERT(CommitAndWait(store.get(), batch).ok());
    images.after = folder.ReadTables();
    return images;
  }

  // Opens a store of that image, reads all of it, and writes to it once more.
  static std::string StateOf(const std::string& image) {
    const Folder folder;
    folder.WriteTables(image);
    auto store = Open(folder);
    CPPUNIT_ASSERT(!store->was_empty());
    int visited = 0;
    store->ForEach("key", [&](std::string_view, std::string_view) { ++visited; });
    const std::string state = ValueOf(*store, "state");
    if (state == "old") CPPUNIT_ASSERT_EQUAL(200, visited);
    Put(store.get(), "later", "x");
    CPPUNIT_ASSERT_EQUAL(state, ValueOf(*store, "state"));
    return state;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PowerLossTest);

}  // namespace
}  // namespace pearreach::storage
