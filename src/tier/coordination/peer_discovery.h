// Finds members that this node cannot learn of otherwise: contacts the configured seeds, with
// exponential backoff, until all of them are live members, and probes dead members now and then, so
// that a healed network partition is noticed. Owned by Membership; not thread-safe.
#ifndef PEARREACH_SRC_TIER_COORDINATION_PEER_DISCOVERY_H_
#define PEARREACH_SRC_TIER_COORDINATION_PEER_DISCOVERY_H_

#include <random>
#include <string>
#include <vector>

#include "tier/coordination/member.h"
#include "tier/coordination/member_table.h"
#include "tier/coordination/packet_sender.h"

namespace pearreach::coordination {

class PeerDiscovery {
 public:
  // The pointers must outlive this object. `seeds` without this node's own address.
  PeerDiscovery(std::vector<std::string> seeds, MemberTable* table, PacketSender* sender,
                std::mt19937_64* random, Micros now);

  Micros NextTick() const;
  void Tick(Micros now, std::vector<Datagram>* out);

  // A member's status or process changed: a seed may be live no longer, or its address be that of
  // another node.
  void OnMemberChanged(Micros now, bool live, bool replaced);

 private:
  void ContactSeeds(Micros now, std::vector<Datagram>* out);
  void ProbeDead(Micros now, std::vector<Datagram>* out);

  const std::vector<std::string> seeds_;
  MemberTable* const table_;
  PacketSender* const sender_;
  std::mt19937_64* const random_;
  Micros next_seed_contact_;
  Micros next_dead_probe_;
  Micros seed_backoff_;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_PEER_DISCOVERY_H_
