#include "tier/batch/store_path.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

using coordination::MemberInfo;
using coordination::MemberStatus;
using rpc::MessageType;

// A relayed path is used for so long before the direct one is tried again: about as long as a
// network partition lasts that is worth bypassing.
constexpr Micros kRelayPeriod = 2 * kSecond;
// Of a relayed call's time, for the way to the relay and back.
constexpr Micros kRelayMargin = 20 * kMs;

constexpr std::array<MessageType, 7> kRelayedTypes = {
    MessageType::kBatchJobCreate, MessageType::kBatchJobRead, MessageType::kItemBody,
    MessageType::kBatchJobCancel, MessageType::kItemResult,   MessageType::kBatchJobAdmission,
    MessageType::kQuotaQuery};

bool MayBeRelayed(std::uint8_t type) {
  return std::any_of(kRelayedTypes.begin(), kRelayedTypes.end(), [type](MessageType relayed) {
    return static_cast<std::uint8_t>(relayed) == type;
  });
}

}  // namespace

StorePath::StorePath(rpc::Transport* transport, const control::ControlClient* control,
                     std::string self)
    : transport_(transport),
      control_(control),
      self_(std::move(self)),
      random_(std::random_device()()) {
  transport_->Handle(
      MessageType::kStoreRelay,
      callbacks_.Bind([this](const std::string&, std::string_view body,
                             const rpc::Respond& respond) { OnRelayedCall(body, respond); }));
}

std::string StorePath::AddressOf(const StoreId& store) const {
  const auto& members = control_->members();
  const auto found = members.find(store.name);
  if (found == members.end()) return {};
  const coordination::Member& member = found->second;
  const bool reachable = member.info.disk_id == store.disk_id &&
                         member.status != MemberStatus::kDead &&
                         member.status != MemberStatus::kLeft;
  return reachable ? member.info.address : std::string();
}

// Nodes outside the quorum: a partition that isolates its members may not affect them.
std::string StorePath::ChooseRelay() {
  std::vector<const std::string*> relays;
  for (const auto& [name, member] : control_->members()) {
    const bool is_relay = member.status == MemberStatus::kAlive && name != self_ &&
                          member.info.Is(MemberInfo::kServesEdge) &&
                          !member.info.Is(MemberInfo::kQuorumMember);
    if (is_relay) relays.push_back(&member.info.address);
  }
  if (self_.empty() || relays.empty()) return {};
  return *relays[std::uniform_int_distribution<std::size_t>(0, relays.size() - 1)(random_)];
}

void StorePath::Call(const StoreId& store, MessageType type, std::string body, Micros timeout,
                     rpc::Done done) {
  const auto path = paths_.find(store);
  const bool prefers_relay =
      path != paths_.end() && path->second.relayed && Now() < path->second.until;
  const std::string relay = prefers_relay ? ChooseRelay() : std::string();
  const bool relayed = !relay.empty();
  auto update_path = callbacks_.Bind(
      [this, store, relayed](const absl::Status& status) { OnResponse(store, relayed, status); });
  // The caller gets the response even if this object is destroyed before.
  auto on_response = [update_path = std::move(update_path),
                      done = std::move(done)](absl::StatusOr<std::string> response) mutable {
    update_path(response.status());
    done(std::move(response));
  };
  if (!relayed)
    return transport_->Call(AddressOf(store), type, std::move(body), timeout, on_response);
  const Micros left = std::max(timeout - kRelayMargin, timeout / 2);
  const RelayedCall call{store, static_cast<std::uint8_t>(type), std::move(body), left / kMs};
  transport_->Call(relay, MessageType::kStoreRelay, codec::Encode(call), timeout, on_response);
}

void StorePath::OnResponse(const StoreId& store, bool relayed, const absl::Status& status) {
  if (self_.empty()) return;
  if (!absl::IsDeadlineExceeded(status)) {
    const auto path = paths_.find(store);
    if (!relayed && path != paths_.end() && !path->second.relayed) paths_.erase(path);
    return;
  }
  PathState& path = paths_[store];
  if (path.relayed != relayed)
    return;  // the response to a call from before the last change of path
  path.relayed = !relayed;
  path.until = Now() + kRelayPeriod;
}

void StorePath::OnRelayedCall(std::string_view body, const rpc::Respond& respond) {
  auto call = codec::Decode<RelayedCall>(body);
  if (!call.ok()) return respond(call.status());
  const std::string address = AddressOf(call->store);
  if (address.empty() || !MayBeRelayed(call->type)) {
    return respond(absl::FailedPreconditionError("no such store, or no call to pass on"));
  }
  transport_->Call(
      address, static_cast<MessageType>(call->type), std::move(call->body),
      std::max<Micros>(call->timeout_ms, 1) * kMs,
      [respond](absl::StatusOr<std::string> response) { respond(std::move(response)); });
}

}  // namespace pearreach::batch
