// Stores that report the use of their disks to one another, on disks in memory: an older copy of a
// disk is found, whatever has restarted, and nothing else is taken for one.
#include "tier/batch/store_disk_guard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "store_simulation.h"
#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

// Processes of stores, each on its disk; calls are answered at once, or not at all.
class GuardedStores {
 public:
  explicit GuardedStores(int stores) {
    for (int i = 0; i < stores; ++i) {
      const StoreId id{"s" + std::to_string(i), "d" + std::to_string(i)};
      ids_.insert(id);
      stores_[id.name].id = id;
    }
    for (int i = 0; i < stores; ++i) Start(i);
  }

  void Start(int number) {
    Store& store = At(number);
    store.guard.reset();
    store.rolled_back = 0;
    store.guard = std::make_unique<StoreDiskGuard>(
        store.id, store.disk, ++instances_,
        [this, from = store.id.name](const StoreId& to, const std::string& body,
                                     const rpc::Done& done) { Call(from, to, body, done); });
    store.guard->SetListeners([] {}, [&store] { ++store.rolled_back; });
    Commit(number, {});
    store.guard->SetPeers(ids_);
  }
  void Stop(int number) { At(number).guard.reset(); }
  void Write(int number, const std::string& value) { Commit(number, {{"lot/x", value, false}}); }
  void Erase(int number) { Commit(number, {{"lot/x", "", true}}); }
  void Tick() {
    for (auto& [name, store] : stores_) {
      if (store.guard != nullptr) store.guard->Tick();
    }
  }
  MemoryDisk& Disk(int number) { return At(number).disk; }
  bool IsChecked(int number) {
    return At(number).guard->IsChecked({ids_.begin(), ids_.end()},
                                       [](const StoreId&) { return false; });
  }
  // As membership tells it: stores that do not run are away.
  bool IsCheckedWithoutAway(int number) {
    return At(number).guard->IsChecked({ids_.begin(), ids_.end()}, [this](const StoreId& store) {
      return stores_[store.name].guard == nullptr;
    });
  }
  int rolled_back(int number) { return At(number).rolled_back; }

 private:
  struct Store {
    StoreId id;
    MemoryDisk disk;
    std::unique_ptr<StoreDiskGuard> guard;
    int rolled_back = 0;
  };
  Store& At(int number) { return stores_["s" + std::to_string(number)]; }

  void Commit(int number, std::vector<storage::Write> batch) {
    Store& store = At(number);
    const control::DiskUse use = store.guard->Stamp(&batch);
    store.disk.Write(batch);
    store.guard->OnSynced(use);
  }
  void Call(const std::string& from, const StoreId& to, const std::string& body,
            const rpc::Done& done) {
    Store& peer = stores_[to.name];
    if (peer.guard == nullptr) return done(absl::UnavailableError(from + " finds nobody"));
    const auto report = codec::Decode<StoreDiskReport>(body);
    CPPUNIT_ASSERT(report.ok());
    peer.guard->OnReport(*report, done);
  }

  std::set<StoreId> ids_;
  std::map<std::string, Store> stores_;
  std::uint64_t instances_ = 0;
};

class StoreDiskGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreDiskGuardTest);
  CPPUNIT_TEST(FindsOlderCopyOfDisk);
  CPPUNIT_TEST(FindsItAfterAllOthersRestarted);
  CPPUNIT_TEST(TakesNothingElseForIt);
  CPPUNIT_TEST(IsCheckedOnceAllReplicasResponded);
  CPPUNIT_TEST(IsCheckedByAnotherStoreWhileOneIsAway);
  CPPUNIT_TEST(StoreOfEarlierBuildCountsAsChecked);
  CPPUNIT_TEST(FullDiskMayErase);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsOlderCopyOfDisk() {
    GuardedStores stores(3);
    stores.Write(0, "first");
    const MemoryDisk copy = stores.Disk(0);
    stores.Write(0, "second");
    stores.Tick();
    stores.Stop(0);
    stores.Disk(0) = copy;
    stores.Start(0);
    CPPUNIT_ASSERT_EQUAL(1, stores.rolled_back(0));
    CPPUNIT_ASSERT(!stores.IsChecked(0));
  }

  void FindsItAfterAllOthersRestarted() {
    GuardedStores stores(3);
    const MemoryDisk copy = stores.Disk(0);
    stores.Write(0, "first");
    stores.Tick();
    for (const int other : {1, 2}) {
      stores.Write(other, "something");  // with it goes what was heard
      stores.Start(other);
    }
    stores.Stop(0);
    stores.Disk(0) = copy;
    stores.Start(0);
    CPPUNIT_ASSERT_EQUAL(1, stores.rolled_back(0));
  }

  void TakesNothingElseForIt() {
    GuardedStores stores(3);
    for (int turn = 0; turn < 20; ++turn) {
      stores.Write(turn % 3, "value");
      if (turn % 4 == 0) stores.Tick();
      if (turn % 5 == 0) stores.Erase(turn % 3);
      if (turn % 3 == 0) stores.Start(turn % 2);
      if (turn % 7 == 0) {
        stores.Stop(2);
        stores.Tick();
        stores.Start(2);
      }
    }
    stores.Tick();
    for (int store = 0; store < 3; ++store) {
      CPPUNIT_ASSERT_EQUAL(0, stores.rolled_back(store));
      CPPUNIT_ASSERT(stores.IsChecked(store));
    }
  }

  void IsCheckedOnceAllReplicasResponded() {
    GuardedStores stores(3);
    stores.Stop(1);
    stores.Start(0);
    CPPUNIT_ASSERT(!stores.IsChecked(0));
    stores.Start(1);
    stores.Tick();
    CPPUNIT_ASSERT(stores.IsChecked(0));
  }

  void StoreOfEarlierBuildCountsAsChecked() {
    MemoryDisk disk;
    const StoreId self{"s0", "d0"}, other{"s1", "d1"};
    absl::Status answer = absl::UnavailableError("down");
    StoreDiskGuard guard(
        self, disk, 1,
        [&](const StoreId&, const std::string&, const rpc::Done& done) { done(answer); });
    std::vector<storage::Write> batch;
    guard.OnSynced(guard.Stamp(&batch));
    guard.SetPeers({self, other});
    const auto none_away = [](const StoreId&) { return false; };
    CPPUNIT_ASSERT(!guard.IsChecked({self, other}, none_away));
    CPPUNIT_ASSERT(guard.IsChecked({self}, none_away));
    answer = absl::UnimplementedError("no such call");
    guard.Tick();
    CPPUNIT_ASSERT(guard.IsChecked({self, other}, none_away));
  }

  // A replica that is away is not waited for once another store has vouched for the disk.
  void IsCheckedByAnotherStoreWhileOneIsAway() {
    GuardedStores stores(3);
    stores.Write(0, "first");
    stores.Tick();
    stores.Stop(1);
    stores.Start(0);
    CPPUNIT_ASSERT(!stores.IsChecked(0));
    CPPUNIT_ASSERT(stores.IsCheckedWithoutAway(0));
    stores.Stop(2);
    stores.Start(0);
    CPPUNIT_ASSERT(!stores.IsCheckedWithoutAway(0));
  }

  // Where only erasing works, nothing is added to what erases.
  void FullDiskMayErase() {
    MemoryDisk disk;
    StoreDiskGuard guard({"s0", "d0"}, disk, 1,
                         [](const StoreId&, const std::string&, const rpc::Done&) {});
    std::vector<storage::Write> start, erase{{"lot/x", "", true}}, put{{"lot/x", "y", false}};
    guard.OnSynced(guard.Stamp(&start));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start.size());
    guard.OnSynced(guard.Stamp(&erase));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, erase.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, guard.Stamp(&put).writes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, put.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreDiskGuardTest);

}  // namespace
}  // namespace pearreach::batch
