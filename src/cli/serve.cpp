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
#include <optional>
#include <utility>

#include "admin/bans.h"
#include "admin/door.h"
#include "admin/zone_orders.h"
#include "cli/cli.h"
#include "config/config.h"
#include "config/operator.h"
#include "durable/keeper.h"
#include "fleet/fleet.h"
#include "fronts/front.h"
#include "handover/handover.h"
#include "knowledge/saver.h"
#include "node/node.h"

namespace pearreach::cli {
namespace {

constexpr Micros kCountsEvery = 10 * kSecond;
constexpr Micros kHeardOfLate = 500 * kMs;      // a worker heard of within it is waited for
constexpr Micros kRulesEveryNode = 8 * kMs;     // a round of questions lasts so long a node
constexpr Micros kLookAtBansEvery = 100 * kMs;  // a ban reaches the other process so soon

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
                                           const std::string& name, const std::string& handed) {
  const auto use = [&](const knowledge::Memory& memory, std::string* why) {
    const std::int64_t now = g_get_real_time();
    auto recall = knowledge::ForNode(memory, node->site(), name, now, why);
    if (!recall) return false;
    const knowledge::Age age = knowledge::AgeOf(memory.written, now);
    Log("recalled", {{"workers", std::to_string(recall->workers.size())}},
        "recalled what was learned " +
            (age.unknown ? std::string("at an unknown time")
                         : std::to_string(age.age / kSecond) + " s ago") +
            " of " + std::to_string(recall->workers.size()) + " workers");
    node->Recall(std::move(*recall));
    return true;
  };
  std::string why;
  // What the process before this one has just said is younger than any file.
  const knowledge::Decoded said = knowledge::Decode(handed, {});
  bool known = said.memory && use(*said.memory, &why);
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
    if (known) break;
    why = found.what.wrong;
    known = found.what.memory && use(*found.what.memory, &why);
    if (!known) pass_over(found.path, why);
  }
  return std::make_unique<knowledge::Saver>(std::move(folder));
}

std::string RegionWrong(const std::string& file, const ZoneSettings::Region& region,
                        const std::string& what) {
  return file + ":" + std::to_string(region.line) + ": region " + region.name + ": " + what;
}

