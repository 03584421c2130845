#include "tier/control/singleton_role_driver.h"

#include <utility>

#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

constexpr char kRoleKeyPrefix[] = "duty/";  // of a role's key in the control state
constexpr Micros kClaimTimeout = 1 * kSecond;
constexpr Micros kClaimBackoff = 200 * kMs;

}  // namespace

SingletonRoleDriver::SingletonRoleDriver(ControlClient* control, const std::string& role_name,
                                         std::string self, std::function<void()> changed)
    : control_(control),
      key_(kRoleKeyPrefix + role_name),
      self_(std::move(self)),
      changed_(std::move(changed)),
      role_(self_, kClaimBackoff) {}

bool SingletonRoleDriver::Update(Micros now) {
  Observe();
  role_.SetCandidate(control_->IsSingletonRoleCandidate());
  if (const auto epoch = role_.NextClaim(now)) Claim(*epoch);
  return is_owner();
}

void SingletonRoleDriver::Observe() {
  const auto map = control_->Current()->map;
  if (map == nullptr) return;
  const auto entry = map->find(key_);
  if (entry != map->end()) role_.Observe({entry->second.revision, entry->second.value});
}

void SingletonRoleDriver::Claim(std::uint64_t epoch) {
  control_->Change(
      {key_, epoch, self_}, kClaimTimeout, [this, alive = alive_](const ChangeOutcome& outcome) {
        if (!*alive) return;
        role_.OnClaimCompleted(outcome.status, outcome.revision);
        if (is_owner()) {
          logging::Info("control", "singleton role acquired",
                        {logging::F("role", key_), logging::F("epoch", role_.record().epoch)});
        }
        changed_();
      });
}

}  // namespace pearreach::control
