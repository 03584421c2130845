#include "tier/coordination/anti_entropy.h"

#include <algorithm>
#include <utility>

#include "tier/coordination/membership_timing.h"

namespace pearreach::coordination {

AntiEntropy::AntiEntropy(MemberTable* table, PacketSender* sender, Micros now)
    : table_(table), sender_(sender), last_sync_(now - kMinSyncInterval), lists_paid_until_(now) {}

void AntiEntropy::CompareDigest(Micros now, const MemberPacket& packet, const std::string& from,
                                std::vector<Datagram>* out) {
  if (packet.digest == table_->Digest()) {
    mismatched_since_ = 0;
    return;
  }
  if (mismatched_since_ == 0) mismatched_since_ = now;
  const auto members = static_cast<Micros>(table_->members().size());
  const Micros interval = std::max<Micros>(kMinSyncInterval, members * kSyncIntervalPerMember);
  if (now - mismatched_since_ < kMinMismatchAge || now - last_sync_ < interval) return;
  last_sync_ = now;
  MemberPacket list = sender_->NewPacket(PacketKind::kUpdate, table_->Find(packet.sender));
  list.wants_list = true;
  sender_->SendList(from, std::move(list), now, out);
}

bool AntiEntropy::AdmitListTransfer(Micros now) {
  const Micros paid = std::max(lists_paid_until_, now);
  if (paid - now > kMaxListBacklog) return false;
  lists_paid_until_ = paid + static_cast<Micros>(table_->members().size()) * kListCostPerRecord;
  return true;
}

}  // namespace pearreach::coordination
