#include "lab/sim/simulation.h"

#include <algorithm>
#include <barrier>
#include <chrono>
#include <cstdio>
#include <limits>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <thread>
#include <unordered_map>

#include "lab/sim/decider.h"
#include "node/knowledge/memory.h"
#include "node/shared_state/shared.h"

namespace pearreach::lab {
namespace {

using dispatch::Outcome;

constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr Micros kSampleEvery = 250'000;
constexpr std::size_t kSampledNodes = 8, kSampledWorkers = 64;
constexpr Micros kFallDown = 2'000'000;  // a worker that was pushed over is down so long
constexpr Micros kProgress = 1'000'000;
constexpr Micros kLateBy = 50'000;  // the rules' slack for an answer
constexpr Micros kJustBack = 10'000'000, kLongBack = 60'000'000;
constexpr double kLimitBack = 0.8;               // of what it was
constexpr Micros kAfterwards = 8'000'000;        // the run goes on until all is answered
constexpr Micros kUnix = 1'800'000'000'000'000;  // of the run's begin
constexpr Micros kWordWay = 5'000;               // between two nodes
constexpr int kAttemptBits = 4, kNodeShift = 48;

// A job at a worker, named the same at both ends.
std::uint64_t KeyOf(std::uint32_t node, std::uint64_t request, int attempt) {
  return static_cast<std::uint64_t>(node) << kNodeShift | request << kAttemptBits |
         static_cast<std::uint64_t>(attempt);
}

enum class Kind : std::uint8_t {
  // to a worker
  kSend,
  kCancel,
  // to a node
  kTaken,
  kStarted,
  kProgressed,
  kEnded,
  kList,
  kClient,
  kWord,  // of another node, about what they share
  // an entity's own
  kTimer,
  kTurn,
  kArrive,
  kDeadline,
  kSample,
  kScript,
  kModel,
  kShare,
};

struct Job {  // of a client, with all its tries
  Micros first = 0, work = 0;
  bool after_restart = false;  // its first try came to a node that was just back
  std::int32_t cls = 0, tenant = -1, tries = 0;
  std::int32_t attempts = 0;
};

struct Item {
  Micros at = 0;
  std::uint32_t from = 0, to = 0;
  std::uint64_t number = 0;  // of its sender's
  Kind kind = Kind::kTimer;
  std::uint64_t key = 0;  // a job at a worker; a request; what an own item is about
  Micros work = 0;        // of a job; the start of a process, in a list
  float slots = 1;        // of a job; free ones, in an outcome
  std::uint8_t code = 0;  // an outcome; a health
  std::uint8_t cls = 0;
  Job job;                                   // kClient
  std::shared_ptr<const std::string> bytes;  // kWord
  bool operator>(const Item& o) const {
    if (at != o.at) return at > o.at;
    if (from != o.from) return from > o.from;
    return number > o.number;
  }
};

class Entity {
 public:
  virtual ~Entity() = default;
  virtual void Take(const Item& item) = 0;

  void Run(Micros until, std::vector<Item>* out) {
    out_ = out;
    while (!items_.empty() && items_.top().at < until) {
      const Item item = items_.top();
      items_.pop();
      now_ = item.at;
      ++events;
      Take(item);
    }
  }
  void Push(const Item& item) { items_.push(item); }
  Micros Next() const { return items_.empty() ? kNever : items_.top().at; }

  std::uint32_t self = 0;
  std::uint64_t events = 0;

 protected:
  void Own(Micros at, Kind kind, std::uint64_t key = 0) {
    Item item;
    item.at = at;
    item.from = item.to = self;
    item.number = ++number_;
    item.kind = kind;
    item.key = key;
    items_.push(item);
  }
  void Post(Item item, std::uint32_t to, Micros way) {
    item.at = now_ + way;
    item.from = self;
    item.to = to;
    item.number = ++number_;
    out_->push_back(item);
  }
  Micros now_ = 0;

 private:
  std::priority_queue<Item, std::vector<Item>, std::greater<>> items_;
  std::vector<Item>* out_ = nullptr;
  std::uint64_t number_ = 0;
};

// What both sides know of the scenario.
struct World {
  const Scenario* scenario = nullptr;
  std::uint32_t nodes = 0, workers = 0;
  std::vector<WorkerSpec> specs;
  std::vector<int> kinds;  // of workers
  std::uint64_t seed = 0;
  Micros end = 0;

  int zone(std::uint32_t of) const { return static_cast<int>(of) % scenario->zones; }
  Micros Way(std::uint32_t node, std::uint32_t worker) const {
    return scenario->way + (zone(node) == zone(worker) ? 0 : scenario->cross_way);
  }
  bool ListHeld(Micros at, Micros* until) const {
    for (const Trouble& t : scenario->troubles)
      if (t.what == Trouble::What::kLateList && at >= t.at && at < t.at + t.length) {
        *until = t.at + t.length;
        return true;
      }
    return false;
  }
};

// ---------------------------------------------------------------- a worker

class WorkerEntity : public Entity {
 public:
  WorkerEntity(const World* world, std::uint32_t index)
      : world_(world),
        index_(index),
        model_(world->specs[index]),
        chance_(SeedOf(world->seed, 2, index)) {
    self = world->nodes + index;
  }
  void Script(Micros at, const Trouble* trouble, bool begins) {
    scripts_.push_back({trouble, begins});
    Own(at, Kind::kScript, scripts_.size() - 1);
  }
  void StartSampling() { Own(kSampleEvery, Kind::kSample); }

  void Take(const Item& item) override {
    Catch();
    switch (item.kind) {
      case Kind::kSend:
        Offer(item);
        break;
      case Kind::kCancel:
        if (!silent_ && model_.Cancel(now_, item.key)) jobs_.erase(item.key);
        break;
      case Kind::kModel:
        if (now_ >= model_at_) model_at_ = kNever;
        break;
      case Kind::kScript:
        Play(item.key);
        break;
      case Kind::kSample:
        Sample();
        break;
      default:
        break;
    }
    Catch();
    // An end that is sooner than the one waited for is waited for as well.
    if (const auto next = model_.Next(); next && !silent_ && *next < model_at_) {
      model_at_ = std::max(*next, now_ + 1);
      Own(model_at_, Kind::kModel);
    }
  }

