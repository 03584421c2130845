// The tables of a node as an earlier state of the code left them: the present code must read the
// control state and all lots out of them. The folder was written by WriteFolder.
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

#include "golden_file.h"
#include "store_rig.h"
#include "tier/batch/batch_job_state.h"
#include "tier/control/config_change_id.h"
#include "tier/control/sample_config.h"
#include "tier/control/snapshot_store.h"
#include "tier/coordination/chain_state.h"

namespace pearreach::golden {
namespace {

using namespace batch;
using coordination::ChangeHistoryStatus;
using rpc::MessageType;

constexpr char kStoreFolder[] = "store";
constexpr std::size_t kLargestFolder = 300'000;
constexpr double kCap = 1000;

BatchJobSpec BatchJob(const std::string& batch_job_id, int items, double cap) {
  BatchJobSpec spec{batch_job_id, "route", "host.example", 7, cap, 0, 2, 5000, 3600, 7200, {}};
  for (int i = 0; i < items; ++i) {
    spec.items.push_back({batch_job_id + "-" + std::to_string(i),
                          "/path/" + std::to_string(i),
                          {{"x-number", std::to_string(i)}},
                          std::string("body\0of ", 8) + std::to_string(i),
                          10.5 + i});
  }
  return spec;
}

PlacementTable OneStore(const std::string& disk_id) {
  PlacementTable table;
  table.epoch = 3;
  table.partitions.assign(kPartitions, {2, {{kNode, disk_id}}, {}});
  table.retired = {"old"};
  return table;
}

void Create(StoreRig* store, const BatchJobSpec& spec) {
  const auto answer =
      store->Ask<CreateBatchJobResponse>(MessageType::kBatchJobCreate, CreateBatchJob{3, 2, spec});
  CPPUNIT_ASSERT(answer.status == CreateStatus::kAccepted);
}

std::vector<LeasedItem> Take(StoreRig* store, int capacity) {
  return store
      ->Ask<PullItemsResponse>(MessageType::kItemPull,
                               PullItems{"edge", 1, 3, {{"route", capacity}}, 0})
      .items;
}

void Tell(StoreRig* store, const LeasedItem& item, RunOutcome outcome) {
  const ItemResult result{item.batch_job_id, item.item.item_id, item.lease, outcome,
                          "output of " + item.item.item_id};
  store->AskBytes(MessageType::kItemResult, codec::Encode(result));
}

ReadBatchJobResponse Read(StoreRig* store, const std::string& batch_job_id) {
  return store->Ask<ReadBatchJobResponse>(MessageType::kBatchJobRead,
                                          ReadBatchJob{3, batch_job_id, 0, 0, 1'000'000});
}

void WriteControl(storage::TableStore* disk) {
  ChainRig chain(disk);
  chain.Begin();
  for (const int version : {1, 2}) {
    const std::string json = control::SampleConfig(version);
    chain.Change(control::kConfigKey, json, control::ConfigChangeId(version, json));
  }
  chain.Change(control::kStoresKey, codec::Encode(OneStore(disk->disk_id())), std::nullopt);
}

// One finished lot, one that was ended, and one of whose items the first has a result, the second
// has failed once, and the third was never run.
void WriteLots(storage::TableStore* disk) {
  StoreRig store(disk, OneStore(disk->disk_id()));
  Create(&store, BatchJob("finished", 2, 0));
  for (const LeasedItem& item : Take(&store, 2)) Tell(&store, item, RunOutcome::kComplete);
  Create(&store, BatchJob("ended", 1, 0));
  store.Ask<CancelBatchJobResponse>(MessageType::kBatchJobCancel, CancelBatchJob{3, "ended"});
  Create(&store, BatchJob("unfinished", 3, kCap));
  const std::vector<LeasedItem> first = Take(&store, 1);
  Tell(&store, first.at(0), RunOutcome::kComplete);
  const std::vector<LeasedItem> second = Take(&store, 1);
  Tell(&store, second.at(0), RunOutcome::kFailed);
}

void WriteFolder() {
  const std::string path = DataPath(kStoreFolder);
  std::filesystem::remove_all(path);
  std::filesystem::create_directories(path);
  auto disk = storage::OpenTableStore(path, storage::kCapacity);
  CPPUNIT_ASSERT_MESSAGE(disk.status().ToString(), disk.ok());
  WriteControl(disk->get());
  WriteLots(disk->get());
}

// A copy of the committed folder, opened.
class Copy {
 public:
  Copy() {
    std::filesystem::copy(DataPath(kStoreFolder), folder_.path(),
                          std::filesystem::copy_options::recursive);
    disk_ = storage::Open(folder_);
    CPPUNIT_ASSERT(!disk_->was_empty());
  }
  storage::TableStore* disk() { return disk_.get(); }

