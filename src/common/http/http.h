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

  void Feed(std::string_view bytes);
  // Reads on. kMessage: Take it before the next call. kBad is final.
  State Next();
  // The peer has closed: completes an answer whose body runs to the end of the connection.
  State End();
  Message Take();
  // As when it was made, with these limits; frees what it holds.
  void Reset(const Limits& limits);

  int error_status() const { return error_status_; }  // after kBad: the answer it deserves
  const std::string& error() const { return error_; }
  // Nothing of a further message has come.
  bool Between() const { return stage_ == Stage::kHead && Buffered() == 0; }
  // Bytes that have come and are not read yet: no part of the message at hand.
  std::size_t Buffered() const { return buffer_.size() - read_; }
  // Bytes of the message at hand that have come, but for the framing of its chunks.
  std::size_t MessageBytes() const { return head_bytes_ + message_.body.size() + Buffered(); }
  // Memory held for the message at hand and for what is buffered, in bytes, about.
  std::size_t HeldBytes() const {
    return buffer_.capacity() + message_.body.capacity() + head_bytes_;
  }
  // The head is read and its sender waits for '100 Continue'. True once for each message.
  bool TakeContinue();

 private:
  enum class Stage { kHead, kBody, kChunkSize, kChunk, kChunkEnd, kTrailer, kToClose, kDone };

  bool Fail(int status, std::string why);
  bool ReadHead(std::string_view head);
  bool ReadFirstLine(std::string_view line);
  bool ReadFraming();
  bool Line(std::string_view* line, std::size_t most);
  std::string_view Unread() const { return std::string_view(buffer_).substr(read_); }
  void Consume(std::size_t bytes) { read_ += bytes; }
  void Compact();
  // Adds to the body what of `bytes` is left of it or of its chunk; returns how much that was.
  std::size_t AppendBody(std::string_view bytes);
  // Each consumes what it can of the buffer; false: more bytes are needed, or the message is bad.
  bool Step();
  bool StepHead();
  bool StepBody();
  bool StepChunkSize();
  bool StepChunk();
  bool StepChunkEnd();
  bool StepTrailer();
  bool StepToClose();

  Kind kind_;
  Limits limits_;
  Stage stage_ = Stage::kHead;
  std::string buffer_;
  std::size_t read_ = 0;        // of the buffer
  std::size_t scanned_ = 0;     // of what is not read, for the end of a head
  std::size_t left_ = 0;        // of the body or chunk
  std::size_t most_body_ = 0;   // bytes that the body can come to
  std::size_t head_bytes_ = 0;  // of the message at hand
  std::size_t trailer_ = 0;     // bytes of trailers so far
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
