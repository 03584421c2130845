#include "fleet/fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace pearreach {
namespace {

using members::Change;
using members::Status;
using peers::Topic;

constexpr Micros kOpenEvery = 100 * kMs;

constexpr double kRunLearn = 0.05;  // weight of one job in what is usual of its class

std::string Name(int node) { return std::to_string(node); }

shared::WorkerKey KeyOf(const std::string& worker) {
  return XXH32(worker.data(), worker.size(), 0);
}

std::string Figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

}  // namespace

Fleet::Fleet(FleetSettings settings)
    : settings_(std::move(settings)),
      peers_(
          {settings_.listen, settings_.nodes, settings_.all, settings_.self,
           settings_.bytes_per_second},
          [this] { return members_->process(); }, [this](int from) { members_->Refused(from); }),
      lines_(settings_.lines_per_minute),
      lines_at_(Now()),
      turn_([this] { Turn(); }),
      open_([this] { Open(); }),
      view_([this] { ReportView(); }),
      shared_turn_([this] { SharedTurn(); }),
      zones_turn_([this] { ZonesTurn(); }) {
  peers_.Register(
      Topic::kMembers,
      {0, nullptr, [this](int from, std::uint64_t process, bool late, std::string_view bytes) {
         std::vector<members::Out> out;
         members_->Hear(Now(), from, process, late, bytes, &out);
         Send(&out);
       }});
  peers_.Register(Topic::kModule,
                  {2, nullptr, [this](int from, std::uint64_t, bool, std::string_view bytes) {
                     Count("peer_words_for_the_module");
                     if (told_) told_(from, std::string(bytes));
                   }});
  if (settings_.shared)
    peers_.Register(
        Topic::kShared,
        {1, nullptr, [this](int from, std::uint64_t process, bool, std::string_view bytes) {
           if (shared_ == nullptr) return;
           std::vector<shared::Shared::Out> out;
           shared_->Hear(Unix(), from, process, bytes, &out);
           SendShared(&out);
         }});
  if (settings_.rules)
    peers_.Register(Topic::kRules,
                    {0, nullptr, [this](int from, std::uint64_t, bool, std::string_view bytes) {
                       if (rules_ != nullptr) rules_->Hear(from, bytes);
                     }});
  if (settings_.zones)
    peers_.Register(
        Topic::kZones,
        {0, nullptr, [this](int from, std::uint64_t process, bool, std::string_view bytes) {
           if (zones_ == nullptr) return;
           std::vector<zones::Zones::Out> out;
           zones_->Hear(Unix(), from, process, bytes, &out);
           SendZones(&out);
         }});
}

Fleet::~Fleet() = default;

void Fleet::Start() { Open(); }

void Fleet::Open() {
  if (yielded_ || peers_.open()) return;
  if (const std::string wrong = peers_.Open(); !wrong.empty()) {
    CountFault("peers_wait", settings_.listen + ": " + wrong);
    return open_.Set(Now() + kOpenEvery);
  }
  // From the moment at which the address is this process's: of two processes of this node, the one
  // that has it later is later, whichever was started first.
  members_ = std::make_unique<members::Members>(
      members::Options{.self = settings_.self,
                       .nodes = static_cast<int>(settings_.nodes.size()),
                       .period = settings_.period},
      settings_.seed ^ static_cast<std::uint64_t>(g_get_real_time()), Now(),
      static_cast<std::uint64_t>(g_get_real_time() / 1000));
  members_->TakeChanges();
  Log("peers_open",
      {{"listen", settings_.listen}, {"process", std::to_string(members_->process())}},
      "words with " + std::to_string(settings_.nodes.size() - 1) + " nodes at " + settings_.listen);
  turn_.Set(members_->next());
  view_.Set(Now() + settings_.view_every);
  OpenShared();
  OpenRules();
}

void Fleet::Turn() {
  std::vector<members::Out> out;
  members_->Tick(Now(), &out);
  Send(&out);
}

void Fleet::Send(std::vector<members::Out>* out) {
  for (const members::Out& o : *out) peers_.Say(o.to, Topic::kMembers, o.section);
  Report();
  turn_.Set(members_->next());
}

