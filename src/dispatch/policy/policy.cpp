// The top layer of the policy: the processing of events, the sending of queued jobs, the periodic
// check, and the use of the knowledge of an earlier process. See include/pearreach/dispatcher.h for
// the interface, bookkeeping.h for the layers below, and docs/design.md for the design.
#include <algorithm>

#include "dispatch/policy/attempts.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {
namespace {

constexpr Micros kQueuedCheckInterval = 25 * kMs;  // period of the check while jobs are queued
constexpr double kQuotaBurst = 2.0;  // seconds of its quota that a tenant may use in a burst

}  // namespace

class Dispatcher::Impl : public Attempts {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now) {
    Configure(settings, seed, now);
    subscribe_wait_ = kSubscribeBackoffMin;
    if (s_.must_subscribe) subscribe_at_ = now;
    for (const TenantSettings& t : s_.tenants) {
      const double rate = t.quota_per_s / s_.balancers, burst = std::max(1.0, kQuotaBurst * rate);
      quota_.push_back({burst, burst, rate, now});
    }
  }

  void Handle(Micros now, std::span<const Event> events, std::vector<Action>* actions) {
    now_ = std::max(now_, now);
    actions_ = actions;
    for (const Event& e : events) std::visit([this](const auto& v) { On(v); }, e);
    ProcessDue();
    if (now_ >= next_check_) Check();
    SendQueued();
    ArmTimer(queued_ > 0 ? kQueuedCheckInterval : kInFlightCheckInterval);
  }

 private:
  using Attempts::On;
  void On(const TimerFired&) {}
  void On(const PeerMessage&) {}

  // Restores the knowledge of an earlier process, discounted by its age. It counts until this
  // process has evidence of its own.
  void On(const Knowledge& k) {
    for (const PoolKnowledge& e : k.pools) {
      Pool* p = ItemAt(pools_, e.pool);
      if (p == nullptr || p->last_cut != kLongAgo || e.mean_work <= 0) continue;
      // The limit is restored only as far as it has proven to work.
      p->limit = std::max(p->limit, std::min(e.limit, e.proven_limit));
      p->slots_seen = std::max(p->slots_seen, e.slots_seen);
      p->mean_running = e.mean_running, p->mean_work = e.mean_work,
      p->start_report_delay = e.start_report_delay;
      p->slowdown = std::clamp(p->mean_running / p->mean_work, 0.1, 10.0);
    }
    for (const ClassKnowledge& e : k.classes)
      if (ClassState* c = ItemAt(classes_, e.cls); c != nullptr && e.work > 0) c->work = e.work;
    for (const TenantKnowledge& e : k.tenants)
      if (TokenBucket* b = ItemAt(quota_, e.tenant)) b->tokens = std::min(b->tokens, e.tokens);
    for (const WorkerKnowledge& e : k.workers) {
      Worker* w = ItemAt(workers_, e.worker);
      if (w == nullptr || !w->listed || w->last_response > 0) continue;
      w->restored = true;
      w->slowness = std::clamp(e.slowness, 1 / kMaxSlowness, kMaxSlowness);
      w->failures = e.failures;
      w->died_at = std::max(w->died_at, e.died_at);
      for (const auto& [at, work] : e.cold_sends) w->cold_sends.Add(work, at);
      if (e.silent) SetSilent(*w, true);
    }
  }

  // Sends queued jobs, the most valuable first, until no more can be placed.
  void SendQueued() {
    for (Queue& q : queues_) q.skipped = 0;
    while (queued_ > 0) {
      Queue* best = MostValuableQueue();
      if (best == nullptr) return;
      Request& r = *best->Next(kQueueLookahead, table_);
      const WorkerId* w = ChooseWorker(r);
      if (observer_ != nullptr) ReportChoice(r, w);
      if (w == nullptr)
        ++best->skipped;
      else
        SendTo(r, *w);
    }
  }

  // The periodic check of pools and workers.
  void Check() {
    for (Pool& p : pools_) {
      RaiseForBacklog(p);
      DropUnused(p);
      for (const Member& m : p.used)
        if (!workers_[m.id].in_flight.empty()) CheckWorker(workers_[m.id]);
    }
    UpdateClassWeights();
    if (now_ >= subscribe_at_) {
      subscribe_at_ = kNever;
      Emit(Subscribe{});
    }
    if (refused_ > 0 && Log({LogLine::Kind::kShedding, 0, 0, static_cast<double>(refused_)}))
      refused_ = 0;
  }
};

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::Handle(Micros now, std::span<const Event> events, std::vector<Action>* actions) {
  impl_->Handle(now, events, actions);
}
void Dispatcher::Observe(Observer* observer) { impl_->Observe(observer); }
State& Dispatcher::state() const { return *impl_; }

}  // namespace pearreach::dispatch
