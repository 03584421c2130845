// Claims a singleton role of the system while this node is the first live one in the order of the
// control state's view (ControlClient::IsSingletonRoleCandidate), and provides the fencing token
// for the owner's changes. See coordination/singleton_role.h. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_SINGLETON_ROLE_DRIVER_H_
#define PEARREACH_SRC_TIER_CONTROL_SINGLETON_ROLE_DRIVER_H_

#include <functional>
#include <memory>
#include <string>

#include "tier/control/control_client.h"
#include "tier/coordination/singleton_role.h"

namespace pearreach::control {

class SingletonRoleDriver {
 public:
  // `role_name`: the role's name in the control state. `self`: a name that is unique to this
  // process. `changed` is called when a claim has succeeded or failed. `control` must outlive this.
  SingletonRoleDriver(ControlClient* control, const std::string& role_name, std::string self,
                      std::function<void()> changed);
  ~SingletonRoleDriver() { *alive_ = false; }
  SingletonRoleDriver(const SingletonRoleDriver&) = delete;
  SingletonRoleDriver& operator=(const SingletonRoleDriver&) = delete;

  // Observes the current control state, and claims the role if this node is the candidate. Returns
  // whether this process owns the role.
  bool Update(Micros now);
  bool is_owner() const { return role_.owned_epoch().has_value(); }
  // For a change that must be rejected once another process owns the role. Of the last epoch that
  // this process knows.
  coordination::FencingToken fencing_token() const { return {key_, role_.record().epoch}; }

 private:
  void Observe();
  void Claim(std::uint64_t epoch);

  ControlClient* control_;
  const std::string key_;
  const std::string self_;
  const std::function<void()> changed_;
  coordination::SingletonRole role_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_SINGLETON_ROLE_DRIVER_H_
