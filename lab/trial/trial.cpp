#include "lab/trial/trial.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <stdexcept>
#include <vector>

#include "lab/base/relay.h"
#include "lab/base/standins.h"
#include "lab/emulate/fleet.h"
#include "lab/load/sender.h"
#include "lab/trial/checkers.h"
#include "lab/trial/links.h"
#include "node/shared_state/shared.h"

namespace pearreach::lab {
namespace {

namespace fs = std::filesystem;

constexpr Micros kLook = 50 * kMs;            // at the processes and the trial's own lateness
constexpr Micros kViewEvery = 200 * kMs;      // a node's line with what it hears
constexpr Micros kGrace = 200 * kMs;          // the platform's slack, and a busy machine's
constexpr Micros kRulesWithin = 2 * kSecond;  // T
constexpr Micros kMaxReady = 30 * kSecond;
constexpr Micros kMaxEnding = 15 * kSecond;  // after SIGTERM

std::string NodeName(std::size_t n) { return "n" + std::to_string(n); }

// A free port at an address of the node's own.
std::string AddressOf(std::size_t node) {
  const std::string ip = HostOf(static_cast<int>(node), false);
  Listener listener([](std::shared_ptr<Stream>) {});
  if (const std::string wrong = listener.Open(ip + ":0"); !wrong.empty())
    throw std::runtime_error(ip + ": " + wrong);
  return ip + ":" + std::to_string(listener.port());
}

Scenario ScenarioOf(const TrialPlan& plan) {
  Scenario s;
  s.nodes = plan.nodes;
  s.workers = plan.workers;
  s.zones = plan.zones;
  s.load = plan.load;
  s.notice_least = 100 * kMs;
  s.notice_most = kSecond;
  s.classes.resize(2);
  s.classes[0].name = "commit";
  s.classes[0].share = 2;
  s.classes[0].work = 100 * kMs;
  s.classes[0].deadline = 3 * kSecond;
  s.classes[1] = s.classes[0];
  s.classes[1].name = "sync";
  s.classes[1].effect = "by_key";
  s.classes[1].share = 1;
  s.kinds[0].worker.cold_time = 3 * kSecond;
  // The first account asks for more than its share, and floods for a while.
  s.tenants = {
      {"ahmad", 3, 0.4 * plan.load}, {"bela", 2, 0.4 * plan.load}, {"chen", 1, 0.3 * plan.load}};
  s.phases = {{plan.length / 4, plan.length / 2, 3, 3, "ahmad"}};
  return s;
}

class Trial {
 public:
  explicit Trial(const TrialOptions& o)
      : o_(o),
        plan_(o.plan),
        scenario_(ScenarioOf(o.plan)),
        began_(Now()),
        began_unix_(g_get_real_time()),
        links_(o.plan.nodes, o.plan.zones, o.plan.seed),
        look_([this] { Look(); }) {
    if (!o_.keep.empty()) fs::create_directories(o_.keep);
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
      limit.rlim_cur = limit.rlim_max;
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    nodes_.resize(static_cast<std::size_t>(plan_.nodes));
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      nodes_[n].name = NodeName(n);
      nodes_[n].address = AddressOf(n);
      nodes_[n].door = AddressOf(n);
    }
    MakeFleet();
    for (const Member& m : nodes_) {
      std::ofstream operators(OperatorFile(m));
      operators << "<pearreach><log format='json'/>";
      if (o_.words)
        operators << "<peers period-ms='" << plan_.period / kMs << "' view-ms='" << kViewEvery / kMs
                  << "' lines-per-minute='1000000' bytes-per-second='100000'/>"
                  << "<shared every-ms='100' lease-ms='1000'/>";
      if (o_.words && o_.zones)
        operators << "<zones every-ms='100' trial-wait-ms='500' hold-ms='500' orders='" << path()
                  << "/" << m.name << ".orders'/>";
      if (o_.words && o_.rules) {
        operators << "<rules within-ms='" << kRulesWithin / kMs
                  << "' every-ms='100' ready-ms='1000'";
        if (KeepsRules(static_cast<std::size_t>(&m - nodes_.data())))
          operators << " keep='" << path() << "/" << m.name << ".rules'";
        operators << "/>";
      }
      operators << "</pearreach>";
    }
  }

