#include "lab/sim/decider.h"

#include <algorithm>
#include <map>
#include <set>

#include "dispatch/settings/settings_reader.h"
#include "lab/stats/stats.h"

namespace pearreach::lab {
namespace {

using namespace pearreach::dispatch;

class Module : public Decider {
 public:
  Module(Settings settings, std::uint64_t seed, Micros now)
      : dispatcher_((settings.reports_accept = true, settings), seed, now) {}
  void Handle(Micros now, std::span<const Event> events, std::vector<Action>* actions) override {
    dispatcher_.Handle(now, events, actions);
  }
  double Limit(int pool) const override { return dispatcher_.PoolLimit(pool); }
  double Busy(int pool) const override { return dispatcher_.PoolBusy(pool); }
  std::size_t Open() const override { return dispatcher_.OpenRequests(); }
  std::uint64_t Looks() const override { return dispatcher_.WorkersExamined(); }
  Knowledge Learned(Micros now) const override { return dispatcher_.Learned(now); }

 private:
  Dispatcher dispatcher_;
};

class Plain : public Decider {
 public:
  enum class Pick { kRandom, kLeast, kTwo, kGreedy };
  Plain(const Settings& settings, Pick pick, std::uint64_t seed)
      : s_(settings), pick_(pick), chance_(seed) {}

  void Handle(Micros now, std::span<const Event> events, std::vector<Action>* actions) override {
    actions_ = actions;
    now_ = std::max(now_, now);
    for (const Event& e : events) std::visit([this](const auto& v) { On(v); }, e);
    while (!due_.empty() && due_.begin()->first <= now_) {
      const RequestId id = due_.begin()->second;
      due_.erase(due_.begin());
      const auto it = requests_.find(id);
      if (it != requests_.end() && !it->second.ended) Finish(it->second);
      Forget(id);
    }
    if (!due_.empty() && armed_ != due_.begin()->first) {
      armed_ = due_.begin()->first;
      actions_->push_back(SetTimer{armed_});
    }
  }
  std::size_t Open() const override { return requests_.size(); }

 private:
  struct Worker {
    bool member = false;
    int kind = 0;
    double busy = 0, free = 1e9;
    std::size_t at = 0;
  };
  struct Try {
    WorkerId worker = 0;
    bool out = true, never = false;
  };
  struct Request {
    RequestId id = 0;
    int cls = 0;
    double slots = 1;
    Micros due = 0;
    bool ended = false;
    std::vector<Try> tries;
  };

  template <class T>
  void On(const T&) {}
  void On(const WorkerList& list) {
    if (list.form == WorkerList::Form::kFailed) return;
    if (list.form == WorkerList::Form::kComplete)
      for (Worker& w : workers_) w.member = false;
    for (const WorkerEntry& e : list.entries) {
      if (e.worker >= workers_.size()) workers_.resize(e.worker + 1);
      workers_[e.worker].member = e.health == Health::kInService;
      workers_[e.worker].kind = e.kind;
    }
    members_.clear();
    for (WorkerId id = 0; id < workers_.size(); ++id)
      if (workers_[id].member) members_.push_back(id);
  }
  void On(const RequestArrived& e) {
    Request& r = requests_[e.request];
    r = {e.request, e.cls, e.slots, e.due, false, {}};
    due_.insert({e.due - 2000, e.request});
    Send(r);
  }
  void On(const RequestAbandoned& e) {
    const auto it = requests_.find(e.request);
    if (it == requests_.end()) return;
    it->second.ended = true;
    Leave(it->second);
    Forget(e.request);
  }
  void On(const AttemptEnded& e) {
    const auto it = requests_.find(e.request);
    if (it == requests_.end()) return;
    Request& r = it->second;
    Try& t = r.tries[static_cast<std::size_t>(e.attempt)];
    if (!t.out) return;
    t.out = false;
    t.never = e.outcome == Outcome::kFull || e.outcome == Outcome::kNoConnection ||
              e.outcome == Outcome::kNotSent;
    workers_[t.worker].busy -= r.slots;
    if (e.load.free_slots) workers_[t.worker].free = *e.load.free_slots;
    if (e.settled) r.ended = true;
    if (!r.ended) Send(r);
    Forget(e.request);
  }

