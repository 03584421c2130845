#include "tier/batch/unresponsive_store_reporter.h"

#include <string>

#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

constexpr Micros kReportPause = 300 * kMs;
constexpr Micros kReportTime = 500 * kMs;

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

void UnresponsiveStoreReporter::Report(const StoreId& unresponsive, Micros now) {
  std::erase_if(reported_, [now](const auto& entry) { return now - entry.second >= kReportPause; });
  if (!reported_.emplace(unresponsive, now).second) return;
  StoreStatus status;
  status.unresponsive.push_back(unresponsive);
  SendToPlacementController(transport_, *control_, status, kReportTime);
}

}  // namespace pearreach::batch