void Fleet::Leave() {
  if (yielded_ || !peers_.open()) return;
  std::vector<members::Out> out;
  members_->Leave(Now(), &out);
  Send(&out);
}

void Fleet::Yield() {
  yielded_ = true;
  peers_.Close();
  turn_.Clear();
  open_.Clear();
  view_.Clear();
  shared_turn_.Clear();
  zones_turn_.Clear();
  shared_.reset();
  rules_.reset();  // what it held last holds here until the process ends
  // The process that takes over knows the orders; what is left stays left here until the end.
  zones_.reset();
}

void Fleet::Resume() {
  if (!std::exchange(yielded_, false)) return;
  Open();
}

bool Fleet::MayLog() {
  const Micros now = Now();
  lines_ =
      std::min<double>(settings_.lines_per_minute, lines_ + static_cast<double>(now - lines_at_) /
                                                                60e6 * settings_.lines_per_minute);
  lines_at_ = now;
  if (lines_ < 1) {
    Count("member_lines_left_out");
    return false;
  }
  lines_ -= 1;
  return true;
}

// One line a change.
void Fleet::Report() {
  for (const Change& c : members_->TakeChanges()) {
    if (c.after.process > c.before.process && c.node != settings_.self)
      peers_.Known(c.node, c.after.process);
    Count((std::string("members_") + NameOf(c.after.status)).c_str());
    if (!MayLog()) continue;
    const std::string before = c.before.process == 0 ? "unknown" : NameOf(c.before.status);
    Log("member",
        {{"peer", Name(c.node)},
         {"status", NameOf(c.after.status)},
         {"before", before},
         {"process", std::to_string(c.after.process)},
         {"version", std::to_string(c.after.version)},
         {"by", Name(c.by)}},
        "node " + Name(c.node) + " is " + NameOf(c.after.status) + " (was " + before + "), by " +
            (c.by == settings_.self ? "this node" : "node " + Name(c.by)));
  }
  const members::Counts& n = members_->counts();
  CountGrowth("member_probes", n.probes, &reported_.probes);
  CountGrowth("member_probes_failed", n.failed, &reported_.failed);
  CountGrowth("member_asks", n.asks, &reported_.asks);
  CountGrowth("member_suspicions", n.suspicions, &reported_.suspicions);
  CountGrowth("member_suspicions_held_back", n.held_back, &reported_.held_back);
  CountGrowth("member_refutations", n.refutations, &reported_.refutations);
  CountGrowth("member_sections_malformed", n.malformed, &reported_.malformed);
  CountGrowth("member_stalls", n.stalls, &reported_.stalls);
  const members::View v = members_->view(Now());
  if (v.doubts_itself != doubts_) {
    doubts_ = v.doubts_itself;
    if (MayLog())
      Log(doubts_ ? "doubts_itself" : "trusts_itself", {},
          doubts_ ? "this process was stopped: suspects nobody until somebody answers"
                  : "answered again after a stop");
  }
  if (v.hears_nobody != nobody_) {
    nobody_ = v.hears_nobody;
    if (MayLog())
      Log(nobody_ ? "hears_nobody" : "hears_again", {},
          nobody_ ? "hears no other node: says nothing about them" : "hears other nodes again");
  }
}

