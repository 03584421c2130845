#include "tier/batch/unresponsive_store_reporter.h"

#include <string>

#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

constexpr Micros kMinReportInterval = 300 * kMs;
constexpr Micros kReportTimeout = 500 * kMs;

}  // namespace

void SendToPlacementController(rpc::Transport* transport, const control::ControlClient& control,
                               const StoreStatus& status, Micros timeout) {
  const std::string body = codec::Encode(status);
  for (const auto& [name, member] : control.members()) {
    const bool live = member.status == coordination::MemberStatus::kAlive ||
                      member.status == coordination::MemberStatus::kSuspect;
    if (!live || !member.info.Is(coordination::MemberInfo::kQuorumMember)) continue;
    transport->Call(member.info.address, rpc::MessageType::kStoreStatus, body, timeout,
                    [](const absl::StatusOr<std::string>&) {});
  }
}

void UnresponsiveStoreReporter::Report(const StoreId& store, Micros now) {
  std::erase_if(reported_,
                [now](const auto& entry) { return now - entry.second >= kMinReportInterval; });
  if (!reported_.emplace(store, now).second) return;
  StoreStatus status;
  status.unresponsive.push_back(store);
  SendToPlacementController(transport_, *control_, status, kReportTimeout);
}

}  // namespace pearreach::batch
