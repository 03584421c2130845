// The exchange of messages about zones: contents, receivers and intervals.
#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "node/zones/mix.h"
#include "node/zones/zones.h"

namespace pearreach::zones {
namespace {

constexpr int kIdleIntervals = 4;             // send intervals between messages without a fault
constexpr Micros kActiveMicros = 10'000'000;  // after a change, messages keep the short interval
constexpr int kMaxStateRequests = 20;         // by a process that has just started

}  // namespace

void ZoneFailover::SendState(Micros now, int to, std::vector<OutgoingMessage>* out) {
  Message w;
  w.zone = options_.zone;
  w.at = now / 1000 * 1000;
  w.requests_state = requests_state_ && state_requests_ < kMaxStateRequests;
  for (const auto& [key, o] : orders_)
    if (o.number > 0) w.orders.push_back(o);
  // Rotates the order, so that each decision gets its turn if there is no room for all.
  for (const auto& [key, v] : decisions_)
    if (v.number > 0) w.decisions.push_back(v);
  if (!w.decisions.empty())
    std::rotate(w.decisions.begin(),
                w.decisions.begin() + static_cast<std::ptrdiff_t>(sends_ % w.decisions.size()),
                w.decisions.end());
  // This node's own reports first, then bad ones, then those sent least often.
  std::vector<StoredReport*> known;
  for (auto& [key, h] : reports_) {
    const Report& r = h.report;
    if (r.reporter == options_.self) known.insert(known.begin(), &h);
    if (r.reporter == options_.self || r.reporter == to) continue;
    if (r.reported_at >= now - options_.evidence_ttl || r.decision_number > 0) known.push_back(&h);
  }
  const auto rank = [&](const StoredReport* h) {
    const Report& r = h->report;
    const bool bad = r.tried > 0 && r.bad >= options_.bad_fraction * r.tried;
    return std::tuple(r.reporter != options_.self, !bad, h->times_sent);
  };
  std::stable_sort(known.begin(), known.end(),
                   [&](const StoredReport* a, const StoredReport* b) { return rank(a) < rank(b); });
  for (const StoredReport* h : known) w.reports.push_back(h->report);
  int omitted = 0;
  out->push_back({to, Encode(w, options_.max_message_bytes, &omitted)});
  if (out->back().section.empty()) return out->pop_back();
  const std::size_t sent =
      w.orders.size() + w.decisions.size() + w.reports.size() - static_cast<std::size_t>(omitted);
  const std::size_t before = w.orders.size() + w.decisions.size();
  for (std::size_t i = 0; before + i < sent; ++i) ++known[i]->times_sent;
  ++stats_.messages_sent;
  stats_.entries_omitted += static_cast<std::uint64_t>(omitted);
}

void ZoneFailover::Tick(Micros now, const std::vector<int>& alive, bool doubts,
                        std::vector<OutgoingMessage>* out) {
  if (now < next_tick_) return;
  next_tick_ = now + options_.send_interval;
  alive_ = alive;
  doubts_ = doubts;
  bool others = options_.nodes > 1, other_zone_alive = false;
  for (const int n : alive)
    if (const auto it = peer_zones_.find(n); it != peer_zones_.end() && it->second != options_.zone)
      other_zone_alive = true;
  UpdateReports(now, others && !other_zone_alive);
  // Drops expired reports of other nodes.
  for (auto it = reports_.begin(); it != reports_.end();)
    it = it->first.second != options_.self &&
                 it->second.report.reported_at < now - options_.evidence_ttl - kActiveMicros
             ? reports_.erase(it)
             : std::next(it);
  Evaluate(now);
  UpdateStatuses(now);
  bool fault = false;
  for (const auto& [key, h] : reports_)
    fault = fault || (h.report.reported_at >= now - options_.evidence_ttl &&
                      h.report.bad >= options_.bad_fraction * h.report.tried && h.report.tried > 0);
  for (const auto& [key, v] : decisions_) fault = fault || v.step != kInUse;
  if (fault || urgent_) active_until_ = now + kActiveMicros;
  const bool active = now < active_until_ || requests_state_;
  if (alive.empty() || (!active && now < last_sent_at_ + kIdleIntervals * options_.send_interval))
    return;
  last_sent_at_ = now;
  const auto many = static_cast<std::size_t>(active ? options_.fanout + (urgent_ ? 1 : 0) : 1);
  urgent_ = false;
  // Each node chooses its own receivers: with a common order all would send to the same few nodes.
  std::vector<int> others_now = alive;
  for (std::size_t i = 0; i < std::min(alive.size(), many); ++i) {
    const std::uint64_t draw = Mix((static_cast<std::uint64_t>(options_.self) << 40) + ++sends_);
    std::swap(others_now[i], others_now[i + draw % (others_now.size() - i)]);
    SendState(now, others_now[i], out);
  }
  if (requests_state_ && ++state_requests_ >= kMaxStateRequests) requests_state_ = false;
}

void ZoneFailover::OnMessage(Micros now, int from, std::uint64_t process, std::string_view section,
                             std::vector<OutgoingMessage>* out) {
  const auto w = Decode(section);
  if (!w || from < 0 || from >= options_.nodes || from == options_.self) {
    ++stats_.malformed;
    return;
  }
  // Ignores messages that waited in the socket while this process was stopped.
  if (w->at < now - options_.evidence_ttl) {
    ++stats_.stale;
    return;
  }
  peer_zones_[from] = w->zone;
  for (const Report& r : w->reports) {
    const Target* t = FindTarget(r.target);
    if (t == nullptr || t->zones.size() != 1 || r.reporter == options_.self || r.reporter < 0 ||
        r.reporter >= options_.nodes || r.reported_at > now + options_.evidence_ttl)
      continue;
    // Accepts a sender's own report only from its current process.
    if (r.reporter == from && r.reporter_process != process) continue;
    StoredReport& known = reports_[{r.target, r.reporter}];
    if (known.report.sequence > 0 && !Supersedes(r, known.report)) continue;
    known = {r, 0};
    peer_zones_[r.reporter] = r.reporter_zone;
  }
  for (const Order& o : w->orders) MergeOrder(o);
  for (const Decision& v : w->decisions) MergeDecision(now, from, v);
  if (!w->requests_state) requests_state_ = false;
  UpdateStatuses(now);
  const bool has_state = !orders_.empty() || !decisions_.empty();
  if (w->requests_state && has_state) SendState(now, from, out);
}

}  // namespace pearreach::zones
