// Small valid configurations.
#ifndef PEARREACH_TESTS_TIER_CONTROL_SAMPLE_CONFIG_H_
#define PEARREACH_TESTS_TIER_CONTROL_SAMPLE_CONFIG_H_

#include <fmt/format.h>

#include <string>

namespace pearreach::control {

inline std::string SampleConfig(int version, const std::string& target = "a") {
  return fmt::format(
      R"({{"version_no":{},"routes":[{{"name":"r","host":"h.example","path_prefix":"/p/",)"
      R"("variant":"idempotent","limit_ms":1000,"target_ms":100,"rank":0,"target":"{}",)"
      R"("tries":2}}],"services":[{{"name":"a","health_path":"/health","max_conns":10}},)"
      R"({{"name":"b","health_path":"/health","max_conns":10}}],)"
      R"("limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_wait_ms":3000,)"
      R"("idle_ms":15000}}}})",
      version, target);
}

}  // namespace pearreach::control

#endif  // PEARREACH_TESTS_TIER_CONTROL_SAMPLE_CONFIG_H_
