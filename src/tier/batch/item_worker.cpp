#include "tier/batch/item_worker.h"

#include <algorithm>
#include <string_view>

#include "tier/batch/event_text.h"
#include "tier/batch/item_request.h"

namespace pearreach::batch {
namespace {

// The longest that one run of an item may take; items stand outside the route's limit.
constexpr Micros kMaxRun = 30 * kSecond;
constexpr Micros kRenewPeriod = 1 * kSecond;
constexpr Micros kRenewTimeout = 1 * kSecond;
// A result is offered to the stores for this long at a time, with pauses.
constexpr Micros kReportTime = 5 * kSecond;
constexpr Micros kReportPause = 500 * kMs;
// A lease that is of no use is offered back for this long; then it runs out.
constexpr Micros kReturnTime = 1 * kSecond;
// A result that no store takes is kept this long beyond the time when its item may be given up.
constexpr Micros kResultKept = 30 * kSecond;

constexpr int kWorkerFailed = 500;
constexpr int kItemImpossible = 422;

bool Allows(const routing::Route& route, std::string_view service) {
  return std::any_of(route.targets.begin(), route.targets.end(), [&](const auto& target) {
    return target.share > 0 && target.service == service;
  });
}

}  // namespace

struct ItemWorker::Held {
  std::string route, service;
  std::uint64_t lease = 0;
  Micros lease_time = 0;  // that each renewal gives
  Micros expires = 0;
  Micros keep_until = 0;     // a result that nobody takes is dropped then
  std::shared_ptr<Run> run;  // null: the run has ended and `result` is to be reported
  std::uint64_t job = 0;
  ItemResult result;
  StoreClient::CallId report = 0;
  Timers::Id report_later = 0;
};

// ---------------------------------------------------------------- one run

class ItemWorker::Run final : public proxy::RequestSink {
 public:
  Run(ItemWorker* worker, Key key) : worker_(worker), key_(std::move(key)) {}

  void OnHead(int status, const std::vector<http::Header>&) override { status_ = status; }
  void OnBody(std::string_view bytes) override {
    if (IsSuccess()) text_.Feed(bytes);
  }
  void OnEnd(const proxy::RequestResult& result) override {
    if (worker_ == nullptr) return;
    ItemWorker* worker = worker_;
    worker_ = nullptr;
    worker->OnRunEnd(key_, result);
  }

  void Detach() { worker_ = nullptr; }
  RunOutcome Outcome(const proxy::RequestResult& result) const {
    const int status = IsSuccess() || status_ == 0 ? result.worker_status : status_;
    const bool is_whole = IsSuccess() && text_.AtEventEnd();
    if (result.end == proxy::RequestEnd::kComplete && is_whole) return RunOutcome::kComplete;
    if (status == kWorkerFailed) return RunOutcome::kFailed;
    if (status == kItemImpossible) return RunOutcome::kImpossible;
    return RunOutcome::kReturned;
  }
  std::string TakeText() { return text_.Take(); }

 private:
  bool IsSuccess() const { return status_ >= 200 && status_ < 300; }

