// What happens with time: probes, second opinions, suspicion, seeds, the dead and pushes.
#include <algorithm>
#include <functional>
#include <utility>

#include "tier/coordination/membership.h"
#include "tier/coordination/membership_merge.h"
#include "tier/coordination/membership_timing.h"
#include "tier/coordination/membership_wire.h"

namespace pearreach::coordination {

void Membership::Tick(Micros now, std::vector<Datagram>* out) {
  if (left_) return;
  ExtendDeadlinesAfterStall(now);
  CheckProbeTimeouts(now, out);
  CheckSuspicionTimeouts(now);
  if (now >= next_probe_) StartProbe(now, out);
  if (now >= next_seed_) ContactSeeds(now, out);
  if (now >= next_dead_) ProbeDead(now, out);
  if (now >= next_update_) SendUpdates(now, out);
  planned_tick_ = NextTick();
}

// ---------------------------------------------------------------- probes

void Membership::CheckProbeTimeouts(Micros now, std::vector<Datagram>* out) {
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
void Membership::RequestIndirectProbes(Micros now, std::uint32_t id, Probe* probe,
                                       std::vector<Datagram>* out) {
  probe->indirect_probes_requested = true;
  probe->due = now + options_.probe_timeout;
  const auto target = members_.find(probe->target);
  if (target == members_.end() || target->second.status != MemberStatus::kAlive) return;
  Ping(now, target->second, id, out);
  const std::size_t count = static_cast<std::size_t>(std::max(options_.indirect_probes, 0));
  for (const std::string& name : RandomLive(count, probe->target)) {
    const Member& intermediary = members_.at(name);
    MemberPacket request = NewPacket(PacketKind::kPingRequest, &intermediary);
    request.probe = id;
    request.target = probe->target;
    request.target_incarnation = target->second.info.incarnation;
    Send(now, intermediary.info.address, std::move(request), out);
  }
}

void Membership::Suspect(Micros now, const Probe& probe) {
  if (now - last_response_ > options_.suspicion) isolated_ = true;
  if (isolated_) return;
  const auto target = members_.find(probe.target);
  if (target == members_.end()) return;
  const Member& member = target->second;
  if (member.status != MemberStatus::kAlive || member.last_contact >= probe.started) return;
  MemberRecord update = MakeRecord(now, member);
  update.status = MemberStatus::kSuspect;
  Apply(now, update);
}

// A suspect is dead when its time is over, unless nobody at all has answered since it became one:
// then it is this node that may be cut off.
void Membership::CheckSuspicionTimeouts(Micros now) {
  std::vector<std::string> over;
  for (auto& [name, due] : suspects_) {
    if (due > now) continue;
    const bool postponed = isolated_ || due - options_.suspicion > last_response_;
    if (postponed) {
      isolated_ = true;
      due = kNever;
    } else {
      over.push_back(name);
    }
  }
  for (const std::string& name : over) {
    MemberRecord update = MakeRecord(now, members_.at(name));
    update.status = MemberStatus::kDead;
    Apply(now, update);
  }
}

void Membership::StartProbe(Micros now, std::vector<Datagram>* out) {
  next_probe_ = now + options_.probe_period;
  if (probe_index_ >= live_.size()) {
    std::shuffle(live_.begin(), live_.end(), random_);
    probe_index_ = 0;
  }
  if (live_.empty()) {
    next_probe_ = kNever;
    return;
  }
  const Member& target = members_.at(live_[probe_index_++]);
  const std::uint32_t id = ++last_probe_;
  probes_[id] = {target.info.name, now, now + options_.probe_timeout, false};
  Ping(now, target, id, out);
  ProbeSuspects(now, out);
  ProbeWatched(now, out);
  ProbeWhenUnanswered(now, out);
}

// Tells suspects that they are, those first that were told longest ago.
void Membership::ProbeSuspects(Micros now, std::vector<Datagram>* out) {
  if (suspects_.empty()) return;
  std::vector<std::pair<Micros, std::string>> by_last_probe;
  for (const auto& [name, due] : suspects_)
    by_last_probe.emplace_back(peer_states_[name].last_probed, name);
  const std::size_t count = std::min(kSuspectsPerProbe, by_last_probe.size());
  std::partial_sort(by_last_probe.begin(),
                    by_last_probe.begin() + static_cast<std::ptrdiff_t>(count),
                    by_last_probe.end());
  for (std::size_t i = 0; i < count; ++i) {
    peer_states_[by_last_probe[i].second].last_probed = now;
    Ping(now, members_.at(by_last_probe[i].second), ++last_probe_, out);
  }
}

// Asks the watched member that was heard longest ago, where that is a while.
void Membership::ProbeWatched(Micros now, std::vector<Datagram>* out) {
  const Member* longest = nullptr;
  for (const std::string& name : watched_) {
    const auto found = members_.find(name);
    if (found == members_.end() || name == options_.self.name) continue;
    const Member& member = found->second;
    if (!IsLive(member.status)) continue;
    if (longest == nullptr || member.last_contact < longest->last_contact) longest = &member;
  }
  if (longest == nullptr || now - longest->last_contact < 2 * options_.probe_timeout) return;
  Ping(now, *longest, ++last_probe_, out);
}

// While nobody answers, asks those that were heard last.
void Membership::ProbeWhenUnanswered(Micros now, std::vector<Datagram>* out) {
  if (now - last_response_ <= options_.suspicion / 2) return;
  std::vector<std::pair<Micros, const Member*>> by_contact;
  for (const std::string& name : live_) {
    const Member& member = members_.at(name);
    by_contact.emplace_back(member.last_contact, &member);
  }
  const std::size_t count = std::min(kUnansweredProbes, by_contact.size());
  std::partial_sort(by_contact.begin(), by_contact.begin() + static_cast<std::ptrdiff_t>(count),
                    by_contact.end(), std::greater<>());
  for (std::size_t i = 0; i < count; ++i) Ping(now, *by_contact[i].second, ++last_probe_, out);
}

// ---------------------------------------------------------------- seeds, the dead, news

void Membership::ContactSeeds(Micros now, std::vector<Datagram>* out) {
  std::vector<std::string> missing = options_.seeds;
  for (const std::string& name : live_) std::erase(missing, members_.at(name).info.address);
  if (missing.empty()) {
    next_seed_ = kNever;
    seed_backoff_ = kInitialSeedBackoff;
    return;
  }
  for (const std::string& seed : missing) {
    MemberPacket packet = NewPacket(PacketKind::kPing, nullptr);
    packet.probe = ++last_probe_;
    packet.wants_list = live_.empty();
    packet.records.push_back(MakeRecord(now, Self()));
    Send(now, seed, std::move(packet), out);
  }
  next_seed_ = now + seed_backoff_ / 2 + Jitter(seed_backoff_ / 2);
  seed_backoff_ = std::min(2 * seed_backoff_, kMaxSeedBackoff);
}

// Forgets those that have been dead for long and asks one of the others whether it is back.
void Membership::ProbeDead(Micros now, std::vector<Datagram>* out) {
  std::vector<std::string> gone;
  std::vector<const Member*> dead;
  bool any = false;
  for (const auto& [name, member] : members_) {
    if (IsLive(member.status) || name == options_.self.name) continue;
    if (now - peer_states_[name].since >= options_.dead_retention) {
      gone.push_back(name);
      continue;
    }
    any = true;
    if (member.status == MemberStatus::kDead) dead.push_back(&member);
  }
  for (const std::string& name : gone) {
    members_.erase(name);
    peer_states_.erase(name);
    changed_.insert(name);
  }
  next_dead_ = any ? now + kDeadProbeInterval : kNever;
  if (dead.empty()) return;
  const std::size_t choice =
      std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random_);
  Ping(now, *dead[choice], ++last_probe_, out);
}

void Membership::SendUpdates(Micros now, std::vector<Datagram>* out) {
  next_update_ = kNever;
  last_update_ = now;
  for (const std::string& name : RandomLive(kUpdateReceivers, "")) {
    const Member& to = members_.at(name);
    Send(now, to.info.address, NewPacket(PacketKind::kUpdate, &to), out);
  }
}

}  // namespace pearreach::coordination
