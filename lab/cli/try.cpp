// Tries a node for real: starts one with stand-in workers, one of which fails, and discovery, sends
// it jobs and prints what became of them. With --compare it measures instead what capture costs:
// two nodes, one with capture off and one with it on, under the same load in turn.
#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "lab/base/standins.h"
#include "lab/cli/commands.h"

namespace pearreach::lab {
namespace {

namespace fs = std::filesystem;

// Jobs at a constant rate, a third of them of the keyed class.
void Load(JobSource* source, double per_second, std::uint64_t jobs) {
  const Micros begin = Now();
  for (std::uint64_t i = 0; i < jobs; ++i) {
    const Micros at = begin + static_cast<Micros>(static_cast<double>(i) * 1e6 / per_second);
    RunUntil([] { return false; }, std::max<Micros>(0, at - Now()));
    source->Send(i % 3 == 0 ? "sync" : "commit");
  }
  RunUntil([&] { return source->open() == 0; }, 6 * kSecond);
}

Micros Quantile(std::vector<Micros> all, double q) {
  if (all.empty()) return 0;
  std::sort(all.begin(), all.end());
  return all[static_cast<std::size_t>(q * static_cast<double>(all.size() - 1))];
}

struct Fleet {
  explicit Fleet(int n, double fails) {
    for (int i = 0; i < n; ++i) {
      MatchWorkerOptions options;
      options.id = "s-" + std::to_string(i);
      options.fails = i == 0 ? fails : 0;
      workers.push_back(std::make_unique<MatchWorker>(options, static_cast<std::uint64_t>(i) + 1));
    }
    std::vector<const MatchWorker*> all;
    for (const auto& w : workers) all.push_back(w.get());
    discovery.SetWorkers(all);
  }
  void AddNode(const std::string& name, const std::string& address) {
    for (const auto& w : workers) w->AddNode(name, address);
  }
  std::vector<std::unique_ptr<MatchWorker>> workers;
  StandInDiscovery discovery;
};

int TryOnce(const std::string& program, std::uint64_t jobs, double rate, std::string capture) {
  Folder folder;
  Fleet fleet(4, 0.2);
  if (capture.empty()) capture = folder.path() + "/captures";
  const std::string file = folder.path() + "/operator.xml";
  std::ofstream(file) << "<pearreach><capture folder='" << capture << "'/></pearreach>";
  NodeProcess node(program, "n0", folder.path(), fleet.discovery.address(), file);
  fleet.AddNode("n0", node.address());
  if (!node.Ready(10 * kSecond)) {
    std::cerr << "try: the node did not start:\n"
              << std::ifstream(folder.path() + "/n0.log").rdbuf();
    return 1;
  }
  std::printf("a node at %s, 4 stand-in workers, one of which fails a fifth of its jobs\n",
              node.address().c_str());
  JobSource source("n0", node.address(), 1);
  Load(&source, rate, jobs);
  std::printf("%llu jobs at %.0f a second: %llu served, %llu refused, %llu failed, %llu broken\n",
              static_cast<unsigned long long>(source.sent), rate,
              static_cast<unsigned long long>(source.served),
              static_cast<unsigned long long>(source.refused),
              static_cast<unsigned long long>(source.failed),
              static_cast<unsigned long long>(source.broken));
  std::printf("time to an answer: %.1f ms in the middle, %.1f ms for the slowest hundredth\n",
              static_cast<double>(Quantile(source.latencies, 0.5)) / 1000,
              static_cast<double>(Quantile(source.latencies, 0.99)) / 1000);
  for (const auto& w : fleet.workers)
    std::printf("  worker %s: %llu jobs, %llu of them failed\n", w->options().id.c_str(),
                static_cast<unsigned long long>(w->taken),
                static_cast<unsigned long long>(w->failed));
  const bool clean = node.Stop();
  std::printf("the node ended %s; its capture replays:\n", clean ? "cleanly" : "BADLY");
  std::fflush(stdout);
  const std::string replay = "'" + program + "' replay '" + capture + "'/n0.*.prcap";
  const bool alike = std::system(replay.c_str()) == 0;
  return clean && alike && source.broken == 0 && source.served > jobs / 2 ? 0 : 1;
}

int Compare(const std::string& program, int rounds, double rate) {
  Folder folder;
  Fleet fleet(16, 0);
  const std::string file = folder.path() + "/operator.xml";
  std::ofstream(file) << "<pearreach><capture folder='" << folder.path() << "/c'/></pearreach>";
  NodeProcess off(program, "off", folder.path(), fleet.discovery.address(), "");
  NodeProcess on(program, "on", folder.path(), fleet.discovery.address(), file);
  fleet.AddNode("off", off.address());
  fleet.AddNode("on", on.address());
  if (!off.Ready(10 * kSecond) || !on.Ready(10 * kSecond)) return 1;
  JobSource to_off("off", off.address(), 1), to_on("on", on.address(), 2);
  const std::uint64_t jobs = static_cast<std::uint64_t>(rate * 2);
  std::vector<double> ratios;
  double sum_off = 0, sum_on = 0;
  for (int i = -1; i < rounds; ++i) {  // the first is for warming up
    double us[2];
    for (const int which : i % 2 == 0 ? std::vector<int>{0, 1} : std::vector<int>{1, 0}) {
      NodeProcess& node = which == 0 ? off : on;
      const std::uint64_t before = node.cpu_ns();
      Load(which == 0 ? &to_off : &to_on, rate, jobs);
      us[which] = static_cast<double>(node.cpu_ns() - before) / 1000 / static_cast<double>(jobs);
    }
    if (i < 0) continue;
    sum_off += us[0];
    sum_on += us[1];
    ratios.push_back(us[1] / us[0]);
    std::printf("round %d: %.1f us a job with capture off, %.1f on, ratio %.3f\n", i + 1, us[0],
                us[1], ratios.back());
  }
  std::sort(ratios.begin(), ratios.end());
  std::printf("all: %.1f us off, %.1f on, ratio %.3f (middle %.3f, %.3f to %.3f)\n",
              sum_off / rounds, sum_on / rounds, sum_on / sum_off, ratios[ratios.size() / 2],
              ratios.front(), ratios.back());
  std::printf("of that the thread that writes: %.2f us a job\n",
              static_cast<double>(on.cpu_ns(true)) / 1000 / static_cast<double>(to_on.sent));
  std::printf("resident: %.1f MB off, %.1f MB on\n", static_cast<double>(off.resident()) / 1e6,
              static_cast<double>(on.resident()) / 1e6);
  return 0;
}

}  // namespace

int Try(int argc, char** argv) {
  cxxopts::Options options("pearreach-lab try",
                           "Tries a node with stand-ins on the loopback interface.");
  options.add_options()("node", "the node's program",
                        cxxopts::value<std::string>()->default_value(""), "PATH")(
      "jobs", "how many", cxxopts::value<std::uint64_t>()->default_value("300"))(
      "rate", "jobs a second", cxxopts::value<double>()->default_value("100"))(
      "capture", "keep the capture there", cxxopts::value<std::string>()->default_value(""), "DIR")(
      "compare", "measure what capture costs, in so many rounds",
      cxxopts::value<int>()->default_value("0"));
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  const std::string program = NodeProgram((*args)["node"].as<std::string>());
  const double rate = std::clamp((*args)["rate"].as<double>(), 1.0, 5000.0);
  if (const int rounds = (*args)["compare"].as<int>(); rounds > 0)
    return Compare(program, std::min(rounds, 100), rate);
  return TryOnce(program, std::min<std::uint64_t>((*args)["jobs"].as<std::uint64_t>(), 100000),
                 rate, (*args)["capture"].as<std::string>());
}

}  // namespace pearreach::lab
