#include "node/engine/job_view.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace pearreach {

std::string WriteJobView(const JobView& view) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  const auto put = [&](const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  put("id", view.id);
  put("state", view.state);
  put("class", view.cls);
  json.Key("attempts");
  json.Int(view.attempts);
  if (view.served) put("result", view.result);
  if (!view.reason.empty()) put("reason", view.reason);
  if (view.retry_after > 0) {
    json.Key("retry_after_ms");
    json.Int64(view.retry_after / kMs);
  }
  json.EndObject();
  return buffer.GetString();
}

}  // namespace pearreach
