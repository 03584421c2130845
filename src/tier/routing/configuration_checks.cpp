// Checks between the entries of a configuration.
#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "tier/routing/configuration.h"

namespace pearreach::routing {
namespace {

using FirstPositions = std::unordered_map<std::string, std::size_t>;

// Returns the position of the first entry with `key`; registers `position` if there is none.
std::size_t FirstPosition(const std::string& key, std::size_t position,
                          FirstPositions* first_positions) {
  return first_positions->try_emplace(key, position).first->second;
}

// Whether the text is visible ASCII without spaces. It is sent as a header value or a part of one.
bool IsHeaderValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character > ' ' && character <= '~'; });
}

class Checker {
 public:
  Checker(const Configuration& configuration, Findings* findings)
      : configuration_(configuration), findings_(findings) {}

  void Run() {
    CheckServices();
    for (std::size_t i = 0; i < configuration_.routes.size(); ++i) CheckRoute(i);
    for (std::size_t i = 0; i < configuration_.tenants.size(); ++i) CheckTenant(i);
  }

 private:
  void CheckServices() {
    FirstPositions name_positions;
    for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
      const std::string& name = configuration_.services[i].name;
      const std::size_t first = FirstPosition(name, i, &name_positions);
      if (first != i) {
        findings_->Add(ElementPath("services", i) + ".name",
                       fmt::format("'{}' is already the name of services[{}]", name, first));
      }
      service_names_.insert(name);
    }
  }

  void CheckRoute(std::size_t position) {
    const Route& route = configuration_.routes[position];
    const std::string path = ElementPath("routes", position);
    CheckName(route, path, position);
    CheckPrefix(route, path);
    CheckHostAndPrefix(route, path, position);
    CheckTargets(route, path);
  }

  void CheckName(const Route& route, const std::string& path, std::size_t position) {
    if (route.name.empty()) return;  // already reported by the reader
    const std::size_t first = FirstPosition(route.name, position, &route_names_);
    if (first == position) return;
    findings_->Add(path + ".name",
                   fmt::format("'{}' is already the name of routes[{}]", route.name, first));
  }

  void CheckPrefix(const Route& route, const std::string& path) {
    const std::string& prefix = route.path_prefix;
    if (prefix.empty()) return;  // already reported by the reader
    if (prefix.front() == '/' && prefix.back() == '/') return;
    findings_->Add(path + ".path_prefix", "must begin and end with '/'");
  }

  void CheckHostAndPrefix(const Route& route, const std::string& path, std::size_t position) {
    if (route.host.empty() || route.path_prefix.empty()) return;
    const std::string key = NormalizeHost(route.host) + route.path_prefix;
    const std::size_t first = FirstPosition(key, position, &host_prefixes_);
    if (first == position) return;
    findings_->Add(path, fmt::format("host and path_prefix are the same as in routes[{}]", first));
  }

  void CheckTargets(const Route& route, const std::string& path) {
    if (route.targets.empty()) return;  // already reported by the reader
    double sum = 0;
    for (const Target& target : route.targets) {
      sum += target.weight;
      CheckService(target, path);
    }
    if (sum <= 0) findings_->Add(path + ".split", "shares must sum to more than 0");
  }

  void CheckService(const Target& target, const std::string& path) {
    const bool is_reported = target.service.empty();
    if (is_reported || service_names_.contains(target.service)) return;
    findings_->Add(path + ".target", fmt::format("unknown service '{}'", target.service));
  }

  void CheckTenant(std::size_t position) {
    const Tenant& tenant = configuration_.tenants[position];
    const std::string path = ElementPath("tenants", position);
    CheckTenantName(tenant, path, position);
    for (std::size_t i = 0; i < tenant.api_keys.size(); ++i) {
      CheckApiKey(tenant.api_keys[i], ElementPath(path + ".api_keys", i), position);
    }
  }

  void CheckTenantName(const Tenant& tenant, const std::string& path, std::size_t position) {
    if (tenant.name.empty()) return;  // already reported by the reader
    if (!IsHeaderValue(tenant.name))
      findings_->Add(path + ".name", "has characters that are not allowed in a header");
    const std::size_t first = FirstPosition(tenant.name, position, &tenant_names_);
    if (first == position) return;
    findings_->Add(path + ".name",
                   fmt::format("'{}' is already the name of tenants[{}]", tenant.name, first));
  }

  // Findings are sent to the operator and logged, so they must not contain the key.
  void CheckApiKey(const std::string& api_key, const std::string& path, std::size_t position) {
    if (api_key.empty()) return findings_->Add(path, "empty");
    if (!IsHeaderValue(api_key))
      findings_->Add(path, "has characters that are not allowed in a header");
    const std::size_t first = FirstPosition(api_key, position, &api_keys_);
    if (first != position) findings_->Add(path, fmt::format("already a key of tenants[{}]", first));
  }

  const Configuration& configuration_;
  Findings* findings_;
  std::unordered_set<std::string> service_names_;
  FirstPositions route_names_, host_prefixes_, tenant_names_, api_keys_;
};

}  // namespace

void CheckConfiguration(const Configuration& configuration, Findings* findings) {
  Checker(configuration, findings).Run();
}

}  // namespace pearreach::routing
