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
  zones_ = std::make_unique<zones::ZoneFailover>(std::move(options), members_->process(), Unix());
  zones_reported_ = {};
  for (const auto& [key, w] : listed_)
    zones_->OnListed(key, w.as.zone, w.as.kind, w.as.weight, w.as.started_ms * 1000,
                     w.as.in_service);
  for (const zones::Order& o : recalled_) zones_->RestoreOrder(o);
  ZonesTurn();
}

void Fleet::RecallOrders(const std::vector<zones::Order>& orders) {
  recalled_ = kept_ = orders;
  if (zones_ == nullptr) return;
  for (const zones::Order& o : orders) zones_->RestoreOrder(o);
}

bool Fleet::Command(const std::string& target, zones::Order::Action what) {
  if (zones_ == nullptr || !zones_->Command(Unix(), target, what)) return false;
  ApplyZones();
  return true;
}

void Fleet::JudgeAgain(const std::string& worker) {
  if (shared_ == nullptr || !judged_) return;
  const auto& standing = shared_->health().statuses();
  const auto it = standing.find(KeyOf(worker));
  judged_(worker,
          it == standing.end() ? shared_state::WorkerStatus{.worker = KeyOf(worker)} : it->second);
}

void Fleet::ZonesTurn() {
  if (zones_ == nullptr) return;
  for (const auto& [key, w] : listed_)
    zones_->SetOwnHealth(key, static_cast<zones::Cause>(shared_->health().own_status(key)),
                         shared_->health().own_status_at(key));
  // Jobs turned away for want of room: a twentieth of those that came since the last turn.
  const std::uint64_t jobs = CountOf("jobs"), refused = CountOf("refused");
  zones_->SetOverloaded((refused - std::exchange(refused_before_, refused)) * 20 >
                        jobs - std::exchange(jobs_before_, jobs));
  std::vector<zones::ZoneFailover::OutgoingMessage> out;
  zones_->Tick(Unix(), Alive(), members_->view(Now()).unconfirmed_after_stall, &out);
  SendZones(&out);
  zones_turn_.Set(zones_->next() - unix_offset_);
}

void Fleet::SendZones(std::vector<zones::ZoneFailover::OutgoingMessage>* out) {
  for (const zones::ZoneFailover::OutgoingMessage& o : *out)
    peers_.Send(o.to, Topic::kZones, o.section);
  ApplyZones();
  const zones::Stats& n = zones_->stats();
  CountGrowth("zone_words", n.messages_sent, &zones_reported_.messages_sent);
  CountGrowth("zone_words_malformed", n.malformed, &zones_reported_.malformed);
  CountGrowth("zone_words_old", n.stale, &zones_reported_.stale);
  CountGrowth("zone_entries_left_out", n.entries_omitted, &zones_reported_.entries_omitted);
  CountGrowth("zone_verdicts_raised", n.decided, &zones_reported_.decided);
  CountGrowth("zone_verdicts_adopted", n.adopted, &zones_reported_.adopted);
  CountGrowth("zone_verdicts_doubted", n.unconfirmed, &zones_reported_.unconfirmed);
  CountGrowth("zone_held_back", n.blocked_by_capacity, &zones_reported_.blocked_by_capacity);
}

std::string Fleet::WhyOf(const zones::ZoneStatus& s) const {
  const std::string number = ", number " + std::to_string(s.number);
  if (s.by_operator) {
    std::string by;
    for (const zones::Order& o : zones_->orders())
      if (o.number == s.number && o.action != zones::Order::Action::kNone)
        by = std::to_string(o.issued_by);
    return "by hand, said at node " + by + number;
  }
  std::string witnesses;
  for (const int n : s.reporters) witnesses += " " + std::to_string(n);
  return std::string(NameOf(s.cause)) +
         (witnesses.empty() ? std::string() : " by nodes" + witnesses) +
         (s.for_zone >= 0 ? ", for nodes of zone " +
                                settings_.zones->zones[static_cast<std::size_t>(s.for_zone)]
                          : std::string()) +
         number;
}

