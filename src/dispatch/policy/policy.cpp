// The top layer of the policy: the call that takes events, the pump that sends, the periodic check,
// and what is made of an earlier process's knowledge. Interface:
// include/pearreach::dispatch/dispatcher.h, the layers below: bookkeeping.h, source:
// docs/design.md.
#include <algorithm>

#include "dispatch/policy/attempts.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {
namespace {

constexpr Micros kHeldPeriod = 25 * kMs;  // the check while jobs wait
constexpr double kQuotaBurst = 2.0;       // seconds of its quota that a tenant may use at once

}  // namespace

class Dispatcher::Impl : public Attempts {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now) {
    Configure(settings, seed, now);
    subscribe_wait_ = kSubscribeFirst;
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
    RunDue();
    if (now_ >= next_check_) Check();
    Pump();
    ArmTimer(held_ > 0 ? kHeldPeriod : kOutPeriod);
  }

 private:
  using Attempts::On;
  void On(const TimerFired&) {}
  void On(const PeerMessage&) {}

  // An earlier process's word, weighed by its age: evidence until this one hears for itself.
  void On(const Knowledge& k) {
    for (const PoolKnowledge& e : k.pools) {
      Pool* p = Numbered(pools_, e.pool);
      if (p == nullptr || p->last_cut != kLongAgo || e.mean_work <= 0) continue;
      p->limit =
          std::max(p->limit, std::min(e.limit, e.proven_limit));  // no further than what worked
      p->slots_seen = std::max(p->slots_seen, e.slots_seen);
      p->ran = e.mean_running, p->worked = e.mean_work, p->tell = e.start_report_delay;
      p->slowdown = std::clamp(p->ran / p->worked, 0.1, 10.0);
    }
    for (const ClassKnowledge& e : k.classes)
      if (ClassState* c = Numbered(classes_, e.cls); c != nullptr && e.work > 0) c->work = e.work;
    for (const TenantKnowledge& e : k.tenants)
      if (Bucket* b = Numbered(quota_, e.tenant)) b->left = std::min(b->left, e.tokens);
    for (const WorkerKnowledge& e : k.workers) {
      Worker* w = Numbered(workers_, e.worker);
      if (w == nullptr || !w->known || w->heard > 0) continue;
      w->recalled = true;
      w->slowness = std::clamp(e.slowness, 1 / kSlowest, kSlowest);
      w->failures = e.failures;
      w->died_at = std::max(w->died_at, e.died_at);
      for (const auto& [at, work] : e.cold_sends) w->cold_sends.Add(work, at);
      if (e.silent) SetSilent(*w, true);
    }
  }

  void Pump() {
    for (Queue& q : queues_) q.passed = 0;
    while (held_ > 0) {
      Queue* best = MostWorth();
      if (best == nullptr) return;
      Request& r = *best->Next(kLookahead, table_);
      const WorkerId* w = Pick(r);
      if (observer_ != nullptr) Show(r, w);
      if (w == nullptr)
        ++best->passed;
      else
        SendTo(r, *w);
    }
  }

  void Check() {
    for (Pool& p : pools_) {
      RaiseForBacklog(p);
      DropUnused(p);
      for (const Member& m : p.used)
        if (!workers_[m.id].out.empty()) CheckWorker(workers_[m.id]);
    }
    WeighClasses();
    if (now_ >= subscribe_at_) {
      subscribe_at_ = kNever;
      Act(Subscribe{});
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
