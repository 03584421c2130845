// Keeps a node that is not in the chain up to date by long polls at two distinct members, so that
// one member that is partitioned cannot delay this node. Owned by the control node. Loop thread
// only.
#ifndef PEARREACH_SRC_TIER_CONTROL_STATE_POLLER_H_
#define PEARREACH_SRC_TIER_CONTROL_STATE_POLLER_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "tier/control/member_directory.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

class StatePoller {
 public:
  StatePoller(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots,
              const MemberDirectory* directory);
  ~StatePoller();

  // Inactive: this node learns of commits from the chain. Responses to open polls are still
  // applied.
  void SetActive(bool active);
  // To be called when members or their status changed: chooses the members to poll again.
  void Refresh();

 private:
  struct Slot {
    Contact contact;
    std::uint64_t call = 0;  // id of the open poll; 0: none
    Micros sent_at = 0;
  };
  std::vector<Contact> ChooseContacts() const;
  bool IsBackedOff(const std::string& address) const;
  void SendPoll(Slot* slot);
  void OnResponse(std::uint64_t call, const std::string& address,
                  absl::StatusOr<std::string> response);
  void BackOff(const std::string& address);
  void StartRetryTimer();

  TimeSource* time_;
  rpc::Transport* transport_;
  SnapshotStore* snapshots_;
  const MemberDirectory* directory_;
  bool active_ = false;
  std::array<Slot, 2> slots_;
  std::uint64_t last_call_ = 0;
  std::map<std::string, Micros> backed_off_until_;  // by address, on the time source's clock
  Timers::Id retry_timer_ = 0;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_STATE_POLLER_H_
