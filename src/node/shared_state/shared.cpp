#include "node/shared_state/shared.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr std::size_t kMaxOpinions = 6;  // in a word: the rest is the counts'
constexpr std::size_t kRelayed = 12;     // tried for the room that is left

CountsOptions ForCounts(const SharedOptions& o) {
  CountsOptions c;
  c.self = o.self;
  c.nodes = o.nodes;
  c.shares = o.shares;
  c.window = o.window;
  c.lease = o.lease / 2;
  c.skew = o.skew;
  return c;
}
BudgetsOptions ForBudgets(const SharedOptions& o) {
  BudgetsOptions b;
  b.self = o.self;
  b.nodes = o.nodes;
  b.wholes = o.shares;
  if (o.repeats > 0) b.wholes.push_back(o.repeats);
  b.floor = o.floor;
  b.lease = o.lease;
  b.skew = o.skew;
  return b;
}
JudgementsOptions ForJudgements(const SharedOptions& o) {
  JudgementsOptions j = o.judgements;
  j.self = o.self;
  j.nodes = o.nodes;
  j.zone = o.zone;
  j.zones = o.zones;
  return j;
}

}  // namespace

Shared::Shared(SharedOptions options, std::uint64_t process, std::uint64_t seed, Micros now)
    : options_(std::move(options)),
      process_(process),
      counts_(ForCounts(options_), process, now),
      budgets_(ForBudgets(options_), process, seed, now),
      judgements_(ForJudgements(options_), process),
      next_(now),
      ring_(static_cast<std::size_t>(seed % 1000)) {}

// A ceiling and the repeats' budget are limits: beyond them a job is refused, with when there will
// be room. Beyond its share an account's job is taken, at the worth that such jobs have.
Shared::Admission Shared::Admit(Micros now, int account, bool is_repeat) {
  Admission a;
  if (is_repeat && options_.repeats > 0 &&
      !budgets_.Take(now, static_cast<int>(options_.shares.size()), 1, &a.wait)) {
    ++figures_.over_repeats;
    a.refused = true;
    return a;
  }
  if (account < 0 || account >= counts_.accounts()) return a;
  if (!counts_.Count(now, account, &a.wait)) {
    ++figures_.over_ceiling;
    a.refused = true;
    return a;
  }
  a.over_share = !budgets_.Take(now, account, 1, nullptr);
  return a;
}

void Shared::Say(Micros now, int to, std::vector<Ask> asks, std::vector<Grant> grants,
                 std::vector<Out>* out) {
  Word w;
  w.zone = options_.zone;
  w.at = now;
  w.asks = std::move(asks);
  w.grants = std::move(grants);
  w.opinions = judgements_.Say(now, kMaxOpinions);
  const auto accounts = static_cast<std::size_t>(counts_.accounts());
  // Ceilings bind from when they are said: those that find no room bind all the same, which is the
  // safe side.
  for (std::size_t i = 0; i < std::min<std::size_t>(accounts, 16); ++i) {
    const int k = static_cast<int>((account_ + i) % accounts);
    w.own.push_back(counts_.Say(now, k));
    w.wholes.push_back(budgets_.whole(now, k));
  }
  if (accounts > 16) account_ = (account_ + 16) % accounts;
  // Where words go to some only, the others' counts travel through them.
  if (options_.nodes - 1 > options_.fanout && accounts > 0)
    for (std::size_t i = 0; i < kRelayed; ++i) {
      relay_ = (relay_ + 1) % (static_cast<std::size_t>(options_.nodes) * accounts);
      const int node = static_cast<int>(relay_ / accounts);
      if (node == to || node == options_.self) continue;
      const auto held = counts_.latest(node, static_cast<int>(relay_ % accounts));
      if (held && held->at > now - options_.window) w.relayed.push_back(*held);
    }
  if (w.own.empty() && w.relayed.empty() && w.opinions.empty() && w.asks.empty() &&
      w.grants.empty())
    return;  // nothing to say
  int left = 0;
  out->push_back({to, Encode(w, options_.bytes, &left)});
  if (out->back().section.empty()) return out->pop_back();
  ++figures_.words;
  figures_.left_out += static_cast<std::uint64_t>(left);
}

void Shared::Tick(Micros now, const std::vector<int>& alive, std::vector<Out>* out) {
  if (now < next_) return;
  next_ = now + options_.every;
  std::map<int, std::vector<Ask>> asks;
  for (const Budgets::Wish& w : budgets_.Wants(now, alive)) asks[w.to].push_back(w.ask);
  figures_.asks += asks.size();
  for (std::size_t i = 0; i < std::min(alive.size(), static_cast<std::size_t>(options_.fanout));
       ++i) {
    const int to = alive[(ring_ + i) % alive.size()];
    const auto it = asks.find(to);
    Say(now, to, it == asks.end() ? std::vector<Ask>() : std::exchange(it->second, {}), {}, out);
    if (it != asks.end()) asks.erase(it);
  }
  ring_ += static_cast<std::size_t>(options_.fanout);
  for (auto& [to, list] : asks) Say(now, to, std::move(list), {}, out);
}

void Shared::Hear(Micros now, int from, std::uint64_t process, std::string_view section,
                  std::vector<Out>* out) {
  const auto w = Decode(section, from, process);
  if (!w) {
    ++figures_.malformed;
    return;
  }
  for (std::size_t i = 0; i < w->own.size(); ++i) {
    figures_.news += counts_.Hear(now, w->own[i]) ? 1 : 0;
    // A node on older settings holds the fleet to the stricter of both while it says so.
    if (w->own[i].account < 0 || w->own[i].account >= counts_.accounts()) continue;
    const double mine = options_.shares[static_cast<std::size_t>(w->own[i].account)];
    if (w->wholes[i] > 0 && w->wholes[i] < mine - 0.001) {
      differs_ = true;
      if (w->at > now - 2 * options_.lease) budgets_.OnWhole(now, w->own[i].account, w->wholes[i]);
    }
  }
  for (const CountWord& c : w->relayed) counts_.Hear(now, c);
  for (const Opinion& o : w->opinions) judgements_.Hear(now, o);
  for (const Grant& g : w->grants) {
    ++figures_.grants_got;
    budgets_.OnGrant(now, from, process, g);
  }
  // An old ask is not what the other wants now.
  if (w->at < now - options_.lease) return;
  std::vector<Grant> grants;
  for (const Ask& a : w->asks)
    if (const auto g = budgets_.OnAsk(now, from, process, a)) grants.push_back(*g);
  figures_.grants += grants.size();
  if (!grants.empty()) Say(now, from, {}, std::move(grants), out);
}

}  // namespace pearreach::shared_state
