// The newest committed state that this process knows. Its version never decreases; each version is
// one immutable snapshot that replaces the one before atomically.
//
// The first state of a process must be one that a majority has just confirmed to be the newest: a
// copy from a partitioned member, or from this node's own disk, may be older than what was in force
// here before the process started. Until then other states are kept aside.
// Owned by the control node. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_SNAPSHOT_STORE_H_
#define PEARREACH_SRC_TIER_CONTROL_SNAPSHOT_STORE_H_

#include <functional>
#include <memory>
#include <vector>

#include "tier/control/control_client.h"
#include "tier/control/messages.h"

namespace pearreach::control {

class SnapshotStore {
 public:
  SnapshotStore();
  std::shared_ptr<const ControlSnapshot> current() const { return current_; }
  // A state has been confirmed in this process's lifetime.
  bool known() const { return current_->version != coordination::Version(); }
  // `listener` is called after each change of the current snapshot.
  void OnChange(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

  // Applies a committed state, which may be outdated. False: it is not newer than the current one,
  // or no state has been confirmed yet.
  bool Apply(coordination::Version version, std::shared_ptr<const coordination::Map> map);
  // The same for an update that omits the entries that this process had when it sent the request.
  bool Apply(StateUpdate update);
  // Applies the result of a linearizable read. False: it is not newer than the current one.
  bool ApplyConfirmed(coordination::Version version, std::shared_ptr<const coordination::Map> map);
  bool ApplyConfirmed(StateUpdate update);

 private:
  bool Swap(coordination::Version version, std::shared_ptr<const coordination::Map> map);
  std::shared_ptr<const coordination::Map> Merged(std::vector<StateEntry> entries) const;

  std::shared_ptr<const ControlSnapshot> current_;
  // The newest complete state that arrived before the first confirmed one.
  coordination::Version early_version_;
  std::shared_ptr<const coordination::Map> early_map_;
  std::vector<std::function<void()>> listeners_;
};

Revisions RevisionsOf(const ControlSnapshot& snapshot);
// The update from `known` to `map`: without the entries that the client has, and without the change
// history, which only quorum members need.
StateUpdate UpdateFor(const Revisions& known, coordination::Version version,
                      const coordination::Map& map);
// A version as one number, in which form membership announces it.
std::uint64_t Packed(coordination::Version version);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_SNAPSHOT_STORE_H_
