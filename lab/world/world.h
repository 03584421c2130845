// A world in virtual time around one decision module: clients, match workers with slots, a waiting
// room and a cold start, the worker list, and what goes wrong with them, by script. It owns the
// virtual clock and records what the module is told and decides; it must never read a real clock or
// draw from anything but its seed, so that the same script makes the same capture anywhere.
#ifndef PEARREACH_LAB_WORLD_WORLD_H_
#define PEARREACH_LAB_WORLD_WORLD_H_

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "node/capture/record.h"
#include "pearreach/dispatcher.h"

namespace pearreach::lab {

using dispatch::Micros;
constexpr Micros kMs = 1000, kSecond = 1'000'000;

struct WorkerOptions {
  std::string name;
  std::string zone = "a", kind = "m";
  int cell = 0;
  double slots = 4;
  int room = 8;      // jobs that may wait there; more are refused as full
  double speed = 1;  // of a standard core
};

struct LoadOptions {
  double per_second = 0;  // Poisson
  std::string cls;
  std::string tenant;
  Micros work = 100 * kMs;  // mean on a standard core, exponential
  double slots = 1;
  Micros patience = 5 * kSecond;
};

// Settings by the wire's paths: two classes (commit: once; sync: by key), two zones, one kind.
dispatch::Conf::Values BaseSettings();

class World {
 public:
  World(const dispatch::Conf::Values& settings, std::uint64_t seed);

  // ---- script; times are the world's, from 0 on
  int AddWorker(const WorkerOptions& options);
  void AddLoad(const LoadOptions& options, Micros from, Micros until);
  void At(Micros when, std::function<void()> what);
  void ListAll(Micros when);  // the whole list reaches the module
  void ListOne(Micros when, int worker, dispatch::Health health);  // one change does
  void Silence(Micros when, int worker,
               Micros length);            // says and hears nothing, then returns cold
  void Restart(Micros when, int worker);  // its jobs are lost; it is back cold at once
  void Peer(Micros when, int from, const std::string& data);
  void StaleReports(Micros age) { report_age_ = age; }  // workers tell the load of so long ago

  void Run(Micros until);

  // ---- what came of it
  const std::vector<capture::Turn>& turns() const { return turns_; }
  std::string Capture(const std::string& reason = "the script ended") const;  // the file's bytes
  const capture::Origin& origin() const { return origin_; }
  dispatch::Dispatcher& dispatcher() { return dispatcher_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t failed() const { return failed_; }
  // Called after each turn, for those who record it themselves.
  std::function<void(const capture::Turn&, const dispatch::Dispatcher&, const dispatch::Names&)>
      on_turn;

 private:
  struct Happening {
    Micros at = 0;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator>(const Happening& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  struct Held {  // a job at a worker
    std::uint64_t job = 0;
    int attempt = 0;
    Micros work = 0;
    double slots = 1;
  };
  struct Worker {
    WorkerOptions options;
    std::uint64_t life = 1;  // what was planned in an earlier one is void
    Micros started = 0;      // 0: long ago
    bool silent = false;
    double busy = 0;
    std::vector<Held> waiting;
    std::vector<std::pair<Micros, double>> history;  // free slots over time
  };
  struct Attempt {
    int worker = 0;
    Micros sent = 0;
    bool out = true;
  };
  struct Request {
    Micros due = 0, work = 0;
    double slots = 1;
    bool answered = false;
    std::vector<Attempt> attempts;
  };

  void Tell(dispatch::Event event, capture::Note note = {});
  void Turn();
  void Carry(const dispatch::Action& action);
  void Arrive(const LoadOptions& load, Micros until);
  void Reach(int worker, Held held);
  void Begin(int worker);
  void End(std::uint64_t job, int attempt, dispatch::Outcome outcome, int reporter);
  void Note(Worker& w);
  double Free(const Worker& w, Micros at) const;
  double Capacity(const Worker& w) const;
  double Uniform();
  double Exponential();
  dispatch::WorkerEntry Entry(int worker, dispatch::Health health) const;

  capture::Origin origin_;
  dispatch::Site site_;
  dispatch::Dispatcher dispatcher_;
  std::mt19937_64 random_;
  Micros now_ = 0, last_turn_ = -kSecond, report_age_ = 0;
  bool turn_set_ = false;
  std::uint64_t order_ = 0, jobs_ = 0, served_ = 0, refused_ = 0, failed_ = 0;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> plan_;
  std::vector<Worker> workers_;
  std::map<std::uint64_t, Request> requests_;
  dispatch::Names names_;
  std::size_t told_names_ = 0;
  std::uint64_t list_version_ = 0;
  std::vector<dispatch::Event> events_;
  std::vector<capture::Note> notes_;
  std::vector<capture::Turn> turns_;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_WORLD_WORLD_H_
