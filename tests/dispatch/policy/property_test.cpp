// Random legal events against an independent checker of the rules. The checker tracks all requests
// from the events and actions alone and shares no code with the module.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {
namespace {

constexpr Micros kMs = 1000;

struct TrackedAttempt {
  WorkerId worker;
  Micros sent;
  bool in_flight = true;
  bool may_have_run = true;
};

struct TrackedRequest {
  int cls;
  Micros due;
  int final_answers = 0;
  std::vector<TrackedAttempt> attempts;
};

class World {
 public:
  World(std::uint64_t seed, Settings settings)
      : settings_(std::move(settings)), random_(seed), dispatcher_(settings_, seed, 0) {}

  void Run(int steps) {
    for (WorkerId w = 0; w < 9; ++w) Change(w, Health::kInService, 0);
    Step();
    for (int i = 0; i < steps; ++i) {
      now_ += Draw(1, 20) * kMs;
      if (Chance(0.5)) Arrive();
      if (Chance(0.03)) ChangeRandomWorker();
      ReportStarts();
      Outcomes();
      Step();
      CheckDeadlines();
    }
    for (int i = 0; i < 4000 && HasOpenRequests(); ++i) {  // until all requests have ended
      now_ += 10 * kMs;
      Outcomes();
      Step();
      CheckDeadlines();
    }
    for (const auto& [id, r] : requests_)
      EXPECT_EQ(r.final_answers, 1) << "final answers of request " << id;
    EXPECT_EQ(dispatcher_.OpenRequests(), 0u);
    EXPECT_GT(served_, steps / 20);
  }

  std::string trace;  // every action, to compare runs

 private:
  int Draw(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }
  bool Chance(double p) { return static_cast<double>(random_() % 10000) < p * 10000; }

  void Change(WorkerId w, Health health, Micros ready_at) {
    WorkerEntry e;
    e.worker = w;
    e.identity = w + 1;
    e.kind = static_cast<int>(w % 2);
    e.zone = static_cast<int>(w % 3);
    e.cell = static_cast<int>(w % 3);
    e.health = health;
    e.ready_at = ready_at;
    events_.push_back(WorkerList{WorkerList::Form::kChanges, {e}});
    health_[w] = health;
  }

  void ChangeRandomWorker() {
    const WorkerId w = static_cast<WorkerId>(Draw(0, 8));
    switch (Draw(0, 3)) {
      case 0:
        return Change(w, Health::kDraining, 0);
      case 1:
        return Change(w, Health::kGone, 0);
      default:
        return Change(w, Health::kInService, now_);
    }
  }

  void Arrive() {
    RequestArrived r;
    r.request = ++last_id_;
    r.cls = Draw(0, static_cast<int>(settings_.classes.size()) - 1);
    r.due = now_ + Draw(50, 6000) * kMs;
    r.slots = Chance(0.2) ? 2 : 1;
    if (Chance(0.5)) r.hint = Draw(10, 900) * kMs;
    if (Chance(0.5)) r.key = static_cast<std::uint64_t>(Draw(1, 5));
    requests_[r.request] = {r.cls, r.due, 0, {}};
    events_.push_back(r);
  }

