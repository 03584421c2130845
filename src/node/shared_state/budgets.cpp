#include "node/shared_state/budgets.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr double kMinDecayMicros = 1e6, kMaxDecayMicros = 30e6;  // bounds of the decay time
// The decay time is that of this many units at the even share: at a low rate a single unit is no
// evidence of demand.
constexpr double kDemandJobs = 4;
constexpr double kMinGrant = 0.05;   // of an even share; less is not worth a message
constexpr double kMinLimit = 0.001;  // per second
constexpr double kMaxAmount = 1e15;

std::int64_t Thousandths(double amount) { return static_cast<std::int64_t>(amount * 1000); }

}  // namespace

Budgets::Budgets(BudgetsOptions options, std::uint64_t process, std::uint64_t seed, Micros now)
    : options_(std::move(options)),
      process_(process),
      started_at_(now),
      part_count_(std::max(1, options_.nodes)),
      random_(seed),
      states_(options_.limits.size()) {
  for (int k = 0; k < budgets(); ++k) {
    At(k).updated_at = At(k).demand_at = now;
    // Starts without saved-up tokens: the previous process may have spent them.
    At(k).tokens = 0;
  }
}

double Budgets::limit(Micros now, int budget) const {
  const BudgetState& o = At(budget);
  const double mine = options_.limits[static_cast<std::size_t>(budget)];
  return o.remote_limit_until > now ? std::min(mine, o.remote_limit) : mine;
}
void Budgets::SetLimit(Micros now, int budget, double limit) {
  if (!Valid(budget)) return;
  Refill(now, budget);
  options_.limits[static_cast<std::size_t>(budget)] = std::max(limit, kMinLimit);
}
void Budgets::SetPartCount(Micros now, int parts) {
  for (int k = 0; k < budgets(); ++k) Refill(now, k);
  part_count_ = std::max({1, options_.nodes, parts});
}

// Rounded down, so that the shares never add up to more than the limit.
std::int64_t Budgets::even_share(Micros now, int budget) const {
  return Thousandths(limit(now, budget)) / part_count_;
}
std::int64_t Budgets::floor(int budget) const {
  const std::int64_t even =
      Thousandths(options_.limits[static_cast<std::size_t>(budget)]) / part_count_;
  return static_cast<std::int64_t>(options_.floor * static_cast<double>(even));
}

// Even the floor can save up one whole unit: with many nodes a floor is less than one unit per
// second.
double Budgets::burst_seconds(int budget) const {
  return std::max(options_.burst,
                  1000.0 / static_cast<double>(std::max<std::int64_t>(1, floor(budget))));
}

bool Budgets::in_startup_quarantine(Micros now) const {
  return !disabled_.startup_quarantine && now < started_at_ + options_.lease + 2 * options_.skew;
}

// Counts the largest valid loan of each receiver: a later, smaller grant may not have arrived.
std::int64_t Budgets::lent(Micros now, int budget) const {
  if (disabled_.deduct_lent) return 0;
  std::int64_t sum = 0;
  for (const auto& [to, loans] : At(budget).loans) {
    std::int64_t most = 0;
    for (const Loan& l : loans)
      if (now < l.expires_at + options_.skew) most = std::max(most, l.amount);
    sum += most;
  }
  return sum;
}

std::int64_t Budgets::borrowed(Micros now, int budget) const {
  std::int64_t sum = 0;
  for (const auto& [from, g] : At(budget).borrowed_from)
    if (disabled_.grant_expiry || now < g.expires_at - options_.skew) sum += g.amount;
  return sum;
}

std::int64_t Budgets::allocation(Micros now, int budget) const {
  const std::int64_t least = std::min(floor(budget), even_share(now, budget));
  const std::int64_t rest =
      in_startup_quarantine(now)
          ? 0
          : std::max<std::int64_t>(0, even_share(now, budget) - least - lent(now, budget));
  return least + rest + borrowed(now, budget);
}