  void Send(Request& r) {
    const Effect effect = s_.classes[static_cast<std::size_t>(r.cls)].effect;
    const bool risky =
        std::any_of(r.tries.begin(), r.tries.end(), [](const Try& t) { return !t.never; });
    const bool may = (!risky || effect != Effect::kOnce) &&
                     static_cast<int>(r.tries.size()) < s_.max_attempts && now_ < r.due - 2000;
    const auto to = may ? Choose(r) : std::nullopt;
    if (!to) return Finish(r);
    r.tries.push_back({*to});
    workers_[*to].busy += r.slots;
    actions_->push_back(dispatch::Send{r.id, *to});
  }
  std::optional<WorkerId> Choose(const Request& r) {
    const auto suits = [&](WorkerId id) {
      const int kind = s_.classes[static_cast<std::size_t>(r.cls)].kind;
      return (kind < 0 || workers_[id].kind == kind) &&
             std::none_of(r.tries.begin(), r.tries.end(),
                          [&](const Try& t) { return t.worker == id; });
    };
    const auto draw = [&]() -> std::optional<WorkerId> {
      for (int i = 0; i < 20 && !members_.empty(); ++i)
        if (const WorkerId id = members_[chance_.Below(members_.size())]; suits(id)) return id;
      return std::nullopt;
    };
    if (pick_ == Pick::kRandom) return draw();
    if (pick_ == Pick::kTwo) {
      const auto a = draw(), b = draw();
      return !a || !b || workers_[*a].busy <= workers_[*b].busy ? a : b;
    }
    std::optional<WorkerId> best;
    double least = 0;
    const std::size_t from = chance_.Below(std::max<std::size_t>(1, members_.size()));
    for (std::size_t i = 0; i < members_.size(); ++i) {
      const WorkerId id = members_[(from + i) % members_.size()];
      if (!suits(id)) continue;
      const double cost = pick_ == Pick::kLeast ? workers_[id].busy
                                                : -(workers_[id].free - workers_[id].busy * 1e-3);
      if (best && cost >= least) continue;
      best = id;
      least = cost;
    }
    return best;
  }
  void Finish(Request& r) {
    if (r.ended) return;
    r.ended = true;
    const bool risky =
        std::any_of(r.tries.begin(), r.tries.end(), [](const Try& t) { return !t.never; });
    if (risky && s_.classes[static_cast<std::size_t>(r.cls)].effect != Effect::kRepeatable)
      actions_->push_back(Fail{r.id});
    else
      actions_->push_back(Refuse{r.id, 0});
    Leave(r);
  }
  void Leave(Request& r) {
    for (std::size_t i = 0; i < r.tries.size(); ++i)
      if (r.tries[i].out) actions_->push_back(Cancel{r.id, static_cast<int>(i)});
  }
  void Forget(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.ended) return;
    for (const Try& t : it->second.tries)
      if (t.out) return;
    due_.erase({it->second.due - 2000, id});
    requests_.erase(it);
  }

  Settings s_;
  Pick pick_;
  Chance chance_;
  Micros now_ = 0, armed_ = 0;
  std::vector<Worker> workers_;
  std::vector<WorkerId> members_;
  std::map<RequestId, Request> requests_;
  std::set<std::pair<Micros, RequestId>> due_;
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace

std::unique_ptr<Decider> MakeDecider(const std::string& policy, const Settings& settings,
                                     std::uint64_t seed, Micros now) {
  if (policy == "module" || policy == "shared")
    return std::make_unique<Module>(settings, seed, now);
  if (policy == "random") return std::make_unique<Plain>(settings, Plain::Pick::kRandom, seed);
  if (policy == "least") return std::make_unique<Plain>(settings, Plain::Pick::kLeast, seed);
  if (policy == "two") return std::make_unique<Plain>(settings, Plain::Pick::kTwo, seed);
  if (policy == "greedy") return std::make_unique<Plain>(settings, Plain::Pick::kGreedy, seed);
  throw Malformed("no policy " + Quote(policy) + ": module, shared, random, least, two or greedy");
}

}  // namespace pearreach::lab
