#include "tier/proxy/pool_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "tier/logging/log.h"

namespace pearreach::proxy {
namespace {

constexpr char kModule[] = "proxy";
constexpr double kValuePerRank = 0.5;  // value relative to the next more urgent rank
constexpr double kBulkValue = 0.001;   // lower than the value of any rank of live requests
constexpr double kLateValue = 0.4;  // fraction of the value of a response after its latency target
constexpr Micros kBulkTarget = 2 * kSecond;
// Open connections are preferred.
constexpr double kConnectCost = 0.01;
// Streams report their progress at least this often.
constexpr Micros kNoProgressTimeout = 2 * kSecond;
// Retry-After of a refusal: the base plus a delay for each queued live request, up to the maximum.
constexpr Micros kRetryAfterBase = 100 * kMs;
constexpr Micros kRetryAfterPerQueued = 5 * kMs;
constexpr Micros kMaxRetryAfter = kSecond;
constexpr std::size_t kMaxClasses = 64;  // above this, unused classes are removed
// Keeps the dispatcher from ending an attempt that is in flight.
constexpr Micros kInFlightDeadlineExtension = 3600 * kSecond;

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
  timers_->Cancel(&run_timer_);
  timers_->Cancel(&decision_timer_);
}

void PoolDispatcher::SetFleetPosition(FleetPosition position) {
  if (position == position_) return;
  position_ = position;
  rebuild_needed_ = true;
  ScheduleRun();
}

void PoolDispatcher::OnWorkers(std::vector<dispatch::WorkerEntry> changes) {
  if (changes.empty() || rebuild_needed_) return;  // Rebuild adds all workers
  dispatch::WorkerList list;
  list.entries = std::move(changes);
  Post(std::move(list));
  ReportLargestCapacity();
}

// ---------------------------------------------------------------- placements

PlacementId PoolDispatcher::Enqueue(const Placement& placement, PlacementClient* client) {
  const PlacementId id = ++last_id_;
  OpenPlacement& open = open_[id];
  open.placement = placement;
  open.client = client;
  open.class_index = ClassIndex(placement.traffic_class);
  ++(placement.traffic_class.bulk ? queued_bulk_ : queued_live_);
  if (rebuild_needed_)
    ScheduleRun();
  else
    PostArrival(id, open);
  return id;
}

void PoolDispatcher::PostArrival(PlacementId id, const OpenPlacement& open) {
  dispatch::RequestArrived arrived;
  arrived.request = id;
  arrived.cls = open.class_index;
  arrived.due = open.placement.deadline;
  arrived.preferred = open.placement.preferred;
  Post(std::move(arrived));
}

void PoolDispatcher::Withdraw(PlacementId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  if (!rebuild_needed_) Post(dispatch::RequestAbandoned{id});
  RemoveQueued(found->second);
  open_.erase(found);
}

void PoolDispatcher::OnResponseBegun(PlacementId id) {
  const auto found = open_.find(id);
  if (found == open_.end() || std::exchange(found->second.response_begun, true)) return;
  Post(dispatch::StreamBegan{id, 0, found->second.worker});
}

void PoolDispatcher::OnProgress(PlacementId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  Post(dispatch::AttemptProgress{id, 0, found->second.worker, 0});
}

// Posted as a probe result, because the dispatcher counts the load from requests of other nodes
// only in probe results.
void PoolDispatcher::OnLoadReport(dispatch::WorkerId worker, const WorkerLoad& load) {
  Post(dispatch::ProbeEnded{worker, true, ReportOf(load)});
}

// A placement covers one attempt; a retry enqueues a new placement.
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
  if (!rebuild_needed_) {
    Post(ended);
    if (load) OnLoadReport(ended.worker, *load);
  }
  open_.erase(found);
}

void PoolDispatcher::RemoveQueued(const OpenPlacement& open) {
  if (!open.placed) --(open.placement.traffic_class.bulk ? queued_bulk_ : queued_live_);
}

// ---------------------------------------------------------------- event handling

void PoolDispatcher::Post(dispatch::Event event) {
  if (rebuild_needed_) return;  // Rebuild posts the whole state
  events_.push_back(std::move(event));
  ScheduleRun();
}

void PoolDispatcher::ScheduleRun() {
  if (run_timer_ != 0) return;
  run_timer_ = timers_->After(0, [this] {
    run_timer_ = 0;
    Run();
  });
}

void PoolDispatcher::SetTimer(Micros at) {
  timers_->Cancel(&decision_timer_);
  decision_timer_ = timers_->After(at - Now(), [this] {
    decision_timer_ = 0;
    Run();
  });
}

void PoolDispatcher::Run() {
  const Micros now = Now();
  timers_->Cancel(&run_timer_);
  if (rebuild_needed_) Rebuild(now);
  const std::vector<dispatch::Event> events = std::exchange(events_, {});
  actions_.clear();
  dispatcher_->Handle(now, events, &actions_);
  const std::vector<dispatch::Action> actions = std::exchange(actions_, {});
  for (const dispatch::Action& action : actions) Apply(action);
}

