#include "lab/world/world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "node/capture/segment.h"

namespace pearreach::lab {
namespace {

using dispatch::Outcome;

constexpr Micros kWay = 1 * kMs;  // to a worker, and back

}  // namespace

dispatch::Conf::Values BaseSettings() {
  return {{"Balancers", "3"},
          {"Ordinal", "0"},
          {"Locality", "a"},
          {"Zones", "a,b"},
          {"Models", "m"},
          {"RoundMs", "2.0"},
          {"RequestClasses.count", "2"},
          {"RequestClasses.0.Name", "commit"},
          {"RequestClasses.0.Effect", "once"},
          {"RequestClasses.0.AimMs", "300"},
          {"RequestClasses.0.AimStretch", "2"},
          {"RequestClasses.0.DeadlineMs", "5000"},
          {"RequestClasses.0.Credit", "10"},
          {"RequestClasses.0.LateValue", "0.3"},
          {"RequestClasses.1.Name", "sync"},
          {"RequestClasses.1.Effect", "by_key"},
          {"RequestClasses.1.KeyScope", "cell"},
          {"RequestClasses.1.WindowMs", "7500"},
          {"RequestClasses.1.AimMs", "200"},
          {"RequestClasses.1.AimStretch", "2"},
          {"RequestClasses.1.DeadlineMs", "5000"},
          {"RequestClasses.1.Credit", "30"},
          {"RequestClasses.1.LateValue", "0.3"},
          {"Accounts.count", "2"},
          {"Accounts.0.Name", "acme"},
          {"Accounts.0.QuotaRps", "100"},
          {"Accounts.1.Name", "umbra"},
          {"Accounts.1.QuotaRps", "40"},
          {"FamilyInfo.TellsStart", "true"},
          {"FamilyInfo.ProgressMs", "1000"},
          {"FamilyInfo.ReportX0", "free_slots"},
          {"Limits.Cancel", "true"},
          {"Limits.MayDuplicate", "true"},
          {"Limits.TryLimit", "3"},
          {"Limits.ConnectTimeoutMs", "200"},
          {"Limits.ConnIdleMs", "60000"},
          {"Limits.MaxRetryAfterMs", "2000"},
          {"Prices.CrossZone", "0.1"},
          {"Contract.AnswerSlackMs", "50"},
          {"Contract.StopSendingWithinMs", "1000"},
          {"Contract.ColdShare", "0.32"},
          {"Contract.ColdMs", "8000"},
          {"Contract.FallMultiple", "2.5"},
          {"Contract.FallMs", "1000"}};
}

World::World(const dispatch::Conf::Values& settings, std::uint64_t seed)
    : origin_{.node = "n0",
              .build = "lab",
              .seed = seed,
              .settings = settings,
              .tells_taken = true,
              .workers = {},
              .edited = true},
      site_(origin_.Site()),
      dispatcher_(site_.settings, seed, 0),
      random_(seed) {}

// ---------------------------------------------------------------- the script

int World::AddWorker(const WorkerOptions& options) {
  workers_.push_back({.options = options, .waiting = {}, .history = {}});
  names_.push_back(options.name);
  return static_cast<int>(workers_.size()) - 1;
}

void World::At(Micros when, std::function<void()> what) {
  plan_.push({when, ++order_, std::move(what)});
}

void World::AddLoad(const LoadOptions& options, Micros from, Micros until) {
  At(from, [this, options, until] { Arrive(options, until); });
}

void World::ListAll(Micros when) {
  At(when, [this] {
    dispatch::WorkerList list{dispatch::WorkerList::Form::kComplete, {}};
    for (std::size_t i = 0; i < workers_.size(); ++i)
      list.entries.push_back(Entry(static_cast<int>(i), dispatch::Health::kInService));
    capture::Note note;
    note.version = ++list_version_;
    Tell(std::move(list), note);
  });
}

void World::ListOne(Micros when, int worker, dispatch::Health health) {
  At(when, [this, worker, health] {
    capture::Note note;
    note.version = ++list_version_;
    Tell(dispatch::WorkerList{dispatch::WorkerList::Form::kChanges, {Entry(worker, health)}}, note);
  });
}

void World::Silence(Micros when, int worker, Micros length) {
  At(when, [this, worker] { workers_[static_cast<std::size_t>(worker)].silent = true; });
  Restart(when + length, worker);
}

// What it held is gone; the node hears of that, as the machine's agent tells it.
void World::Restart(Micros when, int worker) {
  At(when, [this, worker] {
    Worker& w = workers_[static_cast<std::size_t>(worker)];
    w.silent = false;
    ++w.life;
    w.started = now_;
    w.busy = 0;
    w.waiting.clear();
    Note(w);
    for (auto& [id, r] : requests_)
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].out && r.attempts[i].worker == worker)
          End(id, static_cast<int>(i), Outcome::kReset, -1);
  });
}

