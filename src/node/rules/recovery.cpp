// How a node reaches the version chosen last: by learning of it from another node, or by recovery
// as a voter that has lost its state.
#include <algorithm>
#include <utility>

#include "node/rules/rules.h"

namespace pearreach::rules {
namespace {

constexpr Micros kMaxAgeMicros = 60'000'000'000;  // upper bound on the age in a message

}  // namespace

// Lets a voter that lost its state vote again once it knows everything that its previous process
// may have voted for.
void Consensus::Recover(Micros now) {
  if (!recovering_ || current() == nullptr) return;
  if (!IsVoter(options_.self)) {
    // A majority vouches that no version after this one was chosen. This node is not a voter of
    // this version, so it cannot have voted for the next one.
    if (lease_until(now) > now) recovering_ = false;
    return;
  }
  if (disabled_guards_.recovery) {
    recovering_ = false;
    return;
  }
  // By this time every ballot and lease that the previous process took part in has ended.
  const Micros recovery_end =
      started_at_ + std::max(options_.MaxLease(),
                             static_cast<Micros>(static_cast<double>(options_.ballot_timeout) *
                                                 (1 + 2 * options_.drift)));
  if (now < recovery_end) return;
  const VoterSummary summary = SummarizeVoters(recovery_end);
  const int n = static_cast<int>(voters().size());
  const int required = n - Majority() + 1;
  if (summary.not_recovering < required && summary.answered < n - 1) return;
  recovering_ = false;
  dirty_ = true;
  promised_ = std::max(promised_, summary.promised);
  if (summary.accepted > accepted_) {
    accepted_ = summary.accepted;
    accepted_hash_ = summary.accepted_hash;
    accepted_at_ = now;
  }
  // All voters answered, but too many of them have lost their state, so the version chosen last may
  // be lost. The versions chosen from here on get a later epoch, which distinguishes them. If
  // another voter started an epoch less than a lease ago, it did so while this process was
  // recovering, and this node joins that epoch.
  if (summary.not_recovering < required && !summary.started_epoch) {
    version_id_.epoch = (version_id_.epoch / kEpochStep + 1) * kEpochStep;
    epoch_started_at_ = now;
  }
  history_.back().id = version_id_;
  broadcast_rounds_ = 3;
}

// Combines the answers of the other voters of this version to queries sent at or after `since`.
Consensus::VoterSummary Consensus::SummarizeVoters(Micros since) const {
  VoterSummary summary;
  for (const int voter : voters()) {
    if (voter == options_.self || voter >= options_.nodes) continue;
    const Other& o = others_[static_cast<std::size_t>(voter)];
    if (o.answered_at < since || !(o.answered_version == version_id_)) continue;
    ++summary.answered;
    summary.not_recovering += o.recovering ? 0 : 1;
    summary.started_epoch = summary.started_epoch || o.started_epoch;
    summary.promised = std::max(summary.promised, o.promised);
    if (o.accepted > summary.accepted) {
      summary.accepted = o.accepted;
      summary.accepted_hash = o.accepted_hash;
    }
  }
  return summary;
}

// Takes over `version`, which `from` reports as chosen `age_ms` ago, if it is later than this
// node's.
void Consensus::Learn(Micros now, int from, const VersionId& version, std::int64_t age_ms,
                      std::vector<Outgoing>* out) {
  if (std::pair(version.epoch, version.number) <=
      std::pair(version_id_.epoch, version_id_.number)) {
    if (version.epoch == version_id_.epoch && version.number == version_id_.number &&
        version.hash != version_id_.hash)
      ++counters_.forked;
    return;
  }
  dirty_ = true;
  epoch_started_at_ = -1;
  if (version.number == version_id_.number && version.hash == version_id_.hash) {
    if (current() != nullptr) history_.back().id = version;
    version_id_ = version;
    return;
  }
  const Micros age = std::min<Micros>(age_ms * 1000, kMaxAgeMicros);
  const Micros others_until = now + std::max<Micros>(0, options_.MaxLease() - age);
  const Version* previous = current();
  if (previous != nullptr) retiring_.push_back({*previous, others_until, lease_until(now)});
  if (previous == nullptr || version.number != version_id_.number + 1 ||
      version.epoch != version_id_.epoch)
    unseen_until_ = std::max(unseen_until_, others_until);
  version_id_ = version;
  chosen_at_ = now - age;
  accepted_ = accepted_hash_ = 0;
  rejecting_nodes_.clear();
  broadcast_rounds_ = 3;
  if (DocumentOf(version.hash) != nullptr)
    Install(now);
  else
    RequestDocument(now, from, version.hash, out);
  if (proposal_) next_tick_ = now;
}

}  // namespace pearreach::rules
