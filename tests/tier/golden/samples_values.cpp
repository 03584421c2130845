// Frames of the mesh, and the numbers that stand for names on the wire and on disk.
#include "samples.h"
#include "tier/batch/batch_job_state.h"
#include "tier/batch/quota.h"
#include "tier/batch/replication_messages.h"
#include "tier/control/control_client.h"
#include "tier/coordination/change_history.h"
#include "tier/coordination/membership.h"
#include "tier/registry/worker_table.h"
#include "tier/rpc/frame.h"
#include "tier/rpc/transport.h"

namespace pearreach::golden {
namespace {

std::string FrameBytes(const rpc::Frame& frame) {
  std::string bytes;
  rpc::AppendFrame(frame, &bytes);
  return bytes;
}

std::string RewriteFrame(std::string_view bytes) {
  rpc::FrameReader reader;
  reader.Feed(bytes);
  rpc::Frame frame;
  if (reader.Next(&frame) != rpc::FrameReader::State::kFrame) return kUnreadable;
  return FrameBytes(frame);
}

// No default: the compiler names a type that has no row.
const char* NameOf(rpc::MessageType type) {
  using rpc::MessageType;
  switch (type) {
    case MessageType::kChain:
      return "chain";
    case MessageType::kControlPoll:
      return "control_poll";
    case MessageType::kControlWrite:
      return "control_write";
    case MessageType::kControlRead:
      return "control_read";
    case MessageType::kWorkerUpdate:
      return "worker_spread";
    case MessageType::kWorkerHeartbeat:
      return "worker_pass";
    case MessageType::kWorkerDigest:
      return "worker_digest";
    case MessageType::kWorkerRepair:
      return "worker_repair";
    case MessageType::kWorkerDeparture:
      return "worker_departure";
    case MessageType::kWitnessVote:
      return "witness_vote";
    case MessageType::kBatchJobCreate:
      return "lot_create";
    case MessageType::kBatchJobRead:
      return "lot_read";
    case MessageType::kItemBody:
      return "lot_item_body";
    case MessageType::kBatchJobCancel:
      return "lot_cancel";
    case MessageType::kItemPull:
      return "item_take";
    case MessageType::kItemResult:
      return "item_result";
    case MessageType::kItemRenew:
      return "item_renew";
    case MessageType::kBatchJobAdmission:
      return "lot_offer";
    case MessageType::kReplicate:
      return "replicate";
    case MessageType::kRepairDigest:
      return "repair_digest";
    case MessageType::kQuotaReserve:
      return "quota_reserve";
    case MessageType::kQuotaReport:
      return "quota_report";
    case MessageType::kStoreStatus:
      return "store_status";
    case MessageType::kQuotaQuery:
      return "quota_question";
    case MessageType::kStorePing:
      return "store_ping";
    case MessageType::kStoreRelay:
      return "store_relay";
    case MessageType::kStoreDiskReport:
      return "store_disk_report";
    case MessageType::kTenantGrant:
      return "tenant_grant";
  }
  return nullptr;
}

// One byte a name, in the order in which they are given.
template <class Enumeration>
void AddValues(const std::string& prefix,
               const std::vector<std::pair<const char*, Enumeration>>& values, Samples* samples) {
  for (const auto& [name, value] : values) {
    samples->push_back({prefix + "." + name, std::string(1, static_cast<char>(value))});
  }
}

void AddCoordinationValues(Samples* samples) {
  using namespace coordination;
  AddValues<MemberStatus>("member_status",
                          {{"alive", MemberStatus::kAlive},
                           {"suspect", MemberStatus::kSuspect},
                           {"dead", MemberStatus::kDead},
                           {"left", MemberStatus::kLeft}},
                          samples);
  AddValues<std::uint8_t>("member_role",
                          {{"edge", MemberInfo::kServesEdge},
                           {"control", MemberInfo::kServesControl},
                           {"storage", MemberInfo::kServesStorage},
                           {"quorum", MemberInfo::kQuorumMember}},
                          samples);
  AddValues<ChangeStatus>("change_status",
                          {{"committed", ChangeStatus::kCommitted},
                           {"conflict", ChangeStatus::kConflict},
                           {"unavailable", ChangeStatus::kUnavailable},
                           {"not_head", ChangeStatus::kNotHead},
                           {"fenced", ChangeStatus::kFenced}},
                          samples);
  AddValues<ChangeHistoryStatus>("mark_standing",
                                 {{"new", ChangeHistoryStatus::kNew},
                                  {"recorded", ChangeHistoryStatus::kRecorded},
                                  {"other", ChangeHistoryStatus::kOther},
                                  {"forgotten", ChangeHistoryStatus::kForgotten}},
                                 samples);
}

void AddLotValues(Samples* samples) {
  using namespace batch;
  AddValues<OfferVerdict>("offer_verdict",
                          {{"welcome", OfferVerdict::kWelcome},
                           {"known", OfferVerdict::kKnown},
                           {"no_room", OfferVerdict::kInsufficientCapacity}},
                          samples);
  AddValues<CreateStatus>("create_status",
                          {{"accepted", CreateStatus::kAccepted},
                           {"over_quota", CreateStatus::kOverQuota},
                           {"no_room", CreateStatus::kInsufficientCapacity}},
                          samples);
  AddValues<ItemPhase>("item_phase",
                       {{"complete", ItemPhase::kComplete}, {"abandoned", ItemPhase::kAbandoned}},
                       samples);
  AddValues<RunOutcome>("run_outcome",
                        {{"complete", RunOutcome::kComplete},
                         {"failed", RunOutcome::kFailed},
                         {"impossible", RunOutcome::kImpossible},
                         {"returned", RunOutcome::kReturned}},
                        samples);
}

void AddStoreValues(Samples* samples) {
  using namespace batch;
  AddValues<RecordKind>("record_kind",
                        {{"header", RecordKind::kHeader},
                         {"ended", RecordKind::kEnded},
                         {"failures", RecordKind::kFailures},
                         {"item", RecordKind::kItem},
                         {"reservation", RecordKind::kReservation},
                         {"result", RecordKind::kResult},
                         {"tenant", RecordKind::kTenant}},
                        samples);
  AddValues<ReplicaVerdict>("replica_verdict",
                            {{"taken", ReplicaVerdict::kAccepted},
                             {"unsynchronised", ReplicaVerdict::kUnsynchronised},
                             {"stale", ReplicaVerdict::kStale},
                             {"superseded", ReplicaVerdict::kSuperseded},
                             {"behind", ReplicaVerdict::kBehind}},
                            samples);
  AddValues<QuotaDecision>("quota_verdict",
                           {{"granted", QuotaDecision::kGranted},
                            {"over", QuotaDecision::kOver},
                            {"unknown", QuotaDecision::kUnknown}},
                           samples);
}

}  // namespace

Samples FrameSamples() {
  using rpc::FrameKind;
  Samples samples;
  const auto add = [&](const char* name, const rpc::Frame& frame) {
    samples.push_back({std::string("frame.") + name, FrameBytes(frame), RewriteFrame});
  };
  add("call", {FrameKind::kRequest, 20, 0x0102030405060708, "question"});
  add("answer", {FrameKind::kResponse, 21, 0x1112131415161718, "reply"});
  add("error", {FrameKind::kError, 14, 0x2122232425262728, "what is wrong"});
  return samples;
}

Samples MessageTypeValues() {
  Samples samples;
  for (int value = 0; value < 256; ++value) {
    const char* name = NameOf(static_cast<rpc::MessageType>(value));
    if (name == nullptr) continue;
    samples.push_back(
        {std::string("message_type.") + name, std::string(1, static_cast<char>(value))});
  }
  return samples;
}

Samples EnumerationValues() {
  Samples samples;
  AddCoordinationValues(&samples);
  AddLotValues(&samples);
  AddStoreValues(&samples);
  using registry::WorkerPhase;
  AddValues<WorkerPhase>("worker_phase",
                         {{"ready", WorkerPhase::kReady},
                          {"draining", WorkerPhase::kDraining},
                          {"gone", WorkerPhase::kGone}},
                         &samples);
  samples.push_back({"control_key.config", control::kConfigKey});
  samples.push_back({"control_key.stores", control::kStoresKey});
  return samples;
}

}  // namespace pearreach::golden
