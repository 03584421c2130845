// Fetches from a member that has announced a newer version than this node has for a while: the way
// to the newest state where both polls stand at members that are cut off. Not before the first
// state is known.
#ifndef PEARREACH_SRC_TIER_CONTROL_ANNOUNCED_STATE_FETCHER_H_
#define PEARREACH_SRC_TIER_CONTROL_ANNOUNCED_STATE_FETCHER_H_

#include <map>
#include <string>
#include <vector>

#include "tier/control/member_directory.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

// The name under which versions of the control state are announced.
inline constexpr char kControlVersionName[] = "control";

class AnnouncedStateFetcher {
 public:
  AnnouncedStateFetcher(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots,
                        const MemberDirectory* directory);
  ~AnnouncedStateFetcher();
  void MembersChanged(const std::vector<std::string>& names);

 private:
  struct FetchAttempt {
    std::uint64_t version = 0;  // what it had announced
    Micros retry_after = 0;     // not before
  };
  bool IsAhead(const coordination::Member& member) const;
  const coordination::Member* ChooseMember() const;
  void StartTimer(Micros delay);
  void FetchNewest();
  void OnResponse(const std::string& name, absl::StatusOr<std::string> response);

  TimeSource* time_;
  rpc::Transport* transport_;
  SnapshotStore* snapshots_;
  const MemberDirectory* directory_;
  std::map<std::string, FetchAttempt> attempts_;  // by name
  Timers::Id timer_ = 0;
  bool fetching_ = false;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_ANNOUNCED_STATE_FETCHER_H_
