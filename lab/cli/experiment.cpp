// The sub-command experiment: runs a file, or compares the results of two. It owns the words.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

#include "dispatch/settings/settings_reader.h"
#include "lab/cli/commands.h"
#include "lab/experiment/run.h"
#include "node/config/xml.h"

namespace pearreach::lab {

int ExperimentCommand(int argc, char** argv) {
  cxxopts::Options options("pearreach-lab experiment",
                           "Runs an experiment's file and compares its variants, paired by seed:\n"
                           "  experiment FILE.xml [--out FILE.json]\n"
                           "  experiment --compare BEFORE.json AFTER.json");
  options.add_options()("words", "", cxxopts::value<std::vector<std::string>>())(
      "out", "results, to compare and report later",
      cxxopts::value<std::string>()->default_value(""), "FILE")(
      "figures", "only these, with commas",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "service,worst_group,refused,p99_ms,attempts,uneven_limits,cold_pressure,falls,rules_"
          "broken,cpu_us"))("scenario", "only this one", cxxopts::value<std::string>(), "NAME")(
      "seeds", "in place of the file's", cxxopts::value<int>()->default_value("0"))(
      "threads", "0: one a core", cxxopts::value<int>()->default_value("0"))(
      "compare", "two files of results")("quiet", "no line a run")(
      "progress", "a JSON line a run, for top", cxxopts::value<std::string>(), "FILE");
  options.parse_positional({"words"});
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  const auto words = args->count("words") > 0 ? (*args)["words"].as<std::vector<std::string>>()
                                              : std::vector<std::string>();
  const auto figures = (*args)["figures"].as<std::vector<std::string>>();
  if (args->count("compare") > 0) {
    if (words.size() != 2) throw dispatch::Malformed("--compare wants two files");
    const Results before = ReadResults(xml::LoadText(words[0]), words[0]);
    const Results after = ReadResults(xml::LoadText(words[1]), words[1]);
    std::cout << Words(CompareFiles(before, after), figures);
    return 0;
  }
  if (words.size() != 1) throw dispatch::Malformed("experiment wants one FILE");
  Experiment e = LoadExperiment(words[0]);
  if (args->count("scenario") > 0) {
    const std::string only = (*args)["scenario"].as<std::string>();
    std::erase_if(e.scenarios, [&](const Scenario& s) { return s.name != only; });
    if (e.scenarios.empty()) throw dispatch::Malformed("no scenario " + dispatch::Quote(only));
  }
  if (const int seeds = (*args)["seeds"].as<int>(); seeds > 0) e.seeds = seeds;
  int threads = (*args)["threads"].as<int>();
  if (threads <= 0) threads = std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
  const bool quiet = args->count("quiet") > 0;
  std::ofstream progress;
  if (args->count("progress") > 0) progress.open((*args)["progress"].as<std::string>());
  const Results results = RunExperiment(
      e, threads, PEARREACH_VERSION, [&](const Run& run, std::size_t done, std::size_t of) {
        if (progress.is_open()) progress << ProgressLine(run, done, of) << std::endl;
        if (!quiet)
          std::fprintf(stderr, "%zu of %zu: %s, %s, seed %llu: service %.4f\n", done, of,
                       run.scenario.c_str(), run.variant.c_str(),
                       static_cast<unsigned long long>(run.seed), run.figures.front().second);
      });
  std::cout << Table(results, figures);
  const auto compared = Compare(results);
  if (!compared.empty())
    std::cout << "\nagainst " << e.variants.front().name
              << ", paired by seed; * marks what the 95% interval tells from nought:\n"
              << Words(compared, figures);
  if (const auto out = (*args)["out"].as<std::string>(); !out.empty()) {
    std::ofstream(out) << WriteResults(results) << '\n';
    if (!std::ifstream(out)) throw dispatch::Malformed(out + ": cannot be written");
  }
  double broken = 0;
  for (const Run& run : results.runs)
    for (const auto& [name, value] : run.figures)
      if (name == "rules_broken" && run.variant == e.variants.front().name) broken += value;
  return broken == 0 ? 0 : 1;
}

}  // namespace pearreach::lab
