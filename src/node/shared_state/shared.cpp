#include "node/shared_state/shared.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr std::size_t kMaxOpinions = 6;  // in a word: the rest is the counts'
constexpr std::size_t kRelayed = 12;     // tried for the room that is left

UsageOptions ForCounts(const SharedStateOptions& o) {
  UsageOptions c;
  c.self = o.self;
  c.nodes = o.nodes;
  c.quotas = o.quotas;
  c.window = o.window;
  c.lease = o.lease / 2;
  c.skew = o.skew;
  return c;
}
BudgetsOptions ForBudgets(const SharedStateOptions& o) {
  BudgetsOptions b;
  b.self = o.self;
  b.nodes = o.nodes;
  b.limits = o.quotas;
  if (o.retry_limit > 0) b.limits.push_back(o.retry_limit);
  b.floor = o.floor;
  b.lease = o.lease;
  b.skew = o.skew;
  return b;
}
WorkerHealthOptions ForJudgements(const SharedStateOptions& o) {
  WorkerHealthOptions j = o.health;
  j.self = o.self;
  j.nodes = o.nodes;
  j.zone = o.zone;
  j.zones = o.zones;
  return j;
}

}  // namespace

SharedState::SharedState(SharedStateOptions options, std::uint64_t process, std::uint64_t seed,
                         Micros now)
    : options_(std::move(options)),
      process_(process),
      counts_(ForCounts(options_), process, now),
      budgets_(ForBudgets(options_), process, seed, now),
      judgements_(ForJudgements(options_), process),
      next_(now),
      ring_(static_cast<std::size_t>(seed % 1000)) {}

// A ceiling and the repeats' budget are limits: beyond them a job is refused, with when there will
// be room. Beyond its share an account's job is taken, at the worth that such jobs have.
SharedState::Admission SharedState::Admit(Micros now, int account, bool is_repeat) {
  Admission a;
  if (is_repeat && options_.retry_limit > 0 &&
      !budgets_.TrySpend(now, static_cast<int>(options_.quotas.size()), 1, &a.retry_after)) {
    ++figures_.rejected_by_retry_limit;
    a.rejected = true;
    return a;
  }
  if (account < 0 || account >= counts_.accounts()) return a;
  if (!counts_.TryCount(now, account, &a.retry_after)) {
    ++figures_.rejected_by_ceiling;
    a.rejected = true;
    return a;
  }
  a.over_quota = !budgets_.TrySpend(now, account, 1, nullptr);
  return a;
}

void SharedState::Say(Micros now, int to, std::vector<QuotaRequest> asks, std::vector<Grant> grants,
                      std::vector<OutgoingMessage>* out) {
  Message w;
  w.zone = options_.zone;
  w.at = now;
  w.requests = std::move(asks);
  w.grants = std::move(grants);
  w.health_reports = judgements_.TakeReportsToSend(now, kMaxOpinions);
  const auto accounts = static_cast<std::size_t>(counts_.accounts());
  // Ceilings bind from when they are said: those that find no room bind all the same, which is the
  // safe side.
  for (std::size_t i = 0; i < std::min<std::size_t>(accounts, 16); ++i) {
    const int k = static_cast<int>((account_ + i) % accounts);
    w.own_usage.push_back(counts_.MakeUpdate(now, k));
    w.limits.push_back(budgets_.limit(now, k));
  }
  if (accounts > 16) account_ = (account_ + 16) % accounts;
  // Where words go to some only, the others' counts travel through them.
  if (options_.nodes - 1 > options_.fanout && accounts > 0)
    for (std::size_t i = 0; i < kRelayed; ++i) {
      relay_ = (relay_ + 1) % (static_cast<std::size_t>(options_.nodes) * accounts);
      const int node = static_cast<int>(relay_ / accounts);
      if (node == to || node == options_.self) continue;
      const auto held = counts_.latest(node, static_cast<int>(relay_ % accounts));
      if (held && held->at > now - options_.window) w.relayed_usage.push_back(*held);
    }
  if (w.own_usage.empty() && w.relayed_usage.empty() && w.health_reports.empty() &&
      w.requests.empty() && w.grants.empty())
    return;  // nothing to say
  int left = 0;
  out->push_back({to, Encode(w, options_.max_message_bytes, &left)});
  if (out->back().section.empty()) return out->pop_back();
  ++figures_.messages_sent;
  figures_.entries_omitted += static_cast<std::uint64_t>(left);
}

void SharedState::Tick(Micros now, const std::vector<int>& alive,
                       std::vector<OutgoingMessage>* out) {
  if (now < next_) return;
  next_ = now + options_.send_interval;
  std::map<int, std::vector<QuotaRequest>> asks;
  for (const Budgets::OutgoingRequest& w : budgets_.PlanRequests(now, alive))
    asks[w.to].push_back(w.request);
  figures_.requests_sent += asks.size();
  for (std::size_t i = 0; i < std::min(alive.size(), static_cast<std::size_t>(options_.fanout));
       ++i) {
    const int to = alive[(ring_ + i) % alive.size()];
    const auto it = asks.find(to);
    Say(now, to, it == asks.end() ? std::vector<QuotaRequest>() : std::exchange(it->second, {}), {},
        out);
    if (it != asks.end()) asks.erase(it);
  }
  ring_ += static_cast<std::size_t>(options_.fanout);
  for (auto& [to, list] : asks) Say(now, to, std::move(list), {}, out);
}

void SharedState::OnMessage(Micros now, int from, std::uint64_t process, std::string_view section,
                            std::vector<OutgoingMessage>* out) {
  const auto w = Decode(section, from, process);
  if (!w) {
    ++figures_.malformed;
    return;
  }
  for (std::size_t i = 0; i < w->own_usage.size(); ++i) {
    figures_.updates_merged += counts_.Merge(now, w->own_usage[i]) ? 1 : 0;
    // A node on older settings holds the fleet to the stricter of both while it says so.
    if (w->own_usage[i].account < 0 || w->own_usage[i].account >= counts_.accounts()) continue;
    const double mine = options_.quotas[static_cast<std::size_t>(w->own_usage[i].account)];
    if (w->limits[i] > 0 && w->limits[i] < mine - 0.001) {
      differs_ = true;
      if (w->at > now - 2 * options_.lease)
        budgets_.OnRemoteLimit(now, w->own_usage[i].account, w->limits[i]);
    }
  }
  for (const UsageUpdate& c : w->relayed_usage) counts_.Merge(now, c);
  for (const HealthReport& o : w->health_reports) judgements_.Merge(now, o);
  for (const Grant& g : w->grants) {
    ++figures_.grants_received;
    budgets_.OnGrant(now, from, process, g);
  }
  // An old ask is not what the other wants now.
  if (w->at < now - options_.lease) return;
  std::vector<Grant> grants;
  for (const QuotaRequest& a : w->requests)
    if (const auto g = budgets_.OnRequest(now, from, process, a)) grants.push_back(*g);
  figures_.grants_sent += grants.size();
  if (!grants.empty()) Say(now, from, {}, std::move(grants), out);
}

}  // namespace pearreach::shared_state
