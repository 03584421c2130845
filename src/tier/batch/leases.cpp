#include "tier/batch/leases.h"

#include <algorithm>

namespace pearreach::batch {

LeaseTable::BatchJobItems* LeaseTable::Find(const std::string& batch_job_id,
                                            std::uint64_t* number) {
  const auto at = numbers_.find(batch_job_id);
  if (at == numbers_.end()) return nullptr;
  *number = at->second;
  return &batch_jobs_.at(at->second);
}

std::uint32_t LeaseTable::NodeNumber(const std::string& node) {
  const auto [at, fresh] =
      node_numbers_.try_emplace(node, static_cast<std::uint32_t>(node_names_.size()));
  if (fresh) node_names_.push_back(node);
  return at->second;
}

void LeaseTable::AddBatchJob(const std::string& batch_job_id, const std::string& route,
                             std::int64_t due_ms, std::size_t items,
                             const std::vector<std::uint32_t>& open, Micros reserved_until) {
  DropBatchJob(batch_job_id);
  const std::uint64_t number = next_batch_job_++;
  numbers_[batch_job_id] = number;
  BatchJobItems& batch_job = batch_jobs_[number];
  batch_job.id = batch_job_id;
  batch_job.route = route;
  batch_job.due_ms = due_ms;
  batch_job.items.resize(items);
  for (const std::uint32_t item : open) {
    if (reserved_until == 0) {
      MakeWaiting(number, &batch_job, item);
    } else {
      Lease(number, &batch_job, item, 0, 0, reserved_until);
    }
  }
}

void LeaseTable::MakeWaiting(std::uint64_t number, BatchJobItems* batch_job, std::uint32_t item) {
  batch_job->items[item] = Item{Phase::kWaiting, 0, 0, 0};
  batch_job->first = batch_job->waiting == 0 ? item : std::min(batch_job->first, item);
  ++batch_job->waiting;
  RouteItems& route = routes_[batch_job->route];
  ++route.waiting;
  route.batch_jobs.emplace(batch_job->due_ms, number);
}

void LeaseTable::RemoveWaiting(std::uint64_t number, BatchJobItems* batch_job, std::uint32_t item) {
  batch_job->items[item].phase = Phase::kGone;
  --batch_job->waiting;
  const auto at = routes_.find(batch_job->route);
  --at->second.waiting;
  if (batch_job->waiting == 0) at->second.batch_jobs.erase({batch_job->due_ms, number});
  if (at->second.waiting == 0) routes_.erase(at);
}

void LeaseTable::Lease(std::uint64_t number, BatchJobItems* batch_job, std::uint32_t item,
                       std::uint32_t node, std::uint64_t lease, Micros expires) {
  batch_job->items[item] = Item{Phase::kLeased, node, lease, expires};
  leased_.emplace(expires, number, item);
}

void LeaseTable::RemoveLease(std::uint64_t number, BatchJobItems* batch_job, std::uint32_t item) {
  leased_.erase({batch_job->items[item].expires, number, item});
  batch_job->items[item].phase = Phase::kGone;
}

void LeaseTable::Finish(const std::string& batch_job_id, std::uint32_t item) {
  std::uint64_t number = 0;
  BatchJobItems* batch_job = Find(batch_job_id, &number);
  if (batch_job == nullptr || item >= batch_job->items.size()) return;
  if (batch_job->items[item].phase == Phase::kWaiting) RemoveWaiting(number, batch_job, item);
  if (batch_job->items[item].phase == Phase::kLeased) RemoveLease(number, batch_job, item);
}

void LeaseTable::DropBatchJob(const std::string& batch_job_id) {
  std::uint64_t number = 0;
  const BatchJobItems* batch_job = Find(batch_job_id, &number);
  if (batch_job == nullptr) return;
  for (std::uint32_t i = 0; i < batch_job->items.size(); ++i) Finish(batch_job_id, i);
  batch_jobs_.erase(number);
  numbers_.erase(batch_job_id);
}

bool LeaseTable::Return(const std::string& batch_job_id, std::uint32_t item, std::uint64_t lease) {
  std::uint64_t number = 0;
  BatchJobItems* batch_job = Find(batch_job_id, &number);
  if (batch_job == nullptr || item >= batch_job->items.size()) return false;
  const Item& current = batch_job->items[item];
  if (current.phase != Phase::kLeased) return false;
  if (current.lease != lease && current.lease != 0) return false;
  RemoveLease(number, batch_job, item);
  MakeWaiting(number, batch_job, item);
  return true;
}

bool LeaseTable::RegisterProcess(const std::string& node, std::uint64_t process) {
  const auto [at, fresh] = processes_.try_emplace(node, process);
  if (fresh || at->second == process) return true;
  if (process < at->second) return false;
  at->second = process;
  DropNode(node);
  return true;
}

ItemLease LeaseTable::AcquireFirst(std::uint64_t number, std::uint32_t node, Micros now) {
  BatchJobItems& batch_job = batch_jobs_.at(number);
  while (batch_job.items[batch_job.first].phase != Phase::kWaiting) ++batch_job.first;
  const std::uint32_t item = batch_job.first;
  RemoveWaiting(number, &batch_job, item);
  const std::uint64_t lease = next_lease_++;
  Lease(number, &batch_job, item, node, lease, now + kLeaseDuration);
  return {batch_job.id, item, lease};
}

std::vector<ItemLease> LeaseTable::Acquire(const std::string& node,
                                           const std::map<std::string, int>& capacity, int limit,
                                           Micros now) {
  std::vector<ItemLease> leased;
  const std::uint32_t number = NodeNumber(node);
  std::map<std::string, int> capacity_left = capacity;
  while (static_cast<int>(leased.size()) < limit) {
    const std::pair<std::int64_t, std::uint64_t>* earliest = nullptr;
    int* route_capacity = nullptr;
    for (auto& [route, slots] : capacity_left) {
      if (slots <= 0) continue;
      const auto at = routes_.find(route);
      if (at == routes_.end()) continue;
      const auto* first = &*at->second.batch_jobs.begin();
      if (earliest != nullptr && !(*first < *earliest)) continue;
      earliest = first;
      route_capacity = &slots;
    }
    if (earliest == nullptr) break;
    --*route_capacity;
    leased.push_back(AcquireFirst(earliest->second, number, now));
  }
  return leased;
}

bool LeaseTable::Renew(const std::string& node, const std::string& batch_job_id, std::uint32_t item,
                       Micros now) {
  std::uint64_t number = 0;
  BatchJobItems* batch_job = Find(batch_job_id, &number);
  if (batch_job == nullptr || item >= batch_job->items.size()) return false;
  const Item previous = batch_job->items[item];
  const std::uint32_t node_number = NodeNumber(node);
  if (previous.phase == Phase::kGone) return false;
  if (previous.phase == Phase::kWaiting) {  // expired, or leased by an earlier primary
    RemoveWaiting(number, batch_job, item);
    Lease(number, batch_job, item, node_number, 0, now + kLeaseDuration);
    return true;
  }
  if (previous.node != 0 && previous.node != node_number) return false;
  RemoveLease(number, batch_job, item);
  Lease(number, batch_job, item, node_number, previous.lease, now + kLeaseDuration);
  return true;
}

void LeaseTable::DropNode(const std::string& node) {
  const auto at = node_numbers_.find(node);
  if (at == node_numbers_.end()) return;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> node_items;
  for (const auto& [expires, number, item] : leased_) {
    if (batch_jobs_.at(number).items[item].node == at->second)
      node_items.emplace_back(number, item);
  }
  for (const auto& [number, item] : node_items) {
    BatchJobItems& batch_job = batch_jobs_.at(number);
    RemoveLease(number, &batch_job, item);
    MakeWaiting(number, &batch_job, item);
  }
}

void LeaseTable::Expire(Micros now) {
  while (!leased_.empty() && std::get<0>(*leased_.begin()) <= now) {
    const auto [expires, number, item] = *leased_.begin();
    BatchJobItems& batch_job = batch_jobs_.at(number);
    RemoveLease(number, &batch_job, item);
    MakeWaiting(number, &batch_job, item);
  }
}

std::size_t LeaseTable::CountWaiting(const std::string& route) const {
  const auto at = routes_.find(route);
  return at == routes_.end() ? 0 : at->second.waiting;
}

bool LeaseTable::HasWaitingItems() const { return !routes_.empty(); }

Micros LeaseTable::NextExpiry() const {
  return leased_.empty() ? 0 : std::get<0>(*leased_.begin());
}

std::vector<std::string> LeaseTable::LeaseOwners() const {
  std::set<std::uint32_t> numbers;
  for (const auto& [expires, number, item] : leased_) {
    numbers.insert(batch_jobs_.at(number).items[item].node);
  }
  numbers.erase(0);
  std::vector<std::string> names;
  names.reserve(numbers.size());
  for (const std::uint32_t number : numbers) names.push_back(node_names_[number]);
  return names;
}

}  // namespace pearreach::batch
