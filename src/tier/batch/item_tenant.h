// The tenant of a batch job travels with its items, as a header whose name no client can send,
// through messages and records that know no tenants.
#ifndef PEARREACH_SRC_TIER_BATCH_ITEM_TENANT_H_
#define PEARREACH_SRC_TIER_BATCH_ITEM_TENANT_H_

#include <string>
#include <vector>

#include "tier/batch/messages.h"
#include "tier/proxy/request.h"

namespace pearreach::batch {

// Replaces whatever the client has sent as X-Tenant or Authorization of an item. With an empty
// `tenant` the items run for none.
void SetTenant(const std::string& tenant, std::vector<ItemSpec>* items);

// Empty: none.
std::string TenantOf(const ItemSpec& item);
std::string TenantOf(const BatchJobSpec& batch_job);

// The headers that go on to a worker. `has_tenants`: of the configuration by which the item runs;
// then what its client has sent as X-Tenant or Authorization before there were tenants stays here
// too.
std::vector<http::Header> WorkerHeaders(const ItemSpec& item, bool has_tenants);

// Under which the waiting tokens of a route are counted: a cap holds for each tenant by itself.
// Without a tenant it is the route's name.
std::string QuotaKey(const std::string& route, const std::string& tenant);
std::string QuotaKey(const BatchJobSpec& batch_job);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_ITEM_TENANT_H_