  History Run() {
    Say("trial", "plan",
        {{"nodes", std::to_string(plan_.nodes)},
         {"zones", std::to_string(plan_.zones)},
         {"workers", std::to_string(plan_.workers)},
         {"seed", std::to_string(plan_.seed)},
         {"faults", std::to_string(plan_.faults.size())},
         {"leaves_zones", o_.words && o_.zones ? "1" : "0"},
         {"rules_within_us", std::to_string(o_.words && o_.rules ? kRulesWithin : 0)},
         {"period_us", std::to_string(o_.words ? plan_.period : 0)}});
    for (std::size_t n = 0; n < nodes_.size(); ++n) StartNode(n);
    for (Member& m : nodes_)
      if (!m.process->Ready(kMaxReady))
        throw std::runtime_error(m.name + " did not get ready; its log is in " + path());
    turn_due_ = Now();
    Look();
    if (o_.words) SayShared();
    LoadPlan load;
    load.classes = scenario_.classes;
    load.accounts = scenario_.tenants;
    for (ClassSpec& c : load.classes) c.deadline += kGrace;
    load.seed = plan_.seed;
    Draw({.per_second = scenario_.load * JobsPerSecond(scenario_),
          .length = plan_.length,
          .phases = scenario_.phases},
         &load);
    const Micros begin = Now() + 10 * kMs;
    LoadBook book(load, begin);
    std::vector<std::string> addresses;
    for (const Member& m : nodes_) addresses.push_back(m.address);
    Sender sender(&book, load, addresses, "", 4096);
    sender.grace = kGrace;
    sender.tell = [&](const Sender::Word& w) {
      std::map<std::string, std::string> more = {{"job", w.id}, {"node", NodeName(w.node)}};
      if (std::string_view(w.what) == "sent") {
        more["left_us"] = std::to_string(w.left);
        more["class"] = load.classes[static_cast<std::size_t>(w.cls)].name;
        more["effect"] = load.classes[static_cast<std::size_t>(w.cls)].effect;
      }
      if (w.status != 0) more["status"] = std::to_string(w.status);
      Say("client", w.what, std::move(more));
    };
    Say("trial", "load", {{"jobs", std::to_string(load.jobs.size())}});
    for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
      alarms_.push_back(std::make_unique<Alarm>([this, i] { Begin(i); }));
      alarms_.back()->Set(begin + plan_.faults[i].at);
    }
    sender.Run();
    RunUntil([this] { return open_faults_ == 0 && orders_ == 0 && begun_ == plan_.faults.size(); },
             60 * kSecond);
    SayCost(book);
    Say("trial", "quiet", {});  // no fault is at work any more
    const Micros agree = AgreementWithin(plan_.nodes, plan_.period) + 2 * kViewEvery;
    RunUntil([] { return false; }, std::max(agree, o_.words ? JudgementsGoneWithin() : 0));
    for (Member& m : nodes_) {
      if (m.process == nullptr) continue;
      m.ending = true;
      m.process->Signal(SIGTERM);
      Say("trial", "ending", {{"node", m.name}});
    }
    over_ = true;
    RunUntil(
        [this] {
          return std::all_of(nodes_.begin(), nodes_.end(),
                             [](const Member& m) { return m.process == nullptr; });
        },
        kMaxEnding);
    for (Member& m : nodes_) m.process.reset();
    Say("trial", "over", {});
    ReadLogs();
    Sort(&history_);
    return std::move(history_);
  }

 private:
  struct Member {
    std::string name, address, door;
    std::unique_ptr<NodeProcess> process, twin;
    int stalls = 0, deaths = 0;  // faults that hold it so
    bool ending = false;         // SIGTERM was sent and its end is awaited
    std::vector<std::unique_ptr<Relay>> to_workers;
    std::unique_ptr<Relay> to_discovery, to_other_discovery;  // one agent at two addresses
    bool other = false;                                       // its file names the second
  };