void Fleet::ReportView() {
  const members::View v = members_->view(Now());
  std::string entries;
  for (int n = 0; n < static_cast<int>(settings_.nodes.size()); ++n) {
    const members::Entry& e = members_->entry(n);
    const auto [asked, heard] = members_->says(n);
    entries += (n > 0 ? " " : "") + Name(n) + ":" +
               (e.process == 0 ? "unknown" : NameOf(e.status)) + ":" + std::to_string(e.process) +
               ":" + std::to_string(e.version);
    if (asked > 0) entries += ":" + std::to_string(heard) + "/" + std::to_string(asked);
  }
  const int of = static_cast<int>(settings_.nodes.size()) - 1;
  Log("view",
      {{"asked", std::to_string(v.asked)},
       {"heard", std::to_string(v.heard)},
       {"heard_by", std::to_string(v.heard_by)},
       {"alive", std::to_string(v.alive)},
       {"suspect", std::to_string(v.suspect)},
       {"unreachable", std::to_string(v.unreachable)},
       {"left", std::to_string(v.left)},
       {"unknown", std::to_string(v.unknown)},
       {"slow", std::to_string(members_->slow())},
       {"nobody", v.hears_nobody ? "1" : "0"},
       {"doubts", v.doubts_itself ? "1" : "0"},
       {"digest", std::to_string(v.digest)},
       {"entries", entries}},
      "hears " + std::to_string(v.heard) + " of the last " + std::to_string(v.asked) +
          " nodes asked, " + std::to_string(v.heard_by) + " of them hear it; of " +
          std::to_string(of) + " alive " + std::to_string(v.alive) + ", suspect " +
          std::to_string(v.suspect) + ", unreachable " + std::to_string(v.unreachable) + ", left " +
          std::to_string(v.left) + ", never heard of " + std::to_string(v.unknown));
  if (shared_ != nullptr) ReportShared();
  view_.Set(Now() + settings_.view_every);
}

// ---------------------------------------------------------------- what the fleet shares

void Fleet::OpenShared() {
  if (!settings_.shared) return;
  unix_offset_ = g_get_real_time() - Now();
  shared::SharedOptions options = *settings_.shared;
  options.self = settings_.self;
  options.nodes = static_cast<int>(settings_.nodes.size());
  shared_ = std::make_unique<shared::Shared>(std::move(options), members_->process(),
                                             settings_.seed, Unix());
  shared_reported_ = {};
  for (const auto& [key, w] : listed_)
    shared_->judgements().Listed(key, w.as.kind, w.as.started_ms, w.as.in_service);
  SharedTurn();
  OpenZones();
}

std::vector<int> Fleet::Alive() const {
  std::vector<int> alive;
  for (int n = 0; n < static_cast<int>(settings_.nodes.size()); ++n)
    if (n != settings_.self && members_->entry(n).status == Status::kAlive) alive.push_back(n);
  return alive;
}

void Fleet::SharedTurn() {
  if (shared_ == nullptr) return;
  const Micros now = Unix();
  const std::vector<int> alive = Alive();
  for (const shared::Standing& s : shared_->judgements().Look(now, alive)) Judged(s);
  std::vector<shared::Shared::Out> out;
  shared_->Tick(now, alive, &out);
  SendShared(&out);
  shared_turn_.Set(shared_->next() - unix_offset_);
}

void Fleet::SendShared(std::vector<shared::Shared::Out>* out) {
  for (const shared::Shared::Out& o : *out) peers_.Say(o.to, Topic::kShared, o.section);
  const shared::SharedCounts& n = shared_->figures();
  CountGrowth("shared_words", n.words, &shared_reported_.words);
  CountGrowth("shared_words_malformed", n.malformed, &shared_reported_.malformed);
  CountGrowth("shared_news", n.news, &shared_reported_.news);
  CountGrowth("shared_asks", n.asks, &shared_reported_.asks);
  CountGrowth("shared_grants", n.grants, &shared_reported_.grants);
  CountGrowth("shared_grants_got", n.grants_got, &shared_reported_.grants_got);
  CountGrowth("shared_left_out", n.left_out, &shared_reported_.left_out);
  CountGrowth("shared_over_ceiling", n.over_ceiling, &shared_reported_.over_ceiling);
  CountGrowth("shared_over_repeats", n.over_repeats, &shared_reported_.over_repeats);
}

std::optional<shared::Shared::Admission> Fleet::Admit(int account, bool is_repeat) {
  if (!settings_.shared) return std::nullopt;
  // Accounts' use may not be shared at all.
  if (account >= static_cast<int>(settings_.shared->shares.size())) account = -1;
  if (shared_ != nullptr) {
    // A process that was stopped looks at its lease before it acts.
    const bool floor =
        rules_ != nullptr && rules_->acting().basis == rules::Agreement::Basis::kFloor;
    shared::Shared::Admission a = shared_->Admit(Unix(), account, is_repeat);
    if (floor && account >= 0) a.over_share = true;
    return a;
  }
  shared::Shared::Admission nothing;
  nothing.over_share = account >= 0;
  return nothing;
}

