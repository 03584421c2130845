// Runs an experiment and compares its variants. It owns the order of the runs and the threads; it
// must never compare runs of different seeds with one another.
#ifndef PEARREACH_LAB_EXPERIMENT_RUN_H_
#define PEARREACH_LAB_EXPERIMENT_RUN_H_

#include <functional>
#include <string>
#include <vector>

#include "lab/experiment/results.h"
#include "lab/experiment/settings.h"

namespace pearreach::lab {

// Each scenario, variant and seed, several at once, each on one thread; large ones, one after the
// other on all. `tell` hears of each that is done, from any thread, one at a time.
Results RunExperiment(
    const Experiment& experiment, int threads, const std::string& build,
    const std::function<void(const Run& run, std::size_t done, std::size_t of)>& tell);

// A variant against the first one, paired by seed.
struct Comparison {
  std::string scenario, variant, figure;
  Interval first, variant_mean, difference;
  int seeds = 0;
  // The interval of the difference leaves out nought.
  bool differs() const { return std::abs(difference.mean) > difference.half && seeds > 1; }
};
std::vector<Comparison> Compare(const Results& results);
// The runs of one file against those of the same scenario, variant and seed of another.
std::vector<Comparison> CompareFiles(const Results& before, const Results& after);

// Tables for people: by scenario a row a variant, a column a figure; what differs is marked.
std::string Table(const Results& results, const std::vector<std::string>& figures);
std::string Words(const std::vector<Comparison>& comparisons,
                  const std::vector<std::string>& figures);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_EXPERIMENT_RUN_H_
