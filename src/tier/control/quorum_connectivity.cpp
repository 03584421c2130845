#include "tier/control/quorum_connectivity.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/control/messages.h"

namespace pearreach::control {
QuorumConnectivity::QuorumConnectivity(TimeSource* time, rpc::Transport* transport,
                                       const MemberDirectory* directory,
                                       const ControlTiming& timing)
    : time_(time),
      transport_(transport),
      directory_(directory),
      timing_(timing),
      disk_(directory->self()) {}

QuorumConnectivity::~QuorumConnectivity() { time_->Cancel(&timer_); }

void QuorumConnectivity::Start(std::function<void()> checked) {
  checked_ = std::move(checked);
  AskAll();
}

void QuorumConnectivity::Update(bool is_head, bool is_agreeing, const coordination::View& view) {
  is_head_ = is_head;
  is_agreeing_ = is_agreeing;
  if (view.epoch != view_.epoch) view_ = view;
}

void QuorumConnectivity::AskAll() {
  const Micros asked = time_->Now();
  const DiskUse use = disk_.OwnUse();
  const std::string question = codec::Encode(ChainEnvelope{
      directory_->self(), "", true, leaving_since_.has_value(), disk_.disk_id(), use});
  const bool tells_use = use.starts > 0;
  for (const Contact& contact : directory_->QuorumContacts()) {
    transport_->Call(contact.address, rpc::MessageType::kChain, question, timing_.heartbeat_timeout,
                     callbacks_.Bind([this, name = contact.name, asked,
                                      tells_use](const absl::StatusOr<std::string>& answer) {
                       Answered(name, asked, tells_use, answer);
                     }));
  }
  timer_ = time_->After(timing_.heartbeat_period, [this] {
    timer_ = 0;
    has_heard_majority_ = has_heard_majority_ || (!view_.members.empty() && ReachesMajority());
    AskAll();
    checked_();
  });
}

void QuorumConnectivity::Answered(const std::string& name, Micros asked, bool told_use,
                                  const absl::StatusOr<std::string>& answer) {
  if (!answer.ok()) return;
  const auto sign = codec::Decode<HeartbeatResponse>(*answer);
  if (!sign.ok() || sign->name != name) return;  // another node has that address now
  const bool was_checked = IsDiskChecked();
  if (told_use) disk_.Told(name, sign->heard);
  if (IsDiskChecked() != was_checked) checked_();
  disk_.Note(name, sign->disk_id, sign->use);
  Answer& known = answers_[name];
  if (asked < known.asked) return;
  known.asked = asked;
  known.reachable_members = {sign->reachable_members.begin(), sign->reachable_members.end()};
  known.epoch = sign->epoch;
  known.agreeing = sign->agreeing;
  NoteLeaving(name, sign->leaving);
}

// A process that starts under the name of one that left says so with its first words.
void QuorumConnectivity::NoteLeaving(const std::string& name, bool leaving) {
  const bool changed = leaving ? leaving_.insert(name).second : leaving_.erase(name) > 0;
  if (changed) checked_();
}

void QuorumConnectivity::SetLeaving() {
  if (leaving_since_.has_value()) return;
  leaving_since_ = time_->Now();
  AskAgain();
}

void QuorumConnectivity::AskAgain() {
  if (timer_ == 0) return;
  time_->Cancel(&timer_);
  AskAll();
}

bool QuorumConnectivity::IsLeaving(const std::string& name) const {
  if (name == directory_->self()) return leaving_since_.has_value();
  return leaving_.count(name) > 0;
}

bool QuorumConnectivity::IsReleased() const {
  if (!leaving_since_.has_value()) return false;
  const auto& members = view_.members;
  return std::all_of(members.begin(), members.end(), [this](const coordination::ReplicaId& id) {
    const auto found = answers_.find(id.name);
    return found != answers_.end() && found->second.asked >= *leaving_since_ &&
           found->second.epoch == view_.epoch && !found->second.agreeing;
  });
}

std::string QuorumConnectivity::Sign(const ChainEnvelope& question) {
  NoteLeaving(question.from, question.leaving);
  HeartbeatResponse sign;
  sign.name = directory_->self();
  sign.leaving = leaving_since_.has_value();
  sign.epoch = view_.epoch;
  sign.agreeing = is_agreeing_;
  sign.disk_id = disk_.disk_id();
  sign.use = disk_.OwnUse();
  sign.heard = disk_.Note(question.from, question.disk_id, question.use);
  for (const auto& [name, answer] : answers_) {
    if (Fresh(name, timing_.lost_span) != nullptr) sign.reachable_members.push_back(name);
  }
  return codec::Encode(sign);
}

const QuorumConnectivity::Answer* QuorumConnectivity::Fresh(const std::string& name,
                                                            Micros span) const {
  const auto found = answers_.find(name);
  if (found == answers_.end() || time_->Now() - found->second.asked > span) return nullptr;
  return &found->second;
}

bool QuorumConnectivity::HeardByMembership(const std::string& name, Micros span) const {
  const coordination::Member* member = directory_->FindLive(name);
  return member != nullptr && member->last_contact != 0 &&
         time_->Now() - member->last_contact <= span;
}

bool QuorumConnectivity::IsLost(const std::string& name) const {
  if (name == directory_->self()) return false;
  std::size_t reports = 0, may_hear = 0;
  for (const coordination::ReplicaId& id : view_.members) {
    if (id.name == directory_->self()) {
      ++reports;
      may_hear += Fresh(name, timing_.lost_span) != nullptr ? 1 : 0;
    } else if (const Answer* answer = Fresh(id.name, timing_.lost_span)) {
      ++reports;
      may_hear += id.name == name ? 1 : answer->reachable_members.count(name);
    } else {
      ++may_hear;
    }
  }
  const std::size_t members = view_.members.size();
  return 2 * reports > members && 2 * may_hear <= members;
}

bool QuorumConnectivity::ReachesMajority() const {
  const auto heard = std::count_if(view_.members.begin(), view_.members.end(), [&](const auto& id) {
    return id.name == directory_->self() ||
           Fresh(id.name, timing_.role_candidate_span) != nullptr ||
           HeardByMembership(id.name, timing_.role_candidate_span);
  });
  return 2 * static_cast<std::size_t>(heard) > view_.members.size();
}

}  // namespace pearreach::control