void Fleet::WorkerListed(const std::string& worker, const Listing& as) {
  const shared::WorkerKey key = KeyOf(worker);
  Listed& w = listed_[key];
  if (!w.name.empty() && w.name != worker) return Count("shared_worker_keys_alike");
  w.name = worker;
  w.as = as;
  if (shared_ != nullptr) shared_->judgements().Listed(key, as.kind, as.started_ms, as.in_service);
  if (zones_ != nullptr)
    zones_->Listed(key, as.zone, as.kind, as.weight, as.started_ms * 1000, as.in_service);
}

void Fleet::WorkerGone(const std::string& worker) {
  const shared::WorkerKey key = KeyOf(worker);
  listed_.erase(key);
  if (shared_ != nullptr) shared_->judgements().Unlisted(key);
  if (zones_ != nullptr) zones_->Unlisted(key);
}

void Fleet::WorkerSent(const std::string& worker) {
  if (shared_ != nullptr) shared_->judgements().Sent(Unix(), KeyOf(worker));
  if (zones_ != nullptr) zones_->Sent(Unix(), KeyOf(worker));
}

void Fleet::WorkerHeard(const std::string& worker) {
  if (shared_ != nullptr) shared_->judgements().Heard(Unix(), KeyOf(worker));
}

void Fleet::WorkerEnded(const std::string& worker, shared::Judgements::End end, int cls,
                        Micros run) {
  if (shared_ == nullptr) return;
  using ZoneEnd = zones::Zones::End;
  if (zones_ != nullptr)
    zones_->Ended(Unix(), KeyOf(worker),
                  end == shared::Judgements::End::kServed   ? ZoneEnd::kServed
                  : end == shared::Judgements::End::kFailed ? ZoneEnd::kFailed
                                                            : ZoneEnd::kNoWord,
                  cls, run);
  double slowness = 0;
  if (run > 0 && end == shared::Judgements::End::kServed) {
    double& usual = runs_[cls];
    if (usual > 0) slowness = static_cast<double>(run) / usual;
    usual += (usual > 0 ? kRunLearn : 1) * (static_cast<double>(run) - usual);
  }
  shared_->judgements().Ended(Unix(), KeyOf(worker), end, slowness);
}

// One line a change, and the module's event.
void Fleet::Judged(const shared::Standing& s) {
  const auto it = listed_.find(s.worker);
  if (it == listed_.end()) return;
  shared::Standing told = s;
  if (it->second.use == zones::Use::kTrial) told.out = told.trial = true;  // as its zone has it
  if (judged_) judged_(it->second.name, told);
  if (!MayLog()) return;
  std::string witnesses;
  for (const int n : s.witnesses) witnesses += (witnesses.empty() ? "" : " ") + Name(n);
  Log("judgement",
      {{"worker", it->second.name},
       {"out", s.out ? "1" : "0"},
       {"cold", s.cold ? "1" : "0"},
       {"trial", s.trial ? "1" : "0"},
       {"verdict", NameOf(s.verdict)},
       {"witnesses", witnesses}},
      it->second.name +
          (s.out || s.cold
               ? std::string(s.out ? " is left out: " : " counts as cold: ") + NameOf(s.verdict) +
                     " by nodes " + witnesses + (s.trial ? "; this node is to try it" : "")
               : std::string(" is in use again")));
}

