// Reads the fields of one JSON object by name and type; a field that is missing or of another type
// becomes a finding with its path.
#ifndef PEARREACH_SRC_TIER_ROUTING_OBJECT_READER_H_
#define PEARREACH_SRC_TIER_ROUTING_OBJECT_READER_H_

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "tier/routing/findings.h"

namespace pearreach::routing {

enum class Need { kOptional, kRequired };

// Refers to the document and the findings, which outlive it. Not thread-safe.
class ObjectReader {
 public:
  // A value that is no object is a finding; all its fields then count as absent without findings.
  ObjectReader(const rapidjson::Value& value, std::string path, Findings* findings);

  const std::string& path() const { return path_; }
  std::string PathOf(std::string_view field) const;

  // Each leaves `out` as it is where the field is absent or does not fit.
  void ReadText(std::string_view field, Need need, std::string* out) const;
  void ReadFlag(std::string_view field, Need need, bool* out) const;
  void ReadNumber(std::string_view field, Need need, double* out) const;  // not negative
  void ReadInteger(std::string_view field, Need need, std::int64_t* out) const;
  void ReadCount(std::string_view field, Need need, int* out) const;  // whole, not negative
  void ReadSize(std::string_view field, Need need, std::size_t* out) const;

  bool Has(std::string_view field) const { return Find(field) != nullptr; }
  // Null where it is absent or not an array; a finding as above.
  const rapidjson::Value* ReadArray(std::string_view field, Need need) const;
  const rapidjson::Value* ReadObject(std::string_view field, Need need) const;

 private:
  const rapidjson::Value* Find(std::string_view field) const;
  const rapidjson::Value* FindOrReportMissing(std::string_view field, Need need) const;
  void Report(std::string_view field, std::string_view text) const;

  const rapidjson::Value* object_;  // null: no object was there
  std::string path_;
  Findings* findings_;
};

}  // namespace pearreach::routing

#endif  // PEARREACH_SRC_TIER_ROUTING_OBJECT_READER_H_