// One line a change, and how each worker may be used from now on.
void Fleet::ApplyZones() {
  const Micros now = Unix();
  const std::vector<zones::ZoneStatus> changes = zones_->TakeChanges();
  for (const zones::ZoneStatus& s : changes) ReportStanding(s);
  if (std::vector<zones::Order> orders = zones_->orders(); orders != kept_) {
    recalled_ = kept_ = std::move(orders);
    if (keep_orders_) keep_orders_(kept_);
  }
  // Between two turns words change nothing here but with a zone.
  if (changes.empty() && now < uses_at_ + settings_.zones->send_interval) return;
  uses_at_ = now;
  ApplyUses(now);
}

void Fleet::ReportStanding(const zones::ZoneStatus& s) {
  const std::string& zone = settings_.zones->zones[static_cast<std::size_t>(s.zone)];
  std::string witnesses;
  for (const int n : s.reporters) witnesses += (witnesses.empty() ? "" : " ") + std::to_string(n);
  const std::string line =
      s.served_from_inside
          ? zone + " is left by the others; this node is inside and serves it: " + WhyOf(s)
      : s.step == zones::kEjected ? zone + " is left: " + WhyOf(s)
      : s.step == zones::kInUse
          ? zone + " is in use" + (s.by_operator ? " " + WhyOf(s) : std::string())
          : zone + " comes back, step " + std::to_string(s.step - 1) + " of " +
                std::to_string(zones::kLastStep) + ": " + WhyOf(s);
  Count(s.step == zones::kEjected ? "zones_left" : "zones_opened");
  if (zone_line_) zone_line_(line);
  if (!MayLog()) return;
  Log("zone",
      {{"zone", zone},
       {"step", std::to_string(s.step)},
       {"number", std::to_string(s.number)},
       {"cause", NameOf(s.cause)},
       {"by_hand", s.by_operator ? "1" : "0"},
       {"own", s.served_from_inside ? "1" : "0"},
       {"whose", s.for_zone < 0 ? std::string("all")
                                : settings_.zones->zones[static_cast<std::size_t>(s.for_zone)]},
       {"witnesses", witnesses}},
      line);
}

// By its zone, or by the rules where they name that zone.
zones::Use Fleet::UseOf(Micros now, zones::WorkerKey worker, int zone) const {
  const auto named = static_cast<std::size_t>(zone);
  if (rules_ != nullptr && named < settings_.zones->zones.size()) {
    const auto& leaves = rules_->acting().rules.zone_left;
    if (const auto it = leaves.find(settings_.zones->zones[named]); it != leaves.end())
      return it->second ? zones::Use::kClosed : zones::Use::kOpen;
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
                      zones_->status(w.as.zone).cause >= zones::Cause::kSilent;
    if (use_) use_(w.name, use, gone);
    if (settings_.tells_use)
      Log("zone_use",
          {{"worker", w.name},
           {"use", use == zones::Use::kOpen    ? "open"
                   : use == zones::Use::kProbe ? "trial"
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
    const zones::ZoneStatus& s = zones_->status(static_cast<int>(z));
    text += (text.empty() ? "" : "\n") + settings_.zones->zones[z] + ": " +
            (s.served_from_inside        ? "left by the others, served from inside"
             : s.step == zones::kEjected ? "left"
             : s.step == zones::kInUse   ? "in use"
                                         : "step " + std::to_string(s.step - 1) + " of " +
                                             std::to_string(zones::kLastStep));
    if (s.number > 0) text += ", " + WhyOf(s);
  }
  for (const zones::Decision& v : zones_->decisions())
    text += "\nverdict " + zones_->name(v.target) + " " + std::to_string(v.number) + ": step " +
            std::to_string(v.step) + " since " + at(v.decided_at) + " by node " +
            std::to_string(v.decided_by) +
            (v.for_zone < 0 ? std::string()
                            : ", for nodes of zone " +
                                  settings_.zones->zones[static_cast<std::size_t>(v.for_zone)]);
  for (const zones::Order& o : zones_->orders())
    text += "\norder " + zones_->name(o.target) + " " + std::to_string(o.number) + ": " +
            (o.action == zones::Order::Action::kNone ? "taken back" : NameOf(o.action)) + " at " +
            at(o.issued_at) + ", said at node " + std::to_string(o.issued_by);
  for (const zones::Order& o : zones_->overruled())
    text += "\noverruled " + zones_->name(o.target) + " " + std::to_string(o.number) + ": " +
            NameOf(o.action) + " at " + at(o.issued_at) + ", said at node " +
            std::to_string(o.issued_by);
  return text;
}

}  // namespace pearreach
