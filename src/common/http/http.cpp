#include "common/http/http.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/memory/release.h"

namespace pearreach::http {
namespace {

constexpr std::size_t kMaxTarget = 8 << 10;
constexpr std::size_t kChunkLine = 256;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kBodyGrowth = 4;        // a body that comes grows by a part of so many
constexpr std::size_t kKeptBuffer = 4 << 10;  // more is given back once it is read

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
  });
}

bool IsPrintable(std::string_view text, bool spaces) {
  return std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return (c > ' ' && c != 127) || (spaces && (c == ' ' || c == '\t'));
  });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

// Whether a comma-separated list holds a word, in any case.
bool Holds(std::string_view list, std::string_view word) {
  for (;;) {
    const std::size_t comma = list.find(',');
    if (SameName(Trim(list.substr(0, comma)), word)) return true;
    if (comma == std::string_view::npos) return false;
    list.remove_prefix(comma + 1);
  }
}

bool ReadLength(std::string_view text, int base, std::size_t* value) {
  const auto r = std::from_chars(text.data(), text.data() + text.size(), *value, base);
  return !text.empty() && r.ec == std::errc() && r.ptr == text.data() + text.size();
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

const std::string* Message::Find(std::string_view name) const {
  for (const Header& h : headers)
    if (SameName(h.name, name)) return &h.value;
  return nullptr;
}

bool Parser::Fail(int status, std::string why) {
  bad_ = true;
  error_status_ = status;
  error_ = std::move(why);
  // Of no more use, and there may be hundreds such.
  memory::Release(&buffer_);
  memory::Release(&message_.body);
  read_ = 0;
  return false;
}

// What belongs to a body goes there at once: it is held a single time.
void Parser::Feed(std::string_view bytes) {
  const bool in_body = stage_ == Stage::kBody || stage_ == Stage::kChunk;
  if (in_body && !bad_ && Buffered() == 0) bytes.remove_prefix(AppendBody(bytes));
  buffer_.append(bytes);
}

std::size_t Parser::AppendBody(std::string_view bytes) {
  std::string& body = message_.body;
  const std::size_t taken = std::min(bytes.size(), left_);
  const std::size_t needed = body.size() + taken;
  // By a quarter at a time, not doubled as a string grows, and never beyond what it can come to.
  if (needed > body.capacity())
    memory::GrowTo(std::max(needed, std::min(most_body_, needed + needed / kBodyGrowth)), &body);
  body.append(bytes.substr(0, taken));
  left_ -= taken;
  return taken;
}

// Drops what was read. Once a turn and not once a step: very small steps would move all the rest.
void Parser::Compact() {
  if (read_ == 0) return;
  if (read_ < buffer_.size())
    buffer_.erase(0, read_);
  else
    buffer_.clear();
  read_ = 0;
  if (buffer_.empty() && buffer_.capacity() > kKeptBuffer) memory::Release(&buffer_);
}

Parser::State Parser::Next() {
  while (!bad_ && stage_ != Stage::kDone && Step()) {
  }
  Compact();
  return bad_ ? State::kBad : stage_ == Stage::kDone ? State::kMessage : State::kMore;
}

void Parser::Reset(const Limits& limits) {
  Parser fresh(kind_, limits);
  std::swap(*this, fresh);  // an assignment would keep the memory of its texts
}

Parser::State Parser::End() {
  if (Next() == State::kMore && stage_ == Stage::kToClose) stage_ = Stage::kDone;
  return Next();
}

Message Parser::Take() {
  stage_ = Stage::kHead;
  scanned_ = left_ = trailer_ = most_body_ = head_bytes_ = 0;
  continue_ = old_version_ = false;
  return std::exchange(message_, {});
}

bool Parser::TakeContinue() {
  return std::exchange(continue_, false) && stage_ != Stage::kDone && Buffered() == 0;
}

// One line of a chunked body, without its end; it is not consumed.
bool Parser::Line(std::string_view* line, std::size_t most) {
  // No further than a line may reach: a long buffer is not searched for each.
  const std::string_view unread = Unread().substr(0, most + kLineEnd.size());
  const std::size_t end = unread.find(kLineEnd);
  if (end == std::string_view::npos)
    return Buffered() > most ? Fail(400, "a line of the chunked body is too long") : false;
  *line = unread.substr(0, end);
  return true;
}

bool Parser::Step() {
  switch (stage_) {
    case Stage::kHead:
      return StepHead();
    case Stage::kBody:
      return StepBody();
    case Stage::kChunkSize:
      return StepChunkSize();
    case Stage::kChunk:
      return StepChunk();
    case Stage::kChunkEnd:
      return StepChunkEnd();
    case Stage::kTrailer:
      return StepTrailer();
    case Stage::kToClose:
      return StepToClose();
    case Stage::kDone:
      break;
  }
  return false;
}

bool Parser::StepHead() {
  // An empty line before a request is to be passed over (RFC 9112, 2.2).
  while (kind_ == Kind::kRequest && Unread().starts_with(kLineEnd)) Consume(kLineEnd.size());
  const std::string_view unread = Unread();
  const std::size_t from = scanned_ < 3 ? 0 : scanned_ - 3;
  const std::size_t end = unread.find("\r\n\r\n", from);
  if (end == std::string_view::npos ? unread.size() > limits_.head : end > limits_.head)
    return Fail(unread.find(kLineEnd) > kMaxTarget ? 414 : 431, "the head is too long");
  if (end == std::string_view::npos) {
    scanned_ = unread.size();
    return false;
  }
  if (!ReadHead(unread.substr(0, end + 2))) return false;
  head_bytes_ = end + 4;
  Consume(end + 4);
  if (kind_ == Kind::kResponse && message_.status < 200) {  // an interim response
    Take();
    return true;
  }
  return ReadFraming();
}

bool Parser::StepBody() {
  Consume(AppendBody(Unread()));
  if (left_ > 0) return false;
  stage_ = Stage::kDone;
  return true;
}

bool Parser::StepChunkSize() {
  std::string_view line;
  if (!Line(&line, kChunkLine)) return false;
  if (!ReadLength(Trim(line.substr(0, line.find(';'))), 16, &left_))
    return Fail(400, "bad size of a chunk");
  if (left_ > limits_.body - message_.body.size()) return Fail(413, "the body is too long");
  Consume(line.size() + kLineEnd.size());
  stage_ = left_ == 0 ? Stage::kTrailer : Stage::kChunk;
  return true;
}

bool Parser::StepChunk() {
  Consume(AppendBody(Unread()));
  if (left_ > 0) return false;
  stage_ = Stage::kChunkEnd;
  return true;
}

bool Parser::StepChunkEnd() {
  const std::string_view unread = Unread();
  if (unread.substr(0, kLineEnd.size()) != kLineEnd.substr(0, unread.size()))
    return Fail(400, "a chunk has no end");
  if (unread.size() < kLineEnd.size()) return false;
  Consume(kLineEnd.size());
  stage_ = Stage::kChunkSize;
  return true;
}

// Trailers are read and passed over.
bool Parser::StepTrailer() {
  std::string_view line;
  if (!Line(&line, limits_.head)) return false;
  if (line.empty()) stage_ = Stage::kDone;
  trailer_ += line.size() + kLineEnd.size();
  if (trailer_ > limits_.head) return Fail(431, "the trailers are too long");
  Consume(line.size() + kLineEnd.size());
  return true;
}

bool Parser::StepToClose() {
  const std::string_view unread = Unread();
  if (unread.size() > limits_.body - message_.body.size()) return Fail(413, "the body is too long");
  message_.body.append(unread);
  Consume(unread.size());
  return false;
}

bool Parser::ReadHead(std::string_view head) {
  std::size_t end = head.find("\r\n");
  if (!ReadFirstLine(head.substr(0, end))) return false;
  head.remove_prefix(end + 2);
  while (!head.empty()) {
    end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end + 2);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)))
      return Fail(400, "bad header line");  // a folded line too: its length could be read two ways
    const std::string_view value = Trim(line.substr(colon + 1));
    if (!IsPrintable(value, true)) return Fail(400, "bad byte in a header");
    if (message_.headers.size() == limits_.headers) return Fail(431, "too many headers");
    message_.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  }
  return true;
}