 private:
  storage::Folder folder_;
  std::unique_ptr<storage::TableStore> disk_;
};

BatchJobTable TableWith(const std::string& batch_job_id, const storage::TableStore& disk) {
  BatchJobTable table(PartitionOf(batch_job_id));
  table.Load(disk);
  CPPUNIT_ASSERT_MESSAGE("no lot " + batch_job_id, table.Find(batch_job_id) != nullptr);
  return table;
}

}  // namespace

class GoldenStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GoldenStoreTest);
  CPPUNIT_TEST(TheFolderIsSmall);
  CPPUNIT_TEST(EveryRecordHasAKnownKey);
  CPPUNIT_TEST(TheControlStateIsRead);
  CPPUNIT_TEST(AReplicaGoesOnFromIt);
  CPPUNIT_TEST(TheUseOfTheDiskIsRead);
  CPPUNIT_TEST(LotsAreLoaded);
  CPPUNIT_TEST(ItemsAreRead);
  CPPUNIT_TEST(AReservationIsRead);
  CPPUNIT_TEST(AStoreServesTheLots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    static const bool written = IsWriting() && (WriteFolder(), true);
    static_cast<void>(written);
  }

  void TheFolderIsSmall() {
    const auto size =
        std::filesystem::file_size(DataPath(kStoreFolder) + "/" + storage::kTablesFile);
    CPPUNIT_ASSERT(size > 0 && size < kLargestFolder);
  }

  void EveryRecordHasAKnownKey() {
    Copy copy;
    int chain = 0, batch_jobs = 0;
    copy.disk()->ForEach("", [&](std::string_view key, std::string_view) {
      const bool is_chain = key.starts_with("chain/"), is_lot = key.starts_with("lot/");
      CPPUNIT_ASSERT_MESSAGE(std::string(key), is_chain || is_lot);
      (is_chain ? chain : batch_jobs)++;
    });
    // View, index, acceptor, founders and use; slots of the configuration, its marks and the
    // stores.
    CPPUNIT_ASSERT_EQUAL(10, chain);
    // Headers, two results, an end and its item; a result, two items, a failure, a reservation.
    CPPUNIT_ASSERT_EQUAL(3 + 2 + 2 + 5, batch_jobs);
  }

  void TheControlStateIsRead() {
    Copy copy;
    const coordination::chain::DurableState state(ChainRecordsOn(*copy.disk()));
    const coordination::ReplicaId self{kNode, copy.disk()->disk_id()};
    CPPUNIT_ASSERT(state.view().members == std::vector<coordination::ReplicaId>{self});
    CPPUNIT_ASSERT(state.started());
    const auto map = state.latest().map;
    CheckMarks(*map);
    control::SnapshotStore snapshots;
    CPPUNIT_ASSERT(snapshots.ApplyConfirmed(state.latest().version, map));
    const auto snapshot = snapshots.current();
    CPPUNIT_ASSERT_EQUAL(control::SampleConfig(2), snapshot->config_json);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, snapshot->config_revision);
    CPPUNIT_ASSERT(snapshot->routes != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, snapshot->stores_revision);
    CheckPlacement(snapshot->stores, self.disk_id);
  }

  void AReplicaGoesOnFromIt() {
    Copy copy;
    ChainRig chain(copy.disk());
    CPPUNIT_ASSERT(chain.replica().view().epoch > 0);
    chain.Begin();
    const std::string json = control::SampleConfig(3);
    chain.Change(control::kConfigKey, json, control::ConfigChangeId(3, json));
    const coordination::Map& map = *chain.replica().committed();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, map.at(control::kConfigKey).revision);
    CheckMarks(map);
  }

  void TheUseOfTheDiskIsRead() {
    Copy copy;
    const ChainRig chain(copy.disk());
    const control::DiskUse& found = chain.writer().found();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, found.starts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x5152535455565758}, found.instance);
    CPPUNIT_ASSERT(found.writes > 4);
  }

  void LotsAreLoaded() {
    Copy copy;
    BatchJobTable finished_table = TableWith("finished", *copy.disk());
    const batch::BatchJob& finished = *finished_table.Find("finished");
    CheckHeader(finished.header, "finished", 2, 0);
    CPPUNIT_ASSERT(finished.AllDone() && !finished.ended);
    BatchJobTable ended_table = TableWith("ended", *copy.disk());
    const batch::BatchJob& ended = *ended_table.Find("ended");
    CheckHeader(ended.header, "ended", 1, 0);
    CPPUNIT_ASSERT(ended.ended && !ended.AllDone());
    BatchJobTable unfinished_table = TableWith("unfinished", *copy.disk());
    const batch::BatchJob& unfinished = *unfinished_table.Find("unfinished");
    CheckHeader(unfinished.header, "unfinished", 3, kCap);
    CPPUNIT_ASSERT(unfinished.Open());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, unfinished.results);
    CPPUNIT_ASSERT(unfinished.items[0].done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unfinished.items[1].failed_leases.size());
    CPPUNIT_ASSERT(unfinished.items[2].failed_leases.empty());
  }

  void ItemsAreRead() {
    Copy copy;
    const BatchJobTable table = TableWith("unfinished", *copy.disk());
    const BatchJobSpec expected = BatchJob("unfinished", 3, kCap);
    int items = 0;
    for (const Record& record : table.ReadSnapshot(*copy.disk(), "unfinished").records) {
      if (record.kind != static_cast<char>(RecordKind::kItem)) continue;
      const auto item = codec::Decode<ItemSpec>(record.value);
      CPPUNIT_ASSERT(item.ok());
      CheckItem(expected.items.at(record.index), *item);
      ++items;
    }
    CPPUNIT_ASSERT_EQUAL(2, items);
  }

  void AReservationIsRead() {
    Copy copy;
    BatchJobTable table(PartitionOf("route"));
    table.Load(*copy.disk());
    const QuotaReservation reservation = table.Reservations().at("unfinished");
    CPPUNIT_ASSERT_EQUAL(std::string("route"), reservation.route);
    CPPUNIT_ASSERT_EQUAL(10.5 + 11.5 + 12.5, reservation.tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, reservation.epoch);
    CPPUNIT_ASSERT(reservation.process > 0 && reservation.sequence > 0);
  }

  void AStoreServesTheLots() {
    Copy copy;
    StoreRig store(copy.disk(), OneStore(copy.disk()->disk_id()));
    const ReadBatchJobResponse finished = Read(&store, "finished");
    CPPUNIT_ASSERT(finished.found);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, finished.total);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, finished.outputs.size());
    for (const ItemOutput& output : finished.outputs) CheckOutput(output);
    const ReadBatchJobResponse unfinished = Read(&store, "unfinished");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, unfinished.total);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unfinished.outputs.size());
    CheckOutput(unfinished.outputs[0]);
    const auto body = store.Ask<ReadItemBodyResponse>(
        MessageType::kItemBody, ReadItemBody{3, "unfinished", "unfinished-2"});
    CPPUNIT_ASSERT(body.found);
    CPPUNIT_ASSERT_EQUAL(BatchJob("unfinished", 3, kCap).items[2].body, body.body);
    CPPUNIT_ASSERT(!Read(&store, "never").found);
  }

 private:
  static void CheckMarks(const coordination::Map& map) {
    for (const int version : {1, 2}) {
      const auto change_id = control::ConfigChangeId(version, control::SampleConfig(version));
      const auto history_status =
          coordination::FindInChangeHistory(map, control::kConfigKey, change_id);
      CPPUNIT_ASSERT(history_status == ChangeHistoryStatus::kRecorded);
    }
  }

  static void CheckPlacement(const std::string& bytes, const std::string& disk_id) {
    const auto table = codec::Decode<PlacementTable>(bytes);
    CPPUNIT_ASSERT(table.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, table->epoch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kPartitions}, table->partitions.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, table->partitions[31].epoch);
    CPPUNIT_ASSERT((table->partitions[31].replicas == std::vector<StoreId>{{kNode, disk_id}}));
    CPPUNIT_ASSERT(table->partitions[31].joining.empty() && table->retiring.empty());
    CPPUNIT_ASSERT(table->retired == std::vector<std::string>{"old"});
  }

  static void CheckHeader(const BatchJobHeader& header, const std::string& batch_job_id, int items,
                          double cap) {
    const BatchJobSpec expected = BatchJob(batch_job_id, items, cap);
    CPPUNIT_ASSERT_EQUAL(expected.route, header.route);
    CPPUNIT_ASSERT_EQUAL(expected.host, header.host);
    CPPUNIT_ASSERT_EQUAL(expected.fingerprint, header.fingerprint);
    CPPUNIT_ASSERT_EQUAL(expected.token_cap, header.token_cap);
    CPPUNIT_ASSERT_EQUAL(expected.attempts, header.attempts);
    CPPUNIT_ASSERT_EQUAL(expected.due_ms, header.due_ms);
    CPPUNIT_ASSERT_EQUAL(expected.retain_s, header.retain_s);
    CPPUNIT_ASSERT_EQUAL(expected.status_s, header.status_s);
    CPPUNIT_ASSERT(header.created_wall_ms > 1'600'000'000'000);
    CPPUNIT_ASSERT_EQUAL(expected.items.size(), header.items.size());
    for (std::size_t i = 0; i < expected.items.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(expected.items[i].item_id, header.items[i].item_id);
      CPPUNIT_ASSERT_EQUAL(expected.items[i].tokens, header.items[i].tokens);
    }
  }

  static void CheckItem(const ItemSpec& expected, const ItemSpec& item) {
    CPPUNIT_ASSERT_EQUAL(expected.item_id, item.item_id);
    CPPUNIT_ASSERT_EQUAL(expected.path, item.path);
    CPPUNIT_ASSERT(expected.headers == item.headers);
    CPPUNIT_ASSERT_EQUAL(expected.body, item.body);
    CPPUNIT_ASSERT_EQUAL(expected.tokens, item.tokens);
  }

  static void CheckOutput(const ItemOutput& output) {
    CPPUNIT_ASSERT(output.phase == ItemPhase::kComplete);
    CPPUNIT_ASSERT_EQUAL("output of " + output.item_id, output.content);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoldenStoreTest);

}  // namespace pearreach::golden
