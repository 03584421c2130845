// Brings a change to the head of the chain, over other nodes where needed, within a bounded time.
// A change is sent again only where the answer says that surely nothing was changed.
#ifndef PEARREACH_SRC_TIER_CONTROL_CHANGE_RELAY_H_
#define PEARREACH_SRC_TIER_CONTROL_CHANGE_RELAY_H_

#include <functional>
#include <memory>
#include <string>

#include "tier/control/member_directory.h"
#include "tier/control/messages.h"
#include "tier/control/replica_driver.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

class ChangeRelay {
 public:
  using Done = std::function<void(const WriteResponse&)>;

  // `replica`: null on nodes outside the quorum.
  ChangeRelay(TimeSource* time, rpc::Transport* transport, const MemberDirectory* directory,
              ReplicaDriver* replica, const QuorumConnectivity* connectivity);
  // `done` is called exactly once, within `request.timeout`.
  void Change(WriteRequest request, Done done);

 private:
  struct Attempt {
    WriteRequest request;
    Micros deadline = 0;
    Done done;
    std::string hint;
    std::size_t attempts = 0;
    std::size_t passed_on = 0;  // the try that another node has now; 0: none
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  void Try(const AttemptPtr& attempt);
  void TryHere(const AttemptPtr& attempt, Micros left);
  void PassOn(const AttemptPtr& attempt, const Contact& to, Micros left);
  void Watch(const AttemptPtr& attempt, std::size_t number, const std::string& to);
  bool SeemsThere(const std::string& name) const;
  void End(const AttemptPtr& attempt, const WriteResponse& answer);
  bool MayChangeHere() const;
  bool IsCutOff() const;
  Contact Next(const AttemptPtr& attempt) const;
  void Settle(const AttemptPtr& attempt, const WriteResponse& answer);
  void TryLater(const AttemptPtr& attempt);

  TimeSource* time_;
  rpc::Transport* transport_;
  const MemberDirectory* directory_;
  ReplicaDriver* replica_;
  const QuorumConnectivity* connectivity_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CHANGE_RELAY_H_
