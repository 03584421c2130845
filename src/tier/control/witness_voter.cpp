#include "tier/control/witness_voter.h"

#include <string>

#include "tier/codec/archive.h"

namespace pearreach::control {
namespace {

constexpr char kVoteKey[] = "witness/vote";

WitnessVote ReadVote(const storage::TableStore& store) {
  const auto record = store.Get(kVoteKey);
  auto vote = record.ok() ? codec::Decode<WitnessVote>(*record) : record.status();
  return vote.ok() ? *std::move(vote) : WitnessVote();
}

}  // namespace

WitnessVoter::WitnessVoter(rpc::Transport* transport, storage::TableStore* store)
    : store_(store), vote_(ReadVote(*store)) {
  transport->Handle(
      rpc::MessageType::kWitnessVote,
      callbacks_.Bind([this](const std::string&, std::string_view body,
                             const rpc::Respond& respond) { OnRequest(body, respond); }));
}

// A vote that could not be written still binds this process.
void WitnessVoter::OnRequest(std::string_view body, const rpc::Respond& respond) {
  const auto request = codec::Decode<WitnessVote>(body);
  if (!request.ok()) return respond(request.status());
  if (request->epoch > vote_.epoch) vote_ = *request;
  if (vote_ != *request) return respond(codec::Encode(vote_));
  store_->Commit({{kVoteKey, codec::Encode(vote_), false}},
                 callbacks_.Bind([respond, vote = vote_](const absl::Status& status) {
                   if (!status.ok()) return respond(status);
                   respond(codec::Encode(vote));
                 }));
}

}  // namespace pearreach::control
