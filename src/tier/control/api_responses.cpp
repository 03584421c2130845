#include "tier/control/api_responses.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <utility>

namespace pearreach::control {
namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void PutString(JsonWriter* writer, std::string_view text) {
  writer->String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

}  // namespace

void RespondJson(http_server::Exchange* exchange, int status, std::string_view json,
                 std::vector<http::Header> headers) {
  headers.push_back({"Content-Type", "application/json"});
  exchange->Respond(status, std::move(headers), json);
}

void RespondError(http_server::Exchange* exchange, int status, std::string_view text,
                  std::vector<http::Header> headers) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("error");
  PutString(&writer, text);
  writer.EndObject();
  RespondJson(exchange, status, {buffer.GetString(), buffer.GetSize()}, std::move(headers));
}

void RespondUnavailable(http_server::Exchange* exchange, std::string_view text) {
  RespondError(exchange, 503, text, {{"Retry-After", kRetryAfterSeconds}});
}

void RespondFindings(http_server::Exchange* exchange, std::string_view text) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("findings");
  writer.StartArray();
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    if (end > 0) PutString(&writer, text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  writer.EndArray();
  writer.EndObject();
  RespondJson(exchange, 400, {buffer.GetString(), buffer.GetSize()});
}

}  // namespace pearreach::control
