#include "tier/control/quorum_recovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/coordination/view_agreement.h"
#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

using coordination::ReplicaId;

constexpr Micros kViewPollPeriod = 50 * kMs;

}  // namespace

QuorumRecovery::QuorumRecovery(TimeSource* time, rpc::Transport* transport,
                               const MemberDirectory* directory, ReplicaDriver* replica,
                               int tolerance)
    : time_(time),
      transport_(transport),
      directory_(directory),
      replica_(replica),
      tolerance_(tolerance) {}

bool QuorumRecovery::IsLive(const ReplicaId& member) const {
  if (member.name == directory_->self()) return true;
  const coordination::Member* known = directory_->FindLive(member.name);
  return known != nullptr && known->info.disk_id == member.disk_id;
}

std::vector<QuorumMemberStatus> QuorumRecovery::Members() const {
  std::vector<QuorumMemberStatus> members;
  if (replica_ == nullptr) return members;
  for (const ReplicaId& id : replica_->view().members) members.push_back({id, IsLive(id)});
  return members;
}

absl::Status QuorumRecovery::CheckOrder(const ReplicaId& lost) const {
  const auto members = Members();
  const auto live = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [](const QuorumMemberStatus& m) { return m.live; }));
  if (IsLive(lost)) return absl::FailedPreconditionError(lost.name + " is live");
  if (live >= coordination::chain::MajorityOf(members.size()))
    return absl::FailedPreconditionError(
        "a majority of the members is live: nothing is to be done");
  if (members.size() - live > coordination::chain::MaxGoneAcceptors(members.size(), tolerance_))
    return absl::FailedPreconditionError(
        fmt::format("{} of {} members are not live, more than may be lost at once",
                    members.size() - live, members.size()));
  return absl::OkStatus();
}

void QuorumRecovery::Forget(const std::string& member, Micros timeout, Done done) {
  auto order = std::make_shared<PendingOrder>();
  order->deadline = time_->Now() + timeout;
  order->done = std::move(done);
  if (replica_ == nullptr || !replica_->InView())
    return Finish(order, absl::FailedPreconditionError("this node is not a member of the view"));
  const auto& members = replica_->view().members;
  const auto lost = std::find_if(members.begin(), members.end(),
                                 [&](const ReplicaId& id) { return id.name == member; });
  if (lost == members.end()) return Finish(order, absl::OkStatus());
  order->lost = *lost;
  order->epoch = replica_->view().epoch;
  if (const absl::Status status = CheckOrder(*lost); !status.ok()) return Finish(order, status);
  const std::vector<ReplicaId> witnesses = witnesses_ ? witnesses_() : std::vector<ReplicaId>();
  if (witnesses.empty())
    return Finish(order, absl::FailedPreconditionError("there are no stores that could vote"));
  time_->After(timeout, callbacks_.Bind([order] {
    Finish(order, absl::UnavailableError("not enough stores have answered, or no view is agreed"));
  }));
  logging::Warning("control", "asking the stores to go on without a member",
                   {logging::F("member", lost->name), logging::F("disk", lost->disk_id),
                    logging::F("stores", witnesses.size())});
  RequestVotes(order, witnesses);
}

void QuorumRecovery::RequestVotes(const PendingOrderPtr& order,
                                  const std::vector<ReplicaId>& from) {
  order->witnesses = from.size();
  const ReplicaId* self = nullptr;
  for (const ReplicaId& id : replica_->view().members) {
    if (id.name == directory_->self()) self = &id;
  }
  const std::string request = codec::Encode(WitnessVote{order->epoch, *self});
  for (const ReplicaId& witness : from) {
    const coordination::Member* store = directory_->FindLive(witness.name);
    if (store == nullptr || store->info.disk_id != witness.disk_id) continue;
    transport_->Call(store->info.address, rpc::MessageType::kWitnessVote, request,
                     order->deadline - time_->Now(),
                     callbacks_.Bind([this, order](const absl::StatusOr<std::string>& response) {
                       auto vote = response.ok() ? codec::Decode<WitnessVote>(*response)
                                                 : response.status();
                       if (vote.ok()) OnVote(order, *vote);
                     }));
  }
}

void QuorumRecovery::OnVote(const PendingOrderPtr& order, const WitnessVote& vote) {
  if (order->done == nullptr) return;
  const bool granted = vote.epoch == order->epoch && vote.candidate.name == directory_->self();
  ++(granted ? order->granted : order->refused);
  if (!granted && 2 * order->refused >= order->witnesses)
    return Finish(order,
                  absl::FailedPreconditionError(fmt::format("the stores have chosen {} in view {}",
                                                            vote.candidate.name, vote.epoch)));
  const std::size_t majority = coordination::chain::MajorityOf(order->witnesses);
  if (!granted || order->granted != majority) return;
  if (replica_->view().epoch == order->epoch) replica_->Forget(order->lost);
  AwaitView(order);
}

void QuorumRecovery::AwaitView(const PendingOrderPtr& order) {
  if (order->done == nullptr) return;
  const auto& view = replica_->view();
  if (view.epoch > order->epoch && !coordination::chain::Contains(view.members, order->lost))
    return Finish(order, absl::OkStatus());
  time_->After(kViewPollPeriod, callbacks_.Bind([this, order] { AwaitView(order); }));
}

void QuorumRecovery::Finish(const PendingOrderPtr& order, const absl::Status& status) {
  if (order->done != nullptr) std::exchange(order->done, nullptr)(status);
}

}  // namespace pearreach::control
