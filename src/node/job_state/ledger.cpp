#include "node/job_state/ledger.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pearreach::job_state {
namespace {

using dispatch::ClassSettings;
using dispatch::Effect;

// It never ran, or can no longer take effect where it does.
bool CannotTakeEffect(const Attempt& a) {
  return a.execution == ExecutionState::kNeverRan || a.execution == ExecutionState::kFenced;
}

const Attempt* FirstPossiblyRun(const Job& job) {
  for (const Attempt& a : job.attempts)
    if (!CannotTakeEffect(a)) return &a;
  return nullptr;
}

const Attempt* InFlightAttempt(const Job& job) {
  for (const Attempt& a : job.attempts)
    if (a.execution == ExecutionState::kInFlight) return &a;
  return nullptr;
}

}  // namespace

bool MayRepeat(const Job& job, const ClassSettings& cls, UnixMicros now) {
  const Attempt* risky = FirstPossiblyRun(job);
  if (risky == nullptr || cls.effect == Effect::kRepeatable) return true;
  // The window runs from the first send that may have run, also while no node was there to count.
  return cls.effect == Effect::kByKey && now >= risky->sent && now < risky->sent + cls.key_window;
}

Recovery Recover(const Job& job, const ClassSettings* cls, const Policy& policy, UnixMicros now) {
  using Action = Recovery::Action;
  if (IsEnd(job.state) || job.state == State::kInDoubt) return {Action::kNone, ""};
  const Attempt* out = InFlightAttempt(job);
  const bool risky = FirstPossiblyRun(job) != nullptr;
  if (cls == nullptr) return {Action::kFailUnknownClass, "its class is no more"};
  if (now >= job.due) {
    if (risky && cls->effect == Effect::kOnce)
      return {Action::kMarkInDoubt, "its time ended while no node was there"};
    return {Action::kFailOverdue, "its time ended while no node was there"};
  }
  if (out != nullptr) {
    // A wall clock set back makes the lease look longer than it is, so it is cut to a whole one.
    const UnixMicros until = std::min(out->lease_until, now + policy.lease);
    if (now < until || MayRepeat(job, *cls, now)) return {Action::kAdopt, ""};
    return {Action::kMarkInDoubt, "no word of it since before the restart"};
  }
  // A result is written with the end that it makes, so who said an end and left none said 'failed'.
  if (cls->effect == Effect::kOnce && risky && StateAfterFailure(job, *cls) == State::kFailed)
    return {Action::kFailOverdue, "it failed before the restart"};
  if (!MayRepeat(job, *cls, now))
    return {Action::kMarkInDoubt, "it may have run before the restart"};
  return {Action::kRequeue, ""};
}

State StateAfterFailure(const Job& job, const ClassSettings& cls) {
  if (cls.effect != Effect::kOnce) return State::kFailed;
  for (const Attempt& a : job.attempts)
    if (a.execution == ExecutionState::kInFlight || a.execution == ExecutionState::kMayHaveRun)
      return State::kInDoubt;
  return State::kFailed;
}

Resolution Resolve(const Job& job, const std::string& worker, WorkerReport word) {
  Resolution r;
  if (job.state != State::kInDoubt) return r;
  const auto it = std::find_if(job.attempts.rbegin(), job.attempts.rend(), [&](const Attempt& a) {
    return a.worker == worker && a.execution != ExecutionState::kNeverRan;
  });
  if (it == job.attempts.rend()) return r;
  switch (word) {
    case WorkerReport::kDone:
      return {true, State::kServed, ""};
    case WorkerReport::kFailed:
      r.reason = worker + " says that it failed";
      break;
    case WorkerReport::kReturned:
      r.reason = worker + " says that it never ran it";
      break;
    case WorkerReport::kLost:  // the process died: whether it had taken effect by then, nobody
                               // knows
      return r;
  }
  // One worker's word settles its own attempt; another that may have run leaves the doubt.
  for (const Attempt& a : job.attempts)
    if (&a != &*it && !CannotTakeEffect(a)) return {};
  r.resolves = true;
  r.state = word == WorkerReport::kReturned ? State::kRefused : State::kFailed;
  return r;
}

bool MayFence(const Job& job) {
  if (job.state != State::kInDoubt) return false;
  return std::all_of(job.attempts.begin(), job.attempts.end(),
                     [](const Attempt& a) { return CannotTakeEffect(a) || a.knows_fences; });
}

std::uint64_t NextFence(const Job& job) {
  std::uint64_t fence = 0;
  for (const Attempt& a : job.attempts) fence = std::max(fence, a.fence);
  return fence + 1;
}

void ScheduleAfterEnd(Job* job, const Policy& policy, UnixMicros now, double chance) {
  const bool tells =
      !job->callback.empty() && !job->callback_done && job->callback_tries < kMaxCallbackAttempts;
  const std::int64_t wait =
      job->callback_tries == 0 ? 0 : CallbackBackoff(job->callback_tries - 1, chance);
  job->next_callback_at = tells ? std::max<UnixMicros>(now + wait, 1) : 0;
  job->purge_at = tells ? 0 : std::max<UnixMicros>(job->ended + policy.retention, 1);
}

std::int64_t CallbackBackoff(int tries, double chance) {
  const double base = std::min(300.0, std::ldexp(1.0, std::min(tries, 20)));
  return static_cast<std::int64_t>(1e6 * base * (0.5 + 0.5 * chance));
}

Pacer::Pacer(const Policy& policy)
    : min_window_(std::max(1, policy.initial_backlog_window)),
      max_window_(std::max(policy.max_in_flight, min_window_)),
      window_(min_window_),
      max_bytes_(policy.max_in_flight_bytes) {}

bool Pacer::RoomForNew(std::size_t bytes) const {
  return new_in_flight_ < max_window_ && (new_in_flight_ == 0 || bytes_ + bytes <= max_bytes_);
}

int Pacer::RoomForBacklog() const {
  // Large bodies in hand leave room for one at a time, never for none.
  const int window = bytes_ <= max_bytes_ ? window_ : 1;
  return std::max(0, window - backlog_in_flight_);
}

void Pacer::OnHandedOver(bool backlog, std::size_t bytes) {
  ++(backlog ? backlog_in_flight_ : new_in_flight_);
  bytes_ += bytes;
}

void Pacer::OnFinished(bool backlog, std::size_t bytes, Result end) {
  --(backlog ? backlog_in_flight_ : new_in_flight_);
  bytes_ -= bytes;
  if (!backlog || end == Result::kOther) return;
  window_ = end == Result::kServed ? std::min(window_ + 1, max_window_)
                                   : std::max(min_window_, window_ / 2);
}

std::string MakeJobId(std::uint64_t seq, std::uint64_t chance) {
  std::string id(32, '0');
  for (int i = 0; i < 16; ++i) {
    const auto digit = [&](std::uint64_t of) {
      return "0123456789abcdef"[of >> (60 - 4 * i) & 15];
    };
    id[static_cast<std::size_t>(i)] = digit(seq);
    id[16 + static_cast<std::size_t>(i)] = digit(chance);
  }
  return id;
}

std::optional<std::uint64_t> SeqFromId(std::string_view id) {
  if (id.size() != 32 || id.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    return std::nullopt;
  std::uint64_t seq = 0;
  std::from_chars(id.data(), id.data() + 16, seq, 16);
  return seq;
}

}  // namespace pearreach::job_state
