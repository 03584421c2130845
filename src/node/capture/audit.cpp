#include "node/capture/audit.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace pearreach::capture {
namespace {

using namespace pearreach::dispatch;

constexpr std::size_t kMaxBreaches = 1000;
constexpr Micros kDefaultSlack = 50'000;  // where the settings name none
constexpr Micros kGrain = 2'000;          // what the turns' own spacing may add to a drain's time

struct Try {
  WorkerId worker = 0;
  Micros sent = 0, started = -1;
  bool out = true, may_have_run = true;
  int zone = -1, cell = -1;
};

struct Job {
  int cls = 0;
  Micros due = 0;
  double slots = 1;
  int finals = 0;  // given by the module or told to it
  bool settled = false;
  std::vector<Try> tries;
};

struct Seen {
  WorkerEntry entry;
  bool listed = false, told_away = false;
  Micros away_since = 0;
  double running = 0;
};

struct ColdSend {
  WorkerId worker = 0;
  Micros ready_at = 0, at = 0;
  double slots = 1;
  int cls = 0;
};

class Books {
 public:
  explicit Books(Segment* segment) : segment_(segment), s_(segment->site().settings) {
    const Conf conf(segment->origin().settings);
    slack_ = conf.Ms("Contract.AnswerSlackMs", kDefaultSlack);
    most_running_.resize(static_cast<std::size_t>(s_.kinds));
    ran_.resize(static_cast<std::size_t>(s_.kinds) * s_.classes.size());
  }

  Audit Run() {
    Turn turn;
    while (segment_->Next(&turn)) {
      now_ = turn.now;
      for (const Event& e : turn.events) std::visit([this](const auto& v) { On(v); }, e);
      for (const Action& a : turn.actions) std::visit([this](const auto& v) { On(v); }, a);
      CheckDue();
    }
    for (const auto& [id, job] : jobs_)
      if (job.finals == 0) ++audit_.open;
    CheckCold();
    audit_.damage = segment_->damage();
    audit_.missing = segment_->missing();
    std::stable_sort(audit_.breaches.begin(), audit_.breaches.end(),
                     [](const Breach& a, const Breach& b) { return a.since < b.since; });
    return audit_;
  }

 private:
  void Broken(int rule, const std::string& what, Micros at) {
    ++audit_.breach_count;
    if (audit_.breaches.size() < kMaxBreaches)
      audit_.breaches.push_back({rule, at - segment_->origin().clock, what});
  }
  void Broken(int rule, const std::string& what) { Broken(rule, what, now_); }

  std::string Name(WorkerId id) const {
    return id < segment_->workers().size() ? segment_->workers()[id] : std::to_string(id);
  }
  static std::string Text(RequestId id) { return "job " + std::to_string(id); }

