#include "tier/control/change_relay.h"

#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {
namespace {

using coordination::ChangeStatus;

constexpr std::uint32_t kMaxHops = 3;
constexpr Micros kPause = 50 * kMs;        // until views have settled
constexpr Micros kWatchPeriod = 50 * kMs;  // of a node that a change was passed on to

WriteResponse AnswerOf(ChangeStatus status) {
  WriteResponse answer;
  answer.status = static_cast<std::uint8_t>(status);
  return answer;
}

WriteResponse AnswerOf(const coordination::ChangeResult& result) {
  WriteResponse answer = AnswerOf(result.status);
  answer.revision = result.revision;
  answer.hint = result.hint;
  return answer;
}

bool IsNotHead(const WriteResponse& answer) {
  return answer.status == static_cast<std::uint8_t>(ChangeStatus::kNotHead);
}

}  // namespace

ChangeRelay::ChangeRelay(TimeSource* time, rpc::Transport* transport,
                         const MemberDirectory* directory, ReplicaDriver* replica,
                         const QuorumConnectivity* connectivity)
    : time_(time),
      transport_(transport),
      directory_(directory),
      replica_(replica),
      connectivity_(connectivity) {
  transport_->Handle(rpc::MessageType::kControlWrite,
                     callbacks_.Bind([this](const std::string&, std::string_view body,
                                            const rpc::Respond& respond) {
                       auto request = codec::Decode<WriteRequest>(body);
                       if (!request.ok()) return respond(request.status());
                       ++request->hops;
                       Change(*std::move(request), [respond](const WriteResponse& answer) {
                         respond(codec::Encode(answer));
                       });
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
  if (left <= 0) return End(attempt, AnswerOf(ChangeStatus::kUnavailable));
  if (MayChangeHere()) return TryHere(attempt, left);
  if (attempt->request.hops >= kMaxHops) return Settle(attempt, AnswerOf(ChangeStatus::kNotHead));
  const Contact to = Next(attempt);
  if (to.address.empty()) return Settle(attempt, AnswerOf(ChangeStatus::kNotHead));
  PassOn(attempt, to, left);
}

// A head without touch to a majority takes no change: it could only hold it up.
bool ChangeRelay::MayChangeHere() const {
  return replica_ != nullptr && replica_->is_head() && connectivity_->IsSingletonRoleCandidate();
}

// A quorum member that does not hear the others reaches the head through nodes outside the quorum.
bool ChangeRelay::IsCutOff() const {
  return replica_ != nullptr && replica_->InView() && connectivity_->HasLostMajority();
}

Contact ChangeRelay::Next(const AttemptPtr& attempt) const {
  if (IsCutOff()) {
    const std::vector<Contact> others = directory_->PlainContacts();
    const bool may_search = attempt->request.hops == 0 && !others.empty();
    return may_search ? others[attempt->attempts++ % others.size()] : Contact();
  }
  const std::string hint = std::exchange(attempt->hint, "");
  std::string preferred = hint;
  if (preferred.empty() && replica_ != nullptr && !replica_->view().members.empty() &&
      attempt->attempts == 0) {
    preferred = replica_->view().members.front().name;
  }
  ++attempt->attempts;
  if (SeemsThere(preferred)) return {preferred, directory_->FindLive(preferred)->info.address};
  // A quorum member that passes on for another says that it is not the head rather than search.
  if (attempt->request.hops > 0 && replica_ != nullptr) return {};
  const std::vector<Contact> contacts = directory_->QuorumContacts();
  if (contacts.empty()) return {};
  return contacts[(attempt->attempts - 1) % contacts.size()];
}

void ChangeRelay::TryHere(const AttemptPtr& attempt, Micros left) {
  const ControlChange& change = attempt->request.change;
  replica_->Change({0, change.key, change.expected_revision, change.value, change.fencing_token,
                    change.change_id},
                   left, callbacks_.Bind([this, attempt](const coordination::ChangeResult& result) {
                     Settle(attempt, AnswerOf(result));
                   }));
}

void ChangeRelay::PassOn(const AttemptPtr& attempt, const Contact& to, Micros left) {
  attempt->request.timeout = left;
  const std::size_t number = attempt->passed_on = attempt->attempts;
  transport_->Call(
      to.address, rpc::MessageType::kControlWrite, codec::Encode(attempt->request), left,
      callbacks_.Bind([this, attempt, number](const absl::StatusOr<std::string>& answer) {
        if (attempt->passed_on != number) return;
        attempt->passed_on = 0;
        auto decoded = answer.ok() ? codec::Decode<WriteResponse>(*answer) : answer.status();
        // It may have been carried out: it must not be sent again.
        if (!decoded.ok()) return End(attempt, AnswerOf(ChangeStatus::kUnavailable));
        Settle(attempt, *decoded);
      }));
  if (SeemsThere(to.name)) Watch(attempt, number, to.name);
}

// Ends the wait for the answer of a node that is found to be gone.
void ChangeRelay::Watch(const AttemptPtr& attempt, std::size_t number, const std::string& to) {
  time_->After(kWatchPeriod, callbacks_.Bind([this, attempt, number, to] {
    if (attempt->passed_on != number) return;
    if (SeemsThere(to)) return Watch(attempt, number, to);
    attempt->passed_on = 0;
    End(attempt, AnswerOf(ChangeStatus::kUnavailable));
  }));
}

bool ChangeRelay::SeemsThere(const std::string& name) const {
  const coordination::Member* member = directory_->FindLive(name);
  return member != nullptr && member->status == coordination::MemberStatus::kAlive &&
         !connectivity_->IsLost(name);
}

void ChangeRelay::End(const AttemptPtr& attempt, const WriteResponse& answer) {
  std::exchange(attempt->done, nullptr)(answer);
}

void ChangeRelay::Settle(const AttemptPtr& attempt, const WriteResponse& answer) {
  if (!IsNotHead(answer) || attempt->request.hops > 0) return End(attempt, answer);
  attempt->hint = answer.hint == directory_->self() ? "" : answer.hint;
  TryLater(attempt);
}

void ChangeRelay::TryLater(const AttemptPtr& attempt) {
  time_->After(kPause, callbacks_.Bind([this, attempt] { Try(attempt); }));
}

}  // namespace pearreach::control
