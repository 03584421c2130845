// Proposals by operators, and forced versions after the loss of a majority.
#include <algorithm>
#include <utility>

#include "node/rules/rules.h"

namespace pearreach::rules {

std::uint64_t Consensus::Propose(Micros now, Document document, std::optional<std::uint64_t> after,
                                 std::int64_t unix_ms, std::string* error) {
  const Version* v = current();
  const auto reject = [&](const std::string& text) {
    *error = text;
    return std::uint64_t{0};
  };
  if (v == nullptr)
    return reject("this node does not have the document of version " +
                  std::to_string(version_id_.number) + " yet");
  if (after && *after != version_id_.number)
    return reject("based on version " + std::to_string(*after) + ", but " + Describe(v->document) +
                  " is in force");
  if (proposal_ && proposal_->number != 0)
    return reject("another proposal is pending at this node");
  if (document.voters.empty()) return reject("the proposal names no voters");
  for (const int voter : document.voters)
    if (voter < 0 || voter >= options_.nodes)
      return reject("voters: there is no node " + std::to_string(voter) + " of " +
                    std::to_string(options_.nodes));
  if (document.rules == v->document.rules && document.voters == v->document.voters)
    return reject("version " + std::to_string(version_id_.number) +
                  " already has these rules and voters");
  int answered = 0;
  const Micros since = now - 8 * options_.round_interval;
  for (const int voter : v->document.voters) {
    const Other& o = others_[static_cast<std::size_t>(voter)];
    answered += voter == options_.self || (o.answered_at >= 0 && o.answered_at >= since) ? 1 : 0;
  }
  if (answered < Majority())
    return reject(std::to_string(answered) + " of " + std::to_string(v->document.voters.size()) +
                  " voters answered recently; a change needs " + std::to_string(Majority()));
  for (int n = 0; n < options_.nodes; ++n) {
    const Other& o = others_[static_cast<std::size_t>(n)];
    if (o.last_received > 0 && o.last_received >= since && o.schema < document.schema)
      return reject("node " + std::to_string(n) + " reads schema " + std::to_string(o.schema) +
                    " at most, the proposal has schema " + std::to_string(document.schema));
  }
  document.number = version_id_.number + 1;
  document.previous_hash = version_id_.hash;
  document.proposer = options_.self;
  document.proposed_at_ms = unix_ms;
  document.forced = false;
  Proposal p;
  p.number = ++last_proposal_;
  p.bytes = Encode(document);
  if (p.bytes.size() > kMaxDocumentBytes)
    return reject("document has " + std::to_string(p.bytes.size()) +
                  " bytes in canonical form; the limit is " + std::to_string(kMaxDocumentBytes));
  p.hash = HashOf(p.bytes);
  p.base = version_id_;
  p.deadline = now + options_.proposal_timeout;
  const std::string bytes = p.bytes;
  proposal_ = std::move(p);
  StoreDocument(proposal_->hash, bytes);
  next_tick_ = now;
  return last_proposal_;
}

bool Consensus::Force(Micros now, std::vector<int> voters, std::int64_t unix_ms,
                      std::string* error) {
  std::sort(voters.begin(), voters.end());
  voters.erase(std::unique(voters.begin(), voters.end()), voters.end());
  if (voters.empty() || voters.front() < 0 || voters.back() >= options_.nodes) {
    *error = "voters: expected one or more of the nodes 0 to " + std::to_string(options_.nodes - 1);
    return false;
  }
  if (lease_until(now) + options_.MaxLease() > now) {
    *error = "a majority of the voters answered recently: propose instead";
    return false;
  }
  const Version& base = history_.back();
  Version v;
  v.document = base.document;
  v.document.number = std::max(version_id_.number, base.id.number) + 1;
  v.document.previous_hash = base.id.hash;
  v.document.proposer = options_.self;
  v.document.proposed_at_ms = unix_ms;
  v.document.forced = true;
  v.document.voters = std::move(voters);
  v.bytes = Encode(v.document);
  const VersionId id{(version_id_.epoch / kEpochStep + 1) * kEpochStep +
                         static_cast<std::uint64_t>(options_.self) + 1,
                     v.document.number, HashOf(v.bytes)};
  StoreDocument(id.hash, v.bytes);
  std::vector<Outgoing> out;
  Learn(now, options_.self, id, 0, &out);
  broadcast_rounds_ = kBroadcastFanout;
  return true;
}

std::vector<Consensus::Outcome> Consensus::TakeOutcomes() { return std::exchange(outcomes_, {}); }

}  // namespace pearreach::rules
