// Fetches the state from a member that has announced a newer version than this node has had for a
// while. It brings the newest state if both open polls are at members that are partitioned. Does
// nothing before the initial state is known.
// Owned by the control node. Loop thread only.
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

// The name under which membership announces versions of the control state.
inline constexpr char kControlVersionName[] = "control";

class AnnouncedStateFetcher {
 public:
  AnnouncedStateFetcher(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots,
                        const MemberDirectory* directory);
  ~AnnouncedStateFetcher();
  // To be called when members or their announced versions changed.
  void MembersChanged(const std::vector<std::string>& names);

 private:
  struct FetchAttempt {
    std::uint64_t version = 0;  // that the member had announced
    Micros retry_after = 0;     // time source's clock
  };
  bool IsAhead(const coordination::Member& member) const;
  bool IsAnyMemberAhead() const;
  const coordination::Member* ChooseMember() const;
  void StartTimer(Micros delay);
  void FetchNewest();
  void OnResponse(const std::string& name, absl::StatusOr<std::string> response);

  TimeSource* time_;
  rpc::Transport* transport_;
  SnapshotStore* snapshots_;
  const MemberDirectory* directory_;
  std::map<std::string, FetchAttempt> attempts_;  // by member
  Timers::Id timer_ = 0;
  bool fetching_ = false;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_ANNOUNCED_STATE_FETCHER_H_
