// Packets in: what they say of their sender, of others and of this node, and the answers to them.
#include <algorithm>
#include <utility>

#include "tier/coordination/membership.h"
#include "tier/coordination/membership_merge.h"
#include "tier/coordination/membership_timing.h"
#include "tier/coordination/membership_wire.h"

namespace pearreach::coordination {

void Membership::Receive(Micros now, const std::string& from_ip, std::string_view bytes,
                         std::vector<Datagram>* out) {
  if (left_) return;
  absl::StatusOr<MemberPacket> read = DecodePacket(bytes);
  if (!read.ok()) {
    ++malformed_;
    return;
  }
  const MemberPacket& packet = *read;
  if (packet.sender == options_.self.name) return;  // its own, through a seed, or a namesake's
  ExtendDeadlinesAfterStall(now);
  for (const MemberRecord& record : packet.records) Apply(now, record);
  if (UpdateSender(now, packet)) {
    const auto sender = members_.find(packet.sender);
    const bool known =
        sender != members_.end() && sender->second.info.incarnation == packet.incarnation;
    const std::string from =
        known ? sender->second.info.address : from_ip + ":" + std::to_string(packet.port);
    bool own_wanted = ReconcileReceiverView(packet.view);
    switch (packet.kind) {
      case PacketKind::kPing:
        OnPing(now, packet, from, own_wanted, out);
        own_wanted = false;
        break;
      case PacketKind::kAck:
        OnAck(now, packet, from, out);
        break;
      case PacketKind::kPingRequest:
        OnPingRequest(now, packet, from, out);
        break;
      case PacketKind::kIndirectAck:
        OnIndirectAck(now, packet);
        break;
      case PacketKind::kUpdate:
        if (packet.wants_list && AdmitListTransfer(now)) {
          SendList(now, from, NewPacket(PacketKind::kUpdate, known ? &sender->second : nullptr),
                   out);
          own_wanted = false;
        }
        break;
    }
    // What this node is to the sender is not what it is; or the sender is not known here, which
    // the answer's view tells it.
    if (own_wanted || (!known && packet.kind != PacketKind::kPing)) {
      MemberPacket response = NewPacket(PacketKind::kUpdate, known ? &sender->second : nullptr);
      response.records.push_back(MakeRecord(now, Self()));
      Send(now, from, std::move(response), out);
    }
  } else {
    NotifySuperseded(now, from_ip, packet, out);
  }
  planned_tick_ = NextTick();
}

// So that a process that started under an earlier time of day than the one before it goes on under
// a greater number.
void Membership::NotifySuperseded(Micros now, const std::string& from_ip,
                                  const MemberPacket& packet, std::vector<Datagram>* out) {
  const Member& known = members_.at(packet.sender);
  if (packet.incarnation >= known.info.incarnation) return;
  MemberPacket response = NewPacket(PacketKind::kUpdate, nullptr);
  response.records.push_back(MakeRecord(now, known));
  Send(now, from_ip + ":" + std::to_string(packet.port), std::move(response), out);
}

// False: the packet is of a process that has been replaced or has left.
bool Membership::UpdateSender(Micros now, const MemberPacket& packet) {
  auto found = members_.find(packet.sender);
  if (found == members_.end()) return true;
  Member& member = found->second;
  if (packet.incarnation > member.info.incarnation) return true;
  if (packet.incarnation < member.info.incarnation) return false;
  if (member.status == MemberStatus::kLeft) return false;
  member.last_contact = now;
  PeerState& peer_state = peer_states_[packet.sender];
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
    MemberRecord update;
    update.info = member.info;
    update.refutations = packet.refutations;
    Apply(now, update);
  }
  return true;
}

// True: the sender should be told of this node.
bool Membership::ReconcileReceiverView(const ReceiverView& view) {
  const std::uint64_t own = options_.self.incarnation;
  if (view.incarnation != own) return view.incarnation < own;
  const bool suspected =
      view.status == MemberStatus::kSuspect || view.status == MemberStatus::kDead;
  if (suspected) Refute(view.refutations);
  return suspected;
}

