#include "tier/coordination/failure_detector.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "tier/coordination/membership_merge.h"
#include "tier/coordination/membership_timing.h"

namespace pearreach::coordination {

FailureDetector::FailureDetector(const MembershipOptions& options, MemberTable* table,
                                 PacketSender* sender, std::mt19937_64* random, Micros now)
    : options_(options),
      table_(table),
      sender_(sender),
      random_(random),
      last_response_(now),
      next_probe_(kNever) {}

Micros FailureDetector::NextTick() const {
  Micros next = next_probe_;
  for (const auto& [id, probe] : probes_) next = std::min(next, probe.due);
  for (const auto& [name, due] : suspicion_deadlines_) next = std::min(next, due);
  return next;
}

void FailureDetector::Tick(Micros now, std::vector<Datagram>* out) {
  CheckProbeTimeouts(now, out);
  CheckSuspicionTimeouts(now);
  if (now >= next_probe_) StartProbe(now, out);
}

void FailureDetector::Start(Micros now) {
  next_probe_ = now + RandomSpan(options_.probe_period, random_);
  last_response_ = now;
}

void FailureDetector::Stop() { next_probe_ = kNever; }

void FailureDetector::OnStatusChanged(Micros now, const std::string& name, MemberStatus status) {
  suspicion_deadlines_.erase(name);
  if (status == MemberStatus::kSuspect) suspicion_deadlines_[name] = now + options_.suspicion;
}

void FailureDetector::OnStall(Micros span) {
  for (auto& [id, probe] : probes_) probe.due += span;
  for (auto& [name, due] : suspicion_deadlines_) {
    if (due != kNever) due += span;
  }
  isolated_ = true;
}

// ---------------------------------------------------------------- responses

// Somebody has answered: this node is not cut off.
void FailureDetector::OnResponse(Micros now) {
  const bool was_isolated = isolated_ || now - last_response_ > options_.suspicion;
  if (was_isolated) probes_.clear();
  for (auto& [name, due] : suspicion_deadlines_) {
    if (was_isolated || due == kNever) due = now + options_.suspicion;
  }
  isolated_ = false;
  last_response_ = now;
}

void FailureDetector::EraseProbe(std::uint32_t id, const std::string& target) {
  const auto probe = probes_.find(id);
  if (probe != probes_.end() && probe->second.target == target) probes_.erase(probe);
}

void FailureDetector::OnAck(Micros now, const MemberPacket& packet, std::vector<Datagram>* out) {
  OnResponse(now);
  EraseProbe(packet.probe, packet.sender);
  const auto relay = relays_.find(packet.probe);
  if (relay == relays_.end() || relay->second.target != packet.sender) return;
  MemberPacket response = sender_->NewPacket(PacketKind::kIndirectAck, nullptr);
  response.probe = relay->second.probe;
  response.target = packet.sender;
  response.target_incarnation = packet.incarnation;
  response.target_refutations = packet.refutations;
  const std::string requester = std::move(relay->second.requester);
  relays_.erase(relay);
  sender_->Send(requester, std::move(response), now, out);
}

void FailureDetector::OnPingRequest(Micros now, const MemberPacket& packet, const std::string& from,
                                    std::vector<Datagram>* out) {
  const Member* target = table_->Find(packet.target);
  if (target == nullptr || target->status == MemberStatus::kLeft) return;
  if (packet.target == options_.self.name) return;
  std::erase_if(relays_, [now](const auto& relay) { return relay.second.expires <= now; });
  if (relays_.size() >= kMaxRelays) return;
  const std::uint32_t id = sender_->NextProbeId();
  relays_[id] = {from, packet.probe, packet.target, now + 2 * options_.probe_timeout};
  sender_->Ping(*target, id, now, out);
}

void FailureDetector::OnIndirectAck(Micros now, const MemberPacket& packet) {
  OnResponse(now);
  EraseProbe(packet.probe, packet.target);
  const Member* target = table_->FindIncarnation(packet.target, packet.target_incarnation);
  if (target == nullptr) return;
  MemberRecord record;
  record.info = target->info;
  record.refutations = packet.target_refutations;
  table_->Merge(now, record);
}

// ---------------------------------------------------------------- timeouts

void FailureDetector::CheckProbeTimeouts(Micros now, std::vector<Datagram>* out) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (probe.due > now) {
      ++it;
    } else if (!probe.indirect_probes_requested) {
      RequestIndirectProbes(now, it->first, &probe, out);
      ++it;
    } else {
      const Probe failed = std::move(probe);
      it = probes_.erase(it);
      Suspect(now, failed);
    }
  }
}

