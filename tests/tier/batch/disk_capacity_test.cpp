// Room on the disks of stores: by itself, and whole stores in virtual time whose clients hand in
// more than the disks hold.
#include "tier/batch/disk_capacity.h"

#include <cppunit/extensions/HelperMacros.h>

#include "store_fleet.h"

namespace pearreach::batch {
namespace {

using fleet_test::Fleet;
using fleet_test::VirtualStore;

constexpr std::size_t kDisk = 4 << 20;

class DiskCapacityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiskCapacityTest);
  CPPUNIT_TEST(RequiresCapacityAtAllReplicas);
  CPPUNIT_TEST(ReservesCapacityForLossOfAStore);
  CPPUNIT_TEST(CountsPendingResults);
  CPPUNIT_TEST(FullStoresRejectAndServeAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequiresCapacityAtAllReplicas() {
    const StoreId self{"a", "1"}, peer{"b", "1"}, joiner{"c", "1"};
    const Partition table{1, {self, peer}, {joiner}};
    const storage::Space space{0, 16'000};
    DiskCapacity capacity;
    CPPUNIT_ASSERT(!capacity.FindStoreWithoutCapacity(table, self, space, 5000).has_value());
    capacity.SetPeerAvailableBytes(joiner, 6000);
    capacity.Reserve(table, self, 5000);
    CPPUNIT_ASSERT(joiner == capacity.FindStoreWithoutCapacity(table, self, space, 5000));
    capacity.SetPeerAvailableBytes(joiner, 60'000);
    CPPUNIT_ASSERT(!capacity.FindStoreWithoutCapacity(table, self, space, 10'000).has_value());
    CPPUNIT_ASSERT(self == capacity.FindStoreWithoutCapacity(table, self, space, 10'001));
    capacity.SetPendingResultBytes(0);  // what was taken may not be on disk yet
    CPPUNIT_ASSERT(self == capacity.FindStoreWithoutCapacity(table, self, space, 10'001));
    capacity.SetPendingResultBytes(0);
    CPPUNIT_ASSERT(!capacity.FindStoreWithoutCapacity(table, self, space, 10'001).has_value());
  }

  void ReservesCapacityForLossOfAStore() {
    const storage::Space space{0, 16'000};
    DiskCapacity capacity;
    capacity.SetStores(3, 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000}, capacity.AvailableBytes(space));
    capacity.SetStores(2, 2);  // one is lost
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15'000}, capacity.AvailableBytes(space));
  }

  void CountsPendingResults() {
    const BatchJobSpec spec = Spec(0);
    BatchJobTable table(PartitionOf(spec.batch_job_id));
    table.Apply(MakeCreate(spec, 1));
    const std::uint64_t owed = PendingResultBytes(*table.Find(spec.batch_job_id));
    CPPUNIT_ASSERT(owed > 10 * 4 * 1000 && owed < BatchJobBytes(spec));
    table.Apply(MakeResult(spec.batch_job_id, 0, {3, ItemPhase::kComplete, "text"}));
    CPPUNIT_ASSERT_EQUAL(owed - owed / 10, PendingResultBytes(*table.Find(spec.batch_job_id)));
    table.Apply(MakeEnd(spec.batch_job_id));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, PendingResultBytes(*table.Find(spec.batch_job_id)));
  }

  // No write ever fails, also while a store that lost its disk is filled; and once lots are old
  // enough to be forgotten, others are taken.
  void FullStoresRejectAndServeAgain() {
    Fleet fleet(5, 3);
    for (auto& [name, machine] : fleet.machines) machine.disk->LimitTo(kDisk);
    fleet.RunUntil(fleet.now + 3 * kSecond);
    for (int i = 0; i < 200; ++i) Submit(&fleet, i);
    CPPUNIT_ASSERT(accepted_ > 10 && refused_ > 50);
    fleet.Stop("s1", true);
    fleet.machines["s1"].disk->LimitTo(kDisk);
    for (int i = 0; i < 20; ++i) Turn(&fleet);
    fleet.Start("s1");
    for (int i = 0; i < 50; ++i) Turn(&fleet);
    CPPUNIT_ASSERT(IsSettled(fleet.table, 2));
    const int before = accepted_;
    for (int i = 0; i < 1500; ++i) Turn(&fleet);
    for (int i = 200; i < 205; ++i) Submit(&fleet, i);
    CPPUNIT_ASSERT_EQUAL(before + 5, accepted_);
    for (const auto& [name, machine] : fleet.machines) {
      CPPUNIT_ASSERT_EQUAL(0, machine.disk->failed_writes());
    }
  }

 private:
  static BatchJobSpec Spec(int number) {
    BatchJobSpec batch_job;
    batch_job.batch_job_id = "lot" + std::to_string(number);
    batch_job.route = "route";
    batch_job.fingerprint = 7;
    batch_job.retain_s = 20;
    batch_job.status_s = 60;
    for (int i = 0; i < 10; ++i) {
      ItemSpec item;
      item.item_id = batch_job.batch_job_id + "-" + std::to_string(i);
      item.body.assign(3000, 'b');
      item.tokens = 1000;
      batch_job.items.push_back(item);
    }
    return batch_job;
  }

  static void Turn(Fleet* fleet) {
    fleet->RunUntil(fleet->now + 100 * kMs);
    fleet->Reconcile();
  }

  void Submit(Fleet* fleet, int number) {
    VirtualStore* primary = fleet->PrimaryOf("lot" + std::to_string(number));
    CPPUNIT_ASSERT(primary != nullptr);
    const BatchJobSpec batch_job = Spec(number);
    const std::uint64_t epoch = primary->Replica(PartitionOf(batch_job.batch_job_id)).epoch();
    primary->changes().OnCreate(
        {0, epoch, batch_job}, [this](const absl::StatusOr<std::string>& bytes) {
          CPPUNIT_ASSERT_MESSAGE(bytes.status().ToString(), bytes.ok());
          const CreateStatus status = codec::Decode<CreateBatchJobResponse>(*bytes)->status;
          CPPUNIT_ASSERT(status != CreateStatus::kOverQuota);
          ++(status == CreateStatus::kAccepted ? accepted_ : refused_);
        });
    Turn(fleet);
  }

  int accepted_ = 0, refused_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskCapacityTest);

}  // namespace
}  // namespace pearreach::batch
