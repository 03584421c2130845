// The sub-command knowledge: what it costs to take, write and read what a node has learned, by the
// number of workers. It owns the folder that it makes and removes.
#include <sys/resource.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "dispatch/settings/settings_reader.h"
#include "lab/base/process.h"
#include "lab/cli/commands.h"
#include "node/knowledge/file.h"

namespace pearreach::lab {
namespace {

using Clock = std::chrono::steady_clock;

double Micros(Clock::time_point from) {
  return std::chrono::duration<double, std::micro>(Clock::now() - from).count();
}

// A module in front of so many workers, each of which has served a job.
dispatch::Dispatcher Taught(const dispatch::Settings& settings, std::uint32_t workers) {
  dispatch::Dispatcher module(settings, 1, 0);
  dispatch::WorkerList list{dispatch::WorkerList::Form::kComplete, {}};
  for (std::uint32_t w = 0; w < workers; ++w) {
    dispatch::WorkerEntry e;
    e.worker = w;
    e.identity = w * 7919 + 13;
    list.entries.push_back(e);
  }
  std::vector<dispatch::Action> actions;
  module.Handle(0, std::vector<dispatch::Event>{list}, &actions);
  dispatch::Knowledge told;
  for (std::uint32_t w = 0; w < workers; ++w) {
    dispatch::WorkerKnowledge k;
    k.worker = w;
    k.slowness = 0.5 + w % 7 / 4.0;
    k.failures = w % 11 / 20.0;
    k.silent = true;  // never heard, or it would not be told
    told.workers.push_back(k);
  }
  module.Handle(1, std::vector<dispatch::Event>{told}, &actions);
  return module;
}

}  // namespace

int KnowledgeCommand(int argc, char** argv) {
  cxxopts::Options options("pearreach-lab knowledge",
                           "What it costs to keep what a node has learned, by its workers.");
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  dispatch::Site site;
  site.kinds = {"m"};
  site.classes = {"commit"};
  site.settings.classes.resize(1);
  const Folder own;
  const std::string path = own.path();
  std::printf("%8s %16s %14s %14s %14s %10s %10s\n", "workers", "on the loop us", "encode us",
              "with disk us", "read us", "KiB", "RSS MiB");
  for (const std::uint32_t workers : {10u, 1000u, 10'000u}) {
    const dispatch::Dispatcher module = Taught(site.settings, workers);
    std::vector<std::string> names;
    for (std::uint32_t w = 0; w < workers; ++w)
      names.push_back("s-" + std::to_string(w * 2654435761u));
    const std::vector<std::int64_t> starts(workers, 1'790'000'000'000);
    knowledge::Folder folder(path, "n" + std::to_string(workers), {});
    double loop = 1e18, encode = 1e18, disk = 1e18, read = 1e18;  // the least of a few
    std::size_t bytes = 0;
    for (int i = 0; i < 7; ++i) {
      auto from = Clock::now();
      const knowledge::Memory memory =
          knowledge::Collect(module.Learned(2), 2, site, names, starts, "n", 1'790'000'000'000'000);
      loop = std::min(loop, Micros(from));
      from = Clock::now();
      bytes = knowledge::Encode(memory, 1, {}).size();
      encode = std::min(encode, Micros(from));
      from = Clock::now();
      if (const std::string wrong = folder.Save(memory); !wrong.empty())
        throw dispatch::Malformed(wrong);
      disk = std::min(disk, Micros(from));
      from = Clock::now();
      if (folder.Look().empty()) throw dispatch::Malformed(path + ": nothing was kept");
      read = std::min(read, Micros(from));
    }
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::printf("%8u %16.0f %14.0f %14.0f %14.0f %10.1f %10.1f\n", workers, loop, encode, disk,
                read, static_cast<double>(bytes) / 1024,
                static_cast<double>(usage.ru_maxrss) / 1024);
  }
  return 0;
}

}  // namespace pearreach::lab
