#include "tier/control/announced_state_fetcher.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {
namespace {

constexpr Micros kPollGracePeriod = 100 * kMs;  // the open polls usually bring it within this time
constexpr Micros kFetchTimeout = 500 * kMs;
constexpr Micros kRetryAfterFailure = kSecond;

std::uint64_t AnnouncedVersion(const coordination::Member& member) {
  const auto found = member.versions.find(kControlVersionName);
  return found == member.versions.end() ? 0 : found->second;
}

}  // namespace

AnnouncedStateFetcher::AnnouncedStateFetcher(TimeSource* time, rpc::Transport* transport,
                                             SnapshotStore* snapshots,
                                             const MemberDirectory* directory)
    : time_(time), transport_(transport), snapshots_(snapshots), directory_(directory) {}

AnnouncedStateFetcher::~AnnouncedStateFetcher() { time_->Cancel(&timer_); }

bool AnnouncedStateFetcher::IsAhead(const coordination::Member& member) const {
  return AnnouncedVersion(member) > Packed(snapshots_->current()->version);
}

bool AnnouncedStateFetcher::IsAnyMemberAhead() const {
  const MemberMap& members = directory_->members();
  return std::any_of(members.begin(), members.end(), [this](const auto& entry) {
    const auto& [name, member] = entry;
    return name != directory_->self() && IsLive(member) && IsAhead(member);
  });
}

void AnnouncedStateFetcher::MembersChanged(const std::vector<std::string>& names) {
  if (timer_ != 0 || fetching_ || !snapshots_->known()) return;
  const bool behind = std::any_of(names.begin(), names.end(), [&](const std::string& name) {
    const coordination::Member* member = directory_->FindLive(name);
    return member != nullptr && IsAhead(*member);
  });
  if (behind) StartTimer(kPollGracePeriod);
}

void AnnouncedStateFetcher::StartTimer(Micros delay) {
  timer_ = time_->After(delay, [this] {
    timer_ = 0;
    FetchNewest();
  });
}

const coordination::Member* AnnouncedStateFetcher::ChooseMember() const {
  const Micros now = time_->Now();
  const coordination::Member* best = nullptr;
  for (const auto& [name, member] : directory_->members()) {
    if (name == directory_->self() || !IsLive(member) || !IsAhead(member)) continue;
    const auto attempt = attempts_.find(name);
    const bool backing_off = attempt != attempts_.end() &&
                             attempt->second.version == AnnouncedVersion(member) &&
                             attempt->second.retry_after > now;
    if (backing_off) continue;
    if (best == nullptr || AnnouncedVersion(member) > AnnouncedVersion(*best)) best = &member;
  }
  return best;
}

void AnnouncedStateFetcher::FetchNewest() {
  const coordination::Member* member = ChooseMember();
  if (member == nullptr) return;
  const std::string name = member->info.name;
  attempts_[name] = {AnnouncedVersion(*member), time_->Now() + kRetryAfterFailure};
  fetching_ = true;
  const auto current = snapshots_->current();
  const PollRequest request{current->version, RevisionsOf(*current), false};
  transport_->Call(member->info.address, rpc::MessageType::kControlPoll, codec::Encode(request),
                   kFetchTimeout,
                   callbacks_.Bind([this, name](absl::StatusOr<std::string> response) {
                     OnResponse(name, std::move(response));
                   }));
}

void AnnouncedStateFetcher::OnResponse(const std::string& name,
                                       absl::StatusOr<std::string> response) {
  fetching_ = false;
  absl::StatusOr<StateUpdate> update =
      response.ok() ? codec::Decode<StateUpdate>(*response) : response.status();
  if (update.ok() && update->present) {
    attempts_.erase(name);
    snapshots_->Apply(*std::move(update));
  }
  if (!IsAnyMemberAhead()) {
    attempts_.clear();
  } else if (timer_ == 0) {
    StartTimer(ChooseMember() == nullptr ? kRetryAfterFailure : kPollGracePeriod);
  }
}

}  // namespace pearreach::control
