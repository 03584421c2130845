// The command line of pearreach. It owns the start and the end of the program: reads the
// configuration, puts the parts together, and turns signals into a clean end. It must never listen
// before the configuration is known to be good.
#include <glib-unix.h>
#include <sys/resource.h>

#include <csignal>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>

#include "config/config.h"
#include "fronts/front.h"
#include "node/node.h"

#ifndef PEARREACH_VERSION
#define PEARREACH_VERSION "unknown"
#endif

namespace pearreach {
namespace {

constexpr int kUsage = 2;  // exit code for a wrong command line or configuration
constexpr Micros kCountsEvery = 10 * kSecond;

constexpr char kHelp[] =
    "pearreach: load balancer in front of match workers\n"
    "\n"
    "  pearreach serve [--config FILE]   run a node\n"
    "  pearreach check [--config FILE]   read a configuration and say whether it is good\n"
    "  pearreach version                 print the version\n"
    "  pearreach help                    print this\n"
    "\n"
    "The configuration is $EDGE_CONFIG unless --config names another; EDGE_NAME, EDGE_LISTEN and\n"
    "EDGE_DISCOVERY override what it says. SIGTERM and SIGINT end a node once all that it has\n"
    "taken is answered. SIGHUP makes it read the configuration again and move to the discovery\n"
    "address named there; what else has changed waits for a restart.\n";

// Guards the jobs at hand: whatever the file holds by now, the node goes on.
void Reload(const std::string& path, Config* config, Node* node) {
  try {
    if (ReloadConfig(path, config)) {
      node->MoveDiscovery(config->discovery);
      Log("configuration read again: discovery is at " + config->discovery);
    } else {
      Log("configuration read again: discovery stays at " + config->discovery);
    }
  } catch (const marlquay::Malformed& wrong) {
    Count("bad_configuration");
    Log(std::string("configuration not taken over: ") + wrong.what());
  }
}

int Serve(Config config, const std::string& path) {
  // The limit on descriptors is the system's to set; the budget keeps under whichever is less.
  rlimit limit{};
  int sockets = config.sockets;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur < static_cast<rlim_t>(sockets)) sockets = static_cast<int>(limit.rlim_cur);
  }
  std::signal(SIGPIPE, SIG_IGN);
  SetLogName(config.name);

  // Guards the start: until the loop runs, a SIGHUP waits instead of ending the program.
  const auto hup = [](gpointer reload) -> gboolean {
    (*static_cast<std::function<void()>*>(reload))();
    return G_SOURCE_CONTINUE;
  };
  std::function<void()> reload;
  g_unix_signal_add(SIGHUP, hup, &reload);

  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  Config bounded = config;
  bounded.sockets = sockets;
  Node node(bounded);
  Front front(&node, sockets);
  if (const std::string wrong = front.Open(config.listen); !wrong.empty()) {
    std::cerr << "pearreach: " << config.listen << ": " << wrong << '\n';
    return 1;
  }
  reload = [&] { Reload(path, &config, &node); };
  node.Start();
  Log("serving at " + config.listen + ", version " PEARREACH_VERSION);

  Alarm* counts = nullptr;
  Alarm report([&] {
    LogCounts();
    counts->Set(Now() + kCountsEvery);
  });
  counts = &report;
  report.Set(Now() + kCountsEvery);

  struct End {
    Front* front;
    GMainLoop* loop;
  } end{&front, loop};
  const auto stop = [](gpointer data) -> gboolean {
    const End* e = static_cast<End*>(data);
    Log("ending: answering what was taken");
    e->front->Drain([loop = e->loop] { g_main_loop_quit(loop); });
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, stop, &end);
  g_unix_signal_add(SIGINT, stop, &end);
  g_main_loop_run(loop);
  LogCounts();
  Log("ended");
  g_main_loop_unref(loop);
  return 0;
}

int Run(int argc, char** argv) {
  cxxopts::Options options("pearreach");
  options.add_options()("command", "", cxxopts::value<std::string>()->default_value("help"))(
      "config", "", cxxopts::value<std::string>()->default_value(""))("h,help", "")("version", "");
  options.parse_positional({"command"});
  std::string command;
  try {
    const auto args = options.parse(argc, argv);
    command = args.count("help") > 0      ? "help"
              : args.count("version") > 0 ? "version"
                                          : args["command"].as<std::string>();
    if (!args.unmatched().empty()) {
      std::cerr << "pearreach: too many arguments; see 'pearreach help'\n";
      return kUsage;
    }
    if (command == "help") return std::cout << kHelp, 0;
    if (command == "version") return std::cout << "pearreach " PEARREACH_VERSION "\n", 0;
    if (command == "serve" || command == "check") {
      const std::string path = args["config"].as<std::string>();
      const Config config = LoadConfig(path);
      if (command == "serve") return Serve(config, path);
      std::cout << "good: " << config.site.classes.size() << " classes, "
                << config.site.kinds.size() << " kinds of workers, listening at " << config.listen
                << '\n';
      return 0;
    }
  } catch (const cxxopts::exceptions::exception& wrong) {
    std::cerr << "pearreach: " << wrong.what() << "; see 'pearreach help'\n";
    return kUsage;
  } catch (const marlquay::Malformed& wrong) {
    std::cerr << "pearreach: " << wrong.what() << '\n';
    return kUsage;
  }
  std::cerr << "pearreach: unknown command '" << command << "'; see 'pearreach help'\n";
  return kUsage;
}

}  // namespace
}  // namespace pearreach

int main(int argc, char** argv) { return pearreach::Run(argc, argv); }
