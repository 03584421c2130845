// A client of one simulated partition that keeps what it was told and checks it against the stores,
// and a placement duty, much simplified.
#ifndef PEARREACH_TESTS_TIER_BATCH_REPLICATION_RUN_H_
#define PEARREACH_TESTS_TIER_BATCH_REPLICATION_RUN_H_

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "store_simulation.h"

namespace pearreach::batch::replication_test {

inline BatchJobSpec Spec(const std::string& batch_job_id, int items) {
  BatchJobSpec spec;
  spec.batch_job_id = batch_job_id;
  spec.route = "r";
  spec.fingerprint = std::hash<std::string>()(batch_job_id);
  for (int i = 0; i < items; ++i) {
    ItemSpec item;
    item.item_id = batch_job_id + "-" + std::to_string(i);
    item.body = "body of " + item.item_id;
    item.tokens = 10;
    spec.items.push_back(item);
  }
  return spec;
}

// What clients were told, and the checks of it.
class Run {
 public:
  using Position = std::pair<std::string, std::uint32_t>;
  struct Acknowledged {
    std::string content;
    Micros at = 0;
  };

  Run(std::uint64_t seed, int stores) : simulation(seed, stores) {
    for (auto& store : simulation.stores) store->Start();
    Partition first;
    first.replicas = {simulation.stores[0]->id(), simulation.stores[1]->id()};
    simulation.Publish(first);
  }

  void Create() {
    SimulatedStore* store = simulation.Active();
    if (store == nullptr) return;
    const std::string batch_job_id = "lot" + std::to_string(next_batch_job_++);
    submitted_.push_back(batch_job_id);
    store->replica()->Submit(MakeCreate(Spec(batch_job_id, 6), 1),
                             [this, batch_job_id](absl::Status status) {
                               if (status.ok()) accepted.emplace(batch_job_id, simulation.now);
                             });
  }

  void Append() {
    SimulatedStore* store = simulation.Active();
    if (store == nullptr || submitted_.empty()) return;
    const std::string batch_job_id = Pick();
    const BatchJob* batch_job = store->replica()->batch_jobs().Find(batch_job_id);
    if (batch_job == nullptr || !batch_job->accepted || !batch_job->Open()) return;
    ResultRecord result;
    result.item = static_cast<std::uint32_t>(simulation.Between(0, 5));
    if (batch_job->items[result.item].done) return;
    result.content = "result " + std::to_string(next_result_++);
    const std::uint32_t position = batch_job->results;
    Operation operation{batch_job_id, false, {}};
    if (simulation.Chance(0.3))
      AddFailure(*batch_job, result.item, simulation.random(), &operation);
    AddResult(position, result, &operation);
    store->replica()->Submit(
        operation, [this, batch_job_id, position, result](absl::Status status) {
          if (status.ok()) results[{batch_job_id, position}] = {result.content, simulation.now};
        });
  }

  void End() {
    SimulatedStore* store = simulation.Active();
    if (store == nullptr || submitted_.empty()) return;
    const std::string batch_job_id = Pick();
    if (store->replica()->batch_jobs().Find(batch_job_id) == nullptr) return;
    store->replica()->Submit(MakeEnd(batch_job_id), [this, batch_job_id](absl::Status status) {
      if (status.ok()) ended.insert(batch_job_id);
    });
  }

  // A read as a client's: what one has seen stays, whoever answers.
  void Read() {
    std::vector<SimulatedStore*> active;
    for (auto& store : simulation.stores) {
      if (store->running() && store->replica()->is_active()) active.push_back(store.get());
    }
    for (SimulatedStore* store : active) {
      const Micros asked = simulation.now;
      store->replica()->Confirm([this, store, asked](bool stands) {
        if (stands) CheckRead(store, asked - kConfirmSpan);
      });
    }
  }

  // What was told by `since`, before the confirmation at the earliest, must be there.
  void CheckRead(SimulatedStore* store, Micros since) {
    ++reads;
    for (const auto& [batch_job_id, acknowledged] : accepted) {
      if (acknowledged > since) continue;
      CPPUNIT_ASSERT_MESSAGE("accepted " + batch_job_id,
                             store->replica()->batch_jobs().Find(batch_job_id));
    }
    for (const auto& [position, acknowledged] : results) {
      if (acknowledged.at <= since)
        CPPUNIT_ASSERT_EQUAL(acknowledged.content, ContentOf(store, position));
    }
    for (const auto& [batch_job_id, batch_job] : store->replica()->batch_jobs().batch_jobs()) {
      for (std::uint32_t i = 0; i < batch_job.visible_results; ++i) {
        const std::string content = ContentOf(store, {batch_job_id, i});
        const auto [at, fresh] =
            results.try_emplace({batch_job_id, i}, Acknowledged{content, simulation.now});
        CPPUNIT_ASSERT_EQUAL(at->second.content, content);
      }
    }
  }

