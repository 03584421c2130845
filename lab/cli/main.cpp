// The laboratory's program. It owns the table of its sub-commands; each reads its own options and
// says with --help what they are.
#include <algorithm>
#include <cxxopts.hpp>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>

#include "lab/chaos/chaos.h"
#include "lab/chaos/worker.h"
#include "lab/cli/commands.h"

namespace pearreach::lab {
namespace {

using cxxopts::value;

int Chaos(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach-lab chaos",
      "Kills, freezes and cuts off a node and its workers under durable jobs.");
  options.add_options()("node", "the node's program", value<std::string>()->default_value(""),
                        "PATH")("jobs", "how many", value<int>()->default_value("300"))(
      "seed", "the schedule of faults", value<std::uint64_t>()->default_value("1"))(
      "rate", "jobs a second", value<double>()->default_value("150"))(
      "in-hand", "jobs that the module may have", value<int>()->default_value("64"))(
      "no-fences", "workers that do not know fences");
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  return RunChaos({.program = NodeProgram((*args)["node"].as<std::string>()),
                   .self = std::filesystem::read_symlink("/proc/self/exe").string(),
                   .jobs = std::clamp((*args)["jobs"].as<int>(), 1, 100000),
                   .seed = (*args)["seed"].as<std::uint64_t>(),
                   .fences = args->count("no-fences") == 0,
                   .rate = std::clamp((*args)["rate"].as<double>(), 1.0, 2000.0),
                   .in_hand = std::clamp((*args)["in-hand"].as<int>(), 1, 100000)});
}

int ChaosWorker(int argc, char** argv) {
  cxxopts::Options options("pearreach-lab chaos-worker", "A worker of the kill test.");
  options.add_options()("id", "", value<std::string>())("listen", "", value<std::string>())(
      "news", "", value<std::string>())("memory", "", value<std::string>())(
      "seed", "", value<std::uint64_t>()->default_value("1"))("no-fences", "");
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  return RunChaosWorker({.id = (*args)["id"].as<std::string>(),
                         .listen = (*args)["listen"].as<std::string>(),
                         .news = (*args)["news"].as<std::string>(),
                         .memory = (*args)["memory"].as<std::string>(),
                         .fences = args->count("no-fences") == 0,
                         .seed = (*args)["seed"].as<std::uint64_t>()});
}

struct Command {
  std::function<int(int, char**)> run;
  const char* what;  // null: not for people
};
const std::map<std::string, Command> kCommands = {
    {"chaos", {Chaos, "kill, freeze and cut off a node and its workers under durable jobs"}},
    {"chaos-worker", {ChaosWorker, nullptr}},
    {"durable", {Durable, "measure durable jobs: intake, recovery, growth of the store"}},
    {"experiment", {ExperimentCommand, "run scenarios in variants and compare them"}},
    {"emulate", {EmulateCommand, "match workers and discovery on real sockets, with failures"}},
    {"knowledge", {KnowledgeCommand, "measure what it costs to keep what a node has learned"}},
    {"load", {LoadCommand, "an open-loop load on nodes over HTTP"}},
    {"report", {ReportCommand, "a page with plots of results or of a capture"}},
    {"simulate", {SimulateCommand, "many nodes and their fleet in virtual time"}},
    {"top", {TopCommand, "nodes' logs or an experiment's progress in a terminal"}},
    {"trial", {TrialCommand, "many nodes as processes, faults between them, and checkers"}},
    {"try", {Try, "start a node with stand-ins, send it jobs, say what became of them"}},
};

}  // namespace

std::string NodeProgram(const std::string& named) {
  namespace fs = std::filesystem;
  return named.empty() ? (fs::read_symlink("/proc/self/exe").parent_path() / "pearreach").string()
                       : fs::absolute(named).string();
}

std::optional<cxxopts::ParseResult> Parse(cxxopts::Options* options, int argc, char** argv) {
  options->add_options()("h,help", "print this");
  auto args = options->parse(argc, argv);
  if (args.count("help") == 0) return args;
  std::cout << options->help();
  return std::nullopt;
}

}  // namespace pearreach::lab

int main(int argc, char** argv) {
  using pearreach::lab::kCommands;
  const std::string name = argc > 1 ? argv[1] : "help";
  const auto it = kCommands.find(name);
  if (it == kCommands.end()) {
    (name == "help" || name == "--help" ? std::cout : std::cerr)
        << "pearreach-lab COMMAND; each has its --help:\n";
    for (const auto& [word, command] : kCommands)
      if (command.what != nullptr) std::cout << "  " << word << ": " << command.what << '\n';
    return name == "help" || name == "--help" ? 0 : 2;
  }
  try {
    return it->second.run(argc - 1, argv + 1);
  } catch (const std::exception& wrong) {
    std::cerr << "pearreach-lab " << name << ": " << wrong.what() << '\n';
    return 2;
  }
}
