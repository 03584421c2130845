#include "tier/gateway/header_filter.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "tier/gateway/authentication.h"

namespace pearreach::gateway {
namespace {

using http::Header;
using http::SameName;

constexpr std::string_view kProxyPrefix = "Proxy-";

bool IsHopByHop(std::string_view name) {
  switch (name.size()) {
    case 2:
      return SameName(name, "TE");
    case 6:
      return SameName(name, "Expect");
    case 7:
      return SameName(name, "Trailer") || SameName(name, "Upgrade");
    case 10:
      return SameName(name, "Connection") || SameName(name, "Keep-Alive");
    case 14:
      return SameName(name, "Content-Length");
    case 17:
      return SameName(name, "Transfer-Encoding");
    default:
      return false;
  }
}

bool IsProxyHeader(std::string_view name) {
  return name.size() > kProxyPrefix.size() &&
         SameName(name.substr(0, kProxyPrefix.size()), kProxyPrefix);
}

bool IsSetPerAttempt(std::string_view name) {
  return SameName(name, "X-Deadline-Ms") || SameName(name, "X-Target-Worker");
}

// Headers that are forwarded even if Connection names them.
bool IsProtected(std::string_view name) {
  return SameName(name, "Host") || SameName(name, "X-Attempt-Id") || SameName(name, "X-Seal");
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

void AddUnprotectedNames(std::string_view list, std::vector<std::string_view>* names) {
  for (;;) {
    const std::size_t comma = list.find(',');
    const std::string_view name = Trim(list.substr(0, comma));
    if (!name.empty() && !IsProtected(name)) names->push_back(name);
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

// Header names that are listed in the Connection headers. The views point into `headers`.
std::vector<std::string_view> NamesInConnection(const std::vector<Header>& headers) {
  std::vector<std::string_view> names;
  for (const Header& header : headers)
    if (SameName(header.name, "Connection")) AddUnprotectedNames(header.value, &names);
  return names;
}

bool IsEndToEnd(std::string_view name, const std::vector<std::string_view>& named) {
  if (IsHopByHop(name) || IsProxyHeader(name)) return false;
  return std::none_of(named.begin(), named.end(),
                      [&](std::string_view other) { return SameName(name, other); });
}

}  // namespace

std::vector<Header> RequestHeaders(std::vector<Header>* headers, Authentication authentication) {
  const bool by_gateway = authentication == Authentication::kByGateway;
  const std::vector<std::string_view> named = NamesInConnection(*headers);
  std::vector<Header> forwarded;
  forwarded.reserve(headers->size());
  for (Header& header : *headers) {
    // Connection headers are not moved: `named` points into them.
    if (!IsEndToEnd(header.name, named) || IsSetPerAttempt(header.name)) continue;
    if (by_gateway && IsAuthenticationHeader(header.name)) continue;
    forwarded.push_back(std::move(header));
  }
  return forwarded;
}

std::vector<Header> ResponseHeaders(const std::vector<Header>& headers) {
  const std::vector<std::string_view> named = NamesInConnection(headers);
  std::vector<Header> forwarded;
  forwarded.reserve(headers.size());
  for (const Header& header : headers)
    if (IsEndToEnd(header.name, named)) forwarded.push_back(header);
  return forwarded;
}

}  // namespace pearreach::gateway