  static std::string ContentOf(SimulatedStore* store,
                               const std::pair<std::string, std::uint32_t>& position) {
    const auto record = store->memory().Get(
        RecordKey(kSimulatedPartition, position.first, RecordKind::kResult, position.second));
    CPPUNIT_ASSERT_MESSAGE("result of " + position.first, record.ok());
    return UnpackResult(*record)->content;
  }

  void CheckEnd(SimulatedStore* store) {
    for (const auto& [batch_job_id, acknowledged] : accepted) {
      CPPUNIT_ASSERT_MESSAGE("accepted " + batch_job_id,
                             store->replica()->batch_jobs().Find(batch_job_id));
    }
    for (const std::string& batch_job_id : ended) {
      CPPUNIT_ASSERT(store->replica()->batch_jobs().Find(batch_job_id)->ended);
    }
    for (const auto& [position, acknowledged] : results) {
      CPPUNIT_ASSERT_EQUAL(acknowledged.content, ContentOf(store, position));
    }
    for (const auto& [batch_job_id, batch_job] : store->replica()->batch_jobs().batch_jobs())
      CheckItems(store, batch_job_id, batch_job);
  }

  // No item stands twice; what is not listed has its body.
  static void CheckItems(SimulatedStore* store, const std::string& batch_job_id,
                         const BatchJob& batch_job) {
    std::set<std::uint32_t> listed;
    for (std::uint32_t i = 0; i < batch_job.results; ++i) {
      const auto record =
          store->memory().Get(RecordKey(kSimulatedPartition, batch_job_id, RecordKind::kResult, i));
      CPPUNIT_ASSERT(record.ok());
      CPPUNIT_ASSERT(listed.insert(UnpackResult(*record)->item).second);
    }
    for (std::uint32_t i = 0; i < batch_job.items.size(); ++i) {
      const auto body =
          store->memory().Get(RecordKey(kSimulatedPartition, batch_job_id, RecordKind::kItem, i));
      CPPUNIT_ASSERT_EQUAL(!listed.contains(i), body.ok());
    }
  }

  const std::string& Pick() {
    const auto last = static_cast<Micros>(submitted_.size()) - 1;
    return submitted_[static_cast<std::size_t>(
        simulation.Between(std::max<Micros>(0, last - 8), last))];
  }

  Simulation simulation;
  std::map<std::string, Micros> accepted;  // and when that was told
  std::set<std::string> ended;
  std::map<Position, Acknowledged> results;
  int reads = 0;

 private:
  std::vector<std::string> submitted_;
  int next_batch_job_ = 0, next_result_ = 0;
};

// The placement duty, much simplified: removes replicas that are down as long as a running one
// stays, fills up with joining ones, makes those count that hold everything.
class SingletonRole {
 public:
  explicit SingletonRole(Simulation* simulation) : simulation_(simulation) {}

  void Reconcile() {
    Partition next = simulation_->table;
    const auto is_down = [&](const StoreId& id) { return simulation_->Find(id) == nullptr; };
    const bool any_up = !std::all_of(next.replicas.begin(), next.replicas.end(), is_down);
    if (any_up) std::erase_if(next.replicas, is_down);
    std::erase_if(next.joining, is_down);
    Promote(&next);
    if (next.replicas.size() < 2 && next.joining.empty()) Join(&next);
    if (next.replicas.size() == 2 && next.joining.empty() && simulation_->Chance(0.1)) {
      std::swap(next.replicas[0], next.replicas[1]);
    }
    const Partition& now = simulation_->table;
    if (next.replicas == now.replicas && next.joining == now.joining) return;
    simulation_->Publish(next);
  }

 private:
  void Promote(Partition* next) {
    for (auto& store : simulation_->stores) {
      if (!store->running() || store->replica()->epoch() != simulation_->table.epoch) continue;
      for (const StoreId& id : store->replica()->FilledJoiners()) {
        const auto at = std::find(next->joining.begin(), next->joining.end(), id);
        if (at == next->joining.end()) continue;
        next->replicas.push_back(id);
        next->joining.erase(at);
      }
    }
  }

  void Join(Partition* next) {
    for (auto& store : simulation_->stores) {
      const bool holds = std::find(next->replicas.begin(), next->replicas.end(), store->id()) !=
                         next->replicas.end();
      if (!store->running() || holds) continue;
      next->joining.push_back(store->id());
      return;
    }
  }

  Simulation* simulation_;
};

// Two running stores with the disks that the table names, the first of them active.
inline bool IsFullyReplicated(Simulation* simulation) {
  const Partition& table = simulation->table;
  if (table.replicas.size() != 2 || !table.joining.empty()) return false;
  SimulatedStore* primary = simulation->Find(table.replicas[0]);
  const bool both = primary != nullptr && simulation->Find(table.replicas[1]) != nullptr;
  return both && primary->replica()->is_active() && primary->replica()->epoch() == table.epoch;
}

}  // namespace pearreach::batch::replication_test

#endif  // PEARREACH_TESTS_TIER_BATCH_REPLICATION_RUN_H_
