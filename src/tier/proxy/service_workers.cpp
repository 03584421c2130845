#include "tier/proxy/service_workers.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <string_view>
#include <utility>

namespace pearreach::proxy {
namespace {

constexpr double kWarmUpWeight = 0.5;  // weight of a worker in warm-up relative to a warm one
constexpr Micros kDropPeriod = 2 * kSecond;
// The weight of a load report decays to 0 over this time.
constexpr Micros kLoadReportLifetime = kSecond;
constexpr std::uint64_t kHashStart = 0xcbf29ce484222325u, kHashPrime = 0x100000001b3u;  // FNV-1a

// Not std::hash: the value must be the same at every node, independent of the standard library.
std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = kHashStart;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kHashPrime;
  return hash;
}

// Finalizer of MurmurHash3: distributes the entropy over all bits.
std::uint64_t MixBits(std::uint64_t hash) {
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdu;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53u;
  return hash ^ (hash >> 33);
}

bool HasSameState(const dispatch::WorkerEntry& a, const dispatch::WorkerEntry& b) {
  return a.identity == b.identity && a.zone == b.zone && a.health == b.health &&
         a.weight == b.weight;
}

// Most updates of a record change only the sequence number of its heartbeat.
bool SameExceptLastSeen(const registry::WorkerRecord& a, const registry::WorkerRecord& b) {
  return a.phase == b.phase && a.capacity == b.capacity && a.warm_at == b.warm_at &&
         a.worker_id == b.worker_id && a.address == b.address && a.zone == b.zone;
}

}  // namespace

std::optional<WorkerLoad> ReadWorkerLoad(const ResponseHead& head) {
  const std::string* text = head.Find("X-Worker-Load");
  if (text == nullptr) return {};
  double numbers[3] = {0, 0, 0};
  const char* at = text->data();
  const char* const end = at + text->size();
  for (double& number : numbers) {
    while (at != end && (*at == ',' || *at == ' ')) ++at;
    const auto read = std::from_chars(at, end, number);
    if (read.ec != std::errc() || number < 0) return {};
    at = read.ptr;
  }
  return WorkerLoad{numbers[0], numbers[1], numbers[2]};
}

ServiceWorkers::ServiceWorkers(Timers* timers, std::string own_zone) : timers_(timers) {
  zones_.emplace(std::move(own_zone), 0);
}

int ServiceWorkers::ZoneNumber(const std::string& zone) {
  return zones_.try_emplace(zone, static_cast<int>(zones_.size())).first->second;
}

void ServiceWorkers::BeginUpdate() { ++update_; }

void ServiceWorkers::Update(const registry::WorkerRecord& record) {
  const dispatch::WorkerId number = AssignNumber(record);
  ServiceWorker& worker = workers_[number];
  const bool moved = worker.connections == nullptr || worker.record.address != record.address;
  if (moved) worker.connections = std::make_shared<WorkerConnections>(timers_, record.address);
  if (worker.record.call_seq != record.call_seq && record.call_seq > worker.dropped_at)
    worker.dropped_at = 0;
  if (worker.dropped_at != 0 && Now() >= worker.dropped_until) worker.dropped_at = 0;
  if (SameExceptLastSeen(worker.record, record)) {
    worker.record.call_seq = record.call_seq;
  } else {
    worker.record = record;
    ZoneNumber(record.zone);
  }
  worker.present = worker.dropped_at == 0;
}

dispatch::WorkerId ServiceWorkers::AssignNumber(const registry::WorkerRecord& record) {
  const auto [known, fresh] = by_id_.try_emplace(record.worker_id);
  known->second.update = update_;
  if (!fresh) return known->second.number;
  if (free_numbers_.empty()) {
    free_numbers_.push_back(static_cast<dispatch::WorkerId>(workers_.size()));
    workers_.emplace_back();
    reported_.emplace_back();
    reported_.back().health = dispatch::Health::kGone;
  }
  known->second.number = free_numbers_.back();
  free_numbers_.pop_back();
  workers_[known->second.number] = ServiceWorker();
  return known->second.number;
}

std::vector<dispatch::WorkerEntry> ServiceWorkers::EndUpdate() {
  const Micros now = Now();
  std::vector<dispatch::WorkerEntry> changes;
  for (auto known = by_id_.begin(); known != by_id_.end();) {
    const dispatch::WorkerId number = known->second.number;
    ServiceWorker& worker = workers_[number];
    const bool gone = known->second.update != update_;
    if (gone) worker.present = false;
    const dispatch::WorkerEntry entry = Entry(number, now);
    if (!HasSameState(entry, reported_[number])) {
      reported_[number] = entry;
      changes.push_back(entry);
      if (entry.health != dispatch::Health::kInService) worker.connections->CloseIdle();
    }
    // A number is reused only when no attempt with it is in flight.
    const bool release_number = gone && worker.in_flight == 0;
    if (release_number) free_numbers_.push_back(number);
    known = release_number ? by_id_.erase(known) : std::next(known);
  }
  UpdateTotals(now);
  return changes;
}

