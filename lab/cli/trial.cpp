// The sub-command trial: its options and words.
#include "lab/trial/trial.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>

#include "dispatch/settings/settings_reader.h"
#include "lab/cli/commands.h"
#include "lab/trial/checkers.h"
#include "lab/trial/figures.h"
#include "lab/trial/rules_virtual.h"
#include "lab/trial/shrink.h"
#include "lab/trial/virtual.h"
#include "node/config/xml.h"

namespace pearreach::lab {
namespace {

using cxxopts::value;
using dispatch::Malformed;

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

// Plays a plan as processes, or in virtual time.
using Play = std::function<History(const TrialPlan&)>;

// The smallest plan that still breaks the same rule, and how often it does: processes in real time
// do not repeat exactly, so each candidate is played up to kPlays times.
void MakeSmaller(const TrialPlan& plan, const std::string& rule, const Play& play, int most,
                 const std::string& out) {
  constexpr int kPlays = 3, kJudged = 5;
  const auto breaks = [&](const TrialPlan& p) {
    const auto violations = CheckAll(play(p));
    return std::any_of(violations.begin(), violations.end(),
                       [&](const Violation& v) { return v.rule == rule; });
  };
  const TrialPlan small = Shrink(
      plan,
      [&](const TrialPlan& p) {
        for (int i = 0; i < kPlays; ++i)
          if (breaks(p)) return true;
        return false;
      },
      most);
  int broken = 0;
  for (int i = 0; i < kJudged; ++i) broken += breaks(small) ? 1 : 0;
  WriteFile(out, "<!-- breaks " + rule + " in " + std::to_string(broken) + " of " +
                     std::to_string(kJudged) + " plays -->\n" + WritePlan(small));
  std::printf("smallest that still breaks %s (%d of %d plays), kept in %s:\n", rule.c_str(), broken,
              kJudged, out.c_str());
  for (const Fault& f : small.faults) std::printf("  %s\n", Words(f).c_str());
}

// What agreeing on rules takes: versions proposed one after another in virtual time.
int RulesTable(const cxxopts::ParseResult& args) {
  std::printf("%5s %5s %8s | %8s %8s %8s | %7s %10s %10s | %8s\n", "nodes", "lost", "versions",
              "all s", "p90", "most", "floor %", "bytes/s", "busiest", "contra s");
  const std::vector<int> sizes = args.count("nodes") > 0 ? std::vector<int>{args["nodes"].as<int>()}
                                                         : std::vector<int>{3, 30, 100, 300};
  for (const int nodes : sizes)
    for (const double lost : {0.0, 0.2, 0.5}) {
      RulesPlan p;
      p.plan.nodes = nodes;
      p.plan.seed = args["seed"].as<std::uint64_t>();
      p.plan.length = 90'000'000;
      p.lost = lost;
      p.options.voters = nodes >= 5 ? std::vector<int>{0, 1, 2, 3, 4} : std::vector<int>{0, 1, 2};
      p.options.round_interval = std::max<Micros>(250'000, nodes * Micros{8'000});
      p.options.lease = std::max<Micros>(4'700'000, 4 * p.options.round_interval);
      p.propose_every = 8'000'000;
      p.ahead = 200'000;
      p.drift = 0.01;
      p.settle = 30'000'000;
      RulesResult r = RunRules(p);
      std::sort(r.to_all.begin(), r.to_all.end());
      const auto at = [&](double share) {
        if (r.to_all.empty()) return 0.0;
        const auto i = static_cast<std::size_t>(share * static_cast<double>(r.to_all.size() - 1));
        return static_cast<double>(r.to_all[i]) / 1e6;
      };
      const double seconds = static_cast<double>(r.length) / 1e6;
      std::printf("%5d %5.0f %8llu | %8.2f %8.2f %8.2f | %7.2f %10.0f %10.0f | %8.2f\n", nodes,
                  lost * 100, static_cast<unsigned long long>(r.versions), at(0.5), at(0.9), at(1),
                  r.floors * 100, static_cast<double>(r.bytes) / seconds / nodes,
                  static_cast<double>(r.busiest_bytes) / seconds,
                  static_cast<double>(r.longest) / 1e6);
      std::fflush(stdout);
    }
  return 0;
}

int Figures(const cxxopts::ParseResult& args) {
  const auto number = [&](const char* name) { return args[name].as<int>(); };
  const int period = number("period-ms") > 0 ? number("period-ms") : 500;
  std::printf("%-10s %5s %5s %9s %9s | %7s %7s %7s %7s %4s | %9s %9s\n", "way", "nodes", "lost",
              "words/s", "bytes/s", "first s", "most", "all s", "most", "not", "suspect/h",
              "unreach/h");
  const std::vector<int> sizes = args.count("nodes") > 0 ? std::vector<int>{number("nodes")}
                                                         : std::vector<int>{3, 30, 100, 300};
  for (const char* way : {"lifeguard", "swim", "heartbeat", "phi"})
    for (const int nodes : sizes)
      for (const double lost : {0.0, 0.2, 0.5}) {
        FiguresOptions o;
        o.way = way;
        o.nodes = nodes;
        o.lost = lost;
        o.seed = args["seed"].as<std::uint64_t>();
        o.period = period * Micros{1000};
        o.deaths = nodes >= 100 ? 4 : 20;
        const WayFigures f = Measure(o);
        std::printf("%-10s %5d %5.2f %9.2f %9.1f | %7.2f %7.2f %7.2f %7.2f %4d | %9.3f %9.3f\n",
                    f.way.c_str(), f.nodes, f.lost, f.words, f.bytes, f.first_mean, f.first_most,
                    f.all_mean, f.all_most, f.unnoticed, f.suspicions, f.unreachable);
        std::fflush(stdout);
      }
  return 0;
}

int SharedTable(const cxxopts::ParseResult& args) {
  const std::vector<int> sizes = args.count("nodes") > 0 ? std::vector<int>{args["nodes"].as<int>()}
                                                         : std::vector<int>{3, 9, 30, 100, 300};
  std::printf("%5s %5s %-14s %8s %8s | %7s %7s | %8s %8s | %9s | %6s %5s\n", "nodes", "lost", "way",
              "words/s", "bytes/s", "width", "off", "in share", "ceiling", "lost/node", "parts",
              "viol.");
  for (const int nodes : sizes)
    for (const double lost : {0.0, 0.2, 0.5})
      for (const int way : {0, 1, 2}) {
        SharedCase c;
        c.nodes = nodes;
        c.lost = lost;
        c.seed = args["seed"].as<std::uint64_t>();
        c.lends = c.judges = way != 1;
        c.cut_off = way == 2;
        const SharedFigures f = Measure(c);
        constexpr const char* kWays[] = {"shared", "each alone", "a third cut off"};
        std::printf(
            "%5d %5.2f %-14.14s %8.1f %8.0f | %7.3f %7.3f | %8.3f %8.4f | %9.2f | %6.3f %5zu\n",
            nodes, lost, kWays[way], f.words, f.bytes, f.width, f.off, f.in_share, f.over_ceiling,
            f.sends_lost, f.most_parts, f.violations);
        if (f.violations > 0) std::printf("      the first: %s\n", f.first.c_str());
        std::fflush(stdout);
      }
  return 0;
}

int ZoneTable(const cxxopts::ParseResult& args) {
  const std::vector<int> sizes = args.count("nodes") > 0 ? std::vector<int>{args["nodes"].as<int>()}
                                                         : std::vector<int>{9, 30, 100};
  std::printf("%5s %5s %-10s | %7s %7s %5s | %7s | %9s %6s | %7s %5s\n", "nodes", "lost", "way",
              "first s", "last s", "left", "whole s", "lost/node", "cold", "bytes/s", "viol.");
  for (const int nodes : sizes)
    for (const double lost : {0.0, 0.2, 0.5})
      for (const bool fleet : {true, false}) {
        ZoneCase c;
        c.nodes = nodes;
        c.lost = lost;
        c.fleet = fleet;
        c.seed = args["seed"].as<std::uint64_t>();
        const ZoneFigures f = Measure(c);
        std::printf("%5d %5.2f %-10s | %7.2f %7.2f %5d | %7.2f | %9.2f %6.2f | %7.0f %5zu\n", nodes,
                    lost, fleet ? "fleet" : "each alone", f.first, f.last, f.left, f.whole,
                    f.sends_lost, f.most_cold, f.bytes, f.violations);
        std::fflush(stdout);
      }
  return 0;
}

}  // namespace

