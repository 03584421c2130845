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

// Changes of the worker table within this delay are applied together. The delay grows with the
// number of workers. A drain does not depend on it, since each send checks the newest table.
constexpr Micros kRefreshDelay = 5 * kMs;
constexpr Micros kRefreshDelayPerWorker = 10;  // microseconds
constexpr Micros kPositionPeriod = 200 * kMs;  // period of updates of this node's share
// Lower bound for each worker, regardless of the number of nodes.
constexpr std::size_t kMinConnectionLimit = 2;
constexpr std::size_t kDefaultConnectionLimit = 16;  // for services without max_conns
// Fraction of all slots in use by load reports; above it, batch items wait.
constexpr double kMaxUtilization = 0.9;
// Batch items with unprocessed prompts, for each worker over all nodes, and the number of queued
// items for each of them.
constexpr double kUnreadPromptsPerWorker = 1;
constexpr int kQueuedItemsPerGateSlot = 4;
constexpr int kUnlimitedBulk = 1 << 16;  // more than a node can run

class Runner final : public RequestRunner, private ActiveRequestHost {
 public:
  Runner(Timers* timers, registry::WorkerSource* workers, control::ControlClient* control,
         RunnerOptions options);
  ~Runner() override;

  std::uint64_t Submit(RequestSpec spec, std::shared_ptr<RequestSink> sink) override;
  void Cancel(std::uint64_t request) override;
  void Terminate(std::uint64_t request) override;
  void Resume(std::uint64_t request) override;
  int BulkCapacity(const std::string& service) const override;  // also implements ActiveRequestHost

 private:
  bool IsReady(const std::string& worker_id) const override;
  void RefreshWorkers() override { Refresh(); }
  std::size_t ConnectionLimit(const std::string& service) const override;
  double WorkerTokens(const std::string& service) const override;
  Micros WarmUpDeadline(Micros now) const override {
    return options_.policy.wait_for_workers ? fleet_warm_up_.WarmUpDeadline(now) : 0;
  }
  const settings::PolicyOptions& policy() const override { return options_.policy; }
  void Forget(std::uint64_t request) override { requests_.erase(request); }

  ServicePool& Pool(const std::string& service);
  void Refresh();
  void ArmRefresh(Micros delay);
  void UpdateFleetPosition();
  void UpdateBulkLimit(ServicePool* pool);
  const routing::Service* FindService(const std::string& service) const;

