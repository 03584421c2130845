#include "tier/registry/anti_entropy.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::registry {
namespace {

constexpr Micros kInitialPeriod = 100 * kMs;          // until the first comparison has succeeded
constexpr Micros kResponseTimeout = kSecond;          // of one call
constexpr std::size_t kMaxRecordsPerResponse = 1000;  // of one answer

}  // namespace

AntiEntropy::AntiEntropy(control::TimeSource* time, rpc::Transport* transport, EdgeNodes* nodes,
                         WorkerState* state, Micros period, UpdateHandler update_handler)
    : time_(time),
      transport_(transport),
      nodes_(nodes),
      state_(state),
      period_(period),
      update_handler_(std::move(update_handler)) {
  transport_->Handle(rpc::MessageType::kWorkerDigest,
                     callbacks_.Bind([this](const std::string&, std::string_view body,
                                            const rpc::Respond& respond) {
                       const auto request = codec::Decode<DigestRequest>(body);
                       if (!request.ok()) return respond(request.status());
                       respond(codec::Encode(OnDigest(*request)));
                     }));
  transport_->Handle(rpc::MessageType::kWorkerRepair,
                     callbacks_.Bind([this](const std::string&, std::string_view body,
                                            const rpc::Respond& respond) {
                       const auto request = codec::Decode<RepairRequest>(body);
                       if (!request.ok()) return respond(request.status());
                       respond(codec::Encode(OnRepair(*request)));
                     }));
  time_->After(0, callbacks_.Bind([this] { Tick(); }));
}

void AntiEntropy::Tick() {
  const std::string partner = ChoosePartner();
  if (!partner.empty()) RequestDigest(partner);
  const Micros period = compared_ ? period_ : std::min(period_, kInitialPeriod);
  time_->After(period, callbacks_.Bind([this] { Tick(); }));
}

std::string AntiEntropy::ChoosePartner() {
  const EdgeList& nodes = nodes_->Recent(time_->Now());
  const auto self = std::find_if(nodes.begin(), nodes.end(), [this](const EdgeRef& node) {
    return node->name == nodes_->self();
  });
  if (self == nodes.end() || nodes.size() < 2) return "";
  if (distance_ >= nodes.size()) distance_ = 1;
  const std::size_t position = static_cast<std::size_t>(self - nodes.begin()) + distance_;
  distance_ *= 2;
  return nodes[position % nodes.size()]->address;
}

void AntiEntropy::RequestDigest(const std::string& address) {
  transport_->Call(address, rpc::MessageType::kWorkerDigest,
                   codec::Encode(DigestRequest{state_->Digest()}), kResponseTimeout,
                   callbacks_.Bind([this, address](absl::StatusOr<std::string> bytes) {
                     if (!bytes.ok()) return;
                     const auto response = codec::Decode<DigestResponse>(*bytes);
                     if (!response.ok()) return;
                     if (response->shards.empty())
                       compared_ = true;
                     else
                       Repair(address, response->shards);
                   }));
}

void AntiEntropy::Repair(const std::string& address, const std::vector<std::uint64_t>& theirs) {
  const std::vector<std::uint64_t> ours = state_->ShardDigests();
  if (theirs.size() != ours.size()) return;
  RepairRequest request;
  for (std::size_t i = 0; i < ours.size(); ++i)
    if (ours[i] != theirs[i])
      request.shards.push_back({static_cast<std::uint32_t>(i), state_->Entries(i)});
  if (request.shards.empty()) return;  // the same by now
  transport_->Call(address, rpc::MessageType::kWorkerRepair, codec::Encode(request),
                   kResponseTimeout,
                   callbacks_.Bind([this, address](absl::StatusOr<std::string> bytes) {
                     if (!bytes.ok()) return;
                     const auto response = codec::Decode<RepairResponse>(*bytes);
                     if (response.ok()) ApplyRepair(address, *response);
                   }));
}

void AntiEntropy::ApplyRepair(const std::string& address, const RepairResponse& response) {
  // Exported before the other's records come in: then both end with the newer of the two.
  WorkerUpdate wanted;
  wanted.items = state_->ExportHashed(time_->Now(), response.wanted);
  if (wanted.items.size() > kMaxRecordsPerResponse) wanted.items.resize(kMaxRecordsPerResponse);
  update_handler_(response.update);
  if (!wanted.items.empty()) {
    DisseminateRequest request;
    request.update = codec::Encode(wanted);
    transport_->Call(address, rpc::MessageType::kWorkerUpdate, codec::Encode(request),
                     kResponseTimeout, [](const absl::StatusOr<std::string>&) {});
  }
  if (response.more) return RequestDigest(address);
  compared_ = true;
}

DigestResponse AntiEntropy::OnDigest(const DigestRequest& request) const {
  if (request.total == state_->Digest()) return {};
  return {state_->ShardDigests()};
}

RepairResponse AntiEntropy::OnRepair(const RepairRequest& request) const {
  RepairResponse response;
  for (const RepairRequest::Shard& shard : request.shards)
    state_->Compare(time_->Now(), shard, kMaxRecordsPerResponse, &response);
  return response;
}

}  // namespace pearreach::registry
