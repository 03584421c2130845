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
  observations_.clear();
  unresponsive_.clear();
  changed_ = now;
}

void StoreLiveness::Observe(Micros now, const StoreView& store) {
  Observation& observation = observations_[store.id.name];
  if (observation.since != 0 && observation.id == store.id &&
      observation.condition == store.condition)
    return;
  observation = {store.id, store.condition, now};
  changed_ = now;
}

std::map<std::string, StoreView> StoreLiveness::Update(
    Micros now, const std::map<std::string, coordination::Member>& members) {
  std::map<std::string, StoreView> stores = StoresOf(members);
  for (auto& [name, store] : stores) {
    Observe(now, store);
    const bool is_suspect = store.condition == StoreCondition::kUncertain;
    const bool is_timed_out = is_suspect && now - observations_.at(name).since >= suspect_timeout_;
    if (is_timed_out || unresponsive_.contains(store.id)) store.condition = StoreCondition::kGone;
  }
  std::erase_if(unresponsive_, [&](const auto& entry) {
    const auto at = stores.find(entry.first.name);
    return at != stores.end() && at->second.id != entry.first;
  });
  return stores;
}

void StoreLiveness::MarkUnresponsive(Micros now, const StoreId& store) {
  if (unresponsive_.emplace(store, now).second) changed_ = now;
}

void StoreLiveness::MarkResponsive(Micros now, const StoreId& store) {
  if (unresponsive_.erase(store) > 0) changed_ = now;
}

void StoreLiveness::AddUnknown(Micros now, const StoreId& store,
                               std::map<std::string, StoreView>* stores) {
  const auto [at, fresh] = stores->try_emplace(store.name);
  if (!fresh) return;
  at->second = {store, "", StoreCondition::kGone};
  Observe(now, at->second);
}

// A timed-out suspect counts as gone already in the table, and may come back just the same.
bool StoreLiveness::MayReturn(Micros now, Micros span) const {
  const bool recently_unresponsive =
      std::any_of(unresponsive_.begin(), unresponsive_.end(),
                  [&](const auto& entry) { return now - entry.second < span; });
  return recently_unresponsive ||
         std::any_of(observations_.begin(), observations_.end(), [&](const auto& entry) {
           const Observation& observation = entry.second;
           return observation.condition != StoreCondition::kLive && now - observation.since < span;
         });
}

Micros StoreLiveness::NextSuspectTimeout() const {
  Micros next = 0;
  for (const auto& [name, observation] : observations_) {
    if (observation.condition != StoreCondition::kUncertain) continue;
    const Micros at = observation.since + suspect_timeout_;
    next = next == 0 ? at : std::min(next, at);
  }
  return next;
}

}  // namespace pearreach::batch
