// The decisions of marlquay, all of them; interface: include/marlquay/dispatcher.h, memory:
// state.h, source: docs/design.md. Order: constants; the rules' gate; workers and their health; the
// slot limit; arrival, order and end of requests; the pump that sends; the periodic check.
#include <algorithm>
#include <cmath>
#include <limits>

#include "marlquay/dispatcher.h"
#include "module/state.h"

namespace marlquay {
namespace {

constexpr Micros kMs = 1000;
constexpr int kQueuesPerClass = 2;  // in share or over it

// --- The slot limit of a pool.
constexpr double kGrowSlow = 0.25;     // limit gained by a success, per slot of the job
constexpr double kGrowFast = 1.0;      // the same after a spell without refusals
constexpr Micros kSpell = 2000 * kMs;  // length of that spell
constexpr int kRefusalRun = 3;         // consecutive refusals that cut the limit
constexpr double kCutMargin = 0.85;    // the cut goes to this share of the highest value found
constexpr double kCutPart = 1.2;       // and to no more than so many parts of all slots
constexpr double kBacklogRaise = 1.5;  // slots a worker gained, over all nodes, by a check with
constexpr double kSpellRaise = 0.05;   // jobs waiting; this share of it within the spell
constexpr double kAhead = 2.0;  // successes raise it to this times the value found: it must bind
constexpr Micros kCheckPeriod = 25 * kMs;   // the check while jobs wait
constexpr Micros kStartPeriod = 100 * kMs;  // the check while a start or a silent worker is awaited
constexpr Micros kHealthPeriod = 100 * kMs;  // the check while jobs only run

// --- The pick.
constexpr int kSample = 4;                   // workers looked at for one job
constexpr double kRemoteCost = 0.5;          // slots that another zone counts for
constexpr double kPricedRemote = 2;          // the same where going there has a price
constexpr std::size_t kLocalLooks = 32;      // workers of this zone looked at for room
constexpr double kTakenLearn = 0.1;          // weight of a report of the slots in use at a worker
constexpr Micros kTakenMemory = 1000 * kMs;  // what was told fades over this
constexpr std::size_t kLookahead = 8;  // held jobs of one queue tried when its newest must wait
constexpr double kKeyPlaces = 2;       // workers in a key's own order looked at first, and
constexpr double kKeySpread = 4;       // times the key's part of the work, of all workers
constexpr Micros kKeyMemory = 10'000 * kMs;  // the part fades over this
constexpr double kKeyDoubt = 10;  // jobs of doubt: a node that saw few jobs knows no key's part
constexpr Micros kKeyWait = 1000 * kMs;    // one more worker for each of these waited
constexpr Micros kHomeProbe = 2000 * kMs;  // the node's own workers are probed this often

constexpr Micros kAskWait = 40 * kMs;  // probes of a keyed job are waited for this long
constexpr double kFetchCost = 2;       // a place past the key's own, in workers full of jobs

// --- The price of a slot.
constexpr double kPriceJobs = 40;  // the price fades over so many arrivals at this node, within
constexpr Micros kPriceFirst = 2000 * kMs;   // these bounds: a node of few jobs is told seldom that
constexpr Micros kPriceLast = 16'000 * kMs;  // slots are short
constexpr double kPriceShare = 0.4;          // jobs worth less than this share of it are not sent

// --- Evidence about workers.
constexpr Micros kStartGrace = 100 * kMs;   // a start later than this (or a connect) is a refusal
constexpr Micros kMissedLast = 1000 * kMs;  // a job not taken by then never will be
constexpr double kTellMost = 5000, kTellRise = 10;  // a start's word is so long on its way, at most
constexpr double kSilentPeriods = 2.5;              // progress periods without a word: silent
constexpr Micros kSilentDefault = 5000 * kMs;       // the same where no progress is told
constexpr Micros kTrialFirst = 250 * kMs;  // first trial or probe of a worker out of the sample
constexpr Micros kTrialLast = 4000 * kMs;  // the wait doubles up to this

constexpr double kFailureLearn = 0.2;  // weight of one job that a worker served or failed
constexpr double kFirstFailure = 0.7;  // of the first one where an earlier process's word stands
constexpr double kFirstSpeed = 0.25;   // likewise, for its speed: running times scatter
constexpr double kSick = 0.3;          // a worker that fails more than this share is on trial

constexpr Micros kFullFirst = 40 * kMs;  // a full worker's rest, for each balancer: the
constexpr Micros kFullLast = 500 * kMs;  // nodes' trials add up; it doubles up to this

// --- Cold workers.
constexpr double kColdSafety = 0.5;    // share of the rule's budget that is used
constexpr double kColdUnhinted = 2.0;  // a job without a hint counts for this many mean jobs

// --- Learning of work, speed and service.
constexpr double kLearn = 0.05;   // weight of one finished job
constexpr double kSlowest = 3.0;  // a worker counts for no slower, nor faster than 1 over it
constexpr double kOutlier = 4.0;  // a job counts for no more than this many expected ones
constexpr Micros kServiceMemory = 8000 * kMs;  // served shares of classes fade over this
constexpr double kWorstGap = 0.1;    // a class this far behind gets the full worst-class weight
constexpr double kQuotaBurst = 2.0;  // seconds of its quota that a tenant may use at once

// --- Answers and calls.
constexpr Micros kFirstTry = 50 * kMs;         // estimates refuse nothing sooner than this
constexpr Micros kAnswerMargin = 2 * kMs;      // final answers go out this long before the deadline
constexpr Micros kSubscribeRetry = 250 * kMs;  // first wait after a failed call of the list
constexpr Micros kLogEvery = 1000 * kMs;       // no log line of one kind sooner than this

}  // namespace

class Dispatcher::Impl : public State {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now) : s_(settings) {
    random_ = seed;
    now_ = now;
    subscribe_wait_ = kSubscribeRetry;
    logged_.fill(-kLogEvery);
    pools_.resize(s_.kinds);
    classes_.resize(s_.classes.size());
    for (std::size_t c = 0; c < classes_.size(); ++c)
      classes_[c].work = static_cast<double>(std::max<Micros>(s_.classes[c].aim, kMs));
    queues_.resize(kQueuesPerClass * classes_.size());
    for (Pool& p : pools_) p.ran = p.worked = classes_[0].work;
    NoteRepeats(s_);
    for (const TenantSettings& t : s_.tenants) {
      const double rate = t.quota_per_s / s_.balancers, burst = std::max(1.0, kQuotaBurst * rate);
      quota_.push_back({burst, burst, rate, now});
    }
    silent_after_ = s_.progress_every > 0 ? static_cast<Micros>(kSilentPeriods * s_.progress_every)
                                          : kSilentDefault;
    start_grace_ = std::max(kStartGrace, s_.connect_timeout);
    if (s_.must_subscribe) subscribe_at_ = now;
  }

