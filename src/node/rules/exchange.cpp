// The messages that nodes exchange about versions: rounds of queries, replies, and announcements.
#include <algorithm>
#include <utility>

#include "node/rules/rules.h"

namespace pearreach::rules {

void Consensus::Tick(Micros now, const std::vector<int>& alive, std::vector<Outgoing>* out) {
  alive_ = alive;
  next_tick_ = now + options_.round_interval;
  retiring_.erase(std::remove_if(retiring_.begin(), retiring_.end(),
                                 [&](const Retiring& r) {
                                   return r.others_until <= now && r.lease_until <= now;
                                 }),
                  retiring_.end());
  Recover(now);
  for (auto it = pending_queries_.begin();
       it != pending_queries_.end() && it->second < now - options_.lease;)
    it = pending_queries_.erase(it);
  Message message = NewMessage(now);
  message.query = ++last_query_;
  pending_queries_[last_query_] = now;
  for (const int voter : voters())
    if (voter != options_.self && voter < options_.nodes) Send(voter, message, out);
  // A new version goes to several peers. Otherwise one peer per round gets the latest version, so
  // that it also reaches nodes that do not know its voters.
  message.query = 0;
  for (int i = 0; !alive.empty() && i < (broadcast_rounds_ > 0 ? kBroadcastFanout : 1); ++i)
    Send(alive[next_peer_++ % alive.size()], message, out);
  broadcast_rounds_ = std::max(0, broadcast_rounds_ - 1);
  for (auto& [hash, f] : fetches_) {
    if (now < f.requested_at + options_.round_interval / 2) continue;
    // The node that was asked may have failed, so another one is tried at random.
    const std::vector<int>& from = alive.empty() ? last_voters_ : alive;
    if (f.source < 0 || random_() % 2 == 0) f.source = from[random_() % from.size()];
    RequestDocument(now, f.source, hash, out);
  }
  if (!proposal_ && accepted_ != 0 && !recovering_ && IsVoter(options_.self) &&
      now > accepted_at_ + 2 * options_.ballot_timeout +
                static_cast<Micros>(random_() %
                                    static_cast<std::uint64_t>(options_.ballot_timeout))) {
    // The proposer of the accepted version may have failed. No node's lease is renewed while the
    // version is undecided, so this voter completes it.
    Proposal p;
    p.base = version_id_;
    p.deadline = now + options_.proposal_timeout;
    proposal_ = std::move(p);
  }
  AdvanceProposal(now, out);
}

Message Consensus::NewMessage(Micros now) const {
  Message m;
  m.version = version_id_;
  m.age_ms = (now - chosen_at_) / 1000;
  m.schema = options_.schema;
  m.cannot_read = unreadable_.count(version_id_.hash) > 0;
  return m;
}

void Consensus::Send(int to, const Message& message, std::vector<Outgoing>* out) {
  if (to == options_.self) return;
  ++counters_.messages_sent;
  out->push_back({to, Encode(message)});
}

void Consensus::Receive(Micros now, int from, std::string_view section,
                        std::vector<Outgoing>* out) {
  if (from < 0 || from >= options_.nodes || from == options_.self) return;
  const std::optional<Message> message = DecodeMessage(section);
  if (!message) {
    ++counters_.malformed;
    return;
  }
  const Message& m = *message;
  Other& o = others_[static_cast<std::size_t>(from)];
  o.last_received = now;
  o.version = m.version;
  o.schema = m.schema;
  highest_ballot_ = std::max({highest_ballot_, m.promised, m.accepted, m.ballot, m.value_ballot});
  Learn(now, from, m.version, m.age_ms, out);
  if (m.cannot_read && m.version == version_id_)
    rejecting_nodes_.insert(from);
  else
    rejecting_nodes_.erase(from);
  if (m.query != 0) Send(from, ReplyToQuery(now, m), out);
  if (m.reply_to != 0) OnQueryReply(now, from, m);
  if (m.step != Step::kNone) OnStep(now, from, m, out);
  if (m.requested_hash != 0) SendParts(now, from, m, out);
  if (m.part_hash != 0) OnDocumentPart(now, from, m, out);
}

// The reply to a query: whether this node vouches for the sender's version, and its acceptor state.
Message Consensus::ReplyToQuery(Micros now, const Message& query) const {
  Message answer = NewMessage(now);
  answer.reply_to = query.query;
  const bool is_voting = current() != nullptr && IsVoter(options_.self);
  answer.vouches = is_voting && !recovering_ && query.version == version_id_ &&
                   (NothingAccepted() || disabled_guards_.clean);
  answer.recovering = recovering_;
  answer.started_epoch = epoch_started_at_ >= 0 && now < epoch_started_at_ + options_.lease;
  answer.promised = promised_;
  answer.accepted = accepted_;
  answer.accepted_hash = accepted_hash_;
  if (!is_voting) return answer;
  answer.holders.assign(static_cast<std::size_t>(options_.nodes + 7) / 8, '\0');
  for (int n = 0; n < options_.nodes; ++n) {
    const Other& other = others_[static_cast<std::size_t>(n)];
    if (n == options_.self || (other.version == version_id_ && other.last_received > 0 &&
                               other.last_received > now - 4 * options_.round_interval))
      answer.holders[static_cast<std::size_t>(n) / 8] |= static_cast<char>(1 << (n % 8));
  }
  return answer;
}

void Consensus::OnQueryReply(Micros now, int from, const Message& m) {
  const auto it = pending_queries_.find(m.reply_to);
  if (it == pending_queries_.end() || it->second < now - options_.lease) return;
  Other& o = others_[static_cast<std::size_t>(from)];
  const Micros sent = it->second;
  if (m.vouches && m.version == version_id_ && IsVoter(from)) {
    if (!(o.vouched_version == version_id_)) o.vouched_at = -1;
    o.vouched_version = version_id_;
    o.vouched_at = std::max(o.vouched_at, sent);
  }
  if (sent < o.answered_at) return;
  o.answered_at = sent;
  o.recovering = m.recovering;
  o.started_epoch = m.started_epoch;
  o.answered_version = m.version;
  o.promised = m.promised;
  o.accepted = m.accepted;
  o.accepted_hash = m.accepted_hash;
  o.holders = m.holders;
}

}  // namespace pearreach::rules
