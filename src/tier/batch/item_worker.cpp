#include "tier/batch/item_worker.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "tier/batch/item_request.h"

namespace pearreach::batch {
namespace {

// The longest that one run of an item may take; the route's limit_ms does not apply to items.
constexpr Micros kMaxRunTime = 30 * kSecond;
constexpr Micros kRenewPeriod = 1 * kSecond;
constexpr Micros kRenewTimeout = 1 * kSecond;
// A result is reported for this long at a time, with delays between.
constexpr Micros kReportTimeout = 5 * kSecond;
constexpr Micros kReportRetryDelay = 500 * kMs;
// A lease that is of no use is returned to its store for this long; then it expires.
constexpr Micros kReturnTimeout = 1 * kSecond;
// A result that no store acknowledges is kept this long beyond the time when its item may be
// abandoned.
constexpr Micros kResultRetention = 30 * kSecond;

// An item is not sent in the last part of its lease, so that it reaches its worker within the
// lease: the connection may have to be opened first.
constexpr Micros kSendMarginDivisor = 6;  // of the lease's time

bool RoutesTo(const routing::Route& route, std::string_view service) {
  return std::any_of(route.targets.begin(), route.targets.end(), [&](const auto& target) {
    return target.weight > 0 && target.service == service;
  });
}

}  // namespace

struct ItemWorker::InFlightItem {
  std::string route, service;
  std::uint64_t lease = 0;
  Micros lease_time = 0;      // that each renewal gives
  Micros leased_until = 0;    // as a store has said; a run that is at a worker may go on after it
  Micros run_until = 0;       // a run is dropped then
  Micros result_expires = 0;  // a result that no store acknowledges is dropped then
  std::shared_ptr<ItemRun> run;  // null: the run has ended and `result` is to be reported
  std::uint64_t request_id = 0;
  ItemResult result;
  StoreClient::CallId report_call = 0;
  Timers::Id report_timer = 0;

