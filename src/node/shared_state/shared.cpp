#include "node/shared_state/shared.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr std::size_t kMaxHealthReports = 6;  // per message; the rest of the room is for usage
constexpr std::size_t kMaxRelayed = 12;       // entries tried per message

UsageOptions ForUsage(const SharedStateOptions& o) {
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
WorkerHealthOptions ForHealth(const SharedStateOptions& o) {
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
      usage_(ForUsage(options_), process, now),
      budgets_(ForBudgets(options_), process, seed, now),
      health_(ForHealth(options_), process),
      next_tick_(now),
      next_peer_(static_cast<std::size_t>(seed % 1000)) {}

// The usage ceiling and the retry budget are hard limits: a job beyond them is rejected with the
// time to wait. A job beyond its account's quota is admitted, at the value of such jobs.
SharedState::Admission SharedState::Admit(Micros now, int account, bool is_repeat) {
  Admission a;
  if (is_repeat && options_.retry_limit > 0 &&
      !budgets_.TrySpend(now, static_cast<int>(options_.quotas.size()), 1, &a.retry_after)) {
    ++stats_.rejected_by_retry_limit;
    a.rejected = true;
    return a;
  }
  if (account < 0 || account >= usage_.accounts()) return a;
  if (!usage_.TryCount(now, account, &a.retry_after)) {
    ++stats_.rejected_by_ceiling;
    a.rejected = true;
    return a;
  }
  a.over_quota = !budgets_.TrySpend(now, account, 1, nullptr);
  return a;
}

void SharedState::QueueMessage(Micros now, int to, std::vector<QuotaRequest> requests,
                               std::vector<Grant> grants, std::vector<OutgoingMessage>* out) {
  Message message;
  message.zone = options_.zone;
  message.at = now;
  message.requests = std::move(requests);
  message.grants = std::move(grants);
  message.health_reports = health_.TakeReportsToSend(now, kMaxHealthReports);
  const auto accounts = static_cast<std::size_t>(usage_.accounts());
  // A ceiling binds this node from now on, even if its entry does not fit into the message; that
  // errs on the safe side.
  for (std::size_t i = 0; i < std::min<std::size_t>(accounts, 16); ++i) {
    const int k = static_cast<int>((next_account_ + i) % accounts);
    message.own_usage.push_back(usage_.MakeUpdate(now, k));
    message.limits.push_back(budgets_.limit(now, k));
  }
  if (accounts > 16) next_account_ = (next_account_ + 16) % accounts;
  // If a round does not reach all nodes, messages relay the usage of other nodes.
  if (options_.nodes - 1 > options_.fanout && accounts > 0)
    for (std::size_t i = 0; i < kMaxRelayed; ++i) {
      next_relayed_ = (next_relayed_ + 1) % (static_cast<std::size_t>(options_.nodes) * accounts);
      const int node = static_cast<int>(next_relayed_ / accounts);
      if (node == to || node == options_.self) continue;
      const auto update = usage_.latest(node, static_cast<int>(next_relayed_ % accounts));
      if (update && update->at > now - options_.window) message.relayed_usage.push_back(*update);
    }
  if (message.own_usage.empty() && message.relayed_usage.empty() &&
      message.health_reports.empty() && message.requests.empty() && message.grants.empty())
    return;
  int omitted = 0;
  out->push_back({to, Encode(message, options_.max_message_bytes, &omitted)});
  if (out->back().section.empty()) return out->pop_back();
  ++stats_.messages_sent;
  stats_.entries_omitted += static_cast<std::uint64_t>(omitted);
}

void SharedState::Tick(Micros now, const std::vector<int>& alive,
                       std::vector<OutgoingMessage>* out) {
  if (now < next_tick_) return;
  next_tick_ = now + options_.send_interval;
  std::map<int, std::vector<QuotaRequest>> requests;
  for (const Budgets::OutgoingRequest& r : budgets_.PlanRequests(now, alive))
    requests[r.to].push_back(r.request);
  stats_.requests_sent += requests.size();
  for (std::size_t i = 0; i < std::min(alive.size(), static_cast<std::size_t>(options_.fanout));
       ++i) {
    const int to = alive[(next_peer_ + i) % alive.size()];
    const auto it = requests.find(to);
    QueueMessage(now, to,
                 it == requests.end() ? std::vector<QuotaRequest>() : std::exchange(it->second, {}),
                 {}, out);
    if (it != requests.end()) requests.erase(it);
  }
  next_peer_ += static_cast<std::size_t>(options_.fanout);
  for (auto& [to, list] : requests) QueueMessage(now, to, std::move(list), {}, out);
}

void SharedState::OnMessage(Micros now, int from, std::uint64_t process, std::string_view section,
                            std::vector<OutgoingMessage>* out) {
  const auto message = Decode(section, from, process);
  if (!message) {
    ++stats_.malformed;
    return;
  }
  for (std::size_t i = 0; i < message->own_usage.size(); ++i) {
    stats_.updates_merged += usage_.Merge(now, message->own_usage[i]) ? 1 : 0;
    // While a node reports a lower quota from older settings, the lower of the two applies.
    if (message->own_usage[i].account < 0 || message->own_usage[i].account >= usage_.accounts())
      continue;
    const double own_quota =
        options_.quotas[static_cast<std::size_t>(message->own_usage[i].account)];
    if (message->limits[i] > 0 && message->limits[i] < own_quota - 0.001) {
      limits_differ_ = true;
      if (message->at > now - 2 * options_.lease)
        budgets_.OnRemoteLimit(now, message->own_usage[i].account, message->limits[i]);
    }
  }
  for (const UsageUpdate& c : message->relayed_usage) usage_.Merge(now, c);
  for (const HealthReport& o : message->health_reports) health_.Merge(now, o);
  for (const Grant& g : message->grants) {
    ++stats_.grants_received;
    budgets_.OnGrant(now, from, process, g);
  }
  // An old request no longer reflects what the other node needs.
  if (message->at < now - options_.lease) return;
  std::vector<Grant> grants;
  for (const QuotaRequest& a : message->requests)
    if (const auto g = budgets_.OnRequest(now, from, process, a)) grants.push_back(*g);
  stats_.grants_sent += grants.size();
  if (!grants.empty()) QueueMessage(now, from, {}, std::move(grants), out);
}

}  // namespace pearreach::shared_state
