// The newest committed state that this process knows. It only ever goes forward; each version is
// one immutable snapshot that is swapped in whole.
//
// The first state of a process must be one that a majority has just confirmed to be the newest: a
// copy from a member that is cut off, or from this node's own disk, may be older than what was in
// force here before the process started. Until then all else is kept aside.
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
  // A state has been confirmed in this process's life.
  bool known() const { return current_->version != coordination::Version(); }
  // Called after each swap.
  void OnChange(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

  // A committed state, the newest or not. False: it is not newer than the current one, or nothing
  // has been confirmed yet.
  bool Apply(coordination::Version version, std::shared_ptr<const coordination::Map> map);
  // The same for an answer that leaves out what this process had when it asked.
  bool Apply(StateUpdate update);
  // What a strict read has found. False: it is not newer than the current one.
  bool ApplyConfirmed(coordination::Version version, std::shared_ptr<const coordination::Map> map);
  bool ApplyConfirmed(StateUpdate update);

 private:
  bool Swap(coordination::Version version, std::shared_ptr<const coordination::Map> map);
  std::shared_ptr<const coordination::Map> Merged(std::vector<StateEntry> entries) const;

  std::shared_ptr<const ControlSnapshot> current_;
  // The newest whole state that came before the first confirmed one.
  coordination::Version early_version_;
  std::shared_ptr<const coordination::Map> early_map_;
  std::vector<std::function<void()>> listeners_;
};

Revisions RevisionsOf(const ControlSnapshot& snapshot);
// The state of `map` without the entries that an asker with `known` has, and without the marks of
// changes, which only quorum members need.
StateUpdate UpdateFor(const Revisions& known, coordination::Version version,
                      const coordination::Map& map);
// A version as the one number that rides on membership messages.
std::uint64_t Packed(coordination::Version version);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_SNAPSHOT_STORE_H_