  // What the nodes share, as the checkers are to know it.
  void SayShared() {
    shared_state::SharedStateOptions options;
    shared_state::BudgetsOptions budgets;
    budgets.nodes = plan_.nodes;
    for (const TenantSpec& t : scenario_.tenants)
      budgets.limits.push_back(t.quota * JobsPerSecond(scenario_));
    const shared_state::Budgets b(budgets, 1, 1, 0);
    for (int k = 0; k < b.budgets(); ++k)
      Say("trial", "share",
          {{"account", std::to_string(k)},
           {"whole", std::to_string(budgets.limits[static_cast<std::size_t>(k)])},
           {"burst", std::to_string(b.burst_seconds(k))},
           {"window_us", std::to_string(options.window)}});
  }

  // What the load got, and what the processes took for it so far.
  void SayCost(const LoadBook& book) {
    std::uint64_t cpu = 0, most = 0;
    for (const Member& m : nodes_) {
      if (m.process == nullptr) continue;
      cpu += m.process->cpu_ns();
      most = std::max(most, m.process->most_resident());
    }
    TimeHistogram times;
    for (const TimeHistogram& t : book.times()) times.Merge(t);
    Say("trial", "cost",
        {{"service", std::to_string(book.all().service())},
         {"p50_ms", std::to_string(times.Quantile(0.5) / 1000)},
         {"p99_ms", std::to_string(times.Quantile(0.99) / 1000)},
         {"cpu_us_a_node_and_second",
          std::to_string(static_cast<double>(cpu) / 1000 / static_cast<double>(nodes_.size()) /
                         (static_cast<double>(At()) / 1e6))},
         {"resident_kib", std::to_string(most >> 10)},
         {"words", std::to_string(links_.passed)},
         {"words_lost", std::to_string(links_.lost)}});
  }

  std::string OperatorFile(const Member& m) const { return path() + "/" + m.name + ".xml"; }
  std::string path() const { return o_.keep.empty() ? folder_.path() : o_.keep; }
  Micros At() const { return Now() - began_; }
  void Say(const std::string& who, const std::string& what,
           std::map<std::string, std::string> more) {
    history_.push_back({At(), who, what, std::move(more)});
  }

  void MakeFleet() {
    FleetOptions f;
    for (const Member& m : nodes_) f.nodes.push_back(m.address);
    f.scenario = scenario_;
    f.seed = plan_.seed;
    f.via = [this](std::size_t, std::size_t node, const std::string& address) {
      nodes_[node].to_workers.push_back(std::make_unique<Relay>(address));
      return nodes_[node].to_workers.back()->address();
    };
    f.tell = [this](const FleetOptions::Word& w) {
      std::map<std::string, std::string> more;
      if (!w.job.empty()) more["job"] = w.job;
      if (!w.job.empty() || std::string_view(w.what) == "told") more["node"] = "n" + w.node;
      if (!w.detail.empty()) more["state"] = w.detail;
      if (w.started_ms != 0) more["started_ms"] = std::to_string(w.started_ms);
      if (std::string_view(w.what) == "told") {
        more["worker"] = w.worker;
        return Say("discovery", w.what, std::move(more));
      }
      Say(w.worker, w.what, std::move(more));
    };
    fleet_ = std::make_unique<EmulatedFleet>(f);
    for (std::size_t n = 0; n < nodes_.size(); ++n)
      for (auto* relay : {&nodes_[n].to_discovery, &nodes_[n].to_other_discovery})
        *relay = std::make_unique<Relay>(fleet_->discovery(n));
  }

