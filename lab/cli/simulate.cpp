// The sub-command simulate: one scenario in virtual time, its figures in words or as JSON. It owns
// the words; the scenario comes from its options, the run from lab/sim.
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <thread>

#include "lab/cli/commands.h"
#include "lab/experiment/results.h"
#include "lab/experiment/settings.h"
#include "lab/sim/simulation.h"

namespace pearreach::lab {

void PrintFigures(const Figures& f) {
  std::printf(
      "%s, %s, seed %llu: service %.4f; of %llu jobs %llu in their aim, %llu late, %llu"
      " refused, %llu failed\n",
      f.scenario.c_str(), f.policy.c_str(), static_cast<unsigned long long>(f.seed),
      f.all.service(), static_cast<unsigned long long>(f.all.jobs),
      static_cast<unsigned long long>(f.all.in_aim), static_cast<unsigned long long>(f.all.late),
      static_cast<unsigned long long>(f.all.refused),
      static_cast<unsigned long long>(f.all.failed));
  for (std::size_t i = 0; i < f.classes.size(); ++i)
    std::printf("  class %-10s service %.4f, p50 %.0f ms, p99 %.0f ms\n", f.class_names[i].c_str(),
                f.classes[i].service(), f.times[i].Quantile(0.5) / 1000,
                f.times[i].Quantile(0.99) / 1000);
  for (std::size_t i = 0; i < f.tenants.size(); ++i)
    std::printf("  account %-8s service %.4f of %llu jobs\n", f.tenant_names[i].c_str(),
                f.tenants[i].service(), static_cast<unsigned long long>(f.tenants[i].jobs));
  const double jobs = static_cast<double>(std::max<std::uint64_t>(1, f.all.jobs));
  std::printf(
      "  attempts a job %.3f, tries %.3f; workers busy %.3f, uneven by %.3f; limits uneven"
      " by %.3f\n",
      static_cast<double>(f.all.attempts) / jobs, static_cast<double>(f.all.tries) / jobs,
      f.busy_share, f.imbalance, f.limit_spread);
  std::printf(
      "  cold workers pushed to %.2f of what they can do, %llu fell; rules broken: %llu"
      " second runs, %llu sends to drained, %llu answers late, %llu missing\n",
      f.cold_pressure, static_cast<unsigned long long>(f.falls),
      static_cast<unsigned long long>(f.second_runs),
      static_cast<unsigned long long>(f.sends_to_drained),
      static_cast<unsigned long long>(f.late_answers),
      static_cast<unsigned long long>(f.unanswered));
  std::printf("  deciding: %.2f us a job, %.1f looks; %llu events in %.1f s\n", f.cpu_us_a_job,
              static_cast<double>(f.looks) / jobs, static_cast<unsigned long long>(f.events),
              f.seconds_taken);
}

int SimulateCommand(int argc, char** argv) {
  cxxopts::Options options("pearreach-lab simulate",
                           "Runs nodes, a fleet, its load and its troubles in virtual time.");
  options.add_options()("file", "an experiment's file: its first scenario",
                        cxxopts::value<std::string>()->default_value(""),
                        "FILE")("nodes", "", cxxopts::value<int>()->default_value("3"))(
      "workers", "", cxxopts::value<int>()->default_value("10"))(
      "load", "a part of what the fleet can do", cxxopts::value<double>()->default_value("0.7"))(
      "seconds", "of virtual time", cxxopts::value<double>()->default_value("60"))(
      "policy", "module, random, least, two or greedy",
      cxxopts::value<std::string>()->default_value("module"))(
      "trouble",
      "silence, restart, slow, drain, node-dies or late-list, of PART, from FROM for"
      " LENGTH seconds; as WHAT:PART:FROM:LENGTH",
      cxxopts::value<std::vector<std::string>>())(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "threads", "0: one a core", cxxopts::value<int>()->default_value("0"))(
      "json", "all figures, as JSON");
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  Scenario s;
  if (const auto file = (*args)["file"].as<std::string>(); !file.empty())
    s = LoadExperiment(file).scenarios.at(0);
  if (args->count("file") == 0 || args->count("nodes") > 0) s.nodes = (*args)["nodes"].as<int>();
  if (args->count("file") == 0 || args->count("workers") > 0)
    s.workers = (*args)["workers"].as<int>();
  if (args->count("file") == 0 || args->count("load") > 0) s.load = (*args)["load"].as<double>();
  if (args->count("file") == 0 || args->count("seconds") > 0)
    s.length = static_cast<Micros>((*args)["seconds"].as<double>() * 1e6);
  if (args->count("file") == 0 || args->count("policy") > 0)
    s.policy = (*args)["policy"].as<std::string>();
  if (args->count("trouble") > 0)
    for (const std::string& text : (*args)["trouble"].as<std::vector<std::string>>())
      s.troubles.push_back(ReadTrouble(text));
  CheckScenario(s);
  int threads = (*args)["threads"].as<int>();
  if (threads <= 0) threads = static_cast<int>(std::thread::hardware_concurrency());
  const Figures figures = Simulate(s, (*args)["seed"].as<std::uint64_t>(), threads);
  if (args->count("json") > 0)
    std::cout << ToJson(figures) << '\n';
  else
    PrintFigures(figures);
  return figures.broken() == 0 ? 0 : 1;
}

}  // namespace pearreach::lab