// Somebody has answered: this node is not cut off.
void Membership::OnResponse(Micros now) {
  const bool was_isolated = isolated_ || now - last_response_ > options_.suspicion;
  if (was_isolated) probes_.clear();
  for (auto& [name, due] : suspects_) {
    if (was_isolated || due == kNever) due = now + options_.suspicion;
  }
  isolated_ = false;
  last_response_ = now;
}

void Membership::OnPing(Micros now, const MemberPacket& packet, const std::string& from,
                        bool own_wanted, std::vector<Datagram>* out) {
  const auto sender = members_.find(packet.sender);
  const bool known =
      sender != members_.end() && sender->second.info.incarnation == packet.incarnation;
  MemberPacket ack = NewPacket(PacketKind::kAck, known ? &sender->second : nullptr);
  ack.probe = packet.probe;
  if (own_wanted) ack.records.push_back(MakeRecord(now, Self()));
  if (!packet.wants_list || !AdmitListTransfer(now)) {
    Send(now, from, std::move(ack), out);
    return;
  }
  SendList(now, from, std::move(ack), out);
}

// Lists are handed out within a budget, so that many joiners do not hold up the probes.
bool Membership::AdmitListTransfer(Micros now) {
  const Micros paid = std::max(lists_paid_until_, now);
  if (paid - now > kMaxListBacklog) return false;
  lists_paid_until_ = paid + static_cast<Micros>(members_.size()) * kListCostPerRecord;
  return true;
}

void Membership::OnAck(Micros now, const MemberPacket& packet, const std::string& from,
                       std::vector<Datagram>* out) {
  OnResponse(now);
  auto probe = probes_.find(packet.probe);
  if (probe != probes_.end() && probe->second.target == packet.sender) probes_.erase(probe);
  auto relay = relays_.find(packet.probe);
  if (relay != relays_.end() && relay->second.target == packet.sender) {
    MemberPacket response = NewPacket(PacketKind::kIndirectAck, nullptr);
    response.probe = relay->second.probe;
    response.target = packet.sender;
    response.target_incarnation = packet.incarnation;
    response.target_refutations = packet.refutations;
    const std::string requester = std::move(relay->second.requester);
    relays_.erase(relay);
    Send(now, requester, std::move(response), out);
  }
  CompareDigest(now, packet, from, out);
}

void Membership::OnPingRequest(Micros now, const MemberPacket& packet, const std::string& from,
                               std::vector<Datagram>* out) {
  const auto target = members_.find(packet.target);
  if (target == members_.end() || target->second.status == MemberStatus::kLeft) return;
  if (packet.target == options_.self.name) return;
  std::erase_if(relays_, [now](const auto& relay) { return relay.second.expires <= now; });
  if (relays_.size() >= kMaxRelays) return;
  const std::uint32_t id = ++last_probe_;
  relays_[id] = {from, packet.probe, packet.target, now + 2 * options_.probe_timeout};
  Ping(now, target->second, id, out);
}

void Membership::OnIndirectAck(Micros now, const MemberPacket& packet) {
  OnResponse(now);
  auto probe = probes_.find(packet.probe);
  if (probe != probes_.end() && probe->second.target == packet.target) probes_.erase(probe);
  const auto target = members_.find(packet.target);
  if (target == members_.end()) return;
  MemberRecord update;
  update.info = target->second.info;
  update.refutations = packet.target_refutations;
  if (update.info.incarnation == packet.target_incarnation) Apply(now, update);
}

void Membership::CompareDigest(Micros now, const MemberPacket& packet, const std::string& from,
                               std::vector<Datagram>* out) {
  if (packet.digest == Digest()) {
    mismatched_since_ = 0;
    return;
  }
  if (mismatched_since_ == 0) mismatched_since_ = now;
  const Micros pause = std::max<Micros>(
      kMinSyncInterval, static_cast<Micros>(members_.size()) * kSyncIntervalPerMember);
  if (now - mismatched_since_ < kMinMismatchAge || now - last_sync_ < pause) return;
  last_sync_ = now;
  const auto sender = members_.find(packet.sender);
  MemberPacket list =
      NewPacket(PacketKind::kUpdate, sender == members_.end() ? nullptr : &sender->second);
  list.wants_list = true;
  SendList(now, from, std::move(list), out);
}

}  // namespace pearreach::coordination
