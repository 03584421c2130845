// What nodes tell one another of versions, to whom and when.
#include <algorithm>
#include <utility>

#include "node/rules/rules.h"

namespace pearreach::rules {
void Agreement::Tick(Micros now, const std::vector<int>& alive, std::vector<Out>* out) {
  alive_ = alive;
  next_ = now + options_.every;
  retiring_.erase(
      std::remove_if(retiring_.begin(), retiring_.end(),
                     [&](const Retiring& r) { return r.until <= now && r.lease_until <= now; }),
      retiring_.end());
  Recover(now);
  for (auto it = asked_.begin(); it != asked_.end() && it->second < now - options_.lease;)
    it = asked_.erase(it);
  Message message = Base(now);
  message.ask = ++nonce_;
  asked_[nonce_] = now;
  for (const int voter : voters())
    if (voter != options_.self && voter < options_.nodes) Send(voter, message, out);
  // A version that is new goes to several others; else to one, so that those hear of it who do not
  // know its voters.
  message.ask = 0;
  for (int i = 0; !alive.empty() && i < (spread_ > 0 ? kSpread : 1); ++i)
    Send(alive[ring_++ % alive.size()], message, out);
  spread_ = std::max(0, spread_ - 1);
  for (auto& [hash, f] : fetches_) {
    if (now < f.asked + options_.every / 2) continue;
    // Whoever was asked may be gone.
    const std::vector<int>& from = alive.empty() ? last_voters_ : alive;
    if (f.from < 0 || random_() % 2 == 0) f.from = from[random_() % from.size()];
    RequestDocument(now, f.from, hash, out);
  }
  if (!proposal_ && accepted_ != 0 && !recovering_ && IsVoter(options_.self) &&
      now > accepted_at_ + 2 * options_.ballot +
                static_cast<Micros>(random_() % static_cast<std::uint64_t>(options_.ballot))) {
    // Whoever proposed it may be gone; while it is open nobody's lease is renewed.
    Proposal p;
    p.after = head_;
    p.until = now + options_.patience;
    proposal_ = std::move(p);
  }
  Advance(now, out);
}

Message Agreement::Base(Micros now) const {
  Message m;
  m.head = head_;
  m.age_ms = (now - head_at_) / 1000;
  m.schema = options_.schema;
  m.refuses = unread_.count(head_.hash) > 0;
  return m;
}

void Agreement::Send(int to, const Message& message, std::vector<Out>* out) {
  if (to == options_.self) return;
  ++figures_.words;
  out->push_back({to, Encode(message)});
}

void Agreement::Hear(Micros now, int from, std::string_view section, std::vector<Out>* out) {
  if (from < 0 || from >= options_.nodes || from == options_.self) return;
  const std::optional<Message> message = DecodeMessage(section);
  if (!message) {
    ++figures_.malformed;
    return;
  }
  const Message& m = *message;
  Other& o = others_[static_cast<std::size_t>(from)];
  o.heard = now;
  o.head = m.head;
  o.schema = m.schema;
  highest_ = std::max({highest_, m.promised, m.accepted, m.ballot, m.value_ballot});
  Learn(now, from, m.head, m.age_ms, out);
  if (m.refuses && m.head == head_)
    refusing_.insert(from);
  else
    refusing_.erase(from);
  if (m.ask != 0) Send(from, AnswerTo(now, m), out);
  if (m.answer != 0) OnAnswer(now, from, m);
  if (m.step != Step::kNone) OnStep(now, from, m, out);
  if (m.want != 0) SendParts(now, from, m, out);
  if (m.part_of != 0) OnDocumentPart(now, from, m, out);
}

// What this node says to a question: whether it vouches for the asker's version, and its state as a
// voter.
Message Agreement::AnswerTo(Micros now, const Message& question) const {
  Message answer = Base(now);
  answer.answer = question.ask;
  const bool votes = current() != nullptr && IsVoter(options_.self);
  answer.clean = votes && !recovering_ && question.head == head_ && (Clean() || without_.clean);
  answer.recovering = recovering_;
  answer.formed = formed_at_ >= 0 && now < formed_at_ + options_.lease;
  answer.promised = promised_;
  answer.accepted = accepted_;
  answer.accepted_hash = accepted_hash_;
  if (!votes) return answer;
  answer.have.assign(static_cast<std::size_t>(options_.nodes + 7) / 8, '\0');
  for (int n = 0; n < options_.nodes; ++n) {
    const Other& other = others_[static_cast<std::size_t>(n)];
    if (n == options_.self ||
        (other.head == head_ && other.heard > 0 && other.heard > now - 4 * options_.every))
      answer.have[static_cast<std::size_t>(n) / 8] |= static_cast<char>(1 << (n % 8));
  }
  return answer;
}

void Agreement::OnAnswer(Micros now, int from, const Message& m) {
  const auto it = asked_.find(m.answer);
  if (it == asked_.end() || it->second < now - options_.lease) return;
  Other& o = others_[static_cast<std::size_t>(from)];
  const Micros sent = it->second;
  if (m.clean && m.head == head_ && IsVoter(from)) {
    if (!(o.vouched == head_)) o.vouched_at = -1;
    o.vouched = head_;
    o.vouched_at = std::max(o.vouched_at, sent);
  }
  if (sent < o.answered_at) return;
  o.answered_at = sent;
  o.recovering = m.recovering;
  o.formed = m.formed;
  o.answered_head = m.head;
  o.promised = m.promised;
  o.accepted = m.accepted;
  o.accepted_hash = m.accepted_hash;
  o.have = m.have;
}

}  // namespace pearreach::rules
