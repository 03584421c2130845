// The workers that the edge nodes know, as an immutable snapshot. It is kept in shards that
// snapshots share, so that a change copies one shard and not the whole table.
#ifndef PEARREACH_SRC_TIER_REGISTRY_WORKER_TABLE_H_
#define PEARREACH_SRC_TIER_REGISTRY_WORKER_TABLE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "common/event_loop/io.h"

namespace pearreach::registry {

// For so long a departed worker is remembered, so that a late heartbeat does not list it again.
inline constexpr Micros kDepartedRetention = 120 * kSecond;

enum class WorkerPhase : std::uint8_t { kReady, kDraining, kGone };

struct WorkerRecord {
  std::string worker_id;  // of one incarnation
  std::string service, address, zone;
  int capacity = 1;
  WorkerPhase phase = WorkerPhase::kReady;
  std::uint64_t call_seq = 0;  // of the heartbeat that this record rests on
  std::int64_t warm_at = 0;    // local steady clock, microseconds: slow until then
  std::string receiver;        // the edge node that receives its heartbeats; empty: unknown
  std::uint64_t version = 0;   // rises with each change that nodes exchange
  bool lost = false;           // the receiver has missed its heartbeats

  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker_id& service& address& zone& capacity& phase& call_seq& warm_at& receiver&
        version& lost;
  }
};

// FNV-1a with its halves mixed: the same on every node.
inline std::uint64_t HashOf(const std::string& text) {
  std::uint64_t hash = 14695981039346656037ull;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  return hash ^ hash >> 32;
}

// By worker_id; workers that are gone are left out. Thread-safe once it is shared, as it does not
// change then.
class WorkerTable {
 public:
  using Shard = std::unordered_map<std::string, WorkerRecord>;
  static constexpr std::size_t kShards = 64;
  static std::size_t ShardOf(const std::string& worker_id) { return HashOf(worker_id) % kShards; }

  // Null: not listed.
  const WorkerRecord* Find(const std::string& worker_id) const {
    const auto& shard = shards_[ShardOf(worker_id)];
    if (shard == nullptr) return nullptr;
    const auto found = shard->find(worker_id);
    return found == shard->end() ? nullptr : &found->second;
  }
  bool contains(const std::string& worker_id) const { return Find(worker_id) != nullptr; }
  std::size_t size() const {
    std::size_t sum = 0;
    for (const auto& shard : shards_) sum += shard == nullptr ? 0 : shard->size();
    return sum;
  }
  bool empty() const { return size() == 0; }
  template <class Visit>  // void(const WorkerRecord&)
  void ForEach(Visit visit) const {
    for (const auto& shard : shards_) {
      if (shard == nullptr) continue;
      for (const auto& [id, record] : *shard) visit(record);
    }
  }

  // For building a table, before it is shared.
  void SetShard(std::size_t index, Shard shard) {
    shards_[index] = std::make_shared<const Shard>(std::move(shard));
  }
  void Put(const WorkerRecord& record) {
    Shard shard = CloneShard(ShardOf(record.worker_id));
    shard[record.worker_id] = record;
    SetShard(ShardOf(record.worker_id), std::move(shard));
  }
  void Erase(const std::string& worker_id) {
    Shard shard = CloneShard(ShardOf(worker_id));
    shard.erase(worker_id);
    SetShard(ShardOf(worker_id), std::move(shard));
  }

 private:
  Shard CloneShard(std::size_t index) const {
    return shards_[index] == nullptr ? Shard() : *shards_[index];
  }
  std::array<std::shared_ptr<const Shard>, kShards> shards_;
};

// Where the newest table comes from. Used on the event loop's thread only; listeners are called
// after each new table.
class WorkerSource {
 public:
  virtual ~WorkerSource() = default;
  virtual std::shared_ptr<const WorkerTable> Workers() const = 0;
  virtual void OnChange(std::function<void()> listener) = 0;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_WORKER_TABLE_H_
