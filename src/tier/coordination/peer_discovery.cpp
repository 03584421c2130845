#include "tier/coordination/peer_discovery.h"

#include <algorithm>
#include <utility>

#include "tier/coordination/membership_merge.h"
#include "tier/coordination/membership_timing.h"

namespace pearreach::coordination {

PeerDiscovery::PeerDiscovery(std::vector<std::string> seeds, MemberTable* table,
                             PacketSender* sender, std::mt19937_64* random, Micros now)
    : seeds_(std::move(seeds)),
      table_(table),
      sender_(sender),
      random_(random),
      next_seed_contact_(seeds_.empty() ? kNever : now),
      next_dead_probe_(kNever),
      seed_backoff_(kInitialSeedBackoff) {}

Micros PeerDiscovery::NextTick() const { return std::min(next_seed_contact_, next_dead_probe_); }

void PeerDiscovery::Tick(Micros now, std::vector<Datagram>* out) {
  if (now >= next_seed_contact_) ContactSeeds(now, out);
  if (now >= next_dead_probe_) ProbeDead(now, out);
}

void PeerDiscovery::OnMemberChanged(Micros now, bool live, bool replaced) {
  if (!live) next_dead_probe_ = std::min(next_dead_probe_, now + kDeadProbeInterval);
  if (!live || replaced) {
    next_seed_contact_ = std::min(next_seed_contact_, now + kInitialSeedBackoff);
  }
}

void PeerDiscovery::ContactSeeds(Micros now, std::vector<Datagram>* out) {
  std::vector<std::string> missing = seeds_;
  for (const std::string& name : table_->live()) {
    std::erase(missing, table_->members().at(name).info.address);
  }
  if (missing.empty()) {
    next_seed_contact_ = kNever;
    seed_backoff_ = kInitialSeedBackoff;
    return;
  }
  for (const std::string& seed : missing) {
    MemberPacket packet = sender_->NewPacket(PacketKind::kPing, nullptr);
    packet.probe = sender_->NextProbeId();
    packet.wants_list = table_->live().empty();
    packet.records.push_back(table_->MakeRecord(now, table_->Self()));
    sender_->Send(seed, std::move(packet), now, out);
  }
  next_seed_contact_ = now + seed_backoff_ / 2 + RandomSpan(seed_backoff_ / 2, random_);
  seed_backoff_ = std::min(2 * seed_backoff_, kMaxSeedBackoff);
}

void PeerDiscovery::ProbeDead(Micros now, std::vector<Datagram>* out) {
  table_->ForgetExpired(now);
  next_dead_probe_ = table_->HasEndedMembers() ? now + kDeadProbeInterval : kNever;
  const std::vector<const Member*> dead = table_->DeadMembers();
  if (dead.empty()) return;
  const std::size_t choice =
      std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(*random_);
  sender_->Ping(*dead[choice], sender_->NextProbeId(), now, out);
}

}  // namespace pearreach::coordination
