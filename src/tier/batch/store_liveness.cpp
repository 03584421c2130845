#include "tier/batch/store_liveness.h"

#include <algorithm>

namespace pearreach::batch {
namespace {

StoreCondition ConditionOf(coordination::MemberStatus status) {
  switch (status) {
    case coordination::MemberStatus::kAlive:
      return StoreCondition::kLive;
    case coordination::MemberStatus::kSuspect:
      return StoreCondition::kUncertain;
    case coordination::MemberStatus::kDead:
    case coordination::MemberStatus::kLeft:
      break;
  }
  return StoreCondition::kGone;
}

}  // namespace

std::map<std::string, StoreView> StoresOf(
    const std::map<std::string, coordination::Member>& members) {
  std::map<std::string, StoreView> stores;
  for (const auto& [name, member] : members) {
    if (!member.info.Is(coordination::MemberInfo::kServesStorage)) continue;
    StoreView& store = stores[name];
    store.id = {name, member.info.disk_id};
    store.zone = member.info.zone;
    store.condition = ConditionOf(member.status);
  }
  return stores;
}

void StoreLiveness::Reset(Micros now) {
  seen_.clear();
  silent_.clear();
  changed_ = now;
}

void StoreLiveness::Observe(Micros now, const StoreView& store) {
  Seen& seen = seen_[store.id.name];
  if (seen.since != 0 && seen.id == store.id && seen.condition == store.condition) return;
  seen = {store.id, store.condition, now};
  changed_ = now;
}

std::map<std::string, StoreView> StoreLiveness::Update(
    Micros now, const std::map<std::string, coordination::Member>& members) {
  std::map<std::string, StoreView> stores = StoresOf(members);
  for (auto& [name, store] : stores) {
    Observe(now, store);
    const bool is_suspect = store.condition == StoreCondition::kUncertain;
    const bool is_silent = is_suspect && now - seen_.at(name).since >= silent_after_;
    if (is_silent || silent_.contains(store.id)) store.condition = StoreCondition::kGone;
  }
  std::erase_if(silent_, [&](const auto& entry) {
    const auto at = stores.find(entry.first.name);
    return at != stores.end() && at->second.id != entry.first;
  });
  return stores;
}

void StoreLiveness::MarkUnresponsive(Micros now, const StoreId& store) {
  if (silent_.emplace(store, now).second) changed_ = now;
}

void StoreLiveness::MarkResponsive(Micros now, const StoreId& store) {
  if (silent_.erase(store) > 0) changed_ = now;
}

void StoreLiveness::AddUnheard(Micros now, const StoreId& store,
                               std::map<std::string, StoreView>* stores) {
  const auto [at, fresh] = stores->try_emplace(store.name);
  if (!fresh) return;
  at->second = {store, "", StoreCondition::kGone};
  Observe(now, at->second);
}

// A suspect that stays silent is gone already for the table, and may come back just the same.
bool StoreLiveness::AwaitsReturn(Micros now, Micros span) const {
  const bool lately_silent = std::any_of(
      silent_.begin(), silent_.end(), [&](const auto& entry) { return now - entry.second < span; });
  return lately_silent || std::any_of(seen_.begin(), seen_.end(), [&](const auto& entry) {
           const Seen& seen = entry.second;
           return seen.condition != StoreCondition::kLive && now - seen.since < span;
         });
}

Micros StoreLiveness::NextSilence() const {
  Micros next = 0;
  for (const auto& [name, seen] : seen_) {
    if (seen.condition != StoreCondition::kUncertain) continue;
    const Micros at = seen.since + silent_after_;
    next = next == 0 ? at : std::min(next, at);
  }
  return next;
}

}  // namespace pearreach::batch
