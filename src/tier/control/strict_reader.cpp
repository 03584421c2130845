#include "tier/control/strict_reader.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {
namespace {

constexpr Micros kPause = 30 * kMs;
constexpr Micros kLeastTry = 150 * kMs;  // one member gets no less, while time is left

// A sure answer without a map: nothing has ever been set.
std::shared_ptr<const coordination::Map> MapOf(const coordination::ReadResult& result) {
  return result.map != nullptr ? result.map : std::make_shared<const coordination::Map>();
}

coordination::MarkStanding StandingOf(const StrictReader::Mark& mark,
                                      const coordination::Map& map) {
  if (!mark) return coordination::MarkStanding::kForgotten;
  return coordination::FindMark(map, kConfigKey, *mark);
}

}  // namespace

StrictReader::StrictReader(TimeSource* time, rpc::Mesh* mesh, SnapshotStore* snapshots,
                           const MemberDirectory* directory, ReplicaDriver* replica,
                           const QuorumReach* reach)
    : time_(time),
      mesh_(mesh),
      snapshots_(snapshots),
      directory_(directory),
      replica_(replica),
      reach_(reach) {
  mesh_->Handle(rpc::MessageType::kControlRead,
                callbacks_.Bind([this](const std::string&, std::string_view body,
                                       const rpc::Respond& respond) { Serve(body, respond); }));
}

void StrictReader::Serve(std::string_view body, const rpc::Respond& respond) {
  const auto request = codec::Decode<ReadRequest>(body);
  if (!request.ok()) return respond(request.status());
  if (replica_ == nullptr) return ServeForCutOff(*request, respond);
  replica_->Read(request->timeout,
                 [respond, request = *request](const coordination::ReadResult& result) {
                   if (!result.ok) return respond(codec::Encode(StateUpdate()));
                   const auto map = MapOf(result);
                   StateUpdate update = UpdateFor(request.revisions, result.version, *map);
                   update.standing = StandingOf(request.mark, *map);
                   respond(codec::Encode(update));
                 });
}

// A node outside the quorum reads for a member that does not reach the others.
void StrictReader::ServeForCutOff(const ReadRequest& request, const rpc::Respond& respond) {
  if (!request.passed_on) return respond(absl::FailedPreconditionError("not a quorum member"));
  Read(request.mark, request.timeout,
       [respond, known = request.revisions](const absl::StatusOr<MarkReading>& reading) {
         if (!reading.ok()) return respond(codec::Encode(StateUpdate()));
         const ControlSnapshot& snapshot = *reading->snapshot;
         StateUpdate update = UpdateFor(known, snapshot.version, *snapshot.map);
         update.standing = reading->standing;
         respond(codec::Encode(update));
       });
}

bool StrictReader::IsCutOff() const {
  return replica_ != nullptr && replica_->InView() && reach_->LostMajority();
}

void StrictReader::Read(const Mark& mark, Micros timeout, Done done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->mark = mark;
  attempt->deadline = time_->Now() + timeout;
  attempt->done = std::move(done);
  Try(attempt);
}

void StrictReader::Try(const AttemptPtr& attempt) {
  const Micros left = attempt->deadline - time_->Now();
  if (left <= 0) return attempt->done(absl::UnavailableError("no sure answer in time"));
  const Micros timeout = std::min(left, std::max(left / 2, kLeastTry));
  const std::size_t number = attempt->tries++;
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

void StrictReader::TryHere(const AttemptPtr& attempt, Micros timeout) {
  replica_->Read(timeout, callbacks_.Bind([this, attempt](const coordination::ReadResult& result) {
    if (!result.ok) return Failed(attempt);
    const auto map = MapOf(result);
    snapshots_->ApplyConfirmed(result.version, map);
    attempt->done(MarkReading{snapshots_->current(), StandingOf(attempt->mark, *map)});
  }));
}

void StrictReader::Ask(const AttemptPtr& attempt, const Contact& contact, Micros timeout) {
  const ReadRequest request{RevisionsOf(*snapshots_->current()), timeout, attempt->mark,
                            IsCutOff()};
  mesh_->Call(contact.address, rpc::MessageType::kControlRead, codec::Encode(request), timeout,
              callbacks_.Bind([this, attempt](const absl::StatusOr<std::string>& answer) {
                auto update = answer.ok() ? codec::Decode<StateUpdate>(*answer) : answer.status();
                if (!update.ok() || !update->present) return Failed(attempt);
                const coordination::MarkStanding standing = update->standing;
                snapshots_->ApplyConfirmed(*std::move(update));
                attempt->done(MarkReading{snapshots_->current(), standing});
              }));
}

void StrictReader::Failed(const AttemptPtr& attempt) {
  const Micros left = attempt->deadline - time_->Now();
  time_->After(std::min(kPause, std::max<Micros>(left, 0)),
               callbacks_.Bind([this, attempt] { Try(attempt); }));
}

}  // namespace pearreach::control