// Words with other nodes, where the operator's file asks for them and the configuration and the
// platform's settings give what they need; else one line says what is missing, and the node serves
// without.
std::unique_ptr<Fleet> MakeFleet(const OperatorSettings& settings, const std::string& file,
                                 const Config& config, Node* node) {
  if (!settings.peers) return nullptr;
  if (const std::string wrong = PeersWrong(config); !wrong.empty()) {
    CountFault("peers_off", wrong);
    return nullptr;
  }
  const PeerSettings& p = *settings.peers;
  std::optional<shared::SharedOptions> shares;
  const marlquay::Site& site = node->site();
  if (settings.shared) {
    const SharedSettings& s = *settings.shared;
    shares.emplace();
    shares->zone = std::max(0, site.settings.zone);
    shares->zones = std::max<int>(1, static_cast<int>(site.zones.size()));
    if (s.counts)
      for (const marlquay::TenantSettings& t : site.settings.tenants)
        shares->shares.push_back(t.quota_per_s);
    shares->repeats = s.repeats;
    shares->every = s.every;
    shares->lease = s.lease;
    shares->window = s.window;
    shares->skew = s.skew;
    shares->floor = s.floor;
    if (site.settings.progress_every > 0)
      shares->judgements.silent_after = site.settings.progress_every * 5 / 2;
  }
  std::optional<zones::Options> zoned;
  if (settings.zones) {
    const ZoneSettings& z = *settings.zones;
    zoned.emplace();
    zoned->zone = std::max(0, site.settings.zone);
    zoned->zones.assign(site.zones.begin(), site.zones.end());
    zoned->every = z.every;
    zoned->least_left = z.least_left;
    zoned->trial_wait = z.trial_wait;
    zoned->hold = z.hold;
    for (const ZoneSettings::Region& r : z.regions) {
      zones::Target region{r.name, {}};
      for (const std::string& zone : r.zones) {
        const int at = marlquay::IndexOf(site.zones, zone);
        if (at < 0) throw marlquay::Malformed(RegionWrong(file, r, "there is no zone " + zone));
        region.zones.push_back(at);
      }
      if (marlquay::IndexOf(site.zones, r.name) >= 0)
        throw marlquay::Malformed(RegionWrong(file, r, "a zone has that name"));
      if (region.zones.size() >= site.zones.size())
        throw marlquay::Malformed(RegionWrong(file, r, "it has all zones: none would be left"));
      zoned->regions.push_back(std::move(region));
    }
  }
  std::optional<RulesSettings> agreed;
  if (settings.rules) {
    const RuleSettings& r = *settings.rules;
    const int nodes = static_cast<int>(config.peers.size());
    const auto wrong = [&](const std::string& what) {
      throw marlquay::Malformed(file + ":" + std::to_string(r.line) + ": rules: " + what);
    };
    agreed.emplace();
    rules::Options& o = agreed->options;
    o.voters = r.voters;
    if (o.voters.empty())
      for (int n = 0; n < (nodes >= 5 ? 5 : nodes >= 3 ? 3 : 1); ++n) o.voters.push_back(n);
    if (o.voters.back() >= nodes)
      wrong("there is no node " + std::to_string(o.voters.back()) + " of " + std::to_string(nodes));
    o.every = r.every > 0 ? r.every : std::max<Micros>(250 * kMs, nodes * kRulesEveryNode);
    o.lease = static_cast<Micros>(static_cast<double>(r.within - o.turn) / (1 + 2 * o.drift));
    if (o.lease < 4 * o.every)
      wrong("within-ms is too short for rounds of " + std::to_string(o.every / kMs) +
            " ms: no lease would outlive three lost words");
    o.ready_within = r.ready;
    agreed->keep = r.keep;
  }
  auto fleet =
      std::make_unique<Fleet>(FleetSettings{.listen = config.peer_listen,
                                            .nodes = config.peers,
                                            .all = config.peers_all,
                                            .self = config.site.settings.self,
                                            .period = p.period,
                                            .bytes_per_second = p.bytes_per_second,
                                            .lines_per_minute = p.lines_per_minute,
                                            .view_every = p.view_every,
                                            .seed = config.seed,
                                            .shared = std::move(shares),
                                            .accounts = site.tenants,
                                            .zones = std::move(zoned),
                                            .rules = std::move(agreed),
                                            .tells_use = settings.log_format == LogFormat::kJson});
  fleet->OnTold(
      [node](int from, std::string bytes) { node->OnPeerMessage(from, std::move(bytes)); });
  if (!settings.shared) return fleet;
  node->OnAdmit([f = fleet.get(), counts = settings.shared->counts](int tenant, bool is_repeat) {
    Admission to;
    if (const auto a = f->Admit(tenant, is_repeat)) {
      to.refused = a->refused;
      to.retry_after = a->wait;
      if (counts && tenant >= 0) to.over_share = a->over_share;
    }
    return to;
  });
  if (settings.shared->judgements)
    fleet->OnJudged([node](const std::string& worker, const shared::Standing& s) {
      node->OnJudgement(worker, {0, s.out, s.trial, s.cold, s.at, s.witnesses});
    });
  if (!settings.zones) return fleet;
  fleet->OnUse([node, f = fleet.get()](const std::string& worker, zones::Use use, bool gone) {
    node->Shut(worker, use == zones::Use::kShut);
    // The one job that tries it is none that may not be repeated; and what is out there when its
    // zone is left for silence is not waited for, unless it was heard of just now.
    if (use == zones::Use::kTrial)
      node->OnJudgement(worker, {0, true, true, false, g_get_real_time(), {}});
    else if (use == zones::Use::kShut && gone)
      node->OnJudgement(worker, {0, true, false, false, g_get_real_time() - kHeardOfLate, {}});
    else if (use == zones::Use::kOpen)
      f->JudgeAgain(worker);
  });
  fleet->OnZoneLine([node](const std::string& line) { node->Mark(line); });
  if (settings.zones->orders.empty()) return fleet;
  const std::string path = settings.zones->orders;
  std::vector<zones::Order> orders;
  for (const admin::ZoneOrder& o : admin::LoadZoneOrders(path))
    orders.push_back({zones::KeyOf(o.target), o.number,
                      o.what == "leave"    ? zones::Order::What::kLeave
                      : o.what == "return" ? zones::Order::What::kReturn
                                           : zones::Order::What::kNone,
                      o.by, o.at_ms * 1000});
  fleet->RecallOrders(orders);
  fleet->OnOrders([path, f = fleet.get()](const std::vector<zones::Order>& orders) {
    std::vector<admin::ZoneOrder> kept;
    for (const zones::Order& o : orders)
      kept.push_back({f->zones()->name(o.target), o.number, NameOf(o.what), o.by, o.at / 1000});
    admin::SaveZoneOrders(path, kept);
  });
  return fleet;
}

