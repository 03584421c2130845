#include "tier/control/change_forwarder.h"

#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {
namespace {

using coordination::ChangeStatus;

constexpr std::uint32_t kMaxHops = 3;       // nodes that forward one change
constexpr Micros kRetryBackoff = 50 * kMs;  // until the members agree on a view
constexpr Micros kWatchPeriod = 50 * kMs;   // of the node that a change was forwarded to

WriteResponse ResponseOf(ChangeStatus status) {
  WriteResponse response;
  response.status = static_cast<std::uint8_t>(status);
  return response;
}

WriteResponse ResponseOf(const coordination::ChangeResult& result) {
  WriteResponse response = ResponseOf(result.status);
  response.revision = result.revision;
  response.hint = result.hint;
  return response;
}

bool IsNotHead(const WriteResponse& response) {
  return response.status == static_cast<std::uint8_t>(ChangeStatus::kNotHead);
}

}  // namespace

ChangeForwarder::ChangeForwarder(TimeSource* time, rpc::Transport* transport,
                                 const MemberDirectory* directory, ReplicaDriver* replica,
                                 const QuorumConnectivity* connectivity,
                                 const StallDetector* stalls)
    : time_(time),
      transport_(transport),
      directory_(directory),
      replica_(replica),
      connectivity_(connectivity),
      stalls_(stalls) {
  transport_->Handle(
      rpc::MessageType::kControlWrite,
      callbacks_.Bind([this](const std::string&, std::string_view body,
                             const rpc::Respond& respond) { OnForwarded(body, respond); }));
}

void ChangeForwarder::OnForwarded(std::string_view body, const rpc::Respond& respond) {
  auto request = codec::Decode<WriteRequest>(body);
  if (!request.ok()) return respond(request.status());
  // Certainly not applied: a sender that still waits tries again within its own time.
  if (stalls_->MayReadLateMessages())
    return respond(codec::Encode(ResponseOf(ChangeStatus::kNotHead)));
  ++request->hops;
  Change(*std::move(request),
         [respond](const WriteResponse& response) { respond(codec::Encode(response)); });
}

void ChangeForwarder::Change(WriteRequest request, Done done) {
  auto pending = std::make_shared<PendingChange>();
  pending->deadline = time_->Now() + request.timeout;
  pending->request = std::move(request);
  pending->done = std::move(done);
  StartAttempt(pending);
}

void ChangeForwarder::StartAttempt(const PendingChangePtr& pending) {
  const Micros time_left = pending->deadline - time_->Now();
  if (time_left <= 0) return Finish(pending, ResponseOf(ChangeStatus::kUnavailable));
  if (CanChangeLocally()) return ChangeLocally(pending, time_left);
  if (pending->request.hops >= kMaxHops)
    return HandleResponse(pending, ResponseOf(ChangeStatus::kNotHead));
  const Contact to = ChooseTarget(pending);
  if (to.address.empty()) return HandleResponse(pending, ResponseOf(ChangeStatus::kNotHead));
  Forward(pending, to, time_left);
}

// A head that does not reach a majority, or whose disk takes no writes, could only delay the
// change.
bool ChangeForwarder::CanChangeLocally() const {
  return replica_ != nullptr && replica_->is_head() && connectivity_->IsSingletonRoleCandidate() &&
         connectivity_->TakesWrites();
}

// An isolated quorum member reaches the head through nodes outside the quorum.
bool ChangeForwarder::IsIsolated() const { return replica_ != nullptr && replica_->IsIsolated(); }

Contact ChangeForwarder::ChooseTarget(const PendingChangePtr& pending) const {
  if (IsIsolated()) {
    const std::vector<Contact> others = directory_->NonQuorumContacts();
    const bool may_search = pending->request.hops == 0 && !others.empty();
    return may_search ? others[pending->attempts++ % others.size()] : Contact();
  }
  const std::string hint = std::exchange(pending->hint, "");
  std::string preferred = hint;
  if (preferred.empty() && replica_ != nullptr && !replica_->view().members.empty() &&
      pending->attempts == 0) {
    preferred = replica_->view().members.front().name;
  }
  ++pending->attempts;
  if (IsReachable(preferred)) return {preferred, directory_->FindLive(preferred)->info.address};
  // A quorum member does not search for the head on behalf of another node: it responds kNotHead.
  if (pending->request.hops > 0 && replica_ != nullptr) return {};
  const std::vector<Contact> contacts = directory_->QuorumContacts();
  if (contacts.empty()) return {};
  return contacts[(pending->attempts - 1) % contacts.size()];
}

void ChangeForwarder::ChangeLocally(const PendingChangePtr& pending, Micros time_left) {
  const ControlChange& change = pending->request.change;
  replica_->Change({0, change.key, change.expected_revision, change.value, change.fencing_token,
                    change.change_id},
                   time_left,
                   callbacks_.Bind([this, pending](const coordination::ChangeResult& result) {
                     HandleResponse(pending, ResponseOf(result));
                   }));
}

void ChangeForwarder::Forward(const PendingChangePtr& pending, const Contact& to,
                              Micros time_left) {
  pending->request.timeout = time_left;
  const std::size_t number = pending->forwarded_attempt = pending->attempts;
  transport_->Call(
      to.address, rpc::MessageType::kControlWrite, codec::Encode(pending->request), time_left,
      callbacks_.Bind([this, pending, number](const absl::StatusOr<std::string>& response) {
        if (pending->forwarded_attempt != number) return;
        pending->forwarded_attempt = 0;
        auto decoded = response.ok() ? codec::Decode<WriteResponse>(*response) : response.status();
        // The change may have been applied: it must not be sent again.
        if (!decoded.ok()) return Finish(pending, ResponseOf(ChangeStatus::kUnavailable));
        HandleResponse(pending, *decoded);
      }));
  if (IsReachable(to.name)) WatchTarget(pending, number, to.name);
}

// Stops waiting for the response of a node that is found to be unreachable.
void ChangeForwarder::WatchTarget(const PendingChangePtr& pending, std::size_t number,
                                  const std::string& to) {
  time_->After(kWatchPeriod, callbacks_.Bind([this, pending, number, to] {
    if (pending->forwarded_attempt != number) return;
    if (IsReachable(to)) return WatchTarget(pending, number, to);
    pending->forwarded_attempt = 0;
    Finish(pending, ResponseOf(ChangeStatus::kUnavailable));
  }));
}

bool ChangeForwarder::IsReachable(const std::string& name) const {
  const coordination::Member* member = directory_->FindLive(name);
  return member != nullptr && member->status == coordination::MemberStatus::kAlive &&
         !connectivity_->IsUnreachable(name);
}

void ChangeForwarder::Finish(const PendingChangePtr& pending, const WriteResponse& response) {
  std::exchange(pending->done, nullptr)(response);
}

void ChangeForwarder::HandleResponse(const PendingChangePtr& pending,
                                     const WriteResponse& response) {
  if (!IsNotHead(response) || pending->request.hops > 0) return Finish(pending, response);
  pending->hint = response.hint == directory_->self() ? "" : response.hint;
  ScheduleRetry(pending);
}

void ChangeForwarder::ScheduleRetry(const PendingChangePtr& pending) {
  time_->After(kRetryBackoff, callbacks_.Bind([this, pending] { StartAttempt(pending); }));
}

}  // namespace pearreach::control
