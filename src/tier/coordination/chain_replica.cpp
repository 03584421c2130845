#include "tier/coordination/chain_replica.h"

#include <algorithm>
#include <utility>

namespace pearreach::coordination {
namespace {

// A member is removed once it has been down for this many times the retry interval.
constexpr int kRetriesBeforeRemoval = 2;

constexpr char kFoundersKey[] = "chain/founders";

std::vector<ReplicaId> LoadFounders(const chain::Records& records) {
  const auto found = records.find(kFoundersKey);
  if (found == records.end()) return {};
  auto founders = codec::Decode<std::vector<ReplicaId>>(found->second);
  return founders.ok() ? *std::move(founders) : std::vector<ReplicaId>{};
}

}  // namespace

ChainReplica::Impl::Impl(ChainOptions options, const chain::Records& records, std::uint64_t seed,
                         Micros now)
    : options_(std::move(options)),
      random_(seed),
      state_(records),
      acceptor_(state_.view().epoch, records),
      target_(options_.self, options_.tolerance,
              {kRetriesBeforeRemoval * options_.retry, options_.call_timeout,
               now + options_.call_timeout}),
      pending_since_(now),
      append_timer_(options_.retry),
      founders_(LoadFounders(records)),
      founder_(options_.bootstrap || !founders_.empty()),
      proposer_timer_(options_.retry),
      greatest_round_(acceptor_.promised().round),
      view_request_timer_(options_.retry),
      instance_(random_()) {
  predecessors_have_start_ = IsHead() || state_.latest().version.sequence > 0;
}

void ChainReplica::Impl::SetPeers(Micros now, const std::vector<Peer>& peers, Effects* out) {
  target_.SetPeers(now, peers);
  Run(now, out);
}

void ChainReplica::Impl::SetFounders(Micros now, std::vector<ReplicaId> founders, Effects* out) {
  std::sort(founders.begin(), founders.end());
  const bool open = founder_ && state_.view().epoch == 0 && !acceptor_.sealed();
  if (!open || founders.empty() || founders == founders_) return;
  founders_ = std::move(founders);
  out_ = out;
  Sync({{kFoundersKey, codec::Encode(founders_)}});
  proposer_.reset();
  Run(now, out);
}

void ChainReplica::Impl::Receive(Micros now, const std::string& from, std::string_view bytes,
                                 Effects* out) {
  auto envelope = chain::DecodeEnvelope(bytes);
  if (!envelope.ok()) return;
  if (!from.empty() && envelope->header.from.name != from) return;
  out_ = out;
  target_.OnContact(now, envelope->header.from);
  Dispatch(now, *envelope);
  Run(now, out);
}

void ChainReplica::Impl::OnPersisted(Micros now, std::uint64_t token, Effects* out) {
  synced_out_of_order_.insert(token);
  while (synced_out_of_order_.erase(synced_token_ + 1) > 0) ++synced_token_;
  Run(now, out);
}

void ChainReplica::Impl::Forget(Micros now, const ReplicaId& lost, Effects* out) {
  const bool member = chain::Contains(state_.view().members, lost) && lost != options_.self;
  if (member && !target_.IsAlive(lost)) {
    forgotten_.insert(lost);
    target_.SetForgotten(forgotten_);
    proposer_.reset();  // the next proposal does without it
  }
  Run(now, out);
}

bool ChainReplica::Impl::IsHead() const {
  const auto& members = state_.view().members;
  return !members.empty() && members.front() == options_.self;
}

bool ChainReplica::Impl::IsTail() const {
  const auto& members = state_.view().members;
  return !members.empty() && members.back() == options_.self;
}

const ReplicaId* ChainReplica::Impl::Neighbour(int step) const {
  const auto& members = state_.view().members;
  const auto self = std::find(members.begin(), members.end(), options_.self);
  if (self == members.end()) return nullptr;
  const auto index = (self - members.begin()) + step;
  if (index < 0 || index >= static_cast<std::ptrdiff_t>(members.size())) return nullptr;
  return &members[index];
}

// Advances every part as far as possible, and finds when the next tick is due.
void ChainReplica::Impl::Run(Micros now, Effects* out) {
  out_ = out;
  do {
    const auto messages = std::exchange(loopback_, {});
    for (const chain::Envelope& envelope : messages) Dispatch(now, envelope);
    next_tick_ = chain::kNever;
    AdvanceReplication(now);
    AdvanceReads(now);
    AdvanceViews(now);
    ReleaseMessages();
  } while (!loopback_.empty());
  out_ = nullptr;
}

void ChainReplica::Impl::Send(const std::string& to, chain::Body body) {
  deferred_messages_.push_back(
      {last_token_, to, {{options_.self, state_.view().epoch}, std::move(body)}});
}

void ChainReplica::Impl::Sync(chain::Records records) {
  out_->persists.push_back({++last_token_, std::move(records)});
}

void ChainReplica::Impl::ReleaseMessages() {
  while (!deferred_messages_.empty() && deferred_messages_.front().token <= synced_token_) {
    DeferredMessage message = std::move(deferred_messages_.front());
    deferred_messages_.pop_front();
    if (message.to == options_.self.name) {
      loopback_.push_back(std::move(message.envelope));
    } else {
      out_->messages.push_back({message.to, chain::EncodeEnvelope(message.envelope)});
    }
  }
}

void ChainReplica::Impl::Dispatch(Micros now, const chain::Envelope& envelope) {
  const chain::Header& header = envelope.header;
  if (const auto* prepare = std::get_if<chain::Prepare>(&envelope.body)) {
    ReplyIfReplaced(header, *prepare);
  }
  const std::uint64_t epoch = state_.view().epoch;
  if (header.epoch > epoch) {
    if (const auto* response = std::get_if<chain::ViewResponse>(&envelope.body)) {
      OnViewResponse(now, *response);
    } else if (!std::holds_alternative<chain::ViewRequest>(envelope.body)) {
      RequestView(now, header);
    }
    return;
  }
  if (header.epoch < epoch) {
    // This response to a proposal comes from any epoch: a wiped node has none.
    if (const auto* gone = std::get_if<chain::AcceptorGone>(&envelope.body)) {
      On(now, header, *gone);
      return;
    }
    ReplyToOlderEpoch(header, envelope.body);
    return;
  }
  std::visit([&](const auto& message) { On(now, header, message); }, envelope.body);
}

ChainReplica::ChainReplica(ChainOptions options, const std::map<std::string, std::string>& records,
                           std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(std::move(options), records, seed, now)) {}

ChainReplica::~ChainReplica() = default;

void ChainReplica::SetPeers(Micros now, const std::vector<Peer>& peers, Effects* out) {
  impl_->SetPeers(now, peers, out);
}

void ChainReplica::SetFounders(Micros now, std::vector<ReplicaId> founders, Effects* out) {
  impl_->SetFounders(now, std::move(founders), out);
}

void ChainReplica::Receive(Micros now, const std::string& from, std::string_view bytes,
                           Effects* out) {
  impl_->Receive(now, from, bytes, out);
}

void ChainReplica::OnPersisted(Micros now, std::uint64_t token, Effects* out) {
  impl_->OnPersisted(now, token, out);
}

void ChainReplica::Forget(Micros now, const ReplicaId& lost, Effects* out) {
  impl_->Forget(now, lost, out);
}

Micros ChainReplica::NextTick() const { return impl_->NextTick(); }

void ChainReplica::Tick(Micros now, Effects* out) { impl_->Tick(now, out); }

void ChainReplica::Change(Micros now, ChangeRequest request, Effects* out) {
  impl_->Change(now, std::move(request), out);
}

void ChainReplica::Read(Micros now, std::uint64_t ticket, Effects* out) {
  impl_->Read(now, ticket, out);
}

const View& ChainReplica::view() const { return impl_->state().view(); }

bool ChainReplica::is_head() const { return impl_->IsHead(); }

bool ChainReplica::is_changing_view() const { return impl_->IsAgreeing(); }

std::shared_ptr<const Map> ChainReplica::committed() const {
  return impl_->state().committed().map;
}

Version ChainReplica::committed_version() const { return impl_->state().committed().version; }

}  // namespace pearreach::coordination
