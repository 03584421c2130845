// Records on disk and well-formed messages with any content, to the state machines behind them:
// nothing may end the process, and what they hold stays consistent.
#include <fuzzer/FuzzedDataProvider.h>

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tier/batch/batch_job_age.h"
#include "tier/batch/batch_job_state.h"
#include "tier/batch/leases.h"
#include "tier/batch/placement.h"
#include "tier/batch/store_simulation.h"
#include "tier/codec/archive.h"
#include "tier/control/config_change_id.h"
#include "tier/control/snapshot_store.h"
#include "tier/coordination/chain.h"
#include "tier/coordination/chain_messages.h"
#include "tier/coordination/change_history.h"
#include "tier/registry/worker_state.h"

namespace {

using namespace pearreach;

constexpr std::uint32_t kPartition = 5;

std::string Name(FuzzedDataProvider* input) {
  return std::string(1, static_cast<char>('a' + input->ConsumeIntegralInRange<int>(0, 3)));
}

std::string RecordValue(FuzzedDataProvider* input) {
  switch (input->ConsumeIntegralInRange<int>(0, 3)) {
    case 0: {
      batch::BatchJobHeader header;
      header.retain_s = input->ConsumeFloatingPointInRange<double>(-1, 100);
      header.items.resize(input->ConsumeIntegralInRange<std::size_t>(0, 5));
      return codec::Encode(header);
    }
    case 1: {
      batch::ResultRecord result;
      result.item = input->ConsumeIntegralInRange<std::uint32_t>(0, 6);
      result.phase = static_cast<batch::ItemPhase>(input->ConsumeIntegral<std::uint8_t>());
      return batch::PackResult(result);
    }
    default:
      return input->ConsumeRandomLengthString(40);
  }
}

batch::Operation AnyOperation(FuzzedDataProvider* input) {
  static constexpr char kKinds[] = {'a', 'e', 'f', 'i', 'r', 'x', '\0'};
  batch::Operation operation{Name(input), input->ConsumeBool(), {}};
  const int records = input->ConsumeIntegralInRange<int>(0, 4);
  for (int i = 0; i < records; ++i) {
    batch::Record record;
    record.kind = input->PickValueInArray(kKinds);
    record.index = input->ConsumeBool() ? input->ConsumeIntegralInRange<std::uint32_t>(0, 6)
                                        : input->ConsumeIntegral<std::uint32_t>();
    record.value = RecordValue(input);
    record.erase = input->ConsumeBool();
    operation.records.push_back(std::move(record));
  }
  return operation;
}

void CheckLots(batch::BatchJobTable* batch_jobs) {
  batch_jobs->StampNew(1);
  for (const auto& [id, batch_job] : batch_jobs->batch_jobs()) {
    if (batch_job.items.size() != batch_job.header.items.size()) std::abort();
    (void)batch_job.WaitingTokens();
    (void)batch_job.FindItem("x");
    (void)batch::RunLeftMs(batch_job, 5);
  }
  (void)batch_jobs->BatchJobDigests({0, 1, 40});
}

// Changes from another store, a restart from what they left on disk, and whole copies of it.
void Lots(FuzzedDataProvider* input) {
  batch::MemoryDisk disk;
  batch::BatchJobTable batch_jobs(kPartition);
  while (input->remaining_bytes() > 0) {
    if (input->ConsumeBool()) {
      disk.Write(batch_jobs.Apply(AnyOperation(input)));
    } else {
      std::string key = batch::PartitionPrefix(kPartition) + input->ConsumeRandomLengthString(12);
      disk.Write({{std::move(key), RecordValue(input), input->ConsumeBool()}});
    }
    CheckLots(&batch_jobs);
  }
  batch::BatchJobTable loaded(kPartition);
  loaded.Load(disk);
  CheckLots(&loaded);
  batch::BatchJobTable copy(kPartition);
  for (const auto& [id, batch_job] : loaded.batch_jobs()) copy.Apply(loaded.ReadSnapshot(disk, id));
  CheckLots(&copy);
}

batch::PlacementTable AnyTable(FuzzedDataProvider* input) {
  batch::PlacementTable table;
  table.epoch = input->ConsumeIntegralInRange<std::uint64_t>(0, 9);
  table.partitions.resize(input->ConsumeBool() ? batch::kPartitions
                                               : input->ConsumeIntegralInRange<std::size_t>(0, 40));
  for (batch::Partition& partition : table.partitions) {
    partition.epoch = input->ConsumeIntegralInRange<std::uint64_t>(0, 9);
    for (int i = input->ConsumeIntegralInRange<int>(0, 2); i > 0; --i)
      partition.replicas.push_back({Name(input), Name(input)});
    if (input->ConsumeBool()) partition.joining.push_back({Name(input), Name(input)});
  }
  if (input->ConsumeBool()) table.retiring.push_back(Name(input));
  if (input->ConsumeBool()) table.retired.push_back(Name(input));
  return table;
}

void Placement(FuzzedDataProvider* input) {
  batch::PlacementTable table = AnyTable(input);
  batch::PlacementInput surroundings;
  surroundings.spread.replicas = input->ConsumeIntegralInRange<std::size_t>(1, 4);
  surroundings.spread.zones = input->ConsumeIntegralInRange<std::size_t>(1, 3);
  surroundings.allow_moves = input->ConsumeBool();
  for (int i = input->ConsumeIntegralInRange<int>(0, 4); i > 0; --i) {
    const std::string name = Name(input);
    surroundings.stores[name] = {
        {name, Name(input)},
        "zone",
        static_cast<batch::StoreCondition>(input->ConsumeIntegralInRange<int>(0, 2))};
  }
  for (int step = 0; step < 40; ++step) {
    auto next = batch::NextPlacement(&table, surroundings);
    if (!next.has_value()) break;
    for (std::size_t i = 0; i < next->partitions.size() && i < table.partitions.size(); ++i) {
      const bool had = !table.partitions[i].replicas.empty();
      if (had && next->partitions[i].replicas.empty()) std::abort();
    }
    table = *std::move(next);
  }
  (void)batch::IsSettled(table, surroundings.spread.replicas);
}

// Another node's entries of a shard, known here or not, whether there is such a shard or not.
void Compare(Micros now, const registry::WorkerState& state, FuzzedDataProvider* input) {
  registry::RepairRequest::Shard shard;
  shard.index = input->ConsumeIntegralInRange<std::uint32_t>(0, 70);
  for (int i = input->ConsumeIntegralInRange<int>(0, 3); i > 0; --i)
    shard.entries.push_back(
        {input->ConsumeIntegral<std::uint64_t>(), input->ConsumeIntegral<std::uint64_t>()});
  registry::RepairResponse answer;
  state.Compare(now, shard, 2, &answer);
  if (answer.update.items.size() > 2) std::abort();
}

void Workers(FuzzedDataProvider* input) {
  registry::WorkerState state({});
  Micros now = 1;
  while (input->remaining_bytes() > 0) {
    now += input->ConsumeIntegralInRange<Micros>(0, 10 * kSecond);
    registry::WorkerRecord record;
    record.worker_id = Name(input);
    record.service = Name(input);
    record.address = Name(input);
    record.capacity = input->ConsumeIntegral<int>();
    record.phase = static_cast<registry::WorkerPhase>(input->ConsumeIntegral<std::uint8_t>());
    record.call_seq = input->ConsumeIntegral<std::uint64_t>();
    switch (input->ConsumeIntegralInRange<int>(0, 3)) {
      case 0:
        state.Merge(now, record, input->ConsumeIntegralInRange<Micros>(0, kSecond));
        break;
      case 1:
        state.Depart(now, record.worker_id);
        break;
      case 2: {
        registry::WorkerUpdate::Item item;
        item.record = record;
        item.heartbeat_age_ms = input->ConsumeIntegral<std::int64_t>();
        item.orphaned = input->ConsumeBool();
        state.Adopt(now, item);
        break;
      }
      default:
        Compare(now, state, input);
        state.Expire(now);
    }
    (void)state.Export(now);
    if (state.BuildTable()->size() > state.size()) std::abort();
  }
}

coordination::chain::Body AnyBody(FuzzedDataProvider* input) {
  using namespace coordination::chain;
  const auto number = [input] { return input->ConsumeIntegralInRange<std::uint64_t>(0, 4); };
  const auto id = [input] { return coordination::ReplicaId{Name(input), Name(input)}; };
  const auto map = [input] {
    MapRef ref;
    if (input->ConsumeBool()) {
      auto entries = std::make_shared<coordination::Map>();
      (*entries)[Name(input)] = {"v", 1};
      ref.map = std::move(entries);
    }
    return ref;
  };
  Proposal proposal;
  proposal.view.epoch = number();
  for (std::uint64_t i = number(); i > 0; --i) proposal.view.members.push_back(id());
  proposal.base = {number(), number()};
  proposal.map = map();
  const ProposalNumber proposal_number{number(), id()};
  switch (input->ConsumeIntegralInRange<int>(0, 15)) {
    case 0:
      return Append{number(), {{Name(input), {"v", number()}}}};
    case 1:
      return CommitNotice{number()};
    case 2:
      return ViewProbe{};
    case 3:
      return ViewNotice{};
    case 4:
      return ViewRequest{{{number(), number()}}};
    case 5:
      return ViewResponse{proposal, input->ConsumeBool(), {number(), number()}};
    case 6:
      return Prepare{proposal_number, {id(), id()}, {number(), number()}};
    case 7:
      return Promise{proposal_number, {number(), number()}, map(), {number(), id()}, proposal};
    case 8:
      return Reject{proposal_number};
    case 9:
      return AcceptorGone{proposal_number};
    case 10:
      return Accept{proposal_number, proposal};
    case 11:
      return Accepted{proposal_number};
    case 12:
      return ReadRequest{number(), number(), {number(), number()}};
    case 13:
      return ConfirmRequest{number()};
    case 14:
      return ConfirmResponse{number()};
    default:
      return ReadResponse{number(), number(), {number(), number()}, map()};
  }
}

// A chain replica that starts from any records and receives any messages from its peers.
void FuzzChainReplica(FuzzedDataProvider* input) {
  std::map<std::string, std::string> records;
  coordination::ChainOptions options;
  options.self = {"a", "a"};
  options.bootstrap = input->ConsumeBool();
  static constexpr const char* kKeys[] = {"chain/view", "chain/index", "chain/acceptor",
                                          "chain/founders", "chain/slot/0/config"};
  for (int i = input->ConsumeIntegralInRange<int>(0, 3); i > 0; --i)
    records[input->PickValueInArray(kKeys)] = input->ConsumeRandomLengthString(60);
  Micros now = 1;
  coordination::ChainReplica replica(options, records, 1, now);
  coordination::Effects effects;
  replica.SetPeers(now, {{{"a", "a"}, true}, {{"b", "b"}, true}, {{"c", "c"}, true}}, &effects);
  replica.SetFounders(now, {{"a", "a"}, {"b", "b"}, {"c", "c"}}, &effects);
  std::size_t persisted = 0;
  for (int step = 0; step < 60 && input->remaining_bytes() > 0; ++step) {
    now += input->ConsumeIntegralInRange<Micros>(0, kSecond);
    coordination::chain::Envelope envelope;
    envelope.header = {{Name(input), Name(input)},
                       input->ConsumeIntegralInRange<std::uint64_t>(0, 4)};
    envelope.body = AnyBody(input);
    const std::string from = envelope.header.from.name;
    replica.Receive(now, from, coordination::chain::EncodeEnvelope(envelope), &effects);
    if (input->ConsumeBool()) {
      replica.Change(now, {static_cast<std::uint64_t>(step), "config", 0, "v", {}}, &effects);
      replica.Read(now, static_cast<std::uint64_t>(step), &effects);
    }
    for (; persisted < effects.persists.size(); ++persisted)
      replica.OnPersisted(now, effects.persists[persisted].token, &effects);
    replica.Tick(now, &effects);
  }
}

void Snapshots(FuzzedDataProvider* input) {
  control::SnapshotStore store;
  coordination::Version last;
  while (input->remaining_bytes() > 0) {
    control::StateUpdate update;
    update.present = input->ConsumeBool();
    update.version = {input->ConsumeIntegralInRange<std::uint64_t>(0, 4),
                      input->ConsumeIntegralInRange<std::uint64_t>(0, 4)};
    for (int i = input->ConsumeIntegralInRange<int>(0, 2); i > 0; --i) {
      const char* const key = input->ConsumeBool() ? control::kConfigKey : control::kStoresKey;
      update.entries.push_back({key, input->ConsumeRandomLengthString(60),
                                input->ConsumeIntegralInRange<std::uint64_t>(0, 4)});
    }
    if (input->ConsumeBool()) {
      store.ApplyConfirmed(std::move(update));
    } else {
      const bool known = store.known();
      store.Apply(std::move(update));
      if (store.known() != known) std::abort();  // a first state must be a confirmed one
    }
    if (store.current()->version < last) std::abort();
    last = store.current()->version;
  }
}

// The history of changes over pages of any bytes, and over its own.
void FuzzChangeHistory(FuzzedDataProvider* input) {
  constexpr char kKey[] = "config";
  const auto change_id = [&](std::uint64_t number) {
    return coordination::ChangeId{number, input->ConsumeIntegral<std::uint64_t>(), 0};
  };
  coordination::Map corrupt;
  corrupt[kKey].revision = input->ConsumeIntegral<std::uint16_t>();
  while (input->remaining_bytes() > 0 && input->ConsumeBool()) {
    const std::uint64_t revision = input->ConsumeIntegralInRange<std::uint64_t>(1, 1 << 16);
    auto [key, page] =
        coordination::ChangeHistoryPageWith(corrupt, kKey, revision, change_id(revision));
    if (input->ConsumeBool()) page.value = input->ConsumeRandomLengthString(80);
    corrupt[key] = page;
    coordination::FindInChangeHistory(corrupt, kKey,
                                      change_id(input->ConsumeIntegral<std::uint16_t>()));
  }
  coordination::Map map;
  std::uint64_t number = 0;
  while (input->remaining_bytes() > 0) {
    number += 1 + input->ConsumeIntegral<std::uint8_t>();
    const coordination::ChangeId next = change_id(number);
    const std::uint64_t revision = ++map[kKey].revision;
    auto [key, page] = coordination::ChangeHistoryPageWith(map, kKey, revision, next);
    map[key] = page;
    const auto history_status = coordination::FindInChangeHistory(map, kKey, next);
    if (history_status != coordination::ChangeHistoryStatus::kRecorded) std::abort();
  }
}

// Two digests of one text are the same, whatever it is.
void Digests(FuzzedDataProvider* input) {
  const std::string text = input->ConsumeRemainingBytesAsString();
  if (control::ConfigChangeId(1, text) != control::ConfigChangeId(1, text)) std::abort();
}

using Machine = void (*)(FuzzedDataProvider*);
constexpr Machine kMachines[] = {Lots,      Placement,         Workers, FuzzChainReplica,
                                 Snapshots, FuzzChangeHistory, Digests};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  FuzzedDataProvider input(data, size);
  kMachines[input.ConsumeIntegralInRange<std::size_t>(0, std::size(kMachines) - 1)](&input);
  return 0;
}
