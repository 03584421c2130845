#include "tier/quota/share_controller.h"

#include <algorithm>
#include <utility>

#include "tier/control/member_directory.h"
#include "tier/logging/log.h"
#include "tier/quota/quota_timing.h"

namespace pearreach::quota {
namespace {

constexpr char kModule[] = "quota";
constexpr char kRoleName[] = "quota";
constexpr Micros kOwnerPeriod = 500 * kMs;
constexpr Micros kStandbyPeriod = 1 * kSecond;
// The first table waits until no further member has shown up for this long.
constexpr Micros kFirstTableDelay = 1 * kSecond;
// A member that went away has this long to come back: while its share is with nobody the others'
// shares serve the tenants.
constexpr Micros kReturnTime = 10 * kSecond;
constexpr Micros kChangeTimeout = 2 * kSecond;

bool LimitsTenants(const control::ControlSnapshot& snapshot) {
  if (snapshot.routes == nullptr) return false;
  const auto& tenants = snapshot.routes->tenants();
  return std::any_of(tenants.begin(), tenants.end(),
                     [](const routing::Tenant& tenant) { return tenant.IsLimited(); });
}

}  // namespace

ShareController::ShareController(std::unique_ptr<control::TimeSource> time,
                                 control::ControlClient* control, std::string self,
                                 std::size_t allocators)
    : time_(std::move(time)),
      control_(control),
      role_(control, kRoleName, std::move(self), [this] { Schedule(0); }),
      allocators_(allocators),
      shard_since_(kShards, 0) {
  control_->OnChange(callbacks_.Bind([this] { Reconcile(); }));
  Schedule(0);
}

ShareController::~ShareController() { time_->Cancel(&timer_); }

void ShareController::Schedule(Micros delay) {
  time_->Cancel(&timer_);
  timer_ = time_->After(delay, [this] {
    timer_ = 0;
    Reconcile();
  });
}

void ShareController::LoadTable(Micros now) {
  const auto snapshot = control_->Current();
  if (snapshot->map == nullptr) return;
  const auto entry = snapshot->map->find(kShareTableKey);
  if (entry == snapshot->map->end() || entry->second.revision == revision_) return;
  auto table = DecodeShareTable(entry->second.value);
  revision_ = entry->second.revision;
  const std::optional<ShareTable> before = std::exchange(table_, std::nullopt);
  // One that nobody can read grants nothing: as a table without shares.
  table_ = table.ok() ? *std::move(table) : ShareTable{std::vector<ShardShares>(kShards)};
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    const bool same = before.has_value() && before->shards[shard] == table_->shards[shard];
    if (!same) shard_since_[shard] = now;
  }
  ExpectAllocators(now);
}

// After a start of all nodes an owner may not know all members yet.
void ShareController::ExpectAllocators(Micros now) {
  for (const ShardShares& shard : table_->shards) {
    for (const auto& [name, share] : shard) {
      const bool unknown = zones_.try_emplace(name, "").second;
      if (unknown) missing_since_[name] = now;
    }
  }
}

std::vector<Candidate> ShareController::Candidates(Micros now) {
  std::set<std::string> present;
  for (const auto& [name, member] : control_->members()) {
    if (!control::IsLive(member) || !member.info.Is(coordination::MemberInfo::kQuorumMember))
      continue;
    present.insert(name);
    zones_[name] = member.info.zone;
    missing_since_.erase(name);
  }
  if (present != present_) present_changed_at_ = now;
  present_ = std::move(present);
  std::vector<Candidate> candidates;
  for (auto at = zones_.begin(); at != zones_.end();) {
    const bool is_present = present_.contains(at->first);
    const Micros since =
        is_present ? now : missing_since_.try_emplace(at->first, now).first->second;
    if (now - since >= kReturnTime) {
      missing_since_.erase(at->first);
      at = zones_.erase(at);
      continue;
    }
    candidates.push_back({at->first, at->second});
    ++at;
  }
  return candidates;
}

std::optional<ShareTable> ShareController::NextTable(Micros now) {
  const std::vector<Candidate> candidates = Candidates(now);
  if (candidates.empty()) return std::nullopt;
  const bool settled = now - present_changed_at_ >= kFirstTableDelay;
  if (!settled) return std::nullopt;
  const ShareTable desired = DesiredShareTable(candidates, allocators_);
  if (!table_.has_value()) return desired;
  std::set<std::string> names;
  for (const Candidate& candidate : candidates) names.insert(candidate.name);
  return NextShareTable(*table_, desired, names, ShardsThatMayGrow(now));
}

std::vector<bool> ShareController::ShardsThatMayGrow(Micros now) const {
  std::vector<bool> may_grow;
  for (const Micros since : shard_since_) may_grow.push_back(now - since >= kShareGrowthDelay);
  return may_grow;
}

void ShareController::Reconcile() {
  const Micros now = time_->Now();
  if (!LimitsTenants(*control_->Current()) || !role_.Update(now)) {
    owns_role_ = false;
    Schedule(kStandbyPeriod);
    return;
  }
  if (!std::exchange(owns_role_, true)) {
    // How long the table has been in force is not known to a new owner.
    shard_since_.assign(kShards, now);
    missing_since_.clear();
    if (table_.has_value()) ExpectAllocators(now);
  }
  LoadTable(now);
  Schedule(kOwnerPeriod);
  if (proposing_) return;
  if (const auto next = NextTable(now)) Propose(*next);
}

void ShareController::Propose(const ShareTable& table) {
  proposing_ = true;
  logging::Info(kModule, "share table proposed",
                {logging::F("revision", revision_), logging::F("members", present_.size())});
  control_->Change({kShareTableKey, revision_, EncodeShareTable(table), role_.fencing_token()},
                   kChangeTimeout, callbacks_.Bind([this](const control::ChangeOutcome& outcome) {
                     proposing_ = false;
                     const bool committed =
                         outcome.status == coordination::ChangeStatus::kCommitted;
                     Schedule(committed ? 0 : kOwnerPeriod);
                   }));
}

}  // namespace pearreach::quota
