// Repairs tables that stay different although updates are disseminated: compares digests and, after
// a while, exchanges whole member lists. Owned by Membership; not thread-safe.
#ifndef PEARREACH_SRC_TIER_COORDINATION_ANTI_ENTROPY_H_
#define PEARREACH_SRC_TIER_COORDINATION_ANTI_ENTROPY_H_

#include <string>
#include <vector>

#include "tier/coordination/member.h"
#include "tier/coordination/member_table.h"
#include "tier/coordination/membership_wire.h"
#include "tier/coordination/packet_sender.h"

namespace pearreach::coordination {

class AntiEntropy {
 public:
  // `table` and `sender` must outlive this object.
  AntiEntropy(MemberTable* table, PacketSender* sender, Micros now);

  // Compares the digest of an acknowledgement; sends the own list and asks for the sender's where
  // the digests have differed for long enough.
  void CompareDigest(Micros now, const MemberPacket& packet, const std::string& from,
                     std::vector<Datagram>* out);
  // Whether another node may be sent the whole list now. Lists are sent within a budget, so that
  // many joiners do not delay the probes.
  bool AdmitListTransfer(Micros now);
  // Differences seen so far prove nothing.
  void Reset() { mismatched_since_ = 0; }

 private:
  MemberTable* const table_;
  PacketSender* const sender_;
  Micros mismatched_since_ = 0;  // 0: the last digest was equal
  Micros last_sync_;
  Micros lists_paid_until_;  // lists sent so far are within their budget from this time on
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_ANTI_ENTROPY_H_
