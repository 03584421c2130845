#include "tier/proxy/request_runner.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "tier/proxy/active_request.h"
#include "tier/proxy/fleet_warm_up.h"
#include "tier/proxy/service_pool.h"

namespace pearreach::proxy {
namespace {

// Changes of the worker table within this go together: at least so long, and longer for many
// workers. A drain does not wait for it: each send looks at the newest table.
constexpr Micros kRefreshDelay = 5 * kMs;
constexpr Micros kRefreshDelayEach = 10;         // a worker
constexpr Micros kPositionPeriod = 200 * kMs;    // this node's share is looked at no more often
constexpr std::size_t kMinConnections = 2;       // to each worker, however many nodes there are
constexpr std::size_t kDefaultConnections = 16;  // of a service that names no limit
constexpr double kMaxFill = 0.9;  // of all slots, by what workers told; beyond it items wait
// Items whose prompts are unread, a worker and all nodes together; and those held ready behind.
constexpr double kUnreadBulk = 1;
constexpr int kBulkAhead = 4;
constexpr int kUnpacedBulk = 1 << 16;  // more than a node runs

class Runner final : public RequestRunner, private ActiveRequestHost {
 public:
  Runner(Timers* timers, registry::WorkerSource* workers, control::ControlClient* control,
         RunnerOptions options);
  ~Runner() override;

  std::uint64_t Submit(RequestSpec spec, std::shared_ptr<RequestSink> sink) override;
  void Cancel(std::uint64_t request) override;
  void Resume(std::uint64_t request) override;
  int BulkCapacity(const std::string& service) const override;  // of ActiveRequestHost, too

 private:
  bool IsReady(const std::string& worker_id) const override;
  void RefreshWorkers() override { Refresh(); }
  std::size_t ConnectionLimit(const std::string& service) const override;
  double WorkerTokens(const std::string& service) const override;
  Micros WarmUpDeadline(Micros now) const override {
    return options_.policy.wait_for_workers ? fleet_start_.WarmUpDeadline(now) : 0;
  }
  const settings::PolicyOptions& policy() const override { return options_.policy; }
  void Forget(std::uint64_t request) override { requests_.erase(request); }

  ServicePool& Pool(const std::string& service);
  void Refresh();
  void ArmRefresh(Micros delay);
  void UpdateNodeShare();
  void PaceBulk(ServicePool* pool);
  const routing::Service* FindService(const std::string& service) const;

