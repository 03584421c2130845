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
  NoteGap(now);
  EndProbes(now, out);
  EndSuspicions(now);
  if (now >= next_probe_) StartProbe(now, out);
  if (now >= next_seed_) TrySeeds(now, out);
  if (now >= next_dead_) ProbeDead(now, out);
  if (now >= next_push_) Push(now, out);
  planned_ = NextTick();
}

// ---------------------------------------------------------------- probes

void Membership::EndProbes(Micros now, std::vector<Datagram>* out) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (probe.due > now) {
      ++it;
    } else if (!probe.helpers_asked) {
      AskHelpers(now, it->first, &probe, out);
      ++it;
    } else {
      const Probe failed = std::move(probe);
      it = probes_.erase(it);
      Suspect(now, failed);
    }
  }
}

// Asks others to ping the target and pings it once more.
void Membership::AskHelpers(Micros now, std::uint32_t id, Probe* probe,
                            std::vector<Datagram>* out) {
  probe->helpers_asked = true;
  probe->due = now + options_.probe_timeout;
  const auto target = members_.find(probe->target);
  if (target == members_.end() || target->second.status != MemberStatus::kAlive) return;
  Ping(now, target->second, id, out);
  const std::size_t count = static_cast<std::size_t>(std::max(options_.helpers, 0));
  for (const std::string& name : RandomLive(count, probe->target)) {
    const Member& helper = members_.at(name);
    MemberPacket request = NewPacket(PacketKind::kPingRequest, &helper);
    request.probe = id;
    request.target = probe->target;
    request.target_incarnation = target->second.info.incarnation;
    Send(now, helper.info.address, std::move(request), out);
  }
}

void Membership::Suspect(Micros now, const Probe& probe) {
  if (now - last_answer_ > options_.suspicion) isolated_ = true;
  if (isolated_) return;
  const auto target = members_.find(probe.target);
  if (target == members_.end()) return;
  const Member& member = target->second;
  if (member.status != MemberStatus::kAlive || member.heard >= probe.started) return;
  MemberRecord news = MakeRecord(now, member);
  news.status = MemberStatus::kSuspect;
  Apply(now, news);
}

// A suspect is dead when its time is over, unless nobody at all has answered since it became one:
// then it is this node that may be cut off.
void Membership::EndSuspicions(Micros now) {
  std::vector<std::string> over;
  for (auto& [name, due] : suspects_) {
    if (due > now) continue;
    const bool held = isolated_ || due - options_.suspicion > last_answer_;
    if (held) {
      isolated_ = true;
      due = kNever;
    } else {
      over.push_back(name);
    }
  }
  for (const std::string& name : over) {
    MemberRecord news = MakeRecord(now, members_.at(name));
    news.status = MemberStatus::kDead;
    Apply(now, news);
  }
}

void Membership::StartProbe(Micros now, std::vector<Datagram>* out) {
  next_probe_ = now + options_.probe_period;
  if (turn_ >= live_.size()) {
    std::shuffle(live_.begin(), live_.end(), random_);
    turn_ = 0;
  }
  if (live_.empty()) {
    next_probe_ = kNever;
    return;
  }
  const Member& target = members_.at(live_[turn_++]);
  const std::uint32_t id = ++last_probe_;
  probes_[id] = {target.info.name, now, now + options_.probe_timeout, false};
  Ping(now, target, id, out);
  CheckSuspects(now, out);
  CheckWatched(now, out);
  CheckIsolation(now, out);
}

// Tells suspects that they are, those first that were told longest ago.
void Membership::CheckSuspects(Micros now, std::vector<Datagram>* out) {
  if (suspects_.empty()) return;
  std::vector<std::pair<Micros, std::string>> by_check;
  for (const auto& [name, due] : suspects_) by_check.emplace_back(tracks_[name].checked, name);
  const std::size_t count = std::min(kSuspectChecks, by_check.size());
  std::partial_sort(by_check.begin(), by_check.begin() + static_cast<std::ptrdiff_t>(count),
                    by_check.end());
  for (std::size_t i = 0; i < count; ++i) {
    tracks_[by_check[i].second].checked = now;
    Ping(now, members_.at(by_check[i].second), ++last_probe_, out);
  }
}

