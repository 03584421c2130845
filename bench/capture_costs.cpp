// What capture costs beside the loop: the recorder's part of a turn, a checkpoint at large size,
// and the speed of a replay. Google Benchmark.
#include <benchmark/benchmark.h>

#include <filesystem>

#include "dispatch/policy/checkpoint.h"
#include "lab/world/scenarios.h"
#include "node/capture/audit.h"
#include "node/capture/recorder.h"
#include "node/capture/replay.h"

namespace {

using namespace pearreach;

// So many workers and open jobs, half of the jobs out.
dispatch::Dispatcher Large(int workers, int jobs, Micros* now) {
  dispatch::Conf::Values settings = lab::BaseSettings();
  settings["Accounts.0.QuotaRps"] = "1000000";
  const dispatch::Site site = dispatch::ReadSite(dispatch::Conf(settings));
  dispatch::Dispatcher d(site.settings, 1, 0);
  dispatch::WorkerList list{dispatch::WorkerList::Form::kComplete, {}};
  for (int w = 0; w < workers; ++w) {
    dispatch::WorkerEntry e;
    e.worker = static_cast<dispatch::WorkerId>(w);
    e.identity = dispatch::HashName("s-" + std::to_string(w));
    e.zone = w % 2;
    list.entries.push_back(e);
  }
  std::vector<dispatch::Event> events = {list};
  std::vector<dispatch::Action> actions;
  int begun = 0;
  for (*now = 1; begun < jobs; *now += 2000) {
    for (int i = 0; i < 50 && begun < jobs; ++i) {
      dispatch::RequestArrived r;
      r.request = static_cast<dispatch::RequestId>(++begun);
      r.due = *now + 60 * kSecond;
      events.push_back(r);
    }
    actions.clear();
    d.Handle(*now, events, &actions);
    events.clear();
    for (const auto& a : actions)
      if (const auto* send = std::get_if<dispatch::Send>(&a)) {
        events.push_back(dispatch::AttemptAccepted{send->request, 0, send->worker});
        events.push_back(dispatch::AttemptStarted{send->request, 0, send->worker});
      }
  }
  return d;
}

void SaveCheckpoint(benchmark::State& state) {
  Micros now = 0;
  const dispatch::Dispatcher d =
      Large(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), &now);
  std::size_t bytes = 0;
  for (auto _ : state) bytes = dispatch::Checkpoint::Save(d).size();
  state.counters["bytes"] = static_cast<double>(bytes);
  state.counters["open"] = static_cast<double>(d.OpenRequests());
}
BENCHMARK(SaveCheckpoint)
    ->Args({10, 100})
    ->Args({100, 1000})
    ->Args({1000, 10000})
    ->Unit(benchmark::kMicrosecond);

void LoadCheckpoint(benchmark::State& state) {
  Micros now = 0;
  const dispatch::Dispatcher d = Large(1000, 10000, &now);
  const std::string bytes = dispatch::Checkpoint::Save(d);
  const dispatch::Site site = dispatch::ReadSite(dispatch::Conf(lab::BaseSettings()));
  for (auto _ : state) {
    dispatch::Dispatcher other(site.settings, 1, 0);
    if (!dispatch::Checkpoint::Load(bytes, &other).empty()) state.SkipWithError("not loaded");
  }
}
BENCHMARK(LoadCheckpoint)->Unit(benchmark::kMicrosecond);

// The loop's part of a turn, the disk's thread beside it.
void RecordTurn(benchmark::State& state) {
  const auto world = lab::Play(lab::Scenarios().back());
  const auto& turns = world->turns();
  const std::string folder = std::filesystem::temp_directory_path() / "pearreach-bench";
  std::filesystem::remove_all(folder);
  std::size_t events = 0, i = 0;
  Micros clock = 0;
  {
    capture::Recorder recorder({.folder = folder}, world->origin(), world->dispatcher(), {}, 0,
                               true);
    for (auto _ : state) {
      const capture::Turn& t = turns[i++ % turns.size()];
      clock += 2 * kMs;
      recorder.OnTurn(clock, t.events, t.notes, t.actions, world->dispatcher(), {});
      events += t.events.size();
      if (i % 256 == 0) {
        state.PauseTiming();
        recorder.Settle();
        state.ResumeTiming();
      }
    }
  }
  std::filesystem::remove_all(folder);
  state.counters["ns/event"] =
      benchmark::Counter(static_cast<double>(events) * 1e-9,
                         benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(RecordTurn);

void ReplayDay(benchmark::State& state) {
  const std::string day = lab::Play(lab::Scenarios().front())->Capture();
  double times = 0;
  for (auto _ : state) {
    capture::Segment segment(day, "day");
    const capture::Replayed r = capture::Replay(&segment, {});
    times = static_cast<double>(r.span) / 1e6 / r.seconds;
  }
  state.counters["times_real"] = times;
}
BENCHMARK(ReplayDay)->Unit(benchmark::kMillisecond);

void AuditDay(benchmark::State& state) {
  const std::string day = lab::Play(lab::Scenarios().front())->Capture();
  for (auto _ : state) {
    capture::Segment segment(day, "day");
    benchmark::DoNotOptimize(capture::RunAudit(&segment).jobs);
  }
}
BENCHMARK(AuditDay)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
