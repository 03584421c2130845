// The operators' requests about the quorum members: Quorum.Read and Quorum.Forget/NAME. Loop thread
// only.
#ifndef PEARREACH_SRC_TIER_CONTROL_QUORUM_API_H_
#define PEARREACH_SRC_TIER_CONTROL_QUORUM_API_H_

#include <string>

#include "tier/control/api_router.h"
#include "tier/control/quorum_recovery.h"

namespace pearreach::control {

class QuorumApi {
 public:
  // `recovery` outlives this, which outlives the router.
  explicit QuorumApi(QuorumRecovery* recovery) : recovery_(recovery) {}
  void Register(ApiRouter* router);

 private:
  std::string DescribeMembers() const;  // JSON
  void Forget(const std::shared_ptr<http_server::Exchange>& exchange, const std::string& member);

  QuorumRecovery* const recovery_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_QUORUM_API_H_
