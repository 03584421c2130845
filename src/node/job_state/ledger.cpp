#include "node/job_state/ledger.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pearreach::job_state {
namespace {

using dispatch::ClassSettings;
using dispatch::Effect;

// The attempt never ran, or is fenced off.
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
  const Attempt* may_have_run = FirstPossiblyRun(job);
  if (may_have_run == nullptr || cls.effect == Effect::kRepeatable) return true;
  // The window starts with the first attempt that may have run, and includes the time without a
  // node.
  return cls.effect == Effect::kByKey && now >= may_have_run->sent &&
         now < may_have_run->sent + cls.key_window;
}

Recovery Recover(const Job& job, const ClassSettings* cls, const Policy& policy, UnixMicros now) {
  using Action = Recovery::Action;
  if (IsEnd(job.state) || job.state == State::kInDoubt) return {Action::kNone, ""};
  const Attempt* in_flight = InFlightAttempt(job);
  const bool may_have_run = FirstPossiblyRun(job) != nullptr;
  if (cls == nullptr) return {Action::kFailUnknownClass, "its class is no more"};
  if (now >= job.due) {
    if (may_have_run && cls->effect == Effect::kOnce)
      return {Action::kMarkInDoubt, "its time ended while no node was there"};
    return {Action::kFailOverdue, "its time ended while no node was there"};
  }
  if (in_flight != nullptr) {
    // A wall clock that was set back makes the lease appear longer, so it is capped at a full
    // lease.
    const UnixMicros until = std::min(in_flight->lease_until, now + policy.lease);
    if (now < until || MayRepeat(job, *cls, now)) return {Action::kAdopt, ""};
    return {Action::kMarkInDoubt, "no word of it since before the restart"};
  }
  // A result is stored together with the job's end. An attempt that was reported as ended without a
  // stored result therefore failed.
  if (cls->effect == Effect::kOnce && may_have_run &&
      StateAfterFailure(job, *cls) == State::kFailed)
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

Resolution Resolve(const Job& job, const std::string& worker, WorkerReport report) {
  Resolution r;
  if (job.state != State::kInDoubt) return r;
  const auto it = std::find_if(job.attempts.rbegin(), job.attempts.rend(), [&](const Attempt& a) {
    return a.worker == worker && a.execution != ExecutionState::kNeverRan;
  });
  if (it == job.attempts.rend()) return r;
  switch (report) {
    case WorkerReport::kDone:
      return {true, State::kServed, ""};
    case WorkerReport::kFailed:
      r.reason = worker + " says that it failed";
      break;
    case WorkerReport::kReturned:
      r.reason = worker + " says that it never ran it";
      break;
    case WorkerReport::kLost:  // the process died; it is unknown whether the job took effect before
      return r;
  }
  // A report settles the worker's own attempt only. The job stays in doubt if another may have run.
  for (const Attempt& a : job.attempts)
    if (&a != &*it && !CannotTakeEffect(a)) return {};
  r.resolves = true;
  r.state = report == WorkerReport::kReturned ? State::kRefused : State::kFailed;
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

void ScheduleAfterEnd(Job* job, const Policy& policy, UnixMicros now, double random) {
  const bool calls_back =
      !job->callback.empty() && !job->callback_done && job->callback_tries < kMaxCallbackAttempts;
  const std::int64_t wait =
      job->callback_tries == 0 ? 0 : CallbackBackoff(job->callback_tries - 1, random);
  job->next_callback_at = calls_back ? std::max<UnixMicros>(now + wait, 1) : 0;
  job->purge_at = calls_back ? 0 : std::max<UnixMicros>(job->ended + policy.retention, 1);
}

std::int64_t CallbackBackoff(int tries, double random) {
  const double base = std::min(300.0, std::ldexp(1.0, std::min(tries, 20)));
  return static_cast<std::int64_t>(1e6 * base * (0.5 + 0.5 * random));
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
  // Above the limit for bodies there is still room for one job, so that the backlog never stalls.
  const int window = bytes_ <= max_bytes_ ? window_ : 1;
  return std::max(0, window - backlog_in_flight_);
}

void Pacer::OnHandedOver(bool backlog, std::size_t bytes) {
  ++(backlog ? backlog_in_flight_ : new_in_flight_);
  bytes_ += bytes;
}

void Pacer::OnFinished(bool backlog, std::size_t bytes, Result result) {
  --(backlog ? backlog_in_flight_ : new_in_flight_);
  bytes_ -= bytes;
  if (!backlog || result == Result::kOther) return;
  window_ = result == Result::kServed ? std::min(window_ + 1, max_window_)
                                      : std::max(min_window_, window_ / 2);
}

std::string MakeJobId(std::uint64_t seq, std::uint64_t random) {
  std::string id(32, '0');
  for (int i = 0; i < 16; ++i) {
    const auto digit = [&](std::uint64_t of) {
      return "0123456789abcdef"[of >> (60 - 4 * i) & 15];
    };
    id[static_cast<std::size_t>(i)] = digit(seq);
    id[16 + static_cast<std::size_t>(i)] = digit(random);
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
