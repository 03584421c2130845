#include "node/cli/node_process.h"

#include <glib-unix.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <iostream>

#include "common/diagnostics/log.h"
#include "common/memory/memory_budget.h"
#include "node/cli/cli.h"
#include "node/cli/recall.h"

namespace pearreach::cli {
namespace {

constexpr Micros kCountsEvery = 10 * kSecond;

}  // namespace

OperatorSettings LoadOperator(const Sources& sources) {
  return sources.operator_file.empty() ? OperatorSettings()
                                       : LoadOperatorFile(sources.operator_file);
}

NodeProcess::NodeProcess(Config config, OperatorSettings settings, Sources sources)
    : config_(std::move(config)),
      settings_(std::move(settings)),
      sources_(std::move(sources)),
      sockets_(config_.sockets),
      report_([this] { ReportCounts(); }),
      keep_([this] { KeepKnowledge(); }) {}

int NodeProcess::Run() {
  RaiseDescriptorLimit();
  std::signal(SIGPIPE, SIG_IGN);
  memory::ReturnFreedMemory();
  SetLogName(config_.name);
  SetLogFormat(settings_.log_format);
  // Guards the start: until the loop runs, a SIGHUP waits instead of ending the program.
  const auto hup = [](gpointer reload) -> gboolean {
    (*static_cast<std::function<void()>*>(reload))();
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGHUP, hup, &reload_);
  loop_ = g_main_loop_new(nullptr, FALSE);
  if (const int code = MakeKeeper(); code != kGood) return code;
  if (const int code = MakeListener(); code != kGood) return code;
  bans_.emplace(&*node_, settings_.bans ? settings_.bans->file : "");
  OpenDoor();
  if (const int code = MakeFleetAndKnowledge(); code != kGood) return code;
  Serve();
  g_main_loop_run(loop_);
  if (saver_ != nullptr) {
    if (node_->ready() && takeover_->alone()) saver_->Save(node_->ExportKnowledge());
    saver_.reset();  // waits until it is kept
  }
  LogCounts();
  Log("ended", {}, "ended");
  g_main_loop_unref(loop_);
  return kGood;
}

// ---------------------------------------------------------------- the start

// The limit on descriptors is the system's to set; the budget keeps under whichever is less.
void NodeProcess::RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < static_cast<rlim_t>(sockets_)) sockets_ = static_cast<int>(limit.rlim_cur);
}

int NodeProcess::MakeKeeper() {
  Config bounded = config_;
  bounded.sockets = sockets_;
  node_.emplace(bounded);
  if (!settings_.jobs) {
    keeper_.emplace(&*node_, nullptr, job_state::Policy());
    return kGood;
  }
  const auto& j = *settings_.jobs;
  const job_state::Policy policy = {.lease = j.lease,
                                    .retention = j.keep,
                                    .initial_backlog_window = j.recovered_at_once,
                                    .max_in_flight = j.in_hand,
                                    .max_in_flight_bytes = j.in_hand_bytes};
  std::unique_ptr<job_store::Store> store;
  try {
    std::filesystem::create_directories(std::filesystem::path(j.store).parent_path());
    store = job_store::OpenSqlite({.path = j.store, .owner = config_.name, .fault = {}});
  } catch (const std::exception& wrong) {
    std::cerr << "pearreach: durable jobs: " << wrong.what() << '\n';
    return kUsage;
  }
  keeper_.emplace(&*node_, std::move(store), policy, j.store, j.callback_prefixes);
  return kGood;
}

int NodeProcess::MakeListener() {
  front_.emplace(&*keeper_, sockets_, config_.memory_mb);
  takeover_.emplace(settings_, config_, &*node_, &*front_, loop_);
  const std::string wrong = takeover_->Begin();
  if (wrong.empty()) return kGood;
  std::cerr << "pearreach: " << config_.listen << ": " << wrong << '\n';
  return kNo;
}

// The operators' door comes after the listener: a process that does not serve is not ready.
void NodeProcess::OpenDoor() {
  door_.emplace(DoorCalls());
  if (config_.operator_listen.empty()) return;
  if (const std::string wrong = door_->Open(config_.operator_listen); !wrong.empty())
    CountFault("door_not_open", config_.operator_listen + ": " + wrong);
  else
    Log("door_open", {{"operator", config_.operator_listen}},
        "the operators' door is open at " + config_.operator_listen);
}

int NodeProcess::MakeFleetAndKnowledge() {
  try {
    saver_ = Remember(settings_, &*node_, config_.name, takeover_->knowledge());
  } catch (const dispatch::Malformed& wrong) {
    std::cerr << "pearreach: knowledge: " << wrong.what() << '\n';
    return kUsage;
  }
  try {
    fleet_ = MakeFleet(settings_, sources_.operator_file, config_, &*node_);
  } catch (const dispatch::Malformed& wrong) {
    std::cerr << "pearreach: " << wrong.what() << '\n';
    return kUsage;
  }
  takeover_->SpeakFor(fleet_.get());
  if (fleet_ == nullptr) return kGood;
  witness_.emplace(fleet_.get());
  if (settings_.shared) node_->SetWorkerObserver(&*witness_);
  fleet_->OnRuleBans([this](const std::set<std::string>& banned) { bans_->SetByRules(banned); });
  return kGood;
}

void NodeProcess::Serve() {
  reload_ = [this] { Reload(); };
  Apply(settings_);
  node_->Start();
  takeover_->Serve();
  if (fleet_ != nullptr) fleet_->Start();
  Log("serving", {{"listen", config_.listen}, {"version", kVersion}},
      "serving at " + config_.listen + ", version " + kVersion);
  report_.Set(Now() + kCountsEvery);
  if (saver_ != nullptr) keep_.Set(Now() + settings_.knowledge->every);
  const auto stop = [](gpointer self) -> gboolean {
    static_cast<NodeProcess*>(self)->Stop();
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, stop, this);
  g_unix_signal_add(SIGINT, stop, this);
}

