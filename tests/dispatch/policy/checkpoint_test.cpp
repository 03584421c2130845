// Checkpoints: whatever has happened, a module made from one goes on as the first would have.
#include "dispatch/policy/checkpoint.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

#include "driver.h"

namespace pearreach::dispatch {
namespace {

using testing::BaseSettings;
using testing::kMs;
using testing::kSecond;

// One thing that happens, drawn by RapidCheck; what its numbers mean depends on the kind.
struct Step {
  int kind = 0;
  unsigned a = 0, b = 0;
  Micros wait = 0;
};

// Turns steps into legal events: attempts that are out, ids that exist, a clock that runs forwards.
class Player {
 public:
  explicit Player(const Settings& settings) : s_(settings) {}

  std::vector<Event> EventsOf(const Step& step) {
    now += step.wait;
    std::vector<Event> events;
    if (step.kind < 4) {
      RequestArrived e;
      e.request = ++last_;
      e.cls = static_cast<int>(step.a % s_.classes.size());
      e.tenant = static_cast<int>(step.b % 3) - 1;
      e.due = now + 50 * kMs + static_cast<Micros>(step.b % 4000) * kMs;
      e.slots = 1 + step.a % 3;
      if (step.b % 2 == 0) e.key = step.b % 5;
      if (step.a % 4 == 0) e.hint = static_cast<Micros>(step.a % 900) * kMs;
      if (step.b % 7 < 2) e.preferred = {step.a % 8, step.b % 9};
      due_[e.request] = e.due;
      events.push_back(e);
      if (step.b % 11 == 3) {  // made before the module's time
        events.push_back(AttemptAdopted{e.request, step.a % 8, now - kSecond, step.a % 2 == 0,
                                        static_cast<AttemptAdopted::State>(step.b % 3)});
        if (step.b % 3 == 0) out_[{e.request, tries_[e.request]}] = step.a % 8;
        ++tries_[e.request];
      }
    } else if (step.kind < 8 && !out_.empty()) {
      auto it = std::next(out_.begin(), step.a % out_.size());
      const auto [request, attempt] = it->first;
      if (step.b % 3 == 0) {
        events.push_back(AttemptStarted{request, attempt, it->second});
      } else if (step.b % 7 == 1) {
        events.push_back(AttemptAccepted{request, attempt, it->second});
      } else {
        AttemptEnded e;
        e.request = request;
        e.attempt = attempt;
        e.worker = it->second;
        e.outcome = step.b % 2 == 0 ? Outcome::kGood : static_cast<Outcome>(step.b % 8);
        e.latency = step.wait;
        e.settled = e.outcome == Outcome::kGood;
        if (step.a % 2 == 0) e.load.free_slots = step.a % 6;
        out_.erase(it);
        events.push_back(e);
      }
    } else if (step.kind == 8) {
      WorkerList list{WorkerList::Form::kChanges, {}};
      if (step.a % 5 == 0) list.form = WorkerList::Form::kComplete;
      if (step.a % 11 == 0) list.form = WorkerList::Form::kFailed;
      for (unsigned i = 0; i <= step.b % 4; ++i) {
        WorkerEntry e = testing::Driver::Entry((step.a + i) % 8, static_cast<Health>(step.b % 3),
                                               step.b % 2 == 0 ? now - kSecond : 0);
        e.zone = static_cast<int>(e.worker % 2);
        e.kind = static_cast<int>(e.worker % 2);
        list.entries.push_back(e);
      }
      events.push_back(list);
    } else if (step.kind == 9) {
      events.push_back(PeerMessage{static_cast<int>(step.a % 3), std::string(step.b % 9, 'x')});
    } else if (step.kind == 10) {
      ProbeEnded e;
      e.worker = step.a % 8;
      e.good = step.b % 2 == 0;
      e.load.in_flight = step.b % 5;
      events.push_back(e);
    } else if (step.kind == 11 && last_ > 0) {
      events.push_back(RequestAbandoned{1 + step.a % last_});
    }
    for (auto it = out_.begin(); it != out_.end();) {  // the node stops waiting at the deadline
      if (due_[it->first.first] > now) {
        ++it;
        continue;
      }
      AttemptEnded e;
      e.request = it->first.first;
      e.attempt = it->first.second;
      e.worker = it->second;
      e.outcome = Outcome::kTimeout;
      it = out_.erase(it);
      events.push_back(e);
    }
    events.push_back(TimerFired{});
    return events;
  }

  void Take(const std::vector<Action>& actions) {
    for (const Action& a : actions)
      if (const auto* send = std::get_if<Send>(&a))
        out_[{send->request, tries_[send->request]++}] = send->worker;
  }

  Micros now = 0;

 private:
  const Settings& s_;
  RequestId last_ = 0;
  std::map<RequestId, Micros> due_;
  std::map<RequestId, int> tries_;
  std::map<std::pair<RequestId, int>, WorkerId> out_;
};

Settings TwoKinds(bool priced, bool probes) {
  Settings s = BaseSettings();
  s.kinds = 2;
  s.balancers = 2;
  s.may_probe = probes;
  s.reports_accept = !probes;
  s.cross_zone_price = priced ? 0.1 : 0;
  s.connect_price = priced ? 0.1 : 0;
  s.connection_idle = kSecond;
  s.tenants = {{5}, {20}};
  s.over_quota_value = 0.05;
  s.objective_worst_class = 0.3;
  return s;
}

}  // namespace
}  // namespace pearreach::dispatch

