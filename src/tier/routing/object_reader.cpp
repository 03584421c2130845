#include "tier/routing/object_reader.h"

#include <cmath>
#include <limits>
#include <utility>

namespace pearreach::routing {
namespace {

// 2^53: above it, a double does not represent every whole number.
constexpr double kMaxExactInteger = 9007199254740992.0;

}  // namespace

ObjectReader::ObjectReader(const rapidjson::Value& value, std::string path, Findings* findings)
    : object_(value.IsObject() ? &value : nullptr), path_(std::move(path)), findings_(findings) {
  if (object_ == nullptr) {
    findings_->Add(path_.empty() ? "configuration" : path_, "not an object");
  }
}

std::string ObjectReader::PathOf(std::string_view field) const {
  if (path_.empty()) return std::string(field);
  return path_ + "." + std::string(field);
}

const rapidjson::Value* ObjectReader::Find(std::string_view field) const {
  if (object_ == nullptr) return nullptr;
  const auto name =
      rapidjson::StringRef(field.data(), static_cast<rapidjson::SizeType>(field.size()));
  const auto member = object_->FindMember(rapidjson::Value(name));
  return member == object_->MemberEnd() ? nullptr : &member->value;
}

const rapidjson::Value* ObjectReader::FindOrReportMissing(std::string_view field,
                                                          Presence presence) const {
  const rapidjson::Value* value = Find(field);
  const bool missing = value == nullptr && object_ != nullptr;
  if (missing && presence == Presence::kRequired) Report(field, "missing");
  return value;
}

void ObjectReader::Report(std::string_view field, std::string_view message) const {
  findings_->Add(PathOf(field), message);
}

void ObjectReader::ReadString(std::string_view field, Presence presence, std::string* out) const {
  const rapidjson::Value* value = FindOrReportMissing(field, presence);
  if (value == nullptr) return;
  if (!value->IsString()) return Report(field, "not a string");
  out->assign(value->GetString(), value->GetStringLength());
  if (out->empty() && presence == Presence::kRequired) Report(field, "empty");
}

void ObjectReader::ReadBool(std::string_view field, Presence presence, bool* out) const {
  const rapidjson::Value* value = FindOrReportMissing(field, presence);
  if (value == nullptr) return;
  if (!value->IsBool()) return Report(field, "not a boolean");
  *out = value->GetBool();
}

void ObjectReader::ReadNumber(std::string_view field, Presence presence, double* out) const {
  const rapidjson::Value* value = FindOrReportMissing(field, presence);
  if (value == nullptr) return;
  if (!value->IsNumber()) return Report(field, "not a number");
  if (value->GetDouble() < 0) return Report(field, "negative");
  *out = value->GetDouble();
}

void ObjectReader::ReadInteger(std::string_view field, Presence presence, std::int64_t* out) const {
  const rapidjson::Value* value = FindOrReportMissing(field, presence);
  if (value == nullptr) return;
  if (!value->IsNumber()) return Report(field, "not a number");
  if (value->IsInt64()) {
    *out = value->GetInt64();
    return;
  }
  const double number = value->GetDouble();
  if (number != std::floor(number)) return Report(field, "not a whole number");
  if (std::abs(number) > kMaxExactInteger) return Report(field, "too large");
  *out = static_cast<std::int64_t>(number);
}

void ObjectReader::ReadCount(std::string_view field, Presence presence, int* out) const {
  std::int64_t integer = *out;
  ReadInteger(field, presence, &integer);
  if (integer < 0) return Report(field, "negative");
  if (integer > std::numeric_limits<int>::max()) return Report(field, "too large");
  *out = static_cast<int>(integer);
}

void ObjectReader::ReadSize(std::string_view field, Presence presence, std::size_t* out) const {
  auto integer = static_cast<std::int64_t>(*out);
  ReadInteger(field, presence, &integer);
  if (integer < 0) return Report(field, "negative");
  *out = static_cast<std::size_t>(integer);
}

const rapidjson::Value* ObjectReader::ReadArray(std::string_view field, Presence presence) const {
  const rapidjson::Value* value = FindOrReportMissing(field, presence);
  if (value == nullptr || value->IsArray()) return value;
  Report(field, "not an array");
  return nullptr;
}

const rapidjson::Value* ObjectReader::ReadObject(std::string_view field, Presence presence) const {
  const rapidjson::Value* value = FindOrReportMissing(field, presence);
  if (value == nullptr || value->IsObject()) return value;
  Report(field, "not an object");
  return nullptr;
}

}  // namespace pearreach::routing
