// Immutable snapshot of a validated configuration: routes, services, tenants and limits, with the
// look-up of a request's route. A new configuration creates a new table.
#ifndef PEARREACH_SRC_TIER_ROUTING_ROUTE_TABLE_H_
#define PEARREACH_SRC_TIER_ROUTING_ROUTE_TABLE_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pearreach::routing {

enum class Variant { kIdempotent, kEffectful, kStreamed, kBulk };

struct Target {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name, host, path_prefix;
  Variant variant = Variant::kEffectful;
  double limit_ms = 0;                             // time limit of a request
  double target_ms = 0;                            // latency target of the response
  double gap_target_ms = 0;                        // latency target between two events of a stream
  double due_ms = 0, retain_s = 0, token_cap = 0;  // bulk routes only; token_cap 0: no limit
  int rank = 0, attempts = 1;
  bool affinity = false, resumable = false;
  bool is_public = false;       // no key required, even if tenants are configured
  std::vector<Target> targets;  // one target or a weighted split with a sum of weights above 0

  // Whether a request may be retried on another worker after the first one may have executed it.
  bool IsIdempotent() const {
    return variant == Variant::kIdempotent || variant == Variant::kBulk ||
           (variant == Variant::kStreamed && resumable);
  }
};

struct Service {
  std::string name, health_path;
  int max_conns = 0;
  bool has_engine = false;
  int engine_capacity = 0;
  double engine_cache_tokens = 0;
};

// A customer. Its rate limit applies to all nodes together.
struct Tenant {
  std::string name;                   // sent to workers as X-Tenant
  std::vector<std::string> api_keys;  // secrets: never logged or forwarded
  std::optional<int> rank;            // overrides the route's rank
  double rate_per_s = 0;              // requests per second; 0: no limit
  double burst_size = 0;              // additional requests in a burst

  bool IsLimited() const { return rate_per_s > 0; }
};

struct HttpLimits {
  std::size_t max_header_bytes = 16384, max_body_bytes = 4 << 20;
  double header_wait_ms = 3000, idle_ms = 15000;
};

// Thread-safe: immutable after Parse.
class RouteTable {
 public:
  // Parses and validates a configuration. INVALID_ARGUMENT lists every finding with its path.
  // Checks: all required fields are present, version_no is a positive whole number, every route
  // refers to known services, no two routes share host and prefix, the shares of a split sum to
  // more than 0, limit_ms is above 0, prefixes begin and end with '/', names are unique, no two
  // tenants share a key. Unknown fields are ignored.
  static absl::StatusOr<std::shared_ptr<const RouteTable>> Parse(const std::string& json);

  std::int64_t version() const { return version_; }
  const HttpLimits& limits() const { return limits_; }
  const std::vector<Route>& routes() const { return routes_; }
  const Service* FindService(std::string_view name) const;
  // Whether requests to non-public routes require a key: the configuration has a list of tenants,
  // even if it is empty.
  bool has_tenants() const { return has_tenants_; }
  const std::vector<Tenant>& tenants() const { return tenants_; }
  const Tenant* FindTenant(std::string_view name) const;
  // Returns the tenant with this key, or null.
  const Tenant* FindTenantByKey(std::string_view api_key) const;
  // Returns the route of this host with the longest prefix that matches the path, or null. A query
  // is not part of the path; the port and the case of `host` are ignored.
  const Route* Match(std::string_view host, std::string_view path) const;
  const Route* FindRoute(std::string_view name) const;
  // Selects a target by weight; `point` is in [0, 1).
  static const Target& Pick(const Route& route, double point);

 private:
  friend class TableBuilder;

  // Allows look-ups by string_view without a copy.
  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>()(name);
    }
  };
  template <class Value>
  using ByName = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

  struct HostRoutes {
    std::size_t max_length = 0;     // length of the longest prefix in bytes
    ByName<std::size_t> by_prefix;  // positions in routes_
  };

  std::int64_t version_ = 0;
  HttpLimits limits_;
  std::vector<Route> routes_;
  ByName<HostRoutes> by_host_;  // keys as from NormalizeHost
  ByName<std::size_t> by_name_;
  ByName<Service> services_;
  bool has_tenants_ = false;
  std::vector<Tenant> tenants_;
  ByName<std::size_t> tenants_by_name_, tenants_by_key_;  // positions in tenants_
};

}  // namespace pearreach::routing

#endif  // PEARREACH_SRC_TIER_ROUTING_ROUTE_TABLE_H_
