#include "tier/proxy/pool_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "tier/logging/log.h"

namespace pearreach::proxy {
namespace {

constexpr char kModule[] = "proxy";
constexpr double kRankFalls = 0.5;    // worth of a rank beside the next more urgent one
constexpr double kBulkValue = 0.001;  // less than that of any live rank
constexpr double kLateValue = 0.4;    // share of the worth of an answer after its objective
constexpr Micros kBulkTarget = 2 * kSecond;
constexpr double kConnectPrice = 0.01;              // open connections are preferred
constexpr Micros kNoProgressTimeout = 2 * kSecond;  // streams under way are told of this often
constexpr Micros kRetryFirst = 100 * kMs;  // a refused client comes back after this, and more for
constexpr Micros kRetryEach = 5 * kMs;     // each job that waits here
constexpr Micros kRetryLast = kSecond;
constexpr std::size_t kMaxClasses = 64;     // then those that no job uses now are dropped
constexpr Micros kOutFor = 3600 * kSecond;  // an attempt under way is not ended by the module

dispatch::LoadReport ReportOf(const WorkerLoad& load) {
  dispatch::LoadReport report;
  report.free_slots = std::max(0.0, load.slots - load.running - load.waiting);
  report.in_flight = load.running + load.waiting;
  return report;
}

}  // namespace

PoolDispatcher::PoolDispatcher(Timers* timers, ServiceWorkers* workers, std::string service,
                               std::uint64_t seed)
    : timers_(timers), workers_(workers), service_(std::move(service)), seed_(seed) {}

PoolDispatcher::~PoolDispatcher() {
  timers_->Cancel(&turn_);
  timers_->Cancel(&timer_);
}

void PoolDispatcher::SetFleetPosition(FleetPosition share) {
  if (share == position_) return;
  position_ = share;
  rebuild_ = true;
  ArmTurn();
}

void PoolDispatcher::OnWorkers(std::vector<dispatch::WorkerEntry> changes) {
  if (changes.empty() || rebuild_) return;  // a new module is told of all
  dispatch::WorkerList list;
  list.entries = std::move(changes);
  Post(std::move(list));
  TeachSlots();
}

// ---------------------------------------------------------------- placements

PlacementId PoolDispatcher::Enqueue(const Placement& placement, PlacementClient* client) {
  const PlacementId id = ++last_;
  Open& open = open_[id];
  open.placement = placement;
  open.client = client;
  open.number = ClassNumber(placement.traffic_class);
  ++(placement.traffic_class.bulk ? queued_bulk_ : queued_live_);
  if (rebuild_)
    ArmTurn();
  else
    PostArrival(id, open);
  return id;
}

void PoolDispatcher::PostArrival(PlacementId id, const Open& open) {
  dispatch::RequestArrived arrived;
  arrived.request = id;
  arrived.cls = open.number;
  arrived.due = open.placement.due;
  arrived.preferred = open.placement.preferred;
  Post(std::move(arrived));
}

void PoolDispatcher::Withdraw(PlacementId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  if (!rebuild_) Post(dispatch::RequestAbandoned{id});
  RemoveQueued(found->second);
  open_.erase(found);
}

void PoolDispatcher::OnResponseBegun(PlacementId id) {
  const auto found = open_.find(id);
  if (found == open_.end() || std::exchange(found->second.began, true)) return;
  Post(dispatch::StreamBegan{id, 0, found->second.worker});
}

void PoolDispatcher::OnProgress(PlacementId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  Post(dispatch::AttemptProgress{id, 0, found->second.worker, 0});
}

// The module weighs what a worker told of others' jobs only as a probe's word.
void PoolDispatcher::OnLoadReport(dispatch::WorkerId worker, const WorkerLoad& load) {
  Post(dispatch::ProbeEnded{worker, true, ReportOf(load)});
}

// A placement is over with its one attempt; the job places itself anew if it goes on.
void PoolDispatcher::OnEnded(PlacementId id, dispatch::Outcome outcome, Micros latency,
                             const std::optional<WorkerLoad>& load) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  dispatch::AttemptEnded ended;
  ended.request = id;
  ended.worker = found->second.worker;
  ended.outcome = outcome;
  ended.latency = latency;
  ended.settled = true;
  if (load) ended.load = ReportOf(*load);
  if (!rebuild_) {
    Post(ended);
    if (load) OnLoadReport(ended.worker, *load);
  }
  open_.erase(found);
}

