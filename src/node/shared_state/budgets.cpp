#include "node/shared_state/budgets.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr double kDemandLeast = 1e6, kDemandMost = 30e6;  // microseconds over which wants fade
constexpr double kDemandJobs = 4;    // and over so many of an even part: of few jobs none says much
constexpr double kMinGrant = 0.05;   // of an even part: less is not worth a word
constexpr double kMinWhole = 0.001;  // a second
constexpr double kMaxAmount = 1e15;

std::int64_t Thousandths(double amount) { return static_cast<std::int64_t>(amount * 1000); }

}  // namespace

Budgets::Budgets(BudgetsOptions options, std::uint64_t process, std::uint64_t seed, Micros now)
    : options_(std::move(options)),
      process_(process),
      began_(now),
      parts_(std::max(1, options_.nodes)),
      random_(seed),
      own_(options_.limits.size()) {
  for (int k = 0; k < budgets(); ++k) {
    At(k).at = At(k).demand_at = now;
    // Nothing is saved up yet: the process before this one may have spent it.
    At(k).tokens = 0;
  }
}

double Budgets::limit(Micros now, int budget) const {
  const Own& o = At(budget);
  const double mine = options_.limits[static_cast<std::size_t>(budget)];
  return o.stricter_until > now ? std::min(mine, o.stricter) : mine;
}
void Budgets::SetLimit(Micros now, int budget, double whole) {
  if (!Valid(budget)) return;
  Refill(now, budget);
  options_.limits[static_cast<std::size_t>(budget)] = std::max(whole, kMinWhole);
}
void Budgets::SetPartCount(Micros now, int parts) {
  for (int k = 0; k < budgets(); ++k) Refill(now, k);
  parts_ = std::max({1, options_.nodes, parts});
}

// Rounded down, so that all together are no more than the whole.
std::int64_t Budgets::even_share(Micros now, int budget) const {
  return Thousandths(limit(now, budget)) / parts_;
}
std::int64_t Budgets::floor(int budget) const {
  const std::int64_t even = Thousandths(options_.limits[static_cast<std::size_t>(budget)]) / parts_;
  return static_cast<std::int64_t>(options_.floor * static_cast<double>(even));
}

// A floor saves up one whole amount at least: where nodes are many a part is less than one a
// second.
double Budgets::burst_seconds(int budget) const {
  return std::max(options_.burst,
                  1000.0 / static_cast<double>(std::max<std::int64_t>(1, floor(budget))));
}

bool Budgets::in_startup_quarantine(Micros now) const {
  return !without_.startup_quarantine && now < began_ + options_.lease + 2 * options_.skew;
}

// To each receiver the most that it may hold: it may not have heard of a later, smaller grant.
std::int64_t Budgets::lent(Micros now, int budget) const {
  if (without_.deduct_lent) return 0;
  std::int64_t sum = 0;
  for (const auto& [to, loans] : At(budget).lent) {
    std::int64_t most = 0;
    for (const Loan& l : loans)
      if (now < l.until + options_.skew) most = std::max(most, l.amount);
    sum += most;
  }
  return sum;
}

