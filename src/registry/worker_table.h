// The workers that the fleet knows, as an immutable snapshot.
#ifndef PEARREACH_SRC_REGISTRY_WORKER_TABLE_H_
#define PEARREACH_SRC_REGISTRY_WORKER_TABLE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pearreach::registry {

enum class WorkerPhase : std::uint8_t { kReady, kDraining, kGone };

struct WorkerRecord {
  std::string worker_id;  // of one incarnation
  std::string service, address, zone;
  int capacity = 1;
  WorkerPhase phase = WorkerPhase::kReady;
  std::uint64_t call_seq = 0;  // of the heartbeat that this record rests on
  std::int64_t warm_at = 0;    // local steady clock, microseconds: slow until then

  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker_id& service& address& zone& capacity& phase& call_seq& warm_at;
  }
};

using WorkerTable = std::unordered_map<std::string, WorkerRecord>;  // by worker_id, kGone left out

// Swapped whole at each change; listeners are called after a swap, on the loop.
class WorkerSource {
 public:
  virtual ~WorkerSource() = default;
  virtual std::shared_ptr<const WorkerTable> Workers() const = 0;
  virtual void OnChange(std::function<void()> listener) = 0;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_REGISTRY_WORKER_TABLE_H_
