// Operators' proposals of versions, and the one that is forced where a majority is lost.
#include <algorithm>
#include <utility>

#include "node/rules/rules.h"

namespace pearreach::rules {
std::uint64_t Agreement::Propose(Micros now, Document document, std::optional<std::uint64_t> after,
                                 std::int64_t unix_ms, std::string* why) {
  const Version* v = current();
  const auto refuse = [&](const std::string& text) {
    *why = text;
    return std::uint64_t{0};
  };
  if (v == nullptr)
    return refuse("this node has not read version " + std::to_string(head_.number) + " yet");
  if (after && *after != head_.number)
    return refuse("made after version " + std::to_string(*after) + ", but " + Words(v->document) +
                  " is in force");
  if (proposal_ && proposal_->number != 0)
    return refuse("another proposal is on its way at this node");
  if (document.voters.empty()) return refuse("no voters");
  for (const int voter : document.voters)
    if (voter < 0 || voter >= options_.nodes)
      return refuse("there is no node " + std::to_string(voter));
  if (document.rules == v->document.rules && document.voters == v->document.voters)
    return refuse("it is what version " + std::to_string(head_.number) + " says already");
  int heard = 0;
  const Micros since = now - 8 * options_.every;
  for (const int voter : v->document.voters) {
    const Other& o = others_[static_cast<std::size_t>(voter)];
    heard += voter == options_.self || (o.answered_at >= 0 && o.answered_at >= since) ? 1 : 0;
  }
  if (heard < Majority())
    return refuse("hears " + std::to_string(heard) + " of " +
                  std::to_string(v->document.voters.size()) +
                  " voters: without a majority nothing is changed");
  for (int n = 0; n < options_.nodes; ++n) {
    const Other& o = others_[static_cast<std::size_t>(n)];
    if (o.heard > 0 && o.heard >= since && o.schema < document.schema)
      return refuse("node " + std::to_string(n) + " reads schema " + std::to_string(o.schema) +
                    " at most");
  }
  document.number = head_.number + 1;
  document.before = head_.hash;
  document.by = options_.self;
  document.at_ms = unix_ms;
  document.forced = false;
  Proposal p;
  p.number = ++proposals_;
  p.bytes = Encode(document);
  if (p.bytes.size() > kMaxDocument) return refuse("longer than a document may be");
  p.hash = HashOf(p.bytes);
  p.after = head_;
  p.until = now + options_.patience;
  const std::string bytes = p.bytes;
  proposal_ = std::move(p);
  StoreDocument(proposal_->hash, bytes);
  next_ = now;
  return proposals_;
}

bool Agreement::Force(Micros now, std::vector<int> voters, std::int64_t unix_ms, std::string* why) {
  std::sort(voters.begin(), voters.end());
  voters.erase(std::unique(voters.begin(), voters.end()), voters.end());
  if (voters.empty() || voters.front() < 0 || voters.back() >= options_.nodes) {
    *why = "no voters, or one that is no node";
    return false;
  }
  if (lease_until(now) + options_.After() > now) {
    *why = "a majority of the voters answered of late: propose instead";
    return false;
  }
  const Version& base = history_.back();
  Version v;
  v.document = base.document;
  v.document.number = std::max(head_.number, base.head.number) + 1;
  v.document.before = base.head.hash;
  v.document.by = options_.self;
  v.document.at_ms = unix_ms;
  v.document.forced = true;
  v.document.voters = std::move(voters);
  v.bytes = Encode(v.document);
  const Head head{
      (head_.epoch / kEpochStep + 1) * kEpochStep + static_cast<std::uint64_t>(options_.self) + 1,
      v.document.number, HashOf(v.bytes)};
  StoreDocument(head.hash, v.bytes);
  std::vector<Out> out;
  Learn(now, options_.self, head, 0, &out);
  spread_ = kSpread;
  return true;
}

std::vector<Agreement::Outcome> Agreement::TakeOutcomes() { return std::exchange(outcomes_, {}); }

}  // namespace pearreach::rules
