#include "tier/control/poll_server.h"

#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::control {

PollServer::PollServer(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots)
    : time_(time), snapshots_(snapshots) {
  transport->Handle(
      rpc::MessageType::kControlPoll,
      callbacks_.Bind([this](const std::string&, std::string_view body, rpc::Respond respond) {
        Take(body, std::move(respond));
      }));
  snapshots_->OnChange(callbacks_.Bind([this] { AnswerHeld(); }));
}

PollServer::~PollServer() { time_->Cancel(&timer_); }

void PollServer::Take(std::string_view body, rpc::Respond respond) {
  auto request = codec::Decode<PollRequest>(body);
  if (!request.ok()) return respond(request.status());
  // Nobody gets a first state from here: this node may be cut off and not know it yet.
  if (request->version == coordination::Version()) return respond(codec::Encode(StateUpdate()));
  if (snapshots_->current()->version > request->version) return respond(Encoded(*request));
  if (!request->hold) return respond(codec::Encode(StateUpdate()));
  held_.push_back({*std::move(request), std::move(respond), time_->Now() + kPollHold});
  Arm();
}

const std::string& PollServer::Encoded(const PollRequest& request) {
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

void PollServer::AnswerHeld() {
  std::list<Held> held = std::move(held_);
  held_.clear();
  const coordination::Version version = snapshots_->current()->version;
  for (Held& call : held) {
    if (version > call.request.version) {
      call.respond(Encoded(call.request));
    } else {
      held_.push_back(std::move(call));
    }
  }
}

void PollServer::Expire() {
  timer_ = 0;
  const Micros now = time_->Now();
  while (!held_.empty() && held_.front().until <= now) {
    const rpc::Respond respond = std::move(held_.front().respond);
    held_.pop_front();
    respond(codec::Encode(StateUpdate()));
  }
  Arm();
}

void PollServer::Arm() {
  if (timer_ != 0 || held_.empty()) return;
  timer_ = time_->After(held_.front().until - time_->Now(), [this] { Expire(); });
}

}  // namespace pearreach::control