double Budgets::DemandDecayMicros(int budget) const {
  const double even = options_.limits[static_cast<std::size_t>(budget)] / part_count_;
  return std::clamp(kDemandJobs * 1e6 / std::max(even, 1e-3), kMinDecayMicros, kMaxDecayMicros);
}

double Budgets::Demand(Micros now, int budget) const {
  const BudgetState& o = At(budget);
  return o.demand * std::exp(-static_cast<double>(now - o.demand_at) / DemandDecayMicros(budget));
}

// The allocation changes when a lease ends, so that each interval between two ends is refilled at
// its own rate. Saved-up tokens never exceed the burst of the current allocation, which bounds
// those of all nodes together.
double Budgets::Tokens(Micros now, int budget) const {
  const BudgetState& o = At(budget);
  if (now <= o.updated_at)
    return std::min(o.tokens,
                    burst_seconds(budget) * static_cast<double>(allocation(o.updated_at, budget)));
  std::vector<Micros> ends = {now};
  const auto add = [&](Micros at) {
    if (at > o.updated_at && at < now) ends.push_back(at);
  };
  for (const auto& [to, loans] : o.loans)
    for (const Loan& l : loans) add(l.expires_at + options_.skew);
  for (const auto& [from, g] : o.borrowed_from) add(g.expires_at - options_.skew);
  add(started_at_ + options_.lease + 2 * options_.skew);
  add(o.remote_limit_until);
  std::sort(ends.begin(), ends.end());
  double tokens = o.tokens;
  Micros at = o.updated_at;
  for (const Micros end : ends) {
    const double rate = static_cast<double>(allocation(at, budget));
    tokens =
        std::min(burst_seconds(budget) * rate, tokens + rate * static_cast<double>(end - at) / 1e6);
    at = end;
  }
  return std::min(tokens, burst_seconds(budget) * static_cast<double>(allocation(now, budget)));
}

void Budgets::Refill(Micros now, int budget) {
  BudgetState& o = At(budget);
  o.tokens = Tokens(now, budget);
  o.updated_at = std::max(o.updated_at, now);
  for (auto it = o.loans.begin(); it != o.loans.end();) {
    std::erase_if(it->second, [&](const Loan& l) { return now >= l.expires_at + options_.skew; });
    it = it->second.empty() ? o.loans.erase(it) : std::next(it);
  }
  if (!disabled_.grant_expiry)
    std::erase_if(o.borrowed_from,
                  [&](const auto& g) { return now >= g.second.expires_at + options_.lease; });
}

bool Budgets::CanSpend(Micros now, int budget, double amount) const {
  return !Valid(budget) || Tokens(now, budget) >= amount * 1000;
}

bool Budgets::TrySpend(Micros now, int budget, double amount, Micros* wait) {
  if (!Valid(budget)) return true;
  BudgetState& o = At(budget);
  o.demand = Demand(now, budget) + amount * 1e6 / DemandDecayMicros(budget);
  o.demand_at = now;
  Refill(now, budget);
  if (o.tokens < amount * 1000) {
    const double rate = static_cast<double>(allocation(now, budget));
    if (wait != nullptr)
      *wait = rate > 0 ? static_cast<Micros>((amount * 1000 - o.tokens) / rate * 1e6) + 1
                       : options_.lease;
    return false;
  }
  o.tokens -= amount * 1000;
  o.spent += amount;
  return true;
}

// Renews existing loans before their leases end, then requests the rest from one random node.
std::vector<Budgets::OutgoingRequest> Budgets::PlanRequests(Micros now,
                                                            const std::vector<int>& alive) {
  std::vector<OutgoingRequest> requests;
  for (int k = 0; k < budgets(); ++k) {
    BudgetState& o = At(k);
    if (now < o.last_request_at + options_.request_interval) continue;
    const auto wanted = static_cast<std::int64_t>(options_.headroom * 1000 * Demand(now, k));
    Refill(now, k);
    const std::int64_t least =
        static_cast<std::int64_t>(kMinGrant * static_cast<double>(even_share(now, k)));
    const std::int64_t own = allocation(now, k) - borrowed(now, k);
    bool requested = false;
    for (const auto& [from, g] : o.borrowed_from) {
      if (g.amount <= 0 || now >= g.expires_at - options_.skew ||
          now < g.expires_at - options_.lease * 3 / 4)
        continue;
      const std::int64_t others = borrowed(now, k) - g.amount;
      const std::int64_t amount = std::min(g.amount, wanted - own - others);
      if (amount <= least) continue;
      requests.push_back({from, {k, amount}});
      requested = true;
    }
    const std::int64_t more = wanted - own - borrowed(now, k);
    if (more > least && !alive.empty()) {
      const int to = alive[random_() % alive.size()];
      if (!o.borrowed_from.contains(to) || now >= o.borrowed_from[to].expires_at - options_.skew) {
        requests.push_back({to, {k, more}});
        requested = true;
      }
    }
    if (requested) o.last_request_at = now;
  }
  return requests;
}