  void Handle(Micros now, std::span<const Event> events, std::vector<Action>* actions) {
    now_ = std::max(now_, now);
    actions_ = actions;
    for (const Event& e : events) std::visit([this](const auto& v) { On(v); }, e);
    RunDue();
    if (now_ >= next_check_) Check();
    Pump();
    Arm();
  }

  // ------------------------------------------------------------ the rules' gate

  // Guards all four rules' send and answer parts: whoever sends, refuses or fails asks here alone.
  Permit PermitFor(const Request& r) const {
    Permit p;
    if (r.ended) return p;
    const ClassSettings& c = s_.classes[r.cls];
    const Attempt* risky = nullptr;  // the earliest attempt that may have run
    for (const Attempt& a : r.attempts)
      if (a.ran != Ran::kNo && risky == nullptr) risky = &a;
    p.refuse = risky == nullptr || c.effect == Effect::kRepeatable ||
               (c.effect == Effect::kByKey && c.key_scope == KeyScope::kAll);
    p.send = now_ < r.due - kAnswerMargin && static_cast<int>(r.attempts.size()) < s_.try_limit &&
             (r.out == 0 || s_.may_duplicate);
    if (risky == nullptr || c.effect == Effect::kRepeatable) return p;
    p.group = risky;
    p.send = p.send && c.effect == Effect::kByKey && now_ < risky->sent + c.key_window;
    return p;
  }

  bool InGroup(const Request& r, const Permit& p, const Worker& w) const {
    const KeyScope scope = s_.classes[r.cls].key_scope;
    if (p.group == nullptr || scope == KeyScope::kAll) return true;
    return w.entry.zone == p.group->zone &&
           (scope == KeyScope::kZone || w.entry.cell == p.group->cell);
  }

  void SendTo(Request& r, WorkerId id) {
    Worker& w = workers_[id];
    Book(r, id, now_);
    if (IsCold(w)) w.cold_sends.Add(ColdWork(r), now_);
    if (w.silent || w.blocked_until > 0) BackOff(w);
    Act(Send{r.id, id});
  }

  // An attempt is out at a worker.
  void Book(Request& r, WorkerId id, Micros sent) {
    Worker& w = workers_[id];
    Pool& pool = PoolOf(w);
    Attempt a;
    a.worker = id;
    a.sent = sent;
    r.asked_at = 0;
    a.zone = w.entry.zone;
    a.cell = w.entry.cell;
    if (!s_.tells_start) a.started = now_;
    r.attempts.push_back(a);
    ++r.out;
    w.busy += r.slots;
    w.idle = Connected(w) ? w.idle - 1 : 0;
    if (!w.silent) pool.busy += r.slots;
    if (a.started < 0) ++w.waiting;
    w.out.push_back({table_.RefOf(r), static_cast<int>(r.attempts.size()) - 1});
    SetUsed(pool.used, w, id, true);
    awaited_ = true;
    next_check_ = std::min(next_check_, now_ + kStartPeriod);
  }

  // Guards rule 2 across a restart: what may run already is never sent on suspicion.
  void On(const AttemptAdopted& e) {
    Request* r = table_.FindId(e.request);
    if (r == nullptr || r->ended) return;
    if (e.worker >= workers_.size()) workers_.resize(e.worker + 1);
    Worker& w = workers_[e.worker];
    if (!w.known) SetSilent(w, true);  // not on the list: its slots fill no limit
    const bool out = e.was == AttemptAdopted::Was::kOut;
    if (out) Unhold(*r);
    Book(*r, e.worker, std::min(e.sent, now_));
    Attempt& a = r->attempts.back();
    a.taken = a.late = true;  // when it began is not known here: no word on the limit
    if (e.started) Start(*r, a);
    if (out) return;
    Release(*r, a, static_cast<int>(r->attempts.size()) - 1);
    a.ran = e.was == AttemptAdopted::Was::kNeverRan ? Ran::kNo : Ran::kMaybe;
  }

