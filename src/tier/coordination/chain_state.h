// The durable part of a chain replica: the view and the map as records on disk, and how they
// change. Owned by ChainReplica; not thread-safe. It writes nothing itself: each change returns the
// records that the caller must sync.
//
// Each key has two slots. The index records which slot has the committed entry and which one the
// entry of the pending state, so that a value is written once and a discarded state costs nothing.
// All records of one change form one atomic batch.
#ifndef PEARREACH_SRC_TIER_COORDINATION_CHAIN_STATE_H_
#define PEARREACH_SRC_TIER_COORDINATION_CHAIN_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tier/coordination/chain_messages.h"

namespace pearreach::coordination::chain {

using Records = std::map<std::string, std::string>;

struct State {
  Version version;
  std::shared_ptr<const Map> map;
  std::map<std::string, std::uint8_t> slots;  // key -> slot of its entry
};

class DurableState {
 public:
  // Records that are missing or cannot be read leave the state empty, as on a new disk.
  explicit DurableState(const Records& records);

  const View& view() const { return view_; }
  const Version& base() const { return base_; }
  // Known to be on the disks of all members of its view. Version {0, 0} and null: none yet.
  const State& committed() const { return committed_; }
  // On this disk (once synced), not known to be committed; always newer than `committed`.
  const std::optional<State>& pending() const { return pending_; }
  const State& latest() const { return pending_ ? *pending_ : committed_; }
  // The committed state belongs to the present view.
  bool started() const { return view_.epoch > 0 && committed_.version.epoch == view_.epoch; }
  // The map of that version, null where this replica does not have it; {0, 0} is the empty map.
  std::shared_ptr<const Map> MapAt(const Version& version) const;
  // What the pending state changes on top of the committed one of the same view.
  std::vector<KeyChange> PendingChanges() const;

  // Each returns the records to sync.
  Records Append(const std::vector<KeyChange>& changes);  // on top of the committed state
  Records CommitPending();                                // REQUIRES: pending()
  // The view's starting map becomes the pending state.
  Records Install(View view, const Version& base, std::shared_ptr<const Map> map);
  // For a replica that is no member: a map that is committed in the view.
  Records Adopt(View view, const Version& base, const Version& version,
                std::shared_ptr<const Map> map);

 private:
  State AssignSlots(const Version& version, std::shared_ptr<const Map> map, Records* records) const;
  void SaveView(Records* records) const;
  void SaveIndex(Records* records) const;

  View view_;
  Version base_;
  State committed_;
  std::optional<State> pending_;
};

}  // namespace pearreach::coordination::chain

#endif  // PEARREACH_SRC_TIER_COORDINATION_CHAIN_STATE_H_
