#include "tier/control/announced_fetch.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {
namespace {

constexpr Micros kPatience = 100 * kMs;  // the open polls usually bring it within this time
constexpr Micros kFetchTimeout = 500 * kMs;
constexpr Micros kAgainAfterFailure = kSecond;

std::uint64_t AnnouncedBy(const coordination::Member& member) {
  const auto found = member.versions.find(kAnnouncedName);
  return found == member.versions.end() ? 0 : found->second;
}

}  // namespace

AnnouncedFetch::AnnouncedFetch(TimeSource* time, rpc::Transport* transport,
                               SnapshotStore* snapshots, const MemberDirectory* directory)
    : time_(time), transport_(transport), snapshots_(snapshots), directory_(directory) {}

AnnouncedFetch::~AnnouncedFetch() { time_->Cancel(&timer_); }

bool AnnouncedFetch::IsAhead(const coordination::Member& member) const {
  return AnnouncedBy(member) > Packed(snapshots_->current()->version);
}

void AnnouncedFetch::MembersChanged(const std::vector<std::string>& names) {
  if (timer_ != 0 || fetching_ || !snapshots_->known()) return;
  const bool behind = std::any_of(names.begin(), names.end(), [&](const std::string& name) {
    const coordination::Member* member = directory_->FindLive(name);
    return member != nullptr && IsAhead(*member);
  });
  if (behind) Arm(kPatience);
}

void AnnouncedFetch::Arm(Micros delay) {
  timer_ = time_->After(delay, [this] {
    timer_ = 0;
    Check();
  });
}

const coordination::Member* AnnouncedFetch::Choose() const {
  const Micros now = time_->Now();
  const coordination::Member* best = nullptr;
  for (const auto& [name, member] : directory_->members()) {
    if (name == directory_->self() || !IsLive(member) || !IsAhead(member)) continue;
    const auto tried = tried_.find(name);
    const bool wait = tried != tried_.end() && tried->second.version == AnnouncedBy(member) &&
                      tried->second.again > now;
    if (wait) continue;
    if (best == nullptr || AnnouncedBy(member) > AnnouncedBy(*best)) best = &member;
  }
  return best;
}

void AnnouncedFetch::Check() {
  const coordination::Member* member = Choose();
  if (member == nullptr) return;
  const std::string name = member->info.name;
  tried_[name] = {AnnouncedBy(*member), time_->Now() + kAgainAfterFailure};
  fetching_ = true;
  const auto current = snapshots_->current();
  const PollRequest request{current->version, RevisionsOf(*current), false};
  transport_->Call(member->info.address, rpc::MessageType::kControlPoll, codec::Encode(request),
                   kFetchTimeout, callbacks_.Bind([this, name](absl::StatusOr<std::string> answer) {
                     Answered(name, std::move(answer));
                   }));
}

void AnnouncedFetch::Answered(const std::string& name, absl::StatusOr<std::string> answer) {
  fetching_ = false;
  absl::StatusOr<StateUpdate> update =
      answer.ok() ? codec::Decode<StateUpdate>(*answer) : answer.status();
  if (update.ok() && update->present) {
    tried_.erase(name);
    snapshots_->Apply(*std::move(update));
  }
  bool behind = false;
  for (const auto& [other, member] : directory_->members()) {
    behind = behind || (other != directory_->self() && IsLive(member) && IsAhead(member));
  }
  if (!behind) {
    tried_.clear();
  } else if (timer_ == 0) {
    Arm(Choose() == nullptr ? kAgainAfterFailure : kPatience);
  }
}

}  // namespace pearreach::control
