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

void Zones::SendState(Micros now, int to, std::vector<Out>* out) {
  Message w;
  w.zone = options_.zone;
  w.at = now / 1000 * 1000;
  w.asks = asks_ && asked_ < kAsks;
  for (const auto& [key, o] : orders_)
    if (o.number > 0) w.orders.push_back(o);
  // In another order each time: where there is no room for all, each has its turn.
  for (const auto& [key, v] : verdicts_)
    if (v.number > 0) w.verdicts.push_back(v);
  if (!w.verdicts.empty())
    std::rotate(w.verdicts.begin(),
                w.verdicts.begin() + static_cast<std::ptrdiff_t>(ring_ % w.verdicts.size()),
                w.verdicts.end());
  // What this node sees, then what others saw: what is bad, and what was said least, first.
  std::vector<Held*> held;
  for (auto& [key, h] : reports_) {
    const Report& r = h.report;
    if (r.witness == options_.self) held.insert(held.begin(), &h);
    if (r.witness == options_.self || r.witness == to) continue;
    if (r.at >= now - options_.fresh || r.about > 0) held.push_back(&h);
  }
  const auto rank = [&](const Held* h) {
    const Report& r = h->report;
    const bool bad = r.tried > 0 && r.bad >= options_.bad * r.tried;
    return std::tuple(r.witness != options_.self, !bad, h->said);
  };
  std::stable_sort(held.begin(), held.end(),
                   [&](const Held* a, const Held* b) { return rank(a) < rank(b); });
  for (const Held* h : held) w.reports.push_back(h->report);
  int left = 0;
  out->push_back({to, Encode(w, options_.bytes, &left)});
  if (out->back().section.empty()) return out->pop_back();
  const std::size_t said =
      w.orders.size() + w.verdicts.size() + w.reports.size() - static_cast<std::size_t>(left);
  const std::size_t before = w.orders.size() + w.verdicts.size();
  for (std::size_t i = 0; before + i < said; ++i) ++held[i]->said;
  ++figures_.words;
  figures_.left_out += static_cast<std::uint64_t>(left);
}

void Zones::Tick(Micros now, const std::vector<int>& alive, bool doubts, std::vector<Out>* out) {
  if (now < next_) return;
  next_ = now + options_.every;
  alive_ = alive;
  doubts_ = doubts;
  bool others = options_.nodes > 1, heard = false;
  for (const int n : alive)
    if (const auto it = zone_of_.find(n); it != zone_of_.end() && it->second != options_.zone)
      heard = true;
  UpdateReports(now, others && !heard);
  // Reports of nodes long gone say nothing.
  for (auto it = reports_.begin(); it != reports_.end();)
    it = it->first.second != options_.self && it->second.report.at < now - options_.fresh - kActive
             ? reports_.erase(it)
             : std::next(it);
  Judge(now);
  UpdateStandings(now);
  bool trouble = false;
  for (const auto& [key, h] : reports_)
    trouble = trouble || (h.report.at >= now - options_.fresh &&
                          h.report.bad >= options_.bad * h.report.tried && h.report.tried > 0);
  for (const auto& [key, v] : verdicts_) trouble = trouble || v.step != kWhole;
  if (trouble || urgent_) active_until_ = now + kActive;
  const bool active = now < active_until_ || asks_;
  if (alive.empty() || (!active && now < said_ + kQuiet * options_.every)) return;
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

void Zones::Hear(Micros now, int from, std::uint64_t process, std::string_view section,
                 std::vector<Out>* out) {
  const auto w = Decode(section);
  if (!w || from < 0 || from >= options_.nodes || from == options_.self) {
    ++figures_.malformed;
    return;
  }
  // What lay in the socket of a process that was stopped is no news.
  if (w->at < now - options_.fresh) {
    ++figures_.old;
    return;
  }
  zone_of_[from] = w->zone;
  for (const Report& r : w->reports) {
    const Target* t = Find(r.target);
    if (t == nullptr || t->zones.size() != 1 || r.witness == options_.self || r.witness < 0 ||
        r.witness >= options_.nodes || r.at > now + options_.fresh)
      continue;
    // A node speaks for itself under its own process only.
    if (r.witness == from && r.process != process) continue;
    Held& held = reports_[{r.target, r.witness}];
    if (held.report.number > 0 && !Later(r, held.report)) continue;
    held = {r, 0};
    zone_of_[r.witness] = r.zone;
  }
  for (const Order& o : w->orders) HearOrder(o);
  for (const Verdict& v : w->verdicts) HearVerdict(now, from, v);
  if (!w->asks) asks_ = false;
  UpdateStandings(now);
  const bool knows = !orders_.empty() || !verdicts_.empty();
  if (w->asks && knows) SendState(now, from, out);
}

}  // namespace pearreach::zones