void PoolDispatcher::RemoveQueued(const Open& open) {
  if (!open.out) --(open.placement.traffic_class.bulk ? queued_bulk_ : queued_live_);
}

// ---------------------------------------------------------------- turns

void PoolDispatcher::Post(dispatch::Event event) {
  if (rebuild_) return;  // all is told anew
  events_.push_back(std::move(event));
  ArmTurn();
}

void PoolDispatcher::ArmTurn() {
  if (turn_ != 0) return;
  turn_ = timers_->After(0, [this] {
    turn_ = 0;
    Turn();
  });
}

void PoolDispatcher::SetTimer(Micros at) {
  timers_->Cancel(&timer_);
  timer_ = timers_->After(at - Now(), [this] {
    timer_ = 0;
    Turn();
  });
}

void PoolDispatcher::Turn() {
  const Micros now = Now();
  timers_->Cancel(&turn_);
  if (rebuild_) Rebuild(now);
  const std::vector<dispatch::Event> events = std::exchange(events_, {});
  actions_.clear();
  dispatcher_->Handle(now, events, &actions_);
  const std::vector<dispatch::Action> actions = std::exchange(actions_, {});
  for (const dispatch::Action& action : actions) Apply(action);
}

// A new module takes over: it is told of all workers, what the old one has learned, what waits and
// what is out.
void PoolDispatcher::Rebuild(Micros now) {
  events_.clear();
  rebuild_ = false;
  dispatch::Knowledge learned = Learned(now);
  if (classes_.size() > kMaxClasses) {
    DropUnusedClasses();
    learned.classes.clear();  // their numbers are others now
  }
  timers_->Cancel(&timer_);
  dispatcher_.emplace(MakeSettings(), seed_, now);
  dispatch::WorkerList list;
  list.form = dispatch::WorkerList::Form::kComplete;
  list.entries = workers_->Everything();
  events_.emplace_back(std::move(list));
  if (!learned.pools.empty()) events_.emplace_back(std::move(learned));
  reported_slots_ = 0;
  TeachSlots();
  for (auto& [id, open] : open_) {
    PostArrival(id, open);
    if (!open.out) continue;
    std::get<dispatch::RequestArrived>(events_.back()).due =
        std::max(now, open.placement.due) + kOutFor;
    events_.emplace_back(dispatch::AttemptAdopted{id, open.worker, open.sent, true,
                                                  dispatch::AttemptAdopted::State::kInFlight});
    if (open.began) events_.emplace_back(dispatch::StreamBegan{id, 0, open.worker});
  }
}

// What outlives a module's replacement here. The first module starts from a limit of zero; a later
// one takes on the limit as it stands, which jobs served and backlog have raised and refusals cut.
dispatch::Knowledge PoolDispatcher::Learned(Micros now) const {
  dispatch::Knowledge learned;
  if (!dispatcher_) return learned;
  learned = dispatcher_->Learned(now);
  for (dispatch::PoolKnowledge& pool : learned.pools) pool.proven_limit = pool.limit;
  return learned;
}

// The module counts slots by what workers tell; the registry knows them before any has answered.
void PoolDispatcher::TeachSlots() {
  if (!workers_->largest() || workers_->largest_capacity() <= reported_slots_) return;
  reported_slots_ = workers_->largest_capacity();
  dispatch::ProbeEnded load_report{*workers_->largest(), true, {}};
  load_report.load.free_slots = reported_slots_;
  events_.emplace_back(load_report);
}

void PoolDispatcher::Apply(const dispatch::Action& action) {
  if (const auto* send = std::get_if<dispatch::Send>(&action)) {
    Place(*send);
  } else if (const auto* refuse = std::get_if<dispatch::Refuse>(&action)) {
    Refuse(*refuse);
  } else if (const auto* fail = std::get_if<dispatch::Fail>(&action)) {
    Refuse({fail->request, 0});
  } else if (const auto* timer = std::get_if<dispatch::SetTimer>(&action)) {
    SetTimer(timer->at);
  } else if (const auto* line = std::get_if<dispatch::LogLine>(&action)) {
    LogDecision(*line);
  }
  // The settings allow no probe, subscription or cancel.
}

