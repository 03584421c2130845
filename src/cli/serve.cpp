// The sub-commands serve and check. It owns the start and the end of a node: reads the
// configuration and the operator's file, puts the parts together, and turns signals into a clean
// end. It must never listen before both are known to be good.
#include <glib-unix.h>
#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <utility>

#include "cli/cli.h"
#include "config/config.h"
#include "config/operator.h"
#include "durable/keeper.h"
#include "fronts/front.h"
#include "knowledge/saver.h"
#include "node/node.h"

namespace pearreach::cli {
namespace {

constexpr Micros kCountsEvery = 10 * kSecond;

// What a node is started with and looks at again on SIGHUP.
struct Sources {
  std::string config, operator_file;  // paths; empty: $EDGE_CONFIG, none
};

OperatorSettings LoadOperator(const Sources& sources) {
  return sources.operator_file.empty() ? OperatorSettings()
                                       : LoadOperatorFile(sources.operator_file);
}

void Apply(const OperatorSettings& settings, Node* node) {
  SetLogFormat(settings.log_format);
  node->Capture(settings.capture, kVersion, kPolicyHash);
}

// Guards the jobs at hand: whatever the file holds by now, the node goes on.
void Reload(const Sources& sources, Config* config, Node* node) {
  const auto refuse = [](const char* event, const std::string& line) {
    Count("bad_configuration");
    Log(event, {}, line);
  };
  try {
    const bool moved = ReloadConfig(sources.config, config);
    if (moved) node->MoveDiscovery(config->discovery);
    const std::string line = std::string("configuration read again: discovery ") +
                             (moved ? "is" : "stays") + " at " + config->discovery;
    node->Mark(line);
    Log("configuration_read", {{"discovery", config->discovery}}, line);
  } catch (const marlquay::Malformed& wrong) {
    refuse("configuration_refused", std::string("configuration not taken over: ") + wrong.what());
  }
  if (sources.operator_file.empty()) return;
  try {
    Apply(LoadOperator(sources), node);
    Log("operator_file_read", {}, "operator's file read again");
  } catch (const marlquay::Malformed& wrong) {
    refuse("operator_file_refused", std::string("operator's file not taken over: ") + wrong.what());
  }
}

// What the last process of this node left, and who keeps what this one learns; none: off. What
// cannot be read is one line and costs no start.
std::unique_ptr<knowledge::Saver> Remember(const OperatorSettings& settings, Node* node,
                                           const std::string& name) {
  if (!settings.knowledge) return nullptr;
  const KnowledgeSettings& k = *settings.knowledge;
  knowledge::Key key;
  if (!k.key_file.empty()) key = knowledge::ReadKeyFile(k.key_file);
  std::error_code error;
  std::filesystem::create_directories(k.folder, error);
  knowledge::Folder folder(k.folder, name, key);
  const auto pass_over = [](const std::string& path, const std::string& why) {
    Count("knowledge_passed_over");
    Log("knowledge_passed_over", {{"file", path}}, path + ": " + why);
  };
  for (const auto& found : folder.Look()) {
    std::string why = found.what.wrong;
    if (found.what.memory) {
      const std::int64_t now = g_get_real_time();
      if (auto recall = knowledge::ForNode(*found.what.memory, node->site(), name, now, &why)) {
        const knowledge::Age age = knowledge::AgeOf(found.what.memory->written, now);
        Log("recalled", {{"workers", std::to_string(recall->workers.size())}},
            "recalled what was learned " +
                (age.unknown ? std::string("at an unknown time")
                             : std::to_string(age.age / kSecond) + " s ago") +
                " of " + std::to_string(recall->workers.size()) + " workers");
        node->Recall(std::move(*recall));
        break;
      }
    }
    pass_over(found.path, why);
  }
  return std::make_unique<knowledge::Saver>(std::move(folder));
}

int RunNode(Config config, const OperatorSettings& settings, const Sources& sources) {
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
  SetLogFormat(settings.log_format);

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
  std::unique_ptr<store::Store> store;
  jobs::Policy policy;
  std::string store_path;
  if (const auto& j = settings.jobs) {
    policy = {.lease = j->lease,
              .keep = j->keep,
              .recovered_at_once = j->recovered_at_once,
              .in_hand = j->in_hand,
              .in_hand_bytes = j->in_hand_bytes};
    store_path = j->store;
    try {
      std::filesystem::create_directories(std::filesystem::path(j->store).parent_path());
      store = store::OpenSqlite({.path = j->store, .owner = config.name, .fault = {}});
    } catch (const std::exception& wrong) {
      std::cerr << "pearreach: durable jobs: " << wrong.what() << '\n';
      return kUsage;
    }
  }
  Keeper keeper(&node, std::move(store), policy, store_path,
                settings.jobs ? settings.jobs->callback_prefixes : std::vector<std::string>());
  Front front(&keeper, sockets);
  if (const std::string wrong = front.Open(config.listen); !wrong.empty()) {
    std::cerr << "pearreach: " << config.listen << ": " << wrong << '\n';
    return kNo;
  }
  std::unique_ptr<knowledge::Saver> saver;
  try {
    saver = Remember(settings, &node, config.name);
  } catch (const marlquay::Malformed& wrong) {
    std::cerr << "pearreach: knowledge: " << wrong.what() << '\n';
    return kUsage;
  }
  reload = [&] { Reload(sources, &config, &node); };
  Apply(settings, &node);
  node.Start();
  Log("serving", {{"listen", config.listen}, {"version", kVersion}},
      "serving at " + config.listen + ", version " + kVersion);

  Alarm* counts = nullptr;
  Alarm report([&] {
    LogCounts();
    if (settings.log_format == LogFormat::kJson) node.LogFigures();
    counts->Set(Now() + kCountsEvery);
  });
  counts = &report;
  report.Set(Now() + kCountsEvery);

  Alarm* keeps = nullptr;
  std::uint64_t failed = 0;
  Alarm keep([&] {
    const knowledge::Saver::Figures figures = saver->figures();
    if (figures.failed > std::exchange(failed, figures.failed))
      CountFault("knowledge_not_kept", figures.wrong);
    // Before the first list there is nothing that the file does not know better.
    if (node.ready()) saver->Save(node.Learned());
    keeps->Set(Now() + settings.knowledge->every);
  });
  keeps = &keep;
  if (saver != nullptr) keep.Set(Now() + settings.knowledge->every);

  struct End {
    Front* front;
    GMainLoop* loop;
  } end{&front, loop};
  const auto stop = [](gpointer data) -> gboolean {
    const End* e = static_cast<End*>(data);
    Log("ending", {}, "ending: answering what was taken");
    e->front->Drain([loop = e->loop] { g_main_loop_quit(loop); });
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, stop, &end);
  g_unix_signal_add(SIGINT, stop, &end);
  g_main_loop_run(loop);
  if (saver != nullptr) {
    if (node.ready()) saver->Save(node.Learned());
    saver.reset();  // waits until it is kept
  }
  LogCounts();
  Log("ended", {}, "ended");
  g_main_loop_unref(loop);
  return 0;
}

Sources ReadSources(const cxxopts::ParseResult& args) {
  return {args["config"].as<std::string>(), args["operator"].as<std::string>()};
}

void AddSources(cxxopts::Options* options) {
  options->add_options()("config", "the platform's configuration; $EDGE_CONFIG if not given",
                         cxxopts::value<std::string>()->default_value(""), "FILE")(
      "operator", "the operator's own file, XML; all that it sets is off if not given",
      cxxopts::value<std::string>()->default_value(""), "FILE");
}

}  // namespace

int Serve(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach serve",
      "Runs a node. EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override the "
      "configuration. SIGTERM and\nSIGINT end it once all that it has taken is "
      "answered; SIGHUP makes it read both files again.");
  AddSources(&options);
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  const Sources sources = ReadSources(args);
  const Config config = LoadConfig(sources.config);
  return RunNode(config, LoadOperator(sources), sources);
}

int Check(int argc, char** argv) {
  cxxopts::Options options("pearreach check",
                           "Reads the configuration, the operator's file or both, and says whether "
                           "they are good.");
  AddSources(&options);
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  const Sources sources = ReadSources(args);
  if (!sources.operator_file.empty()) {
    const OperatorSettings settings = LoadOperator(sources);
    std::cout << "good: " << sources.operator_file << ": log in "
              << (settings.log_format == LogFormat::kJson ? "JSON" : "text") << ", capture "
              << (settings.capture ? "to " + settings.capture->folder : std::string("off"))
              << ", durable jobs "
              << (settings.jobs ? "in " + settings.jobs->store : std::string("off"))
              << ", knowledge "
              << (settings.knowledge ? "in " + settings.knowledge->folder : std::string("off"))
              << '\n';
    if (sources.config.empty() && std::getenv("EDGE_CONFIG") == nullptr) return kGood;
  }
  const Config config = LoadConfig(sources.config);
  std::cout << "good: " << config.site.classes.size() << " classes, " << config.site.kinds.size()
            << " kinds of workers, listening at " << config.listen << '\n';
  return kGood;
}

}  // namespace pearreach::cli
