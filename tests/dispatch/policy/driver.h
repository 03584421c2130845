// Drives one Dispatcher in a test: passes events to it and sorts the returned actions by kind.
#ifndef PEARREACH_TESTS_DISPATCH_POLICY_DRIVER_H_
#define PEARREACH_TESTS_DISPATCH_POLICY_DRIVER_H_

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "pearreach/dispatcher.h"

namespace pearreach::dispatch::testing {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

// Classes: 0 repeatable, 1 once, 2 by key (window 5 s). One worker kind, jobs of about 100 ms.
inline Settings BaseSettings() {
  Settings s;
  s.min_handle_interval = kMs;
  s.reports_start = true;
  s.progress_interval = kSecond;
  s.max_attempts = 4;
  s.may_cancel = true;
  s.may_probe = true;
  s.may_duplicate = true;
  s.cold_share = 0.3;
  s.cold_time = 8 * kSecond;
  s.overload_multiple = 4;
  s.overload_time = 1500 * kMs;
  for (const Effect effect : {Effect::kRepeatable, Effect::kOnce, Effect::kByKey}) {
    ClassSettings c;
    c.effect = effect;
    c.key_window = 5 * kSecond;
    c.latency_target = 500 * kMs;
    c.latency_target_stretch = 2;
    c.deadline = 10 * kSecond;
    c.late_value = 0.3;
    s.classes.push_back(c);
  }
  return s;
}

class Driver {
 public:
  explicit Driver(const Settings& settings, std::uint64_t seed = 1)
      : dispatcher(settings, seed, 0) {}

  void Give(const std::vector<Event>& events) {
    std::vector<Action> actions;
    dispatcher.Handle(now, events, &actions);
    sends.clear();
    refused.clear();
    failed.clear();
    cancelled.clear();
    probed.clear();
    logs.clear();
    subscribes = 0;
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        sends.push_back(*send);
        last_worker[send->request] = send->worker;
        ++attempts[send->request];
      }
      if (const auto* refuse = std::get_if<Refuse>(&a)) refused.push_back(refuse->request);
      if (const auto* fail = std::get_if<Fail>(&a)) failed.push_back(fail->request);
      if (const auto* cancel = std::get_if<Cancel>(&a)) cancelled.push_back(*cancel);
      if (const auto* probe = std::get_if<Probe>(&a)) probed.push_back(probe->worker);
      if (const auto* log = std::get_if<LogLine>(&a)) logs.push_back(log->kind);
      if (const auto* timer = std::get_if<SetTimer>(&a)) timers.insert({timer->at, 0});
      if (std::holds_alternative<Subscribe>(a)) ++subscribes;
    }
    for (const Send& s : sends) all_sends.push_back(s);
    for (const RequestId id : refused) all_refused.push_back(id);
    for (const RequestId id : failed) all_failed.push_back(id);
  }

  // Advances the clock by `length` and fires the timers that become due.
  void Run(Micros length) {
    const Micros end = now + length;
    while (!timers.empty() && timers.begin()->first <= end) {
      now = std::max(now, timers.begin()->first);
      timers.erase(timers.begin());
      Give({TimerFired{}});
    }
    now = end;
  }

  static WorkerEntry Entry(WorkerId id, Health health = Health::kInService, Micros ready_at = 0) {
    WorkerEntry e;
    e.worker = id;
    e.identity = id * 7919 + 13;
    e.health = health;
    e.ready_at = ready_at;
    return e;
  }
  void List(const std::vector<WorkerEntry>& entries,
            WorkerList::Form form = WorkerList::Form::kComplete) {
    Give({WorkerList{form, entries}});
  }
  void Workers(int n) {
    std::vector<WorkerEntry> entries;
    for (int i = 0; i < n; ++i) entries.push_back(Entry(static_cast<WorkerId>(i)));
    List(entries);
  }
  RequestArrived Request(RequestId id, int cls = 0, Micros left = 10 * kSecond) const {
    RequestArrived e;
    e.request = id;
    e.cls = cls;
    e.due = now + left;
    return e;
  }
  void Submit(RequestId id, int cls = 0, Micros left = 10 * kSecond) {
    Give({Request(id, cls, left)});
  }
  void Begin(RequestId id) { Give({AttemptStarted{id, attempts[id] - 1, last_worker[id]}}); }
  void Progress(RequestId id) {
    Give({AttemptProgress{id, attempts[id] - 1, last_worker[id], 0.1}});
  }
  void End(RequestId id, Outcome outcome, int attempt = -1) {
    AttemptEnded e;
    e.request = id;
    e.attempt = attempt >= 0 ? attempt : attempts[id] - 1;
    e.worker = last_worker[id];
    e.outcome = outcome;
    e.settled = outcome == Outcome::kGood;
    Give({e});
  }
  // Submits, starts and completes one job.
  void Serve(RequestId id, Micros length = 100 * kMs) {
    Submit(id);
    Begin(id);
    Run(length);
    End(id, Outcome::kGood);
  }

  // Serves `n` jobs with ids from `first` that arrive at once, as many in parallel as the limit
  // permits.
  void ServeInParallel(RequestId first, int n, Micros length = 30 * kMs) {
    std::vector<RequestId> open;
    for (int i = 0; i < n; ++i) open.push_back(first + static_cast<RequestId>(i));
    for (const RequestId id : open) Submit(id);
    for (int round = 0; round < 1000 && !open.empty(); ++round) {
      std::vector<RequestId> out;
      for (const RequestId id : open)
        if (attempts[id] > 0) out.push_back(id);
      for (const RequestId id : out) Begin(id);
      Run(out.empty() ? 30 * kMs : length);
      for (const RequestId id : out) End(id, Outcome::kGood);
      std::erase_if(
          open, [&](RequestId id) { return std::find(out.begin(), out.end(), id) != out.end(); });
    }
  }

  Dispatcher dispatcher;
  Micros now = 0;
  std::vector<Send> sends, all_sends;  // of the last call of Handle; of all calls
  std::vector<RequestId> refused, failed, all_refused, all_failed;
  std::vector<Cancel> cancelled;
  std::vector<WorkerId> probed;
  std::vector<LogLine::Kind> logs;
  int subscribes = 0;
  std::map<RequestId, WorkerId> last_worker;
  std::map<RequestId, int> attempts;
  std::multimap<Micros, int> timers;
};

}  // namespace pearreach::dispatch::testing

#endif  // PEARREACH_TESTS_DISPATCH_POLICY_DRIVER_H_
