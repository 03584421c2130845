#include "tier/server/shutdown_sequence.h"

#include <algorithm>

namespace pearreach::server {
namespace {

constexpr Micros kPollPeriod = 50 * kMs;  // of the questions whether the process may go on

}  // namespace

void ShutdownSequence::Begin(Micros grace, Micros now) {
  if (begun()) return;
  begun_at_ = now;
  SetGrace(grace, now);
}

void ShutdownSequence::SetGrace(Micros grace, Micros now) {
  if (!begun()) return;
  schedule_ = MakeShutdownSchedule(grace, serves_clients_);
  actions_->BeginDrain(std::max(At(schedule_.refuse), now), At(schedule_.answer));
  if (phase_ != Phase::kServing) actions_->RefuseNewWork(At(schedule_.answer));
}

std::optional<Micros> ShutdownSequence::Step(Micros now) {
  while (Advance(now)) {
    if (phase_ != Phase::kExited) continue;
    actions_->Exit();
    return std::nullopt;
  }
  return std::clamp<Micros>(NextStepAt() - now, 0, kPollPeriod);
}

bool ShutdownSequence::Advance(Micros now) {
  switch (phase_) {
    case Phase::kServing:
      return EnterRefusing(now);
    case Phase::kRefusing:
      return EnterLeaving(now);
    case Phase::kLeaving:
      return EnterAnswered(now);
    case Phase::kAnswered:
      return EnterExited(now);
    case Phase::kExited:
      return false;
  }
  return false;
}

bool ShutdownSequence::EnterRefusing(Micros now) {
  if (now < At(schedule_.refuse)) return false;
  phase_ = Phase::kRefusing;
  actions_->RefuseNewWork(At(schedule_.answer));
  return true;
}

bool ShutdownSequence::EnterLeaving(Micros now) {
  if (now < At(schedule_.leave) && !actions_->IsIdle()) return false;
  phase_ = Phase::kLeaving;
  left_at_ = now;
  actions_->AnnounceLeave();
  return true;
}

bool ShutdownSequence::EnterAnswered(Micros now) {
  if (now < std::min(left_at_ + schedule_.leave_delay, At(schedule_.answer))) return false;
  phase_ = Phase::kAnswered;
  actions_->AnswerOpenRequests();
  return true;
}

bool ShutdownSequence::EnterExited(Micros now) {
  const bool finished = now >= left_at_ + schedule_.leave_delay && actions_->AllAnswersSent();
  if (now < At(schedule_.exit) && !finished) return false;
  phase_ = Phase::kExited;
  return true;
}

Micros ShutdownSequence::NextStepAt() const {
  switch (phase_) {
    case Phase::kServing:
      return At(schedule_.refuse);
    case Phase::kRefusing:
      return At(schedule_.leave);
    case Phase::kLeaving:
      return std::min(left_at_ + schedule_.leave_delay, At(schedule_.answer));
    case Phase::kAnswered:
    case Phase::kExited:
      return At(schedule_.exit);
  }
  return At(schedule_.exit);
}

}  // namespace pearreach::server
