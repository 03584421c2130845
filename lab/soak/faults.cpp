#include "lab/soak/faults.h"

#include <fmt/format.h>
#include <signal.h>

#include <utility>

namespace pearreach::soak {
namespace {

// A member of the quorum is back only once its data are: half of `sync_s` and the first read.
constexpr Microseconds kMemberPause = 6 * kSecond;
constexpr Microseconds kOverGrace = 500 * kMillisecond;
constexpr Microseconds kWorkerEnd = 8 * kSecond;  // of a worker after SIGTERM
constexpr Microseconds kLongestDown = 1500 * kMillisecond;
constexpr Microseconds kQuickRestart = 300 * kMillisecond;  // so that it falls into a filling
constexpr Microseconds kKilledEnd = 10 * kSecond;           // of any process after SIGKILL

}  // namespace

Faults::Faults(std::uint64_t seed, std::vector<Member*> members, RequestLog* log)
    : members_(std::move(members)), log_(log), random_(seed) {}

void Faults::Run(const std::atomic<bool>& stops) {
  if (members_.empty()) return;
  SleepFor(kFirstFault);
  while (!stops) {
    Member* const member = DrawMember();
    const Microseconds pause = member->keeps_data() ? kMemberPause : Draw(100, 3000) * kMillisecond;
    PlayOne(member);
    const Microseconds until = Now() + pause;
    while (!stops && Now() < until) SleepFor(50 * kMillisecond);
  }
}

// The first two faults, a SIGTERM and a loss of a disk, meet the last member.
Member* Faults::DrawMember() {
  if (played_ < 2) return members_.back();
  return members_[static_cast<std::size_t>(Draw(0, static_cast<int>(members_.size()) - 1))];
}

void Faults::PlayOne(Member* member) {
  ++played_;
  if (!member->Runs()) {
    log_->Find("EXIT", fmt::format("{} has ended by itself", member->name()));
    member->BeginDisturbance(/*abrupt=*/true);
    member->Start();
    member->EndDisturbance();
    return;
  }
  // Each of the first three comes up in any run that is long enough for three faults.
  const int drawn = Draw(0, 6);
  if (member->keeps_data() && members_.size() > 1) {
    if (played_ == 2) {
      RestartWhileFilling(member, DrawOther(member));
      SleepFor(kMemberPause);
      return LoseDiskWhileAnotherIsDown(member, DrawOther(member));
    }
    if (played_ > 3 && Draw(0, 2) == 0)
      return Draw(0, 1) == 0 ? RestartWhileFilling(member, DrawOther(member))
                             : LoseDiskWhileAnotherIsDown(member, DrawOther(member));
    if (played_ > 3 && Draw(0, 5) == 0) return LoseDisk(member);
  }
  switch (played_ <= 3 ? 2 * (played_ - 1) : drawn) {
    case 0:
    case 1:
      return Terminate(member);
    case 2:
    case 3:
      return Kill(member);
    case 4:
    case 5:
      return Freeze(member);
    default:
      return Reload(member);
  }
}

void Faults::Terminate(Member* member) {
  const bool first = played_ == 1;
  const bool killed = !first && Draw(0, 4) == 0;  // while it still serves on
  log_->Count(killed ? "SIGTERM, then SIGKILL" : "SIGTERM");
  member->BeginDisturbance(killed);
  const Microseconds from = Now();
  member->Signal(SIGTERM);
  SignalWhileItStops(member);
  if (killed) {
    SleepFor(Draw(0, 3000) * kMillisecond);
    member->Signal(SIGKILL);
    member->AwaitEnd(kKilledEnd);
  } else {
    AwaitStop(member, from);
  }
  SleepFor(Draw(0, 1500) * kMillisecond);
  member->Start();
  member->EndDisturbance();
}

void Faults::SignalWhileItStops(Member* member) {
  const bool first = played_ == 1;
  if (first || Draw(0, 3) == 0) {
    log_->Count("SIGTERM twice");
    member->Signal(SIGTERM);
  }
  if ((first || Draw(0, 3) == 0) && member->kind() != Member::Kind::kWorker) {
    log_->Count("SIGTERM, then SIGHUP");
    member->Signal(SIGHUP);
  }
}

void Faults::AwaitStop(Member* member, Microseconds from) {
  const Microseconds grace = member->kind() == Member::Kind::kWorker ? kWorkerEnd : member->grace();
  const std::optional<int> end = member->AwaitEnd(grace + kOverGrace);
  if (!end) {
    log_->Find("GRACE", fmt::format("{} still runs {} ms after SIGTERM", member->name(),
                                    (Now() - from) / kMillisecond));
    member->Signal(SIGKILL);
    member->AwaitEnd(kKilledEnd);
  } else if (*end != 0) {
    log_->Find("EXIT", fmt::format("{} ended with {} after SIGTERM", member->name(), *end));
  }
}

void Faults::RestartAbruptly(Member* member, Microseconds longest_down, bool loses_disk) {
  member->BeginDisturbance(/*abrupt=*/true);
  member->Signal(SIGKILL);
  member->AwaitEnd(kKilledEnd);
  if (loses_disk) member->RemoveDisk();
  SleepFor(Draw(0, static_cast<int>(longest_down / kMillisecond)) * kMillisecond);
  member->Start();
  member->EndDisturbance();
}

void Faults::Kill(Member* member) {
  log_->Count("SIGKILL");
  RestartAbruptly(member, kLongestDown, /*loses_disk=*/false);
}

void Faults::LoseDisk(Member* member) {
  log_->Count("disk lost");
  RestartAbruptly(member, kLongestDown, /*loses_disk=*/true);
}

void Faults::LoseDiskWhileAnotherIsDown(Member* member, Member* away) {
  log_->Count("disk lost while another member is down");
  if (member->kind() == Member::Kind::kStore && away->kind() == Member::Kind::kStore)
    log_->Count("disk of a store lost while another store is down");
  away->BeginDisturbance(/*abrupt=*/true);
  away->Signal(SIGKILL);
  away->AwaitEnd(kKilledEnd);
  SleepFor(Draw(0, 3000) * kMillisecond);
  LoseDisk(member);
  SleepFor(Draw(0, 3000) * kMillisecond);
  away->Start();
  away->EndDisturbance();
}

void Faults::RestartWhileFilling(Member* member, Member* source) {
  log_->Count("member restarted while a lost disk is filled");
  if (member->kind() == Member::Kind::kStore && source->kind() == Member::Kind::kStore)
    log_->Count("store restarted while a lost disk of a store is filled");
  LoseDisk(member);
  for (int restart = 0; restart < 2; ++restart) {
    SleepFor(Draw(400, 1500) * kMillisecond);
    RestartAbruptly(source, kQuickRestart, /*loses_disk=*/false);
  }
}

// The one before it in the list, or any.
Member* Faults::DrawOther(const Member* member) {
  if (played_ == 2) return members_[members_.size() - 2];
  Member* other = nullptr;
  while (other == nullptr || other == member)
    other = members_[static_cast<std::size_t>(Draw(0, static_cast<int>(members_.size()) - 1))];
  return other;
}

void Faults::Freeze(Member* member) {
  log_->Count("SIGSTOP");
  member->BeginDisturbance(/*abrupt=*/true);
  member->Signal(SIGSTOP);
  SleepFor(Draw(200, 4000) * kMillisecond);
  member->Signal(SIGCONT);
  member->EndDisturbance();
}

void Faults::Reload(Member* member) {
  if (member->kind() == Member::Kind::kWorker) return;  // it has no settings file
  log_->Count("SIGHUP");
  for (int left = Draw(1, 3); left > 0; --left) member->Signal(SIGHUP);
}

int Faults::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

}  // namespace pearreach::soak