std::int64_t Budgets::borrowed(Micros now, int budget) const {
  std::int64_t sum = 0;
  for (const auto& [from, g] : At(budget).got)
    if (without_.grant_expiry || now < g.until - options_.skew) sum += g.amount;
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

double Budgets::Memory(int budget) const {
  const double even = options_.limits[static_cast<std::size_t>(budget)] / parts_;
  return std::clamp(kDemandJobs * 1e6 / std::max(even, 1e-3), kDemandLeast, kDemandMost);
}

double Budgets::Demand(Micros now, int budget) const {
  const Own& o = At(budget);
  return o.demand * std::exp(-static_cast<double>(now - o.demand_at) / Memory(budget));
}

// A part changes when a lease ends: each stretch is filled by its own, and what is saved up is
// never more than the part of the moment allows, so that of all nodes together is bounded too.
double Budgets::Tokens(Micros now, int budget) const {
  const Own& o = At(budget);
  if (now <= o.at)
    return std::min(o.tokens,
                    burst_seconds(budget) * static_cast<double>(allocation(o.at, budget)));
  std::vector<Micros> ends = {now};
  const auto add = [&](Micros at) {
    if (at > o.at && at < now) ends.push_back(at);
  };
  for (const auto& [to, loans] : o.lent)
    for (const Loan& l : loans) add(l.until + options_.skew);
  for (const auto& [from, g] : o.got) add(g.until - options_.skew);
  add(began_ + options_.lease + 2 * options_.skew);
  add(o.stricter_until);
  std::sort(ends.begin(), ends.end());
  double tokens = o.tokens;
  Micros at = o.at;
  for (const Micros end : ends) {
    const double rate = static_cast<double>(allocation(at, budget));
    tokens =
        std::min(burst_seconds(budget) * rate, tokens + rate * static_cast<double>(end - at) / 1e6);
    at = end;
  }
  return std::min(tokens, burst_seconds(budget) * static_cast<double>(allocation(now, budget)));
}

void Budgets::Refill(Micros now, int budget) {
  Own& o = At(budget);
  o.tokens = Tokens(now, budget);
  o.at = std::max(o.at, now);
  for (auto it = o.lent.begin(); it != o.lent.end();) {
    std::erase_if(it->second, [&](const Loan& l) { return now >= l.until + options_.skew; });
    it = it->second.empty() ? o.lent.erase(it) : std::next(it);
  }
  if (!without_.grant_expiry)
    std::erase_if(o.got, [&](const auto& g) { return now >= g.second.until + options_.lease; });
}

bool Budgets::CanSpend(Micros now, int budget, double amount) const {
  return !Valid(budget) || Tokens(now, budget) >= amount * 1000;
}

bool Budgets::TrySpend(Micros now, int budget, double amount, Micros* wait) {
  if (!Valid(budget)) return true;
  Own& o = At(budget);
  o.demand = Demand(now, budget) + amount * 1e6 / Memory(budget);
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

// Asks one node at a time; who gave before is asked again first, before the lease ends.
std::vector<Budgets::OutgoingRequest> Budgets::PlanRequests(Micros now,
                                                            const std::vector<int>& alive) {
  std::vector<OutgoingRequest> wishes;
  for (int k = 0; k < budgets(); ++k) {
    Own& o = At(k);
    if (now < o.asked + options_.request_interval) continue;
    const auto wanted = static_cast<std::int64_t>(options_.headroom * 1000 * Demand(now, k));
    Refill(now, k);
    const std::int64_t least =
        static_cast<std::int64_t>(kMinGrant * static_cast<double>(even_share(now, k)));
    const std::int64_t own = allocation(now, k) - borrowed(now, k);
    bool asked = false;
    for (const auto& [from, g] : o.got) {
      if (g.amount <= 0 || now >= g.until - options_.skew || now < g.until - options_.lease * 3 / 4)
        continue;
      const std::int64_t others = borrowed(now, k) - g.amount;
      const std::int64_t amount = std::min(g.amount, wanted - own - others);
      if (amount <= least) continue;
      wishes.push_back({from, {k, amount}});
      asked = true;
    }
    const std::int64_t more = wanted - own - borrowed(now, k);
    if (more > least && !alive.empty()) {
      const int to = alive[random_() % alive.size()];
      if (!o.got.contains(to) || now >= o.got[to].until - options_.skew) {
        wishes.push_back({to, {k, more}});
        asked = true;
      }
    }
    if (asked) o.asked = now;
  }
  return wishes;
}

std::optional<Grant> Budgets::OnRequest(Micros now, int from, std::uint64_t process,
                                        const QuotaRequest& ask) {
  if (!Valid(ask.budget) || from < 0 || from >= options_.nodes || from == options_.self ||
      ask.amount <= 0 || static_cast<double>(ask.amount) > kMaxAmount || in_startup_quarantine(now))
    return std::nullopt;
  Own& o = At(ask.budget);
  Refill(now, ask.budget);
  const std::int64_t even_part = even_share(now, ask.budget);
  const std::int64_t movable = even_part - std::min(floor(ask.budget), even_part);
  std::int64_t to_it = 0;  // what it may hold of ours anyhow
  for (const Loan& l : o.lent[from]) to_it = std::max(to_it, l.amount);
  const std::int64_t free = movable - lent(now, ask.budget) + to_it;
  const auto kept = static_cast<std::int64_t>(options_.headroom * 1000 * Demand(now, ask.budget)) -
                    std::min(floor(ask.budget), even_part);
  const std::int64_t amount = std::min(ask.amount, free - std::max<std::int64_t>(0, kept));
  if (static_cast<double>(amount) < kMinGrant * static_cast<double>(even_part)) return std::nullopt;
  const Grant g{ask.budget, ++o.number, process, amount, now + options_.lease};
  o.lent[from].push_back({g.amount, g.expires_at});
  // What was saved up of it goes with it.
  o.tokens = std::min(o.tokens,
                      burst_seconds(ask.budget) * static_cast<double>(allocation(now, ask.budget)));
  return g;
}

void Budgets::OnGrant(Micros now, int from, std::uint64_t process, const Grant& g) {
  if (!Valid(g.budget) || from < 0 || from >= options_.nodes || from == options_.self ||
      g.amount < 0 || static_cast<double>(g.amount) > kMaxAmount)
    return;
  if (g.to_process != process_ && !without_.receiver_process) return;
  // A clock so far off that the lease would outlast the giver's is not believed.
  if (g.expires_at > now + options_.lease + options_.skew) return;
  Refill(now, g.budget);
  Got& held = At(g.budget).got[from];
  if (process < held.process || (process == held.process && g.number <= held.number)) return;
  held = {process, g.number, g.amount, g.expires_at};
}

void Budgets::OnRemoteLimit(Micros now, int budget, double whole) {
  if (!Valid(budget) || !(whole > 0) || whole >= options_.limits[static_cast<std::size_t>(budget)])
    return;
  Refill(now, budget);
  Own& o = At(budget);
  if (o.stricter_until > now && whole > o.stricter) return;
  o.stricter = whole;
  o.stricter_until = std::max(o.stricter_until, now + 5 * options_.lease);
}

std::size_t Budgets::bytes() const {
  std::size_t sum = own_.size() * sizeof(Own);
  for (const Own& o : own_) {
    sum += o.got.size() * (sizeof(Got) + 48);
    for (const auto& [to, loans] : o.lent) sum += 80 + loans.capacity() * sizeof(Loan);
  }
  return sum;
}

}  // namespace pearreach::shared_state
