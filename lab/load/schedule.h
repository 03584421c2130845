// Plans of load: which jobs are meant to go out when, drawn from a seed or read from a trace. It
// owns the reading of traces (CSV by libcsv, captures); a plan is made ahead and is the same each
// time.
#ifndef PEARREACH_LAB_LOAD_SCHEDULE_H_
#define PEARREACH_LAB_LOAD_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lab/sim/scenario.h"

namespace pearreach::lab {

struct Arrival {
  Micros at = 0;  // since the plan's begin
  int cls = 0;
  int account = -1;
  double slots = 1;
};

struct LoadPlan {
  std::vector<ClassSpec> classes;  // aim, deadline, worth and late count
  std::vector<TenantSpec> accounts;
  std::vector<Arrival> jobs;  // by their time
  int tries = 3;
  Micros backoff = 40'000;  // before the second try, half to one and a half of it; doubled
  std::uint64_t seed = 1;
};

struct Arrivals {
  double per_second = 100;
  Micros length = 10'000'000;
  bool constant = false;      // else Poisson
  std::vector<Phase> phases;  // as in a scenario
};

// Draws the jobs of a plan whose classes and accounts are set.
void Draw(const Arrivals& arrivals, LoadPlan* plan);

// A trace: a header line, then "at_ms,class,account,slots" in this or another order; account and
// slots may be missing. Classes that the plan does not have yet are added. Throws
// dispatch::Malformed with "NAME:LINE: what".
void ReadTrace(std::string_view csv, const std::string& name, LoadPlan* plan);
// The requests that a node was handed, from a capture. Throws capture::Unreadable.
void ReadCapture(const std::string& path, LoadPlan* plan);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_LOAD_SCHEDULE_H_
