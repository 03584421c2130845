// The singleton role of dividing tenants' limits over allocators. Its owner watches the quorum
// members and replaces the share table step by step (share_table.h), each as a change of the
// control state that is rejected once another node has the role. Does nothing while no tenant is
// limited.
#ifndef PEARREACH_SRC_TIER_QUOTA_SHARE_CONTROLLER_H_
#define PEARREACH_SRC_TIER_QUOTA_SHARE_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tier/control/control_client.h"
#include "tier/control/singleton_role_driver.h"
#include "tier/control/time_source.h"
#include "tier/quota/share_table.h"

namespace pearreach::quota {

// Loop thread only.
class ShareController {
 public:
  // `self`: a name of this process that no other one has. `allocators`: of one shard at most.
  ShareController(std::unique_ptr<control::TimeSource> time, control::ControlClient* control,
                  std::string self, std::size_t allocators);
  ~ShareController();
  ShareController(const ShareController&) = delete;
  ShareController& operator=(const ShareController&) = delete;

  // Compares the members with the share table, and proposes the next one if there is one. To be
  // called when members have changed; also runs periodically.
  void Reconcile();

 private:
  void Schedule(Micros delay);
  void LoadTable(Micros now);
  std::vector<bool> ShardsThatMayGrow(Micros now) const;
  void ExpectAllocators(Micros now);
  // The quorum members that are there, and those of the table that may come back soon.
  std::vector<Candidate> Candidates(Micros now);
  std::optional<ShareTable> NextTable(Micros now);
  void Propose(const ShareTable& table);

  const std::unique_ptr<control::TimeSource> time_;
  control::ControlClient* const control_;
  control::SingletonRoleDriver role_;
  const std::size_t allocators_;
  Timers::Id timer_ = 0;
  bool owns_role_ = false, proposing_ = false;
  std::optional<ShareTable> table_;  // of `revision_`
  std::uint64_t revision_ = 0;
  std::vector<Micros> shard_since_;              // when this owner first saw each shard as it is
  std::map<std::string, std::string> zones_;     // of members that were there, by name
  std::map<std::string, Micros> missing_since_;  // by name
  std::set<std::string> present_;
  Micros present_changed_at_ = 0;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_SHARE_CONTROLLER_H_
