#include "tier/coordination/member_table.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "tier/coordination/membership_merge.h"

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

}  // namespace

MemberTable::MemberTable(const MemberInfo& self, Micros dead_retention, std::mt19937_64* random,
                         Observer* observer, Micros now)
    : self_name_(self.name), dead_retention_(dead_retention), random_(random), observer_(observer) {
  Member& member = members_[self_name_];
  member.info = self;
  member.last_contact = now;
}

const Member* MemberTable::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

const Member* MemberTable::FindIncarnation(const std::string& name,
                                           std::uint64_t incarnation) const {
  const Member* member = Find(name);
  return member != nullptr && member->info.incarnation == incarnation ? member : nullptr;
}

std::vector<std::string> MemberTable::TakeChanged() {
  std::vector<std::string> names(changed_.begin(), changed_.end());
  changed_.clear();
  return names;
}

std::uint64_t MemberTable::Digest() {
  if (digest_known_) return digest_;
  digest_ = 0;
  for (const auto& [name, member] : members_) {
    if (IsLive(member.status)) digest_ += HashMember(member.info);
  }
  digest_known_ = true;
  return digest_;
}

void MemberTable::Merge(Micros now, const MemberRecord& record) {
  const std::string& name = record.info.name;
  if (name == self_name_) {
    MergeSelf(record);
    return;
  }
  const Member* known = Find(name);
  if (!Supersedes(known, record)) return;
  const Micros age = record.age_tenths * kRecordAgeUnit;
  const bool live = IsLive(record.status);
  if (known == nullptr && !live && age >= dead_retention_) return;

  const bool replaced = known == nullptr || known->info.incarnation != record.info.incarnation;
  Member& member = members_[name];
  PeerState& peer_state = peer_states_[name];
  if (replaced) {
    member = Member{};
    member.info = record.info;
    peer_state = PeerState{};
  }
  member.status = record.status;
  member.refutations = record.refutations;
  if (!live) peer_state.since = now - age;
  SetLive(name, live);
  digest_known_ = false;
  changed_.insert(name);
  observer_->OnMemberChanged(now, member, replaced);
}

void MemberTable::MergeSelf(const MemberRecord& record) {
  const MemberInfo& own = Self().info;
  if (record.info.incarnation > own.incarnation) {
    // At another address, another process took the name. At this one it is an earlier process.
    if (record.info.address == own.address) AdvanceIncarnation(record.info.incarnation);
    return;
  }
  if (record.info.incarnation < own.incarnation) {
    if (IsLive(record.status)) observer_->OnSelfChanged();
    return;
  }
  if (IsSuspectOrDead(record.status)) Refute(record.refutations);
}

// The time of day was later when the process before this one started.
void MemberTable::AdvanceIncarnation(std::uint64_t incarnation) {
  Member& self = MutableSelf();
  if (self.status == MemberStatus::kLeft) return;
  if (incarnation == std::numeric_limits<std::uint64_t>::max()) return;
  self.info.incarnation = incarnation + 1;
  self.refutations = 0;
  digest_known_ = false;
  observer_->OnSelfChanged();
}

void MemberTable::Refute(std::uint32_t refutations) {
  Member& self = MutableSelf();
  if (refutations < self.refutations || refutations >= kMaxRefutations) return;
  self.refutations = refutations + 1;
  observer_->OnSelfChanged();
}

bool MemberTable::RecordContact(Micros now, const MemberPacket& packet) {
  const auto found = members_.find(packet.sender);
  if (found == members_.end()) return true;
  Member& member = found->second;
  if (packet.incarnation > member.info.incarnation) return true;
  if (packet.incarnation < member.info.incarnation) return false;
  if (member.status == MemberStatus::kLeft) return false;
  member.last_contact = now;
  PeerState& peer_state = peer_states_[packet.sender];
  // Numbers wrap around, so it is the sign of their difference that counts.
  const bool newer =
      !peer_state.has_number || static_cast<std::int32_t>(packet.number - peer_state.number) > 0;
  if (newer) {
    peer_state.has_number = true;
    peer_state.number = packet.number;
    if (member.versions != packet.versions) {
      member.versions = packet.versions;
      changed_.insert(packet.sender);
    }
  }
  if (packet.refutations > member.refutations) {
    MemberRecord record;
    record.info = member.info;
    record.refutations = packet.refutations;
    Merge(now, record);
  }
  return true;
}

