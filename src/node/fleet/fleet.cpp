#include "node/fleet/fleet.h"

#include <algorithm>
#include <utility>

namespace pearreach {
namespace {

using membership::Change;
using membership::Status;
using peer_transport::Topic;

constexpr Micros kOpenEvery = 100 * kMs;

}  // namespace

Fleet::Fleet(FleetSettings settings)
    : settings_(std::move(settings)),
      peers_(
          {settings_.listen, settings_.nodes, settings_.all, settings_.self,
           settings_.bytes_per_second},
          [this] { return members_->process(); },
          [this](int from) { members_->NoteReplacedSender(from); }),
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
         std::vector<membership::Outgoing> out;
         members_->Receive(Now(), from, process, late, bytes, &out);
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
           std::vector<shared_state::SharedState::OutgoingMessage> out;
           shared_->OnMessage(Unix(), from, process, bytes, &out);
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
           std::vector<zones::ZoneFailover::OutgoingMessage> out;
           zones_->OnMessage(Unix(), from, process, bytes, &out);
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
  members_ = std::make_unique<membership::Members>(
      membership::Options{.self = settings_.self,
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
  std::vector<membership::Outgoing> out;
  members_->Tick(Now(), &out);
  Send(&out);
}

void Fleet::Send(std::vector<membership::Outgoing>* out) {
  for (const membership::Outgoing& o : *out) peers_.Send(o.to, Topic::kMembers, o.section);
  Report();
  turn_.Set(members_->next());
}

void Fleet::Leave() {
  if (yielded_ || !peers_.open()) return;
  std::vector<membership::Outgoing> out;
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
      peers_.ObserveProcess(c.node, c.after.process);
    Count((std::string("members_") + NameOf(c.after.status)).c_str());
    if (!MayLog()) continue;
    const std::string before = c.before.process == 0 ? "unknown" : NameOf(c.before.status);
    Log("member",
        {{"peer", std::to_string(c.node)},
         {"status", NameOf(c.after.status)},
         {"before", before},
         {"process", std::to_string(c.after.process)},
         {"version", std::to_string(c.after.version)},
         {"by", std::to_string(c.reported_by)}},
        "node " + std::to_string(c.node) + " is " + NameOf(c.after.status) + " (was " + before +
            "), by " +
            (c.reported_by == settings_.self ? "this node"
                                             : "node " + std::to_string(c.reported_by)));
  }
  const membership::Counts& n = members_->counts();
  CountGrowth("member_probes", n.probes, &reported_.probes);
  CountGrowth("member_probes_failed", n.failed_probes, &reported_.failed_probes);
  CountGrowth("member_asks", n.ping_requests, &reported_.ping_requests);
  CountGrowth("member_suspicions", n.suspicions, &reported_.suspicions);
  CountGrowth("member_suspicions_held_back", n.withheld_suspicions, &reported_.withheld_suspicions);
  CountGrowth("member_refutations", n.refutations, &reported_.refutations);
  CountGrowth("member_sections_malformed", n.malformed, &reported_.malformed);
  CountGrowth("member_stalls", n.stalls, &reported_.stalls);
  const membership::View v = members_->view(Now());
  if (v.unconfirmed_after_stall != doubts_) {
    doubts_ = v.unconfirmed_after_stall;
    if (MayLog())
      Log(doubts_ ? "doubts_itself" : "trusts_itself", {},
          doubts_ ? "this process was stopped: suspects nobody until somebody answers"
                  : "answered again after a stop");
  }
  if (v.isolated != nobody_) {
    nobody_ = v.isolated;
    if (MayLog())
      Log(nobody_ ? "hears_nobody" : "hears_again", {},
          nobody_ ? "hears no other node: says nothing about them" : "hears other nodes again");
  }
}

void Fleet::ReportView() {
  const membership::View v = members_->view(Now());
  std::string entries;
  for (int n = 0; n < static_cast<int>(settings_.nodes.size()); ++n) {
    const membership::Entry& e = members_->entry(n);
    const auto [asked, heard] = members_->reported_reachability(n);
    entries += (n > 0 ? " " : "") + std::to_string(n) + ":" +
               (e.process == 0 ? "unknown" : NameOf(e.status)) + ":" + std::to_string(e.process) +
               ":" + std::to_string(e.version);
    if (asked > 0) entries += ":" + std::to_string(heard) + "/" + std::to_string(asked);
  }
  const int of = static_cast<int>(settings_.nodes.size()) - 1;
  Log("view",
      {{"asked", std::to_string(v.probed)},
       {"heard", std::to_string(v.received_from)},
       {"heard_by", std::to_string(v.acked_by)},
       {"alive", std::to_string(v.alive)},
       {"suspect", std::to_string(v.suspect)},
       {"unreachable", std::to_string(v.unreachable)},
       {"left", std::to_string(v.left)},
       {"unknown", std::to_string(v.unknown)},
       {"slow", std::to_string(members_->health_score())},
       {"nobody", v.isolated ? "1" : "0"},
       {"doubts", v.unconfirmed_after_stall ? "1" : "0"},
       {"digest", std::to_string(v.digest)},
       {"entries", entries}},
      "hears " + std::to_string(v.received_from) + " of the last " + std::to_string(v.probed) +
          " nodes asked, " + std::to_string(v.acked_by) + " of them hear it; of " +
          std::to_string(of) + " alive " + std::to_string(v.alive) + ", suspect " +
          std::to_string(v.suspect) + ", unreachable " + std::to_string(v.unreachable) + ", left " +
          std::to_string(v.left) + ", never heard of " + std::to_string(v.unknown));
  if (shared_ != nullptr) ReportShared();
  view_.Set(Now() + settings_.view_every);
}

std::vector<int> Fleet::Alive() const {
  std::vector<int> alive;
  for (int n = 0; n < static_cast<int>(settings_.nodes.size()); ++n)
    if (n != settings_.self && members_->entry(n).status == Status::kAlive) alive.push_back(n);
  return alive;
}

void Fleet::OpenRules() {
  if (!settings_.rules) return;
  RulesSettings settings = *settings_.rules;
  settings.options.self = settings_.self;
  settings.options.nodes = static_cast<int>(settings_.nodes.size());
  rules_ = std::make_unique<RulesPart>(
      settings, settings_.seed ^ static_cast<std::uint64_t>(g_get_real_time()),
      [this](int to, const std::string& section) { peers_.Send(to, Topic::kRules, section); },
      [this] { return Alive(); }, [this] { ApplyRules(); });
  rules_->Begin();
}

// What holds now, put to use: bans at the node, shares and parts at the budgets, zones at their
// next look, which is at once.
void Fleet::ApplyRules() {
  if (rules_ == nullptr) return;
  const rules::Consensus::EffectiveRules& a = rules_->acting();
  if (rule_bans_) rule_bans_(a.rules.bans);
  if (shared_ != nullptr && settings_.shared) {
    shared_state::Budgets& budgets = shared_->budgets();
    const bool floor = a.basis == rules::Consensus::Basis::kFloor;
    for (std::size_t k = 0; !floor && k < settings_.accounts.size(); ++k) {
      if (k >= settings_.shared->quotas.size()) break;
      const auto it = a.rules.shares.find(settings_.accounts[k]);
      budgets.SetLimit(Unix(), static_cast<int>(k),
                       it != a.rules.shares.end() ? it->second : settings_.shared->quotas[k]);
    }
    const auto repeats = static_cast<int>(settings_.shared->quotas.size());
    if (!floor && settings_.shared->retry_limit > 0 && budgets.budgets() > repeats)
      budgets.SetLimit(Unix(), repeats,
                       std::min(settings_.shared->retry_limit,
                                a.rules.retries_per_s.value_or(settings_.shared->retry_limit)));
    budgets.SetPartCount(Unix(), a.rules.budget_parts.value_or(0));
  }
  uses_at_ = 0;
  if (zones_ != nullptr) ApplyZones();
}

}  // namespace pearreach