  Job* Find(RequestId id) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) return &it->second;
    ++audit_.begun_before;
    return nullptr;
  }
  Try* Find(RequestId id, int attempt, Job** job) {
    *job = Find(id);
    if (*job == nullptr || attempt < 0 || attempt >= static_cast<int>((*job)->tries.size()))
      return nullptr;
    return &(*job)->tries[static_cast<std::size_t>(attempt)];
  }
  Seen& Worker(WorkerId id) {
    if (id >= workers_.size()) workers_.resize(id + 1);
    return workers_[id];
  }

  // ------------------------------------------------------------ what the module was told

  void On(const WorkerList& list) {
    if (list.form == WorkerList::Form::kFailed) return;
    std::vector<bool> named(workers_.size());
    for (const WorkerEntry& e : list.entries) {
      Seen& w = Worker(e.worker);
      named.resize(std::max(named.size(), workers_.size()));
      named[e.worker] = true;
      w.entry = e;
      w.listed = true;
      Away(w, e.health != Health::kInService);
    }
    if (list.form == WorkerList::Form::kComplete)
      for (std::size_t i = 0; i < workers_.size(); ++i)
        if (workers_[i].listed && !named[i]) Away(workers_[i], true);
  }
  void Away(Seen& w, bool away) {
    if (away && !w.told_away) {
      w.away_since = now_;
      ++audit_.drains;
    }
    w.told_away = away;
  }

  void On(const RequestArrived& e) {
    if (e.cls < 0 || e.cls >= static_cast<int>(s_.classes.size())) return;
    const auto [it, fresh] = jobs_.try_emplace(e.request);
    if (!fresh) return;
    ++audit_.jobs;
    it->second.cls = e.cls;
    it->second.due = e.due;
    it->second.slots = std::max(1.0, e.slots);
    due_.insert({e.due + slack_, e.request});
  }
  void On(const AttemptAccepted&) {}
  void On(const AttemptStarted& e) {
    Job* job;
    Try* t = Find(e.request, e.attempt, &job);
    if (t == nullptr || !t->out || t->started >= 0) return;
    t->started = now_;
    Seen& w = Worker(t->worker);
    w.running += job->slots;
    if (w.listed && w.entry.kind >= 0 && w.entry.kind < s_.kinds) {
      double& most = most_running_[static_cast<std::size_t>(w.entry.kind)];
      most = std::max(most, w.running);
    }
  }
  void On(const AttemptProgress&) {}
  void On(const StreamBegan& e) {
    if (Job* job = Find(e.request)) Final(e.request, *job);
  }
  void On(const AttemptEnded& e) {
    Job* job;
    Try* t = Find(e.request, e.attempt, &job);
    if (t == nullptr || !t->out) return;
    t->out = false;
    t->may_have_run = e.outcome != Outcome::kFull && e.outcome != Outcome::kNoConnection &&
                      e.outcome != Outcome::kNotSent;
    Seen& w = Worker(t->worker);
    if (t->started >= 0) w.running -= job->slots;
    if (e.outcome == Outcome::kGood && t->started >= 0 && w.listed && w.entry.kind >= 0 &&
        w.entry.kind < s_.kinds) {
      auto& [count, sum] = Ran(w.entry.kind, job->cls);
      ++count;
      sum += static_cast<double>(now_ - t->started);
    }
    // The answer was the worker's, or one that the node gave; a second word of it is no second one.
    if (e.settled && !job->settled) {
      job->settled = true;
      if (job->finals == 0) Final(e.request, *job);
    }
  }
  void On(const RequestAbandoned& e) {
    Job* job = Find(e.request);
    if (job == nullptr) return;
    if (job->finals == 0) Final(e.request, *job);
    job->settled = true;
  }
  void On(const TimerFired&) {}
  void On(const AttemptAdopted& e) {
    Job* job = Find(e.request);
    if (job == nullptr) return;
    Try t;
    t.worker = e.worker;
    t.sent = e.sent;
    t.out = e.state == AttemptAdopted::State::kInFlight;
    t.may_have_run = e.state != AttemptAdopted::State::kNeverRan;
    if (t.out && e.started) {
      t.started = now_;
      Worker(e.worker).running += job->slots;
    }
    job->tries.push_back(t);
  }
  void On(const ProbeEnded&) {}
  void On(const PeerMessage&) {}
  void On(const Knowledge&) {}
  void On(const HealthVerdict&) {}

  // ------------------------------------------------------------ what it decided

  void On(const Send& a) {
    ++audit_.sends;
    Seen& w = Worker(a.worker);
    if (w.told_away && now_ > w.away_since + s_.stop_sending_within + kGrain)
      Broken(3, Text(a.request) + " sent to " + Name(a.worker) + " " +
                    std::to_string((now_ - w.away_since) / 1000) +
                    " ms after it was told to drain or gone");
    Job* job = Find(a.request);
    if (job == nullptr) return;
    if (job->finals > 0) Broken(1, Text(a.request) + " sent after its final answer");
    CheckRepeat(a, *job, w);
    Try t;
    t.worker = a.worker;
    t.sent = now_;
    t.zone = w.listed ? w.entry.zone : -1;
    t.cell = w.listed ? w.entry.cell : -1;
    job->tries.push_back(t);
    if (w.listed && w.entry.ready_at > 0 && now_ < w.entry.ready_at + s_.cold_time) {
      ++audit_.cold_sends;
      cold_.push_back({a.worker, w.entry.ready_at, now_, job->slots, job->cls});
    }
  }

  void CheckRepeat(const Send& a, const Job& job, const Seen& w) {
    const ClassSettings& c = s_.classes[static_cast<std::size_t>(job.cls)];
    if (static_cast<int>(job.tries.size()) >= s_.max_attempts)
      Broken(2, Text(a.request) + " sent more often than allowed");
    const Try* risky = nullptr;
    for (const Try& t : job.tries) {
      if (t.out && !s_.may_duplicate) Broken(2, Text(a.request) + " sent while an attempt is out");
      if (t.may_have_run && risky == nullptr) risky = &t;
    }
    if (risky == nullptr || c.effect == Effect::kRepeatable) return;
    if (c.effect == Effect::kOnce)
      return Broken(2, Text(a.request) + " sent to " + Name(a.worker) +
                           " though it may have run at " + Name(risky->worker));
    if (now_ >= risky->sent + c.key_window)
      Broken(2, Text(a.request) + " repeated after its window");
    if (c.key_scope != KeyScope::kAll && risky->zone >= 0 && w.listed &&
        (w.entry.zone != risky->zone ||
         (c.key_scope == KeyScope::kCell && w.entry.cell != risky->cell)))
      Broken(2, Text(a.request) + " repeated outside its group, at " + Name(a.worker));
  }

  void On(const Refuse& a) {
    Job* job = Find(a.request);
    if (job == nullptr) return;
    const ClassSettings& c = s_.classes[static_cast<std::size_t>(job->cls)];
    for (const Try& t : job->tries)
      if (t.may_have_run && (c.effect == Effect::kOnce ||
                             (c.effect == Effect::kByKey && c.key_scope != KeyScope::kAll)))
        return Broken(2, Text(a.request) + " refused though it may have run at " + Name(t.worker)),
               Own(a.request, *job);
    Own(a.request, *job);
  }
  void On(const Fail& a) {
    if (Job* job = Find(a.request)) Own(a.request, *job);
  }
  void On(const Cancel&) {}
  void On(const SetTimer&) {}
  void On(const Probe&) {}
  void On(const Subscribe&) {}
  void On(const LogLine&) {}

  void Own(RequestId id, Job& job) {
    if (job.finals > 0) return Broken(1, Text(id) + " answered twice");
    Final(id, job);
  }
  void Final(RequestId id, Job& job) {
    ++job.finals;
    ++audit_.answered;
    due_.erase({job.due + slack_, id});
  }

  // ------------------------------------------------------------ checks over time

  void CheckDue() {
    while (!due_.empty() && due_.begin()->first < now_) {
      const RequestId id = due_.begin()->second;
      due_.erase(due_.begin());
      Broken(1, Text(id) + " had no answer by its deadline");
      jobs_.at(id).finals = 1;
    }
  }

  std::pair<std::uint64_t, double>& Ran(int kind, int cls) {
    return ran_[static_cast<std::size_t>(kind) * s_.classes.size() + static_cast<std::size_t>(cls)];
  }

  // The budget of a whole worker, by what warm ones of its kind were seen to do; all nodes together
  // have it, and this one alone must not use more.
  void CheckCold() {
    std::map<std::pair<WorkerId, Micros>, std::vector<ColdSend>> starts;
    for (const ColdSend& c : cold_) starts[{c.worker, c.ready_at}].push_back(c);
    for (const auto& [start, sends] : starts) {
      const int kind = Worker(start.first).entry.kind;
      if (kind < 0 || kind >= s_.kinds) continue;
      const double slots = most_running_[static_cast<std::size_t>(kind)];
      if (slots <= 0) continue;
      double sum = 0;
      std::size_t first = 0;
      for (const ColdSend& c : sends) {
        sum += WorkOf(kind, c);
        while (sends[first].at < c.at - s_.overload_time) sum -= WorkOf(kind, sends[first++]);
        const double age = static_cast<double>(std::max<Micros>(0, sends[first].at - c.ready_at));
        const double share =
            s_.cold_share + (1 - s_.cold_share) * age / static_cast<double>(s_.cold_time);
        const double budget =
            s_.overload_multiple * share * slots * static_cast<double>(s_.overload_time);
        if (budget <= 0 || sum <= 0) continue;
        audit_.cold_share = std::max(audit_.cold_share, sum / budget);
        if (sum > budget)
          Broken(4, Name(c.worker) + " was sent more by this node alone than it stands while cold",
                 c.at);
      }
    }
  }
  double WorkOf(int kind, const ColdSend& c) {
    const auto& [count, sum] = Ran(kind, c.cls);
    return count == 0 ? 0 : c.slots * sum / static_cast<double>(count);
  }

  Segment* segment_;
  const Settings& s_;
  Audit audit_;
  Micros now_ = 0, slack_ = 0;
  std::unordered_map<RequestId, Job> jobs_;
  std::set<std::pair<Micros, RequestId>> due_;
  std::vector<Seen> workers_;
  std::vector<ColdSend> cold_;
  std::vector<double> most_running_;
  std::vector<std::pair<std::uint64_t, double>> ran_;  // jobs and microseconds, by kind and class
};

}  // namespace

Audit RunAudit(Segment* segment) { return Books(segment).Run(); }

}  // namespace pearreach::capture
