#include "node/zones/zones.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pearreach::zones {
namespace {

constexpr double kSmoothing = 0.1;  // weight of one job in the moving averages of a zone

}  // namespace

TargetKey KeyOf(const std::string& name) { return XXH32(name.data(), name.size(), 0x5a4f4e45); }

ZoneFailover::ZoneFailover(Options options, std::uint64_t process, Micros now)
    : options_(std::move(options)), process_(process), started_at_(now), next_tick_(now) {
  for (std::size_t z = 0; z < options_.zones.size(); ++z)
    targets_.push_back({options_.zones[z], {static_cast<int>(z)}});
  for (const Target& region : options_.regions) targets_.push_back(region);
  for (std::size_t t = 0; t < targets_.size(); ++t) by_key_[KeyOf(targets_[t].name)] = t;
  observations_.resize(options_.zones.size());
  for (std::size_t z = 0; z < options_.zones.size(); ++z)
    statuses_.push_back({.zone = static_cast<int>(z)});
  reported_statuses_ = statuses_;
}

const Target* ZoneFailover::FindTarget(TargetKey key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : &targets_[it->second];
}
const std::string& ZoneFailover::name(TargetKey key) const {
  static const std::string kUnknown = "?";
  const Target* t = FindTarget(key);
  return t == nullptr ? kUnknown : t->name;
}
bool ZoneFailover::Contains(const Target& target, int zone) const {
  return std::find(target.zones.begin(), target.zones.end(), zone) != target.zones.end();
}

void ZoneFailover::OnListed(WorkerKey key, int zone, int kind, double weight, Micros started,
                            bool in_service) {
  if (zone < 0 || zone >= static_cast<int>(observations_.size())) return;
  Worker& w = workers_[key];
  w.zone = zone;
  w.kind = kind;
  w.weight = std::max(weight, 1e-6);
  w.started_at = started;
  w.in_service = in_service;
}

void ZoneFailover::OnUnlisted(WorkerKey key) { workers_.erase(key); }

void ZoneFailover::OnJobSent(Micros now, WorkerKey key) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  if (it->second.last_sent_at < now - options_.evidence_ttl) it->second.active_since = now;
  it->second.last_sent_at = now;
  ++it->second.in_flight;
}

void ZoneFailover::SetOwnHealth(WorkerKey key, Cause cause, Micros at) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  it->second.cause = cause;
  it->second.cause_at = at;
}

void ZoneFailover::OnJobEnded(Micros, WorkerKey key, JobOutcome end, int cls, Micros run) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  w.in_flight = std::max(0, w.in_flight - 1);
  ZoneObservations& z = observations_[static_cast<std::size_t>(w.zone)];
  ++z.jobs;
  z.failure_rate += kSmoothing * ((end == JobOutcome::kServed ? 0 : 1) - z.failure_rate);
  if (end == JobOutcome::kServed && run > 0) {
    RunTime& r = z.run_times[cls];
    r.mean += (r.jobs == 0 ? 1 : kSmoothing) * (static_cast<double>(run) - r.mean);
    ++r.jobs;
  }
  if (w.sent_before_decision > 0)
    --w.sent_before_decision;
  else if (z.decision_number > 0)
    ++(end == JobOutcome::kServed ? z.succeeded : z.failed);
}

std::vector<Decision> ZoneFailover::decisions() const {
  std::vector<Decision> all;
  for (const auto& [key, v] : decisions_)
    if (v.number > 0) all.push_back(v);
  return all;
}
std::vector<Order> ZoneFailover::orders() const {
  std::vector<Order> all;
  for (const auto& [key, o] : orders_)
    if (o.number > 0) all.push_back(o);
  return all;
}
std::vector<Order> ZoneFailover::overruled() const {
  std::vector<Order> all;
  for (const auto& [key, o] : overruled_) all.push_back(o);
  return all;
}
std::vector<Report> ZoneFailover::reports() const {
  std::vector<Report> all;
  for (const auto& [key, h] : reports_) all.push_back(h.report);
  return all;
}

}  // namespace pearreach::zones
