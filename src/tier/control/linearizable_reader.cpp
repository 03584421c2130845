#include "tier/control/linearizable_reader.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {
namespace {

constexpr Micros kRetryBackoff = 30 * kMs;        // between two attempts
constexpr Micros kMinAttemptTimeout = 150 * kMs;  // of each member, while time is left

// A confirmed result without a map means that no key has ever been set.
std::shared_ptr<const coordination::Map> MapOf(const coordination::ReadResult& result) {
  return result.map != nullptr ? result.map : std::make_shared<const coordination::Map>();
}

coordination::ChangeHistoryStatus HistoryStatusOf(
    const LinearizableReader::OptionalChangeId& change_id, const coordination::Map& map) {
  if (!change_id) return coordination::ChangeHistoryStatus::kForgotten;
  return coordination::FindInChangeHistory(map, kConfigKey, *change_id);
}

}  // namespace

LinearizableReader::LinearizableReader(TimeSource* time, rpc::Transport* transport,
                                       SnapshotStore* snapshots, const MemberDirectory* directory,
                                       ReplicaDriver* replica)
    : time_(time),
      transport_(transport),
      snapshots_(snapshots),
      directory_(directory),
      replica_(replica) {
  transport_->Handle(
      rpc::MessageType::kControlRead,
      callbacks_.Bind([this](const std::string&, std::string_view body,
                             const rpc::Respond& respond) { Serve(body, respond); }));
}

void LinearizableReader::Serve(std::string_view body, const rpc::Respond& respond) {
  const auto request = codec::Decode<ReadRequest>(body);
  if (!request.ok()) return respond(request.status());
  if (replica_ == nullptr) return ServeForIsolatedMember(*request, respond);
  replica_->Read(request->timeout,
                 [respond, request = *request](const coordination::ReadResult& result) {
                   if (!result.ok) return respond(codec::Encode(StateUpdate()));
                   const auto map = MapOf(result);
                   StateUpdate update = UpdateFor(request.revisions, result.version, *map);
                   update.history_status = HistoryStatusOf(request.change_id, *map);
                   respond(codec::Encode(update));
                 });
}

// A node outside the quorum reads on behalf of a member that is partitioned from the others.
void LinearizableReader::ServeForIsolatedMember(const ReadRequest& request,
                                                const rpc::Respond& respond) {
  if (!request.forwarded) return respond(absl::FailedPreconditionError("not a quorum member"));
  Read(request.change_id, request.timeout,
       [respond, known = request.revisions](const absl::StatusOr<ChangeHistoryRead>& history_read) {
         if (!history_read.ok()) return respond(codec::Encode(StateUpdate()));
         const ControlSnapshot& snapshot = *history_read->snapshot;
         StateUpdate update = UpdateFor(known, snapshot.version, *snapshot.map);
         update.history_status = history_read->history_status;
         respond(codec::Encode(update));
       });
}

bool LinearizableReader::IsIsolated() const {
  return replica_ != nullptr && replica_->IsIsolated();
}

void LinearizableReader::Read(const OptionalChangeId& change_id, Micros timeout, Done done) {
  auto read = std::make_shared<PendingRead>();
  read->change_id = change_id;
  read->deadline = time_->Now() + timeout;
  read->done = std::move(done);
  StartAttempt(read);
}

void LinearizableReader::StartAttempt(const PendingReadPtr& read) {
  const Micros time_left = read->deadline - time_->Now();
  if (time_left <= 0) return read->done(absl::UnavailableError("no sure answer in time"));
  const Micros timeout = std::min(time_left, std::max(time_left / 2, kMinAttemptTimeout));
  const std::size_t number = read->attempts++;
  const std::vector<Contact> members = directory_->QuorumContacts();
  const std::vector<Contact> non_members = directory_->NonQuorumContacts();
  if (IsIsolated() && !non_members.empty() && number % 2 == 0) {
    return ReadRemotely(read, non_members[number / 2 % non_members.size()], timeout);
  }
  const bool is_member = replica_ != nullptr && replica_->InView();
  if (is_member && (number == 0 || members.empty())) return ReadLocally(read, timeout);
  if (!members.empty()) return ReadRemotely(read, members[number % members.size()], timeout);
  ScheduleRetry(read);
}

void LinearizableReader::ReadLocally(const PendingReadPtr& read, Micros timeout) {
  const auto done = [this, read, sent_at = time_->Now()](const coordination::ReadResult& result) {
    if (!result.ok) return ScheduleRetry(read);
    const auto map = MapOf(result);
    RecordConfirmation(sent_at);
    snapshots_->ApplyConfirmed(result.version, map);
    read->done(ChangeHistoryRead{snapshots_->current(), HistoryStatusOf(read->change_id, *map)});
  };
  replica_->Read(timeout, callbacks_.Bind(done));
}

void LinearizableReader::ReadRemotely(const PendingReadPtr& read, const Contact& contact,
                                      Micros timeout) {
  const ReadRequest request{RevisionsOf(*snapshots_->current()), timeout, read->change_id,
                            IsIsolated()};
  transport_->Call(
      contact.address, rpc::MessageType::kControlRead, codec::Encode(request), timeout,
      callbacks_.Bind(
          [this, read, sent_at = time_->Now()](const absl::StatusOr<std::string>& response) {
            auto update = response.ok() ? codec::Decode<StateUpdate>(*response) : response.status();
            if (!update.ok() || !update->present) return ScheduleRetry(read);
            RecordConfirmation(sent_at);
            const coordination::ChangeHistoryStatus history_status = update->history_status;
            snapshots_->ApplyConfirmed(*std::move(update));
            read->done(ChangeHistoryRead{snapshots_->current(), history_status});
          }));
}

// Before the state is applied, so that whoever learns of the state finds it confirmed.
void LinearizableReader::RecordConfirmation(Micros sent_at) {
  last_confirmation_ = std::max(last_confirmation_.value_or(sent_at), sent_at);
}

void LinearizableReader::ScheduleRetry(const PendingReadPtr& read) {
  const Micros time_left = read->deadline - time_->Now();
  time_->After(std::min(kRetryBackoff, std::max<Micros>(time_left, 0)),
               callbacks_.Bind([this, read] { StartAttempt(read); }));
}

}  // namespace pearreach::control
