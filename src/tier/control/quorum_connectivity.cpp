#include "tier/control/quorum_connectivity.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/control/messages.h"
#include "tier/logging/log.h"

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

void QuorumConnectivity::Start(std::function<void()> listener) {
  listener_ = std::move(listener);
  SendHeartbeats();
}

void QuorumConnectivity::Update(bool is_head, bool is_agreeing, const coordination::View& view) {
  is_head_ = is_head;
  is_agreeing_ = is_agreeing;
  if (view.epoch != view_.epoch) view_ = view;
}

void QuorumConnectivity::SendHeartbeats() {
  const Micros sent_at = time_->Now();
  const DiskUse use = disk_.OwnUse();
  const std::string request = codec::Encode(
      ChainEnvelope{directory_->self(), "", true, ShouldLeaveView(), disk_.disk_id(), use});
  const bool disk_use_sent = use.starts > 0;
  for (const Contact& contact : directory_->QuorumContacts()) {
    transport_->Call(contact.address, rpc::MessageType::kChain, request, timing_.heartbeat_timeout,
                     callbacks_.Bind([this, name = contact.name, sent_at,
                                      disk_use_sent](const absl::StatusOr<std::string>& response) {
                       OnHeartbeatResponse(name, sent_at, disk_use_sent, response);
                     }));
  }
  timer_ = time_->After(timing_.heartbeat_period, [this] {
    timer_ = 0;
    had_majority_ = had_majority_ || (!view_.members.empty() && ReachesMajority());
    LogDiskChange();
    SendHeartbeats();
    listener_();
  });
}

void QuorumConnectivity::OnHeartbeatResponse(const std::string& name, Micros sent_at,
                                             bool disk_use_sent,
                                             const absl::StatusOr<std::string>& response) {
  if (!response.ok()) return;
  const auto heartbeat = codec::Decode<HeartbeatResponse>(*response);
  if (!heartbeat.ok() || heartbeat->name != name) return;  // another node has that address now
  const bool was_checked = IsDiskChecked();
  if (disk_use_sent) disk_.OnPeerReport(name, heartbeat->requester_disk_use);
  if (IsDiskChecked() != was_checked) listener_();
  disk_.RecordPeerDisk(name, heartbeat->disk_id, heartbeat->use);
  PeerState& peer = peer_states_[name];
  if (sent_at < peer.sent_at) return;
  peer.sent_at = sent_at;
  peer.reachable_members = {heartbeat->reachable_members.begin(),
                            heartbeat->reachable_members.end()};
  peer.epoch = heartbeat->epoch;
  peer.agreeing = heartbeat->agreeing;
  SetPeerDraining(name, heartbeat->draining);
}

// The first message of a process that starts under the name of a drained one resets this.
void QuorumConnectivity::SetPeerDraining(const std::string& name, bool draining) {
  const bool changed =
      draining ? draining_peers_.insert(name).second : draining_peers_.erase(name) > 0;
  if (changed) listener_();
}

void QuorumConnectivity::LogDiskChange() {
  const bool takes_writes = TakesWrites();
  if (std::exchange(took_writes_, takes_writes) == takes_writes) return;
  logging::Warning("control", takes_writes ? "the disk takes writes again"
                                           : "the disk takes no writes, leaving the view");
}

void QuorumConnectivity::SetDraining() {
  if (draining_since_.has_value()) return;
  draining_since_ = time_->Now();
  SendHeartbeatsNow();
}

void QuorumConnectivity::SendHeartbeatsNow() {
  if (timer_ == 0) return;
  time_->Cancel(&timer_);
  SendHeartbeats();
}

bool QuorumConnectivity::IsDraining(const std::string& name) const {
  if (name == directory_->self()) return ShouldLeaveView();
  return draining_peers_.count(name) > 0;
}

bool QuorumConnectivity::IsDrained() const {
  if (!draining_since_.has_value()) return false;
  const auto& members = view_.members;
  return std::all_of(members.begin(), members.end(), [this](const coordination::ReplicaId& id) {
    const auto found = peer_states_.find(id.name);
    return found != peer_states_.end() && found->second.sent_at >= *draining_since_ &&
           found->second.epoch == view_.epoch && !found->second.agreeing;
  });
}

std::string QuorumConnectivity::HandleHeartbeat(const ChainEnvelope& request) {
  SetPeerDraining(request.from, request.draining);
  HeartbeatResponse heartbeat;
  heartbeat.name = directory_->self();
  heartbeat.draining = ShouldLeaveView();
  heartbeat.epoch = view_.epoch;
  heartbeat.agreeing = is_agreeing_;
  heartbeat.disk_id = disk_.disk_id();
  heartbeat.use = disk_.OwnUse();
  heartbeat.requester_disk_use = disk_.RecordPeerDisk(request.from, request.disk_id, request.use);
  for (const auto& [name, peer] : peer_states_) {
    if (FindRecent(name, timing_.unreachable_timeout) != nullptr)
      heartbeat.reachable_members.push_back(name);
  }
  return codec::Encode(heartbeat);
}

const QuorumConnectivity::PeerState* QuorumConnectivity::FindRecent(const std::string& name,
                                                                    Micros span) const {
  const auto found = peer_states_.find(name);
  if (found == peer_states_.end() || time_->Now() - found->second.sent_at > span) return nullptr;
  return &found->second;
}

bool QuorumConnectivity::IsReachableByMembership(const std::string& name, Micros span) const {
  const coordination::Member* member = directory_->FindLive(name);
  return member != nullptr && member->last_contact != 0 &&
         time_->Now() - member->last_contact <= span;
}

bool QuorumConnectivity::IsUnreachable(const std::string& name) const {
  if (name == directory_->self()) return false;
  std::size_t reports = 0, may_reach = 0;
  for (const coordination::ReplicaId& id : view_.members) {
    if (id.name == directory_->self()) {
      ++reports;
      may_reach += FindRecent(name, timing_.unreachable_timeout) != nullptr ? 1 : 0;
    } else if (const PeerState* peer = FindRecent(id.name, timing_.unreachable_timeout)) {
      ++reports;
      may_reach += id.name == name ? 1 : peer->reachable_members.count(name);
    } else {
      ++may_reach;
    }
  }
  const std::size_t members = view_.members.size();
  return 2 * reports > members && 2 * may_reach <= members;
}

bool QuorumConnectivity::ReachesMajority() const {
  const auto reached =
      std::count_if(view_.members.begin(), view_.members.end(), [&](const auto& id) {
        return id.name == directory_->self() ||
               FindRecent(id.name, timing_.role_candidate_timeout) != nullptr ||
               IsReachableByMembership(id.name, timing_.role_candidate_timeout);
      });
  return 2 * static_cast<std::size_t>(reached) > view_.members.size();
}

}  // namespace pearreach::control