// Asks others to ping the target and pings it once more.
void FailureDetector::RequestIndirectProbes(Micros now, std::uint32_t id, Probe* probe,
                                            std::vector<Datagram>* out) {
  probe->indirect_probes_requested = true;
  probe->due = now + options_.probe_timeout;
  const Member* target = table_->Find(probe->target);
  if (target == nullptr || target->status != MemberStatus::kAlive) return;
  sender_->Ping(*target, id, now, out);
  const auto count = static_cast<std::size_t>(std::max(options_.indirect_probes, 0));
  for (const std::string& name : table_->RandomLive(count, probe->target)) {
    const Member& intermediary = table_->members().at(name);
    MemberPacket request = sender_->NewPacket(PacketKind::kPingRequest, &intermediary);
    request.probe = id;
    request.target = probe->target;
    request.target_incarnation = target->info.incarnation;
    sender_->Send(intermediary.info.address, std::move(request), now, out);
  }
}

void FailureDetector::Suspect(Micros now, const Probe& probe) {
  if (now - last_response_ > options_.suspicion) isolated_ = true;
  if (isolated_) return;
  const Member* target = table_->Find(probe.target);
  if (target == nullptr) return;
  if (target->status != MemberStatus::kAlive || target->last_contact >= probe.started) return;
  MemberRecord record = table_->MakeRecord(now, *target);
  record.status = MemberStatus::kSuspect;
  table_->Merge(now, record);
}

// A suspect is dead when its time is over, unless nobody at all has answered since it became one:
// then it is this node that may be cut off.
void FailureDetector::CheckSuspicionTimeouts(Micros now) {
  std::vector<std::string> expired;
  for (auto& [name, due] : suspicion_deadlines_) {
    if (due > now) continue;
    const bool postponed = isolated_ || due - options_.suspicion > last_response_;
    if (postponed) {
      isolated_ = true;
      due = kNever;
    } else {
      expired.push_back(name);
    }
  }
  for (const std::string& name : expired) {
    MemberRecord record = table_->MakeRecord(now, table_->members().at(name));
    record.status = MemberStatus::kDead;
    table_->Merge(now, record);
  }
}

// ---------------------------------------------------------------- probes

void FailureDetector::StartProbe(Micros now, std::vector<Datagram>* out) {
  next_probe_ = now + options_.probe_period;
  const Member* target = table_->NextProbeTarget();
  if (target == nullptr) {
    next_probe_ = kNever;
    return;
  }
  const std::uint32_t id = sender_->NextProbeId();
  probes_[id] = {target->info.name, now, now + options_.probe_timeout, false};
  sender_->Ping(*target, id, now, out);
  ProbeSuspects(now, out);
  ProbeWatched(now, out);
  ProbeWhenUnanswered(now, out);
}

// Lets suspects know that they are suspected, so that they can refute it; those first that were
// probed longest ago.
void FailureDetector::ProbeSuspects(Micros now, std::vector<Datagram>* out) {
  if (suspicion_deadlines_.empty()) return;
  std::vector<std::pair<Micros, std::string>> by_last_probe;
  for (const auto& [name, due] : suspicion_deadlines_) {
    by_last_probe.emplace_back(table_->last_suspect_probe(name), name);
  }
  const std::size_t count = std::min(kSuspectsPerProbe, by_last_probe.size());
  std::partial_sort(by_last_probe.begin(),
                    by_last_probe.begin() + static_cast<std::ptrdiff_t>(count),
                    by_last_probe.end());
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& name = by_last_probe[i].second;
    table_->set_last_suspect_probe(name, now);
    sender_->Ping(table_->members().at(name), sender_->NextProbeId(), now, out);
  }
}

// Probes the watched member with the oldest contact, where that is older than it should be.
void FailureDetector::ProbeWatched(Micros now, std::vector<Datagram>* out) {
  const Member* oldest = nullptr;
  for (const std::string& name : watched_) {
    const Member* member = table_->Find(name);
    if (member == nullptr || name == options_.self.name || !IsLive(member->status)) continue;
    if (oldest == nullptr || member->last_contact < oldest->last_contact) oldest = member;
  }
  if (oldest == nullptr || now - oldest->last_contact < 2 * options_.probe_timeout) return;
  sender_->Ping(*oldest, sender_->NextProbeId(), now, out);
}

// While nobody answers, probes those with the newest contact.
void FailureDetector::ProbeWhenUnanswered(Micros now, std::vector<Datagram>* out) {
  if (now - last_response_ <= options_.suspicion / 2) return;
  std::vector<std::pair<Micros, const Member*>> by_contact;
  for (const std::string& name : table_->live()) {
    const Member& member = table_->members().at(name);
    by_contact.emplace_back(member.last_contact, &member);
  }
  const std::size_t count = std::min(kUnansweredProbes, by_contact.size());
  std::partial_sort(by_contact.begin(), by_contact.begin() + static_cast<std::ptrdiff_t>(count),
                    by_contact.end(), std::greater<>());
  for (std::size_t i = 0; i < count; ++i) {
    sender_->Ping(*by_contact[i].second, sender_->NextProbeId(), now, out);
  }
}

}  // namespace pearreach::coordination
