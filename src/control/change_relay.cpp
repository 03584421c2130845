#include "control/change_relay.h"

#include <utility>

#include "codec/archive.h"

namespace pearreach::control {
namespace {

using coordination::ChangeStatus;

constexpr std::uint32_t kMostHops = 3;
constexpr Micros kPause = 50 * kMs;  // until views have settled

WriteAnswer AnswerOf(ChangeStatus status) {
  WriteAnswer answer;
  answer.status = static_cast<std::uint8_t>(status);
  return answer;
}

WriteAnswer AnswerOf(const coordination::ChangeResult& result) {
  WriteAnswer answer = AnswerOf(result.status);
  answer.revision = result.revision;
  answer.hint = result.hint;
  return answer;
}

bool IsNotHead(const WriteAnswer& answer) {
  return answer.status == static_cast<std::uint8_t>(ChangeStatus::kNotHead);
}

}  // namespace

ChangeRelay::ChangeRelay(TimeSource* time, mesh::Mesh* mesh, const MemberDirectory* directory,
                         ReplicaDriver* replica, const QuorumReach* reach)
    : time_(time), mesh_(mesh), directory_(directory), replica_(replica), reach_(reach) {
  mesh_->Handle(
      mesh::MessageType::kControlWrite,
      callbacks_.Bind([this](const std::string&, std::string_view body, mesh::Respond respond) {
        auto request = codec::Decode<WriteRequest>(body);
        if (!request.ok()) return respond(request.status());
        ++request->hops;
        Change(*std::move(request),
               [respond](const WriteAnswer& answer) { respond(codec::Encode(answer)); });
      }));
}

void ChangeRelay::Change(WriteRequest request, Done done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->deadline = time_->Now() + request.timeout;
  attempt->request = std::move(request);
  attempt->done = std::move(done);
  Try(attempt);
}

void ChangeRelay::Try(const AttemptPtr& attempt) {
  const Micros left = attempt->deadline - time_->Now();
  if (left <= 0) return attempt->done(AnswerOf(ChangeStatus::kUnavailable));
  if (MayChangeHere()) return TryHere(attempt, left);
  if (attempt->request.hops >= kMostHops) return Settle(attempt, AnswerOf(ChangeStatus::kNotHead));
  const Contact to = Next(attempt);
  if (to.address.empty()) return Settle(attempt, AnswerOf(ChangeStatus::kNotHead));
  PassOn(attempt, to, left);
}

// A head without touch to a majority takes no change: it could only hold it up.
bool ChangeRelay::MayChangeHere() const {
  return replica_ != nullptr && replica_->is_head() && reach_->HoldsDuty();
}

Contact ChangeRelay::Next(const AttemptPtr& attempt) const {
  const std::string hint = std::exchange(attempt->hint, "");
  std::string preferred = hint;
  if (preferred.empty() && replica_ != nullptr && !replica_->view().members.empty() &&
      attempt->tries == 0) {
    preferred = replica_->view().members.front().name;
  }
  ++attempt->tries;
  const coordination::Member* member = directory_->FindLive(preferred);
  if (member != nullptr) return {preferred, member->info.address};
  // A node that passes on for another says who it is not rather than search.
  if (attempt->request.hops > 0) return {};
  const std::vector<Contact> contacts = directory_->QuorumContacts();
  if (contacts.empty()) return {};
  return contacts[(attempt->tries - 1) % contacts.size()];
}

void ChangeRelay::TryHere(const AttemptPtr& attempt, Micros left) {
  const WriteRequest& request = attempt->request;
  replica_->Change({0, request.key, request.expected, request.value, request.fence}, left,
                   callbacks_.Bind([this, attempt](const coordination::ChangeResult& result) {
                     Settle(attempt, AnswerOf(result));
                   }));
}

void ChangeRelay::PassOn(const AttemptPtr& attempt, const Contact& to, Micros left) {
  attempt->request.timeout = left;
  mesh_->Call(to.address, mesh::MessageType::kControlWrite, codec::Encode(attempt->request), left,
              callbacks_.Bind([this, attempt](const absl::StatusOr<std::string>& answer) {
                auto decoded = answer.ok() ? codec::Decode<WriteAnswer>(*answer) : answer.status();
                // It may have been carried out: it must not be sent again.
                if (!decoded.ok()) return attempt->done(AnswerOf(ChangeStatus::kUnavailable));
                Settle(attempt, *decoded);
              }));
}

void ChangeRelay::Settle(const AttemptPtr& attempt, const WriteAnswer& answer) {
  if (!IsNotHead(answer) || attempt->request.hops > 0) return attempt->done(answer);
  attempt->hint = answer.hint == directory_->self() ? "" : answer.hint;
  TryLater(attempt);
}

void ChangeRelay::TryLater(const AttemptPtr& attempt) {
  time_->After(kPause, callbacks_.Bind([this, attempt] { Try(attempt); }));
}

}  // namespace pearreach::control