// What this node shares, as figures: of each account what it counted and spent here, its part of
// the budget, and what the fleet uses within its bound.
void Fleet::ReportShared() {
  const Micros now = Unix();
  std::string accounts, line;
  for (int k = 0; k < shared_->counts().accounts(); ++k) {
    const shared::Reading r = shared_->counts().Read(now, k);
    const std::string part = std::to_string(shared_->budgets().part(now, k));
    accounts += (k > 0 ? " " : "") + std::to_string(k) + ":" +
                std::to_string(shared_->counts().value(k)) + ":" +
                Figure(shared_->budgets().spent(k)) + ":" + part + ":" + Figure(r.least) + ":" +
                Figure(r.most) + ":" + Figure(r.estimate);
    const auto at = static_cast<std::size_t>(k);
    line += (k > 0 ? "; " : "") +
            (at < settings_.accounts.size() ? settings_.accounts[at] : std::to_string(k)) + " " +
            Figure(r.estimate) + " (" + Figure(r.least) + " to " + Figure(r.most) + "), part " +
            Figure(static_cast<double>(shared_->budgets().part(now, k)) / 1000) + "/s";
  }
  std::string out;
  for (const auto& [key, s] : shared_->judgements().standing()) {
    const auto it = listed_.find(key);
    if (!s.out || it == listed_.end()) continue;
    out += (out.empty() ? "" : " ") + it->second.name + ":" + NameOf(s.verdict);
    for (const int n : s.witnesses) out += ":" + Name(n);
  }
  Log("shared",
      {{"process", std::to_string(shared_->process())},
       {"settling", shared_->budgets().settling(now) ? "1" : "0"},
       {"accounts", accounts},
       {"out", out}},
      "the fleet's use in the last " + std::to_string(settings_.shared->window / kSecond) +
          " s: " + line + (out.empty() ? "" : "; left out: " + out));
}

// ---------------------------------------------------------------- rules that are agreed on

void Fleet::OpenRules() {
  if (!settings_.rules) return;
  RulesSettings settings = *settings_.rules;
  settings.options.self = settings_.self;
  settings.options.nodes = static_cast<int>(settings_.nodes.size());
  rules_ = std::make_unique<RulesPart>(
      settings, settings_.seed ^ static_cast<std::uint64_t>(g_get_real_time()),
      [this](int to, const std::string& section) { peers_.Say(to, Topic::kRules, section); },
      [this] { return Alive(); }, [this] { ApplyRules(); });
  rules_->Begin();
}

// What holds now, put to use: bans at the node, shares and parts at the budgets, zones at their
// next look, which is at once.
void Fleet::ApplyRules() {
  if (rules_ == nullptr) return;
  const rules::Agreement::Acting& a = rules_->acting();
  if (rule_bans_) rule_bans_(a.rules.bans);
  if (shared_ != nullptr && settings_.shared) {
    shared::Budgets& budgets = shared_->budgets();
    const bool floor = a.basis == rules::Agreement::Basis::kFloor;
    for (std::size_t k = 0; !floor && k < settings_.accounts.size(); ++k) {
      if (k >= settings_.shared->shares.size()) break;
      const auto it = a.rules.shares.find(settings_.accounts[k]);
      budgets.SetWhole(Unix(), static_cast<int>(k),
                       it != a.rules.shares.end() ? it->second : settings_.shared->shares[k]);
    }
    const auto repeats = static_cast<int>(settings_.shared->shares.size());
    if (!floor && settings_.shared->repeats > 0 && budgets.budgets() > repeats)
      budgets.SetWhole(
          Unix(), repeats,
          std::min(settings_.shared->repeats, a.rules.repeats.value_or(settings_.shared->repeats)));
    budgets.SetParts(Unix(), a.rules.nodes.value_or(0));
  }
  uses_at_ = 0;
  if (zones_ != nullptr) ApplyZones();
}

// ---------------------------------------------------------------- zones that are left

void Fleet::OpenZones() {
  if (!settings_.zones) return;
  zones::Options options = *settings_.zones;
  options.self = settings_.self;
  options.nodes = static_cast<int>(settings_.nodes.size());
  zones_ = std::make_unique<zones::Zones>(std::move(options), members_->process(), Unix());
  zones_reported_ = {};
  for (const auto& [key, w] : listed_)
    zones_->Listed(key, w.as.zone, w.as.kind, w.as.weight, w.as.started_ms * 1000, w.as.in_service);
  for (const zones::Order& o : recalled_) zones_->Recall(o);
  ZonesTurn();
}

void Fleet::RecallOrders(const std::vector<zones::Order>& orders) {
  recalled_ = kept_ = orders;
  if (zones_ == nullptr) return;
  for (const zones::Order& o : orders) zones_->Recall(o);
}

