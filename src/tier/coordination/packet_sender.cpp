#include "tier/coordination/packet_sender.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <utility>

#include "tier/coordination/membership_timing.h"

namespace pearreach::coordination {
namespace {

std::uint16_t PortOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos) return port;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  return port;
}

// How often each update is sent in a cluster of `nodes`.
int RetransmitLimit(std::size_t nodes) {
  return kRetransmitMultiplier * static_cast<int>(std::bit_width(nodes));
}

bool ContainsRecord(const MemberPacket& packet, const std::string& name) {
  return std::any_of(packet.records.begin(), packet.records.end(),
                     [&](const MemberRecord& record) { return record.info.name == name; });
}

}  // namespace

PacketSender::PacketSender(std::size_t datagram_bytes, MemberTable* table,
                           std::uint32_t first_probe_id, Micros now)
    : datagram_bytes_(datagram_bytes),
      table_(table),
      last_probe_id_(first_probe_id),
      last_update_(now - kMinUpdateInterval),
      next_update_(kNever) {}

MemberPacket PacketSender::NewPacket(PacketKind kind, const Member* to) {
  const Member& self = table_->Self();
  MemberPacket packet;
  packet.kind = kind;
  packet.sender = self.info.name;
  packet.incarnation = self.info.incarnation;
  packet.refutations = self.refutations;
  packet.port = PortOf(self.info.address);
  packet.digest = table_->Digest();
  packet.versions = self.versions;
  if (to != nullptr) packet.view = {to->info.incarnation, to->refutations, to->status};
  return packet;
}

void PacketSender::Send(const std::string& address, MemberPacket packet, Micros now,
                        std::vector<Datagram>* out) {
  packet.number = ++last_number_;
  std::size_t size = EncodedSize(packet);
  const auto add = [&](const std::string& name) {
    const Member* member = table_->Find(name);
    if (member == nullptr) return UpdateQueue::OfferResult::kObsolete;
    if (ContainsRecord(packet, name)) return UpdateQueue::OfferResult::kIncluded;
    MemberRecord record = table_->MakeRecord(now, *member);
    const std::size_t more = EncodedSize(record);
    const bool fits = size + more <= datagram_bytes_ && packet.records.size() < kMaxRecords;
    if (!fits) return UpdateQueue::OfferResult::kTooLarge;
    size += more;
    packet.records.push_back(std::move(record));
    return UpdateQueue::OfferResult::kIncluded;
  };
  if (!updates_.empty()) updates_.Offer(RetransmitLimit(table_->live().size() + 1), add);
  out->push_back({address, EncodePacket(packet)});
}

void PacketSender::SendList(const std::string& address, MemberPacket first, Micros now,
                            std::vector<Datagram>* out) {
  MemberPacket packet = std::move(first);
  MemberPacket next = packet;
  next.kind = PacketKind::kUpdate;
  next.wants_list = false;
  next.target.clear();
  next.records.clear();
  std::size_t size = EncodedSize(packet);
  for (const auto& [name, member] : table_->members()) {
    if (ContainsRecord(packet, name)) continue;
    MemberRecord record = table_->MakeRecord(now, member);
    const std::size_t more = EncodedSize(record);
    if (size + more > datagram_bytes_ || packet.records.size() >= kMaxRecords) {
      Send(address, std::move(packet), now, out);
      packet = next;
      size = EncodedSize(packet);
    }
    size += more;
    packet.records.push_back(std::move(record));
  }
  Send(address, std::move(packet), now, out);
}

void PacketSender::Ping(const Member& to, std::uint32_t probe_id, Micros now,
                        std::vector<Datagram>* out) {
  MemberPacket packet = NewPacket(PacketKind::kPing, &to);
  packet.probe = probe_id;
  Send(to.info.address, std::move(packet), now, out);
}

void PacketSender::QueueUpdate(const std::string& name, Micros now) {
  updates_.Add(name);
  ScheduleUpdates(now);
}

void PacketSender::ScheduleUpdates(Micros now) {
  const Micros due = std::max(now + kUpdateDelay, last_update_ + kMinUpdateInterval);
  next_update_ = std::min(next_update_, due);
}

void PacketSender::SendDueUpdates(Micros now, std::vector<Datagram>* out) {
  if (now < next_update_) return;
  next_update_ = kNever;
  last_update_ = now;
  for (const std::string& name : table_->RandomLive(kUpdateReceivers, "")) {
    const Member& to = table_->members().at(name);
    Send(to.info.address, NewPacket(PacketKind::kUpdate, &to), now, out);
  }
}

}  // namespace pearreach::coordination