  Timers* timers_;
  registry::WorkerSource* source_;
  control::ControlClient* control_;
  RunnerOptions options_;
  const FleetWarmUp fleet_warm_up_;
  std::shared_ptr<const registry::WorkerTable> table_;
  FleetPosition fleet_position_;
  Micros position_checked_at_ = 0;  // time of the last update; 0: never
  const Micros started_ = Now();
  Timers::Id refresh_timer_ = 0, warm_up_timer_ = 0;
  std::unordered_map<std::string, std::unique_ptr<ServicePool>> pools_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ActiveRequest>> requests_;
  std::uint64_t last_request_id_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Runner::Runner(Timers* timers, registry::WorkerSource* workers, control::ControlClient* control,
               RunnerOptions options)
    : timers_(timers),
      source_(workers),
      control_(control),
      options_(std::move(options)),
      fleet_warm_up_(control, options_.node_name, Now(), options_.worker_discovery_time),
      table_(workers->Workers()) {
  const std::weak_ptr<bool> alive = alive_;
  source_->OnChange([this, alive] {
    if (alive.expired()) return;
    table_ = source_->Workers();
    const auto workers = static_cast<Micros>(table_->size());
    ArmRefresh(std::max(kRefreshDelay, workers * kRefreshDelayPerWorker));
  });
}

Runner::~Runner() {
  timers_->Cancel(&refresh_timer_);
  timers_->Cancel(&warm_up_timer_);
  for (const auto& [id, request] : std::exchange(requests_, {})) request->Cancel();
}

std::uint64_t Runner::Submit(RequestSpec spec, std::shared_ptr<RequestSink> sink) {
  UpdateFleetPosition();
  ServicePool& pool = Pool(spec.service);
  const std::uint64_t id = ++last_request_id_;
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

void Runner::Terminate(std::uint64_t request) {
  const auto found = requests_.find(request);
  if (found != requests_.end()) std::shared_ptr(found->second)->Terminate();
}

void Runner::Resume(std::uint64_t request) {
  const auto found = requests_.find(request);
  if (found != requests_.end()) std::shared_ptr(found->second)->Resume();
}

// Room that this node's share of the slots leaves below the target utilization. Each node stays
// within its own share, whose use it knows exactly: load reports, which cover the requests of all
// nodes, arrive too late for a burst.
int Runner::BulkCapacity(const std::string& service) const {
  const auto found = pools_.find(service);
  if (found == pools_.end()) {
    // No pool exists yet: one request creates it.
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
  if (slots < 1 || (has_fresh_report && taken > kMaxUtilization * slots)) return 0;
  const double usable = options_.policy.bulk_fill * slots / fleet_position_.nodes;
  const int waiting = pool.dispatcher.queued_bulk() + pool.bulk_waiting +
                      static_cast<int>(pool.bulk_gate.waiting());
  const int in_flight = pool.workers.InFlight();
  const int ahead = kQueuedItemsPerGateSlot * pool.bulk_gate.limit() - waiting;
  const bool idle = in_flight + waiting == 0;
  // After a start, a node that has not discovered the other nodes would take all slots as its own
  // share.
  if (Now() < started_ + options_.membership_settle_time) return idle ? 1 : 0;
  const int capacity = std::min(static_cast<int>(std::floor(usable)) - in_flight - waiting, ahead);
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
  if (found == nullptr || found->max_conns <= 0) return kDefaultConnectionLimit;
  const auto node_share = static_cast<std::size_t>(found->max_conns / fleet_position_.nodes);
  return std::max(node_share, kMinConnectionLimit);
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
  pool->dispatcher.SetFleetPosition(fleet_position_);
  Refresh();
  return *pool;
}

void Runner::Refresh() {
  timers_->Cancel(&refresh_timer_);
  for (auto& [name, pool] : pools_) pool->workers.BeginUpdate();
  table_->ForEach([this](const registry::WorkerRecord& record) {
    const auto pool = pools_.find(record.service);
    if (pool != pools_.end()) pool->second->workers.Update(record);
  });
  Micros next_refresh_at = 0;
  for (auto& [name, pool] : pools_) {
    pool->dispatcher.OnWorkers(pool->workers.EndUpdate());
    UpdateBulkLimit(pool.get());
    const Micros refresh_at = pool->workers.next_refresh_at();
    if (refresh_at != 0 && (next_refresh_at == 0 || refresh_at < next_refresh_at))
      next_refresh_at = refresh_at;
  }
  timers_->Cancel(&warm_up_timer_);
  if (next_refresh_at == 0) return;
  warm_up_timer_ = timers_->After(next_refresh_at - Now(), [this] {
    warm_up_timer_ = 0;
    Refresh();
  });
}

void Runner::ArmRefresh(Micros delay) {
  if (refresh_timer_ != 0 || pools_.empty()) return;
  refresh_timer_ = timers_->After(delay, [this] {
    refresh_timer_ = 0;
    Refresh();
  });
}

// Updates the number of nodes that share the workers and this node's index among them, in an order
// that is the same at all nodes.
void Runner::UpdateFleetPosition() {
  const Micros now = Now();
  if (position_checked_at_ != 0 && now - position_checked_at_ < kPositionPeriod) return;
  position_checked_at_ = now;
  FleetPosition position{0, 0};
  for (const auto& [name, member] : control_->members()) {
    const bool live = member.status == coordination::MemberStatus::kAlive ||
                      member.status == coordination::MemberStatus::kSuspect;
    if (!live || !member.info.Is(coordination::MemberInfo::kServesEdge)) continue;
    if (name == options_.node_name) position.self = position.nodes;
    ++position.nodes;
  }
  position.nodes = std::max(position.nodes, 1);
  if (position == fleet_position_) return;
  fleet_position_ = position;
  for (auto& [name, pool] : pools_) {
    pool->dispatcher.SetFleetPosition(position);
    UpdateBulkLimit(pool.get());
  }
}

void Runner::UpdateBulkLimit(ServicePool* pool) {
  const double node_share =
      kUnreadPromptsPerWorker * pool->workers.ready_count() / fleet_position_.nodes;
  const bool is_paced = options_.policy.pace_unread_bulk;
  if (!is_paced) return pool->bulk_gate.SetLimit(kUnlimitedBulk);
  pool->bulk_gate.SetLimit(static_cast<int>(std::lround(node_share)));
}

}  // namespace

std::unique_ptr<RequestRunner> MakeRequestRunner(Timers* timers, registry::WorkerSource* workers,
                                                 control::ControlClient* control,
                                                 RunnerOptions options) {
  return std::make_unique<Runner>(timers, workers, control, std::move(options));
}

}  // namespace pearreach::proxy