// Creates a new dispatcher and passes it all workers, the old one's learned state, and the queued
// and in-flight placements.
void PoolDispatcher::Rebuild(Micros now) {
  events_.clear();
  rebuild_needed_ = false;
  dispatch::Knowledge learned = LearnedKnowledge(now);
  if (classes_.size() > kMaxClasses) {
    DropUnusedClasses();
    learned.classes.clear();  // the class indices have changed
  }
  timers_->Cancel(&decision_timer_);
  dispatcher_.emplace(MakeSettings(), seed_, now);
  dispatch::WorkerList list;
  list.form = dispatch::WorkerList::Form::kComplete;
  list.entries = workers_->AllEntries();
  events_.emplace_back(std::move(list));
  if (!learned.pools.empty()) events_.emplace_back(std::move(learned));
  reported_capacity_ = 0;
  ReportLargestCapacity();
  for (auto& [id, open] : open_) {
    PostArrival(id, open);
    if (!open.placed) continue;
    std::get<dispatch::RequestArrived>(events_.back()).due =
        std::max(now, open.placement.deadline) + kInFlightDeadlineExtension;
    events_.emplace_back(dispatch::AttemptAdopted{id, open.worker, open.placed_at, true,
                                                  dispatch::AttemptAdopted::State::kInFlight});
    if (open.response_begun) events_.emplace_back(dispatch::StreamBegan{id, 0, open.worker});
  }
}

// State that a new dispatcher takes over. The first dispatcher starts with a limit of zero; later
// ones start with the current limit, which served requests and backlog raise and refusals reduce.
dispatch::Knowledge PoolDispatcher::LearnedKnowledge(Micros now) const {
  dispatch::Knowledge learned;
  if (!dispatcher_) return learned;
  learned = dispatcher_->Learned(now);
  for (dispatch::PoolKnowledge& pool : learned.pools) pool.proven_limit = pool.limit;
  return learned;
}

// The dispatcher learns slot counts from load reports. The registry knows the capacities before any
// worker has responded, so the largest one is reported as a probe result.
void PoolDispatcher::ReportLargestCapacity() {
  if (!workers_->largest() || workers_->largest_capacity() <= reported_capacity_) return;
  reported_capacity_ = workers_->largest_capacity();
  dispatch::ProbeEnded load_report{*workers_->largest(), true, {}};
  load_report.load.free_slots = reported_capacity_;
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
  // Other actions (probe, subscription, cancel) are disabled by the settings.
}

void PoolDispatcher::Place(const dispatch::Send& send) {
  const auto found = open_.find(send.request);
  if (found == open_.end() || found->second.placed) return;
  OpenPlacement& open = found->second;
  RemoveQueued(open);
  open.placed = true;
  open.worker = send.worker;
  open.placed_at = Now();
  open.client->OnPlaced(send.request, send.worker);
}

void PoolDispatcher::Refuse(const dispatch::Refuse& refuse) {
  const auto found = open_.find(refuse.request);
  if (found == open_.end() || found->second.placed) return;
  PlacementClient* client = found->second.client;
  RemoveQueued(found->second);
  open_.erase(found);
  client->OnRefused(refuse.request, refuse.retry_after > 0 ? refuse.retry_after : RetryAfter());
}

bool PoolDispatcher::IsLimitGrowing() const {
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

int PoolDispatcher::ClassIndex(const TrafficClass& traffic_class) {
  const auto found = std::find(classes_.begin(), classes_.end(), traffic_class);
  if (found != classes_.end()) return static_cast<int>(found - classes_.begin());
  classes_.push_back(traffic_class);
  rebuild_needed_ = true;
  ScheduleRun();
  return static_cast<int>(classes_.size()) - 1;
}

// New configurations may add classes, so unused ones are removed.
void PoolDispatcher::DropUnusedClasses() {
  classes_.clear();
  for (auto& [id, open] : open_) open.class_index = ClassIndex(open.placement.traffic_class);
  rebuild_needed_ = false;  // ClassIndex has set it, and the rebuild is already running
}

dispatch::Settings PoolDispatcher::MakeSettings() const {
  dispatch::Settings settings;
  settings.balancers = std::max(position_.nodes, 1);
  settings.self = std::clamp(position_.self, 0, settings.balancers - 1);
  for (const TrafficClass& traffic_class : classes_) {
    dispatch::ClassSettings cls;
    // Each placement is sent once; retries are decided by ActiveRequest.
    cls.effect = dispatch::Effect::kRepeatable;
    cls.latency_target =
        traffic_class.bulk ? kBulkTarget : std::max<Micros>(traffic_class.target, kMs);
    // A stream's latency target applies to its first event, while its work covers all events.
    cls.latency_target_stretch = traffic_class.streamed || traffic_class.bulk ? 1 : 0;
    cls.value = traffic_class.bulk ? kBulkValue : std::pow(kValuePerRank, traffic_class.rank);
    cls.late_value = traffic_class.bulk ? 1 : kLateValue;
    cls.kind = 0;
    settings.classes.push_back(cls);
  }
  if (settings.classes.empty()) settings.classes.emplace_back();
  settings.value_by_work = true;
  settings.weighted_workers = true;
  settings.retry_after = true;
  settings.progress_interval = kNoProgressTimeout;
  settings.connect_price = kConnectCost;
  settings.connection_idle = kMaxIdleTime;
  return settings;
}

Micros PoolDispatcher::RetryAfter() {
  const Micros wait =
      std::min(kRetryAfterBase + kRetryAfterPerQueued * queued_live_, kMaxRetryAfter);
  seed_ = seed_ * 6364136223846793005u + 1442695040888963407u;
  const Micros spread = static_cast<Micros>((seed_ >> 33) % static_cast<std::uint64_t>(wait));
  return wait * 3 / 4 + spread / 2;  // jitter: 0.75 to 1.25 times `wait`
}

}  // namespace pearreach::proxy
