// The start of the program: finds the sub-command and turns what goes wrong into one line. It owns
// the list of sub-commands; it must never do their work.
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <iostream>

#include "dispatch/settings/settings_reader.h"
#include "node/capture/segment.h"
#include "node/cli/cli.h"
#include "node/cli/policy_hash.h"

#ifndef PEARREACH_VERSION
#define PEARREACH_VERSION "unknown"
#endif

namespace pearreach::cli {

const char kVersion[] = PEARREACH_VERSION;
const std::uint64_t kPolicyHash = PEARREACH_POLICY_HASH;

namespace {

struct Entry {
  const char* name;
  Command run;
  const char* what;
};

constexpr Entry kCommands[] = {
    {"serve", Serve, "run a node"},
    {"check", Check,
     "read the configuration and the operator's file and say whether they are good"},
    {"replay", Replay, "hand a capture to the module again and compare what it decides"},
    {"explain", Explain, "tell what happened around one worker or one job, and why"},
    {"audit", Audit, "check the four rules over a capture"},
    {"capture", CaptureTools, "info, cut, anonymise, import-tap: look at captures, make others"},
    {"jobs", JobsTools, "list, show, export, resolve, verify, compact: durable jobs in a store"},
    {"knowledge", KnowledgeTools, "show, verify, age, drop: what a node has learned and keeps"},
    {"rules", RulesTools, "propose, show, diff, wait: rules on which nodes agree, at a door"},
    {"zone", Zone, "leave, return, clear, show: zones and regions, at a node's door"},
};

void Help(std::ostream& out) {
  out << "pearreach: load balancer in front of match workers\n\n";
  for (const Entry& e : kCommands) {
    char line[120];
    std::snprintf(line, sizeof line, "  pearreach %-9s  %s\n", e.name, e.what);
    out << line;
  }
  out << "  pearreach version   print the version\n"
         "  pearreach help      print this\n\n"
         "Each has its options: pearreach COMMAND --help. Exit codes: 0 good, 1 the answer is no,\n"
         "2 wrong use or bad input.\n";
}

int Run(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "help";
  if (command == "help" || command == "--help" || command == "-h") return Help(std::cout), kGood;
  if (command == "version" || command == "--version")
    return std::cout << "pearreach " << kVersion << '\n', kGood;
  for (const Entry& e : kCommands) {
    if (command != e.name) continue;
    try {
      return e.run(argc - 1, argv + 1);
    } catch (const cxxopts::exceptions::exception& wrong) {
      std::cerr << "pearreach: " << wrong.what() << "; see 'pearreach " << command << " --help'\n";
    } catch (const dispatch::Malformed& wrong) {
      std::cerr << "pearreach: " << wrong.what() << '\n';
    } catch (const capture::Unreadable& wrong) {
      std::cerr << "pearreach: " << wrong.what() << '\n';
    }
    return kUsage;
  }
  std::cerr << "pearreach: unknown command '" << command << "'; see 'pearreach help'\n";
  return kUsage;
}

}  // namespace

cxxopts::ParseResult Parse(cxxopts::Options* options, int argc, char** argv, bool* done) {
  options->add_options()("h,help", "print this");
  auto args = options->parse(argc, argv);
  if (!args.unmatched().empty()) throw cxxopts::exceptions::parsing("too many arguments");
  *done = args.count("help") > 0;
  if (*done) std::cout << options->help();
  return args;
}

std::function<void(double)> ProgressBar() {
  if (isatty(STDERR_FILENO) == 0) return {};
  const auto begin = std::chrono::steady_clock::now();
  return [begin](double part) {
    if (std::chrono::steady_clock::now() - begin < std::chrono::seconds(1)) return;
    constexpr int kWidth = 40;
    const int full = static_cast<int>(part * kWidth);
    std::string bar(static_cast<std::size_t>(full), '#');
    bar.resize(kWidth, ' ');
    std::fprintf(stderr, "\r[%s] %3.0f%%%s", bar.c_str(), part * 100, part >= 1 ? "\r\x1b[K" : "");
  };
}

}  // namespace pearreach::cli

int main(int argc, char** argv) { return pearreach::cli::Run(argc, argv); }
