// Fetches from a member that has announced a newer version than this node has for a while: the way
// to the newest state where both polls stand at members that are cut off. Not before the first
// state is known.
#ifndef PEARREACH_SRC_TIER_CONTROL_ANNOUNCED_FETCH_H_
#define PEARREACH_SRC_TIER_CONTROL_ANNOUNCED_FETCH_H_

#include <map>
#include <string>
#include <vector>

#include "tier/control/member_directory.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

// The name under which versions of the control state are announced.
inline constexpr char kAnnouncedName[] = "control";

class AnnouncedFetch {
 public:
  AnnouncedFetch(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots,
                 const MemberDirectory* directory);
  ~AnnouncedFetch();
  void MembersChanged(const std::vector<std::string>& names);

 private:
  struct Tried {
    std::uint64_t version = 0;  // what it had announced
    Micros again = 0;           // not before
  };
  bool IsAhead(const coordination::Member& member) const;
  const coordination::Member* Choose() const;
  void Arm(Micros delay);
  void Check();
  void Answered(const std::string& name, absl::StatusOr<std::string> answer);

  TimeSource* time_;
  rpc::Transport* transport_;
  SnapshotStore* snapshots_;
  const MemberDirectory* directory_;
  std::map<std::string, Tried> tried_;  // by name
  Timers::Id timer_ = 0;
  bool fetching_ = false;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_ANNOUNCED_FETCH_H_
