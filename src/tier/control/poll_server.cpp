#include "tier/control/poll_server.h"

#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {

PollServer::PollServer(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots)
    : time_(time), snapshots_(snapshots) {
  transport->Handle(
      rpc::MessageType::kControlPoll,
      callbacks_.Bind([this](const std::string&, std::string_view body, rpc::Respond respond) {
        HandlePoll(body, std::move(respond));
      }));
  snapshots_->OnChange(callbacks_.Bind([this] { RespondToPending(); }));
}

PollServer::~PollServer() { time_->Cancel(&timer_); }

void PollServer::HandlePoll(std::string_view body, rpc::Respond respond) {
  auto request = codec::Decode<PollRequest>(body);
  if (!request.ok()) return respond(request.status());
  // No initial state is served here: this node may be partitioned without knowing it yet.
  if (request->version == coordination::Version()) return respond(codec::Encode(StateUpdate()));
  if (snapshots_->current()->version > request->version) return respond(EncodedUpdate(*request));
  if (!request->wait_for_update) return respond(codec::Encode(StateUpdate()));
  pending_.push_back({*std::move(request), std::move(respond), time_->Now() + kMaxPollWait});
  StartTimer();
}

const std::string& PollServer::EncodedUpdate(const PollRequest& request) {
  const auto current = snapshots_->current();
  if (encoded_for_ != current->version) {
    encoded_.clear();
    encoded_for_ = current->version;
  }
  std::string& bytes = encoded_[request.version];
  if (bytes.empty()) {
    bytes = codec::Encode(UpdateFor(request.revisions, current->version, *current->map));
  }
  return bytes;
}

void PollServer::RespondToPending() {
  std::list<PendingPoll> pending = std::move(pending_);
  pending_.clear();
  const coordination::Version version = snapshots_->current()->version;
  for (PendingPoll& call : pending) {
    if (version > call.request.version) {
      call.respond(EncodedUpdate(call.request));
    } else {
      pending_.push_back(std::move(call));
    }
  }
}

void PollServer::Expire() {
  timer_ = 0;
  const Micros now = time_->Now();
  while (!pending_.empty() && pending_.front().deadline <= now) {
    const rpc::Respond respond = std::move(pending_.front().respond);
    pending_.pop_front();
    respond(codec::Encode(StateUpdate()));
  }
  StartTimer();
}

void PollServer::StartTimer() {
  if (timer_ != 0 || pending_.empty()) return;
  timer_ = time_->After(pending_.front().deadline - time_->Now(), [this] { Expire(); });
}

}  // namespace pearreach::control