// What the node sees of workers, told to the fleet.
class FleetWitness : public Witness {
 public:
  explicit FleetWitness(Fleet* fleet) : fleet_(fleet) {}
  void OnListed(const std::string& worker, const Listed& as) override {
    fleet_->WorkerListed(worker, {as.zone, as.kind, as.weight, as.started_ms, as.in_service});
  }
  void OnGone(const std::string& worker) override { fleet_->WorkerGone(worker); }
  void OnSent(const std::string& worker) override { fleet_->WorkerSent(worker); }
  void OnHeard(const std::string& worker) override { fleet_->WorkerHeard(worker); }
  void OnEnded(const std::string& worker, marlquay::Outcome outcome, int cls, Micros run) override {
    using End = shared::Judgements::End;
    using marlquay::Outcome;
    // A cancel is this node's own; a job turned away was answered, which is life.
    if (outcome == Outcome::kFull) fleet_->WorkerHeard(worker);
    fleet_->WorkerEnded(worker,
                        outcome == Outcome::kGood           ? End::kServed
                        : outcome == Outcome::kError        ? End::kFailed
                        : outcome == Outcome::kNoConnection ? End::kNoConnection
                        : outcome == Outcome::kReset        ? End::kReset
                                                            : End::kTimedOut,
                        cls, run);
  }

 private:
  Fleet* fleet_;
};

// This process's part in a hand-over, where the operator's file names a path; else it only opens
// the listener.
class Takeover {
 public:
  Takeover(const OperatorSettings& settings, const Config& config, Node* node, Front* front,
           GMainLoop* loop)
      : config_(config), node_(node), front_(front), loop_(loop), ready_([this] { Look(); }) {
    if (!settings.handover) return;
    over_.emplace(
        settings.handover->path, config.name,
        HandOver::Events{.listener = [this] { return front_->descriptor(); },
                         .knowledge = [this] { return knowledge::Encode(node_->Learned(), 1, {}); },
                         .leave = [this] { Leave(); },
                         .stay = [this] { Stay(); },
                         .alone = [this] { alone_ = true; },
                         .news =
                             [this](const std::string& json) {
                               forwarded_ = true;  // and goes no further
                               if (const auto news = ReadNews(json, config_.site))
                                 node_->TellNode(*news);
                               forwarded_ = false;
                             },
                         .connection = [this](int fd) { front_->Adopt(fd); }});
    node_->OnOrphan([this](const News& news) {
      if (forwarded_ || !over_->Forward(WriteNews(news))) return false;
      Count("news_forwarded");
      return true;
    });
  }

  // Empty, or what is wrong.
  std::string Begin() {
    if (!over_) return front_->Open(config_.listen);
    // A process may be about to serve at the path, or be taken up with another hand-over: while the
    // address is in use, there is somebody to ask.
    for (const Micros until = Now() + kAskAgainFor;; g_usleep(kAskEvery)) {
      std::string why;
      if (auto taken = over_->Ask(kAskFor, &why)) return Use(std::move(*taken));
      const std::string wrong = front_->Open(config_.listen);
      if (!wrong.empty() && Now() < until) continue;
      if (!why.empty()) Log("not_handed_over", {{"why", why}}, "no hand-over: " + why);
      return wrong;
    }
  }
  const std::string& knowledge() const { return knowledge_; }
  // This process is to end, whatever becomes of the next one.
  void End() { ending_ = true; }
  void SpeakFor(Fleet* fleet) { fleet_ = fleet; }
  // Whether no other process of this node is at work.
  bool alone() const { return alone_; }

