// What nodes tell one another of zones, to whom and when.
#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "node/zones/mix.h"
#include "node/zones/zones.h"

namespace pearreach::zones {
namespace {

constexpr int kQuiet = 4;               // messages are so much rarer while all is well
constexpr Micros kActive = 10'000'000;  // after a change they go on as often as in trouble
constexpr int kAsks = 20;               // times that a process which has just begun asks

}  // namespace

void ZoneFailover::SendState(Micros now, int to, std::vector<OutgoingMessage>* out) {
  Message w;
  w.zone = options_.zone;
  w.at = now / 1000 * 1000;
  w.requests_state = asks_ && asked_ < kAsks;
  for (const auto& [key, o] : orders_)
    if (o.number > 0) w.orders.push_back(o);
  // In another order each time: where there is no room for all, each has its turn.
  for (const auto& [key, v] : verdicts_)
    if (v.number > 0) w.decisions.push_back(v);
  if (!w.decisions.empty())
    std::rotate(w.decisions.begin(),
                w.decisions.begin() + static_cast<std::ptrdiff_t>(ring_ % w.decisions.size()),
                w.decisions.end());
  // What this node sees, then what others saw: what is bad, and what was said least, first.
  std::vector<Held*> held;
  for (auto& [key, h] : reports_) {
    const Report& r = h.report;
    if (r.reporter == options_.self) held.insert(held.begin(), &h);
    if (r.reporter == options_.self || r.reporter == to) continue;
    if (r.reported_at >= now - options_.evidence_ttl || r.decision_number > 0) held.push_back(&h);
  }
  const auto rank = [&](const Held* h) {
    const Report& r = h->report;
    const bool bad = r.tried > 0 && r.bad >= options_.bad_fraction * r.tried;
    return std::tuple(r.reporter != options_.self, !bad, h->said);
  };
  std::stable_sort(held.begin(), held.end(),
                   [&](const Held* a, const Held* b) { return rank(a) < rank(b); });
  for (const Held* h : held) w.reports.push_back(h->report);
  int left = 0;
  out->push_back({to, Encode(w, options_.max_message_bytes, &left)});
  if (out->back().section.empty()) return out->pop_back();
  const std::size_t said =
      w.orders.size() + w.decisions.size() + w.reports.size() - static_cast<std::size_t>(left);
  const std::size_t before = w.orders.size() + w.decisions.size();
  for (std::size_t i = 0; before + i < said; ++i) ++held[i]->said;
  ++figures_.messages_sent;
  figures_.entries_omitted += static_cast<std::uint64_t>(left);
}

void ZoneFailover::Tick(Micros now, const std::vector<int>& alive, bool doubts,
                        std::vector<OutgoingMessage>* out) {
  if (now < next_) return;
  next_ = now + options_.send_interval;
  alive_ = alive;
  doubts_ = doubts;
  bool others = options_.nodes > 1, heard = false;
  for (const int n : alive)
    if (const auto it = zone_of_.find(n); it != zone_of_.end() && it->second != options_.zone)
      heard = true;
  UpdateReports(now, others && !heard);
  // Reports of nodes long gone say nothing.
  for (auto it = reports_.begin(); it != reports_.end();)
    it = it->first.second != options_.self &&
                 it->second.report.reported_at < now - options_.evidence_ttl - kActive
             ? reports_.erase(it)
             : std::next(it);
  Judge(now);
  UpdateStandings(now);
  bool trouble = false;
  for (const auto& [key, h] : reports_)
    trouble =
        trouble || (h.report.reported_at >= now - options_.evidence_ttl &&
                    h.report.bad >= options_.bad_fraction * h.report.tried && h.report.tried > 0);
  for (const auto& [key, v] : verdicts_) trouble = trouble || v.step != kInUse;
  if (trouble || urgent_) active_until_ = now + kActive;
  const bool active = now < active_until_ || asks_;
  if (alive.empty() || (!active && now < said_ + kQuiet * options_.send_interval)) return;
  said_ = now;
  const auto many = static_cast<std::size_t>(active ? options_.fanout + (urgent_ ? 1 : 0) : 1);
  urgent_ = false;
  // Drawn by each node for itself: in one order for all, all would tell the same few.
  std::vector<int> others_now = alive;
  for (std::size_t i = 0; i < std::min(alive.size(), many); ++i) {
    const std::uint64_t draw = Mix((static_cast<std::uint64_t>(options_.self) << 40) + ++ring_);
    std::swap(others_now[i], others_now[i + draw % (others_now.size() - i)]);
    SendState(now, others_now[i], out);
  }
  if (asks_ && ++asked_ >= kAsks) asks_ = false;
}

void ZoneFailover::OnMessage(Micros now, int from, std::uint64_t process, std::string_view section,
                             std::vector<OutgoingMessage>* out) {
  const auto w = Decode(section);
  if (!w || from < 0 || from >= options_.nodes || from == options_.self) {
    ++figures_.malformed;
    return;
  }
  // What lay in the socket of a process that was stopped is no news.
  if (w->at < now - options_.evidence_ttl) {
    ++figures_.stale;
    return;
  }
  zone_of_[from] = w->zone;
  for (const Report& r : w->reports) {
    const Target* t = Find(r.target);
    if (t == nullptr || t->zones.size() != 1 || r.reporter == options_.self || r.reporter < 0 ||
        r.reporter >= options_.nodes || r.reported_at > now + options_.evidence_ttl)
      continue;
    // A node speaks for itself under its own process only.
    if (r.reporter == from && r.reporter_process != process) continue;
    Held& held = reports_[{r.target, r.reporter}];
    if (held.report.sequence > 0 && !Later(r, held.report)) continue;
    held = {r, 0};
    zone_of_[r.reporter] = r.reporter_zone;
  }
  for (const Order& o : w->orders) HearOrder(o);
  for (const Decision& v : w->decisions) HearVerdict(now, from, v);
  if (!w->requests_state) asks_ = false;
  UpdateStandings(now);
  const bool knows = !orders_.empty() || !verdicts_.empty();
  if (w->requests_state && knows) SendState(now, from, out);
}

}  // namespace pearreach::zones
