#include "tier/http_server/answer_writer.h"

#include <fmt/format.h>

#include <iterator>

namespace pearreach::http_server {
namespace {

constexpr std::size_t kHeadReserveBytes = 256;  // status line and own headers

bool IsFraming(std::string_view name) {
  switch (name.size()) {
    case 10:
      return http::SameName(name, "Connection") || http::SameName(name, "Keep-Alive");
    case 14:
      return http::SameName(name, "Content-Length");
    case 17:
      return http::SameName(name, "Transfer-Encoding");
    default:
      return false;
  }
}

void AppendNotice(const ConnectionNotice& notice, std::string* out) {
  if (notice.close) {
    out->append("Connection: close\r\n");
    return;
  }
  if (notice.old_version) out->append("Connection: keep-alive\r\n");
  if (notice.keep_alive_seconds > 0)
    fmt::format_to(std::back_inserter(*out), "Keep-Alive: timeout={}\r\n",
                   notice.keep_alive_seconds);
}

}  // namespace

bool HasBody(int status) { return status >= 200 && status != 204 && status != 304; }

std::string WriteHead(int status, const std::vector<http::Header>& headers, Framing framing,
                      std::size_t length, const ConnectionNotice& notice) {
  std::size_t size = kHeadReserveBytes;
  for (const http::Header& header : headers) size += header.name.size() + header.value.size() + 4;
  std::string out;
  out.reserve(size + (framing == Framing::kLength ? length : 0));
  fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", status, http::Reason(status));
  for (const http::Header& header : headers) {
    if (IsFraming(header.name)) continue;
    out.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  AppendNotice(notice, &out);
  if (framing == Framing::kChunked) out.append("Transfer-Encoding: chunked\r\n");
  if (framing == Framing::kLength && HasBody(status))
    fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n", length);
  return out.append("\r\n");
}

void AppendChunk(std::string_view piece, std::string* out) {
  fmt::format_to(std::back_inserter(*out), "{:x}\r\n", piece.size());
  out->append(piece).append("\r\n");
}

}  // namespace pearreach::http_server