  // A store that may do so has given or renewed the lease, no earlier than `asked_at`.
  void ExtendLease(Micros asked_at) {
    leased_until = std::max(leased_until, asked_at + lease_time);
    ExtendRun(asked_at);
    if (run != nullptr) run->AllowSendsUntil(SendUntil());
  }
  void ExtendRun(Micros asked_at) { run_until = std::max(run_until, asked_at + lease_time); }
  Micros SendUntil() const { return leased_until - lease_time / kSendMarginDivisor; }
};

ItemWorker::ItemWorker(Timers* timers, StoreClient* stores, control::ControlClient* control,
                       proxy::RequestRunner* runner, std::string node, std::uint64_t process)
    : timers_(timers),
      stores_(stores),
      control_(control),
      runner_(runner),
      node_(std::move(node)),
      random_(std::random_device()()),
      puller_(
          timers, stores, control, runner, node_, process,
          [this](LeasedItem item, Micros pulled_at) { OnItemPulled(std::move(item), pulled_at); }) {
  control->OnChange(callbacks_.Bind([this] { OnControlChange(); }));
  puller_.Poll();
}

ItemWorker::~ItemWorker() {
  timers_->Cancel(&renew_timer_);
  timers_->Cancel(&grace_timer_);
  for (auto& [key, item] : in_flight_) {
    if (item->run != nullptr) item->run->Detach();
    if (item->run != nullptr && item->request_id != 0) runner_->Cancel(item->request_id);
    stores_->Cancel(item->report_call);
    timers_->Cancel(&item->report_timer);
  }
}

const routing::Target& ItemWorker::PickTarget(const routing::Route& route) {
  std::uniform_real_distribution<double> point(0, 1);
  const routing::Target& picked = routing::RouteTable::Pick(route, point(random_));
  if (runner_->BulkCapacity(picked.service) > 0) return picked;
  for (const routing::Target& target : route.targets) {
    if (target.weight > 0 && runner_->BulkCapacity(target.service) > 0) return target;
  }
  return picked;
}

void ItemWorker::OnItemPulled(LeasedItem leased, Micros pulled_at) {
  const Key key = {leased.batch_job_id, leased.item.item_id};
  if (const auto found = in_flight_.find(key); found != in_flight_.end()) {
    OnLeasedAgain(found->second.get(), leased, pulled_at);
    return;
  }
  auto item = std::make_unique<InFlightItem>();
  item->route = leased.route;
  item->lease = leased.lease;
  item->lease_time = leased.expires_ms * kMs;
  item->ExtendLease(pulled_at);
  item->ExtendRun(Now());
  item->result_expires =
      Now() + static_cast<Micros>(std::max(leased.retain_left_ms, 0.0) * kMs) + kResultRetention;
  in_flight_[key] = std::move(item);
  if (renew_timer_ == 0) ScheduleRenewal();
  const auto routes = control_->Current()->routes;
  const routing::Route* route = routes == nullptr ? nullptr : routes->FindRoute(leased.route);
  if (route == nullptr || route->variant != routing::Variant::kBulk || stopping_) {
    FinishRun(key, RunOutcome::kReturned, {});
    return;
  }
  StartRun(key, std::move(leased), *route);
}

// A store leases an item that this node has already. A run continues under the new lease. A result
// stays that of the lease under which it came about, so that a failure counts once; the new lease
// is returned.
void ItemWorker::OnLeasedAgain(InFlightItem* item, const LeasedItem& leased, Micros pulled_at) {
  if (item->run != nullptr) {
    item->lease = leased.lease;
    item->lease_time = leased.expires_ms * kMs;
    item->ExtendLease(pulled_at);
    item->ExtendRun(Now());
    return;
  }
  const RunOutcome outcome = item->result.outcome;
  if (outcome == RunOutcome::kComplete || outcome == RunOutcome::kImpossible) return;
  puller_.StartBackoff();
  ItemResult returned;
  returned.batch_job_id = leased.batch_job_id;
  returned.item_id = leased.item.item_id;
  returned.lease = leased.lease;
  returned.outcome = RunOutcome::kReturned;
  CallTime time;
  time.overall = kReturnTimeout;
  stores_->Report(std::move(returned), time, [](const absl::Status&) {});
}

void ItemWorker::StartRun(const Key& key, LeasedItem leased, const routing::Route& route) {
  const Micros retain_left = static_cast<Micros>(leased.retain_left_ms * kMs);
  const Micros time = std::min(retain_left, kMaxRunTime);
  if (time <= 0) {
    FinishRun(key, RunOutcome::kReturned, {});
    return;
  }
  InFlightItem* item = in_flight_.at(key).get();
  item->service = PickTarget(route).service;
  item->run = std::make_shared<ItemRun>(
      [this, key](const proxy::RequestResult& result) { OnRunEnd(key, result); });
  item->run->AllowSendsUntil(item->SendUntil());
  const std::shared_ptr<ItemRun> run = item->run;
  const bool has_tenants = control_->Current()->routes->has_tenants();
  const std::uint64_t request_id = runner_->Submit(
      MakeItemRequest(std::move(leased), route, item->service, time, has_tenants), run);
  // The run may have ended inside Submit.
  const auto found = in_flight_.find(key);
  if (found != in_flight_.end() && found->second->run == run)
    found->second->request_id = request_id;
}

void ItemWorker::OnRunEnd(const Key& key, const proxy::RequestResult& result) {
  const auto found = in_flight_.find(key);
  if (found == in_flight_.end()) return;
  const std::shared_ptr<ItemRun> run = std::move(found->second->run);
  if (run == nullptr) return;
  const RunOutcome outcome = run->Outcome(result);
  if (outcome == RunOutcome::kReturned) puller_.StartBackoff();
  FinishRun(key, outcome, outcome == RunOutcome::kComplete ? run->TakeText() : std::string());
}

// ---------------------------------------------------------------- results

void ItemWorker::FinishRun(const Key& key, RunOutcome outcome, std::string content) {
  InFlightItem* item = in_flight_.at(key).get();
  item->run = nullptr;
  item->request_id = 0;
  item->result.batch_job_id = key.first;
  item->result.item_id = key.second;
  item->result.lease = item->lease;
  item->result.outcome = outcome;
  item->result.content = std::move(content);
  Report(key);
}

void ItemWorker::Report(const Key& key) {
  InFlightItem* item = in_flight_.at(key).get();
  item->report_timer = 0;
  CallTime time;
  time.overall = kReportTimeout;
  item->report_call = stores_->Report(
      item->result, time, [this, key](const absl::Status& status) { OnReported(key, status); });
}

void ItemWorker::OnReported(const Key& key, const absl::Status& status) {
  const auto found = in_flight_.find(key);
  if (found == in_flight_.end()) return;
  InFlightItem* item = found->second.get();
  item->report_call = 0;
  if (status.ok() || absl::IsNotFound(status)) {
    Drop(key);
    return;
  }
  item->report_timer = timers_->After(kReportRetryDelay, [this, key] { Report(key); });
}

void ItemWorker::Drop(const Key& key) {
  const auto found = in_flight_.find(key);
  if (found == in_flight_.end()) return;
  InFlightItem* item = found->second.get();
  if (item->run != nullptr) {
    item->run->Detach();
    if (item->request_id != 0) runner_->Cancel(item->request_id);
  }
  stores_->Cancel(item->report_call);
  timers_->Cancel(&item->report_timer);
  in_flight_.erase(found);
  if (!in_flight_.empty()) return;
  timers_->Cancel(&renew_timer_);
  NotifyIdle();
}

void ItemWorker::NotifyIdle() {
  if (idle_ == nullptr) return;
  const auto idle = std::exchange(idle_, nullptr);
  idle();
}

// ---------------------------------------------------------------- leases

void ItemWorker::ScheduleRenewal() {
  Micros period = kRenewPeriod;
  for (const auto& [key, item] : in_flight_) {
    if (item->lease_time > 0) period = std::min(period, item->lease_time / 3);
  }
  renew_timer_ = timers_->After(std::max(period, 10 * kMs), [this] {
    renew_timer_ = 0;
    OnRenewTimer();
  });
}

void ItemWorker::OnRenewTimer() {
  const Micros now = Now();
  DropExpired(now);
  if (in_flight_.empty()) return;
  RenewAll(now);
  ScheduleRenewal();
}

// A run is dropped once no store has answered for its lease for so long that others may run the
// item. A result is kept.
void ItemWorker::DropExpired(Micros now) {
  std::vector<Key> expired;
  for (const auto& [key, item] : in_flight_) {
    const Micros until = item->run != nullptr ? item->run_until : item->result_expires;
    if (now >= until) expired.push_back(key);
  }
  for (const Key& key : expired) Drop(key);
}

void ItemWorker::RenewAll(Micros now) {
  std::map<StoreId, std::vector<Key>> by_store;
  for (const auto& [key, item] : in_flight_) {
    if (item->run == nullptr) continue;  // its result is being reported
    const StoreId* primary = stores_->PrimaryOf(key.first);
    if (primary != nullptr) by_store[*primary].push_back(key);
  }
  for (auto& [store, keys] : by_store) {
    RenewLeases renew;
    renew.node = node_;
    renew.process = puller_.Incarnation();
    renew.leased_items = keys;
    stores_->Renew(store, renew, kRenewTimeout,
                   callbacks_.Bind([this, keys = std::move(keys),
                                    now](const absl::StatusOr<RenewLeasesResponse>& response) {
                     OnRenewed(keys, now, response);
                   }));
  }
}

void ItemWorker::OnRenewed(const std::vector<Key>& requested, Micros sent,
                           const absl::StatusOr<RenewLeasesResponse>& response) {
  if (!response.ok()) return;
  for (const Key& key : response->stop) {
    const auto found = in_flight_.find(key);
    if (found != in_flight_.end() && found->second->run != nullptr) Drop(key);
  }
  const std::set<Key> undecided(response->undecided.begin(), response->undecided.end());
  for (const Key& key : requested) {
    const auto found = in_flight_.find(key);
    if (found == in_flight_.end()) continue;
    InFlightItem* item = found->second.get();
    if (undecided.contains(key)) {
      item->ExtendRun(sent);  // nobody else is given the item meanwhile
    } else {
      item->ExtendLease(sent);
    }
  }
}

// ---------------------------------------------------------------- changes

// Stops a run and returns the item to its store.
void ItemWorker::ReturnToStore(const Key& key) {
  InFlightItem* item = in_flight_.at(key).get();
  item->run->Detach();
  if (item->request_id != 0) runner_->Cancel(item->request_id);
  FinishRun(key, RunOutcome::kReturned, {});
}

// Items follow the newest configuration: a run at a service that its route no longer names ends.
void ItemWorker::OnControlChange() {
  const auto snapshot = control_->Current();
  if (snapshot->routes != nullptr && snapshot->config_revision != routes_revision_) {
    routes_revision_ = snapshot->config_revision;
    std::vector<Key> misrouted;
    for (const auto& [key, item] : in_flight_) {
      if (item->run == nullptr) continue;
      const routing::Route* route = snapshot->routes->FindRoute(item->route);
      if (route == nullptr || !RoutesTo(*route, item->service)) misrouted.push_back(key);
    }
    for (const Key& key : misrouted) ReturnToStore(key);
  }
  if (snapshot->stores_revision != stores_revision_) {
    stores_revision_ = snapshot->stores_revision;
    RenewAll(Now());  // a new primary waits a short while only for the renewals of leases
  }
  puller_.Poll();
}

void ItemWorker::ReturnAllRunning() {
  grace_timer_ = 0;
  std::vector<Key> running;
  for (const auto& [key, item] : in_flight_) {
    if (item->run != nullptr) running.push_back(key);
  }
  for (const Key& key : running) ReturnToStore(key);
}

void ItemWorker::Stop(Micros grace_period, std::function<void()> idle) {
  puller_.Stop();
  stopping_ = true;
  idle_ = std::move(idle);
  if (in_flight_.empty()) {
    grace_timer_ = timers_->After(0, [this] {
      grace_timer_ = 0;
      NotifyIdle();
    });
    return;
  }
  grace_timer_ = timers_->After(grace_period, [this] { ReturnAllRunning(); });
}

}  // namespace pearreach::batch
