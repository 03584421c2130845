// Many nodes, each with its own instance of what decides, in front of one fleet, in virtual time
// and on all cores. It owns the run from its first event to its figures. The same scenario and seed
// give the same figures on any number of threads: time goes in steps no longer than the shortest
// way between two parties, within which nobody can hear of anybody else, and what arrives is taken
// in an order of its own (time, sender, number). It must never read a clock but to measure the
// module.
#ifndef PEARREACH_LAB_SIM_SIMULATION_H_
#define PEARREACH_LAB_SIM_SIMULATION_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/sim/scenario.h"
#include "lab/stats/stats.h"

namespace pearreach::lab {

// Client's jobs, each with all its tries, by what became of them.
struct Tally {
  double asked = 0, good = 0;  // worth
  std::uint64_t jobs = 0, in_aim = 0, late = 0, refused = 0, failed = 0;
  std::uint64_t tries = 0, attempts = 0;  // of clients, at workers
  void Merge(const Tally& o);
  double service() const { return asked > 0 ? good / asked : 1; }
};

struct Second {
  double asked = 0, good = 0;  // by the time of the first try
  std::uint64_t jobs = 0, refusals = 0, attempts = 0, falls = 0;
  std::vector<std::pair<double, double>> by_class;  // asked, good
  void Merge(const Second& o);
};

struct NodeSample {
  Micros at = 0;
  float limit = 0, busy = 0, open = 0;  // of all pools; slots, slots, requests remembered
};

struct WorkerSample {
  std::uint8_t busy = 0;   // percent of its slots
  std::uint8_t state = 0;  // 0 up, 1 cold, 2 down or silent, 3 draining
};

struct Figures {
  std::string scenario, policy;
  std::uint64_t seed = 0;
  Micros length = 0;
  Tally all;
  std::vector<std::string> class_names, tenant_names;
  std::vector<Tally> classes, tenants;
  std::vector<TimeHistogram> times;  // to the answer, of what was served, by class
  std::vector<Second> seconds;
  std::vector<std::vector<NodeSample>> nodes;      // a few of them
  std::vector<std::vector<WorkerSample>> workers;  // a few of them
  Micros sample_every = 0;
  // Work that workers were offered while cold, over what they could do, at its worst in any window
  // of the rule's length; the rule's multiple is its bound.
  double cold_pressure = 0;
  std::uint64_t falls = 0;  // of workers, pushed while cold
  // What the rules forbid: a second run of a `once` job, a send more than the grace after a node
  // was told of a drain, an answer after its deadline, none at all.
  std::uint64_t second_runs = 0, sends_to_drained = 0, late_answers = 0, unanswered = 0;
  // Jobs that came to a node within 10 s of its being back, and the time until its limits were four
  // fifths of what they were (a minute where they were not by then), on average.
  Tally after_restart;
  double limits_back_s = 0;
  double busy_share = 0;    // of the slots that were up, on average
  double imbalance = 0;     // standard deviation of the busy share between workers, on average
  double limit_spread = 0;  // between nodes, over its mean, on average
  std::uint64_t events = 0, looks = 0;
  double word_bytes = 0;  // about what nodes share: sent by a node in a second
  // Measured, so not the same twice.
  double cpu_us_a_job = 0, seconds_taken = 0;

  std::uint64_t broken() const {
    return second_runs + sends_to_drained + late_answers + unanswered;
  }
};

Figures Simulate(const Scenario& scenario, std::uint64_t seed, int threads);

// All but what was measured, in a line: equal for equal runs.
std::string Digest(const Figures& figures);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_SIM_SIMULATION_H_
