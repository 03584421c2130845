// Configurations that this process has seen in force: a repeated call for one of them is answered
// as taken, also where a later one has replaced it since.
#ifndef PEARREACH_SRC_CONTROL_TAKEN_CONFIGS_H_
#define PEARREACH_SRC_CONTROL_TAKEN_CONFIGS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "control/control_client.h"

namespace pearreach::control {

class TakenConfigs {
 public:
  void Remember(const ControlSnapshot& snapshot) {
    if (snapshot.config_revision == last_revision_ || snapshot.routes == nullptr) return;
    last_revision_ = snapshot.config_revision;
    taken_.push_back(MarkOf(snapshot.routes->version(), snapshot.config_json));
    if (taken_.size() > kMost) taken_.pop_front();
  }
  bool Has(std::int64_t version, const std::string& json) const {
    const Mark wanted = MarkOf(version, json);
    for (const Mark& mark : taken_) {
      if (mark == wanted) return true;
    }
    return false;
  }

 private:
  static constexpr std::size_t kMost = 32;
  struct Mark {
    std::int64_t version = 0;
    std::size_t bytes = 0, hash = 0;
    bool operator==(const Mark&) const = default;
  };
  static Mark MarkOf(std::int64_t version, const std::string& json) {
    return {version, json.size(), std::hash<std::string>()(json)};
  }

  std::uint64_t last_revision_ = 0;
  std::deque<Mark> taken_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_CONTROL_TAKEN_CONFIGS_H_
