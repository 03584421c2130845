// Figures of runs as JSON, there and back: what experiments keep, compare and report. It owns the
// names of the fields.
#ifndef PEARREACH_LAB_EXPERIMENT_RESULTS_H_
#define PEARREACH_LAB_EXPERIMENT_RESULTS_H_

#include <string>
#include <string_view>
#include <vector>

#include "lab/sim/simulation.h"

namespace pearreach::lab {

std::string ToJson(const Figures& figures);

// One run of an experiment, as far as comparing and reporting need it.
struct Run {
  std::string scenario, variant;
  std::uint64_t seed = 0;
  std::vector<std::pair<std::string, double>> figures;  // by name, always in the same order
  // Of the first seed only, for the plots.
  std::string details;  // JSON, as ToJson
};

struct Results {
  std::string experiment, what, build;
  std::vector<Run> runs;
};

// The figures of a run that are compared: service, refused, p99 and others.
std::vector<std::pair<std::string, double>> Compared(const Figures& figures);

// A run that is done, as a line for those who watch: {"event":"run","done":N,"of":N,...}.
std::string ProgressLine(const Run& run, std::size_t done, std::size_t of);

std::string WriteResults(const Results& results);
// Throws dispatch::Malformed.
Results ReadResults(std::string_view json, const std::string& name);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_EXPERIMENT_RESULTS_H_
