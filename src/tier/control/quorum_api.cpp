#include "tier/control/quorum_api.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "tier/control/api_responses.h"
#include "tier/control/config_api.h"

namespace pearreach::control {

void QuorumApi::Register(ApiRouter* router) {
  router->Add("GET", "/Quorum.Read",
              [this](const std::shared_ptr<http_server::Exchange>& exchange, const std::string&) {
                RespondJson(exchange.get(), 200, DescribeMembers());
              });
  router->Add("POST", "/Quorum.Forget/*",
              [this](const std::shared_ptr<http_server::Exchange>& exchange,
                     const std::string& member) { Forget(exchange, member); });
}

std::string QuorumApi::DescribeMembers() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("epoch");
  writer.Uint64(recovery_->epoch());
  writer.Key("members");
  writer.StartArray();
  for (const QuorumMemberStatus& member : recovery_->Members()) {
    writer.StartObject();
    writer.Key("name");
    writer.String(member.id.name.c_str());
    writer.Key("disk");
    writer.String(member.id.disk_id.c_str());
    writer.Key("live");
    writer.Bool(member.live);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString();
}

void QuorumApi::Forget(const std::shared_ptr<http_server::Exchange>& exchange,
                       const std::string& member) {
  recovery_->Forget(member, kConfigResponseTimeout, [this, exchange](const absl::Status& status) {
    if (status.ok()) return RespondJson(exchange.get(), 200, DescribeMembers());
    const std::string why(status.message());
    if (absl::IsUnavailable(status)) return RespondUnavailable(exchange.get(), why);
    RespondError(exchange.get(), 409, why);
  });
}

}  // namespace pearreach::control