namespace rc {
template <>
struct Arbitrary<pearreach::dispatch::Step> {
  static Gen<pearreach::dispatch::Step> arbitrary() {
    return gen::build<pearreach::dispatch::Step>(
        gen::set(&pearreach::dispatch::Step::kind, gen::inRange(0, 12)),
        gen::set(&pearreach::dispatch::Step::a, gen::inRange(0u, 100000u)),
        gen::set(&pearreach::dispatch::Step::b, gen::inRange(0u, 100000u)),
        gen::set(&pearreach::dispatch::Step::wait,
                 gen::inRange<pearreach::dispatch::Micros>(0, 60'000)));
  }
};
}  // namespace rc

namespace pearreach::dispatch {
namespace {

void Property(const char* name, const std::function<void()>& body) {
  EXPECT_TRUE(rc::check(name, body));
}

TEST(Checkpoint, GoesOnAsTheModuleItWasMadeOf) {
  Property("cut anywhere, save, load, go on: the same actions", [] {
    const Settings settings = TwoKinds(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
    const auto steps = *rc::gen::resize(400, rc::gen::arbitrary<std::vector<Step>>());
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, steps.size() + 1);
    Dispatcher first(settings, 7, 0);
    std::optional<Dispatcher> second;
    Player player(settings);
    for (std::size_t i = 0; i < steps.size(); ++i) {
      if (i == cut) {
        second.emplace(settings, 999, 0);  // another seed: the state brings its own
        RC_ASSERT(Checkpoint::Load(Checkpoint::Save(first), &*second) == "");
      }
      const std::vector<Event> events = player.EventsOf(steps[i]);
      std::vector<Action> a, b;
      first.Handle(player.now, events, &a);
      if (second) {
        second->Handle(player.now, events, &b);
        RC_ASSERT(a == b);
      }
      player.Take(a);
    }
    if (second) RC_ASSERT(Checkpoint::Save(first) == Checkpoint::Save(*second));
  });
}

TEST(Checkpoint, DamagedBytesAreRefusedOrHarmless) {
  Property("one byte changed: an error, or a state that can be worked with", [] {
    const Settings settings = TwoKinds(true, false);
    const auto steps = *rc::gen::resize(200, rc::gen::arbitrary<std::vector<Step>>());
    Dispatcher first(settings, 7, 0);
    Player player(settings);
    for (const Step& step : steps) {
      std::vector<Action> actions;
      first.Handle(player.now, player.EventsOf(step), &actions);
      player.Take(actions);
    }
    std::string bytes = Checkpoint::Save(first);
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
    Dispatcher second(settings, 7, 0);
    if (!Checkpoint::Load(bytes, &second).empty()) return;
    for (int i = 0; i < 20; ++i) {
      std::vector<Action> actions;
      const std::vector<Event> events = player.EventsOf({i % 12, 17u * i, 31u * i, 40 * kMs});
      second.Handle(player.now, events, &actions);
    }
  });
}

TEST(Checkpoint, OfOtherSettingsIsRefused) {
  Settings settings = TwoKinds(false, false);
  const std::string bytes = Checkpoint::Save(Dispatcher(settings, 1, 0));
  settings.classes.pop_back();
  Dispatcher other(settings, 1, 0);
  EXPECT_EQ(Checkpoint::Load(bytes, &other), "its settings are others");
  Dispatcher cut(TwoKinds(false, false), 1, 0);
  EXPECT_EQ(Checkpoint::Load(bytes.substr(0, bytes.size() / 2), &cut), "it cannot be read");
  Dispatcher longer(TwoKinds(false, false), 1, 0);
  EXPECT_EQ(Checkpoint::Load(bytes + "x", &longer), "it is too long");
}

TEST(Observer, SeesTheChoiceAndChangesNone) {
  struct Watch : Observer {
    void OnChoice(const Choice& choice) override {
      if (choice.chosen) chosen.push_back(*choice.chosen);
      sampled += choice.sampled.size();
    }
    std::vector<WorkerId> chosen;
    std::size_t sampled = 0;
  } watch;
  testing::Driver plain(BaseSettings()), watched(BaseSettings());
  watched.dispatcher.Observe(&watch);
  for (testing::Driver* d : {&plain, &watched}) {
    d->Workers(5);
    for (RequestId id = 1; id <= 30; ++id) d->Serve(id);
  }
  ASSERT_EQ(watch.chosen.size(), watched.all_sends.size());
  for (std::size_t i = 0; i < watch.chosen.size(); ++i)
    EXPECT_EQ(watch.chosen[i], watched.all_sends[i].worker);
  EXPECT_GE(watch.sampled, watch.chosen.size());
  EXPECT_TRUE(std::ranges::equal(plain.all_sends, watched.all_sends));
}

}  // namespace
}  // namespace pearreach::dispatch
