// Leases on versions: which rules this node may apply, until when, and which nodes have the
// version.
#include <algorithm>

#include "node/rules/rules.h"

namespace pearreach::rules {
namespace {

constexpr Micros kNoChangeMicros = 60'000'000'000;  // validity if nothing expires

}  // namespace

// The lease starts at the oldest query of the majority with the latest answered queries.
Micros Consensus::lease_until(Micros now) const {
  if (current() == nullptr) return 0;
  std::vector<Micros> query_times;
  for (const int voter : voters()) {
    if (voter == options_.self) {
      if (!recovering_ && NothingAccepted()) query_times.push_back(now);
    } else if (voter < options_.nodes) {
      const Other& o = others_[static_cast<std::size_t>(voter)];
      if (o.vouched_version == version_id_ && o.vouched_at >= 0)
        query_times.push_back(o.vouched_at);
    }
  }
  const auto majority = static_cast<std::size_t>(Majority());
  if (query_times.size() < majority) return 0;
  std::sort(query_times.rbegin(), query_times.rend());
  return query_times[majority - 1] + options_.lease;
}

Consensus::EffectiveRules Consensus::effective_rules(Micros now) const {
  EffectiveRules effective;
  const Version* v = current();
  const Version& newest = v != nullptr ? *v : history_.back();
  effective.rules = newest.document.rules;
  effective.versions = {newest.id.number};
  effective.valid_until = now + kNoChangeMicros;
  const auto ends = [&](Micros at) {
    if (at > now) effective.valid_until = std::min(effective.valid_until, at);
    return at > now;
  };
  const Micros lease = lease_until(now);
  bool has_lease = v != nullptr && ends(lease);
  effective.basis = Basis::kVersion;
  if (disabled_guards_.lease) has_lease = true;
  const auto add = [&](std::uint64_t number, const Rules& rules) {
    if (disabled_guards_.both) return;
    effective.rules = StricterOf(effective.rules, rules);
    effective.versions.insert(effective.versions.begin(), number);
    effective.basis = Basis::kBoth;
  };
  for (const Retiring& r : retiring_) {
    if (ends(r.others_until)) add(r.version.id.number, r.version.document.rules);
    if (v != nullptr && ends(r.lease_until)) has_lease = true;
  }
  if (accepted_ != 0)
    if (const std::string* bytes = DocumentOf(accepted_hash_))
      if (const auto document = Decode(*bytes)) add(document->number, document->rules);
  if (has_lease && !(ends(unseen_until_) && !disabled_guards_.both)) return effective;
  effective.basis = Basis::kFloor;
  effective.rules = FloorOf(effective.rules);
  return effective;
}

bool Consensus::ready(Micros now) const {
  return lease_until(now) > now || now >= started_at_ + options_.ready_timeout;
}

std::set<int> Consensus::holders(Micros now) const {
  const Micros since = now - 8 * options_.round_interval;
  std::set<int> holders;
  if (current() != nullptr) holders.insert(options_.self);
  for (int n = 0; n < options_.nodes; ++n) {
    const Other& o = others_[static_cast<std::size_t>(n)];
    if (o.version == version_id_ && o.last_received > 0 && o.last_received >= since)
      holders.insert(n);
    if (!(o.answered_version == version_id_) || o.answered_at < since || o.answered_at < 0)
      continue;
    for (std::size_t i = 0; i < o.holders.size() * 8; ++i)
      if ((static_cast<unsigned char>(o.holders[i / 8]) >> (i % 8) & 1) != 0)
        holders.insert(static_cast<int>(i));
  }
  return holders;
}

}  // namespace pearreach::rules
