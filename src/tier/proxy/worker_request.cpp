#include "tier/proxy/worker_request.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace pearreach::proxy {
namespace {

constexpr std::size_t kTypicalHeadBytes = 512;

// Request headers that this node writes itself or that are hop-by-hop.
constexpr std::array<std::string_view, 11> kOmittedRequestHeaders = {
    "Connection",      "Content-Length", "Transfer-Encoding", "X-Deadline-Ms", "Expect",
    "X-Target-Worker", "Last-Event-Id",  "Keep-Alive",        "Upgrade",       "TE",
    "Proxy-Connection"};
constexpr std::array<std::string_view, 8> kOmittedResponseHeaders = {
    "Connection", "Content-Length",   "Transfer-Encoding", "Keep-Alive",
    "Upgrade",    "Proxy-Connection", "Trailer",           "X-Worker-Load"};

template <std::size_t kCount>
bool Contains(const std::array<std::string_view, kCount>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](std::string_view listed) {
    return listed.size() == name.size() && http::SameName(listed, name);
  });
}

void AddHeader(std::string* out, std::string_view name, std::string_view value) {
  out->append(name).append(": ").append(value).append("\r\n");
}

void AddHeader(std::string* out, std::string_view name, std::uint64_t value) {
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
  AddHeader(out, name, std::string_view(digits, static_cast<std::size_t>(end - digits)));
}

}  // namespace

std::string WriteWorkerHead(const RequestSpec& request, const SendDetails& send,
                            std::size_t body_size) {
  std::string out;
  out.reserve(kTypicalHeadBytes + request.target.size());
  out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  for (const http::Header& header : request.headers)
    if (!Contains(kOmittedRequestHeaders, header.name)) AddHeader(&out, header.name, header.value);
  if (send.last_event_id > 0) AddHeader(&out, "Last-Event-Id", send.last_event_id);
  if (send.time_left > 0)
    AddHeader(&out, "X-Deadline-Ms",
              static_cast<std::uint64_t>(std::max<Micros>(send.time_left / kMs, 1)));
  AddHeader(&out, "X-Target-Worker", send.worker_id);
  AddHeader(&out, "Content-Length", body_size);
  return out.append("\r\n");
}

std::vector<http::Header> EndToEndHeaders(std::vector<http::Header> headers) {
  std::erase_if(headers,
                [](const http::Header& h) { return Contains(kOmittedResponseHeaders, h.name); });
  return headers;
}

}  // namespace pearreach::proxy