void World::Peer(Micros when, int from, const std::string& data) {
  At(when, [this, from, data] { Tell(dispatch::PeerMessage{from, data}); });
}

void World::Run(Micros until) {
  while (!plan_.empty() && plan_.top().at <= until) {
    const Happening next = plan_.top();
    plan_.pop();
    now_ = std::max(now_, next.at);
    next.what();
  }
}

std::string World::Capture(const std::string& reason) const {
  capture::SegmentWriter writer(origin_, nullptr);
  for (const capture::Turn& t : turns_) writer.Add(t);
  return writer.Finish(reason);
}

// ---------------------------------------------------------------- the node

void World::Tell(dispatch::Event event, capture::Note note) {
  note.seen = now_;
  events_.push_back(std::move(event));
  notes_.push_back(std::move(note));
  if (std::exchange(turn_set_, true)) return;
  At(std::max(now_, last_turn_ + site_.settings.min_handle_interval), [this] { Turn(); });
}

void World::Turn() {
  turn_set_ = false;
  last_turn_ = now_;
  capture::Turn turn;
  turn.now = now_;
  turn.events = std::exchange(events_, {});
  turn.notes = std::exchange(notes_, {});
  dispatcher_.Handle(now_, turn.events, &turn.actions);
  turn.workers.assign(names_.begin() + static_cast<std::ptrdiff_t>(told_names_), names_.end());
  told_names_ = names_.size();
  if (on_turn) on_turn(turn, dispatcher_, names_);
  const std::vector<dispatch::Action> actions = turn.actions;
  turns_.push_back(std::move(turn));
  for (const dispatch::Action& action : actions) Carry(action);
}

void World::Carry(const dispatch::Action& action) {
  if (const auto* send = std::get_if<dispatch::Send>(&action)) {
    Request& r = requests_.at(send->request);
    const int number = static_cast<int>(r.attempts.size());
    const int worker = static_cast<int>(send->worker);
    r.attempts.push_back({worker, now_});
    const Held held{send->request, number, r.work, r.slots};
    At(now_ + kWay, [this, worker, held] { Reach(worker, held); });
  } else if (const auto* refuse = std::get_if<dispatch::Refuse>(&action)) {
    requests_.at(refuse->request).answered = true;
    ++refused_;
  } else if (const auto* fail = std::get_if<dispatch::Fail>(&action)) {
    requests_.at(fail->request).answered = true;
    ++failed_;
  } else if (const auto* cancel = std::get_if<dispatch::Cancel>(&action)) {
    End(cancel->request, cancel->attempt, Outcome::kCancelled, -1);
  } else if (const auto* timer = std::get_if<dispatch::SetTimer>(&action)) {
    At(timer->at, [this] { Tell(dispatch::TimerFired{}); });
  }
}

void World::Arrive(const LoadOptions& load, Micros until) {
  const Micros next = now_ + static_cast<Micros>(Exponential() * 1e6 / load.per_second);
  if (next < until) At(next, [this, load, until] { Arrive(load, until); });
  dispatch::RequestArrived e;
  e.request = ++jobs_;
  e.cls = dispatch::IndexOf(site_.classes, load.cls);
  e.tenant = dispatch::IndexOf(site_.tenants, load.tenant);
  e.due = now_ + load.patience;
  e.slots = load.slots;
  Request& r = requests_[e.request];
  r.due = e.due;
  r.work =
      std::max<Micros>(kMs, static_cast<Micros>(Exponential() * static_cast<double>(load.work)));
  r.slots = load.slots;
  capture::Note note;
  char id[24];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(e.request * 0x9e37));
  note.id = id;
  Tell(e, note);
  // The node stops waiting at the deadline; the module, told so, gives the answer.
  At(e.due, [this, id = e.request] {
    const Request& r = requests_.at(id);
    for (std::size_t i = 0; i < r.attempts.size(); ++i)
      if (r.attempts[i].out) End(id, static_cast<int>(i), Outcome::kTimeout, -1);
  });
}

