#include "tier/coordination/view_agreement.h"

#include <algorithm>
#include <utility>

namespace pearreach::coordination::chain {
namespace {

constexpr char kAcceptorKey[] = "chain/acceptor";

struct AcceptorRecord {
  std::uint64_t epoch = 0;
  ProposalNumber promised, accepted_number;
  Proposal accepted;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& epoch& promised& accepted_number& accepted;
  }
};

}  // namespace

bool Contains(const std::vector<ReplicaId>& members, const ReplicaId& id) {
  return std::find(members.begin(), members.end(), id) != members.end();
}

std::size_t MajorityOf(std::size_t members) { return members / 2 + 1; }

std::size_t MaxGoneAcceptors(std::size_t acceptors, int tolerance) {
  return std::min<std::size_t>(std::max(tolerance, 0), acceptors / 2);
}

bool IsQuorum(const std::vector<ReplicaId>& acceptors, const std::set<ReplicaId>& answered,
              const std::set<ReplicaId>& gone, int tolerance) {
  std::size_t responses = 0, lost = 0, missing = 0;
  for (const ReplicaId& acceptor : acceptors) {
    if (answered.count(acceptor) > 0) {
      ++responses;
    } else if (gone.count(acceptor) > 0) {
      ++lost;
    } else {
      ++missing;
    }
  }
  if (responses == 0) return false;
  if (responses >= MajorityOf(acceptors.size())) return true;
  return missing == 0 && lost <= MaxGoneAcceptors(acceptors.size(), tolerance);
}

Acceptor::Acceptor(std::uint64_t epoch, const Records& records) : epoch_(epoch) {
  const auto found = records.find(kAcceptorKey);
  if (found == records.end()) return;
  auto record = codec::Decode<AcceptorRecord>(found->second);
  if (!record.ok() || record->epoch != epoch) return;
  promised_ = std::move(record->promised);
  accepted_number_ = std::move(record->accepted_number);
  accepted_ = std::move(record->accepted);
}

bool Acceptor::Promise(const ProposalNumber& proposal_number) {
  if (proposal_number < promised_) return false;
  promised_ = proposal_number;
  return true;
}

bool Acceptor::Accept(const ProposalNumber& proposal_number, const Proposal& proposal) {
  if (proposal_number < promised_) return false;
  promised_ = proposal_number;
  accepted_number_ = proposal_number;
  accepted_ = proposal;
  return true;
}

Records Acceptor::Save(const Version& available) const {
  AcceptorRecord record{epoch_, promised_, accepted_number_, accepted_};
  if (accepted_.base == available) record.accepted.map = {};
  return {{kAcceptorKey, codec::Encode(record)}};
}

Proposer::Proposer(ProposalNumber proposal_number, std::vector<ReplicaId> acceptors, int tolerance,
                   const Version& own, std::shared_ptr<const Map> own_map)
    : proposal_number_(std::move(proposal_number)),
      acceptors_(std::move(acceptors)),
      tolerance_(tolerance),
      own_(own),
      own_map_(std::move(own_map)),
      maps_{{own, own_map_}} {}

void Proposer::OnPromise(const ReplicaId& from, const Promise& response) {
  if (response.proposal_number != proposal_number_ || proposal_ || !Contains(acceptors_, from))
    return;
  if (response.latest > own_ && !response.map.map) return;
  Proposal accepted = response.accepted;
  if (response.accepted_number.round > 0 && !accepted.map.map) {
    if (accepted.base == own_) accepted.map.map = own_map_;
    if (accepted.base == response.latest && response.map.map) accepted.map.map = response.map.map;
    if (!accepted.map.map) return;
  }
  answered_.insert(from);
  promised_[from] = response.latest;
  if (response.map.map) maps_[response.latest] = response.map.map;
  if (response.accepted_number > former_number_) {
    former_number_ = response.accepted_number;
    former_ = std::move(accepted);
  }
}

void Proposer::OnAcceptorGone(const ReplicaId& from, const ProposalNumber& proposal_number) {
  if (proposal_number != proposal_number_) return;
  for (const ReplicaId& acceptor : acceptors_) {
    if (acceptor.name == from.name && acceptor.disk_id != from.disk_id) gone_.insert(acceptor);
  }
}

void Proposer::AssumeGone(const ReplicaId& acceptor) {
  if (Contains(acceptors_, acceptor)) gone_.insert(acceptor);
}

void Proposer::OnAccepted(const ReplicaId& from, const ProposalNumber& proposal_number) {
  if (proposal_number != proposal_number_ || !proposal_ || !Contains(acceptors_, from)) return;
  accepted_.insert(from);
}

bool Proposer::MayPropose() const {
  return !proposal_ && IsQuorum(acceptors_, answered_, gone_, tolerance_);
}

bool Proposer::IsDecided() const {
  return proposal_ && IsQuorum(acceptors_, accepted_, gone_, tolerance_);
}

void Proposer::Choose(std::uint64_t epoch, std::vector<ReplicaId> members, const State& committed) {
  proposal_ = former_number_.round > 0 ? former_ : StartOf({epoch, std::move(members)}, committed);
}

Proposal Proposer::StartOf(View view, const State& committed) const {
  Version oldest = promised_.begin()->second;
  for (const auto& [acceptor, version] : promised_) oldest = std::min(oldest, version);
  if (committed.map && oldest <= committed.version)
    return {std::move(view), committed.version, {committed.map}};
  const auto start = maps_.find(oldest);
  // A state that nobody else has heard of: a disk was rolled back. The newest one is the safe one.
  const auto& [base, map] = start != maps_.end() ? *start : *maps_.rbegin();
  return {std::move(view), base, {map}};
}

std::vector<ReplicaId> Proposer::Unanswered() const {
  std::vector<ReplicaId> missing;
  const std::set<ReplicaId>& responses = proposal_ ? accepted_ : answered_;
  for (const ReplicaId& acceptor : acceptors_) {
    if (responses.count(acceptor) == 0 && gone_.count(acceptor) == 0) missing.push_back(acceptor);
  }
  return missing;
}

bool Proposer::HasMap(const ReplicaId& acceptor) const {
  const auto found = promised_.find(acceptor);
  return found != promised_.end() && proposal_ && found->second == proposal_->base;
}

}  // namespace pearreach::coordination::chain