std::vector<dispatch::WorkerEntry> ServiceWorkers::AllEntries() const {
  std::vector<dispatch::WorkerEntry> all;
  for (const auto& [id, known] : by_id_)
    if (reported_[known.number].health != dispatch::Health::kGone)
      all.push_back(reported_[known.number]);
  return all;
}

ServiceWorker* ServiceWorkers::Find(dispatch::WorkerId id) {
  return id < workers_.size() ? &workers_[id] : nullptr;
}

std::vector<dispatch::WorkerEntry> ServiceWorkers::DropWorker(dispatch::WorkerId id) {
  ServiceWorker& worker = workers_[id];
  worker.dropped_at = std::max<std::uint64_t>(worker.record.call_seq, 1);
  worker.present = false;
  worker.connections->CloseIdle();
  const Micros now = Now();
  worker.dropped_until = now + kDropPeriod;
  reported_[id] = Entry(id, now);
  UpdateTotals(now);
  return {reported_[id]};
}

void ServiceWorkers::RecordLoad(dispatch::WorkerId id, const WorkerLoad& load) {
  workers_[id].load = load;
  workers_[id].load_reported_at = Now();
}

dispatch::WorkerEntry ServiceWorkers::Entry(dispatch::WorkerId id, Micros now) const {
  const ServiceWorker& worker = workers_[id];
  const registry::WorkerRecord& record = worker.record;
  dispatch::WorkerEntry entry;
  entry.worker = id;
  entry.identity = HashOf(record.worker_id);
  entry.zone = zones_.at(record.zone);
  entry.health = !worker.present || record.phase == registry::WorkerPhase::kGone
                     ? dispatch::Health::kGone
                 : record.phase == registry::WorkerPhase::kDraining ? dispatch::Health::kDraining
                                                                    : dispatch::Health::kInService;
  entry.weight = std::max(record.capacity, 1) * (record.warm_at > now ? kWarmUpWeight : 1.0);
  return entry;
}

void ServiceWorkers::UpdateTotals(Micros now) {
  ready_slots_ = largest_capacity_ = 0;
  ready_count_ = 0;
  largest_.reset();
  next_refresh_at_ = 0;
  const auto refresh_at = [this](Micros at) {
    if (next_refresh_at_ == 0 || at < next_refresh_at_) next_refresh_at_ = at;
  };
  for (const auto& [id, known] : by_id_) {
    const ServiceWorker& worker = workers_[known.number];
    if (worker.dropped_at != 0 && worker.dropped_until > now) refresh_at(worker.dropped_until);
    if (reported_[known.number].health != dispatch::Health::kInService) continue;
    const registry::WorkerRecord& record = worker.record;
    ready_slots_ += record.capacity;
    ++ready_count_;
    if (record.warm_at > now) refresh_at(record.warm_at);
    if (record.capacity <= largest_capacity_) continue;
    largest_capacity_ = record.capacity;
    largest_ = known.number;
  }
}

double ServiceWorkers::SlotsTaken(Micros now, bool* has_fresh_report) const {
  double taken = 0;
  *has_fresh_report = false;
  for (const auto& [id, known] : by_id_) {
    if (reported_[known.number].health != dispatch::Health::kInService) continue;
    taken += EstimateSlotsTaken(workers_[known.number], now, has_fresh_report);
  }
  return taken;
}

int ServiceWorkers::InFlight() const {
  int out = 0;
  for (const auto& [id, known] : by_id_) out += workers_[known.number].in_flight;
  return out;
}

double ServiceWorkers::EstimateSlotsTaken(const ServiceWorker& worker, Micros now,
                                          bool* has_fresh_report) const {
  const Micros age = now - worker.load_reported_at;
  const bool fresh = worker.load_reported_at != 0 && age < kLoadReportLifetime;
  const double decay = fresh ? 1 - static_cast<double>(age) / kLoadReportLifetime : 0;
  *has_fresh_report = *has_fresh_report || fresh;
  return std::max<double>(worker.in_flight, decay * (worker.load.running + worker.load.waiting));
}

double ServiceWorkers::Utilization(dispatch::WorkerId id, Micros now) const {
  bool has_fresh_report = false;
  const ServiceWorker& worker = workers_[id];
  return EstimateSlotsTaken(worker, now, &has_fresh_report) / std::max(worker.record.capacity, 1);
}

std::vector<dispatch::WorkerId> ServiceWorkers::PreferredWorkersOf(std::uint64_t prefix_key,
                                                                   std::size_t max_count) const {
  std::vector<std::pair<std::uint64_t, dispatch::WorkerId>> order;
  order.reserve(by_id_.size());
  for (const auto& [id, known] : by_id_) {
    const dispatch::WorkerEntry& entry = reported_[known.number];
    if (entry.health == dispatch::Health::kInService)
      order.emplace_back(MixBits(entry.identity ^ MixBits(prefix_key)), known.number);
  }
  max_count = std::min(max_count, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(max_count),
                    order.end(), std::greater<>());
  std::vector<dispatch::WorkerId> preferred;
  for (std::size_t i = 0; i < max_count; ++i) preferred.push_back(order[i].second);
  return preferred;
}

}  // namespace pearreach::proxy
