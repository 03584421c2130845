// The sub-command trial: its options and words.
#include "lab/trial/trial.h"

#include <cstdio>
#include <fstream>
#include <iostream>

#include "config/xml.h"
#include "lab/cli/commands.h"
#include "lab/trial/checkers.h"
#include "site/site.h"

namespace pearreach::lab {
namespace {

using cxxopts::value;
using marlquay::Malformed;

void Print(const History& history, const std::vector<Violation>& violations, std::uint64_t seed) {
  constexpr std::size_t kShown = 10;
  for (std::size_t i = 0; i < violations.size() && i < kShown; ++i) {
    const Violation& v = violations[i];
    std::printf("VIOLATION of %s at %.3f s (seed %llu): %s\n", v.rule.c_str(),
                static_cast<double>(v.at) / 1e6, static_cast<unsigned long long>(seed),
                v.what.c_str());
    for (const std::size_t line : v.lines) std::printf("  %s\n", Words(history[line]).c_str());
  }
  if (violations.size() > kShown)
    std::printf("and %zu more violations\n", violations.size() - kShown);
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw Malformed(path + ": cannot be written");
}

}  // namespace

int TrialCommand(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach-lab trial",
      "Starts several nodes, match workers, discovery and clients, puts faults between\n"
      "them and checks what must hold:\n"
      "  trial [FILE.xml | --seed N]   by a file, or with faults drawn from a seed\n"
      "  trial check HISTORY           judges a history again\n"
      "Exit codes: 0 nothing is violated, 1 something is, 2 wrong use or a bad file.");
  options.add_options()("words", "", value<std::vector<std::string>>())(
      "seed", "of faults, load and workers", value<std::uint64_t>()->default_value("1"))(
      "nodes", "3 to 30", value<int>()->default_value("9"))("seconds", "of load",
                                                            value<double>()->default_value("10"))(
      "faults", "drawn ones", value<int>()->default_value("12"))(
      "node", "the node's program", value<std::string>()->default_value(""), "PATH")(
      "history", "write the history there", value<std::string>()->default_value(""), "OUT")(
      "keep", "keep logs and files there", value<std::string>()->default_value(""), "DIR");
  options.parse_positional({"words"});
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  std::vector<std::string> words;
  if (args->count("words") > 0) words = (*args)["words"].as<std::vector<std::string>>();
  if (!words.empty() && words[0] == "check") {
    if (words.size() != 2) throw Malformed("trial check wants one HISTORY");
    History history = ReadHistory(xml::LoadText(words[1]), words[1]);
    Sort(&history);
    const auto violations = CheckAll(history);
    Print(history, violations, 0);
    std::printf("trial: %zu lines, %zu violations\n", history.size(), violations.size());
    return violations.empty() ? 0 : 1;
  }
  if (words.size() > 1) throw Malformed("trial wants one FILE.xml at most");
  TrialPlan plan;
  if (!words.empty()) {
    plan = LoadPlanFile(words[0]);
  } else {
    plan.nodes = (*args)["nodes"].as<int>();
    plan.seed = (*args)["seed"].as<std::uint64_t>();
    plan.length = static_cast<Micros>((*args)["seconds"].as<double>() * 1e6);
    DrawOptions draw;
    draw.faults = (*args)["faults"].as<int>();
    if (draw.faults < 0 || plan.length < 1'000'000)
      throw Malformed("no time, or fewer than no faults");
    DrawFaults(draw, &plan);
  }
  if (plan.nodes < 3 || plan.nodes > 30) throw Malformed("a trial of processes has 3 to 30 nodes");
  const History history = RunTrial(
      {NodeProgram((*args)["node"].as<std::string>()), plan, (*args)["keep"].as<std::string>()});
  if (const std::string out = (*args)["history"].as<std::string>(); !out.empty())
    WriteFile(out, WriteHistory(history));
  const auto violations = CheckAll(history);
  Print(history, violations, plan.seed);
  std::printf("trial: %d nodes, %zu faults, %zu violations\n", plan.nodes, plan.faults.size(),
              violations.size());
  return violations.empty() ? 0 : 1;
}

}  // namespace pearreach::lab
