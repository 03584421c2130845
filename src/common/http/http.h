// HTTP/1.1 messages: an incremental parser for requests and answers, and their writer. It owns the
// bytes of one direction of one connection and nothing else: it must never touch a socket or a
// clock, never hold more than its limits, and never pass on a message whose length can be read in
// two ways.
#ifndef PEARREACH_SRC_COMMON_HTTP_HTTP_H_
#define PEARREACH_SRC_COMMON_HTTP_HTTP_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::http {

struct Header {
  std::string name, value;
};

bool SameName(std::string_view a, std::string_view b);  // of headers: case does not matter

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of an answer
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;
  bool old_version = false;  // HTTP/1.0: its sender reads no chunks

  // The value of the first header of this name, or null.
  const std::string* Find(std::string_view name) const;
};

struct Limits {
  std::size_t head = 16 << 10;  // first line and headers together
  std::size_t headers = 100;
  std::size_t body = 64 << 10;
};

class Parser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kMore, kMessage, kBad };

  explicit Parser(Kind kind, Limits limits = {}) : kind_(kind), limits_(limits) {}

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Reads on. kMessage: Take it before the next call. kBad is final.
  State Next();
  // The peer has closed: completes an answer whose body runs to the end of the connection.
  State End();
  Message Take();

  int error_status() const { return error_status_; }  // after kBad: the answer it deserves
  const std::string& error() const { return error_; }
  // Nothing of a further message has come.
  bool Between() const { return stage_ == Stage::kHead && buffer_.empty(); }
  std::size_t Buffered() const { return buffer_.size(); }
  // The head is read and its sender waits for '100 Continue'. True once for each message.
  bool TakeContinue();

 private:
  enum class Stage { kHead, kBody, kChunkSize, kChunk, kTrailer, kToClose, kDone };

  bool Fail(int status, std::string why);
  bool ReadHead(std::string_view head);
  bool ReadFirstLine(std::string_view line);
  bool ReadFraming();
  bool Line(std::string_view* line, std::size_t most);
  // Each consumes what it can of the buffer; false: more bytes are needed, or the message is bad.
  bool Step();
  bool StepHead();
  bool StepBody();
  bool StepChunkSize();
  bool StepChunk();
  bool StepTrailer();
  bool StepToClose();

  Kind kind_;
  Limits limits_;
  Stage stage_ = Stage::kHead;
  std::string buffer_;
  std::size_t scanned_ = 0;  // of the buffer, for the end of a head
  std::size_t left_ = 0;     // of the body or chunk
  std::size_t trailer_ = 0;  // bytes of trailers so far
  Message message_;
  bool old_version_ = false, continue_ = false, bad_ = false;
  int error_status_ = 400;
  std::string error_;
};

std::string_view Reason(int status);

// Both write Content-Length; `headers` must not name it.
std::string WriteRequest(std::string_view method, std::string_view target,
                         const std::vector<Header>& headers, std::string_view body);
std::string WriteResponse(int status, const std::vector<Header>& headers, std::string_view body,
                          bool keep_alive);

}  // namespace pearreach::http

#endif  // PEARREACH_SRC_COMMON_HTTP_HTTP_H_