  Timers* timers_;
  registry::WorkerSource* source_;
  control::ControlClient* control_;
  RunnerOptions options_;
  const FleetWarmUp fleet_start_;
  std::shared_ptr<const registry::WorkerTable> table_;
  FleetPosition share_;
  Micros position_seen_ = 0;  // when it was looked at last; 0: never
  const Micros started_ = Now();
  Timers::Id refresh_ = 0, warm_ = 0;
  std::unordered_map<std::string, std::unique_ptr<ServicePool>> pools_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ActiveRequest>> requests_;
  std::uint64_t last_job_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Runner::Runner(Timers* timers, registry::WorkerSource* workers, control::ControlClient* control,
               RunnerOptions options)
    : timers_(timers),
      source_(workers),
      control_(control),
      options_(std::move(options)),
      fleet_start_(control, options_.node_name, Now(), options_.worker_discovery_time),
      table_(workers->Workers()) {
  const std::weak_ptr<bool> alive = alive_;
  source_->OnChange([this, alive] {
    if (alive.expired()) return;
    table_ = source_->Workers();
    const auto workers = static_cast<Micros>(table_->size());
    ArmRefresh(std::max(kRefreshDelay, workers * kRefreshDelayEach));
  });
}

Runner::~Runner() {
  timers_->Cancel(&refresh_);
  timers_->Cancel(&warm_);
  for (const auto& [id, request] : std::exchange(requests_, {})) request->Cancel();
}

std::uint64_t Runner::Submit(RequestSpec spec, std::shared_ptr<RequestSink> sink) {
  UpdateNodeShare();
  ServicePool& pool = Pool(spec.service);
  const std::uint64_t id = ++last_job_;
  ActiveRequestHost* const host = this;
  const auto request =
      std::make_shared<ActiveRequest>(id, std::move(spec), std::move(sink), timers_, &pool, host);
  requests_.emplace(id, request);
  request->Start();
  return id;
}

void Runner::Cancel(std::uint64_t request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  const auto running = std::move(found->second);
  requests_.erase(found);
  running->Cancel();
}

void Runner::Resume(std::uint64_t request) {
  const auto found = requests_.find(request);
  if (found != requests_.end()) std::shared_ptr(found->second)->Resume();
}

// What this node's part of the slots leaves below the fill. Each node keeps to its own part, whose
// use it knows at once: what workers tell of all nodes' requests comes too late for a burst.
int Runner::BulkCapacity(const std::string& service) const {
  const auto found = pools_.find(service);
  if (found == pools_.end()) {
    // Nothing has run yet: one request makes the service known here.
    bool any = false;
    table_->ForEach([&](const registry::WorkerRecord& record) {
      any = any || (record.service == service && record.phase == registry::WorkerPhase::kReady);
    });
    return any ? 1 : 0;
  }
  const ServicePool& pool = *found->second;
  if (pool.dispatcher.queued_live() > 0) return 0;
  bool has_fresh_report = false;
  const double taken = pool.workers.SlotsTaken(Now(), &has_fresh_report);
  const double slots = pool.workers.ready_slots();
  if (slots < 1 || (has_fresh_report && taken > kMaxFill * slots)) return 0;
  const double usable = options_.policy.bulk_fill * slots / share_.nodes;
  const int held = pool.dispatcher.queued_bulk() + pool.bulk_waiting +
                   static_cast<int>(pool.bulk_gate.waiting());
  const int out = pool.workers.InFlight();
  const int ahead = kBulkAhead * pool.bulk_gate.allowance() - held;
  const bool idle = out + held == 0;
  // Guards a start: a node that does not know the others yet takes all slots for its own part.
  if (Now() < started_ + options_.membership_settle_time) return idle ? 1 : 0;
  const int capacity = std::min(static_cast<int>(std::floor(usable)) - out - held, ahead);
  return std::max(capacity, idle ? 1 : 0);
}

bool Runner::IsReady(const std::string& worker_id) const {
  const registry::WorkerRecord* found = table_->Find(worker_id);
  return found != nullptr && found->phase == registry::WorkerPhase::kReady;
}

const routing::Service* Runner::FindService(const std::string& service) const {
  const auto snapshot = control_->Current();
  return snapshot->routes == nullptr ? nullptr : snapshot->routes->FindService(service);
}

std::size_t Runner::ConnectionLimit(const std::string& service) const {
  const routing::Service* found = FindService(service);
  if (found == nullptr || found->max_conns <= 0) return kDefaultConnections;
  const auto part = static_cast<std::size_t>(found->max_conns / share_.nodes);
  return std::max(part, kMinConnections);
}

double Runner::WorkerTokens(const std::string& service) const {
  const routing::Service* found = FindService(service);
  return found == nullptr ? 0 : found->engine_cache_tokens;
}

ServicePool& Runner::Pool(const std::string& service) {
  std::unique_ptr<ServicePool>& pool = pools_[service];
  if (pool != nullptr) return *pool;
  pool =
      std::make_unique<ServicePool>(timers_, service, options_.zone, options_.seed + pools_.size());
  pool->dispatcher.SetFleetPosition(share_);
  Refresh();
  return *pool;
}

void Runner::Refresh() {
  timers_->Cancel(&refresh_);
  for (auto& [name, pool] : pools_) pool->workers.BeginUpdate();
  table_->ForEach([this](const registry::WorkerRecord& record) {
    const auto pool = pools_.find(record.service);
    if (pool != pools_.end()) pool->second->workers.Update(record);
  });
  Micros next_warm = 0;
  for (auto& [name, pool] : pools_) {
    pool->dispatcher.OnWorkers(pool->workers.EndUpdate());
    PaceBulk(pool.get());
    const Micros warm = pool->workers.next_warm();
    if (warm != 0 && (next_warm == 0 || warm < next_warm)) next_warm = warm;
  }
  timers_->Cancel(&warm_);
  if (next_warm == 0) return;
  warm_ = timers_->After(next_warm - Now(), [this] {
    warm_ = 0;
    Refresh();
  });
}

void Runner::ArmRefresh(Micros delay) {
  if (refresh_ != 0 || pools_.empty()) return;
  refresh_ = timers_->After(delay, [this] {
    refresh_ = 0;
    Refresh();
  });
}

// How many nodes share the workers, and which of them this one is, in an order common to all.
void Runner::UpdateNodeShare() {
  const Micros now = Now();
  if (position_seen_ != 0 && now - position_seen_ < kPositionPeriod) return;
  position_seen_ = now;
  FleetPosition share{0, 0};
  for (const auto& [name, member] : control_->members()) {
    const bool live = member.status == coordination::MemberStatus::kAlive ||
                      member.status == coordination::MemberStatus::kSuspect;
    if (!live || !member.info.Is(coordination::MemberInfo::kServesEdge)) continue;
    if (name == options_.node_name) share.self = share.nodes;
    ++share.nodes;
  }
  share.nodes = std::max(share.nodes, 1);
  if (share == share_) return;
  share_ = share;
  for (auto& [name, pool] : pools_) {
    pool->dispatcher.SetFleetPosition(share);
    PaceBulk(pool.get());
  }
}

void Runner::PaceBulk(ServicePool* pool) {
  const double part = kUnreadBulk * pool->workers.ready_count() / share_.nodes;
  const bool paced = options_.policy.pace_unread_bulk;
  if (!paced) return pool->bulk_gate.SetAllowance(kUnpacedBulk);
  pool->bulk_gate.SetAllowance(static_cast<int>(std::lround(part)));
}

}  // namespace

std::unique_ptr<RequestRunner> MakeRequestRunner(Timers* timers, registry::WorkerSource* workers,
                                                 control::ControlClient* control,
                                                 RunnerOptions options) {
  return std::make_unique<Runner>(timers, workers, control, std::move(options));
}

}  // namespace pearreach::proxy