// Asks the watched member that was heard longest ago, where that is a while.
void Membership::CheckWatched(Micros now, std::vector<Datagram>* out) {
  const Member* longest = nullptr;
  for (const std::string& name : watched_) {
    const auto found = members_.find(name);
    if (found == members_.end() || name == options_.self.name) continue;
    const Member& member = found->second;
    if (!IsLive(member.status)) continue;
    if (longest == nullptr || member.heard < longest->heard) longest = &member;
  }
  if (longest == nullptr || now - longest->heard < 2 * options_.probe_timeout) return;
  Ping(now, *longest, ++last_probe_, out);
}

// While nobody answers, asks those that were heard last.
void Membership::CheckIsolation(Micros now, std::vector<Datagram>* out) {
  if (now - last_answer_ <= options_.suspicion / 2) return;
  std::vector<std::pair<Micros, const Member*>> by_heard;
  for (const std::string& name : live_) {
    const Member& member = members_.at(name);
    by_heard.emplace_back(member.heard, &member);
  }
  const std::size_t count = std::min(kIsolationChecks, by_heard.size());
  std::partial_sort(by_heard.begin(), by_heard.begin() + static_cast<std::ptrdiff_t>(count),
                    by_heard.end(), std::greater<>());
  for (std::size_t i = 0; i < count; ++i) Ping(now, *by_heard[i].second, ++last_probe_, out);
}

// ---------------------------------------------------------------- seeds, the dead, news

void Membership::TrySeeds(Micros now, std::vector<Datagram>* out) {
  std::vector<std::string> missing = options_.seeds;
  for (const std::string& name : live_) std::erase(missing, members_.at(name).info.address);
  if (missing.empty()) {
    next_seed_ = kNever;
    seed_pause_ = kFirstSeedPause;
    return;
  }
  for (const std::string& seed : missing) {
    MemberPacket packet = NewPacket(PacketKind::kPing, nullptr);
    packet.probe = ++last_probe_;
    packet.wants_list = live_.empty();
    packet.records.push_back(MakeRecord(now, Self()));
    Send(now, seed, std::move(packet), out);
  }
  next_seed_ = now + seed_pause_ / 2 + Jitter(seed_pause_ / 2);
  seed_pause_ = std::min(2 * seed_pause_, kMaxSeedPause);
}

// Forgets those that have been dead for long and asks one of the others whether it is back.
void Membership::ProbeDead(Micros now, std::vector<Datagram>* out) {
  std::vector<std::string> gone;
  std::vector<const Member*> dead;
  bool any = false;
  for (const auto& [name, member] : members_) {
    if (IsLive(member.status) || name == options_.self.name) continue;
    if (now - tracks_[name].since >= options_.forget_dead) {
      gone.push_back(name);
      continue;
    }
    any = true;
    if (member.status == MemberStatus::kDead) dead.push_back(&member);
  }
  for (const std::string& name : gone) {
    members_.erase(name);
    tracks_.erase(name);
    changed_.insert(name);
  }
  next_dead_ = any ? now + kDeadProbePause : kNever;
  if (dead.empty()) return;
  const std::size_t choice =
      std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random_);
  Ping(now, *dead[choice], ++last_probe_, out);
}

void Membership::Push(Micros now, std::vector<Datagram>* out) {
  next_push_ = kNever;
  last_push_ = now;
  for (const std::string& name : RandomLive(kPushReceivers, "")) {
    const Member& to = members_.at(name);
    Send(now, to.info.address, NewPacket(PacketKind::kUpdate, &to), out);
  }
}

}  // namespace pearreach::coordination