std::optional<Grant> Budgets::OnRequest(Micros now, int from, std::uint64_t process,
                                        const QuotaRequest& request) {
  if (!Valid(request.budget) || from < 0 || from >= options_.nodes || from == options_.self ||
      request.amount <= 0 || static_cast<double>(request.amount) > kMaxAmount ||
      in_startup_quarantine(now))
    return std::nullopt;
  BudgetState& o = At(request.budget);
  Refill(now, request.budget);
  const std::int64_t even = even_share(now, request.budget);
  const std::int64_t lendable = even - std::min(floor(request.budget), even);
  std::int64_t already_lent = 0;  // already lent to this node; the new grant replaces it
  for (const Loan& l : o.loans[from]) already_lent = std::max(already_lent, l.amount);
  const std::int64_t free = lendable - lent(now, request.budget) + already_lent;
  const auto reserved =
      static_cast<std::int64_t>(options_.headroom * 1000 * Demand(now, request.budget)) -
      std::min(floor(request.budget), even);
  const std::int64_t amount = std::min(request.amount, free - std::max<std::int64_t>(0, reserved));
  if (static_cast<double>(amount) < kMinGrant * static_cast<double>(even)) return std::nullopt;
  const Grant g{request.budget, ++o.last_grant_number, process, amount, now + options_.lease};
  o.loans[from].push_back({g.amount, g.expires_at});
  // The tokens saved up at the higher allocation are given up with it.
  o.tokens = std::min(o.tokens, burst_seconds(request.budget) *
                                    static_cast<double>(allocation(now, request.budget)));
  return g;
}

void Budgets::OnGrant(Micros now, int from, std::uint64_t process, const Grant& g) {
  if (!Valid(g.budget) || from < 0 || from >= options_.nodes || from == options_.self ||
      g.amount < 0 || static_cast<double>(g.amount) > kMaxAmount)
    return;
  if (g.to_process != process_ && !disabled_.receiver_process) return;
  // An expiry this late comes from a clock that is too far off: the lease would last longer here
  // than at the lender.
  if (g.expires_at > now + options_.lease + options_.skew) return;
  Refill(now, g.budget);
  BorrowedQuota& known = At(g.budget).borrowed_from[from];
  if (process < known.process || (process == known.process && g.number <= known.number)) return;
  known = {process, g.number, g.amount, g.expires_at};
}

void Budgets::OnRemoteLimit(Micros now, int budget, double limit) {
  if (!Valid(budget) || !(limit > 0) || limit >= options_.limits[static_cast<std::size_t>(budget)])
    return;
  Refill(now, budget);
  BudgetState& o = At(budget);
  if (o.remote_limit_until > now && limit > o.remote_limit) return;
  o.remote_limit = limit;
  o.remote_limit_until = std::max(o.remote_limit_until, now + 5 * options_.lease);
}

std::size_t Budgets::bytes() const {
  std::size_t sum = states_.size() * sizeof(BudgetState);
  for (const BudgetState& o : states_) {
    sum += o.borrowed_from.size() * (sizeof(BorrowedQuota) + 48);
    for (const auto& [to, loans] : o.loans) sum += 80 + loans.capacity() * sizeof(Loan);
  }
  return sum;
}

}  // namespace pearreach::shared_state
