// Parses the JSON text of a configuration.
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <array>
#include <unordered_set>

#include "tier/routing/configuration.h"
#include "tier/routing/object_reader.h"

namespace pearreach::routing {
namespace {

// No real configuration is nested as deeply; bounds the recursion below.
constexpr int kMaxNesting = 64;

// The iterative parser cannot exhaust the stack.
constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag |
                                 rapidjson::kParseValidateEncodingFlag |
                                 rapidjson::kParseFullPrecisionFlag;

struct VariantName {
  std::string_view name;
  Variant variant;
};

constexpr std::array<VariantName, 4> kVariantNames = {{
    {"idempotent", Variant::kIdempotent},
    {"effectful", Variant::kEffectful},
    {"streamed", Variant::kStreamed},
    {"bulk", Variant::kBulk},
}};

// An unknown variant is treated as `effectful`, the most restrictive one: its requests run at most
// once.
Variant ParseVariant(std::string_view name) {
  for (const VariantName& known : kVariantNames) {
    if (known.name == name) return known.variant;
  }
  return Variant::kEffectful;
}

std::string_view StringOf(const rapidjson::Value& value) {
  return {value.GetString(), value.GetStringLength()};
}

std::string ChildPath(const std::string& path, std::string_view field) {
  return path.empty() ? std::string(field) : fmt::format("{}.{}", path, field);
}

void FindRepeatedKeys(const rapidjson::Value& value, const std::string& path, int depth,
                      Findings* findings);

void FindRepeatedKeysInObject(const rapidjson::Value& object, const std::string& path, int depth,
                              Findings* findings) {
  std::unordered_set<std::string_view> names;
  for (const auto& member : object.GetObject()) {
    const std::string_view name = StringOf(member.name);
    if (!names.insert(name).second) findings->Add(ChildPath(path, name), "duplicate field");
    const bool nested = member.value.IsObject() || member.value.IsArray();
    if (nested) FindRepeatedKeys(member.value, ChildPath(path, name), depth + 1, findings);
  }
}

void FindRepeatedKeys(const rapidjson::Value& value, const std::string& path, int depth,
                      Findings* findings) {
  if (depth > kMaxNesting) return findings->Add(path, "nested too deeply");
  if (value.IsObject()) return FindRepeatedKeysInObject(value, path, depth, findings);
  if (!value.IsArray()) return;
  for (rapidjson::SizeType i = 0; i < value.Size(); ++i) {
    const bool nested = value[i].IsObject() || value[i].IsArray();
    if (nested) FindRepeatedKeys(value[i], ElementPath(path, i), depth + 1, findings);
  }
}

std::vector<Target> ReadSplit(const rapidjson::Value& split, const std::string& path,
                              Findings* findings) {
  std::vector<Target> targets;
  targets.reserve(split.Size());
  for (rapidjson::SizeType i = 0; i < split.Size(); ++i) {
    const ObjectReader reader(split[i], ElementPath(path, i), findings);
    Target target;
    reader.ReadString("target", Presence::kRequired, &target.service);
    reader.ReadNumber("share", Presence::kRequired, &target.weight);
    targets.push_back(std::move(target));
  }
  return targets;
}

void ReadTargets(const ObjectReader& reader, Findings* findings, Route* route) {
  const bool has_target = reader.Has("target");
  const bool has_split = reader.Has("split");
  if (has_target && has_split) findings->Add(reader.path(), "has both target and split");
  if (!has_target && !has_split) findings->Add(reader.path(), "has neither target nor split");
  if (has_split) {
    const rapidjson::Value* split = reader.ReadArray("split", Presence::kRequired);
    if (split == nullptr) return;
    if (split->Empty()) findings->Add(reader.PathOf("split"), "must have at least one target");
    route->targets = ReadSplit(*split, reader.PathOf("split"), findings);
  } else if (has_target) {
    Target target;
    reader.ReadString("target", Presence::kRequired, &target.service);
    route->targets.push_back(std::move(target));
  }
}

void ReadTimes(const ObjectReader& reader, Route* route) {
  const bool bulk = route->variant == Variant::kBulk;
  // limit_ms does not apply to items of batch jobs, so bulk routes may omit it.
  reader.ReadNumber("limit_ms", bulk ? Presence::kOptional : Presence::kRequired, &route->limit_ms);
  reader.ReadNumber("target_ms", Presence::kOptional, &route->target_ms);
  reader.ReadNumber("gap_aim_ms", Presence::kOptional, &route->gap_target_ms);
  reader.ReadNumber("due_ms", bulk ? Presence::kRequired : Presence::kOptional, &route->due_ms);
  reader.ReadNumber("retain_s", bulk ? Presence::kRequired : Presence::kOptional, &route->retain_s);
}

Route ReadRoute(const rapidjson::Value& value, const std::string& path, Findings* findings) {
  const ObjectReader reader(value, path, findings);
  Route route;
  std::string variant = "effectful";
  reader.ReadString("name", Presence::kRequired, &route.name);
  reader.ReadString("host", Presence::kRequired, &route.host);
  reader.ReadString("path_prefix", Presence::kRequired, &route.path_prefix);
  reader.ReadString("variant", Presence::kOptional, &variant);
  route.variant = ParseVariant(variant);
  ReadTimes(reader, &route);
  if (reader.Has("limit_ms") && route.limit_ms <= 0) {
    findings->Add(reader.PathOf("limit_ms"), "must be greater than 0");
  }
  reader.ReadNumber("token_cap", Presence::kOptional, &route.token_cap);
  reader.ReadCount("rank", Presence::kOptional, &route.rank);
  reader.ReadCount("tries", Presence::kOptional, &route.attempts);
  route.attempts = std::max(route.attempts, 1);
  reader.ReadBool("pinned", Presence::kOptional, &route.affinity);
  reader.ReadBool("resumable", Presence::kOptional, &route.resumable);
  reader.ReadBool("public", Presence::kOptional, &route.is_public);
  ReadTargets(reader, findings, &route);
  return route;
}

Service ReadService(const rapidjson::Value& value, const std::string& path, Findings* findings) {
  const ObjectReader reader(value, path, findings);
  Service service;
  reader.ReadString("name", Presence::kRequired, &service.name);
  reader.ReadString("health_path", Presence::kOptional, &service.health_path);
  reader.ReadCount("max_conns", Presence::kOptional, &service.max_conns);
  const rapidjson::Value* engine = reader.ReadObject("engine", Presence::kOptional);
  if (engine == nullptr) return service;
  const ObjectReader engine_reader(*engine, reader.PathOf("engine"), findings);
  service.has_engine = true;
  engine_reader.ReadCount("capacity", Presence::kOptional, &service.engine_capacity);
  engine_reader.ReadNumber("cache_tokens", Presence::kOptional, &service.engine_cache_tokens);
  return service;
}

std::vector<std::string> ReadApiKeys(const ObjectReader& reader, Findings* findings) {
  std::vector<std::string> api_keys;
  const rapidjson::Value* list = reader.ReadArray("api_keys", Presence::kRequired);
  if (list == nullptr) return api_keys;
  api_keys.reserve(list->Size());
  for (rapidjson::SizeType i = 0; i < list->Size(); ++i) {
    const rapidjson::Value& api_key = (*list)[i];
    if (api_key.IsString()) {
      api_keys.emplace_back(StringOf(api_key));
    } else {
      findings->Add(ElementPath(reader.PathOf("api_keys"), i), "not a string");
    }
  }
  return api_keys;
}

Tenant ReadTenant(const rapidjson::Value& value, const std::string& path, Findings* findings) {
  const ObjectReader reader(value, path, findings);
  Tenant tenant;
  reader.ReadString("name", Presence::kRequired, &tenant.name);
  tenant.api_keys = ReadApiKeys(reader, findings);
  if (reader.Has("rank")) {
    int rank = 0;
    reader.ReadCount("rank", Presence::kOptional, &rank);
    tenant.rank = rank;
  }
  reader.ReadNumber("rate_per_s", Presence::kOptional, &tenant.rate_per_s);
  reader.ReadNumber("burst_size", Presence::kOptional, &tenant.burst_size);
  return tenant;
}

HttpLimits ReadLimits(const rapidjson::Value& value, const std::string& path, Findings* findings) {
  const ObjectReader reader(value, path, findings);
  HttpLimits limits;
  reader.ReadSize("max_header_bytes", Presence::kOptional, &limits.max_header_bytes);
  reader.ReadSize("max_body_bytes", Presence::kOptional, &limits.max_body_bytes);
  reader.ReadNumber("header_wait_ms", Presence::kOptional, &limits.header_wait_ms);
  reader.ReadNumber("idle_ms", Presence::kOptional, &limits.idle_ms);
  return limits;
}

// Reads all elements of a required list with `read`.
template <class Element>
std::vector<Element> ReadList(const ObjectReader& reader, std::string_view field,
                              Element (*read)(const rapidjson::Value&, const std::string&,
                                              Findings*),
                              Findings* findings) {
  std::vector<Element> elements;
  const rapidjson::Value* list = reader.ReadArray(field, Presence::kRequired);
  if (list == nullptr) return elements;
  elements.reserve(list->Size());
  for (rapidjson::SizeType i = 0; i < list->Size(); ++i) {
    elements.push_back(read((*list)[i], ElementPath(field, i), findings));
  }
  return elements;
}

Configuration ReadRoot(const rapidjson::Value& root, Findings* findings) {
  Configuration configuration;
  const ObjectReader reader(root, "", findings);
  reader.ReadInteger("version_no", Presence::kRequired, &configuration.version);
  if (reader.Has("version_no") && configuration.version <= 0) {
    findings->Add("version_no", "must be a positive whole number");
  }
  configuration.services = ReadList<Service>(reader, "services", &ReadService, findings);
  configuration.routes = ReadList<Route>(reader, "routes", &ReadRoute, findings);
  configuration.has_tenants = reader.Has("tenants");
  if (configuration.has_tenants) {
    configuration.tenants = ReadList<Tenant>(reader, "tenants", &ReadTenant, findings);
  }
  const rapidjson::Value* limits = reader.ReadObject("limits", Presence::kOptional);
  if (limits != nullptr) configuration.limits = ReadLimits(*limits, "limits", findings);
  return configuration;
}

}  // namespace

std::string ElementPath(std::string_view list, std::size_t position) {
  return fmt::format("{}[{}]", list, position);
}

Configuration ReadConfiguration(const std::string& json, Findings* findings) {
  // The parser stops at a NUL byte and would ignore the rest of the text.
  const std::size_t nul = json.find('\0');
  if (nul != std::string::npos) {
    findings->Add(fmt::format("byte {}", nul), "unexpected NUL byte");
    return {};
  }
  rapidjson::Document document;
  document.Parse<kParseFlags>(json.data(), json.size());
  if (document.HasParseError()) {
    findings->Add(fmt::format("byte {}", document.GetErrorOffset()),
                  rapidjson::GetParseError_En(document.GetParseError()));
    return {};
  }
  FindRepeatedKeys(document, "", 0, findings);
  return ReadRoot(document, findings);
}

}  // namespace pearreach::routing