bool Fleet::Command(const std::string& target, zones::Order::What what) {
  if (zones_ == nullptr || !zones_->Command(Unix(), target, what)) return false;
  ApplyZones();
  return true;
}

void Fleet::JudgeAgain(const std::string& worker) {
  if (shared_ == nullptr || !judged_) return;
  const auto& standing = shared_->judgements().standing();
  const auto it = standing.find(KeyOf(worker));
  judged_(worker, it == standing.end() ? shared::Standing{.worker = KeyOf(worker)} : it->second);
}

void Fleet::ZonesTurn() {
  if (zones_ == nullptr) return;
  for (const auto& [key, w] : listed_)
    zones_->Seen(key, static_cast<zones::Cause>(shared_->judgements().own(key)),
                 shared_->judgements().own_at(key));
  // Jobs turned away for want of room: a twentieth of those that came since the last turn.
  const std::uint64_t jobs = CountOf("jobs"), refused = CountOf("refused");
  zones_->Pressed((refused - std::exchange(refused_before_, refused)) * 20 >
                  jobs - std::exchange(jobs_before_, jobs));
  std::vector<zones::Zones::Out> out;
  zones_->Tick(Unix(), Alive(), members_->view(Now()).doubts_itself, &out);
  SendZones(&out);
  zones_turn_.Set(zones_->next() - unix_offset_);
}

void Fleet::SendZones(std::vector<zones::Zones::Out>* out) {
  for (const zones::Zones::Out& o : *out) peers_.Say(o.to, Topic::kZones, o.section);
  ApplyZones();
  const zones::Figures& n = zones_->figures();
  CountGrowth("zone_words", n.words, &zones_reported_.words);
  CountGrowth("zone_words_malformed", n.malformed, &zones_reported_.malformed);
  CountGrowth("zone_words_old", n.old, &zones_reported_.old);
  CountGrowth("zone_entries_left_out", n.left_out, &zones_reported_.left_out);
  CountGrowth("zone_verdicts_raised", n.raised, &zones_reported_.raised);
  CountGrowth("zone_verdicts_adopted", n.adopted, &zones_reported_.adopted);
  CountGrowth("zone_verdicts_doubted", n.doubted, &zones_reported_.doubted);
  CountGrowth("zone_held_back", n.held_back, &zones_reported_.held_back);
}

std::string Fleet::WhyOf(const zones::Standing& s) const {
  const std::string number = ", number " + std::to_string(s.number);
  if (s.by_hand) {
    std::string by;
    for (const zones::Order& o : zones_->orders())
      if (o.number == s.number && o.what != zones::Order::What::kNone) by = Name(o.by);
    return "by hand, said at node " + by + number;
  }
  std::string witnesses;
  for (const int n : s.witnesses) witnesses += " " + Name(n);
  return std::string(NameOf(s.cause)) +
         (witnesses.empty() ? std::string() : " by nodes" + witnesses) +
         (s.whose >= 0
              ? ", for nodes of zone " + settings_.zones->zones[static_cast<std::size_t>(s.whose)]
              : std::string()) +
         number;
}

