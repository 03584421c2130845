// Keeps a node without a place in the chain up to date: polls held open at two distinct members,
// so that one that is cut off cannot keep this node back.
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

  // Off: this node learns of commits itself. Open polls end by themselves.
  void SetActive(bool active);
  // Members or their status changed: chooses anew whom to poll.
  void Refresh();

 private:
  struct Slot {
    Contact contact;
    std::uint64_t call = 0;  // 0: no poll is open
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
  std::map<std::string, Micros> backed_off_until_;  // address -> not asked again before
  Timers::Id retry_timer_ = 0;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_STATE_POLLER_H_