  WorkerModel& model() { return model_; }
  std::vector<WorkerSample> samples;
  double busy_sum = 0, up_sum = 0;
  std::uint64_t falls = 0, second_runs = 0;
  std::vector<std::pair<Micros, std::uint64_t>> falls_at;
  double cold_pressure = 0;
  // `once` requests that have begun here: a request of a node, and how often. Merged at the end.
  std::vector<std::uint64_t> begun_once;

 private:
  // Sends on what the model did by now.
  void Catch() {
    happened_.clear();
    if (!silent_) model_.Run(now_, &happened_);
    for (const auto& h : happened_) {
      const auto it = jobs_.find(h.job);
      if (it == jobs_.end()) continue;
      if (h.what == WorkerModel::Happened::What::kStarted) {
        if (it->second.once) begun_once.push_back(h.job >> kAttemptBits);
        it->second.started = true;
        Answer(h.job, Kind::kStarted, Outcome::kGood);
      } else {
        Answer(h.job, Kind::kEnded, Outcome::kGood);
        jobs_.erase(it);
      }
    }
  }
  void Answer(std::uint64_t key, Kind kind, Outcome outcome) {
    const std::uint32_t node = static_cast<std::uint32_t>(key >> kNodeShift);
    Item item;
    item.kind = kind;
    item.key = key;
    item.code = static_cast<std::uint8_t>(outcome);
    item.slots = static_cast<float>(model_.free_slots());
    Post(item, node, world_->Way(node, index_));
  }
  void Offer(const Item& item) {
    if (silent_) {
      unheard_.push_back(item.key);
      return;
    }
    if (model_.up() && model_.Warmth(now_) < 1) Press(item);
    switch (model_.Offer(now_, item.key, static_cast<double>(item.slots), item.work)) {
      case WorkerModel::Offered::kTaken:
        jobs_[item.key] = {item.cls != 0, false};
        Answer(item.key, Kind::kTaken, Outcome::kGood);
        break;
      case WorkerModel::Offered::kFull:
        Answer(item.key, Kind::kEnded, Outcome::kFull);
        break;
      case WorkerModel::Offered::kDown:
        Answer(item.key, Kind::kEnded, Outcome::kNoConnection);
        break;
      case WorkerModel::Offered::kFell:
        ++falls;
        falls_at.push_back({now_, 1});
        Answer(item.key, Kind::kEnded, Outcome::kReset);
        Fall();
        back_.push_back(now_ + kFallDown);
        Own(now_ + kFallDown, Kind::kScript, kBack);
        break;
    }
  }
  // What it was offered within the rule's window, over what it could do.
  void Press(const Item& item) {
    const WorkerSpec& s = model_.spec();
    offered_.push_back({now_, static_cast<double>(item.slots) * static_cast<double>(item.work)});
    std::erase_if(offered_, [&](const auto& o) { return o.first <= now_ - s.fall_time; });
    double sum = 0;
    for (const auto& [at, work] : offered_) sum += work;
    cold_pressure = std::max(cold_pressure, sum / (model_.Warmth(now_) * s.speed * s.slots *
                                                   static_cast<double>(s.fall_time)));
  }
  void Fall() {
    for (const std::uint64_t key : model_.Die()) Answer(key, Kind::kEnded, Outcome::kReset);
    jobs_.clear();
    offered_.clear();
  }
  void Back() {
    if (model_.up()) return;
    model_.Start(now_);
    TellList(draining_ ? dispatch::Health::kDraining : dispatch::Health::kInService);
  }
  void TellList(dispatch::Health health) {
    Micros held = 0;
    const Micros from = world_->ListHeld(now_, &held) ? held - now_ : 0;
    for (std::uint32_t n = 0; n < world_->nodes; ++n) {
      Item item;
      item.kind = Kind::kList;
      item.key = index_;
      item.code = static_cast<std::uint8_t>(health);
      item.work = model_.started();
      const Scenario& s = *world_->scenario;
      const Micros wait =
          s.notice_least + static_cast<Micros>(chance_.Uniform() *
                                               static_cast<double>(s.notice_most - s.notice_least));
      Post(item, n, std::max(from + wait, s.way));
    }
  }
  void Play(std::uint64_t key) {
    if (key == kBack) return Back();
    const auto [trouble, begins] = scripts_[key];
    switch (trouble->what) {
      case Trouble::What::kSilence:
        if (begins) {
          silent_ = true;
        } else {
          silent_ = false;
          for (const std::uint64_t job : model_.Die()) Answer(job, Kind::kEnded, Outcome::kReset);
          for (const std::uint64_t job : unheard_) Answer(job, Kind::kEnded, Outcome::kReset);
          unheard_.clear();
          jobs_.clear();
          Back();
        }
        break;
      case Trouble::What::kRestart:
        if (begins)
          Fall();
        else
          Back();
        break;
      case Trouble::What::kSlow:
        model_.SetFactor(begins ? 1 / trouble->factor : 1);
        break;
      case Trouble::What::kDrain:
        draining_ = begins;
        TellList(begins ? dispatch::Health::kDraining : dispatch::Health::kInService);
        break;
      case Trouble::What::kNodeDies:
      case Trouble::What::kRolling:
      case Trouble::What::kLateList:
        break;
    }
  }
  void Sample() {
    const bool up = model_.up() && !silent_;
    const double share = up ? model_.busy() / model_.spec().slots : 0;
    if (now_ >= world_->scenario->warm_up && now_ < world_->end) {
      busy_sum += share;
      up_sum += up ? 1 : 0;
    }
    if (index_ < kSampledWorkers)
      samples.push_back({static_cast<std::uint8_t>(100 * share),
                         static_cast<std::uint8_t>(!up                       ? 2
                                                   : draining_               ? 3
                                                   : model_.Warmth(now_) < 1 ? 1
                                                                             : 0)});
    if (now_ % kProgress == 0 && up)
      for (const auto& [key, job] : jobs_)
        if (job.started) Answer(key, Kind::kProgressed, Outcome::kGood);
    if (now_ < world_->end) Own(now_ + kSampleEvery, Kind::kSample);
  }

