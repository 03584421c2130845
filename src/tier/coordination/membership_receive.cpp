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
  NoteGap(now);
  for (const MemberRecord& record : packet.records) Apply(now, record);
  if (NoteSender(now, packet)) {
    const auto sender = members_.find(packet.sender);
    const bool known =
        sender != members_.end() && sender->second.info.incarnation == packet.incarnation;
    const std::string from =
        known ? sender->second.info.address : from_ip + ":" + std::to_string(packet.port);
    bool own_wanted = NoteView(packet.view);
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
        if (packet.wants_list && TakeListAllowance(now)) {
          SendList(now, from, NewPacket(PacketKind::kUpdate, known ? &sender->second : nullptr),
                   out);
          own_wanted = false;
        }
        break;
    }
    // What this node is to the sender is not what it is; or the sender is not known here, which
    // the answer's view tells it.
    if (own_wanted || (!known && packet.kind != PacketKind::kPing)) {
      MemberPacket answer = NewPacket(PacketKind::kUpdate, known ? &sender->second : nullptr);
      answer.records.push_back(MakeRecord(now, Self()));
      Send(now, from, std::move(answer), out);
    }
  } else {
    TellReplaced(now, from_ip, packet, out);
  }
  planned_ = NextTick();
}

// So that a process that started under an earlier time of day than the one before it goes on under
// a greater number.
void Membership::TellReplaced(Micros now, const std::string& from_ip, const MemberPacket& packet,
                              std::vector<Datagram>* out) {
  const Member& known = members_.at(packet.sender);
  if (packet.incarnation >= known.info.incarnation) return;
  MemberPacket answer = NewPacket(PacketKind::kUpdate, nullptr);
  answer.records.push_back(MakeRecord(now, known));
  Send(now, from_ip + ":" + std::to_string(packet.port), std::move(answer), out);
}

// False: the packet is of a process that has been replaced or has left.
bool Membership::NoteSender(Micros now, const MemberPacket& packet) {
  auto found = members_.find(packet.sender);
  if (found == members_.end()) return true;
  Member& member = found->second;
  if (packet.incarnation > member.info.incarnation) return true;
  if (packet.incarnation < member.info.incarnation) return false;
  if (member.status == MemberStatus::kLeft) return false;
  member.heard = now;
  Track& track = tracks_[packet.sender];
  const bool newer = !track.numbered || static_cast<std::int32_t>(packet.number - track.number) > 0;
  if (newer) {
    track.numbered = true;
    track.number = packet.number;
    if (member.versions != packet.versions) {
      member.versions = packet.versions;
      changed_.insert(packet.sender);
    }
  }
  if (packet.refutations > member.refutations) {
    MemberRecord news;
    news.info = member.info;
    news.refutations = packet.refutations;
    Apply(now, news);
  }
  return true;
}

// True: the sender should be told of this node.
bool Membership::NoteView(const ReceiverView& view) {
  const std::uint64_t own = options_.self.incarnation;
  if (view.incarnation != own) return view.incarnation < own;
  const bool doubted = view.status == MemberStatus::kSuspect || view.status == MemberStatus::kDead;
  if (doubted) Refute(view.refutations);
  return doubted;
}

// Somebody has answered: this node is not cut off.
void Membership::NoteAnswer(Micros now) {
  const bool was_isolated = isolated_ || now - last_answer_ > options_.suspicion;
  if (was_isolated) probes_.clear();
  for (auto& [name, due] : suspects_) {
    if (was_isolated || due == kNever) due = now + options_.suspicion;
  }
  isolated_ = false;
  last_answer_ = now;
}

void Membership::OnPing(Micros now, const MemberPacket& packet, const std::string& from,
                        bool own_wanted, std::vector<Datagram>* out) {
  const auto sender = members_.find(packet.sender);
  const bool known =
      sender != members_.end() && sender->second.info.incarnation == packet.incarnation;
  MemberPacket ack = NewPacket(PacketKind::kAck, known ? &sender->second : nullptr);
  ack.probe = packet.probe;
  if (own_wanted) ack.records.push_back(MakeRecord(now, Self()));
  if (!packet.wants_list || !TakeListAllowance(now)) {
    Send(now, from, std::move(ack), out);
    return;
  }
  SendList(now, from, std::move(ack), out);
}

// Lists are handed out within a budget, so that many joiners do not hold up the probes.
bool Membership::TakeListAllowance(Micros now) {
  const Micros paid = std::max(lists_paid_, now);
  if (paid - now > kListAllowance) return false;
  lists_paid_ = paid + static_cast<Micros>(members_.size()) * kListCost;
  return true;
}

void Membership::OnAck(Micros now, const MemberPacket& packet, const std::string& from,
                       std::vector<Datagram>* out) {
  NoteAnswer(now);
  auto probe = probes_.find(packet.probe);
  if (probe != probes_.end() && probe->second.target == packet.sender) probes_.erase(probe);
  auto relay = relays_.find(packet.probe);
  if (relay != relays_.end() && relay->second.target == packet.sender) {
    MemberPacket answer = NewPacket(PacketKind::kIndirectAck, nullptr);
    answer.probe = relay->second.probe;
    answer.target = packet.sender;
    answer.target_incarnation = packet.incarnation;
    answer.target_refutations = packet.refutations;
    const std::string requester = std::move(relay->second.requester);
    relays_.erase(relay);
    Send(now, requester, std::move(answer), out);
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
  NoteAnswer(now);
  auto probe = probes_.find(packet.probe);
  if (probe != probes_.end() && probe->second.target == packet.target) probes_.erase(probe);
  const auto target = members_.find(packet.target);
  if (target == members_.end()) return;
  MemberRecord news;
  news.info = target->second.info;
  news.refutations = packet.target_refutations;
  if (news.info.incarnation == packet.target_incarnation) Apply(now, news);
}

void Membership::CompareDigest(Micros now, const MemberPacket& packet, const std::string& from,
                               std::vector<Datagram>* out) {
  if (packet.digest == Digest()) {
    mismatched_since_ = 0;
    return;
  }
  if (mismatched_since_ == 0) mismatched_since_ = now;
  const Micros pause =
      std::max<Micros>(kSyncPause, static_cast<Micros>(members_.size()) * kSyncPausePerMember);
  if (now - mismatched_since_ < kMismatchPatience || now - last_sync_ < pause) return;
  last_sync_ = now;
  const auto sender = members_.find(packet.sender);
  MemberPacket list =
      NewPacket(PacketKind::kUpdate, sender == members_.end() ? nullptr : &sender->second);
  list.wants_list = true;
  SendList(now, from, std::move(list), out);
}

}  // namespace pearreach::coordination
