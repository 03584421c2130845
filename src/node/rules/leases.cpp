// The leases on versions: which version this node may act on, until when, and who has it.
#include <algorithm>

#include "node/rules/rules.h"

namespace pearreach::rules {
namespace {

constexpr Micros kLongAhead = 60'000'000'000;

}  // namespace

Micros Agreement::lease_until(Micros now) const {
  if (current() == nullptr) return 0;
  std::vector<Micros> asked;
  for (const int voter : voters()) {
    if (voter == options_.self) {
      if (!recovering_ && Clean()) asked.push_back(now);
    } else if (voter < options_.nodes) {
      const Other& o = others_[static_cast<std::size_t>(voter)];
      if (o.vouched == head_ && o.vouched_at >= 0) asked.push_back(o.vouched_at);
    }
  }
  const auto majority = static_cast<std::size_t>(Majority());
  if (asked.size() < majority) return 0;
  std::sort(asked.rbegin(), asked.rend());
  return asked[majority - 1] + options_.lease;
}

Agreement::Acting Agreement::acting(Micros now) const {
  Acting a;
  const Version* v = current();
  const Version& newest = v != nullptr ? *v : history_.back();
  a.rules = newest.document.rules;
  a.numbers = {newest.head.number};
  a.until = now + kLongAhead;
  const auto ends = [&](Micros at) {
    if (at > now) a.until = std::min(a.until, at);
    return at > now;
  };
  const Micros lease = lease_until(now);
  bool held = v != nullptr && ends(lease);
  a.basis = Basis::kVersion;
  if (without_.lease) held = true;
  const auto add = [&](std::uint64_t number, const Rules& rules) {
    if (without_.both) return;
    a.rules = StricterOf(a.rules, rules);
    a.numbers.insert(a.numbers.begin(), number);
    a.basis = Basis::kBoth;
  };
  for (const Retiring& r : retiring_) {
    if (ends(r.until)) add(r.version.head.number, r.version.document.rules);
    if (v != nullptr && ends(r.lease_until)) held = true;
  }
  if (accepted_ != 0)
    if (const std::string* bytes = DocumentOf(accepted_hash_))
      if (const auto document = Decode(*bytes)) add(document->number, document->rules);
  if (held && !(ends(gap_until_) && !without_.both)) return a;
  a.basis = Basis::kFloor;
  a.rules = FloorOf(a.rules);
  return a;
}

bool Agreement::ready(Micros now) const {
  return lease_until(now) > now || now >= began_ + options_.ready_within;
}

std::set<int> Agreement::have(Micros now) const {
  const Micros since = now - 8 * options_.every;
  std::set<int> have;
  if (current() != nullptr) have.insert(options_.self);
  for (int n = 0; n < options_.nodes; ++n) {
    const Other& o = others_[static_cast<std::size_t>(n)];
    if (o.head == head_ && o.heard > 0 && o.heard >= since) have.insert(n);
    if (!(o.answered_head == head_) || o.answered_at < since || o.answered_at < 0) continue;
    for (std::size_t i = 0; i < o.have.size() * 8; ++i)
      if ((static_cast<unsigned char>(o.have[i / 8]) >> (i % 8) & 1) != 0)
        have.insert(static_cast<int>(i));
  }
  return have;
}

}  // namespace pearreach::rules
