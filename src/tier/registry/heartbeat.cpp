#include "tier/registry/heartbeat.h"

#include <rapidjson/document.h>

namespace pearreach::registry {
namespace {

// Without recursion: the nesting of a body must not be bounded by the stack.
constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag;

std::string ReadText(const rapidjson::Value& object, const char* name) {
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsString()) return "";
  return {found->value.GetString(), found->value.GetStringLength()};
}

double ReadNumber(const rapidjson::Value& object, const char* name, double otherwise) {
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsNumber()) return otherwise;
  return found->value.GetDouble();
}

}  // namespace

absl::StatusOr<WorkerRecord> ParseHeartbeat(const std::string& worker_id, const std::string& json,
                                            Micros now) {
  rapidjson::Document document;
  document.Parse<kParseFlags>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject())
    return absl::InvalidArgumentError("the body is no JSON object");
  WorkerRecord record;
  record.worker_id = worker_id;
  record.service = ReadText(document, "target");
  record.address = ReadText(document, "address");
  record.zone = ReadText(document, "zone");
  if (worker_id.empty() || record.service.empty() || record.address.empty())
    return absl::InvalidArgumentError("worker id, target and address are needed");
  record.capacity = static_cast<int>(ReadNumber(document, "capacity", 1));
  record.call_seq = static_cast<std::uint64_t>(ReadNumber(document, "call_seq", 0));
  record.warm_at = now + static_cast<Micros>(ReadNumber(document, "warmup_left_ms", 0)) * kMs;
  const std::string phase = ReadText(document, "phase");
  if (phase != "ready" && phase != "draining")
    return absl::InvalidArgumentError("phase is neither ready nor draining");
  record.phase = phase == "draining" ? WorkerPhase::kDraining : WorkerPhase::kReady;
  return record;
}

}  // namespace pearreach::registry