  void ReportStarts() {
    for (auto& [id, r] : requests_)
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].in_flight && Chance(0.1))
          events_.push_back(AttemptStarted{id, static_cast<int>(i), r.attempts[i].worker});
  }

  void Outcomes() {
    for (auto& [id, r] : requests_)
      for (std::size_t i = 0; i < r.attempts.size(); ++i) {
        TrackedAttempt& a = r.attempts[i];
        if (!a.in_flight) continue;
        const bool overdue = now_ >= r.due;
        if (!overdue && !Chance(0.05)) continue;
        AttemptEnded e;
        e.request = id;
        e.attempt = static_cast<int>(i);
        e.worker = a.worker;
        e.outcome = overdue ? Outcome::kTimeout : static_cast<Outcome>(Draw(0, 7));
        if (Chance(0.5) && !overdue) e.outcome = Outcome::kGood;
        a.in_flight = false;
        a.may_have_run = e.outcome != Outcome::kFull && e.outcome != Outcome::kNoConnection &&
                         e.outcome != Outcome::kNotSent;
        if (e.outcome == Outcome::kGood && r.final_answers == 0) {
          ++r.final_answers;
          ++served_;
        }
        e.settled = r.final_answers > 0;
        events_.push_back(e);
      }
  }

  void Step() {
    events_.push_back(TimerFired{});
    std::vector<Action> actions;
    dispatcher_.Handle(now_, events_, &actions);
    events_.clear();
    for (const Action& a : actions) {
      trace += std::to_string(a.index()) + ",";
      if (const auto* send = std::get_if<Send>(&a)) CheckSend(*send);
      if (const auto* refuse = std::get_if<Refuse>(&a)) CheckRefuse(refuse->request);
      if (const auto* fail = std::get_if<Fail>(&a)) RecordFinal(fail->request);
    }
  }

  void CheckSend(const Send& s) {
    trace += std::to_string(s.worker) + ";";
    TrackedRequest& r = requests_.at(s.request);
    const ClassSettings& c = settings_.classes[static_cast<std::size_t>(r.cls)];
    EXPECT_EQ(r.final_answers, 0) << "sent after its final answer";
    EXPECT_LT(now_, r.due);
    EXPECT_EQ(health_.at(s.worker), Health::kInService) << "sent to a draining worker";
    EXPECT_LT(r.attempts.size(), static_cast<std::size_t>(settings_.max_attempts));
    if (c.kind >= 0) {
      EXPECT_EQ(static_cast<int>(s.worker % 2), c.kind);
    }
    for (const TrackedAttempt& a : r.attempts) {
      if (!settings_.may_duplicate) {
        EXPECT_FALSE(a.in_flight) << "two attempts in flight";
      }
      if (!a.may_have_run) continue;
      EXPECT_NE(c.effect, Effect::kOnce) << "may have run twice";
      if (c.effect != Effect::kByKey) continue;
      EXPECT_LT(now_ - a.sent, c.key_window);
      if (c.key_scope != KeyScope::kAll) {
        EXPECT_EQ(a.worker % 3, s.worker % 3);
      }
    }
    r.attempts.push_back({s.worker, now_});
  }

  void CheckRefuse(RequestId id) {
    const TrackedRequest& r = requests_.at(id);
    const ClassSettings& c = settings_.classes[static_cast<std::size_t>(r.cls)];
    for (const TrackedAttempt& a : r.attempts) {
      if (!a.may_have_run) continue;
      EXPECT_NE(c.effect, Effect::kOnce) << "refused although it may have run";
      if (c.effect == Effect::kByKey) {
        EXPECT_EQ(c.key_scope, KeyScope::kAll);
      }
    }
    RecordFinal(id);
  }

  void RecordFinal(RequestId id) {
    EXPECT_EQ(requests_.at(id).final_answers, 0) << "answered twice";
    ++requests_.at(id).final_answers;
  }

  void CheckDeadlines() {
    for (const auto& [id, r] : requests_)
      if (now_ >= r.due + 20 * kMs) {
        EXPECT_EQ(r.final_answers, 1) << "no final answer by the deadline: request " << id;
      }
  }

  bool HasOpenRequests() const {
    return std::any_of(requests_.begin(), requests_.end(), [](const auto& p) {
      const auto& as = p.second.attempts;
      return p.second.final_answers == 0 ||
             std::any_of(as.begin(), as.end(), [](const TrackedAttempt& a) { return a.in_flight; });
    });
  }

  Settings settings_;
  std::mt19937_64 random_;
  Dispatcher dispatcher_;
  Micros now_ = 0;
  RequestId last_id_ = 0;
  int served_ = 0;
  std::vector<Event> events_;
  std::map<RequestId, TrackedRequest> requests_;
  std::map<WorkerId, Health> health_;
};

Settings RandomSettings(std::uint64_t seed) {
  std::mt19937_64 random(seed * 31);
  const auto coin = [&] { return random() % 2 == 0; };
  Settings s;
  s.balancers = 2;
  s.kinds = 2;
  s.max_attempts = 2 + static_cast<int>(random() % 4);
  s.reports_start = coin();
  s.progress_interval = coin() ? 1000 * kMs : 0;
  s.may_cancel = coin();
  s.may_probe = coin();
  s.may_duplicate = coin();
  s.value_by_work = coin();
  s.objective_worst_class = coin() ? 0.3 : 0;
  s.cold_time = 3000 * kMs;
  s.cold_share = 0.3;
  s.overload_multiple = 4;
  s.overload_time = 1000 * kMs;
  for (const Effect effect : {Effect::kRepeatable, Effect::kOnce, Effect::kByKey, Effect::kByKey}) {
    ClassSettings c;
    c.effect = effect;
    c.key_scope = s.classes.size() == 3 ? KeyScope::kZone : KeyScope::kAll;
    c.key_window = 800 * kMs;
    c.latency_target = 300 * kMs;
    c.latency_target_stretch = 2;
    c.late_value = coin() ? 0.3 : 0;
    c.kind = s.classes.size() == 1 ? 1 : -1;
    s.classes.push_back(c);
  }
  return s;
}

TEST(Property, RandomEventsBreakNoRule) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed, RandomSettings(seed));
    world.Run(600);
    if (::testing::Test::HasFailure()) return;
  }
}

TEST(Property, SameEventsSameActions) {
  World a(7, RandomSettings(7)), b(7, RandomSettings(7));
  a.Run(400);
  b.Run(400);
  EXPECT_FALSE(a.trace.empty());
  EXPECT_EQ(a.trace, b.trace);
}

}  // namespace
}  // namespace pearreach::dispatch
