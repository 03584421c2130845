#include "tier/control/strict_reader.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {
namespace {

constexpr Micros kPause = 30 * kMs;
constexpr Micros kMinTry = 150 * kMs;  // one member gets no less, while time is left

// A sure answer without a map: nothing has ever been set.
std::shared_ptr<const coordination::Map> MapOf(const coordination::ReadResult& result) {
  return result.map != nullptr ? result.map : std::make_shared<const coordination::Map>();
}

coordination::ChangeHistoryStatus HistoryStatusOf(const LinearizableReader::Mark& change_id,
                                                  const coordination::Map& map) {
  if (!change_id) return coordination::ChangeHistoryStatus::kForgotten;
  return coordination::FindInChangeHistory(map, kConfigKey, *change_id);
}

}  // namespace

LinearizableReader::LinearizableReader(TimeSource* time, rpc::Transport* transport,
                                       SnapshotStore* snapshots, const MemberDirectory* directory,
                                       ReplicaDriver* replica,
                                       const QuorumConnectivity* connectivity)
    : time_(time),
      transport_(transport),
      snapshots_(snapshots),
      directory_(directory),
      replica_(replica),
      connectivity_(connectivity) {
  transport_->Handle(
      rpc::MessageType::kControlRead,
      callbacks_.Bind([this](const std::string&, std::string_view body,
                             const rpc::Respond& respond) { Serve(body, respond); }));
}

void LinearizableReader::Serve(std::string_view body, const rpc::Respond& respond) {
  const auto request = codec::Decode<ReadRequest>(body);
  if (!request.ok()) return respond(request.status());
  if (replica_ == nullptr) return ServeForCutOff(*request, respond);
  replica_->Read(request->timeout,
                 [respond, request = *request](const coordination::ReadResult& result) {
                   if (!result.ok) return respond(codec::Encode(StateUpdate()));
                   const auto map = MapOf(result);
                   StateUpdate update = UpdateFor(request.revisions, result.version, *map);
                   update.history_status = HistoryStatusOf(request.change_id, *map);
                   respond(codec::Encode(update));
                 });
}

// A node outside the quorum reads for a member that does not reach the others.
void LinearizableReader::ServeForCutOff(const ReadRequest& request, const rpc::Respond& respond) {
  if (!request.passed_on) return respond(absl::FailedPreconditionError("not a quorum member"));
  Read(request.change_id, request.timeout,
       [respond, known = request.revisions](const absl::StatusOr<ChangeHistoryRead>& reading) {
         if (!reading.ok()) return respond(codec::Encode(StateUpdate()));
         const ControlSnapshot& snapshot = *reading->snapshot;
         StateUpdate update = UpdateFor(known, snapshot.version, *snapshot.map);
         update.history_status = reading->history_status;
         respond(codec::Encode(update));
       });
}

bool LinearizableReader::IsCutOff() const {
  return replica_ != nullptr && replica_->InView() && connectivity_->HasLostMajority();
}

void LinearizableReader::Read(const Mark& change_id, Micros timeout, Done done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->change_id = change_id;
  attempt->deadline = time_->Now() + timeout;
  attempt->done = std::move(done);
  Try(attempt);
}

void LinearizableReader::Try(const AttemptPtr& attempt) {
  const Micros left = attempt->deadline - time_->Now();
  if (left <= 0) return attempt->done(absl::UnavailableError("no sure answer in time"));
  const Micros timeout = std::min(left, std::max(left / 2, kMinTry));
  const std::size_t number = attempt->attempts++;
  const std::vector<Contact> members = directory_->QuorumContacts();
  const std::vector<Contact> others = directory_->PlainContacts();
  if (IsCutOff() && !others.empty() && number % 2 == 0) {
    return Ask(attempt, others[number / 2 % others.size()], timeout);
  }
  const bool is_member = replica_ != nullptr && replica_->InView();
  if (is_member && (number == 0 || members.empty())) return TryHere(attempt, timeout);
  if (!members.empty()) return Ask(attempt, members[number % members.size()], timeout);
  Failed(attempt);
}

void LinearizableReader::TryHere(const AttemptPtr& attempt, Micros timeout) {
  replica_->Read(timeout, callbacks_.Bind([this, attempt](const coordination::ReadResult& result) {
    if (!result.ok) return Failed(attempt);
    const auto map = MapOf(result);
    snapshots_->ApplyConfirmed(result.version, map);
    attempt->done(
        ChangeHistoryRead{snapshots_->current(), HistoryStatusOf(attempt->change_id, *map)});
  }));
}

void LinearizableReader::Ask(const AttemptPtr& attempt, const Contact& contact, Micros timeout) {
  const ReadRequest request{RevisionsOf(*snapshots_->current()), timeout, attempt->change_id,
                            IsCutOff()};
  transport_->Call(
      contact.address, rpc::MessageType::kControlRead, codec::Encode(request), timeout,
      callbacks_.Bind([this, attempt](const absl::StatusOr<std::string>& answer) {
        auto update = answer.ok() ? codec::Decode<StateUpdate>(*answer) : answer.status();
        if (!update.ok() || !update->present) return Failed(attempt);
        const coordination::ChangeHistoryStatus history_status = update->history_status;
        snapshots_->ApplyConfirmed(*std::move(update));
        attempt->done(ChangeHistoryRead{snapshots_->current(), history_status});
      }));
}

void LinearizableReader::Failed(const AttemptPtr& attempt) {
  const Micros left = attempt->deadline - time_->Now();
  time_->After(std::min(kPause, std::max<Micros>(left, 0)),
               callbacks_.Bind([this, attempt] { Try(attempt); }));
}

}  // namespace pearreach::control