  std::string ConfigOf(std::size_t n, const std::string& name, const std::string& address) const {
    const Member& m = nodes_[n];
    const int number = static_cast<int>(n);
    std::string peers;
    for (int other = 0; other < plan_.nodes; ++other)
      peers += (other > 0 ? ",\"" : "\"") + links_.peer(number, other) + "\"";
    // The door is the node's own; a twin has none.
    const std::string door = name == m.name ? R"(","operator":")" + m.door : "";
    std::string text =
        R"({"name":")" + name + R"(","listen":")" + address + door + R"(","discovery":")" +
        (m.other ? m.to_other_discovery : m.to_discovery)->address() + R"(","seed":")" +
        std::to_string(1000 + n + plan_.seed % 1000 * 1000) +
        R"(","limits":{"sockets":1024},"peer_listen":")" + links_.listen(number) +
        R"(","peers_all":")" + links_.all(number) + R"(","peers":[)" + peers + R"(],"settings":{)";
    bool first = true;
    for (const auto& [name, value] : SettingsOf(scenario_, static_cast<int>(n))) {
      // A list is a list in JSON: a string with commas is one name.
      std::string written = "\"" + value + "\"";
      if (name == "Zones" || name == "Models") {
        written.clear();
        for (const dispatch::Text one : dispatch::Split(value, ','))
          written += (written.empty() ? "[\"" : ",\"") + std::string(one) + "\"";
        written += "]";
      }
      text += std::string(first ? "" : ",") + "\"" + name + "\":" + written;
      first = false;
    }
    return text + "}}";
  }

  void StartNode(std::size_t n) {
    Member& m = nodes_[n];
    m.ending = false;
    m.process = std::make_unique<NodeProcess>(o_.program, m.name, path(),
                                              NodeProcess::Own{ConfigOf(n, m.name, m.address)},
                                              OperatorFile(m), m.address);
    Say("trial", "started", {{"node", m.name}, {"pid", std::to_string(m.process->pid())}});
    if (m.stalls > 0) Stall(&m);
  }
  void Stall(Member* m) {
    m->process->Freeze();
    Say("trial", "stalled", {{"node", m->name}});
  }

  // Looks after the processes, and measures how late the trial itself is.
  void Look() {
    const Micros late = Now() - turn_due_;
    if (late > 20 * kMs) Say("trial", "turn", {{"late_us", std::to_string(late)}});
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      Member& m = nodes_[n];
      if (m.process == nullptr || !m.process->over()) continue;
      Say("trial", "ended", {{"node", m.name}, {"how", m.ending ? "term" : "itself"}});
      m.process.reset();
      if (!over_ && m.deaths == 0) StartNode(n);
    }
    turn_due_ = Now() + kLook;
    look_.Set(turn_due_);
  }

  // In one trial of four nobody has a disk, in the others two of three nodes have.
  bool KeepsRules(std::size_t n) const { return plan_.seed % 4 != 0 && (n + plan_.seed) % 3 != 0; }
  std::vector<std::size_t> Nodes(const std::string& selector) const {
    std::vector<std::size_t> all;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
      if (Selects(selector, nodes_[n].name, plan_.zones)) all.push_back(n);
    return all;
  }
  std::vector<std::size_t> Workers(const std::string& selector) const {
    std::vector<std::size_t> all;
    for (std::size_t w = 0; w < static_cast<std::size_t>(plan_.workers); ++w)
      if (Selects(selector, "s-" + std::to_string(w), plan_.zones)) all.push_back(w);
    return all;
  }

  void Begin(std::size_t number) {
    const Fault& f = plan_.faults[number];
    ++begun_;
    ++open_faults_;
    Say("trial", "fault",
        {{"number", std::to_string(number)},
         {"kind", NameOf(f.what)},
         {"from", f.from},
         {"to", f.to},
         {"length_us", std::to_string(f.length)}});
    std::function<void()> mend = Befall(f);
    alarms_.push_back(std::make_unique<Alarm>([this, number, mend = std::move(mend)] {
      if (mend) mend();
      --open_faults_;
      Say("trial", "mended", {{"number", std::to_string(number)}});
    }));
    alarms_.back()->Set(Now() + f.length);
  }

  // Does it; what is returned undoes it.
  std::function<void()> Befall(const Fault& f) {
    using What = Fault::What;
    const std::vector<std::size_t> nodes = Nodes(f.from);
    switch (f.what) {
      case What::kLose:
      case What::kLate:
      case What::kDouble:
      case What::kDamage:
        links_.faults().Begin(f);
        return [this, f] { links_.faults().End(f); };
      case What::kCutTcp:
      case What::kHoldTcp: {
        std::vector<Relay*> relays;
        for (const std::size_t n : nodes) {
          if (f.to == "discovery" || f.to == "*") {
            relays.push_back(nodes_[n].to_discovery.get());
            relays.push_back(nodes_[n].to_other_discovery.get());
          }
          if (f.to == "discovery") continue;
          for (const std::size_t w : Workers(f.to)) relays.push_back(nodes_[n].to_workers[w].get());
        }
        for (Relay* r : relays)
          if (f.what == What::kCutTcp)
            r->Cut();
          else
            r->Hold();
        return [relays] {
          for (Relay* r : relays) r->Mend();
        };
      }
      case What::kLateList:
        for (const std::size_t n : nodes) fleet_->HoldList(n, true);
        return [this, nodes] {
          for (const std::size_t n : nodes) fleet_->HoldList(n, false);
        };
      case What::kStall:
        for (const std::size_t n : nodes)
          if (++nodes_[n].stalls == 1 && nodes_[n].process != nullptr) Stall(&nodes_[n]);
        return [this, nodes] {
          for (const std::size_t n : nodes) {
            if (--nodes_[n].stalls > 0 || nodes_[n].process == nullptr) continue;
            Say("trial", "resumed", {{"node", nodes_[n].name}});
            nodes_[n].process->Thaw();
          }
        };
      case What::kKill:
        for (const std::size_t n : nodes) {
          Member& m = nodes_[n];
          ++m.deaths;
          if (m.process == nullptr) continue;
          m.process->Kill();
          Say("trial", "ended", {{"node", m.name}, {"how", "kill"}});
          m.process.reset();
        }
        return [this, nodes] {
          for (const std::size_t n : nodes)
            if (--nodes_[n].deaths == 0 && nodes_[n].process == nullptr) StartNode(n);
        };
      case What::kRestart:
        for (const std::size_t n : nodes) {
          Member& m = nodes_[n];
          if (m.process == nullptr || m.ending) continue;
          m.ending = true;
          m.process->Signal(SIGTERM);
          Say("trial", "ending", {{"node", m.name}});
        }
        return {};
      case What::kTwin:
        for (const std::size_t n : nodes) {
          Member& m = nodes_[n];
          if (m.twin != nullptr) continue;
          // The same number and address for words; its own address for clients, of whom it has
          // none.
          const std::string name = m.name + "t", at = AddressOf(n);
          m.twin = std::make_unique<NodeProcess>(o_.program, name, path(),
                                                 NodeProcess::Own{ConfigOf(n, name, at)},
                                                 OperatorFile(m), at);
          Say("trial", "twin", {{"node", m.name}, {"pid", std::to_string(m.twin->pid())}});
        }
        return [this, nodes] {
          for (const std::size_t n : nodes) {
            if (nodes_[n].twin == nullptr) continue;
            nodes_[n].twin->Kill();
            nodes_[n].twin.reset();
            Say("trial", "twin_ended", {{"node", nodes_[n].name}});
          }
        };
      case What::kReload: {
        const auto reload = [this](std::size_t n, const std::string& text) {
          std::ofstream(path() + "/" + nodes_[n].name + ".json") << text;
          if (nodes_[n].process != nullptr) nodes_[n].process->Signal(SIGHUP);
          Say("trial", "reloaded", {{"node", nodes_[n].name}});
        };
        for (const std::size_t n : nodes) reload(n, "{ half a file");
        return [this, nodes, reload] {
          for (const std::size_t n : nodes) {
            nodes_[n].other = !nodes_[n].other;
            reload(n, ConfigOf(n, nodes_[n].name, nodes_[n].address));
          }
        };
      }
      case What::kSilence:
        for (const std::size_t w : Workers(f.from)) fleet_->Silence(w);
        return [this, f] {
          for (const std::size_t w : Workers(f.from)) fleet_->Restart(w, 0);
        };
      case What::kDie:
        for (const std::size_t w : Workers(f.from)) fleet_->Restart(w, f.length);
        return {};
      case What::kFail:
      case What::kSlow:
        for (const std::size_t w : Workers(f.from))
          fleet_->Grey(w, f.what == What::kFail ? f.share : 0, f.what == What::kSlow ? 5 : 1);
        return [this, f] {
          for (const std::size_t w : Workers(f.from)) fleet_->Grey(w, 0, 1);
        };
      case What::kLeaveZone:
      case What::kReturnZone:
        for (const std::size_t n : nodes)
          Order(n, f.to, f.what == What::kLeaveZone ? "leave" : "return");
        return [this, nodes, f] {
          for (const std::size_t n : nodes) Order(n, f.to, "clear");
        };
      case What::kPropose: {
        if (!o_.words || !o_.rules) return {};
        for (const std::size_t n : nodes) Propose(n, f.share);
        return [this, nodes] {
          for (const std::size_t n : nodes) Propose(n, 0);
        };
      }
      case What::kDrain:
        for (const std::size_t w : Workers(f.from)) fleet_->Drain(w, true);
        return [this, f] {
          for (const std::size_t w : Workers(f.from)) fleet_->Drain(w, false);
        };
    }
    return {};
  }

  // An operator's word at a node's door, said by the program's own sub-command.
  void Order(std::size_t n, const std::string& zone, const char* what) {
    Run(n, {"zone", what, zone}, zone, what);
  }
  // A version of the rules; 0: one that says nothing.
  void Propose(std::size_t n, double share) {
    const std::string file = path() + "/proposal-" + std::to_string(++proposals_) + ".xml";
    std::ofstream text(file);
    text << "<rules>";
    if (share > 0)
      text << "<account name='ahmad' share='" << 3 * share << "'/><account name='bela' share='"
           << 2 * (1 - share) << "'/><ban worker='s-" << static_cast<int>(share * plan_.workers)
           << "'/>";
    text << "</rules>";
    text.close();
    Run(n, {"rules", "propose", file, "--seconds", "6"}, file, "propose");
  }
  void Run(std::size_t n, std::vector<std::string> words, const std::string& of,
           const std::string& what) {
    Member& m = nodes_[n];
    if (m.process == nullptr) return;
    struct Said {
      Trial* trial;
      std::string node, zone, what;
    };
    words.insert(words.begin(), o_.program);
    words.insert(words.end(), {"--door", m.door});
    std::vector<const char*> argv;
    for (const std::string& word : words) argv.push_back(word.c_str());
    argv.push_back(nullptr);
    GSubprocess* process =
        g_subprocess_newv(argv.data(),
                          static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_SILENCE |
                                                        G_SUBPROCESS_FLAGS_STDERR_SILENCE),
                          nullptr);
    if (process == nullptr) throw std::runtime_error(o_.program + " cannot be started");
    ++orders_;
    g_subprocess_wait_async(
        process, nullptr,
        [](GObject* source, GAsyncResult* result, gpointer data) {
          const std::unique_ptr<Said> said(static_cast<Said*>(data));
          GSubprocess* ended = G_SUBPROCESS(source);
          g_subprocess_wait_finish(ended, result, nullptr);
          const bool good = g_subprocess_get_if_exited(ended) != FALSE &&
                            g_subprocess_get_exit_status(ended) == 0;
          said->trial->Say("trial", "ordered",
                           {{"node", said->node},
                            {"zone", said->zone},
                            {"order", said->what},
                            {"done", good ? "1" : "0"}});
          --said->trial->orders_;
          g_object_unref(ended);
        },
        new Said{this, m.name, of, what});
  }

  void ReadLogs() {
    for (const auto& entry : fs::directory_iterator(path())) {
      if (entry.path().extension() != ".log") continue;
      std::ifstream in(entry.path());
      Moment m;
      for (std::string line; std::getline(in, line);)
        if (ReadLogLine(line, began_unix_, &m)) history_.push_back(m);
    }
  }

  TrialOptions o_;
  TrialPlan plan_;
  Scenario scenario_;
  Micros began_, began_unix_;
  Folder folder_;
  WordLinks links_;
  std::vector<Member> nodes_;
  std::unique_ptr<EmulatedFleet> fleet_;
  History history_;
  std::vector<std::unique_ptr<Alarm>> alarms_;
  std::size_t begun_ = 0, open_faults_ = 0, orders_ = 0, proposals_ = 0;
  Micros turn_due_ = 0;
  bool over_ = false;
  Alarm look_;
};

}  // namespace

History RunTrial(const TrialOptions& options) { return Trial(options).Run(); }

}  // namespace pearreach::lab
