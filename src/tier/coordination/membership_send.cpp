// Packets out: their head, and the news that ride on them.
#include <algorithm>
#include <bit>
#include <charconv>
#include <utility>

#include "tier/coordination/membership.h"
#include "tier/coordination/membership_merge.h"
#include "tier/coordination/membership_timing.h"
#include "tier/coordination/membership_wire.h"

namespace pearreach::coordination {
namespace {

constexpr Micros kAgeUnit = 100'000;  // of MemberRecord::age_tenths
constexpr Micros kMaxAge = 0xffff;

std::uint16_t PortOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos) return port;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  return port;
}

// How often each change is sent in a cluster of `nodes`.
int RetransmitLimit(std::size_t nodes) {
  return kRetransmitMultiplier * static_cast<int>(std::bit_width(nodes));
}

bool ContainsRecord(const MemberPacket& packet, const std::string& name) {
  for (const MemberRecord& record : packet.records) {
    if (record.info.name == name) return true;
  }
  return false;
}

}  // namespace

MemberPacket Membership::NewPacket(PacketKind kind, const Member* to) {
  const Member& self = Self();
  MemberPacket packet;
  packet.kind = kind;
  packet.sender = self.info.name;
  packet.incarnation = self.info.incarnation;
  packet.refutations = self.refutations;
  packet.port = PortOf(self.info.address);
  packet.digest = Digest();
  packet.versions = self.versions;
  if (to != nullptr) packet.view = {to->info.incarnation, to->refutations, to->status};
  return packet;
}

MemberRecord Membership::MakeRecord(Micros now, const Member& member) const {
  MemberRecord record;
  record.info = member.info;
  record.status = member.status;
  record.refutations = member.refutations;
  const auto peer_state = peer_states_.find(member.info.name);
  if (!IsLive(member.status) && peer_state != peer_states_.end()) {
    const Micros age = std::clamp<Micros>((now - peer_state->second.since) / kAgeUnit, 0, kMaxAge);
    record.age_tenths = static_cast<std::uint16_t>(age);
  }
  return record;
}

void Membership::Send(Micros now, const std::string& address, MemberPacket packet,
                      std::vector<Datagram>* out) {
  packet.number = ++last_number_;
  std::size_t size = EncodedSize(packet);
  const auto take = [&](const std::string& name) {
    const auto member = members_.find(name);
    if (member == members_.end()) return UpdateQueue::OfferResult::kObsolete;
    if (ContainsRecord(packet, name)) return UpdateQueue::OfferResult::kIncluded;
    MemberRecord record = MakeRecord(now, member->second);
    const std::size_t more = EncodedSize(record);
    const bool fits = size + more <= options_.datagram_bytes && packet.records.size() < kMaxRecords;
    if (!fits) return UpdateQueue::OfferResult::kTooLarge;
    size += more;
    packet.records.push_back(std::move(record));
    return UpdateQueue::OfferResult::kIncluded;
  };
  if (!changes_.empty()) changes_.Offer(RetransmitLimit(live_.size() + 1), take);
  out->push_back({address, EncodePacket(packet)});
}

void Membership::SendList(Micros now, const std::string& address, MemberPacket first,
                          std::vector<Datagram>* out) {
  MemberPacket packet = std::move(first);
  MemberPacket next = packet;
  next.kind = PacketKind::kUpdate;
  next.wants_list = false;
  next.target.clear();
  next.records.clear();
  std::size_t size = EncodedSize(packet);
  for (const auto& [name, member] : members_) {
    if (ContainsRecord(packet, name)) continue;
    MemberRecord record = MakeRecord(now, member);
    const std::size_t more = EncodedSize(record);
    if (size + more > options_.datagram_bytes || packet.records.size() >= kMaxRecords) {
      Send(now, address, std::move(packet), out);
      packet = next;
      size = EncodedSize(packet);
    }
    size += more;
    packet.records.push_back(std::move(record));
  }
  Send(now, address, std::move(packet), out);
}

void Membership::Ping(Micros now, const Member& to, std::uint32_t probe,
                      std::vector<Datagram>* out) {
  MemberPacket packet = NewPacket(PacketKind::kPing, &to);
  packet.probe = probe;
  Send(now, to.info.address, std::move(packet), out);
}

}  // namespace pearreach::coordination
