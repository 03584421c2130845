#include "control/quorum_reach.h"

#include <algorithm>
#include <utility>

#include "codec/archive.h"
#include "control/messages.h"
#include "logging/log.h"

namespace pearreach::control {
namespace {

constexpr char kModule[] = "control";

}  // namespace

QuorumReach::QuorumReach(TimeSource* time, mesh::Mesh* mesh, const MemberDirectory* directory,
                         const ControlTiming& timing)
    : time_(time), mesh_(mesh), directory_(directory), timing_(timing) {}

QuorumReach::~QuorumReach() { time_->Cancel(&timer_); }

void QuorumReach::Start(std::function<void()> checked) {
  checked_ = std::move(checked);
  AskAll();
}

void QuorumReach::Update(bool is_head, bool is_agreeing, const coordination::View& view) {
  is_head_ = is_head;
  is_agreeing_ = is_agreeing;
  if (view.epoch != view_.epoch) view_ = view;
}

void QuorumReach::AskAll() {
  const Micros asked = time_->Now();
  const DiskUse use = OwnUse();
  const std::string question = codec::Encode(
      ChainEnvelope{directory_->self(), "", true, leaving_since_.has_value(), disk_id_, use});
  const bool tells_use = use.starts > 0;
  for (const Contact& contact : directory_->QuorumContacts()) {
    mesh_->Call(contact.address, mesh::MessageType::kChain, question, timing_.sign_timeout,
                callbacks_.Bind([this, name = contact.name, asked,
                                 tells_use](const absl::StatusOr<std::string>& answer) {
                  Answered(name, asked, answer);
                  if (answer.ok() && tells_use) CheckDisk(name, *answer);
                }));
  }
  timer_ = time_->After(timing_.sign_period, [this] {
    timer_ = 0;
    has_heard_majority_ = has_heard_majority_ || (!view_.members.empty() && HearsMajority());
    AskAll();
    checked_();
  });
}

void QuorumReach::Answered(const std::string& name, Micros asked,
                           const absl::StatusOr<std::string>& answer) {
  if (!answer.ok()) return;
  const auto sign = codec::Decode<SignAnswer>(*answer);
  if (!sign.ok() || sign->name != name) return;  // another node has that address now
  Answer& known = answers_[name];
  if (asked < known.asked) return;
  known.asked = asked;
  known.hears = {sign->hears.begin(), sign->hears.end()};
  known.epoch = sign->epoch;
  known.agreeing = sign->agreeing;
  NoteLeaving(name, sign->leaving);
  NoteUse(name, sign->disk_id, sign->use);
}

// `answer` was given by a member that has heard of this process's start.
void QuorumReach::CheckDisk(const std::string& name, const std::string& answer) {
  const auto sign = codec::Decode<SignAnswer>(answer);
  if (!sign.ok() || sign->name != name) return;
  checked_by_.insert(name);
  if (is_disk_old_ || !IsBehind(writer_->found(), OwnUse(), sign->heard)) return;
  is_disk_old_ = true;
  logging::Error(kModule, "the disk was put back in time",
                 {logging::F("heard_by", name), logging::F("heard_writes", sign->heard.writes),
                  logging::F("found_writes", writer_->found().writes)});
}

void QuorumReach::SetDisk(std::string disk_id, const RecordWriter* writer) {
  disk_id_ = std::move(disk_id);
  writer_ = writer;
}

DiskUse QuorumReach::NoteUse(const std::string& name, const std::string& disk_id,
                             const DiskUse& use) {
  if (use.starts == 0) return {};
  HeardOf& heard = heard_of_[name];
  if (heard.disk_id != disk_id) heard = {disk_id, {}};
  return std::exchange(heard.use, Later(heard.use, use));
}

bool QuorumReach::IsDiskChecked() {
  if (is_disk_old_ || is_disk_checked_) return is_disk_checked_ && !is_disk_old_;
  const auto& members = view_.members;
  const auto checked = std::count_if(members.begin(), members.end(), [this](const auto& id) {
    return id.name == directory_->self() || checked_by_.count(id.name) > 0;
  });
  is_disk_checked_ = members.empty() || 2 * static_cast<std::size_t>(checked) > members.size();
  return is_disk_checked_;
}

// A process that starts under the name of one that left says so with its first words.
void QuorumReach::NoteLeaving(const std::string& name, bool leaving) {
  const bool changed = leaving ? leaving_.insert(name).second : leaving_.erase(name) > 0;
  if (changed) checked_();
}

void QuorumReach::SetLeaving() {
  if (leaving_since_.has_value()) return;
  leaving_since_ = time_->Now();
  if (timer_ == 0) return;
  time_->Cancel(&timer_);
  AskAll();
}

bool QuorumReach::IsLeaving(const std::string& name) const {
  if (name == directory_->self()) return leaving_since_.has_value();
  return leaving_.count(name) > 0;
}

bool QuorumReach::IsReleased() const {
  if (!leaving_since_.has_value()) return false;
  const auto& members = view_.members;
  return std::all_of(members.begin(), members.end(), [this](const coordination::ReplicaId& id) {
    const auto found = answers_.find(id.name);
    return found != answers_.end() && found->second.asked >= *leaving_since_ &&
           found->second.epoch == view_.epoch && !found->second.agreeing;
  });
}

std::string QuorumReach::Sign(const ChainEnvelope& question) {
  NoteLeaving(question.from, question.leaving);
  SignAnswer sign;
  sign.name = directory_->self();
  sign.leaving = leaving_since_.has_value();
  sign.epoch = view_.epoch;
  sign.agreeing = is_agreeing_;
  sign.disk_id = disk_id_;
  sign.use = OwnUse();
  sign.heard = NoteUse(question.from, question.disk_id, question.use);
  for (const auto& [name, answer] : answers_) {
    if (Fresh(name, timing_.lost_span) != nullptr) sign.hears.push_back(name);
  }
  return codec::Encode(sign);
}

const QuorumReach::Answer* QuorumReach::Fresh(const std::string& name, Micros span) const {
  const auto found = answers_.find(name);
  if (found == answers_.end() || time_->Now() - found->second.asked > span) return nullptr;
  return &found->second;
}

bool QuorumReach::HeardByMembership(const std::string& name, Micros span) const {
  const coordination::Member* member = directory_->FindLive(name);
  return member != nullptr && member->heard != 0 && time_->Now() - member->heard <= span;
}

bool QuorumReach::IsLost(const std::string& name) const {
  if (name == directory_->self()) return false;
  std::size_t reports = 0, may_hear = 0;
  for (const coordination::ReplicaId& id : view_.members) {
    if (id.name == directory_->self()) {
      ++reports;
      may_hear += Fresh(name, timing_.lost_span) != nullptr ? 1 : 0;
    } else if (const Answer* answer = Fresh(id.name, timing_.lost_span)) {
      ++reports;
      may_hear += id.name == name ? 1 : answer->hears.count(name);
    } else {
      ++may_hear;
    }
  }
  const std::size_t members = view_.members.size();
  return 2 * reports > members && 2 * may_hear <= members;
}

bool QuorumReach::HearsMajority() const {
  const auto heard = std::count_if(view_.members.begin(), view_.members.end(), [&](const auto& id) {
    return id.name == directory_->self() || Fresh(id.name, timing_.duty_span) != nullptr ||
           HeardByMembership(id.name, timing_.duty_span);
  });
  return 2 * static_cast<std::size_t>(heard) > view_.members.size();
}

}  // namespace pearreach::control