  struct Held {
    bool once = false, started = false;
  };
  static constexpr std::uint64_t kBack = ~0ull;
  const World* world_;
  std::uint32_t index_;
  WorkerModel model_;
  Chance chance_;
  bool silent_ = false, draining_ = false;
  Micros model_at_ = kNever;
  std::map<std::uint64_t, Held> jobs_;
  std::vector<std::uint64_t> unheard_;
  std::vector<Micros> back_;
  std::vector<std::pair<const Trouble*, bool>> scripts_;
  std::vector<WorkerModel::Happened> happened_;
  std::vector<std::pair<Micros, double>> offered_;
};

// ---------------------------------------------------------------- a node and its clients

class NodeEntity : public Entity {
 public:
  NodeEntity(const World* world, std::uint32_t index)
      : world_(world),
        s_(*world->scenario),
        site_(dispatch::ReadSite(dispatch::Conf(SettingsOf(s_, static_cast<int>(index))))),
        chance_(SeedOf(world->seed, 1, index)),
        word_chance_(SeedOf(world->seed, 7, index)) {
    self = index;
    classes.resize(s_.classes.size());
    times.resize(s_.classes.size());
    tenants.resize(s_.tenants.size());
    for (const ClassSpec& c : s_.classes) class_shares_ += c.share;
    for (const TenantSpec& t : s_.tenants) tenant_shares_ += t.share;
    // The rate that all phases together may reach, thinned at each arrival.
    for (const Phase& p : s_.phases)
      most_factor_ = std::max({most_factor_, p.factor, p.factor_end});
    for (const Phase& p : s_.phases)
      if (!p.tenant.empty()) most_factor_ = std::max(most_factor_, 1 + p.factor);
    rate_ = s_.load * JobsPerSecond(s_) / s_.nodes * most_factor_;
    Begin();
    Own(static_cast<Micros>(chance_.Exponential() * 1e6 / rate_), Kind::kArrive);
    if (index < kSampledNodes) Own(kSampleEvery, Kind::kSample);
  }
  void Script(Micros at, bool dies) { Own(at, Kind::kScript, dies ? 1 : 0); }

  void Take(const Item& item) override {
    switch (item.kind) {
      case Kind::kArrive:
        Arrive();
        break;
      case Kind::kClient:
        Try(item.job);
        break;
      case Kind::kTaken:
      case Kind::kStarted:
      case Kind::kProgressed:
      case Kind::kEnded:
        if (up_ && life_ == LifeOf(item.key)) Hear(item);
        break;
      case Kind::kList:
        known_[static_cast<dispatch::WorkerId>(item.key)] = {
            static_cast<dispatch::Health>(item.code), item.work, now_};
        if (shared_ != nullptr) ListShared(static_cast<dispatch::WorkerId>(item.key));
        if (up_) {
          dispatch::WorkerList list{dispatch::WorkerList::Form::kChanges, {}};
          list.entries.push_back(Entry(static_cast<dispatch::WorkerId>(item.key)));
          Tell(std::move(list));
        }
        break;
      case Kind::kTimer:
        if (up_) Tell(dispatch::TimerFired{});
        break;
      case Kind::kWord:
        if (shared_ != nullptr && !CutOff(self)) {
          std::vector<shared_state::SharedState::OutgoingMessage> out;
          shared_->OnMessage(kUnix + now_, static_cast<int>(item.from), item.key, *item.bytes,
                             &out);
          SendWords(out);
        }
        break;
      case Kind::kShare:
        if (shared_ != nullptr && item.key == life_) Share();
        break;
      case Kind::kTurn:
        if (up_ && item.key == life_) Turn();
        break;
      case Kind::kDeadline:
        Deadline(item.key);
        break;
      case Kind::kSample:
        Sample();
        break;
      case Kind::kScript:
        item.key == 1 ? Die() : Begin();
        break;
      default:
        break;
    }
  }

  Tally all;
  std::vector<Tally> classes, tenants;
  Tally after_restart;
  std::vector<Micros> limits_back;  // after each restart
  std::vector<TimeHistogram> times;
  std::vector<Second> seconds;
  std::vector<NodeSample> samples;
  std::uint64_t sends_to_drained = 0, late_answers = 0, unanswered = 0;
  double cpu_us = 0;
  std::uint64_t requests_seen = 0, words_bytes = 0;
  std::uint64_t looks() const { return looks_ + (decider_ != nullptr ? decider_->Looks() : 0); }
  std::size_t open() const { return requests_.size(); }

 private:
  struct Known {
    dispatch::Health health = dispatch::Health::kInService;
    Micros started = 0, told = 0;
  };
  struct Attempt {
    dispatch::WorkerId worker = 0;
    Micros sent = 0;
    bool out = true;
  };
  struct Request {
    Job job;
    Micros due = 0;
    bool answered = false;
    std::vector<Attempt> attempts;
  };
  // Requests are numbered through all lives of the node; its life is in the number's upper part.
  std::uint64_t LifeOf(std::uint64_t key) const {
    return (key >> kAttemptBits & ((1ull << (kNodeShift - kAttemptBits)) - 1)) >> 36;
  }