bool Parser::ReadFirstLine(std::string_view line) {
  std::string_view version;
  if (kind_ == Kind::kRequest) {
    const std::size_t a = line.find(' '), b = line.rfind(' ');
    if (a == std::string_view::npos || a == b) return Fail(400, "bad request line");
    message_.method = line.substr(0, a);
    message_.target = line.substr(a + 1, b - a - 1);
    version = line.substr(b + 1);
    if (!IsToken(message_.method) || message_.target.empty() ||
        !IsPrintable(message_.target, false))
      return Fail(400, "bad request line");
    if (message_.target.size() > kMaxTarget) return Fail(414, "the target is too long");
  } else {
    version = line.substr(0, line.find(' '));
    std::size_t status = 0;
    if (line.size() < 12 || !ReadLength(line.substr(9, 3), 10, &status) || status < 100)
      return Fail(400, "bad status line");
    message_.status = static_cast<int>(status);
  }
  if (version.size() != 8 || !version.starts_with("HTTP/")) return Fail(400, "bad version");
  if (!version.starts_with("HTTP/1.")) return Fail(505, "not HTTP/1");
  old_version_ = version == "HTTP/1.0";
  message_.old_version = old_version_;
  return true;
}

bool Parser::ReadFraming() {
  const std::string *length = nullptr, *coding = nullptr;
  message_.keep_alive = !old_version_;
  for (const Header& h : message_.headers) {
    if (SameName(h.name, "Content-Length")) {
      if (length != nullptr && *length != h.value) return Fail(400, "two lengths");
      length = &h.value;
    } else if (SameName(h.name, "Transfer-Encoding")) {
      if (coding != nullptr) return Fail(400, "two transfer codings");
      coding = &h.value;
    } else if (SameName(h.name, "Connection")) {
      if (Holds(h.value, "close")) message_.keep_alive = false;
      if (old_version_ && Holds(h.value, "keep-alive")) message_.keep_alive = true;
    } else if (SameName(h.name, "Expect")) {
      if (!SameName(h.value, "100-continue")) return Fail(417, "unknown expectation");
      continue_ = !old_version_;
    }
  }
  if (coding != nullptr) {
    if (length != nullptr || old_version_) return Fail(400, "the length is told in two ways");
    if (!SameName(*coding, "chunked")) return Fail(501, "unknown transfer coding");
    stage_ = Stage::kChunkSize;
    most_body_ = limits_.body;
    return true;
  }
  left_ = 0;
  const bool bare = kind_ == Kind::kResponse && (message_.status == 204 || message_.status == 304);
  if (length != nullptr) {
    if (!ReadLength(*length, 10, &left_)) {
      // A number too large to count is a body too large, not a malformed one.
      const bool digits =
          !length->empty() && length->find_first_not_of("0123456789") == std::string::npos;
      return Fail(digits ? 413 : 400, "bad Content-Length");
    }
    if (left_ > limits_.body) return Fail(413, "the body is too long");
    most_body_ = left_;
  } else if (kind_ == Kind::kResponse && !bare) {
    message_.keep_alive = false;
    stage_ = Stage::kToClose;
    return true;
  }
  stage_ = bare || left_ == 0 ? Stage::kDone : Stage::kBody;
  return true;
}

std::string_view Reason(int status) {
  switch (status) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 417:
      return "Expectation Failed";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

namespace {

std::string Write(std::string out, const std::vector<Header>& headers, std::string_view body) {
  for (const Header& h : headers) out.append(h.name).append(": ").append(h.value).append("\r\n");
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

}  // namespace

std::string WriteRequest(std::string_view method, std::string_view target,
                         const std::vector<Header>& headers, std::string_view body) {
  return Write(std::string(method).append(" ").append(target).append(" HTTP/1.1\r\n"), headers,
               body);
}

std::string WriteResponse(int status, const std::vector<Header>& headers, std::string_view body,
                          bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(Reason(status)).append("\r\n");
  if (!keep_alive) out += "Connection: close\r\n";
  return Write(std::move(out), headers, body);
}

}  // namespace pearreach::http
