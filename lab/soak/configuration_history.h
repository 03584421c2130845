// All configurations that were ever sent, and the spans of time in which each may be in force.
#ifndef PEARREACH_LAB_SOAK_CONFIGURATION_HISTORY_H_
#define PEARREACH_LAB_SOAK_CONFIGURATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/soak/clock.h"

namespace pearreach::soak {

struct Tenant {
  std::set<std::string> keys;
  int rate_per_s = 0;  // 0: no limit
  int burst_size = 0;
};

struct Configuration {
  std::map<std::string, Tenant> tenants;
  bool has_extra_route = true;

  std::string TenantOf(const std::string& key) const;  // empty: none
  std::string Json(std::uint64_t version) const;
};

struct Version {
  Configuration configuration;
  std::uint64_t number = 0;
  Microseconds sent_at = 0;
  std::optional<Microseconds> acknowledged_at;
  bool refused = false;  // 400 or 412: it never comes into force
};

// Thread-safe.
class ConfigurationHistory {
 public:
  // Tells the place of the version, for the other two.
  std::size_t Send(Configuration configuration, std::uint64_t number);
  void Acknowledge(std::size_t place);
  void Refuse(std::size_t place);
  // In the order in which they were sent.
  std::vector<Version> All() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Version> versions_;
};

// The versions by which a node in touch may act on a request sent at `sent` and handled until
// `until`: all sent by then, but none that another replaced more than `apply` before `sent`.
std::vector<const Configuration*> MayBeInForce(const std::vector<Version>& versions,
                                               Microseconds sent, Microseconds until,
                                               Microseconds apply);

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_CONFIGURATION_HISTORY_H_
