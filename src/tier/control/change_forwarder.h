// Delivers a change to the head of the chain, through other nodes if needed, within a bounded time.
// A change is sent again only if the response says that it certainly was not applied. A process
// that stood still takes on no change that others sent: they may have given it up meanwhile.
// Owned by the control node. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_CHANGE_FORWARDER_H_
#define PEARREACH_SRC_TIER_CONTROL_CHANGE_FORWARDER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "tier/control/member_directory.h"
#include "tier/control/messages.h"
#include "tier/control/replica_driver.h"
#include "tier/control/stall_detector.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

class ChangeForwarder {
 public:
  using Done = std::function<void(const WriteResponse&)>;

  // `replica`: null on nodes outside the quorum.
  ChangeForwarder(TimeSource* time, rpc::Transport* transport, const MemberDirectory* directory,
                  ReplicaDriver* replica, const QuorumConnectivity* connectivity,
                  const StallDetector* stalls);
  // `done` is called exactly once, within `request.timeout` (microseconds). Its status is
  // kUnavailable if the outcome is unknown.
  void Change(WriteRequest request, Done done);

 private:
  struct PendingChange {
    WriteRequest request;
    Micros deadline = 0;
    Done done;
    std::string hint;
    std::size_t attempts = 0;
    std::size_t forwarded_attempt = 0;  // the attempt that is in flight; 0: none
  };
  using PendingChangePtr = std::shared_ptr<PendingChange>;
  void OnForwarded(std::string_view body, const rpc::Respond& respond);
  void StartAttempt(const PendingChangePtr& pending);
  void ChangeLocally(const PendingChangePtr& pending, Micros time_left);
  void Forward(const PendingChangePtr& pending, const Contact& to, Micros time_left);
  void WatchTarget(const PendingChangePtr& pending, std::size_t number, const std::string& to);
  bool IsReachable(const std::string& name) const;
  void Finish(const PendingChangePtr& pending, const WriteResponse& response);
  bool CanChangeLocally() const;
  bool IsIsolated() const;
  Contact ChooseTarget(const PendingChangePtr& pending) const;
  void HandleResponse(const PendingChangePtr& pending, const WriteResponse& response);
  void ScheduleRetry(const PendingChangePtr& pending);

  TimeSource* time_;
  rpc::Transport* transport_;
  const MemberDirectory* directory_;
  ReplicaDriver* replica_;
  const QuorumConnectivity* connectivity_;
  const StallDetector* stalls_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CHANGE_FORWARDER_H_