  // An earlier process's word, weighed by its age: evidence until this one hears for itself.
  void On(const Knowledge& k) {
    for (const PoolKnowledge& e : k.pools) {
      Pool* p = Numbered(pools_, e.pool);
      if (p == nullptr || p->last_cut != kLongAgo || e.worked <= 0) continue;
      p->limit = std::max(p->limit, std::min(e.limit, e.found));  // no further than what worked
      p->slots_seen = std::max(p->slots_seen, e.slots_seen);
      p->ran = e.ran, p->worked = e.worked, p->tell = e.tell;
      p->slowdown = std::clamp(p->ran / p->worked, 0.1, 10.0);
    }
    for (const ClassKnowledge& e : k.classes)
      if (ClassState* c = Numbered(classes_, e.cls); c != nullptr && e.work > 0) c->work = e.work;
    for (const TenantKnowledge& e : k.tenants)
      if (Bucket* b = Numbered(quota_, e.tenant)) b->left = std::min(b->left, e.left);
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

  // What several nodes have seen: evidence as far as this one has none that is fresher. The worker
  // is out until another word, but for one job when it is this node's turn to try it.
  void On(const Judgement& j) {
    Worker* w = Numbered(workers_, j.worker);
    if (w == nullptr || !w->known) return;
    if (j.cold && w->heard < j.at) w->died_at = std::max(w->died_at, j.at);
    w->judged = j.out && w->heard < j.at;
    if (w->judged) SetSilent(*w, true);
    w->next_trial = w->judged && !j.trial ? kNever : now_;
    PoolOf(*w).shut_until = 0;
  }

  // The one final answer that this node itself gives.
  void Finish(Request& r, bool hopeless) {
    const Permit p = PermitFor(r);
    if (r.ended) return;
    End(r, false);
    if (p.refuse) {
      ++refused_;
      Act(Refuse{r.id, hopeless ? s_.max_retry_after : 0});
    } else {
      Act(Fail{r.id});
    }
    Leave(r);
  }

  // After the end: nobody waits for what is still out.
  void Leave(Request& r) {
    if (s_.may_cancel)
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].ran == Ran::kOut) Act(Cancel{r.id, static_cast<int>(i)});
    Forget(r);
  }

  // ------------------------------------------------------------ workers

  void On(const WorkerList& list) {
    if (list.form == WorkerList::Form::kFailed) {
      subscribe_at_ = now_ + subscribe_wait_ / 2 + Mix(random_++) % (subscribe_wait_ / 2);
      subscribe_wait_ = std::min(2 * subscribe_wait_, kTrialLast);
      Log({LogLine::What::kListFailed, 0, 0, 0});
      return;
    }
    ++lists_;
    for (const WorkerEntry& e : list.entries) Learn(e);
    if (list.form == WorkerList::Form::kComplete)
      for (WorkerId id = 0; id < workers_.size(); ++id)
        if (workers_[id].named != lists_) Place(id, false);
    for (Pool& p : pools_)
      if (std::exchange(p.changed, false)) Split(p);
    for (const WorkerEntry& e : list.entries)  // once in service: drained, its part is nothing
      if (e.worker < workers_.size() && workers_[e.worker].cold_part < 0 &&
          workers_[e.worker].member)
        workers_[e.worker].cold_part = workers_[e.worker].part;
  }

  // Puts a worker in or takes it out of its pool's members, which stay in their order: a change of
  // the list costs what has changed, not the fleet.
  void Place(WorkerId id, bool known) {
    Worker& w = workers_[id];
    Pool& p = PoolOf(w);
    const bool member = known && w.entry.health == Health::kInService;
    p.changed = p.changed || member != w.member;
    if (member != w.member) {
      SetMember(p.members, {w.entry.identity, id}, member);
      if (w.entry.zone == s_.zone) SetMember(p.local, {w.entry.identity, id}, member);
    }
    w.known = known;
    w.member = member;
    p.shut_until = 0;
    if (!known && w.busy > 0) SetSilent(w, true);  // gone: its slots fill no limit
    if (member) largest_weight_ = std::max(largest_weight_, w.entry.weight);
  }

  // Splits a pool's workers, side by side, evenly over the nodes: this node's part of each.
  void Split(Pool& p) {
    for (const Member& m : p.home) workers_[m.id].part = 0;
    p.home.clear();
    for (const auto& [at, part] : EvenPart(p.members.size(), s_.balancers, s_.self)) {
      workers_[p.members[at].id].part = part;
      p.home.push_back(p.members[at]);
    }
  }

  void Learn(const WorkerEntry& e) {
    if (e.kind < 0 || e.kind >= s_.kinds) return;
    if (e.worker >= workers_.size()) workers_.resize(e.worker + 1);
    Worker& w = workers_[e.worker];
    if (e.kind != w.entry.kind || e.identity != w.entry.identity || e.zone != w.entry.zone) {
      Place(e.worker, false);
      SetUsed(PoolOf(w).used, w, e.worker, false);
    }
    // A new process: what was held against the old one is void, but its attempts count on.
    const bool fresh = e.ready_at != w.entry.ready_at || !w.known;
    w.entry = e;
    if (fresh) {
      SetSilent(w, false);
      w.Renew();
      for (auto& [ref, i] : w.out)
        if (Request* r = table_.Find(ref)) r->attempts[i].written_off = true;
    }
    w.named = lists_;
    Place(e.worker, e.health != Health::kGone);
    SetUsed(PoolOf(w).used, w, e.worker, !w.out.empty() || Connected(w));
  }

  // A process that died on this node is another by the time it answers, whatever the list still
  // says.
  Micros BornAt(const Worker& w) const { return std::max(w.entry.ready_at, w.died_at); }
  bool IsCold(const Worker& w) const { return BornAt(w) > 0 && now_ < BornAt(w) + s_.cold_time; }

  double ColdWork(const Request& r) const {
    return r.slots * (r.hint ? Work(r) : Work(r) * kColdUnhinted);
  }

  // Guards rule 4: this node's part of what a cold worker is sure to survive, over any window of
  // the rule's length, refused and queued work included. The parts of all nodes add up to one (an
  // even part of many would be less than one job) and stay as they were first heard.
  bool ColdAllows(Worker& w, const Request& r) {
    if (!IsCold(w)) return true;
    const double age = static_cast<double>(std::max<Micros>(0, now_ - BornAt(w)));
    const double share = s_.cold_share + (1 - s_.cold_share) * age / s_.cold_time;
    const Pool& pool = PoolOf(w);
    const double budget = kColdSafety * s_.fall_multiple * share * pool.slots_seen / pool.slowdown *
                          s_.fall_time * w.cold_part;
    return w.cold_sends.Now(now_, s_.fall_time) + ColdWork(r) <= budget;
  }

  // Takes a worker's slots out of, or back into, its pool's count: slots that make no progress
  // would otherwise fill the limit and stop the pool.
  void SetSilent(Worker& w, bool silent) {
    if (w.silent == silent) return;
    w.silent = silent;
    w.judged = w.judged && silent;
    PoolOf(w).busy += silent ? -w.busy : w.busy;
    if (silent) {
      w.trial_wait = 0;
      w.next_trial = now_;
    }
    const WorkerId id = static_cast<WorkerId>(&w - workers_.data());
    Log({silent ? LogLine::What::kWorkerSilent : LogLine::What::kWorkerBack, id, 0, 0});
  }

  void BackOff(Worker& w) {
    w.trial_wait = std::clamp(2 * w.trial_wait, kTrialFirst, kTrialLast);
    w.next_trial = w.judged ? kNever : now_ + w.trial_wait;
    if (w.blocked_until > 0) w.blocked_until = now_ + w.trial_wait;
  }

  void Hear(WorkerId id, Micros sent) {
    Worker& w = workers_[id];
    w.heard = now_;
    if (sent < w.died_at) w.died_at = 0;  // what was there before is there still: it did not die
    if (!Sick(w)) w.blocked_until = w.trial_wait = 0;
    PoolOf(w).shut_until = 0;
    SetSilent(w, false);
  }

  // It fails too many of its jobs, if not all: that some succeed there is no reason to send more.
  bool Sick(const Worker& w) const { return w.failures > kSick; }

  // A worker found full is trusted with what it ran of ours then: each job of ours that ends there
  // makes room for one. More is tried after a rest.
  void MarkFull(Worker& w, double level) {
    w.full_level = level;
    w.full_wait = std::clamp(2 * w.full_wait, kFullFirst * s_.balancers, kFullLast * s_.balancers);
    w.full_until = now_ + w.full_wait;
  }

  // ------------------------------------------------------------ the slot limit

  void Grow(Pool& p, double slots) {
    p.refusals = 0;
    p.found = std::max(p.found, p.busy);
    const double gain = slots * (now_ - p.last_refusal >= kSpell ? kGrowFast : kGrowSlow);
    p.limit = std::max(p.limit, std::min(p.limit + gain, kAhead * (p.found + slots)));
  }

  // FULL, a time-out or a late start. One burst sent before a cut makes one cut.
  void CountRefusal(Pool& p, Micros sent) {
    if (sent <= p.last_cut) return;
    p.last_refusal = now_;
    if (++p.refusals < kRefusalRun) return;
    p.refusals = 0;
    p.last_cut = now_;
    const double floor = static_cast<double>(p.members.size()) / s_.balancers;
    p.found = std::min(std::max(p.found, p.busy), p.limit);
    p.limit = kCutMargin * p.found;
    if (p.told) p.limit = std::min(p.limit, kCutPart * p.slots_seen * floor);
    p.limit = std::max({p.limit, floor, 1.0});
    p.found = p.limit;
    Log({LogLine::What::kLimitCut, 0, static_cast<int>(&p - pools_.data()), p.limit});
  }

  // ------------------------------------------------------------ requests: arrival, order, end

  double Work(const Request& r) const {
    return r.hint ? static_cast<double>(std::max<Micros>(*r.hint, kMs)) : classes_[r.cls].work;
  }

  Micros AimAt(const Request& r) const {
    const ClassSettings& c = s_.classes[r.cls];
    return std::min(r.due, r.arrived + c.aim + static_cast<Micros>(c.aim_stretch * Work(r)));
  }

  // After this a start can no longer end in time, at a worker so much slower than standard.
  Micros LatestStart(const Request& r, double slowdown) const {
    return std::max(AimAt(r) - static_cast<Micros>(Work(r) * slowdown), r.arrived + kFirstTry);
  }
  Micros LatestStart(const Request& r) const {
    return LatestStart(r, FastestSlowdown(s_.classes[r.cls].kind));
  }

  bool Hopeless(const Request& r) const {
    return s_.classes[r.cls].late_value <= 0 && now_ > LatestStart(r);
  }

  void On(const RequestArrived& e) {
    if (e.cls < 0 || e.cls >= static_cast<int>(classes_.size()) || table_.FindId(e.request)) return;
    Request& r = table_.Add(e.request);
    r.cls = e.cls;
    r.slots = std::max(e.slots, 1.0);
    r.arrived = now_;
    r.due = e.due;
    r.hint = e.hint;
    r.key = e.key;
    Bucket* quota = Numbered(quota_, e.tenant);
    r.over_share = e.over_share.value_or(quota != nullptr && !quota->Take(now_));
    gap_.Tick(now_, kLearn);
    if (r.key) keys_.Add(*r.key, Work(r) * r.slots, now_, kKeyMemory);
    Hold(r);
  }

  // Queues a request (the newest goes first: of jobs that cannot all be in time it has most time
  // left; oldest first makes every one late) and arms the moment at which it can be no more.
  void Hold(Request& r) {
    if (Hopeless(r) || !PermitFor(r).send) {
      if (r.out == 0) Finish(r, Hopeless(r));
      return;
    }
    r.late = now_ > LatestStart(r);
    r.held = true;
    ++held_;
    due_.push({DueAt(r), table_.RefOf(r)});
    queues_[kQueuesPerClass * r.cls + (r.over_share ? 1 : 0)].Push(table_.RefOf(r), table_);
  }

  // When something must be done about a held job: its last start in time, then its deadline.
  Micros DueAt(const Request& r) const {
    return std::min(r.due - kAnswerMargin, r.late ? kNever : LatestStart(r) + 1);
  }

  void Unhold(Request& r) {
    if (!r.held) return;
    r.held = false;
    --held_;
  }

  // Guards rule 1 (a final answer before the deadline). A job that can no longer be in time ends
  // here if a late answer is worth nothing; else it keeps its place, behind the newer ones.
  void RunDue() {
    while (!due_.empty() && due_.top().at <= now_) {
      Request* r = table_.Find(due_.top().ref);
      due_.pop();
      if (r == nullptr || r->ended || !r->held) continue;
      const bool over = now_ >= r->due - kAnswerMargin;
      const bool late = r->late || over || now_ > LatestStart(*r);
      if (late && !r->late) SetPrice(*r);
      r->late = late;
      if (!over && !Hopeless(*r)) {
        due_.push({DueAt(*r), table_.RefOf(*r)});
        continue;
      }
      Unhold(*r);
      if (r->out == 0) Finish(*r, true);  // else the outcome at the deadline ends it
    }
  }

  // A job has missed its time for want of a slot: for a while its pools' slots are not spent on
  // jobs worth a small part of it, which would hold them long after the next worthy one has come.
  void SetPrice(const Request& r) {
    const int kind = s_.classes[r.cls].kind;
    for (int k = 0; k < s_.kinds; ++k)
      if (kind < 0 || kind == k) pools_[k].price.Raise(Value(r), now_, PriceFade());
  }

  Micros PriceFade() const {
    return std::clamp(static_cast<Micros>(kPriceJobs * gap_.mean), kPriceFirst, kPriceLast);
  }

  // Worth gained by a slot-second spent on this request.
  double Value(const Request& r) const {
    const ClassSettings& c = s_.classes[r.cls];
    double v = c.worth * classes_[r.cls].weight;
    if (!s_.worth_by_work) v /= Work(r) * r.slots;
    if (r.over_share) v *= s_.over_share_worth;
    if (r.late) v *= c.late_value;
    return v;
  }

  // The final answer is given: by this node, by an outcome, or nobody waits for it any more.
  void End(Request& r, bool in_time) {
    Unhold(r);
    r.ended = true;
    const double worth = s_.classes[r.cls].worth * (s_.worth_by_work ? Work(r) : 1.0);
    classes_[r.cls].asked.Add(worth, now_, kServiceMemory);
    if (in_time) classes_[r.cls].good.Add(worth, now_, kServiceMemory);
  }

  void On(const RequestLapsed& e) {
    Request* r = table_.FindId(e.request);
    if (r == nullptr || r->ended) return;
    End(*r, false);
    Leave(*r);
  }

  // ------------------------------------------------------------ attempts: notes and outcomes

  // A word of a running attempt; null: of one that is not out.
  template <class Word>
  Request* Heard(const Word& e) {
    Request* r;
    Attempt* a = table_.FindOut(e.request, e.attempt, &r);
    if (a == nullptr) return nullptr;
    Hear(a->worker, a->sent);
    Start(*r, *a);
    return r;
  }
  void On(const AttemptTaken& e) {
    if (Request * r; Attempt* a = table_.FindOut(e.request, e.attempt, &r)) a->taken = true;
  }
  void On(const AttemptStarted& e) { Heard(e); }
  void On(const AttemptProgress& e) { Heard(e); }
  void On(const StreamBegan& e) {
    Request* r = Heard(e);
    if (r != nullptr && !r->ended) End(*r, now_ <= AimAt(*r));
  }

  void Start(Request& r, Attempt& a) {
    if (a.started >= 0) return;
    Worker& w = workers_[a.worker];
    if (!a.written_off) --w.waiting;
    a.started = now_;
    w.running += r.slots;
    Pool& p = PoolOf(w);
    p.slots_seen = std::max(p.slots_seen, w.running);
    if (a.late) return;
    p.tell = std::min({p.tell + kTellRise, static_cast<double>(now_ - a.sent), kTellMost});
    if (w.busy > w.full_level) w.full_until = 0, w.full_wait = 0;
    p.refusals = 0;
    p.found = std::max(p.found, p.busy);
  }

  void On(const AttemptEnded& e) {
    Request* r;
    Attempt* a = table_.FindOut(e.request, e.attempt, &r);
    if (a == nullptr) return;
    Worker& w = workers_[a->worker];
    Pool& pool = PoolOf(w);
    Report(w, e.load);
    if (e.outcome == Outcome::kGood) Succeed(*r, *a);
    Release(*r, *a, e.attempt);
    const bool never_ran = e.outcome == Outcome::kFull || e.outcome == Outcome::kNoConnection ||
                           e.outcome == Outcome::kMoot;
    a->ran = never_ran ? Ran::kNo : Ran::kMaybe;
    if (e.outcome == Outcome::kGood || e.outcome == Outcome::kError) {
      const double weight = std::exchange(w.recalled, false) ? kFirstFailure : kFailureLearn;
      w.failures += weight * ((e.outcome == Outcome::kError ? 1 : 0) - w.failures);
      if (Sick(w) && e.outcome == Outcome::kGood) w.blocked_until = 0;  // the next trial at once
    }
    if (e.outcome == Outcome::kGood || e.outcome == Outcome::kFull) Hear(a->worker, a->sent);
    if (e.outcome == Outcome::kFull) MarkFull(w, w.busy);
    if (e.outcome == Outcome::kFull || (e.outcome == Outcome::kTimeout && !a->late))
      CountRefusal(pool, a->sent);
    // A worker that fails at once looks idle: it would draw all jobs.
    if (e.outcome == Outcome::kError || e.outcome == Outcome::kNoConnection ||
        e.outcome == Outcome::kReset) {
      w.idle = 0;
      w.blocked_until = now_ + 1;
      BackOff(w);
      if (e.outcome == Outcome::kNoConnection || (e.outcome == Outcome::kReset && a->started >= 0))
        w.died_at = now_;
    }
    if (r->ended) return Forget(*r);
    if (e.settled) {
      End(*r, e.outcome == Outcome::kGood && now_ <= AimAt(*r));
      return Leave(*r);
    }
    if (!r->held)
      Hold(*r);
    else if (!PermitFor(*r).send && r->out == 0)
      Finish(*r, false);
  }

  void Release(Request& r, Attempt& a, int number) {
    Worker& w = workers_[a.worker];
    if (a.started < 0 && !a.written_off) --w.waiting;
    if (a.started >= 0 && s_.tells_start) w.running -= r.slots;
    w.busy -= r.slots;
    ++w.idle;
    w.idle_since = now_;
    if (!w.silent) PoolOf(w).busy -= r.slots;
    PoolOf(w).shut_until = 0;
    w.Remove(table_.RefOf(r), number);
    --r.out;
  }

  // A served job raises the limit and teaches the work of its class and the speed of its kind.
  void Succeed(const Request& r, const Attempt& a) {
    Pool& p = PoolOf(workers_[a.worker]);
    if (!a.late) Grow(p, r.slots);
    if (a.started < 0) return;
    const double expected = Work(r) * p.slowdown;
    const double run = std::min(static_cast<double>(now_ - a.started), kOutlier * expected);
    p.ran += kLearn * (run - p.ran);
    p.worked += kLearn * (Work(r) - p.worked);
    // One of its kind may be slower for good, or for as long as another program takes its cores.
    Worker& w = workers_[a.worker];
    const double weight = w.recalled ? kFirstSpeed : kLearn * Work(r) / p.worked;
    w.slowness += weight * (run / expected - w.slowness);
    w.slowness = std::clamp(w.slowness, 1 / kSlowest, kSlowest);
    p.slowdown = std::clamp(p.ran / p.worked, 0.1, 10.0);
    ClassState& c = classes_[r.cls];
    c.work += kLearn * (run / p.slowdown - c.work);
  }

  void Report(Worker& w, const LoadReport& load) {
    Pool& p = PoolOf(w);
    if (load.in_flight) w.others = std::max(0.0, *load.in_flight - w.busy);
    if (load.free_slots) {
      p.told = true;
      p.slots_seen = std::max(p.slots_seen, std::floor(*load.free_slots));
      const double taken = std::max(0.0, p.slots_seen - *load.free_slots - w.running);
      const double before = w.taken.Now(now_, kTakenMemory);
      w.taken = {before + kTakenLearn * (taken - before), now_};
    }
  }

  void On(const ProbeEnded& e) {
    if (e.worker >= workers_.size() || !e.good) return;
    Worker& w = workers_[e.worker];
    Hear(e.worker, now_);
    Report(w, e.load);
    w.answered_at = now_;
  }

  // ------------------------------------------------------------ the pump

  void Pump() {
    for (Queue& q : queues_) q.passed = 0;
    while (held_ > 0) {
      Queue* best = nullptr;
      double best_value = 0;
      for (Queue& q : queues_) {
        const Request* next = q.Next(kLookahead, table_);
        if (next == nullptr) continue;
        const double v = Value(*next);
        if (best != nullptr && v <= best_value) continue;
        best = &q;
        best_value = v;
      }
      if (best == nullptr) return;
      Request& r = *best->Next(kLookahead, table_);
      const WorkerId* w = Pick(r);
      if (observer_ != nullptr) Show(r, w);
      if (w == nullptr) {
        ++best->passed;
        continue;
      }
      Unhold(r);
      SendTo(r, *w);
    }
  }

  // The least busy of a few sampled workers, in pools whose limit has room; null: the job waits.
  const WorkerId* Pick(Request& r) {
    const Permit permit = PermitFor(r);
    if (!permit.send) return nullptr;
    FindRoom(r);
    sample_.clear();
    if (open_.empty()) return nullptr;
    if (r.key && TallySaysLittle()) return AskByKey(r, permit);
    r.key ? SampleByKey(r, permit, 0) : Sample(r, permit);
    const auto best = std::min_element(sample_.begin(), sample_.end(), [&](WorkerId a, WorkerId b) {
      return Cost(a, r) < Cost(b, r);
    });
    return best == sample_.end() ? nullptr : &*best;
  }

  void Show(const Request& r, const WorkerId* chosen) {
    std::vector<Candidate> sampled;
    for (const WorkerId id : sample_)
      sampled.push_back(Describe(workers_[id], id, Cost(id, r), IsCold(workers_[id]),
                                 workers_[id].taken.Now(now_, kTakenMemory)));
    Choice choice{r.id, {}, !open_.empty(), 0, 0, sampled};
    if (chosen != nullptr) {
      const Pool& p = PoolOf(workers_[*chosen]);
      choice.chosen = *chosen;
      choice.busy = p.busy;
      choice.limit = p.limit;
    }
    observer_->OnChoice(choice);
  }

  // The pools that may take the job: of its kind, not too dear for it, their limit not reached.
  void FindRoom(const Request& r) {
    open_.clear();
    const int kind = s_.classes[r.cls].kind;
    for (int k = 0; k < s_.kinds; ++k) {
      Pool& p = pools_[k];
      if ((kind >= 0 && kind != k) || Value(r) < kPriceShare * p.price.Now(now_, PriceFade()))
        continue;
      // An empty pool lets one job through, whatever the limit.
      if (p.busy > 0 && p.busy + r.slots > p.limit)
        p.wanted = true;
      else if (now_ >= p.shut_until || r.slots < p.shut_slots || r.key)
        open_.push_back(&p);
    }
  }

  // Where crossing zones has a price, workers of this one that have room; then home workers, and
  // open connections where a new one has a price. All others are looked at only when these yield
  // nobody, and not again while nothing has changed: the ordinary send costs the same however many
  // workers there are.
  void Sample(Request& r, const Permit& permit) {
    const auto any = [](const Worker&) { return true; };
    const auto linked = [&](const Worker& w) { return Connected(w); };
    const auto home = [&](Worker& w) { return HomeRoom(w, r); };
    const auto room = [&](const Worker& w) { return HasRoom(w, r); };
    const bool priced = s_.connect_price > 0;
    if (s_.cross_zone_price > 0 && Look(&Pool::local, r, permit, room, kLocalLooks)) return;
    if (priced && Look(&Pool::home, r, permit, [&](Worker& w) { return home(w) && linked(w); }))
      return;
    if (Look(&Pool::home, r, permit, home)) return;
    if (priced && Look(&Pool::used, r, permit, linked)) return;
    if (Look(&Pool::members, r, permit, any)) return;
    for (Pool* p : open_) {
      p->shut_until = kNever;
      p->shut_slots = r.slots;
      looks_ += p->members.size();
      for (const Member& m : p->members)
        p->shut_until = std::min(p->shut_until, OpensAt(workers_[m.id], r.slots));
    }
  }

  // Samples one set of the pools with room: from a random place by a random stride prime to their
  // number, so that each is met once at most, until there are enough that suit.
  template <class Good>
  bool Look(Members Pool::*set, const Request& r, const Permit& permit, Good good,
            std::size_t most = std::numeric_limits<std::size_t>::max()) {
    std::size_t n = 0;
    for (const Pool* p : open_) n += (p->*set).size();
    RandomWalk walk(n, Mix(random_++));
    while (sample_.size() < kSample && !walk.Done() && most-- > 0) {
      std::size_t k = walk.Next(), pool = 0;
      while (k >= (open_[pool]->*set).size()) k -= (open_[pool++]->*set).size();
      const WorkerId id = (open_[pool]->*set)[k].id;
      Worker& w = workers_[id];
      if (w.member && InGroup(r, permit, w) && Usable(w, r) && good(w)) sample_.push_back(id);
    }
    return !sample_.empty();
  }

  bool Connected(const Worker& w) const {
    return w.idle > 0 && now_ < w.idle_since + s_.connection_idle;
  }

  // By this node's tally and what it told of others' jobs, the job there waits for less than going
  // to another zone costs.
  bool HasRoom(const Worker& w, const Request& r) const {
    const double taken = w.taken.Now(now_, kTakenMemory);
    return w.busy + taken + r.slots <= PoolOf(w).slots_seen + kPricedRemote;
  }

  // Its slots that are this node's part are not all in use. On its own part a node's tally tells
  // most of the load, however many nodes there are. How many slots a worker has is asked now and
  // then.
  bool HomeRoom(Worker& w, const Request& r) {
    if (w.part <= 0) return false;
    if (s_.may_probe && now_ > w.probed_at + kHomeProbe) {
      w.probed_at = now_;
      Act(Probe{static_cast<WorkerId>(&w - workers_.data())});
    }
    const Pool& p = PoolOf(w);
    return !p.told || w.busy + r.slots <= std::ceil(w.part * p.slots_seen);
  }

  // A job with a key samples the first workers in the key's own order, the same at every node, and
  // spills further down the longer it waits: a fetch of what it needs costs its slot and the shared
  // store, which jams when keys scatter; but a much asked key has work for more than a few workers.
  void SampleByKey(const Request& r, const Permit& permit, std::size_t at_least) {
    order_.clear();
    for (const Pool* p : open_)
      for (const Member& m : p->members)
        if (permit.group == nullptr || InGroup(r, permit, workers_[m.id]))
          order_.push_back({Rank(m, *r.key), m.id});
    const double mean = std::min(Work(r), classes_[r.cls].work) * r.slots;
    const double part = keys_.Part(*r.key, mean, kKeyDoubt * mean, now_, kKeyMemory);
    const double wanted = kKeyPlaces + kKeySpread * part * static_cast<double>(order_.size());
    const std::size_t places =
        std::min(order_.size(), static_cast<std::size_t>(wanted) + (now_ - r.arrived) / kKeyWait);
    const std::size_t looked = std::min(order_.size(), std::max(places, at_least));
    std::partial_sort(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(looked),
                      order_.end(), std::greater<>());
    places_ = 0;
    for (std::size_t i = 0; i < looked; ++i) {
      if (!Usable(workers_[order_[i].second], r)) continue;
      sample_.push_back(order_[i].second);
      if (i < places) places_ = sample_.size();
    }
  }

  // This node's part of all slots is under one: it has hardly a job at any worker to tally.
  bool TallySaysLittle() const {
    double slots = 0;
    for (const Pool& p : pools_) slots += static_cast<double>(p.members.size()) * p.slots_seen;
    return s_.may_probe && slots < s_.balancers;
  }

  // There the first workers of the key's order are probed, and what they tell of others' jobs
  // counts as tallied. Past the key's own places a job must fetch, which costs as much as full
  // workers: so a much asked key spreads, but not every key when all are busy.
  const WorkerId* AskByKey(Request& r, const Permit& permit) {
    SampleByKey(r, permit, kSample);
    const WorkerId* best = nullptr;
    double least = 0;
    bool all = true;
    for (std::size_t i = 0; i < std::min<std::size_t>(kSample, sample_.size()); ++i) {
      const Worker& w = workers_[sample_[i]];
      const bool answered = now_ <= w.answered_at + 2 * kAskWait;
      all = all && answered;
      if (!answered && r.asked_at == 0) Act(Probe{sample_[i]});
      const double full = (i < places_ ? 0 : kFetchCost) + (answered ? 0 : 1);
      const double cost = Cost(sample_[i], r) + full * PoolOf(w).slots_seen;
      if (best != nullptr && cost >= least) continue;
      best = &sample_[i];
      least = cost;
    }
    if (r.asked_at == 0) r.asked_at = now_;
    next_check_ = std::min(next_check_, r.asked_at + kAskWait);
    return all || now_ >= r.asked_at + kAskWait ? best : nullptr;
  }

  // Starts that are not told yet though the jobs run: of short jobs most of those at a worker.
  double OnTheirWay(const Pool& p) const { return p.slots_seen * p.tell / (p.tell + p.ran); }

  // When it takes another job of so many slots if nothing is heard of it.
  Micros OpensAt(const Worker& w, double slots) const {
    if (Sick(w) && !w.out.empty()) return kNever;                            // one trial at a time
    if (w.waiting > 0 && w.waiting >= OnTheirWay(PoolOf(w))) return kNever;  // full, or slow to say
    Micros at = w.blocked_until;
    if (w.silent) at = std::max(at, w.next_trial);
    if (w.busy + slots > w.full_level) at = std::max(at, w.full_until);
    return at;
  }

  bool Usable(Worker& w, const Request& r) {
    ++looks_;
    if (now_ < OpensAt(w, r.slots)) return false;
    // Whoever tries it for all, does so with a job that may be sent again if there is such a class.
    if (w.judged && PoolOf(w).repeats && s_.classes[r.cls].effect == Effect::kOnce) return false;
    for (const Attempt& a : r.attempts)
      if (a.ran == Ran::kOut && &workers_[a.worker] == &w) return false;
    if (!r.late && now_ > LatestStart(r, PoolOf(w).slowdown * w.slowness))
      return false;  // too slow a kind
    return ColdAllows(w, r);
  }

  double Cost(WorkerId id, const Request& r) const {
    const Worker& w = workers_[id];
    const double size = s_.weighted_workers && largest_weight_ > 0
                            ? w.entry.weight / largest_weight_
                            : 1 / pools_[w.entry.kind].slowdown;
    const double others = now_ <= w.answered_at + 2 * kAskWait ? w.others : 0;
    double cost = (w.busy + others + r.slots) * w.slowness / std::max(size, 0.01);
    if (w.entry.zone != s_.zone) cost += s_.cross_zone_price > 0 ? kPricedRemote : kRemoteCost;
    return cost;
  }

  // ------------------------------------------------------------ the periodic check

  void Check() {
    for (Pool& p : pools_) {
      const double raise =
          now_ - p.last_refusal >= kSpell ? kBacklogRaise : kSpellRaise * kBacklogRaise;
      if (p.wanted && held_ > 0)
        p.limit += raise * static_cast<double>(p.members.size()) / s_.balancers;
      p.wanted = false;
    }
    awaited_ = false;
    for (Pool& p : pools_) {
      std::erase_if(p.used, [&](const Member& m) {
        Worker& w = workers_[m.id];
        return !(w.used = !w.out.empty() || Connected(w));
      });
      for (const Member& m : p.used)
        if (!workers_[m.id].out.empty()) CheckWorker(m.id);
    }
    WeighClasses();
    if (now_ >= subscribe_at_) {
      subscribe_at_ = kNever;
      Act(Subscribe{});
    }
    if (refused_ > 0 && Log({LogLine::What::kShedding, 0, 0, static_cast<double>(refused_)}))
      refused_ = 0;
  }

  void CheckWorker(WorkerId id) {
    Worker& w = workers_[id];
    Micros since = kNever;
    for (auto& [ref, i] : w.out) {
      Request* r = table_.Find(ref);
      if (r == nullptr) continue;
      Attempt& a = r->attempts[i];
      since = std::min(since, a.sent);
      awaited_ = awaited_ || w.silent || (a.started < 0 && !a.late);
      if (a.started >= 0 || now_ - a.sent <= start_grace_) continue;
      if (s_.tells_taken && !a.taken) {
        Miss(w, *r, a, i);
        continue;
      }
      if (!a.late) {
        a.late = true;
        CountRefusal(PoolOf(w), a.sent);
        MarkFull(w, w.busy - r->slots);
      }
    }
    if (now_ - std::max(since, w.heard) > silent_after_) SetSilent(w, true);
    if (!w.silent || now_ < w.next_trial || !w.known || !s_.may_probe) return;
    Act(Probe{id});
    BackOff(w);
  }

  // The worker has not even taken the attempt. If it has been heard since, the attempt's way there
  // is broken and not the worker, which takes others; else it is given trials. A job that may go
  // out again does so now. One that may not is given a while, for a worker that only stood still.
  void Miss(Worker& w, const Request& r, Attempt& a, int number) {
    if (!a.late) {
      a.late = true;
      if (w.heard <= a.sent) w.blocked_until = now_ + 1, BackOff(w);
    }
    if (!a.written_off) a.written_off = true, --w.waiting;
    const bool again = s_.classes[r.cls].effect != Effect::kOnce;
    if (a.given_up || !s_.may_cancel || (!again && now_ - a.sent < kMissedLast)) return;
    a.given_up = true;
    Act(Cancel{r.id, number});
  }

  // The goal's worst-class part as a lift of the class that is served worst: a unit of its worth
  // moves that part by more the rarer the class is.
  void WeighClasses() {
    double asked = 0, good = 0, least = 2, worst_asked = 0;
    ClassState* worst = nullptr;
    for (ClassState& c : classes_) {
      c.weight = 1;
      const double a = c.asked.Now(now_, kServiceMemory), g = c.good.Now(now_, kServiceMemory);
      asked += a;
      good += g;
      if (a <= 0 || g / a >= least) continue;
      worst = &c;
      least = g / a;
      worst_asked = a;
    }
    if (worst == nullptr || s_.goal_whole <= 0) return;
    const double gap = std::clamp((good / asked - least) / kWorstGap, 0.0, 1.0);
    worst->weight += gap * s_.goal_worst_class / s_.goal_whole * asked / worst_asked;
  }

  // ------------------------------------------------------------ bookkeeping

  void Arm() {
    while (!due_.empty() && !table_.IsHeld(due_.top().ref)) due_.pop();
    const Micros period = held_ > 0 ? kCheckPeriod : awaited_ ? kStartPeriod : kHealthPeriod;
    if (next_check_ <= now_) next_check_ = kNever;
    if (table_.size() > 0) next_check_ = std::min(next_check_, now_ + period);
    if (subscribe_at_ < kNever) next_check_ = std::min(next_check_, std::max(subscribe_at_, now_));
    const Micros next = due_.empty() ? next_check_ : std::min(next_check_, due_.top().at);
    if (next == kNever || (armed_ > now_ && armed_ <= next)) return;
    armed_ = std::max(next, now_ + 1);
    Act(SetTimer{armed_});
  }

  void On(const TimerFired&) {}
  void On(const PeerMessage&) {}

  void Act(Action a) { actions_->push_back(std::move(a)); }

  bool Log(LogLine line) {
    Micros& last = logged_[static_cast<int>(line.what)];
    if (now_ - last < kLogEvery) return false;
    last = now_;
    Act(line);
    return true;
  }

  // What outlives a call is in State; here are what the settings say and scratch of one call.
  Settings s_;
  Micros silent_after_ = 0, start_grace_ = 0;
  Observer* observer_ = nullptr;
  std::vector<Action>* actions_ = nullptr;
  std::vector<Pool*> open_;       // pools with room for the job in hand
  std::vector<WorkerId> sample_;  // workers to choose from for it
  std::size_t places_ = 0;        // how many of the sample are places of the key
  std::vector<std::pair<std::uint64_t, WorkerId>> order_;  // of its key
};

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::Handle(Micros now, std::span<const Event> events, std::vector<Action>* actions) {
  impl_->Handle(now, events, actions);
}
void Dispatcher::Observe(Observer* observer) { impl_->observer_ = observer; }
State& Dispatcher::state() const { return *impl_; }

}  // namespace marlquay
