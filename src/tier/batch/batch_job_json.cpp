#include "tier/batch/batch_job_json.h"

#include <absl/status/status.h>
#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <set>
#include <utility>

namespace pearreach::batch {
namespace {

using rapidjson::Value;

// A response stays a little under 1 MB, also where contents grow by escapes; and what an output
// takes besides its texts.
constexpr std::size_t kMaxResponseBytes = 900'000, kOutputOverheadBytes = 64;

std::string_view ToView(const Value& text) { return {text.GetString(), text.GetStringLength()}; }

absl::Status Malformed(std::string_view what) {
  return absl::InvalidArgumentError(std::string(what));
}

const Value* StringMember(const Value& object, const char* name) {
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsString()) return nullptr;
  return &found->value;
}

// A token of RFC 9110, 5.6.2: what else a lenient worker may read as the name of another header.
bool IsToken(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [kMarks](char character) {
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
           kMarks.find(character) != std::string_view::npos;
  });
}

// Whether a header can be forwarded: its name is a token, its value has no line ends.
bool IsHeader(std::string_view name, std::string_view value) {
  constexpr std::string_view kNotInValue("\r\n\0", 3);
  return IsToken(name) && value.find_first_of(kNotInValue) == std::string_view::npos;
}

bool IsTarget(std::string_view path) {
  const auto is_space_or_control = [](char character) {
    return absl::ascii_isspace(static_cast<unsigned char>(character)) ||
           absl::ascii_iscntrl(static_cast<unsigned char>(character));
  };
  return !path.empty() && path.front() == '/' &&
         std::none_of(path.begin(), path.end(), is_space_or_control);
}

absl::Status ReadHeaders(const Value& entry, ItemSpec* item) {
  const auto headers = entry.FindMember("headers");
  if (headers == entry.MemberEnd()) return absl::OkStatus();
  if (!headers->value.IsObject()) return Malformed("headers: not an object");
  for (const auto& header : headers->value.GetObject()) {
    if (!header.value.IsString()) return Malformed("headers: a value is not a string");
    if (!IsHeader(ToView(header.name), ToView(header.value)))
      return Malformed("headers: not a header");
    item->headers.emplace_back(ToView(header.name), ToView(header.value));
  }
  return absl::OkStatus();
}

absl::Status ReadTokens(const Value& entry, ItemSpec* item) {
  const auto tokens = entry.FindMember("tokens");
  if (tokens == entry.MemberEnd()) return absl::OkStatus();
  if (!tokens->value.IsNumber()) return Malformed("tokens: not a number");
  item->tokens = tokens->value.GetDouble();
  if (!std::isfinite(item->tokens) || item->tokens < 0) return Malformed("tokens: below 0");
  return absl::OkStatus();
}

absl::StatusOr<std::string> DecodePayload(const Value& payload) {
  const absl::string_view text(payload.GetString(), payload.GetStringLength());
  std::string body;
  if (!absl::Base64Unescape(text, &body)) return Malformed("payload: not base64");
  return body;
}

absl::StatusOr<ItemSpec> ReadItem(const Value& entry) {
  if (!entry.IsObject()) return Malformed("entries: one is not an object");
  const Value* id = StringMember(entry, "worker_id");
  const Value* path = StringMember(entry, "path");
  const Value* payload = StringMember(entry, "payload");
  ItemSpec item;
  if (id == nullptr || !IsHeader("id", ToView(*id)) || id->GetStringLength() == 0) {
    return Malformed("worker_id: missing or not an id");
  }
  if (path == nullptr || !IsTarget(ToView(*path))) return Malformed("path: missing or not a path");
  item.item_id = ToView(*id);
  item.path = ToView(*path);
  if (payload != nullptr) {
    auto body = DecodePayload(*payload);
    if (!body.ok()) return body.status();
    item.body = *std::move(body);
  }
  if (const auto status = ReadHeaders(entry, &item); !status.ok()) return status;
  if (const auto status = ReadTokens(entry, &item); !status.ok()) return status;
  return item;
}

}  // namespace

absl::StatusOr<std::vector<ItemSpec>> ParseItems(std::string body) {
  rapidjson::Document parsed;
  parsed.ParseInsitu<rapidjson::kParseIterativeFlag>(body.data());
  const Value& document = parsed;
  if (parsed.HasParseError() || !document.IsObject()) return Malformed("not a JSON object");
  const auto entries = document.FindMember("entries");
  if (entries == document.MemberEnd() || !entries->value.IsArray()) {
    return Malformed("entries: missing or not a list");
  }
  if (entries->value.Empty()) return Malformed("entries: none");
  if (entries->value.Size() > kMaxItems) return Malformed("entries: too many");
  std::vector<ItemSpec> items;
  items.reserve(entries->value.Size());
  std::set<std::string> ids;
  for (const Value& entry : entries->value.GetArray()) {
    auto item = ReadItem(entry);
    if (!item.ok()) return item.status();
    if (!ids.insert(item->item_id).second) return Malformed("worker_id: named twice");
    items.push_back(*std::move(item));
  }
  return items;
}

std::string WriteOutputs(const ReadBatchJobResponse& response, std::uint64_t start_after) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto text = [&writer](std::string_view value) {
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  std::uint64_t next = start_after;
  writer.StartObject();
  writer.Key("total");
  writer.Uint64(response.total);
  writer.Key("outputs");
  writer.StartArray();
  for (const ItemOutput& output : response.outputs) {
    const std::size_t size = output.content.size() + output.item_id.size() + kOutputOverheadBytes;
    if (next > start_after && buffer.GetSize() + size > kMaxResponseBytes) break;
    writer.StartObject();
    writer.Key("worker_id");
    text(output.item_id);
    writer.Key("phase");
    text(output.phase == ItemPhase::kComplete ? "complete" : "abandoned");
    writer.Key("content");
    text(output.content);
    writer.EndObject();
    ++next;
  }
  writer.EndArray();
  writer.Key("next_token");
  writer.Uint64(next);
  writer.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize());
}

std::uint64_t Fingerprint(std::string_view body) {
  constexpr std::uint64_t kPrime = 0x9E3779B97F4A7C15ull;
  std::uint64_t hash = body.size() * kPrime;
  while (!body.empty()) {
    std::uint64_t word = 0;
    const std::size_t count = std::min(body.size(), sizeof(word));
    std::memcpy(&word, body.data(), count);
    hash = (hash ^ word) * kPrime;
    hash ^= hash >> 29;
    body.remove_prefix(count);
  }
  return hash;
}

}  // namespace pearreach::batch