bool MemberTable::SetOwnVersion(const std::string& name, std::uint64_t version) {
  if (name.size() > kMaxVersionName) return false;
  std::map<std::string, std::uint64_t>& versions = MutableSelf().versions;
  const auto found = versions.find(name);
  if (found == versions.end() && versions.size() >= kMaxVersions) return false;
  if (found != versions.end() && found->second == version) return false;
  versions[name] = version;
  return true;
}

MemberRecord MemberTable::MakeRecord(Micros now, const Member& member) const {
  constexpr Micros kMaxAge = std::numeric_limits<std::uint16_t>::max();
  MemberRecord record;
  record.info = member.info;
  record.status = member.status;
  record.refutations = member.refutations;
  const auto peer_state = peer_states_.find(member.info.name);
  if (!IsLive(member.status) && peer_state != peer_states_.end()) {
    const Micros age = (now - peer_state->second.since) / kRecordAgeUnit;
    record.age_tenths = static_cast<std::uint16_t>(std::clamp<Micros>(age, 0, kMaxAge));
  }
  return record;
}

void MemberTable::SetLive(const std::string& name, bool live) {
  const auto found = std::find(live_.begin(), live_.end(), name);
  if (live == (found != live_.end())) return;
  if (!live) {
    const auto index = static_cast<std::size_t>(found - live_.begin());
    live_.erase(found);
    if (index < probe_index_) --probe_index_;
    if (live_.empty()) observer_->OnLastLiveMemberRemoved();
    return;
  }
  if (live_.empty()) observer_->OnFirstLiveMember();
  const std::size_t index = std::uniform_int_distribution<std::size_t>(0, live_.size())(*random_);
  live_.insert(live_.begin() + static_cast<std::ptrdiff_t>(index), name);
  if (index < probe_index_) ++probe_index_;
}

const Member* MemberTable::NextProbeTarget() {
  if (probe_index_ >= live_.size()) {
    std::shuffle(live_.begin(), live_.end(), *random_);
    probe_index_ = 0;
  }
  if (live_.empty()) return nullptr;
  return &members_.at(live_[probe_index_++]);
}

std::vector<std::string> MemberTable::RandomLive(std::size_t count, const std::string& except) {
  std::vector<std::string> chosen;
  const std::size_t size = live_.size();
  if (size == 0) return chosen;
  const std::size_t first = std::uniform_int_distribution<std::size_t>(0, size - 1)(*random_);
  std::size_t stride = 1;
  if (size > 1) stride = std::uniform_int_distribution<std::size_t>(1, size - 1)(*random_);
  while (std::gcd(stride, size) != 1) ++stride;  // so that each is visited once
  for (std::size_t i = 0; i < size && chosen.size() < count; ++i) {
    const std::string& name = live_[(first + i * stride) % size];
    if (name != except && members_.at(name).status != MemberStatus::kSuspect) {
      chosen.push_back(name);
    }
  }
  return chosen;
}

void MemberTable::ForgetExpired(Micros now) {
  for (auto it = members_.begin(); it != members_.end();) {
    const auto& [name, member] = *it;
    const bool expired = name != self_name_ && !IsLive(member.status) &&
                         now - peer_states_[name].since >= dead_retention_;
    if (!expired) {
      ++it;
      continue;
    }
    peer_states_.erase(name);
    changed_.insert(name);
    it = members_.erase(it);
  }
}

bool MemberTable::HasEndedMembers() const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    return entry.first != self_name_ && !IsLive(entry.second.status);
  });
}

std::vector<const Member*> MemberTable::DeadMembers() const {
  std::vector<const Member*> dead;
  for (const auto& [name, member] : members_) {
    if (name != self_name_ && member.status == MemberStatus::kDead) dead.push_back(&member);
  }
  return dead;
}

}  // namespace pearreach::coordination
