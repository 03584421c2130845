#include "tier/control/duty_holder.h"

#include <utility>

#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

constexpr char kDutyPrefix[] = "duty/";  // of a duty's key in the control state
constexpr Micros kClaimTimeout = 1 * kSecond;
constexpr Micros kClaimPause = 200 * kMs;

}  // namespace

DutyHolder::DutyHolder(ControlClient* control, const std::string& duty, std::string self,
                       std::function<void()> changed)
    : control_(control),
      key_(kDutyPrefix + duty),
      self_(std::move(self)),
      changed_(std::move(changed)),
      duty_(self_, kClaimPause) {}

bool DutyHolder::Update(Micros now) {
  Observe();
  duty_.SetFirst(control_->IsDutyHolder());
  if (const auto epoch = duty_.NextClaim(now)) Claim(*epoch);
  return holds();
}

void DutyHolder::Observe() {
  const auto map = control_->Current()->map;
  if (map == nullptr) return;
  const auto entry = map->find(key_);
  if (entry != map->end()) duty_.Observe({entry->second.revision, entry->second.value});
}

void DutyHolder::Claim(std::uint64_t epoch) {
  control_->Change(
      {key_, epoch, self_}, kClaimTimeout, [this, alive = alive_](const ChangeOutcome& outcome) {
        if (!*alive) return;
        duty_.ClaimEnded(outcome.status, outcome.revision);
        if (holds()) {
          logging::Info("control", "duty taken",
                        {logging::F("duty", key_), logging::F("epoch", duty_.record().epoch)});
        }
        changed_();
      });
}

}  // namespace pearreach::control
