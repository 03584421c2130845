// How a node comes to the version chosen last: by hearing of it, or as a voter that has lost what
// it knew.
#include <algorithm>
#include <utility>

#include "node/rules/rules.h"

namespace pearreach::rules {
namespace {

constexpr Micros kLongest = 60'000'000'000;  // an age that is told counts for no more

}  // namespace

// A voter that lost what it knew takes part again once it knows what it may have had a part in.
void Agreement::Recover(Micros now) {
  if (!recovering_ || current() == nullptr) return;
  if (!IsVoter(options_.self)) {
    // Others vouch that none after this version was chosen: it cannot have voted on one.
    if (lease_until(now) > now) recovering_ = false;
    return;
  }
  if (without_.recovery) {
    recovering_ = false;
    return;
  }
  // By then each ballot and lease in which its last process had a part is over.
  const Micros over =
      began_ + std::max(options_.After(), static_cast<Micros>(static_cast<double>(options_.ballot) *
                                                              (1 + 2 * options_.drift)));
  if (now < over) return;
  const VotersHeard heard = VotersHeardSince(over);
  const int n = static_cast<int>(voters().size());
  const int enough = n - Majority() + 1;
  if (heard.sound < enough && heard.answered < n - 1) return;
  recovering_ = false;
  dirty_ = true;
  promised_ = std::max(promised_, heard.promised);
  if (heard.accepted > accepted_) {
    accepted_ = heard.accepted;
    accepted_hash_ = heard.accepted_hash;
    accepted_at_ = now;
  }
  // All voters are here and too many of them know nothing: what was chosen last may be forgotten.
  // What they choose from here on is of a later epoch, so that it can be told apart. One that was
  // begun less than a lease ago was begun while this process waited: it is the same beginning.
  if (heard.sound < enough && !heard.formed) {
    head_.epoch = (head_.epoch / kEpochStep + 1) * kEpochStep;
    formed_at_ = now;
  }
  history_.back().head = head_;
  spread_ = 3;
}

// What the other voters of this version answered after a moment, together.
Agreement::VotersHeard Agreement::VotersHeardSince(Micros since) const {
  VotersHeard heard;
  for (const int voter : voters()) {
    if (voter == options_.self || voter >= options_.nodes) continue;
    const Other& o = others_[static_cast<std::size_t>(voter)];
    if (o.answered_at < since || !(o.answered_head == head_)) continue;
    ++heard.answered;
    heard.sound += o.recovering ? 0 : 1;
    heard.formed = heard.formed || o.formed;
    heard.promised = std::max(heard.promised, o.promised);
    if (o.accepted > heard.accepted) {
      heard.accepted = o.accepted;
      heard.accepted_hash = o.accepted_hash;
    }
  }
  return heard;
}

void Agreement::Learn(Micros now, int from, const Head& head, std::int64_t age_ms,
                      std::vector<Out>* out) {
  if (std::pair(head.epoch, head.number) <= std::pair(head_.epoch, head_.number)) {
    if (head.epoch == head_.epoch && head.number == head_.number && head.hash != head_.hash)
      ++figures_.forked;
    return;
  }
  dirty_ = true;
  formed_at_ = -1;
  if (head.number == head_.number && head.hash == head_.hash) {
    if (current() != nullptr) history_.back().head = head;
    head_ = head;
    return;
  }
  const Micros age = std::min<Micros>(age_ms * 1000, kLongest);
  const Micros until = now + std::max<Micros>(0, options_.After() - age);
  const Version* before = current();
  if (before != nullptr) retiring_.push_back({*before, until, lease_until(now)});
  if (before == nullptr || head.number != head_.number + 1 || head.epoch != head_.epoch)
    gap_until_ = std::max(gap_until_, until);
  head_ = head;
  head_at_ = now - age;
  accepted_ = accepted_hash_ = 0;
  refusing_.clear();
  spread_ = 3;
  if (DocumentOf(head.hash) != nullptr)
    Install(now);
  else
    RequestDocument(now, from, head.hash, out);
  if (proposal_) next_ = now;
}

}  // namespace pearreach::rules
