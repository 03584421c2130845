// A store's vote on which quorum member may go on without members that are permanently lost
// (quorum_recovery.h). A store votes once for each view: two members that take each other for lost
// cannot both have the votes of a majority of the stores. Owned by the process of a store. Loop
// thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_WITNESS_VOTER_H_
#define PEARREACH_SRC_TIER_CONTROL_WITNESS_VOTER_H_

#include <string_view>

#include "tier/control/messages.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"
#include "tier/storage/table_store.h"

namespace pearreach::control {

class WitnessVoter {
 public:
  // Reads the vote on the disk, and responds to kWitnessVote from now on. Both must outlive this.
  WitnessVoter(rpc::Transport* transport, storage::TableStore* store);

 private:
  void OnRequest(std::string_view body, const rpc::Respond& respond);

  storage::TableStore* const store_;
  WitnessVote vote_;  // the latest; nothing is responded before it is synced
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_WITNESS_VOTER_H_