  dispatch::WorkerEntry Entry(dispatch::WorkerId id) const {
    dispatch::WorkerEntry e;
    e.worker = id;
    e.identity = SeedOf(77, 3, id);
    e.zone = world_->zone(id);
    e.kind = world_->kinds[id];
    const auto it = known_.find(id);
    if (it != known_.end()) {
      e.health = it->second.health;
      e.ready_at = it->second.started;
    }
    return e;
  }

  void Begin() {
    if (std::exchange(up_, true)) return;
    ++life_;
    decider_ =
        MakeDecider(s_.policy, site_.settings, SeedOf(world_->seed, 4, self * 1000 + life_), now_);
    last_turn_ = now_;
    turn_set_ = false;
    dispatch::WorkerList list{dispatch::WorkerList::Form::kComplete, {}};
    for (std::uint32_t w = 0; w < world_->workers; ++w) list.entries.push_back(Entry(w));
    Tell(std::move(list));
    if (s_.policy == "shared") BeginShared();
    if (life_ == 1) return;
    back_at_ = now_;
    limit_awaited_ = true;
    if (learned_) Recall();
  }
  // Through the same memory, ageing and conversions as a node's file.
  void Recall() {
    knowledge::Memory m = std::move(*std::exchange(learned_, std::nullopt));
    if (s_.recall == Scenario::Recall::kNothing) return;
    if (s_.recall == Scenario::Recall::kSwapped)
      for (auto& w : m.workers) w.what.slowness = 1 / w.what.slowness;
    std::string why;
    const auto recall = knowledge::ForNode(m, site_, m.node, now_ + s_.recall_age, &why);
    if (!recall) return;
    dispatch::Knowledge told = recall->common;
    for (std::uint32_t w = 0; w < world_->workers; ++w) {
      const auto it = recall->workers.find(std::to_string(w));
      if (it != recall->workers.end() && it->second.started_ms == Entry(w).ready_at)
        told.workers.push_back(knowledge::ForModule(it->second, w, now_));
    }
    Tell(std::move(told));
  }
  double Limits() const {
    double sum = 0;
    for (std::size_t k = 0; k < s_.kinds.size(); ++k) sum += decider_->Limit(static_cast<int>(k));
    return sum;
  }
  void WatchLimits() {
    if (!limit_awaited_) return;
    const bool back = Limits() >= kLimitBack * limit_before_;
    if (!back && now_ < back_at_ + kLongBack) return;
    limit_awaited_ = false;
    limits_back.push_back(std::min(now_ - back_at_, kLongBack));
  }
  void Die() {
    if (!std::exchange(up_, false)) return;
    std::vector<std::string> names;
    std::vector<std::int64_t> starts;
    for (std::uint32_t w = 0; w < world_->workers; ++w) {
      names.push_back(std::to_string(w));
      starts.push_back(Entry(w).ready_at);
    }
    learned_ =
        knowledge::Collect(decider_->Learned(now_), now_, site_, names, starts, "node", now_);
    limit_before_ = Limits();
    looks_ += decider_->Looks();
    decider_.reset();
    shared_.reset();
    events_.clear();
    for (auto& [id, r] : requests_)
      if (!r.answered) Close(r.job, What::kFailed);
    requests_.clear();
  }

  // ---- what the nodes share