  void Serve() {
    if (!over_) return;
    if (taken_) return Look();
    if (const std::string wrong = over_->Serve(); !wrong.empty())
      CountFault("hand_over_path", wrong);
  }

 private:
  static constexpr Micros kAskFor = 2 * kSecond, kAskEvery = 20 * kMs, kAskAgainFor = 10 * kSecond;
  static constexpr Micros kLook = 5 * kMs;

  std::string Use(HandOver::Taken taken) {
    taken_ = true;
    alone_ = false;
    knowledge_ = std::move(taken.knowledge);
    if (std::string wrong = front_->Take(taken.listener); !wrong.empty()) return wrong;
    const std::string port = config_.listen.substr(config_.listen.rfind(':') + 1);
    return port == "0" || port == std::to_string(front_->port())
               ? ""
               : "the process before listens at port " + std::to_string(front_->port());
  }

  // Accepts as soon as it has a list: until then the process before it does.
  void Look() {
    if (!node_->ready()) return ready_.Set(Now() + kLook);
    front_->Accept(true);
    Log("taken_over", {}, "accepting in place of the process before");
    over_->Serve();
  }
  void Leave() {
    alone_ = false;
    if (fleet_ != nullptr) fleet_->Yield();
    front_->Accept(false);
    Log("handing_over", {}, "the next process accepts: answering what was taken");
    front_->HandOff([this](int fd) { return over_->Pass(fd); });
    front_->Drain([this] { g_main_loop_quit(loop_); });
  }
  void Stay() {
    alone_ = true;
    if (ending_) return;
    if (fleet_ != nullptr) fleet_->Resume();
    front_->HandOff(nullptr);
    front_->StopDraining();
    front_->Accept(true);
    Log("taken_back", {}, "the next process is gone: accepting again");
  }

