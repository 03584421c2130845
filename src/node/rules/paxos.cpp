// The choice of the next version: one instance of Paxos per version number. This node is an
// acceptor if it is a voter, and a proposer while it has a proposal.
#include <algorithm>

#include "node/rules/rules.h"

namespace pearreach::rules {
namespace {

constexpr int kBallotNodeBits = 20;  // low bits of a ballot that hold the node number

}  // namespace

std::uint64_t Consensus::NextBallot() {
  highest_ballot_ = ((highest_ballot_ >> kBallotNodeBits) + 1) << kBallotNodeBits |
                    static_cast<std::uint64_t>(options_.self);
  ++counters_.ballots;
  return highest_ballot_;
}

void Consensus::OnStep(Micros now, int from, const Message& m, std::vector<Outgoing>* out) {
  if (m.step != Step::kPrepare && m.step != Step::kAccept) return OnReply(now, from, m, out);
  if (current() == nullptr || !IsVoter(options_.self) || recovering_) return;
  const std::optional<Message> reply = m.step == Step::kPrepare ? ReplyToPrepare(now, from, m, out)
                                                                : ReplyToAccept(now, from, m, out);
  if (!reply) return;
  if (from != options_.self) return Send(from, *reply, out);
  OnStep(now, from, *reply, out);
}

// Acceptor, phase 1.
std::optional<Message> Consensus::ReplyToPrepare(Micros now, int from, const Message& m,
                                                 std::vector<Outgoing>* out) {
  Message reply = NewMessage(now);
  reply.ballot = m.ballot;
  reply.promised = promised_;
  reply.step = Step::kRefused;
  // The version in the refusal shows the proposer that the versions differ.
  if (!(m.version == version_id_)) return reply;
  // Fetches the document while the proposer collects promises.
  if (m.value_hash != 0) RequestDocument(now, from, m.value_hash, out);
  if (m.ballot < promised_) return reply;
  reply.step = Step::kPromise;
  dirty_ = dirty_ || promised_ != m.ballot;
  promised_ = m.ballot;
  reply.value_ballot = accepted_;
  reply.value_hash = accepted_hash_;
  return reply;
}

// Acceptor, phase 2. Returns nothing while the document of the value has not arrived, or if the
// document cannot follow this node's version.
std::optional<Message> Consensus::ReplyToAccept(Micros now, int from, const Message& m,
                                                std::vector<Outgoing>* out) {
  Message reply = NewMessage(now);
  reply.ballot = m.ballot;
  reply.promised = promised_;
  reply.step = Step::kRefused;
  if (!(m.version == version_id_)) return reply;  // as in ReplyToPrepare
  if (m.ballot < promised_ && !disabled_guards_.promise) return reply;
  const std::string* bytes = DocumentOf(m.value_hash);
  if (bytes == nullptr) {
    RequestDocument(now, from, m.value_hash, out);
    return std::nullopt;
  }
  const std::optional<Document> document = Decode(*bytes);
  if (!document || document->number != version_id_.number + 1 ||
      document->previous_hash != version_id_.hash) {
    ++counters_.rejected_documents;
    return std::nullopt;
  }
  if (accepted_ == 0) accepted_at_ = now;
  dirty_ = dirty_ || accepted_ != m.ballot || accepted_hash_ != m.value_hash;
  promised_ = std::max(promised_, m.ballot);
  accepted_ = m.ballot;
  accepted_hash_ = m.value_hash;
  reply.step = Step::kAccepted;
  reply.value_hash = m.value_hash;
  return reply;
}

// Proposer: a voter's reply to a step of the current ballot.
void Consensus::OnReply(Micros now, int from, const Message& m, std::vector<Outgoing>* out) {
  if (!proposal_ || proposal_->ballot == 0 || m.ballot != proposal_->ballot) return;
  Proposal& p = *proposal_;
  // Replies after the ballot's timeout are ignored: a voter that lost its state may have forgotten
  // the promise by then.
  if (now >= p.ballot_started + options_.ballot_timeout || !(p.base == version_id_)) return;
  if (m.step == Step::kRefused) {
    highest_ballot_ = std::max(highest_ballot_, m.promised);
    if (m.promised <= p.ballot) return;
    // Another proposer has a higher ballot. A random delay keeps the two from preempting each other
    // for ever.
    p.ballot = 0;
    p.resend_at =
        now + options_.round_interval / 4 +
        static_cast<Micros>(random_() % static_cast<std::uint64_t>(options_.round_interval));
    next_tick_ = std::min(next_tick_, p.resend_at);
    return;
  }
  if (!IsVoter(from)) return;
  if (m.step == Step::kPromise && !p.accepting) {
    p.promised.insert(from);
    if (m.value_ballot > p.value_ballot) {
      p.value_ballot = m.value_ballot;
      p.value_hash = m.value_hash;
      if (DocumentOf(m.value_hash) == nullptr) RequestDocument(now, from, m.value_hash, out);
    }
    if (static_cast<int>(p.promised.size()) >= Majority()) AdvanceProposal(now, out);
  } else if (m.step == Step::kAccepted && p.accepting && m.value_hash == p.value_hash) {
    p.accepted.insert(from);
    if (static_cast<int>(p.accepted.size()) >= Majority()) OnChosen(now, p.value_hash, out);
  }
}

// Moves the proposal forward: ends it, starts a ballot, or sends the current step again to the
// voters that have not answered.
void Consensus::AdvanceProposal(Micros now, std::vector<Outgoing>* out) {
  if (!proposal_ || EndIfDecided(now)) return;
  Proposal& p = *proposal_;
  if (now < p.resend_at && p.ballot == 0) {
    next_tick_ = std::min(next_tick_, p.resend_at);
    return;
  }
  if (p.ballot == 0 || now >= p.ballot_started + options_.ballot_timeout) BeginBallot(now, &p);
  Message m = NewMessage(now);
  m.ballot = p.ballot;
  if (!p.accepting && static_cast<int>(p.promised.size()) >= Majority()) {
    if (p.value_hash == 0) p.value_hash = p.hash;
    if (p.value_hash == 0) {
      proposal_.reset();  // no voter has accepted a value, so there is nothing to complete
      return;
    }
    if (DocumentOf(p.value_hash) != nullptr) {
      p.accepting = p.accept_sent = true;
      p.resend_at = 0;
    }
  }
  if (now < p.resend_at) return;
  p.resend_at = now + options_.round_interval / 2;
  next_tick_ = std::min(next_tick_, p.resend_at);
  m.step = p.accepting ? Step::kAccept : Step::kPrepare;
  m.value_hash = p.value_hash != 0 ? p.value_hash : p.hash;
  const std::set<int> answered = p.accepting ? p.accepted : p.promised;
  for (const int voter : voters()) {
    if (answered.count(voter) > 0) continue;
    if (voter != options_.self)
      Send(voter, m, out);
    else
      OnStep(now, voter, m, out);
    if (!proposal_ || proposal_->ballot != m.ballot) return;
  }
}

// Ends the proposal, and returns true, if a version was chosen under its number or its timeout has
// passed.
bool Consensus::EndIfDecided(Micros now) {
  if (!(proposal_->base == version_id_)) {
    const std::uint64_t number = proposal_->base.number + 1;
    const Version* v = Find(number);
    const bool is_own = v != nullptr
                            ? v->id.hash == proposal_->hash
                            : version_id_.number == number && version_id_.hash == proposal_->hash;
    if (is_own)
      EndProposal(Outcome::Result::kChosen, "version " + std::to_string(number) + " was chosen");
    else
      EndProposal(Outcome::Result::kLost,
                  v != nullptr
                      ? Describe(v->document) + " was chosen instead"
                      : "version " + std::to_string(version_id_.number) + " was chosen instead");
    return true;
  }
  if (now < proposal_->deadline) return false;
  if (proposal_->accept_sent)
    EndProposal(Outcome::Result::kOpen,
                "undecided: some voters may have accepted the version, and it may still be chosen");
  else
    EndProposal(Outcome::Result::kNoMajority,
                "no majority of the voters answered; the version is unchanged");
  return true;
}

void Consensus::BeginBallot(Micros now, Proposal* p) {
  p->ballot = NextBallot();
  p->ballot_started = now;
  p->resend_at = 0;
  p->promised.clear();
  p->accepted.clear();
  p->accepting = false;
  p->value_hash = p->value_ballot = 0;
}

void Consensus::OnChosen(Micros now, std::uint64_t hash, std::vector<Outgoing>* out) {
  ++counters_.chosen;
  const VersionId version{version_id_.epoch, version_id_.number + 1, hash};
  Learn(now, options_.self, version, 0, out);
  const Message m = NewMessage(now);
  for (const int voter : voters()) Send(voter, m, out);
  for (int i = 0; !alive_.empty() && i < kBroadcastFanout; ++i)
    Send(alive_[next_peer_++ % alive_.size()], m, out);
  AdvanceProposal(now, out);
}

void Consensus::EndProposal(Outcome::Result result, const std::string& text) {
  if (proposal_->number != 0) outcomes_.push_back({result, proposal_->number, version_id_, text});
  proposal_.reset();
}

}  // namespace pearreach::rules
