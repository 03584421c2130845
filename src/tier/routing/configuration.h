// A parsed configuration, before the checks between its entries. Functions report errors as
// findings with the path of the field.
#ifndef PEARREACH_SRC_TIER_ROUTING_CONFIGURATION_H_
#define PEARREACH_SRC_TIER_ROUTING_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tier/routing/findings.h"
#include "tier/routing/route_table.h"

namespace pearreach::routing {

struct Configuration {
  std::int64_t version = 0;
  HttpLimits limits;
  std::vector<Route> routes;
  std::vector<Service> services;
  bool has_tenants = false;  // the field is present, even if the list is empty
  std::vector<Tenant> tenants;
};

// Parses the JSON text. Syntax errors, duplicate fields, missing fields and wrong types become
// findings.
Configuration ReadConfiguration(const std::string& json, Findings* findings);

// Checks the rules that involve several fields or entries. Each violation becomes a finding.
void CheckConfiguration(const Configuration& configuration, Findings* findings);

// Returns the host in the form used for route look-ups: lower case, without a port.
std::string NormalizeHost(std::string_view host);

// Returns the path of a list element, for example "routes[3]".
std::string ElementPath(std::string_view list, std::size_t position);

}  // namespace pearreach::routing

#endif  // PEARREACH_SRC_TIER_ROUTING_CONFIGURATION_H_
