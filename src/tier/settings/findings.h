// What is wrong with a settings file: each finding with its line, reported together in their order.
#ifndef PEARREACH_SRC_TIER_SETTINGS_FINDINGS_H_
#define PEARREACH_SRC_TIER_SETTINGS_FINDINGS_H_

#include <absl/status/status.h>
#include <yaml-cpp/mark.h>

#include <string>
#include <string_view>

namespace pearreach::settings {

class Findings {
 public:
  void Add(const YAML::Mark& mark, std::string_view place, std::string_view text);
  bool empty() const { return lines_.empty(); }
  absl::Status ToStatus() const;  // OK, or INVALID_ARGUMENT with one finding a line

 private:
  std::string lines_;
};

}  // namespace pearreach::settings

#endif  // PEARREACH_SRC_TIER_SETTINGS_FINDINGS_H_
