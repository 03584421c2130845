#include "tier/batch/item_tenant.h"

#include <string_view>

namespace pearreach::batch {
namespace {

constexpr std::string_view kTenantHeader = "X-Tenant";
constexpr std::string_view kAuthorizationHeader = "Authorization";
// No token, so that no client can send it: ParseItems refuses such names.
constexpr std::string_view kTenantMark = ":tenant";

bool IsClientIdentity(std::string_view name) {
  return http::SameName(name, kTenantHeader) || http::SameName(name, kAuthorizationHeader);
}

}  // namespace

void SetTenant(const std::string& tenant, std::vector<ItemSpec>* items) {
  for (ItemSpec& item : *items) {
    std::erase_if(item.headers, [](const auto& header) { return IsClientIdentity(header.first); });
    if (!tenant.empty()) item.headers.emplace_back(kTenantMark, tenant);
  }
}

std::string TenantOf(const ItemSpec& item) {
  for (const auto& [name, value] : item.headers) {
    if (name == kTenantMark) return value;
  }
  return {};
}

std::string TenantOf(const BatchJobSpec& batch_job) {
  return batch_job.items.empty() ? std::string() : TenantOf(batch_job.items.front());
}

std::vector<http::Header> WorkerHeaders(const ItemSpec& item, bool has_tenants) {
  const std::string tenant = TenantOf(item);
  const bool by_system = has_tenants || !tenant.empty();
  std::vector<http::Header> headers;
  headers.reserve(item.headers.size());
  for (const auto& [name, value] : item.headers) {
    if (name == kTenantMark) continue;
    if (by_system && IsClientIdentity(name)) continue;
    headers.push_back({name, value});
  }
  if (!tenant.empty()) headers.push_back({std::string(kTenantHeader), tenant});
  return headers;
}

std::string QuotaKey(const std::string& route, const std::string& tenant) {
  // No name of a tenant has a line feed, so that no two pairs share a key.
  return tenant.empty() ? route : route + '\n' + tenant;
}

std::string QuotaKey(const BatchJobSpec& batch_job) {
  return QuotaKey(batch_job.route, TenantOf(batch_job));
}

}  // namespace pearreach::batch
