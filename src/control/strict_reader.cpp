#include "control/strict_reader.h"

#include <algorithm>
#include <utility>

#include "codec/archive.h"

namespace pearreach::control {
namespace {

constexpr Micros kPause = 30 * kMs;
constexpr Micros kLeastTry = 150 * kMs;  // one member gets no less, while time is left

// A sure answer without a map: nothing has ever been set.
std::shared_ptr<const coordination::Map> MapOf(const coordination::ReadResult& result) {
  return result.map != nullptr ? result.map : std::make_shared<const coordination::Map>();
}

}  // namespace

StrictReader::StrictReader(TimeSource* time, mesh::Mesh* mesh, SnapshotStore* snapshots,
                           const MemberDirectory* directory, ReplicaDriver* replica)
    : time_(time), mesh_(mesh), snapshots_(snapshots), directory_(directory), replica_(replica) {
  mesh_->Handle(
      mesh::MessageType::kControlRead,
      callbacks_.Bind([this](const std::string&, std::string_view body, mesh::Respond respond) {
        Serve(body, std::move(respond));
      }));
}

void StrictReader::Serve(std::string_view body, mesh::Respond respond) {
  const auto request = codec::Decode<ReadRequest>(body);
  if (!request.ok()) return respond(request.status());
  if (replica_ == nullptr) return respond(absl::FailedPreconditionError("not a quorum member"));
  replica_->Read(request->timeout, [respond, known = request->revisions](
                                       const coordination::ReadResult& result) {
    respond(codec::Encode(result.ok ? UpdateFor(known, result.version, *MapOf(result))
                                    : StateUpdate()));
  });
}

void StrictReader::Read(Micros timeout, Done done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->deadline = time_->Now() + timeout;
  attempt->done = std::move(done);
  Try(attempt);
}

void StrictReader::Try(const AttemptPtr& attempt) {
  const Micros left = attempt->deadline - time_->Now();
  if (left <= 0) return attempt->done(absl::UnavailableError("no sure answer in time"));
  const Micros timeout = std::min(left, std::max(left / 2, kLeastTry));
  const std::size_t number = attempt->tries++;
  if (number == 0 && replica_ != nullptr && replica_->InView()) return TryHere(attempt, timeout);
  const std::vector<Contact> contacts = directory_->QuorumContacts();
  if (!contacts.empty()) return Ask(attempt, contacts[number % contacts.size()], timeout);
  if (replica_ != nullptr) return TryHere(attempt, timeout);
  Failed(attempt);
}

void StrictReader::TryHere(const AttemptPtr& attempt, Micros timeout) {
  replica_->Read(timeout, callbacks_.Bind([this, attempt](const coordination::ReadResult& result) {
    if (!result.ok) return Failed(attempt);
    snapshots_->Apply(result.version, MapOf(result));
    attempt->done(snapshots_->current());
  }));
}

void StrictReader::Ask(const AttemptPtr& attempt, const Contact& contact, Micros timeout) {
  const ReadRequest request{RevisionsOf(*snapshots_->current()), timeout};
  mesh_->Call(contact.address, mesh::MessageType::kControlRead, codec::Encode(request), timeout,
              callbacks_.Bind([this, attempt](const absl::StatusOr<std::string>& answer) {
                auto update = answer.ok() ? codec::Decode<StateUpdate>(*answer) : answer.status();
                if (!update.ok() || !update->present) return Failed(attempt);
                snapshots_->Apply(*std::move(update));
                attempt->done(snapshots_->current());
              }));
}

void StrictReader::Failed(const AttemptPtr& attempt) {
  const Micros left = attempt->deadline - time_->Now();
  time_->After(std::min(kPause, std::max<Micros>(left, 0)),
               callbacks_.Bind([this, attempt] { Try(attempt); }));
}

}  // namespace pearreach::control