// One line a change, and how each worker may be used from now on.
void Fleet::ApplyZones() {
  const Micros now = Unix();
  const std::vector<zones::Standing> changes = zones_->TakeChanges();
  for (const zones::Standing& s : changes) {
    const std::string& zone = settings_.zones->zones[static_cast<std::size_t>(s.zone)];
    std::string witnesses;
    for (const int n : s.witnesses) witnesses += (witnesses.empty() ? "" : " ") + Name(n);
    const std::string line =
        s.own ? zone + " is left by the others; this node is inside and serves it: " + WhyOf(s)
        : s.step == zones::kLeft ? zone + " is left: " + WhyOf(s)
        : s.step == zones::kWhole
            ? zone + " is in use" + (s.by_hand ? " " + WhyOf(s) : std::string())
            : zone + " comes back, step " + std::to_string(s.step - 1) + " of " +
                  std::to_string(zones::kLastStep) + ": " + WhyOf(s);
    Count(s.step == zones::kLeft ? "zones_left" : "zones_opened");
    if (zone_line_) zone_line_(line);
    if (!MayLog()) continue;
    Log("zone",
        {{"zone", zone},
         {"step", std::to_string(s.step)},
         {"number", std::to_string(s.number)},
         {"cause", NameOf(s.cause)},
         {"by_hand", s.by_hand ? "1" : "0"},
         {"own", s.own ? "1" : "0"},
         {"whose", s.whose < 0 ? std::string("all")
                               : settings_.zones->zones[static_cast<std::size_t>(s.whose)]},
         {"witnesses", witnesses}},
        line);
  }
  if (std::vector<zones::Order> orders = zones_->orders(); orders != kept_) {
    recalled_ = kept_ = std::move(orders);
    if (keep_orders_) keep_orders_(kept_);
  }
  // Between two turns words change nothing here but with a zone.
  if (changes.empty() && now < uses_at_ + settings_.zones->every) return;
  uses_at_ = now;
  for (auto& [key, w] : listed_) {
    zones::Use use = zones_->use(now, key);
    const auto named = static_cast<std::size_t>(w.as.zone);
    if (rules_ != nullptr && named < settings_.zones->zones.size()) {
      const auto& leaves = rules_->acting().rules.leaves;
      if (const auto it = leaves.find(settings_.zones->zones[named]); it != leaves.end())
        use = it->second ? zones::Use::kShut : zones::Use::kOpen;
    }
    if (use == w.use) continue;
    w.use = use;
    const auto zone = static_cast<std::size_t>(w.as.zone);
    const bool gone = zone < settings_.zones->zones.size() &&
                      zones_->standing(w.as.zone).cause >= zones::Cause::kSilent;
    if (use_) use_(w.name, use, gone);
    if (settings_.tells_use)
      Log("zone_use",
          {{"worker", w.name},
           {"use", use == zones::Use::kOpen    ? "open"
                   : use == zones::Use::kTrial ? "trial"
                                               : "shut"}},
          w.name + " by its zone");
  }
}

std::string Fleet::ZonesText() const {
  if (zones_ == nullptr) return "this process does not speak for its node: ask the other one";
  const auto at = [](Micros moment) {
    GDateTime* time = g_date_time_new_from_unix_utc(moment / 1'000'000);
    if (time == nullptr) return std::string("?");
    char* text = g_date_time_format(time, "%F %T");
    char ms[16];
    std::snprintf(ms, sizeof ms, ".%03d", static_cast<int>(moment / 1000 % 1000));
    const std::string all = text == nullptr ? "?" : std::string(text) + ms;
    g_free(text);
    g_date_time_unref(time);
    return all;
  };
  std::string text;
  for (std::size_t z = 0; z < settings_.zones->zones.size(); ++z) {
    const zones::Standing& s = zones_->standing(static_cast<int>(z));
    text += (text.empty() ? "" : "\n") + settings_.zones->zones[z] + ": " +
            (s.own                     ? "left by the others, served from inside"
             : s.step == zones::kLeft  ? "left"
             : s.step == zones::kWhole ? "in use"
                                       : "step " + std::to_string(s.step - 1) + " of " +
                                             std::to_string(zones::kLastStep));
    if (s.number > 0) text += ", " + WhyOf(s);
  }
  for (const zones::Verdict& v : zones_->verdicts())
    text += "\nverdict " + zones_->name(v.target) + " " + std::to_string(v.number) + ": step " +
            std::to_string(v.step) + " since " + at(v.at) + " by node " + Name(v.by) +
            (v.whose < 0 ? std::string()
                         : ", for nodes of zone " +
                               settings_.zones->zones[static_cast<std::size_t>(v.whose)]);
  for (const zones::Order& o : zones_->orders())
    text += "\norder " + zones_->name(o.target) + " " + std::to_string(o.number) + ": " +
            (o.what == zones::Order::What::kNone ? "taken back" : NameOf(o.what)) + " at " +
            at(o.at) + ", said at node " + Name(o.by);
  for (const zones::Order& o : zones_->overruled())
    text += "\noverruled " + zones_->name(o.target) + " " + std::to_string(o.number) + ": " +
            NameOf(o.what) + " at " + at(o.at) + ", said at node " + Name(o.by);
  return text;
}

}  // namespace pearreach
