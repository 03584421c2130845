#include "lab/experiment/run.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

namespace pearreach::lab {
namespace {

constexpr int kLarge = 2000;  // nodes and workers: such a run has all threads to itself

bool Wanted(const std::vector<std::string>& figures, const std::string& name) {
  return figures.empty() || std::find(figures.begin(), figures.end(), name) != figures.end();
}

std::vector<std::string> Distinct(const std::vector<Run>& runs, std::string Run::*field) {
  std::vector<std::string> all;
  for (const Run& r : runs)
    if (std::find(all.begin(), all.end(), r.*field) == all.end()) all.push_back(r.*field);
  return all;
}

// Figures of the runs of a scenario and variant, by seed.
using BySeed = std::map<std::uint64_t, double>;
BySeed Figure(const Results& results, const std::string& scenario, const std::string& variant,
              const std::string& figure) {
  BySeed values;
  for (const Run& r : results.runs)
    if (r.scenario == scenario && r.variant == variant)
      for (const auto& [name, value] : r.figures)
        if (name == figure) values[r.seed] = value;
  return values;
}

Comparison Paired(const BySeed& a, const BySeed& b) {
  std::vector<double> first, second, difference;
  for (const auto& [seed, value] : a) {
    const auto it = b.find(seed);
    if (it == b.end()) continue;
    first.push_back(value);
    second.push_back(it->second);
    difference.push_back(it->second - value);
  }
  Comparison c;
  c.first = MeanOf(first);
  c.variant_mean = MeanOf(second);
  c.difference = MeanOf(difference);
  c.seeds = static_cast<int>(first.size());
  return c;
}

}  // namespace

Results RunExperiment(
    const Experiment& e, int threads, const std::string& build,
    const std::function<void(const Run& run, std::size_t done, std::size_t of)>& tell) {
  struct Job {
    Scenario scenario;
    std::string variant;
    std::uint64_t seed = 0;
    bool large = false;
  };
  std::vector<Job> jobs;
  for (const Scenario& s : e.scenarios)
    for (const Variant& v : e.variants)
      for (int i = 0; i < e.seeds; ++i) {
        Job job{With(s, v), v.name, e.first_seed + static_cast<std::uint64_t>(i), false};
        job.large = job.scenario.nodes + job.scenario.workers > kLarge;
        jobs.push_back(std::move(job));
      }
  Results results{e.name, e.what, build, {}};
  results.runs.resize(jobs.size());
  std::mutex telling;
  std::size_t done = 0;
  const auto run = [&](std::size_t i, int on) {
    const Job& job = jobs[i];
    const Figures f = Simulate(job.scenario, job.seed, on);
    Run& r = results.runs[i];
    r = {job.scenario.name, job.variant, job.seed, Compared(f), {}};
    if (job.seed == e.first_seed) r.details = ToJson(f);
    const std::lock_guard lock(telling);
    ++done;
    if (tell) tell(r, done, jobs.size());
  };
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (jobs[i].large) run(i, threads);
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> pool;
  for (int t = 0; t < threads; ++t)
    pool.emplace_back([&] {
      for (std::size_t i; (i = next++) < jobs.size();)
        if (!jobs[i].large) run(i, 1);
    });
  for (std::thread& t : pool) t.join();
  return results;
}

std::vector<Comparison> Compare(const Results& results) {
  std::vector<Comparison> all;
  const auto variants = Distinct(results.runs, &Run::variant);
  if (results.runs.empty()) return all;
  for (const std::string& scenario : Distinct(results.runs, &Run::scenario))
    for (std::size_t v = 1; v < variants.size(); ++v)
      for (const auto& [figure, value] : results.runs.front().figures) {
        Comparison c = Paired(Figure(results, scenario, variants[0], figure),
                              Figure(results, scenario, variants[v], figure));
        c.scenario = scenario;
        c.variant = variants[v];
        c.figure = figure;
        all.push_back(std::move(c));
      }
  return all;
}

std::vector<Comparison> CompareFiles(const Results& before, const Results& after) {
  std::vector<Comparison> all;
  if (after.runs.empty()) return all;
  for (const std::string& scenario : Distinct(after.runs, &Run::scenario))
    for (const std::string& variant : Distinct(after.runs, &Run::variant))
      for (const auto& [figure, value] : after.runs.front().figures) {
        Comparison c = Paired(Figure(before, scenario, variant, figure),
                              Figure(after, scenario, variant, figure));
        if (c.seeds == 0) continue;
        c.scenario = scenario;
        c.variant = variant;
        c.figure = figure;
        all.push_back(std::move(c));
      }
  return all;
}

std::string Table(const Results& results, const std::vector<std::string>& figures) {
  std::string out;
  char cell[100];
  if (results.runs.empty()) return "no runs\n";
  for (const std::string& scenario : Distinct(results.runs, &Run::scenario)) {
    std::snprintf(cell, sizeof cell, "%-22.22s", scenario.c_str());
    out += cell;
    for (const auto& [name, value] : results.runs.front().figures) {
      if (!Wanted(figures, name)) continue;
      std::snprintf(cell, sizeof cell, " %17.17s", name.c_str());
      out += cell;
    }
    out += '\n';
    for (const std::string& variant : Distinct(results.runs, &Run::variant)) {
      std::snprintf(cell, sizeof cell, "  %-20.20s", variant.c_str());
      out += cell;
      for (const auto& [name, value] : results.runs.front().figures) {
        if (!Wanted(figures, name)) continue;
        std::vector<double> values;
        for (const auto& [seed, v] : Figure(results, scenario, variant, name)) values.push_back(v);
        const Interval m = MeanOf(values);
        std::snprintf(cell, sizeof cell, " %9.4g +-%6.2g", m.mean, m.half);
        out += cell;
      }
      out += '\n';
    }
  }
  return out;
}

std::string Words(const std::vector<Comparison>& comparisons,
                  const std::vector<std::string>& figures) {
  std::string out;
  char line[200];
  for (const Comparison& c : comparisons) {
    if (!Wanted(figures, c.figure)) continue;
    std::snprintf(
        line, sizeof line, "%-22.22s %-20.20s %-15s %10.4g -> %10.4g  %+10.3g +-%8.2g%s\n",
        c.scenario.c_str(), c.variant.c_str(), c.figure.c_str(), c.first.mean, c.variant_mean.mean,
        c.difference.mean, c.difference.half, c.differs() ? "  *" : "");
    out += line;
  }
  return out;
}

}  // namespace pearreach::lab