// ---------------------------------------------------------------- the operators' door

admin::AdminHandlers NodeProcess::DoorCalls() {
  admin::AdminHandlers calls{
      .ready = [this] { return node_->ready() && front_->serving() && KnowsRules(); },
      .vars = [this] { return Vars(); },
      .detach = [this](const std::string& id) { return bans_->SetByHand(id, true); },
      .attach = [this](const std::string& id) { return bans_->SetByHand(id, false); }};
  if (settings_.zones) {
    calls.order = [this](const std::string& target, const std::string& what) {
      return Order(target, what);
    };
    calls.zones = [this] {
      return fleet_ == nullptr ? std::string("zones are off") : fleet_->ZonesText();
    };
  }
  if (settings_.rules)
    calls.rules = [this](const admin::AdminHandlers::RulesRequest& call) {
      return OnRulesCall(call);
    };
  return calls;
}

admin::Vars NodeProcess::Vars() const {
  admin::Vars vars;
  for (std::size_t k = 0; k < node_->site().classes.size(); ++k) {
    const std::string& name = node_->site().classes[k];
    const Node::AnswerCounts& t = node_->answer_counts()[k];
    vars.classes.push_back({name, t.success, t.busy + front_->shed(name), t.failure});
  }
  vars.backend_calls = CountOf("backend_calls");
  vars.inflight = node_->open_jobs();
  vars.hosts_listed = node_->hosts_listed();
  vars.hosts_down = node_->hosts_down();
  return vars;
}

bool NodeProcess::Order(const std::string& target, const std::string& what) {
  using What = zones::Order::Action;
  return fleet_ != nullptr && fleet_->Command(target, what == "leave"    ? What::kLeave
                                                      : what == "return" ? What::kReturn
                                                                         : What::kNone);
}

NodeProcess::RulesReply NodeProcess::OnRulesCall(const admin::AdminHandlers::RulesRequest& call) {
  RulesPart* rules = fleet_ == nullptr ? nullptr : fleet_->rules();
  if (rules == nullptr)
    return std::pair(409, "this process does not speak for its node: ask the other one");
  const auto said = [](RulesPart::Reply reply) {
    return RulesReply(std::pair(reply.status, std::move(reply.text)));
  };
  if (call.post) {
    if (call.verb == "propose") return said(rules->Propose(call.body, call.after));
    if (call.verb == "force") return said(rules->Force(call.voters));
    return std::nullopt;
  }
  if (call.verb.empty()) return said(rules->Show());
  if (call.verb == "history") return said(rules->History());
  if (call.verb == "have") return said(rules->Have());
  if (call.verb == "diff") return said(rules->Difference(call.from, call.to));
  if (call.verb == "proposal") return said(rules->Proposal(call.number));
  return std::nullopt;
}

// Where rules are agreed on, a process that has not learned them is not ready, but for a bounded
// time.
bool NodeProcess::KnowsRules() const {
  return fleet_ == nullptr || fleet_->rules() == nullptr || fleet_->rules()->ready();
}

// ---------------------------------------------------------------- while it serves

void NodeProcess::Apply(const OperatorSettings& settings) {
  SetLogFormat(settings.log_format);
  node_->SetCapture(settings.capture, kVersion, kPolicyHash);
}

// Guards the jobs at hand: whatever the file holds by now, the node goes on.
void NodeProcess::Reload() {
  const auto refuse = [](const char* event, const std::string& line) {
    Count("bad_configuration");
    Log(event, {}, line);
  };
  try {
    const bool moved = ReloadConfig(sources_.config, &config_);
    if (moved) node_->SetDiscoveryAddress(config_.discovery);
    const std::string line = std::string("configuration read again: discovery ") +
                             (moved ? "is" : "stays") + " at " + config_.discovery;
    node_->AnnotateCapture(line);
    Log("configuration_read", {{"discovery", config_.discovery}}, line);
  } catch (const dispatch::Malformed& wrong) {
    refuse("configuration_refused", std::string("configuration not taken over: ") + wrong.what());
  }
  if (sources_.operator_file.empty()) return;
  try {
    Apply(LoadOperator(sources_));
    Log("operator_file_read", {}, "operator's file read again");
  } catch (const dispatch::Malformed& wrong) {
    refuse("operator_file_refused", std::string("operator's file not taken over: ") + wrong.what());
  }
}

void NodeProcess::ReportCounts() {
  LogCounts();
  if (settings_.log_format == LogFormat::kJson) node_->LogStats();
  report_.Set(Now() + kCountsEvery);
}

void NodeProcess::KeepKnowledge() {
  const knowledge::Saver::Figures figures = saver_->figures();
  if (figures.failed > std::exchange(saves_failed_, figures.failed))
    CountFault("knowledge_not_kept", figures.wrong);
  // Before the first list there is nothing that the file does not know better.
  // Of two processes only one writes.
  if (node_->ready() && takeover_->alone()) saver_->Save(node_->ExportKnowledge());
  keep_.Set(Now() + settings_.knowledge->every);
}

void NodeProcess::Stop() {
  Log("ending", {}, "ending: answering what was taken");
  takeover_->End();
  if (fleet_ != nullptr) fleet_->Leave();
  front_->Drain([this] { g_main_loop_quit(loop_); });
}

}  // namespace pearreach::cli