  // The first so many nodes neither hear nor are heard, from the warm-up on.
  bool CutOff(std::uint32_t node) const {
    return now_ >= s_.warm_up && node < s_.cut_off * s_.nodes;
  }
  void BeginShared() {
    shared_state::SharedStateOptions o;
    o.self = static_cast<int>(self);
    o.nodes = s_.nodes;
    o.zone = world_->zone(self);
    o.zones = s_.zones;
    for (const dispatch::TenantSettings& t : site_.settings.tenants)
      o.quotas.push_back(t.quota_per_s);
    const auto process = static_cast<std::uint64_t>((kUnix + now_) / 1000);
    shared_ = std::make_unique<shared_state::SharedState>(o, process, SeedOf(world_->seed, 8, self),
                                                          kUnix + now_);
    for (std::uint32_t w = 0; w < world_->workers; ++w) ListShared(w);
    Own(now_ + static_cast<Micros>(word_chance_.Uniform() * 250'000), Kind::kShare, life_);
  }
  void ListShared(dispatch::WorkerId id) {
    const dispatch::WorkerEntry e = Entry(id);
    shared_->health().OnListed(id, e.kind, e.ready_at > 0 ? (kUnix + e.ready_at) / 1000 : 0,
                               e.health == dispatch::Health::kInService);
  }
  void Share() {
    std::vector<int> alive;
    for (int n = 0; n < s_.nodes; ++n)
      if (n != static_cast<int>(self)) alive.push_back(n);
    for (const shared_state::WorkerStatus& s : shared_->health().Update(kUnix + now_, alive)) {
      dispatch::HealthVerdict j;
      j.worker = s.worker;
      j.ejected = s.ejected;
      j.trial = s.probe;
      j.cold = s.cold;
      j.observed_at = s.observed_at - kUnix;
      j.witnesses = s.reporters;
      Tell(std::move(j));
    }
    std::vector<shared_state::SharedState::OutgoingMessage> out;
    shared_->Tick(kUnix + now_, alive, &out);
    SendWords(out);
    Own(std::max(now_ + 1, shared_->next_tick() - kUnix), Kind::kShare, life_);
  }
  void SendWords(const std::vector<shared_state::SharedState::OutgoingMessage>& out) {
    for (const shared_state::SharedState::OutgoingMessage& o : out) {
      words_bytes += o.section.size();
      if (CutOff(self) || word_chance_.Uniform() < s_.words_lost) continue;
      Item item;
      item.kind = Kind::kWord;
      item.key = shared_->process();
      item.bytes = std::make_shared<const std::string>(o.section);
      Post(item, static_cast<std::uint32_t>(o.to), kWordWay);
    }
  }
  void EndShared(dispatch::WorkerId worker, Outcome outcome) {
    using End = shared_state::WorkerHealth::JobOutcome;
    if (shared_ == nullptr) return;
    if (outcome == Outcome::kFull) shared_->health().OnWorkerResponse(kUnix + now_, worker);
    shared_->health().OnJobEnded(kUnix + now_, worker,
                                 outcome == Outcome::kGood           ? End::kServed
                                 : outcome == Outcome::kError        ? End::kFailed
                                 : outcome == Outcome::kNoConnection ? End::kNoConnection
                                 : outcome == Outcome::kReset        ? End::kReset
                                                                     : End::kTimedOut,
                                 0);
  }

  // ---- clients

  void Arrive() {
    const Micros next =
        now_ + std::max<Micros>(1, static_cast<Micros>(chance_.Exponential() * 1e6 / rate_));
    if (next < world_->end) Own(next, Kind::kArrive);
    Job job;
    job.first = now_;
    job.after_restart = up_ && back_at_ > 0 && now_ < back_at_ + kJustBack;
    const std::string* tenant = &kNobody;
    if (!s_.tenants.empty()) {
      double at = chance_.Uniform() * tenant_shares_;
      job.tenant = 0;
      while (at >= s_.tenants[static_cast<std::size_t>(job.tenant)].share &&
             job.tenant + 1 < static_cast<int>(s_.tenants.size()))
        at -= s_.tenants[static_cast<std::size_t>(job.tenant++)].share;
      tenant = &s_.tenants[static_cast<std::size_t>(job.tenant)].name;
    }
    const bool comes = chance_.Uniform() * most_factor_ < FactorAt(s_.phases, now_, *tenant);
    double at = chance_.Uniform() * class_shares_;
    while (at >= s_.classes[static_cast<std::size_t>(job.cls)].share &&
           job.cls + 1 < static_cast<int>(s_.classes.size()))
      at -= s_.classes[static_cast<std::size_t>(job.cls++)].share;
    const ClassSpec& c = s_.classes[static_cast<std::size_t>(job.cls)];
    const double size = c.spread == ClassSpec::Spread::kExponential ? chance_.Exponential()
                        : c.spread == ClassSpec::Spread::kPareto    ? chance_.Pareto(1.5)
                                                                    : 1;
    job.work = std::max<Micros>(500, static_cast<Micros>(size * static_cast<double>(c.work)));
    if (!comes) return;
    ++requests_seen;
    Try(job);
  }
  void Try(Job job) {
    ++job.tries;
    const ClassSpec& c = s_.classes[static_cast<std::size_t>(job.cls)];
    const Micros due = job.first + c.deadline;
    if (now_ >= due - 20'000) return Close(job, What::kRefused);
    if (!up_) return Again(job, (self + 1) % world_->nodes);  // connections to it are refused
    shared_state::SharedState::Admission admission;
    if (shared_ != nullptr) admission = shared_->Admit(kUnix + now_, job.tenant, job.tries > 1);
    if (admission.rejected) {  // before the module
      if (now_ >= s_.warm_up) ++At(now_).refusals;
      return Again(job, self);
    }
    const std::uint64_t id = life_ << 36 | ++last_id_;
    Request& r = requests_[id];
    r.job = job;
    r.due = due;
    dispatch::RequestArrived e;
    e.request = id;
    e.cls = job.cls;
    e.tenant = job.tenant;
    e.due = due - 5'000;
    e.slots = c.slots;
    e.is_repeat = job.tries > 1;
    if (shared_ != nullptr && job.tenant >= 0) e.over_quota = admission.over_quota;
    Tell(e);
    Own(due, Kind::kDeadline, id);
  }
  void Again(Job job, std::uint32_t to) {
    if (job.tries >= s_.client_tries) return Close(job, What::kRefused);
    const Micros wait = static_cast<Micros>(
        (0.5 + chance_.Uniform()) * static_cast<double>(s_.client_backoff << (job.tries - 1)));
    Item item;
    item.kind = Kind::kClient;
    item.job = job;
    Post(item, to, std::max(wait, s_.way));
  }
  enum class What { kServed, kRefused, kFailed };
  void Close(const Job& job, What what) {
    const ClassSpec& c = s_.classes[static_cast<std::size_t>(job.cls)];
    if (job.first < s_.warm_up) return;
    Tally t;
    t.jobs = 1;
    t.asked = c.worth;
    t.tries = static_cast<std::uint64_t>(job.tries);
    t.attempts = static_cast<std::uint64_t>(job.attempts);
    if (what == What::kServed) {
      const Micros aim = c.aim + static_cast<Micros>(c.stretch * static_cast<double>(job.work));
      const bool in_aim = now_ - job.first <= aim;
      ++(in_aim ? t.in_aim : t.late);
      t.good = c.worth * (in_aim ? 1 : c.late);
      times[static_cast<std::size_t>(job.cls)].Add(now_ - job.first);
    } else {
      ++(what == What::kRefused ? t.refused : t.failed);
    }
    all.Merge(t);
    if (job.after_restart) after_restart.Merge(t);
    classes[static_cast<std::size_t>(job.cls)].Merge(t);
    if (job.tenant >= 0) tenants[static_cast<std::size_t>(job.tenant)].Merge(t);
    Second& s = At(job.first);
    s.asked += t.asked;
    s.good += t.good;
    ++s.jobs;
    s.by_class[static_cast<std::size_t>(job.cls)].first += t.asked;
    s.by_class[static_cast<std::size_t>(job.cls)].second += t.good;
  }
  Second& At(Micros at) {
    const auto second = static_cast<std::size_t>(at / 1'000'000);
    while (seconds.size() <= second) {
      seconds.emplace_back();
      seconds.back().by_class.resize(s_.classes.size());
    }
    return seconds[second];
  }

  // ---- the node

  void Tell(dispatch::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(turn_set_, true)) return;
    Own(std::max(now_, last_turn_ + site_.settings.min_handle_interval), Kind::kTurn, life_);
  }
  void Turn() {
    turn_set_ = false;
    last_turn_ = now_;
    std::vector<dispatch::Event> events = std::exchange(events_, {});
    actions_.clear();
    const auto begin = std::chrono::steady_clock::now();
    decider_->Handle(now_, events, &actions_);
    cpu_us +=
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
    for (const dispatch::Action& action : actions_) Carry(action);
    WatchLimits();
  }
  void Carry(const dispatch::Action& action) {
    if (const auto* send = std::get_if<dispatch::Send>(&action)) {
      const auto it = requests_.find(send->request);
      if (it == requests_.end()) return;
      Request& r = it->second;
      const ClassSpec& c = s_.classes[static_cast<std::size_t>(r.job.cls)];
      const auto known = known_.find(send->worker);
      if (known != known_.end() && known->second.health != dispatch::Health::kInService &&
          now_ > known->second.told + site_.settings.stop_sending_within)
        ++sends_to_drained;
      Item item;
      item.kind = Kind::kSend;
      item.key = KeyOf(self, send->request, static_cast<int>(r.attempts.size()));
      item.work = r.job.work;
      item.slots = static_cast<float>(c.slots);
      item.cls = c.effect == "once" ? 1 : 0;
      r.attempts.push_back({send->worker, now_, true});
      ++r.job.attempts;
      if (now_ >= s_.warm_up) ++At(now_).attempts;
      if (shared_ != nullptr) shared_->health().OnJobSent(kUnix + now_, send->worker);
      Post(item, world_->nodes + send->worker, world_->Way(self, send->worker));
    } else if (const auto* refuse = std::get_if<dispatch::Refuse>(&action)) {
      Answer(refuse->request, What::kRefused);
    } else if (const auto* fail = std::get_if<dispatch::Fail>(&action)) {
      Answer(fail->request, What::kFailed);
    } else if (const auto* cancel = std::get_if<dispatch::Cancel>(&action)) {
      const auto it = requests_.find(cancel->request);
      if (it == requests_.end()) return;
      Attempt& a = it->second.attempts[static_cast<std::size_t>(cancel->attempt)];
      if (!a.out) return;
      Item item;
      item.kind = Kind::kCancel;
      item.key = KeyOf(self, cancel->request, cancel->attempt);
      Post(item, world_->nodes + a.worker, world_->Way(self, a.worker));
      EndAttempt(cancel->request, it->second, cancel->attempt, Outcome::kCancelled, -1);
    } else if (const auto* timer = std::get_if<dispatch::SetTimer>(&action)) {
      Own(std::max(timer->at, now_), Kind::kTimer);
    }
  }
  void Answer(std::uint64_t id, What what) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.answered) return;
    Request& r = it->second;
    r.answered = true;
    if (now_ > r.due + kLateBy) ++late_answers;
    if (what == What::kRefused) {
      if (now_ >= s_.warm_up) ++At(now_).refusals;
      Again(r.job, self);
    } else {
      Close(r.job, what);
    }
    Forget(it);
  }
  void Hear(const Item& item) {
    const std::uint64_t id = item.key >> kAttemptBits & ((1ull << (kNodeShift - kAttemptBits)) - 1);
    const int number = static_cast<int>(item.key & ((1u << kAttemptBits) - 1));
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    const Attempt& a = r.attempts[static_cast<std::size_t>(number)];
    if (!a.out) return;
    if (shared_ != nullptr && item.kind != Kind::kEnded)
      shared_->health().OnWorkerResponse(kUnix + now_, a.worker);
    if (item.kind == Kind::kTaken) return Tell(dispatch::AttemptAccepted{id, number, a.worker});
    if (item.kind == Kind::kStarted) return Tell(dispatch::AttemptStarted{id, number, a.worker});
    if (item.kind == Kind::kProgressed)
      return Tell(dispatch::AttemptProgress{id, number, a.worker, 0.5});
    const auto outcome = static_cast<Outcome>(item.code);
    const bool serves = outcome == Outcome::kGood && !r.answered;
    EndAttempt(id, r, number, outcome, outcome == Outcome::kNoConnection ? -1 : item.slots);
    if (serves) Answer(id, What::kServed);
  }
  void EndAttempt(std::uint64_t id, Request& r, int number, Outcome outcome, float free) {
    Attempt& a = r.attempts[static_cast<std::size_t>(number)];
    if (!std::exchange(a.out, false)) return;
    dispatch::AttemptEnded e;
    e.request = id;
    e.attempt = number;
    e.worker = a.worker;
    e.outcome = outcome;
    e.latency = now_ - a.sent;
    e.settled = r.answered || outcome == Outcome::kGood;
    if (free >= 0) e.load.free_slots = static_cast<double>(free);
    EndShared(a.worker, outcome);
    Tell(e);
    const auto it = requests_.find(id);
    if (it != requests_.end()) Forget(it);
  }
  // The node stops waiting at the deadline; the module, told so, gives the answer.
  void Deadline(std::uint64_t id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    for (std::size_t i = 0; i < r.attempts.size(); ++i)
      if (r.attempts[i].out) {
        dispatch::AttemptEnded e;
        r.attempts[i].out = false;
        e.request = id;
        e.attempt = static_cast<int>(i);
        e.worker = r.attempts[i].worker;
        e.outcome = Outcome::kTimeout;
        e.latency = now_ - r.attempts[i].sent;
        e.settled = r.answered;
        EndShared(e.worker, e.outcome);
        Tell(e);
      }
    if (r.answered) {
      requests_.erase(it);
    } else if (now_ >= r.due + kLateBy) {
      ++unanswered;
      r.answered = true;
      Close(r.job, What::kFailed);
      requests_.erase(it);
    } else {
      Own(r.due + kLateBy, Kind::kDeadline, id);  // once more: is it answered?
    }
  }
  void Forget(std::unordered_map<std::uint64_t, Request>::iterator it) {
    if (!it->second.answered) return;
    for (const Attempt& a : it->second.attempts)
      if (a.out) return;
    requests_.erase(it);
  }
  void Sample() {
    NodeSample s;
    s.at = now_;
    for (std::size_t k = 0; up_ && k < s_.kinds.size(); ++k) {
      s.limit += static_cast<float>(decider_->Limit(static_cast<int>(k)));
      s.busy += static_cast<float>(decider_->Busy(static_cast<int>(k)));
    }
    if (up_) s.open = static_cast<float>(decider_->Open());
    samples.push_back(s);
    if (now_ < world_->end) Own(now_ + kSampleEvery, Kind::kSample);
  }