int TrialCommand(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach-lab trial",
      "Starts several nodes, match workers, discovery and clients, puts faults between\n"
      "them and checks what must hold:\n"
      "  trial [FILE.xml | --seed N]   by a file, or with faults drawn from a seed\n"
      "  trial check HISTORY           judges a history again\n"
      "  trial figures [shared|zones|rules]  what knowing who is there, sharing state or leaving a "
      "zone "
      "costs and "
      "gives,\n"
      "                                in virtual time\n"
      "Exit codes: 0 nothing is violated, 1 something is, 2 wrong use or a bad file.");
  options.add_options()("words", "", value<std::vector<std::string>>())(
      "no-words", "nodes without words between them")(
      "no-rules", "nodes that agree on no rules, and no proposals")(
      "no-zones", "nodes that leave no zone, and no faults of whole zones")(
      "virtual", "the machines alone in virtual time, 3 to 300 nodes")(
      "period-ms", "between two probes; processes: 200, figures: 500",
      value<int>()->default_value("0"))("shrink", "plays to make what failed smaller, 0: none",
                                        value<int>()->default_value("20"))(
      "smallest", "keep the smallest that still fails there",
      value<std::string>()->default_value(""), "FILE.xml")(
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
  if (words.size() == 2 && words[0] == "figures" && words[1] == "shared") return SharedTable(*args);
  if (words.size() == 2 && words[0] == "figures" && words[1] == "zones") return ZoneTable(*args);
  if (words.size() == 2 && words[0] == "figures" && words[1] == "rules") return RulesTable(*args);
  if (!words.empty() && words[0] == "figures") return Figures(*args);
  if (words.size() > 1) throw Malformed("trial wants one FILE.xml at most");
  TrialPlan plan;
  if (!words.empty()) {
    plan = LoadPlanFile(words[0]);
  } else {
    plan.nodes = (*args)["nodes"].as<int>();
    plan.seed = (*args)["seed"].as<std::uint64_t>();
    plan.length = static_cast<Micros>((*args)["seconds"].as<double>() * 1e6);
    DrawOptions draw;
    draw.zones = args->count("no-zones") == 0;
    draw.faults = (*args)["faults"].as<int>();
    draw.proposals = args->count("no-rules") > 0 ? 0 : 4;
    if (draw.faults < 0 || plan.length < 1'000'000)
      throw Malformed("no time, or fewer than no faults");
    DrawFaults(draw, &plan);
  }
  if (const int period = (*args)["period-ms"].as<int>(); period > 0)
    plan.period = period * Micros{1000};
  const bool is_virtual = args->count("virtual") > 0;
  if (plan.nodes < 3 || plan.nodes > (is_virtual ? 300 : 30))
    throw Malformed(is_virtual ? "a trial in virtual time has 3 to 300 nodes"
                               : "a trial of processes has 3 to 30 nodes");
  const std::string program = NodeProgram((*args)["node"].as<std::string>());
  std::string keep = (*args)["keep"].as<std::string>();
  const bool with_words = args->count("no-words") == 0;
  SharedLoad shared;  // in virtual time
  shared.options.quotas = {70, 40, 20};
  shared.asked = {60, 30, 10};
  shared.flood_from = plan.length / 4;
  shared.flood_until = plan.length / 2;
  shared.sends = std::min(4.0, 400.0 / plan.nodes);
  const bool with_zones = args->count("no-zones") == 0;
  ZoneLoad zones;
  const Play play = [&](const TrialPlan& p) {
    History history =
        is_virtual
            ? RunVirtual({.plan = p, .shared = &shared, .zones = with_zones ? &zones : nullptr})
                  .history
            : RunTrial({program, p, with_words, with_zones, args->count("no-rules") == 0, keep});
    keep.clear();  // those of the first play
    return history;
  };
  const History history = play(plan);
  if (const std::string out = (*args)["history"].as<std::string>(); !out.empty())
    WriteFile(out, WriteHistory(history));
  for (const Moment& m : history)
    if (m.what == "cost") std::printf("%s\n", Words(m).c_str());
  const auto violations = CheckAll(history);
  Print(history, violations, plan.seed);
  if (const int most = (*args)["shrink"].as<int>(); !violations.empty() && most > 0) {
    std::string out = (*args)["smallest"].as<std::string>();
    if (out.empty()) out = "trial-" + std::to_string(plan.seed) + ".xml";
    MakeSmaller(plan, violations.front().rule, play, most, out);
  }
  std::printf("trial: %d nodes, %zu faults, %zu violations\n", plan.nodes, plan.faults.size(),
              violations.size());
  return violations.empty() ? 0 : 1;
}

}  // namespace pearreach::lab
