// The bytes of answers: heads with the framing that the server chooses, and chunks.
#ifndef PEARREACH_SRC_TIER_HTTP_SERVER_ANSWER_WRITER_H_
#define PEARREACH_SRC_TIER_HTTP_SERVER_ANSWER_WRITER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "common/http/http.h"

namespace pearreach::http_server {

inline constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// What an answer says of its connection.
struct ConnectionNotice {
  bool close = false;
  bool old_version = false;    // the client speaks HTTP/1.0
  int keep_alive_seconds = 0;  // announced where above 0 and the connection stays
};

enum class Framing { kLength, kChunked, kToClose };

// A head, up to the empty line that ends it. Headers of framing and connection in `headers` are
// left out: these are the server's own.
std::string WriteHead(int status, const std::vector<http::Header>& headers, Framing framing,
                      std::size_t length, const ConnectionNotice& notice);
void AppendChunk(std::string_view piece, std::string* out);  // `piece` is not empty
bool HasBody(int status);  // whether an answer of this status carries a body

}  // namespace pearreach::http_server

#endif  // PEARREACH_SRC_TIER_HTTP_SERVER_ANSWER_WRITER_H_
