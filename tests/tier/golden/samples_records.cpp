// What goes to disk: keys and values as the writers of the state hand them to the tables.
#include "samples.h"
#include "tier/batch/batch_job_state.h"
#include "tier/batch/filled_joiners.h"
#include "tier/batch/lost_disks.h"
#include "tier/control/config_change_id.h"
#include "tier/control/disk_use.h"
#include "tier/control/messages.h"
#include "tier/control/snapshot_store.h"
#include "tier/coordination/change_history.h"
#include "tier/coordination/view_agreement.h"
#include "tier/registry/departure_log.h"
#include "tier/registry/worker_state.h"

namespace pearreach::golden {
namespace {

namespace chain = coordination::chain;
using coordination::Map;
using coordination::ReplicaId;

const ReplicaId kFirst{"n1", "d1"}, kSecond{"n2", "d2"};

std::shared_ptr<const Map> StartMap() {
  return std::make_shared<const Map>(Map{{"config", {"first", 3}}, {"stores", {"placement", 17}}});
}

// Founders are kept by the replica itself.
std::map<std::string, std::string> FoundersRecords() {
  coordination::ChainReplica replica({kFirst, true, {}}, {}, 1, 0);
  coordination::Effects effects;
  replica.SetFounders(0, {kSecond, kFirst}, &effects);
  std::map<std::string, std::string> records;
  for (const auto& persist : effects.persists) {
    for (const auto& [key, value] : persist.records) records[key] = value;
  }
  return records;
}

batch::BatchJobSpec SomeLot() {
  batch::BatchJobSpec spec{"lot-1", "route", "host.example", 101,     102.5, 103.25,
                           4,       105.5,   106.75,         107.125, {}};
  for (int i = 0; i < 3; ++i) {
    spec.items.push_back({"item-" + std::to_string(i),
                          "/path/" + std::to_string(i),
                          {{"x-head", std::to_string(i)}},
                          std::string("a\0b", 3) + std::to_string(i),
                          1.5 + i});
  }
  return spec;
}

struct NamedOperation {
  const char* name;
  batch::Operation operation;
};

// In the order in which they are applied; after the last one nothing is left.
std::vector<NamedOperation> LotOperations() {
  const batch::ResultRecord complete{1, batch::ItemPhase::kComplete, std::string("out\0put", 7)};
  const batch::ResultRecord abandoned{0x01020304, batch::ItemPhase::kAbandoned, "none"};
  batch::BatchJob batch_job;
  batch_job.items.resize(3);
  batch_job.items[2].failed_leases = {0x1112131415161718};
  batch::Operation failure{"lot-1", false, {}};
  batch::AddFailure(batch_job, 2, 0x2122232425262728, &failure);
  return {{"create", batch::MakeCreate(SomeLot(), 1700000000123)},
          {"reservation", batch::MakeReservation("lot-1", {"route", 81.5, 82, 83, 84})},
          {"result", batch::MakeResult("lot-1", 0, complete)},
          {"failure", failure},
          {"end", batch::MakeEnd("lot-1")},
          {"far_result", batch::MakeResult("lot-1", 0xabcd, abandoned)},
          {"release", batch::MakeRelease("lot-1")},
          {"forget", batch::MakeErase("lot-1")}};
}

registry::WorkerState SomeWorkers() {
  using registry::WorkerPhase;
  registry::WorkerState state({});
  state.Adopt(0, {{"w1", "service", "10.0.0.1:80", "zone", 5, WorkerPhase::kDraining, 6, 7, "taker",
                   8, true},
                  9,
                  10,
                  false});
  state.Adopt(
      0, {{"w2", "service", "10.0.0.2:80", "zone", 5, WorkerPhase::kGone, 6, 7, "taker", 8, false},
          9,
          10,
          false});
  return state;
}

}  // namespace

Samples RecordRows(const std::string& prefix, const std::map<std::string, std::string>& records) {
  std::vector<storage::Write> writes;
  for (const auto& [key, value] : records) writes.push_back({key, value, false});
  return WriteRows(prefix, writes);
}

Samples WriteRows(const std::string& prefix, const std::vector<storage::Write>& writes) {
  Samples samples;
  int number = 0;
  for (const storage::Write& write : writes) {
    const std::string name = prefix + "." + std::to_string(number++);
    samples.push_back({name + (write.erase ? ".erased" : ".key"), write.key});
    if (!write.erase) samples.push_back({name + ".value", write.value});
  }
  return samples;
}

Samples ChainRecords() {
  Samples samples;
  chain::DurableState state({});
  Join(RecordRows("state.install", state.Install({41, {kFirst, kSecond}}, {40, 99}, StartMap())),
       &samples);
  Join(RecordRows("state.commit", state.CommitPending()), &samples);
  Join(RecordRows("state.append", state.Append({{"config", {"second", 4}}, {"new", {"x", 1}}})),
       &samples);
  chain::DurableState other({});
  Join(RecordRows("state.adopt", other.Adopt({51, {kSecond}}, {50, 7}, {51, 8}, StartMap())),
       &samples);
  return samples;
}

Samples AgreementRecords() {
  chain::Acceptor acceptor(41, {});
  acceptor.Accept({11, kFirst}, {{42, {kFirst, kSecond}}, {41, 5}, {StartMap()}});
  acceptor.Promise({12, kSecond});
  Samples samples = RecordRows("acceptor.whole", acceptor.Save({}));
  Join(RecordRows("acceptor.without_map", acceptor.Save({41, 5})), &samples);
  Join(RecordRows("founders", FoundersRecords()), &samples);
  return samples;
}

Samples ControlRecords() {
  Samples samples;
  Map map{{"config", {"{}", 2}}};
  for (const std::uint64_t revision : {1, 2}) {
    const coordination::ChangeId change_id{100 + revision, 200 + revision, 300 + revision};
    const auto page = coordination::ChangeHistoryPageWith(map, "config", revision, change_id);
    map[page.first] = page.second;
    Join(RecordRows("marks." + std::to_string(revision), {{page.first, page.second.value}}),
         &samples);
  }
  samples.push_back(Coded("mark", coordination::ChangeId{1, 2, 3}));
  samples.push_back(Coded("disk_use", control::DiskUse{4, 5, 6}));
  samples.push_back(Coded(
      "peer_disks", control::PeerDisks{{"n1", {"d1", {4, 5, 6}}}, {"n2", {"d2", {7, 8, 9}}}}));
  samples.push_back(Coded("witness_vote", control::WitnessVote{7, {"n1", "d1"}}));
  return samples;
}

Samples LotRecords() {
  Samples samples;
  batch::BatchJobTable table(batch::PartitionOf("lot-1"));
  for (const NamedOperation& named : LotOperations()) {
    Join(WriteRows(std::string("lot.") + named.name, table.Apply(named.operation)), &samples);
  }
  const batch::FilledJoinersRecord filled{9, {{"s1", "d1"}, {"s2", "d2"}}};
  Join(WriteRows("store.filled_joiners", {batch::WriteFilledJoiners(5, filled)}), &samples);
  samples.push_back(Coded("registry.departure",
                          registry::DepartureRecord{registry::WorkerPhase::kDraining, 12, 13, 14}));
  samples.push_back(
      Coded("store.lost_disks", batch::LostDisksRecord{{{{"s1", "d1"}, "boot", 10, 11}}}));
  return samples;
}

Samples HashValues() {
  batch::BatchJobTable table(3);
  std::vector<std::uint32_t> buckets;
  for (std::uint32_t i = 0; i < batch::kDigestBuckets; ++i) buckets.push_back(i);
  const auto operations = LotOperations();
  for (std::size_t i = 0; i < 5; ++i) table.Apply(operations[i].operation);
  const registry::WorkerState workers = SomeWorkers();
  const char json[] = R"({"b":[1,2.5,null,true],"a":"text"})";
  return {
      {"hash.partitions",
       codec::Encode(std::vector<std::uint32_t>{batch::PartitionOf("lot-1"),
                                                batch::PartitionOf("lot-2"), batch::kPartitions})},
      {"hash.lot_buckets", codec::Encode(table.BucketDigests())},
      {"hash.lots", codec::Encode(table.BatchJobDigests(buckets))},
      {"hash.worker_shards", codec::Encode(workers.ShardDigests())},
      {"hash.workers",
       codec::Encode(std::vector<std::uint64_t>{workers.Digest(), registry::HashOf("w1")})},
      {"hash.config_mark", codec::Encode(control::ConfigChangeId(5, json))},
      {"hash.packed_version", codec::Encode(control::Packed({3, 9}))},
  };
}

}  // namespace pearreach::golden