  inline static const std::string kNobody;
  const World* world_;
  const Scenario& s_;
  dispatch::Site site_;
  Chance chance_;
  Chance word_chance_;  // of its own: words change no arrival
  std::unique_ptr<shared_state::SharedState> shared_;
  double class_shares_ = 0, tenant_shares_ = 0, most_factor_ = 1, rate_ = 0;
  bool up_ = false, turn_set_ = false;
  std::uint64_t life_ = 0, last_id_ = 0, looks_ = 0;
  Micros last_turn_ = 0, back_at_ = 0;
  std::optional<knowledge::Memory> learned_;  // by the life before
  double limit_before_ = 0;
  bool limit_awaited_ = false;
  std::unique_ptr<Decider> decider_;
  std::unordered_map<dispatch::WorkerId, Known> known_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::vector<dispatch::Event> events_;
  std::vector<dispatch::Action> actions_;
};

// ---------------------------------------------------------------- the run

}  // namespace

void Tally::Merge(const Tally& o) {
  asked += o.asked;
  good += o.good;
  jobs += o.jobs;
  in_aim += o.in_aim;
  late += o.late;
  refused += o.refused;
  failed += o.failed;
  tries += o.tries;
  attempts += o.attempts;
}

void Second::Merge(const Second& o) {
  asked += o.asked;
  good += o.good;
  jobs += o.jobs;
  refusals += o.refusals;
  attempts += o.attempts;
  falls += o.falls;
  if (by_class.size() < o.by_class.size()) by_class.resize(o.by_class.size());
  for (std::size_t i = 0; i < o.by_class.size(); ++i) {
    by_class[i].first += o.by_class[i].first;
    by_class[i].second += o.by_class[i].second;
  }
}

Figures Simulate(const Scenario& scenario, std::uint64_t seed, int threads) {
  const auto begin = std::chrono::steady_clock::now();
  World world;
  world.scenario = &scenario;
  world.nodes = static_cast<std::uint32_t>(scenario.nodes);
  world.workers = static_cast<std::uint32_t>(scenario.workers);
  world.seed = seed;
  world.end = scenario.length;
  double parts = 0;
  for (const KindSpec& k : scenario.kinds) parts += k.part;
  for (std::uint32_t w = 0; w < world.workers; ++w) {
    double at = (w + 0.5) / world.workers * parts;
    std::size_t kind = 0;
    while (at >= scenario.kinds[kind].part && kind + 1 < scenario.kinds.size())
      at -= scenario.kinds[kind++].part;
    Chance chance(SeedOf(seed, 6, w));
    WorkerSpec spec = scenario.kinds[kind].worker;
    spec.speed *= 1 + scenario.kinds[kind].speed_spread * (2 * chance.Uniform() - 1);
    world.specs.push_back(spec);
    world.kinds.push_back(static_cast<int>(kind));
  }
  std::vector<std::unique_ptr<NodeEntity>> nodes;
  std::vector<std::unique_ptr<WorkerEntity>> workers;
  for (std::uint32_t n = 0; n < world.nodes; ++n)
    nodes.push_back(std::make_unique<NodeEntity>(&world, n));
  for (std::uint32_t w = 0; w < world.workers; ++w) {
    workers.push_back(std::make_unique<WorkerEntity>(&world, w));
    workers.back()->StartSampling();
  }
  for (std::size_t i = 0; i < scenario.troubles.size(); ++i) {
    const Trouble& t = scenario.troubles[i];
    if (t.what == Trouble::What::kLateList) continue;
    if (t.what == Trouble::What::kRolling) {
      for (std::uint32_t n = 0; n < world.nodes; ++n) {
        nodes[n]->Script(t.at + 2 * n * t.length, true);
        nodes[n]->Script(t.at + (2 * n + 1) * t.length, false);
      }
      continue;
    }
    const bool of_nodes = t.what == Trouble::What::kNodeDies;
    for (const std::uint32_t j : StruckBy(t, of_nodes ? world.nodes : world.workers, seed, i)) {
      if (of_nodes) {
        nodes[j]->Script(t.at, true);
        nodes[j]->Script(t.at + t.length, false);
      } else {
        workers[j]->Script(t.at, &t, true);
        workers[j]->Script(t.at + t.length, &t, false);
      }
    }
  }
  std::vector<Entity*> entities;
  for (const auto& n : nodes) entities.push_back(n.get());
  for (const auto& w : workers) entities.push_back(w.get());

  threads = std::clamp(threads, 1, 64);
  const Micros stop = world.end + kAfterwards;
  std::vector<std::vector<Item>> outboxes(static_cast<std::size_t>(threads));
  std::vector<Micros> next(static_cast<std::size_t>(threads), 0);
  Micros from = 0;
  bool over = false;
  const auto advance = [&]() noexcept {
    const Micros first = *std::min_element(next.begin(), next.end());
    over = first >= stop;
    if (!over) from = std::max(from, first - first % scenario.way);
  };
  std::barrier run(threads);
  std::barrier routed(threads, advance);
  const auto work = [&](std::size_t t) {
    while (!over) {
      outboxes[t].clear();
      for (std::size_t i = t; i < entities.size(); i += static_cast<std::size_t>(threads))
        if (entities[i]->Next() < from + scenario.way)
          entities[i]->Run(from + scenario.way, &outboxes[t]);
      run.arrive_and_wait();
      for (const auto& outbox : outboxes)
        for (const Item& item : outbox)
          if (item.to % static_cast<std::uint32_t>(threads) == t) entities[item.to]->Push(item);
      Micros soonest = kNever;
      for (std::size_t i = t; i < entities.size(); i += static_cast<std::size_t>(threads))
        soonest = std::min(soonest, entities[i]->Next());
      next[t] = soonest;
      routed.arrive_and_wait();
    }
  };
  std::vector<std::thread> pool;
  for (int t = 1; t < threads; ++t) pool.emplace_back(work, static_cast<std::size_t>(t));
  work(0);
  for (std::thread& t : pool) t.join();

  Figures f;
  f.scenario = scenario.name;
  f.policy = scenario.policy;
  f.seed = seed;
  f.length = scenario.length;
  f.sample_every = kSampleEvery;
  for (const ClassSpec& c : scenario.classes) f.class_names.push_back(c.name);
  for (const TenantSpec& t : scenario.tenants) f.tenant_names.push_back(t.name);
  f.classes.resize(scenario.classes.size());
  f.tenants.resize(scenario.tenants.size());
  f.times.resize(scenario.classes.size());
  double cpu = 0;
  std::uint64_t requests = 0, restarts = 0;
  for (const auto& n : nodes) {
    f.all.Merge(n->all);
    f.after_restart.Merge(n->after_restart);
    for (const Micros back : n->limits_back) {
      f.limits_back_s += static_cast<double>(back) / 1e6;
      ++restarts;
    }
    for (std::size_t i = 0; i < f.classes.size(); ++i) {
      f.classes[i].Merge(n->classes[i]);
      f.times[i].Merge(n->times[i]);
    }
    for (std::size_t i = 0; i < f.tenants.size(); ++i) f.tenants[i].Merge(n->tenants[i]);
    if (f.seconds.size() < n->seconds.size()) f.seconds.resize(n->seconds.size());
    for (std::size_t i = 0; i < n->seconds.size(); ++i) f.seconds[i].Merge(n->seconds[i]);
    if (!n->samples.empty()) f.nodes.push_back(n->samples);
    f.sends_to_drained += n->sends_to_drained;
    f.late_answers += n->late_answers;
    f.unanswered += n->unanswered;
    f.events += n->events;
    f.looks += n->looks();
    cpu += n->cpu_us;
    f.word_bytes += static_cast<double>(n->words_bytes) /
                    (static_cast<double>(scenario.length) / 1e6) / scenario.nodes;
    requests += n->requests_seen;
  }
  if (restarts > 0) f.limits_back_s /= static_cast<double>(restarts);
  std::vector<std::uint64_t> begun;
  double busy = 0, squares = 0, up = 0;
  for (const auto& w : workers) {
    f.falls += w->falls;
    f.events += w->events;
    f.cold_pressure = std::max(f.cold_pressure, w->cold_pressure);
    if (!w->samples.empty()) f.workers.push_back(w->samples);
    begun.insert(begun.end(), w->begun_once.begin(), w->begun_once.end());
    busy += w->busy_sum;
    up += w->up_sum;
    const double share = w->up_sum > 0 ? w->busy_sum / w->up_sum : 0;
    squares += share * share;
    for (const auto& [at, n] : w->falls_at)
      if (static_cast<std::size_t>(at / 1'000'000) < f.seconds.size())
        f.seconds[static_cast<std::size_t>(at / 1'000'000)].falls += n;
  }
  std::sort(begun.begin(), begun.end());
  for (std::size_t i = 1; i < begun.size(); ++i) f.second_runs += begun[i] == begun[i - 1] ? 1 : 0;
  f.busy_share = up > 0 ? busy / up : 0;
  const double n = static_cast<double>(workers.size());
  f.imbalance = std::sqrt(std::max(0.0, squares / n - f.busy_share * f.busy_share));
  double spread = 0;
  std::size_t counted = 0;
  for (std::size_t i = 0; !f.nodes.empty() && i < f.nodes[0].size(); ++i) {
    double sum = 0, square = 0, m = 0;
    for (const auto& samples : f.nodes) {
      if (i >= samples.size()) continue;
      sum += static_cast<double>(samples[i].limit);
      square += static_cast<double>(samples[i].limit) * static_cast<double>(samples[i].limit);
      ++m;
    }
    if (sum <= 0) continue;
    spread += std::sqrt(std::max(0.0, square / m - sum / m * sum / m)) / (sum / m);
    ++counted;
  }
  f.limit_spread = counted > 0 ? spread / static_cast<double>(counted) : 0;
  f.cpu_us_a_job = requests > 0 ? cpu / static_cast<double>(requests) : 0;
  f.seconds_taken = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  return f;
}

std::string Digest(const Figures& f) {
  char text[400];
  double curve = 0;
  for (const TimeHistogram& t : f.times) curve += t.Mean() * t.count() + t.Quantile(0.99);
  double limits = 0;
  for (const auto& n : f.nodes)
    for (const NodeSample& s : n) limits += static_cast<double>(s.limit + s.busy + s.open);
  std::snprintf(
      text, sizeof text,
      "%.17g %.17g %llu %llu %llu %llu %llu %llu %llu %.17g %.17g %.17g %.17g %llu %llu",
      f.all.asked, f.all.good, static_cast<unsigned long long>(f.all.jobs),
      static_cast<unsigned long long>(f.all.in_aim), static_cast<unsigned long long>(f.all.late),
      static_cast<unsigned long long>(f.all.refused), static_cast<unsigned long long>(f.all.failed),
      static_cast<unsigned long long>(f.all.tries), static_cast<unsigned long long>(f.all.attempts),
      f.busy_share, f.imbalance, curve, limits, static_cast<unsigned long long>(f.events),
      static_cast<unsigned long long>(f.looks));
  return text;
}

}  // namespace pearreach::lab
