// Answers other nodes' kControlPoll: at once where this node knows something newer, otherwise it
// holds the call until it does or the hold time is over.
#ifndef PEARREACH_SRC_TIER_CONTROL_POLL_SERVER_H_
#define PEARREACH_SRC_TIER_CONTROL_POLL_SERVER_H_

#include <list>
#include <map>

#include "tier/control/messages.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

// Default; an asker adds its own margin for the way.
inline constexpr Micros kMaxPollWait = 2 * kSecond;

class PollServer {
 public:
  PollServer(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots);
  ~PollServer();
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
  std::list<PendingPoll> pending_;  // in the order of their ends
  Timers::Id timer_ = 0;
  // Askers of one version have the same revisions: each answer is encoded once.
  std::map<coordination::Version, std::string> encoded_;
  coordination::Version encoded_for_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_POLL_SERVER_H_
