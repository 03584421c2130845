// Serves other nodes' kControlPoll: responds at once if this node has a newer state, and otherwise
// when it has one or kMaxPollWait is over.
// Owned by the control node. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_POLL_SERVER_H_
#define PEARREACH_SRC_TIER_CONTROL_POLL_SERVER_H_

#include <list>
#include <map>

#include "tier/control/messages.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

// The client adds a margin for the network.
inline constexpr Micros kMaxPollWait = 2 * kSecond;

class PollServer {
 public:
  PollServer(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots);
  ~PollServer();
  // Polls that wait for a newer state.
  std::size_t pending() const { return pending_.size(); }

 private:
  struct PendingPoll {
    PollRequest request;
    rpc::Respond respond;
    Micros deadline = 0;
  };
  void HandlePoll(std::string_view body, rpc::Respond respond);
  void RespondToPending();
  void Expire();
  void StartTimer();
  const std::string& EncodedUpdate(const PollRequest& request);

  TimeSource* time_;
  SnapshotStore* snapshots_;
  std::list<PendingPoll> pending_;  // by deadline
  Timers::Id timer_ = 0;
  // Clients with the same version have the same revisions, so each response is encoded once.
  std::map<coordination::Version, std::string> encoded_;
  coordination::Version encoded_for_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_POLL_SERVER_H_
