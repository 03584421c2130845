// Reads the answers on one connection piece by piece: heads whole, bodies as they come. It owns the
// bytes of a line that is not whole yet and nothing else. Strict: whatever could be read in two
// ways, or is no HTTP/1.1 answer, is bad.
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

  const std::string* Find(std::string_view name) const;  // the first one's value, or null
};

// Hears what a reader has read. False: the reader stops there.
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

  // The next answer begins; `bodiless`: it answers a HEAD.
  void Start(bool bodiless);
  // Reads on and takes what it has read off the front of `bytes`. After kDone the rest belongs to
  // no answer yet.
  Status Feed(std::string_view* bytes);
  // The connection has ended; `in_order`: by the peer's will, not by a reset.
  Status End(bool in_order);

 private:
  enum class Stage {
    kStatusLine,
    kHeaderLine,
    kSized,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailer,
    kToClose,
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
  void Pass(std::string_view* bytes);
  void Bad() { stage_ = Stage::kBad; }

  ResponseSink* sink_;
  Stage stage_ = Stage::kDone;
  bool bodiless_ = false;
  std::string partial_;  // of a line, from earlier pieces
  std::string line_;     // the whole line, where it came in pieces
  std::size_t head_bytes_ = 0;
  std::size_t left_ = 0;  // of the body or chunk
  ResponseHead head_;
  int minor_version_ = 1;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_RESPONSE_READER_H_