void PoolDispatcher::Place(const dispatch::Send& send) {
  const auto found = open_.find(send.request);
  if (found == open_.end() || found->second.out) return;
  Open& open = found->second;
  RemoveQueued(open);
  open.out = true;
  open.worker = send.worker;
  open.sent = Now();
  open.client->OnPlaced(send.request, send.worker);
}

void PoolDispatcher::Refuse(const dispatch::Refuse& refuse) {
  const auto found = open_.find(refuse.request);
  if (found == open_.end() || found->second.out) return;
  PlacementClient* client = found->second.client;
  RemoveQueued(found->second);
  open_.erase(found);
  client->OnRefused(refuse.request, refuse.retry_after > 0 ? refuse.retry_after : RetryAfter());
}

bool PoolDispatcher::limit_grows() const {
  if (limit_cut_ || !dispatcher_) return !limit_cut_;
  return dispatcher_->PoolLimit(0) < workers_->ready_slots() / position_.nodes;
}

void PoolDispatcher::LogDecision(const dispatch::LogLine& line) {
  using Kind = dispatch::LogLine::Kind;
  if (line.kind == Kind::kLimitCut) {
    limit_cut_ = true;
    logging::Info(kModule, "limit cut",
                  {logging::F("service", service_), logging::F("slots", line.value)});
  } else if (line.kind == Kind::kShedding) {
    logging::Info(kModule, "refusing",
                  {logging::F("service", service_), logging::F("refused", line.value)});
  } else if (line.kind == Kind::kWorkerSilent || line.kind == Kind::kWorkerRecovered) {
    const ServiceWorker* worker = workers_->Find(line.worker);
    if (worker == nullptr) return;
    const bool no_progress = line.kind == Kind::kWorkerSilent;
    logging::Info(
        kModule, no_progress ? "worker silent" : "worker back",
        {logging::F("service", service_), logging::F("worker", worker->record.worker_id)});
  }
}

// ---------------------------------------------------------------- settings

int PoolDispatcher::ClassNumber(const TrafficClass& traffic_class) {
  const auto found = std::find(classes_.begin(), classes_.end(), traffic_class);
  if (found != classes_.end()) return static_cast<int>(found - classes_.begin());
  classes_.push_back(traffic_class);
  rebuild_ = true;
  ArmTurn();
  return static_cast<int>(classes_.size()) - 1;
}

// Configurations come and go, and each may bring classes of its own.
void PoolDispatcher::DropUnusedClasses() {
  classes_.clear();
  for (auto& [id, open] : open_) open.number = ClassNumber(open.placement.traffic_class);
  rebuild_ = false;  // this is the new module's making
}

dispatch::Settings PoolDispatcher::MakeSettings() const {
  dispatch::Settings settings;
  settings.balancers = std::max(position_.nodes, 1);
  settings.self = std::clamp(position_.self, 0, settings.balancers - 1);
  for (const TrafficClass& traffic_class : classes_) {
    dispatch::ClassSettings cls;
    // Each placement is sent once; the job repeats.
    cls.effect = dispatch::Effect::kRepeatable;
    cls.latency_target =
        traffic_class.bulk ? kBulkTarget : std::max<Micros>(traffic_class.target, kMs);
    // A stream's objective is its first event, while its work is all of it.
    cls.latency_target_stretch = traffic_class.streamed || traffic_class.bulk ? 1 : 0;
    cls.value = traffic_class.bulk ? kBulkValue : std::pow(kRankFalls, traffic_class.rank);
    cls.late_value = traffic_class.bulk ? 1 : kLateValue;
    cls.kind = 0;
    settings.classes.push_back(cls);
  }
  if (settings.classes.empty()) settings.classes.emplace_back();
  settings.value_by_work = true;
  settings.weighted_workers = true;
  settings.retry_after = true;
  settings.progress_interval = kNoProgressTimeout;
  settings.connect_price = kConnectPrice;
  settings.connection_idle = kKeepIdle;
  return settings;
}

Micros PoolDispatcher::RetryAfter() {
  const Micros wait = std::min(kRetryFirst + kRetryEach * queued_live_, kRetryLast);
  seed_ = seed_ * 6364136223846793005u + 1442695040888963407u;
  const Micros spread = static_cast<Micros>((seed_ >> 33) % static_cast<std::uint64_t>(wait));
  return wait * 3 / 4 + spread / 2;  // from three quarters to five quarters of it
}

}  // namespace pearreach::proxy
