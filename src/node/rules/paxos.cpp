// The choice of the next version: one register of Paxos a number, with this node as an acceptor
// and, while it has a proposal, as the proposer.
#include <algorithm>

#include "node/rules/rules.h"

namespace pearreach::rules {
namespace {

constexpr int kBallotNode = 20;  // low bits of a ballot: the node

}  // namespace

std::uint64_t Agreement::NextBallot() {
  highest_ =
      ((highest_ >> kBallotNode) + 1) << kBallotNode | static_cast<std::uint64_t>(options_.self);
  ++figures_.ballots;
  return highest_;
}

void Agreement::OnStep(Micros now, int from, const Message& m, std::vector<Out>* out) {
  if (m.step != Step::kPrepare && m.step != Step::kAccept) return OnReply(now, from, m, out);
  if (current() == nullptr || !IsVoter(options_.self) || recovering_) return;
  const std::optional<Message> reply = m.step == Step::kPrepare ? ReplyToPrepare(now, from, m, out)
                                                                : ReplyToAccept(now, from, m, out);
  if (!reply) return;
  if (from != options_.self) return Send(from, *reply, out);
  OnStep(now, from, *reply, out);
}

// As an acceptor. Nothing: there is no reply yet.
std::optional<Message> Agreement::ReplyToPrepare(Micros now, int from, const Message& m,
                                                 std::vector<Out>* out) {
  Message reply = Base(now);
  reply.ballot = m.ballot;
  reply.promised = promised_;
  reply.step = Step::kRefused;
  if (!(m.head == head_)) return reply;  // its head says why
  // Its document comes while the others promise.
  if (m.value != 0) RequestDocument(now, from, m.value, out);
  if (m.ballot < promised_) return reply;
  reply.step = Step::kPromise;
  dirty_ = dirty_ || promised_ != m.ballot;
  promised_ = m.ballot;
  reply.value_ballot = accepted_;
  reply.value = accepted_hash_;
  return reply;
}

std::optional<Message> Agreement::ReplyToAccept(Micros now, int from, const Message& m,
                                                std::vector<Out>* out) {
  Message reply = Base(now);
  reply.ballot = m.ballot;
  reply.promised = promised_;
  reply.step = Step::kRefused;
  if (!(m.head == head_)) return reply;  // its head says why
  if (m.ballot < promised_ && !without_.promise) return reply;
  const std::string* bytes = DocumentOf(m.value);
  if (bytes == nullptr) {
    RequestDocument(now, from, m.value, out);
    return std::nullopt;
  }
  const std::optional<Document> document = Decode(*bytes);
  if (!document || document->number != head_.number + 1 || document->before != head_.hash) {
    ++figures_.refused;
    return std::nullopt;
  }
  if (accepted_ == 0) accepted_at_ = now;
  dirty_ = dirty_ || accepted_ != m.ballot || accepted_hash_ != m.value;
  promised_ = std::max(promised_, m.ballot);
  accepted_ = m.ballot;
  accepted_hash_ = m.value;
  reply.step = Step::kAccepted;
  reply.value = m.value;
  return reply;
}

// As the proposer.
void Agreement::OnReply(Micros now, int from, const Message& m, std::vector<Out>* out) {
  if (!proposal_ || proposal_->ballot == 0 || m.ballot != proposal_->ballot) return;
  Proposal& p = *proposal_;
  // What comes after the ballot's end counts for nothing: a voter may have forgotten it.
  if (now >= p.began + options_.ballot || !(p.after == head_)) return;
  if (m.step == Step::kRefused) {
    highest_ = std::max(highest_, m.promised);
    if (m.promised <= p.ballot) return;
    // Another ballot is on: wait a while, else the two overtake each other for ever.
    p.ballot = 0;
    p.again = now + options_.every / 4 +
              static_cast<Micros>(random_() % static_cast<std::uint64_t>(options_.every));
    next_ = std::min(next_, p.again);
    return;
  }
  if (!IsVoter(from)) return;
  if (m.step == Step::kPromise && !p.accepting) {
    p.promised.insert(from);
    if (m.value_ballot > p.value_ballot) {
      p.value_ballot = m.value_ballot;
      p.value = m.value;
      if (DocumentOf(m.value) == nullptr) RequestDocument(now, from, m.value, out);
    }
    if (static_cast<int>(p.promised.size()) >= Majority()) Advance(now, out);
  } else if (m.step == Step::kAccepted && p.accepting && m.value == p.value) {
    p.accepted.insert(from);
    if (static_cast<int>(p.accepted.size()) >= Majority()) Chosen(now, p.value, out);
  }
}

// Drives the proposal on: ends it, begins a ballot, or asks again the voters that have not
// answered.
void Agreement::Advance(Micros now, std::vector<Out>* out) {
  if (!proposal_ || EndIfDecided(now)) return;
  Proposal& p = *proposal_;
  if (now < p.again && p.ballot == 0) {
    next_ = std::min(next_, p.again);
    return;
  }
  if (p.ballot == 0 || now >= p.began + options_.ballot) BeginBallot(now, &p);
  Message m = Base(now);
  m.ballot = p.ballot;
  if (!p.accepting && static_cast<int>(p.promised.size()) >= Majority()) {
    if (p.value == 0) p.value = p.hash;
    if (p.value == 0) {
      proposal_.reset();  // nothing to complete after all
      return;
    }
    if (DocumentOf(p.value) != nullptr) {
      p.accepting = p.tried = true;
      p.again = 0;
    }
  }
  if (now < p.again) return;
  p.again = now + options_.every / 2;
  next_ = std::min(next_, p.again);
  m.step = p.accepting ? Step::kAccept : Step::kPrepare;
  m.value = p.value != 0 ? p.value : p.hash;
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

// Whether the proposal is over: a version was chosen where it would stand, or its time has run out.
bool Agreement::EndIfDecided(Micros now) {
  if (!(proposal_->after == head_)) {
    const std::uint64_t number = proposal_->after.number + 1;
    const Version* v = Find(number);
    const bool mine = v != nullptr ? v->head.hash == proposal_->hash
                                   : head_.number == number && head_.hash == proposal_->hash;
    if (mine)
      End(Outcome::What::kChosen, "version " + std::to_string(number) + " is chosen");
    else
      End(Outcome::What::kLost,
          v != nullptr ? Words(v->document) + " stands in its way"
                       : "version " + std::to_string(head_.number) + " stands in its way");
    return true;
  }
  if (now < proposal_->until) return false;
  if (proposal_->tried)
    End(Outcome::What::kOpen,
        "not known to be chosen: some voters may have it, and it may be chosen yet");
  else
    End(Outcome::What::kNoMajority, "no majority of the voters answered: nothing is changed");
  return true;
}

void Agreement::BeginBallot(Micros now, Proposal* p) {
  p->ballot = NextBallot();
  p->began = now;
  p->again = 0;
  p->promised.clear();
  p->accepted.clear();
  p->accepting = false;
  p->value = p->value_ballot = 0;
}

void Agreement::Chosen(Micros now, std::uint64_t hash, std::vector<Out>* out) {
  ++figures_.chosen;
  const Head head{head_.epoch, head_.number + 1, hash};
  Learn(now, options_.self, head, 0, out);
  const Message m = Base(now);
  for (const int voter : voters()) Send(voter, m, out);
  for (int i = 0; !alive_.empty() && i < kSpread; ++i)
    Send(alive_[ring_++ % alive_.size()], m, out);
  Advance(now, out);
}

void Agreement::End(Outcome::What what, const std::string& text) {
  if (proposal_->number != 0) outcomes_.push_back({what, proposal_->number, head_, text});
  proposal_.reset();
}

}  // namespace pearreach::rules
