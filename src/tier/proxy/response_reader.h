// Incremental parser for the HTTP/1.1 responses on one connection: delivers heads complete and
// bodies as they arrive, and buffers only the current incomplete line. Strict: ambiguous framing
// and anything that is not a valid HTTP/1.1 response is an error.
#ifndef PEARREACH_SRC_TIER_PROXY_RESPONSE_READER_H_
#define PEARREACH_SRC_TIER_PROXY_RESPONSE_READER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "common/http/http.h"

namespace pearreach::proxy {

struct ResponseHead {
  int status = 0;
  std::vector<http::Header> headers;
  bool keep_alive = true;

  // Value of the first header of this name, or null.
  const std::string* Find(std::string_view name) const;
};

// Receives parsed heads and body bytes. Returning false stops the reader.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual bool OnResponseHead(ResponseHead head) = 0;
  virtual bool OnResponseBody(std::string_view bytes) = 0;
};

class ResponseReader {
 public:
  enum class Status { kMore, kDone, kBad, kStopped };

  explicit ResponseReader(ResponseSink* sink) : sink_(sink) {}

  // Prepares for the next response. `bodiless`: it is the response to a HEAD request.
  void Start(bool bodiless);
  // Parses `bytes` and removes the parsed part from its front. After kDone, the remaining bytes
  // belong to no response yet.
  Status Feed(std::string_view* bytes);
  // The connection was closed. `orderly`: by the peer with a FIN, not by a reset.
  Status End(bool orderly);

 private:
  enum class Stage {
    kStatusLine,
    kHeaderLine,
    kSizedBody,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailer,
    kBodyUntilClose,
    kDone,
    kBad,
    kStopped
  };

  void ReadStep(std::string_view* bytes);
  bool TakeLine(std::string_view* bytes, std::string_view* line);
  void ReadStatusLine(std::string_view line);
  void ReadHeaderLine(std::string_view line);
  void ReadChunkSize(std::string_view line);
  void EndHead();
  void ReadBody(std::string_view* bytes);
  void Fail() { stage_ = Stage::kBad; }

  ResponseSink* sink_;
  Stage stage_ = Stage::kDone;
  bool bodiless_ = false;
  std::string partial_;  // start of a line whose end has not arrived
  std::string line_;     // a complete line assembled from several reads
  std::size_t head_bytes_ = 0;
  std::size_t remaining_ = 0;  // bytes left in the body or chunk
  ResponseHead head_;
  int minor_version_ = 1;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_RESPONSE_READER_H_
