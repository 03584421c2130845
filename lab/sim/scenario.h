// A scenario of the laboratory: a fleet, its load and what goes wrong, as plain values, and the
// settings that a node of it has. It owns no state of a run.
#ifndef PEARREACH_LAB_SIM_SCENARIO_H_
#define PEARREACH_LAB_SIM_SCENARIO_H_

#include <string>
#include <vector>

#include "dispatch/settings/settings_reader.h"
#include "lab/model/worker.h"

namespace pearreach::lab {

struct ClassSpec {
  std::string name = "commit";
  std::string effect = "once";  // once, by_key, repeatable
  double share = 1;             // of the jobs
  Micros work = 300'000;        // mean, on a standard core
  enum class Spread { kExponential, kFixed, kPareto } spread = Spread::kExponential;
  double slots = 1;
  Micros aim = 300'000;
  double stretch = 2;  // times its own work, added to the aim
  Micros deadline = 5'000'000;
  double worth = 10;
  double late = 0.3;  // of the worth
};

struct TenantSpec {
  std::string name;
  double share = 1;  // of the jobs
  double quota = 0;  // of what the fleet can do; 0: none
};

struct KindSpec {
  std::string name = "m";
  double part = 1;          // of the workers
  double speed_spread = 0;  // the speed of each is drawn within this part of the kind's
  WorkerSpec worker;
};

// The load is a part of what the fleet can do; a phase multiplies it, or one tenant's.
struct Phase {
  Micros from = 0, until = 0;
  double factor = 1;
  double factor_end = 1;  // reached evenly by `until`
  std::string tenant;     // empty: all
};

struct Trouble {
  enum class What {
    kSilence,   // says and hears nothing for the time, then is back as a new, cold process
    kRestart,   // dies, its connections are reset; back cold after the time
    kSlow,      // jobs started meanwhile take `factor` times as long
    kDrain,     // the list says so; after the time it is back in service
    kNodeDies,  // its jobs are lost; back, knowing nothing, after the time
    kLateList,  // no news of the list reaches the nodes
    kRolling,   // the nodes die in turn, each for the time; the next when the one before is back
  } what = What::kSilence;
  Micros at = 0, length = 0;
  double part = 0;  // of the workers or nodes, drawn; at least one
  double factor = 3;
};

struct Scenario {
  std::string name = "day";
  int nodes = 3, workers = 10, zones = 1;
  std::vector<KindSpec> kinds = {KindSpec()};
  std::vector<ClassSpec> classes = {ClassSpec()};
  std::vector<TenantSpec> tenants;
  double load = 0.7;
  std::vector<Phase> phases;
  std::vector<Trouble> troubles;
  Micros length = 60'000'000;
  Micros warm_up = 5'000'000;  // left out of the figures
  Micros way = 500;            // to a worker, and back; also the width of a step
  Micros cross_way = 1'000;    // more to another zone
  Micros notice_least = 500'000, notice_most = 3'000'000;  // until a node's list knows of a change
  int client_tries = 3;                                    // the first one included
  Micros client_backoff = 40'000;                          // mean before the second; doubled
  std::vector<std::pair<std::string, std::string>>
      settings;                   // over those that follow from the rest
  std::string policy = "module";  // or shared (the module, and nodes share state), random, least,
                                  // two, greedy
  double words_lost = 0, cut_off = 0;  // of words between nodes; of the nodes, from the warm-up on
  // What a node that was down is told of what it had learned: nothing, that, or that with the speed
  // of every worker the wrong way round; so much older than the node was down.
  enum class Recall { kNothing, kLearned, kSwapped } recall = Recall::kNothing;
  Micros recall_age = 0;
};

// What all phases together make of the load of an account (empty: of those in none) at a time.
double FactorAt(const std::vector<Phase>& phases, Micros at, const std::string& tenant);

// What a node of this scenario is told at its start.
dispatch::Conf::Values SettingsOf(const Scenario& scenario, int node);

// Slots times their speed: microseconds of work a microsecond.
double CapacityOf(const Scenario& scenario);
// Jobs a second at load 1.
double JobsPerSecond(const Scenario& scenario);

// Which of so many workers or nodes trouble number `index` befalls, drawn from the seed.
std::vector<std::uint32_t> StruckBy(const Trouble& trouble, std::uint32_t of, std::uint64_t seed,
                                    std::size_t index);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_SIM_SCENARIO_H_
