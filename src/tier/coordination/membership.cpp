#include "tier/coordination/membership.h"

#include <algorithm>
#include <utility>

#include "tier/coordination/membership_merge.h"
#include "tier/coordination/membership_timing.h"
#include "tier/coordination/membership_wire.h"

namespace pearreach::coordination {
namespace {

std::vector<std::string> SeedsOf(const MembershipOptions& options) {
  std::vector<std::string> seeds = options.seeds;
  std::erase(seeds, options.self.address);
  return seeds;
}

std::string ReplyAddress(const std::string& from_ip, const MemberPacket& packet) {
  return from_ip + ":" + std::to_string(packet.port);
}

}  // namespace

Membership::Membership(MembershipOptions options, std::uint64_t seed, Micros now)
    : options_(std::move(options)),
      random_(seed),
      table_(options_.self, options_.dead_retention, &random_, this, now),
      sender_(options_.datagram_bytes, &table_, static_cast<std::uint32_t>(random_()), now),
      detector_(options_, &table_, &sender_, &random_, now),
      anti_entropy_(&table_, &sender_, now),
      discovery_(SeedsOf(options_), &table_, &sender_, &random_, now),
      latest_time_(now),
      planned_tick_(NextTick()) {}

Micros Membership::NextTick() const {
  if (left_) return kNever;
  return std::min({detector_.NextTick(), sender_.NextTick(), discovery_.NextTick()});
}

void Membership::Tick(Micros now, std::vector<Datagram>* out) {
  if (left_) return;
  ExtendDeadlinesAfterStall(now);
  detector_.Tick(now, out);
  discovery_.Tick(now, out);
  sender_.SendDueUpdates(now, out);
  planned_tick_ = NextTick();
}

// A tick that comes late means that this process did not run meanwhile.
void Membership::ExtendDeadlinesAfterStall(Micros now) {
  latest_time_ = std::max(latest_time_, now);
  if (planned_tick_ == kNever || now - planned_tick_ <= options_.probe_timeout) return;
  detector_.OnStall(now - planned_tick_);
  anti_entropy_.Reset();
  planned_tick_ = now;
}

void Membership::AnnounceShutdown(Micros now, std::vector<Datagram>* out) {
  latest_time_ = std::max(latest_time_, now);
  table_.SetSelfLeft();
  for (const std::string& name : table_.RandomLive(kShutdownReceivers, "")) {
    const Member& to = table_.members().at(name);
    MemberPacket packet = sender_.NewPacket(PacketKind::kUpdate, &to);
    packet.records.push_back(table_.MakeRecord(now, table_.Self()));
    sender_.Send(to.info.address, std::move(packet), now, out);
  }
  left_ = true;
}

void Membership::Announce(const std::string& name, std::uint64_t version) {
  if (table_.SetOwnVersion(name, version)) sender_.ScheduleUpdates(latest_time_);
}

bool Membership::HasContactWithMajority(const std::vector<std::string>& names, Micros now,
                                        Micros span) const {
  const auto in_contact = std::count_if(names.begin(), names.end(), [&](const std::string& name) {
    const Member* member = table_.Find(name);
    if (member == nullptr) return false;
    if (name == options_.self.name) return true;
    return IsLive(member->status) && member->last_contact != 0 &&
           now - member->last_contact <= span;
  });
  return static_cast<std::size_t>(in_contact) * 2 > names.size();
}

// ---------------------------------------------------------------- changes of the table

void Membership::OnMemberChanged(Micros now, const Member& member, bool replaced) {
  detector_.OnStatusChanged(now, member.info.name, member.status);
  discovery_.OnMemberChanged(now, IsLive(member.status), replaced);
  sender_.QueueUpdate(member.info.name, now);
}

void Membership::OnSelfChanged() { sender_.QueueUpdate(options_.self.name, latest_time_); }

// ---------------------------------------------------------------- packets received

void Membership::Receive(Micros now, const std::string& from_ip, std::string_view bytes,
                         std::vector<Datagram>* out) {
  if (left_) return;
  const absl::StatusOr<MemberPacket> packet = DecodePacket(bytes);
  if (!packet.ok()) {
    ++malformed_;
    return;
  }
  if (packet->sender == options_.self.name) return;  // its own, through a seed, or a namesake's
  ExtendDeadlinesAfterStall(now);
  for (const MemberRecord& record : packet->records) table_.Merge(now, record);
  if (table_.RecordContact(now, *packet)) {
    HandlePacket(now, from_ip, *packet, out);
  } else {
    NotifySuperseded(now, from_ip, *packet, out);
  }
  planned_tick_ = NextTick();
}

void Membership::HandlePacket(Micros now, const std::string& from_ip, const MemberPacket& packet,
                              std::vector<Datagram>* out) {
  const Member* sender = table_.FindIncarnation(packet.sender, packet.incarnation);
  const std::string from = sender != nullptr ? sender->info.address : ReplyAddress(from_ip, packet);
  bool include_self = ReconcileReceiverView(packet.view);
  switch (packet.kind) {
    case PacketKind::kPing:
      RespondToPing(now, packet, sender, from, include_self, out);
      return;
    case PacketKind::kAck:
      detector_.OnAck(now, packet, out);
      anti_entropy_.CompareDigest(now, packet, from, out);
      break;
    case PacketKind::kPingRequest:
      detector_.OnPingRequest(now, packet, from, out);
      break;
    case PacketKind::kIndirectAck:
      detector_.OnIndirectAck(now, packet);
      break;
    case PacketKind::kUpdate:
      if (packet.wants_list && anti_entropy_.AdmitListTransfer(now)) {
        sender_.SendList(from, sender_.NewPacket(PacketKind::kUpdate, sender), now, out);
        include_self = false;
      }
      break;
  }
  // The sender's view of this node is wrong; or the sender is not known here, which it learns from
  // the view in the response.
  if (!include_self && sender != nullptr) return;
  MemberPacket response = sender_.NewPacket(PacketKind::kUpdate, sender);
  response.records.push_back(table_.MakeRecord(now, table_.Self()));
  sender_.Send(from, std::move(response), now, out);
}

void Membership::RespondToPing(Micros now, const MemberPacket& packet, const Member* sender,
                               const std::string& from, bool include_self,
                               std::vector<Datagram>* out) {
  MemberPacket ack = sender_.NewPacket(PacketKind::kAck, sender);
  ack.probe = packet.probe;
  if (include_self) ack.records.push_back(table_.MakeRecord(now, table_.Self()));
  if (packet.wants_list && anti_entropy_.AdmitListTransfer(now)) {
    sender_.SendList(from, std::move(ack), now, out);
  } else {
    sender_.Send(from, std::move(ack), now, out);
  }
}

// So that a process that started under an earlier time of day than the one before it continues
// under a greater incarnation.
void Membership::NotifySuperseded(Micros now, const std::string& from_ip,
                                  const MemberPacket& packet, std::vector<Datagram>* out) {
  const Member& known = table_.members().at(packet.sender);
  if (packet.incarnation >= known.info.incarnation) return;
  MemberPacket response = sender_.NewPacket(PacketKind::kUpdate, nullptr);
  response.records.push_back(table_.MakeRecord(now, known));
  sender_.Send(ReplyAddress(from_ip, packet), std::move(response), now, out);
}

// True: the sender's view of this node is wrong, and it should be sent this node's record.
bool Membership::ReconcileReceiverView(const ReceiverView& view) {
  const std::uint64_t own = table_.Self().info.incarnation;
  if (view.incarnation != own) return view.incarnation < own;
  const bool suspected = IsSuspectOrDead(view.status);
  if (suspected) table_.Refute(view.refutations);
  return suspected;
}

}  // namespace pearreach::coordination
