// Reads the fields of a JSON object by name and type. A missing field or one of another type
// becomes a finding with its path.
#ifndef PEARREACH_SRC_TIER_ROUTING_OBJECT_READER_H_
#define PEARREACH_SRC_TIER_ROUTING_OBJECT_READER_H_

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "tier/routing/findings.h"

namespace pearreach::routing {

enum class Presence { kOptional, kRequired };

// Keeps references to the document and the findings, which must outlive it. Not thread-safe.
class ObjectReader {
 public:
  // A value that is not an object is one finding; all its fields then count as absent without
  // further findings.
  ObjectReader(const rapidjson::Value& value, std::string path, Findings* findings);

  const std::string& path() const { return path_; }
  std::string PathOf(std::string_view field) const;

  // Each function leaves `out` unchanged if the field is absent or invalid.
  void ReadString(std::string_view field, Presence presence, std::string* out) const;
  void ReadBool(std::string_view field, Presence presence, bool* out) const;
  // The number must not be negative.
  void ReadNumber(std::string_view field, Presence presence, double* out) const;
  void ReadInteger(std::string_view field, Presence presence, std::int64_t* out) const;
  // The number must be whole and not negative, here and in ReadSize.
  void ReadCount(std::string_view field, Presence presence, int* out) const;
  void ReadSize(std::string_view field, Presence presence, std::size_t* out) const;

  bool Has(std::string_view field) const { return Find(field) != nullptr; }
  // Null if the field is absent or of another type, with a finding as above.
  const rapidjson::Value* ReadArray(std::string_view field, Presence presence) const;
  const rapidjson::Value* ReadObject(std::string_view field, Presence presence) const;

 private:
  const rapidjson::Value* Find(std::string_view field) const;
  const rapidjson::Value* FindOrReportMissing(std::string_view field, Presence presence) const;
  void Report(std::string_view field, std::string_view message) const;

  const rapidjson::Value* object_;  // null: the value is not an object
  std::string path_;
  Findings* findings_;
};

}  // namespace pearreach::routing

#endif  // PEARREACH_SRC_TIER_ROUTING_OBJECT_READER_H_
