// One model of a match worker, for the world in virtual time and for the emulator on sockets:
// slots, a bounded queue, a cold start that warms up, and the fall of one that is pushed while
// cold. It owns the worker's state and nothing else: no clock, no I/O, no chance; it must never run
// a job twice and never run more slots than it has.
#ifndef PEARREACH_LAB_MODEL_WORKER_H_
#define PEARREACH_LAB_MODEL_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pearreach/dispatcher.h"

namespace pearreach::lab {

using dispatch::Micros;

struct WorkerSpec {
  double slots = 4;
  double speed = 1;  // of a standard core, for each slot
  int room = 8;      // jobs that may wait; more are refused as full
  // Whatever fits first, or the head waits until it fits.
  enum class Order { kBackfill, kInOrder } order = Order::kBackfill;
  double cold_share = 0.32;      // of its speed, just started; it rises evenly
  Micros cold_time = 8'000'000;  // until it is warm
  double fall_multiple = 2.5;    // while cold it falls when offered more than this multiple of what
  Micros fall_time = 1'000'000;  // it can do, over so long; refused work counts
};

class WorkerModel {
 public:
  using JobId = std::uint64_t;
  enum class Offered { kTaken, kFull, kFell, kDown };
  struct Happened {
    enum class What { kStarted, kDone } what = What::kStarted;
    Micros at = 0;
    JobId job = 0;
  };

  explicit WorkerModel(const WorkerSpec& spec) : spec_(spec) {}

  // `work`: microseconds on a standard core, in each of its slots. Times never run backwards.
  // kFell: it is down now, as after Die.
  Offered Offer(Micros now, JobId job, double slots, Micros work);
  // Takes a job out that waits or runs; false: it is not there.
  bool Cancel(Micros now, JobId job);
  // When something happens next without a word from outside; none: never.
  std::optional<Micros> Next() const;
  // All that happens by then, in order; starts that an offer or a cancel caused come with it.
  void Run(Micros until, std::vector<Happened>* out);

  // The process dies: the jobs it had, in their order of arrival.
  std::vector<JobId> Die();
  void Start(Micros now);        // a new process, cold
  void SetFactor(double factor)  // of its speed, for jobs that start from now on
  {
    factor_ = factor;
  }

  bool up() const { return up_; }
  double busy() const { return busy_; }
  double free_slots() const { return spec_.slots - busy_; }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t held() const { return jobs_.size(); }
  Micros started() const { return started_; }  // of the process; 0: long ago
  // Of its full speed, 0 to 1.
  double Warmth(Micros now) const;
  // When work that starts now is done.
  Micros DoneAt(Micros now, Micros work) const;
  const WorkerSpec& spec() const { return spec_; }

 private:
  struct Job {
    double slots = 1;
    Micros work = 0;
    bool running = false;
    std::uint64_t order = 0;
  };
  void Fill(Micros now);

  WorkerSpec spec_;
  bool up_ = true;
  double busy_ = 0, factor_ = 1;
  Micros started_ = 0;
  std::uint64_t order_ = 0;
  std::unordered_map<JobId, Job> jobs_;
  std::deque<JobId> waiting_;
  std::multimap<Micros, JobId> running_;  // by their end
  std::vector<Happened> starts_;          // not yet told
  std::deque<std::pair<Micros, double>> offered_;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_MODEL_WORKER_H_
