#include "tier/coordination/membership.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

#include "tier/coordination/membership_merge.h"
#include "tier/coordination/membership_timing.h"
#include "tier/coordination/membership_wire.h"

namespace pearreach::coordination {
namespace {

// FNV-1a over the name, mixed with the incarnation; sums of these do not depend on order.
std::uint64_t HashMember(const MemberInfo& info) {
  std::uint64_t hash = 14695981039346656037ull;
  for (const char c : info.name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  hash ^= info.incarnation * 0x9e3779b97f4a7c15ull;
  hash ^= hash >> 31;
  hash *= 0xbf58476d1ce4e5b9ull;
  return hash ^ (hash >> 29);
}

constexpr Micros kAgeUnit = 100'000;  // of MemberRecord::age_tenths

}  // namespace

Membership::Membership(MembershipOptions options, std::uint64_t seed, Micros now)
    : options_(std::move(options)), random_(seed), latest_time_(now), last_response_(now) {
  Member& self = members_[options_.self.name];
  self.info = options_.self;
  self.last_contact = now;
  std::erase(options_.seeds, options_.self.address);
  last_probe_ = static_cast<std::uint32_t>(random_());
  last_update_ = now - kMinUpdateInterval;
  last_sync_ = now - kMinSyncInterval;
  lists_paid_until_ = now;
  next_probe_ = next_update_ = next_dead_ = kNever;
  next_seed_ = options_.seeds.empty() ? kNever : now;
  seed_backoff_ = kInitialSeedBackoff;
  planned_tick_ = NextTick();
}

Micros Membership::NextTick() const {
  if (left_) return kNever;
  Micros next = std::min({next_probe_, next_update_, next_seed_, next_dead_});
  for (const auto& [id, probe] : probes_) next = std::min(next, probe.due);
  for (const auto& [name, due] : suspects_) next = std::min(next, due);
  return next;
}

void Membership::AnnounceShutdown(Micros now, std::vector<Datagram>* out) {
  latest_time_ = std::max(latest_time_, now);
  Self().status = MemberStatus::kLeft;
  for (const std::string& name : RandomLive(kShutdownReceivers, "")) {
    const Member& to = members_.at(name);
    MemberPacket packet = NewPacket(PacketKind::kUpdate, &to);
    packet.records.push_back(MakeRecord(now, Self()));
    Send(now, to.info.address, std::move(packet), out);
  }
  left_ = true;
}

void Membership::Announce(const std::string& name, std::uint64_t version) {
  std::map<std::string, std::uint64_t>& versions = Self().versions;
  if (name.size() > kMaxVersionName) return;
  auto found = versions.find(name);
  if (found == versions.end() && versions.size() >= kMaxVersions) return;
  if (found != versions.end() && found->second == version) return;
  versions[name] = version;
  ScheduleUpdate(latest_time_);
}

std::vector<std::string> Membership::TakeChanged() {
  std::vector<std::string> names(changed_.begin(), changed_.end());
  changed_.clear();
  return names;
}

bool Membership::HasContactWithMajority(const std::vector<std::string>& names, Micros now,
                                        Micros span) const {
  std::size_t last_contact = 0;
  for (const std::string& name : names) {
    const auto found = members_.find(name);
    if (found == members_.end()) continue;
    const Member& member = found->second;
    const bool recent =
        IsLive(member.status) && member.last_contact != 0 && now - member.last_contact <= span;
    if (recent || name == options_.self.name) ++last_contact;
  }
  return last_contact * 2 > names.size();
}

// ---------------------------------------------------------------- state

bool Membership::Apply(Micros now, const MemberRecord& update) {
  const std::string& name = update.info.name;
  if (name == options_.self.name) {
    ApplyToSelf(update);
    return false;
  }
  auto found = members_.find(name);
  const Member* known = found == members_.end() ? nullptr : &found->second;
  if (!Supersedes(known, update)) return false;
  const Micros age = update.age_tenths * kAgeUnit;
  const bool live = IsLive(update.status);
  if (known == nullptr && !live && age >= options_.dead_retention) return false;

  const bool other_process = known == nullptr || known->info.incarnation != update.info.incarnation;
  Member& member = members_[name];
  PeerState& peer_state = peer_states_[name];
  if (other_process) {
    member = Member{};
    member.info = update.info;
    peer_state = PeerState{};
  }
  member.status = update.status;
  member.refutations = update.refutations;
  suspects_.erase(name);
  if (update.status == MemberStatus::kSuspect) suspects_[name] = now + options_.suspicion;
  if (!live) {
    peer_state.since = now - age;
    next_dead_ = std::min(next_dead_, now + kDeadProbeInterval);
  }
  SetLive(name, live);
  // A seed may be live no longer, or its address another node's.
  if (!live || other_process) next_seed_ = std::min(next_seed_, now + kInitialSeedBackoff);
  digest_known_ = false;
  RecordChange(now, name);
  return true;
}

void Membership::ApplyToSelf(const MemberRecord& update) {
  if (update.info.incarnation > options_.self.incarnation) {
    // At another address, another process took the name. At this one it is an earlier process.
    if (update.info.address == options_.self.address) AdvanceIncarnation(update.info.incarnation);
    return;
  }
  if (update.info.incarnation < options_.self.incarnation) {
    if (IsLive(update.status)) RecordChange(latest_time_, options_.self.name);
    return;
  }
  const bool suspected =
      update.status == MemberStatus::kSuspect || update.status == MemberStatus::kDead;
  if (suspected) Refute(update.refutations);
}

// The time of day was later when the process before this one started.
void Membership::AdvanceIncarnation(std::uint64_t incarnation) {
  if (left_ || incarnation == std::numeric_limits<std::uint64_t>::max()) return;
  options_.self.incarnation = incarnation + 1;
  Member& self = Self();
  self.info.incarnation = options_.self.incarnation;
  self.refutations = 0;
  digest_known_ = false;
  RecordChange(latest_time_, self.info.name);
}

void Membership::Refute(std::uint32_t refutations) {
  Member& self = Self();
  if (refutations < self.refutations || refutations >= kMaxRefutations) return;
  self.refutations = refutations + 1;
  changes_.Add(self.info.name);
  ScheduleUpdate(latest_time_);
}

void Membership::SetLive(const std::string& name, bool live) {
  auto found = std::find(live_.begin(), live_.end(), name);
  if (live == (found != live_.end())) return;
  if (!live) {
    const std::size_t index = static_cast<std::size_t>(found - live_.begin());
    live_.erase(found);
    if (index < probe_index_) --probe_index_;
    if (live_.empty()) next_probe_ = kNever;
    return;
  }
  if (live_.empty()) {
    next_probe_ = latest_time_ + Jitter(options_.probe_period);
    last_response_ = latest_time_;
  }
  const std::size_t index = std::uniform_int_distribution<std::size_t>(0, live_.size())(random_);
  live_.insert(live_.begin() + static_cast<std::ptrdiff_t>(index), name);
  if (index < probe_index_) ++probe_index_;
}

void Membership::RecordChange(Micros now, const std::string& name) {
  changes_.Add(name);
  if (name != options_.self.name) changed_.insert(name);
  ScheduleUpdate(now);
}

void Membership::ScheduleUpdate(Micros now) {
  next_update_ =
      std::min(next_update_, std::max(now + kUpdateDelay, last_update_ + kMinUpdateInterval));
}

void Membership::ExtendDeadlinesAfterStall(Micros now) {
  latest_time_ = std::max(latest_time_, now);
  if (planned_tick_ == kNever || now - planned_tick_ <= options_.probe_timeout) return;
  // This process stood still: what did not come meanwhile says nothing of the others.
  const Micros late = now - planned_tick_;
  for (auto& [id, probe] : probes_) probe.due += late;
  for (auto& [name, due] : suspects_) {
    if (due != kNever) due += late;
  }
  isolated_ = true;
  mismatched_since_ = 0;
  planned_tick_ = now;
}

std::uint64_t Membership::Digest() {
  if (digest_known_) return digest_;
  digest_ = 0;
  for (const auto& [name, member] : members_) {
    if (IsLive(member.status)) digest_ += HashMember(member.info);
  }
  digest_known_ = true;
  return digest_;
}

std::vector<std::string> Membership::RandomLive(std::size_t count, const std::string& except) {
  std::vector<std::string> chosen;
  const std::size_t size = live_.size();
  if (size == 0) return chosen;
  const std::size_t first = std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
  std::size_t stride = 1;
  if (size > 1) stride = std::uniform_int_distribution<std::size_t>(1, size - 1)(random_);
  while (std::gcd(stride, size) != 1) ++stride;  // so that each is met once
  for (std::size_t i = 0; i < size && chosen.size() < count; ++i) {
    const std::string& name = live_[(first + i * stride) % size];
    if (name != except && !suspects_.contains(name)) chosen.push_back(name);
  }
  return chosen;
}

Micros Membership::Jitter(Micros span) {
  return std::uniform_int_distribution<Micros>(0, span)(random_);
}

}  // namespace pearreach::coordination
