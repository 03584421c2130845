// The newest committed state that this process knows. It only ever goes forward; each version is
// one immutable snapshot that is swapped in whole.
#ifndef PEARREACH_SRC_CONTROL_SNAPSHOT_STORE_H_
#define PEARREACH_SRC_CONTROL_SNAPSHOT_STORE_H_

#include <functional>
#include <memory>
#include <vector>

#include "control/control_client.h"
#include "control/messages.h"

namespace pearreach::control {

class SnapshotStore {
 public:
  SnapshotStore();
  std::shared_ptr<const ControlSnapshot> current() const { return current_; }
  // Called after each swap.
  void OnChange(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }
  // False: it is not newer than the current one, and nothing was done.
  bool Apply(coordination::Version version, std::shared_ptr<const coordination::Map> map);
  // The same for an answer that leaves out what this process had when it asked.
  bool Apply(StateUpdate update);

 private:
  std::shared_ptr<const ControlSnapshot> current_;
  std::vector<std::function<void()>> listeners_;
};

Revisions RevisionsOf(const ControlSnapshot& snapshot);
// The state of `map` without the entries that an asker with `known` has.
StateUpdate UpdateFor(const Revisions& known, coordination::Version version,
                      const coordination::Map& map);
// A version as the one number that rides on membership messages.
std::uint64_t Packed(coordination::Version version);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_CONTROL_SNAPSHOT_STORE_H_
