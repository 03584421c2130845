#include "tier/routing/route_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "tier/routing/configuration.h"
#include "tier/routing/findings.h"

namespace pearreach::routing {
namespace {

char ToLower(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                              : character;
}

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon == std::string_view::npos) return host;
  const bool inside_brackets = host.back() == ']';  // an IPv6 address without a port
  return inside_brackets ? host : host.substr(0, colon);
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  std::string name(WithoutPort(host));
  std::transform(name.begin(), name.end(), name.begin(), ToLower);
  return name;
}

// Builds a table from a validated configuration.
class TableBuilder {
 public:
  static std::shared_ptr<const RouteTable> Build(Configuration configuration) {
    auto table = std::make_shared<RouteTable>();
    table->version_ = configuration.version;
    table->limits_ = configuration.limits;
    table->routes_ = std::move(configuration.routes);
    AddServices(std::move(configuration.services), table.get());
    IndexRoutes(table.get());
    AddTenants(std::move(configuration), table.get());
    return table;
  }

 private:
  static void AddServices(std::vector<Service> services, RouteTable* table) {
    for (Service& service : services) {
      std::string name = service.name;
      table->services_.emplace(std::move(name), std::move(service));
    }
  }

  static void IndexRoutes(RouteTable* table) {
    for (std::size_t i = 0; i < table->routes_.size(); ++i) {
      const Route& route = table->routes_[i];
      table->by_name_.emplace(route.name, i);
      RouteTable::HostRoutes& host = table->by_host_[NormalizeHost(route.host)];
      host.max_length = std::max(host.max_length, route.path_prefix.size());
      host.by_prefix.emplace(route.path_prefix, i);
    }
  }

  static void AddTenants(Configuration configuration, RouteTable* table) {
    table->has_tenants_ = configuration.has_tenants;
    table->tenants_ = std::move(configuration.tenants);
    for (std::size_t i = 0; i < table->tenants_.size(); ++i) {
      const Tenant& tenant = table->tenants_[i];
      table->tenants_by_name_.emplace(tenant.name, i);
      for (const std::string& key : tenant.api_keys) table->tenants_by_key_.emplace(key, i);
    }
  }
};

absl::StatusOr<std::shared_ptr<const RouteTable>> RouteTable::Parse(const std::string& json) {
  Findings findings;
  Configuration configuration = ReadConfiguration(json, &findings);
  CheckConfiguration(configuration, &findings);
  if (!findings.empty()) return findings.ToStatus();
  return TableBuilder::Build(std::move(configuration));
}

const Service* RouteTable::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

const Tenant* RouteTable::FindTenant(std::string_view name) const {
  const auto found = tenants_by_name_.find(name);
  return found == tenants_by_name_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* RouteTable::FindTenantByKey(std::string_view api_key) const {
  const auto found = tenants_by_key_.find(api_key);
  return found == tenants_by_key_.end() ? nullptr : &tenants_[found->second];
}

const Route* RouteTable::FindRoute(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &routes_[found->second];
}

const Route* RouteTable::Match(std::string_view host, std::string_view path) const {
  const auto found = by_host_.find(NormalizeHost(host));
  if (found == by_host_.end()) return nullptr;
  const HostRoutes& routes = found->second;
  // Prefixes end with a slash, so only the beginnings of the path that do are looked up, longest
  // first.
  path = path.substr(0, path.find('?')).substr(0, routes.max_length);
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/')) {
    const auto route = routes.by_prefix.find(path.substr(0, slash + 1));
    if (route != routes.by_prefix.end()) return &routes_[route->second];
    path = path.substr(0, slash);
  }
  return nullptr;
}

const Target& RouteTable::Pick(const Route& route, double point) {
  const auto add_weight = [](double sum, const Target& target) { return sum + target.weight; };
  const double sum = std::accumulate(route.targets.begin(), route.targets.end(), 0.0, add_weight);
  double left = point * sum;
  const Target* last = &route.targets.front();
  for (const Target& target : route.targets) {
    if (target.weight <= 0) continue;
    if (left < target.weight) return target;
    left -= target.weight;
    last = &target;
  }
  return *last;  // reached through rounding only: the last target with a positive weight
}

}  // namespace pearreach::routing