void World::End(std::uint64_t job, int attempt, Outcome outcome, int reporter) {
  Request& r = requests_.at(job);
  Attempt& a = r.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(a.out, false)) return;
  if (outcome == Outcome::kGood && !std::exchange(r.answered, true)) ++served_;
  dispatch::AttemptEnded e;
  e.request = job;
  e.attempt = attempt;
  e.worker = static_cast<dispatch::WorkerId>(a.worker);
  e.outcome = outcome;
  e.latency = now_ - a.sent;
  e.settled = r.answered;
  if (reporter >= 0)
    e.load.free_slots = Free(workers_[static_cast<std::size_t>(reporter)], now_ - report_age_);
  Tell(e);
}

// ---------------------------------------------------------------- a worker

double World::Capacity(const Worker& w) const {
  const dispatch::Settings& s = site_.settings;
  if (w.started == 0 || now_ >= w.started + s.cold_time) return w.options.speed;
  const double age = static_cast<double>(now_ - w.started) / static_cast<double>(s.cold_time);
  return w.options.speed * (s.cold_share + (1 - s.cold_share) * age);
}

void World::Note(Worker& w) { w.history.push_back({now_, w.options.slots - w.busy}); }

double World::Free(const Worker& w, Micros at) const {
  double free = w.options.slots;
  for (const auto& [when, value] : w.history)
    if (when <= at) free = value;
  return std::max(0.0, free);
}

void World::Reach(int worker, Held held) {
  Worker& w = workers_[static_cast<std::size_t>(worker)];
  const Attempt& a = requests_.at(held.job).attempts[static_cast<std::size_t>(held.attempt)];
  if (w.silent || !a.out) return;
  const bool fits = w.busy + held.slots <= w.options.slots;
  if (!fits && static_cast<int>(w.waiting.size()) >= w.options.room) {
    At(now_ + kWay, [this, held, worker] { End(held.job, held.attempt, Outcome::kFull, worker); });
    return;
  }
  w.waiting.push_back(held);
  At(now_ + kWay, [this, held, worker] {
    if (requests_.at(held.job).attempts[static_cast<std::size_t>(held.attempt)].out)
      Tell(dispatch::AttemptAccepted{held.job, held.attempt,
                                     static_cast<dispatch::WorkerId>(worker)});
  });
  Begin(worker);
}

// Starts what fits, in any order.
void World::Begin(int worker) {
  Worker& w = workers_[static_cast<std::size_t>(worker)];
  for (std::size_t i = 0; i < w.waiting.size();) {
    const Held held = w.waiting[i];
    if (w.busy + held.slots > w.options.slots) {
      ++i;
      continue;
    }
    w.waiting.erase(w.waiting.begin() + static_cast<std::ptrdiff_t>(i));
    w.busy += held.slots;
    Note(w);
    const auto id = static_cast<dispatch::WorkerId>(worker);
    const std::uint64_t life = w.life;
    const auto out = [this, held] {
      return requests_.at(held.job).attempts[static_cast<std::size_t>(held.attempt)].out;
    };
    const auto speaks = [this, worker, life] {
      const Worker& now = workers_[static_cast<std::size_t>(worker)];
      return now.life == life && !now.silent;
    };
    At(now_ + kWay, [=, this] {
      if (speaks() && out()) Tell(dispatch::AttemptStarted{held.job, held.attempt, id});
    });
    const Micros runs = static_cast<Micros>(static_cast<double>(held.work) / Capacity(w));
    for (Micros at = kSecond; at < runs; at += kSecond)
      At(now_ + at, [=, this] {
        if (speaks() && out())
          Tell(dispatch::AttemptProgress{held.job, held.attempt, id,
                                         static_cast<double>(at) / static_cast<double>(runs)});
      });
    At(now_ + runs, [=, this] {
      Worker& then = workers_[static_cast<std::size_t>(worker)];
      if (then.life != life) return;
      then.busy -= held.slots;
      Note(then);
      if (!then.silent)
        At(now_ + kWay, [=, this] { End(held.job, held.attempt, Outcome::kGood, worker); });
      Begin(worker);
    });
  }
}

dispatch::WorkerEntry World::Entry(int worker, dispatch::Health health) const {
  const Worker& w = workers_[static_cast<std::size_t>(worker)];
  dispatch::WorkerEntry e;
  e.worker = static_cast<dispatch::WorkerId>(worker);
  e.identity = dispatch::HashName(w.options.name);
  e.zone = dispatch::IndexOf(site_.zones, w.options.zone);
  e.kind = dispatch::IndexOf(site_.kinds, w.options.kind);
  e.cell = w.options.cell;
  e.health = health;
  e.ready_at = w.started;
  return e;
}

// ---------------------------------------------------------------- chance

// By hand: the standard's distributions differ from library to library.
double World::Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
double World::Exponential() { return -std::log1p(-Uniform()); }

}  // namespace pearreach::lab