  ItemWorker* worker_;
  Key key_;
  int status_ = 0;
  EventText text_;
};

ItemWorker::ItemWorker(Timers* timers, StoreClient* stores, control::ControlClient* control,
                       proxy::RequestRunner* runner, std::string node, std::uint64_t process)
    : timers_(timers),
      stores_(stores),
      control_(control),
      runner_(runner),
      node_(std::move(node)),
      random_(std::random_device()()),
      taker_(timers, stores, control, runner, node_, process,
             [this](LeasedItem item) { OnTaken(std::move(item)); }) {
  control->OnChange([this, alive = alive_] {
    if (*alive) OnControlChange();
  });
  taker_.Ask();
}

ItemWorker::~ItemWorker() {
  *alive_ = false;
  timers_->Cancel(&tick_);
  timers_->Cancel(&linger_);
  for (auto& [key, held] : held_) {
    if (held->run != nullptr) held->run->Detach();
    if (held->run != nullptr && held->job != 0) runner_->Cancel(held->job);
    stores_->Cancel(held->report);
    timers_->Cancel(&held->report_later);
  }
}

const routing::Target& ItemWorker::PickTarget(const routing::Route& route) {
  std::uniform_real_distribution<double> point(0, 1);
  const routing::Target& picked = routing::RouteTable::Pick(route, point(random_));
  if (runner_->BulkCapacity(picked.service) > 0) return picked;
  for (const routing::Target& target : route.targets) {
    if (target.share > 0 && runner_->BulkCapacity(target.service) > 0) return target;
  }
  return picked;
}

void ItemWorker::OnTaken(LeasedItem leased) {
  const Key key = {leased.batch_job_id, leased.item.item_id};
  const Micros lease_time = leased.expires_ms * kMs;
  if (const auto found = held_.find(key); found != held_.end()) {
    LeaseAgain(found->second.get(), leased);
    return;
  }
  auto held = std::make_unique<Held>();
  held->route = leased.route;
  held->lease = leased.lease;
  held->lease_time = lease_time;
  held->expires = Now() + lease_time;
  held->keep_until =
      Now() + static_cast<Micros>(std::max(leased.retain_left_ms, 0.0) * kMs) + kResultKept;
  held_[key] = std::move(held);
  if (tick_ == 0) TickLater();
  const auto routes = control_->Current()->routes;
  const routing::Route* route = routes == nullptr ? nullptr : routes->FindRoute(leased.route);
  if (route == nullptr || route->variant != routing::Variant::kBulk || stopping_) {
    Conclude(key, RunOutcome::kReturned, {});
    return;
  }
  Launch(key, std::move(leased), *route);
}

// A store leases what this node has. A run goes on under the new lease. A result stays that of the
// lease under which it came about, so that a failure counts once; the new lease goes back.
void ItemWorker::LeaseAgain(Held* held, const LeasedItem& leased) {
  if (held->run != nullptr) {
    held->lease = leased.lease;
    held->lease_time = leased.expires_ms * kMs;
    held->expires = Now() + held->lease_time;
    return;
  }
  const RunOutcome outcome = held->result.outcome;
  if (outcome == RunOutcome::kComplete || outcome == RunOutcome::kImpossible) return;
  taker_.HoldOff();
  ItemResult returned;
  returned.batch_job_id = leased.batch_job_id;
  returned.item_id = leased.item.item_id;
  returned.lease = leased.lease;
  returned.outcome = RunOutcome::kReturned;
  CallTime time;
  time.overall = kReturnTime;
  stores_->Report(std::move(returned), time, [](const absl::Status&) {});
}

void ItemWorker::Launch(const Key& key, LeasedItem leased, const routing::Route& route) {
  const Micros retain_left = static_cast<Micros>(leased.retain_left_ms * kMs);
  const Micros time = std::min(retain_left, kMaxRun);
  if (time <= 0) {
    Conclude(key, RunOutcome::kReturned, {});
    return;
  }
  Held* held = held_.at(key).get();
  held->service = PickTarget(route).service;
  held->run = std::make_shared<Run>(this, key);
  const std::shared_ptr<Run> run = held->run;
  const std::uint64_t job =
      runner_->Submit(RequestOf(std::move(leased), route, held->service, time), run);
  // The run may have ended inside Submit.
  const auto found = held_.find(key);
  if (found != held_.end() && found->second->run == run) found->second->job = job;
}

void ItemWorker::OnRunEnd(const Key& key, const proxy::RequestResult& result) {
  const auto found = held_.find(key);
  if (found == held_.end()) return;
  const std::shared_ptr<Run> run = std::move(found->second->run);
  if (run == nullptr) return;
  const RunOutcome outcome = run->Outcome(result);
  if (outcome == RunOutcome::kReturned) taker_.HoldOff();
  Conclude(key, outcome, outcome == RunOutcome::kComplete ? run->TakeText() : std::string());
}

// ---------------------------------------------------------------- results

void ItemWorker::Conclude(const Key& key, RunOutcome outcome, std::string content) {
  Held* held = held_.at(key).get();
  held->run = nullptr;
  held->job = 0;
  held->result.batch_job_id = key.first;
  held->result.item_id = key.second;
  held->result.lease = held->lease;
  held->result.outcome = outcome;
  held->result.content = std::move(content);
  Report(key);
}

void ItemWorker::Report(const Key& key) {
  Held* held = held_.at(key).get();
  held->report_later = 0;
  CallTime time;
  time.overall = kReportTime;
  held->report = stores_->Report(
      held->result, time, [this, key](const absl::Status& status) { OnReported(key, status); });
}

void ItemWorker::OnReported(const Key& key, const absl::Status& status) {
  const auto found = held_.find(key);
  if (found == held_.end()) return;
  Held* held = found->second.get();
  held->report = 0;
  if (status.ok() || absl::IsNotFound(status)) {
    Drop(key);
    return;
  }
  held->report_later = timers_->After(kReportPause, [this, key] { Report(key); });
}

void ItemWorker::Drop(const Key& key) {
  const auto found = held_.find(key);
  if (found == held_.end()) return;
  Held* held = found->second.get();
  if (held->run != nullptr) {
    held->run->Detach();
    if (held->job != 0) runner_->Cancel(held->job);
  }
  stores_->Cancel(held->report);
  timers_->Cancel(&held->report_later);
  held_.erase(found);
  if (!held_.empty()) return;
  timers_->Cancel(&tick_);
  TellIdle();
}

void ItemWorker::TellIdle() {
  if (idle_ == nullptr) return;
  const auto idle = std::exchange(idle_, nullptr);
  idle();
}

// ---------------------------------------------------------------- leases

void ItemWorker::TickLater() {
  Micros period = kRenewPeriod;
  for (const auto& [key, held] : held_) {
    if (held->lease_time > 0) period = std::min(period, held->lease_time / 3);
  }
  tick_ = timers_->After(std::max(period, 10 * kMs), [this] {
    tick_ = 0;
    Tick();
  });
}

void ItemWorker::Tick() {
  const Micros now = Now();
  GiveUpExpired(now);
  if (held_.empty()) return;
  RenewAll(now);
  TickLater();
}

// A run whose lease is over is dropped: the store lets others run the item. A result is kept.
void ItemWorker::GiveUpExpired(Micros now) {
  std::vector<Key> over;
  for (const auto& [key, held] : held_) {
    const Micros until = held->run != nullptr ? held->expires : held->keep_until;
    if (now >= until) over.push_back(key);
  }
  for (const Key& key : over) Drop(key);
}

void ItemWorker::RenewAll(Micros now) {
  std::map<StoreId, std::vector<Key>> by_store;
  for (const auto& [key, held] : held_) {
    if (held->run == nullptr) continue;  // its result speaks for itself
    const StoreId* primary = stores_->PrimaryOf(key.first);
    if (primary != nullptr) by_store[*primary].push_back(key);
  }
  for (auto& [store, keys] : by_store) {
    RenewLeases renew;
    renew.node = node_;
    renew.process = taker_.Process();
    renew.leased_items = keys;
    stores_->Renew(store, std::move(renew), kRenewTimeout,
                   [this, alive = alive_, keys = std::move(keys),
                    now](const absl::StatusOr<RenewLeasesResponse>& answer) {
                     if (*alive) OnRenewed(keys, now, answer);
                   });
  }
}

void ItemWorker::OnRenewed(const std::vector<Key>& asked, Micros sent,
                           const absl::StatusOr<RenewLeasesResponse>& answer) {
  if (!answer.ok()) return;
  for (const Key& key : answer->stop) {
    const auto found = held_.find(key);
    if (found != held_.end() && found->second->run != nullptr) Drop(key);
  }
  for (const Key& key : asked) {
    const auto found = held_.find(key);
    if (found == held_.end()) continue;
    found->second->expires = std::max(found->second->expires, sent + found->second->lease_time);
  }
}

// ---------------------------------------------------------------- changes

// Ends a run from here; the item goes back to its store.
void ItemWorker::Return(const Key& key) {
  Held* held = held_.at(key).get();
  held->run->Detach();
  if (held->job != 0) runner_->Cancel(held->job);
  Conclude(key, RunOutcome::kReturned, {});
}

// Items follow the newest configuration: a run at a service that its route no longer names ends.
void ItemWorker::OnControlChange() {
  const auto snapshot = control_->Current();
  if (snapshot->routes != nullptr && snapshot->config_revision != routes_revision_) {
    routes_revision_ = snapshot->config_revision;
    std::vector<Key> moved;
    for (const auto& [key, held] : held_) {
      if (held->run == nullptr) continue;
      const routing::Route* route = snapshot->routes->FindRoute(held->route);
      if (route == nullptr || !Allows(*route, held->service)) moved.push_back(key);
    }
    for (const Key& key : moved) Return(key);
  }
  if (snapshot->stores_revision != stores_revision_) {
    stores_revision_ = snapshot->stores_revision;
    RenewAll(Now());  // a new primary holds the items back for their holders for a short while only
  }
  taker_.Ask();
}

void ItemWorker::ReturnRunning() {
  linger_ = 0;
  std::vector<Key> running;
  for (const auto& [key, held] : held_) {
    if (held->run != nullptr) running.push_back(key);
  }
  for (const Key& key : running) Return(key);
}

void ItemWorker::Stop(Micros linger, std::function<void()> idle) {
  taker_.Stop();
  stopping_ = true;
  idle_ = std::move(idle);
  if (held_.empty()) {
    linger_ = timers_->After(0, [this] {
      linger_ = 0;
      TellIdle();
    });
    return;
  }
  linger_ = timers_->After(linger, [this] { ReturnRunning(); });
}

}  // namespace pearreach::batch