  const Config& config_;
  Node* node_;
  Front* front_;
  GMainLoop* loop_;
  Fleet* fleet_ = nullptr;
  Alarm ready_;
  std::optional<HandOver> over_;
  std::string knowledge_;
  bool taken_ = false, alone_ = true, forwarded_ = false, ending_ = false;
};

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
  Takeover takeover(settings, config, &node, &front, loop);
  if (const std::string wrong = takeover.Begin(); !wrong.empty()) {
    std::cerr << "pearreach: " << config.listen << ": " << wrong << '\n';
    return kNo;
  }
  // Bans outlive a process, and reach the other one while two run: both look at the file often.
  std::optional<admin::BanFile> bans;
  // Those of the door hold whatever the rules say, and the other way round.
  admin::Bans by_hand, by_rules;
  const auto apply_bans = [&] {
    admin::Bans all = by_hand;
    all.insert(by_rules.begin(), by_rules.end());
    node.SetBans(all);
  };
  if (settings.bans) {
    bans.emplace(settings.bans->file);
    by_hand = bans->Load();
    apply_bans();
  }
  const auto look_at_bans = [&] {
    if (!bans || !bans->Changed()) return;
    by_hand = bans->Load();
    apply_bans();
  };
  const auto ban = [&](const std::string& id, bool detach) {
    look_at_bans();
    if (!(detach ? node.Ban(id) : node.Unban(id))) return false;
    if (detach)
      by_hand.insert(id);
    else
      by_hand.erase(id);
    apply_bans();
    if (bans) bans->Save(by_hand);
    return true;
  };
  Alarm* looks = nullptr;
  Alarm look([&] {
    look_at_bans();
    looks->Set(Now() + kLookAtBansEvery);
  });
  looks = &look;
  if (bans) look.Set(Now() + kLookAtBansEvery);

  Fleet* speaker = nullptr;  // once it is made
  const auto order = [&](const std::string& target, const std::string& what) {
    using What = zones::Order::What;
    return speaker != nullptr && speaker->Command(target, what == "leave"    ? What::kLeave
                                                          : what == "return" ? What::kReturn
                                                                             : What::kNone);
  };
  const auto show_zones = [&] {
    return speaker == nullptr ? std::string("zones are off") : speaker->ZonesText();
  };
  using RulesReply = std::optional<std::pair<int, std::string>>;
  const auto rules_call = [&](const admin::Calls::RulesCall& call) -> RulesReply {
    RulesPart* rules = speaker == nullptr ? nullptr : speaker->rules();
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
  };
  // Where rules are agreed on, a process that has not
  // learned them is not ready, but for a bounded time.
  const auto knows_rules = [&] {
    return speaker == nullptr || speaker->rules() == nullptr || speaker->rules()->ready();
  };
  // The operators' door comes after the listener: a process that does not serve is not ready.
  admin::Door door(
      {.ready = [&] { return node.ready() && front.serving() && knows_rules(); },
       .vars =
           [&] {
             admin::Vars vars;
             for (std::size_t k = 0; k < node.site().classes.size(); ++k) {
               const std::string& name = node.site().classes[k];
               const Node::Tally& t = node.tally()[k];
               vars.classes.push_back({name, t.success, t.busy + front.shed(name), t.failure});
             }
             vars.backend_calls = CountOf("backend_calls");
             vars.inflight = node.open_jobs();
             vars.hosts_listed = node.hosts_listed();
             vars.hosts_down = node.hosts_down();
             return vars;
           },
       .detach = [&](const std::string& id) { return ban(id, true); },
       .attach = [&](const std::string& id) { return ban(id, false); },
       .order = settings.zones ? std::function<bool(const std::string&, const std::string&)>(order)
                               : nullptr,
       .zones = settings.zones ? std::function<std::string()>(show_zones) : nullptr,
       .rules = settings.rules
                    ? std::function<RulesReply(const admin::Calls::RulesCall&)>(rules_call)
                    : nullptr});
  if (!config.operator_listen.empty()) {
    if (const std::string wrong = door.Open(config.operator_listen); !wrong.empty())
      CountFault("door_not_open", config.operator_listen + ": " + wrong);
    else
      Log("door_open", {{"operator", config.operator_listen}},
          "the operators' door is open at " + config.operator_listen);
  }
  std::unique_ptr<knowledge::Saver> saver;
  try {
    saver = Remember(settings, &node, config.name, takeover.knowledge());
  } catch (const marlquay::Malformed& wrong) {
    std::cerr << "pearreach: knowledge: " << wrong.what() << '\n';
    return kUsage;
  }
  std::unique_ptr<Fleet> fleet;
  try {
    fleet = MakeFleet(settings, sources.operator_file, config, &node);
  } catch (const marlquay::Malformed& wrong) {
    std::cerr << "pearreach: " << wrong.what() << '\n';
    return kUsage;
  }
  speaker = fleet.get();
  takeover.SpeakFor(fleet.get());
  FleetWitness witness(fleet.get());
  if (fleet != nullptr && settings.shared) node.Watch(&witness);
  if (fleet != nullptr)
    fleet->OnRuleBans([&](const std::set<std::string>& banned) {
      by_rules = banned;
      apply_bans();
    });
  reload = [&] { Reload(sources, &config, &node); };
  Apply(settings, &node);
  node.Start();
  takeover.Serve();
  if (fleet != nullptr) fleet->Start();
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
    // Of two processes only one writes.
    if (node.ready() && takeover.alone()) saver->Save(node.Learned());
    keeps->Set(Now() + settings.knowledge->every);
  });
  keeps = &keep;
  if (saver != nullptr) keep.Set(Now() + settings.knowledge->every);

  struct End {
    Front* front;
    GMainLoop* loop;
    Takeover* takeover;
    Fleet* fleet;
  } end{&front, loop, &takeover, fleet.get()};
  const auto stop = [](gpointer data) -> gboolean {
    const End* e = static_cast<End*>(data);
    Log("ending", {}, "ending: answering what was taken");
    e->takeover->End();
    if (e->fleet != nullptr) e->fleet->Leave();
    e->front->Drain([loop = e->loop] { g_main_loop_quit(loop); });
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, stop, &end);
  g_unix_signal_add(SIGINT, stop, &end);
  g_main_loop_run(loop);
  if (saver != nullptr) {
    if (node.ready() && takeover.alone()) saver->Save(node.Learned());
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
