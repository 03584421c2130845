// The fleet's zones: words about them, operators' orders, and what follows for workers.
#include <algorithm>
#include <utility>

#include "node/fleet/fleet.h"
#include "node/fleet/worker_key.h"

namespace pearreach {
namespace {

using peer_transport::Topic;

}  // namespace

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
  judged_(worker,
          it == standing.end() ? shared_state::Standing{.worker = KeyOf(worker)} : it->second);
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
  zones_->Tick(Unix(), Alive(), members_->view(Now()).unconfirmed_after_stall, &out);
  SendZones(&out);
  zones_turn_.Set(zones_->next() - unix_offset_);
}

void Fleet::SendZones(std::vector<zones::Zones::Out>* out) {
  for (const zones::Zones::Out& o : *out) peers_.Send(o.to, Topic::kZones, o.section);
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
      if (o.number == s.number && o.what != zones::Order::What::kNone) by = std::to_string(o.by);
    return "by hand, said at node " + by + number;
  }
  std::string witnesses;
  for (const int n : s.witnesses) witnesses += " " + std::to_string(n);
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
  for (const zones::Standing& s : changes) ReportStanding(s);
  if (std::vector<zones::Order> orders = zones_->orders(); orders != kept_) {
    recalled_ = kept_ = std::move(orders);
    if (keep_orders_) keep_orders_(kept_);
  }
  // Between two turns words change nothing here but with a zone.
  if (changes.empty() && now < uses_at_ + settings_.zones->every) return;
  uses_at_ = now;
  ApplyUses(now);
}

void Fleet::ReportStanding(const zones::Standing& s) {
  const std::string& zone = settings_.zones->zones[static_cast<std::size_t>(s.zone)];
  std::string witnesses;
  for (const int n : s.witnesses) witnesses += (witnesses.empty() ? "" : " ") + std::to_string(n);
  const std::string line =
      s.own ? zone + " is left by the others; this node is inside and serves it: " + WhyOf(s)
      : s.step == zones::kLeft  ? zone + " is left: " + WhyOf(s)
      : s.step == zones::kWhole ? zone + " is in use" + (s.by_hand ? " " + WhyOf(s) : std::string())
                                : zone + " comes back, step " + std::to_string(s.step - 1) +
                                      " of " + std::to_string(zones::kLastStep) + ": " + WhyOf(s);
  Count(s.step == zones::kLeft ? "zones_left" : "zones_opened");
  if (zone_line_) zone_line_(line);
  if (!MayLog()) return;
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

// By its zone, or by the rules where they name that zone.
zones::Use Fleet::UseOf(Micros now, zones::WorkerKey worker, int zone) const {
  const auto named = static_cast<std::size_t>(zone);
  if (rules_ != nullptr && named < settings_.zones->zones.size()) {
    const auto& leaves = rules_->acting().rules.zone_left;
    if (const auto it = leaves.find(settings_.zones->zones[named]); it != leaves.end())
      return it->second ? zones::Use::kShut : zones::Use::kOpen;
  }
  return zones_->use(now, worker);
}

void Fleet::ApplyUses(Micros now) {
  for (auto& [key, w] : listed_) {
    const zones::Use use = UseOf(now, key, w.as.zone);
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
    std::string all = text == nullptr ? "?" : std::string(text) + ms;
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
            std::to_string(v.step) + " since " + at(v.at) + " by node " + std::to_string(v.by) +
            (v.whose < 0 ? std::string()
                         : ", for nodes of zone " +
                               settings_.zones->zones[static_cast<std::size_t>(v.whose)]);
  for (const zones::Order& o : zones_->orders())
    text += "\norder " + zones_->name(o.target) + " " + std::to_string(o.number) + ": " +
            (o.what == zones::Order::What::kNone ? "taken back" : NameOf(o.what)) + " at " +
            at(o.at) + ", said at node " + std::to_string(o.by);
  for (const zones::Order& o : zones_->overruled())
    text += "\noverruled " + zones_->name(o.target) + " " + std::to_string(o.number) + ": " +
            NameOf(o.what) + " at " + at(o.at) + ", said at node " + std::to_string(o.by);
  return text;
}

}  // namespace pearreach
