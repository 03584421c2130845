#include "tier/proxy/response_reader.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace pearreach::proxy {
namespace {

constexpr std::size_t kMaxHeadBytes = 64 << 10;  // all lines of a head or of the trailers
constexpr std::size_t kMaxHeaders = 200;
constexpr std::size_t kStatusLineBytes = 12;  // "HTTP/1.1 200"
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

bool IsTokenByte(char c) {
  const bool character = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return character || digit ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsValueByte(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte == '\t' || (byte >= ' ' && byte != 127);
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::size_t> ReadNumber(std::string_view text, int base) {
  std::size_t value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || read.ec != std::errc() || read.ptr != text.data() + text.size()) return {};
  return value;
}

// Whether a comma-separated list contains a word, ignoring case.
bool ListContains(std::string_view list, std::string_view word) {
  for (;;) {
    const std::size_t comma = list.find(',');
    if (http::SameName(Trim(list.substr(0, comma)), word)) return true;
    if (comma == std::string_view::npos) return false;
    list.remove_prefix(comma + 1);
  }
}

}  // namespace

const std::string* ResponseHead::Find(std::string_view name) const {
  for (const http::Header& header : headers)
    if (http::SameName(header.name, name)) return &header.value;
  return nullptr;
}

void ResponseReader::Start(bool bodiless) {
  stage_ = Stage::kStatusLine;
  bodiless_ = bodiless;
  partial_.clear();
  head_bytes_ = 0;
  head_ = {};
}

ResponseReader::Status ResponseReader::Feed(std::string_view* bytes) {
  while (!bytes->empty() && stage_ < Stage::kDone) ReadStep(bytes);
  switch (stage_) {
    case Stage::kDone:
      return Status::kDone;
    case Stage::kBad:
      return Status::kBad;
    case Stage::kStopped:
      return Status::kStopped;
    default:
      return Status::kMore;
  }
}

ResponseReader::Status ResponseReader::End(bool orderly) {
  if (stage_ == Stage::kStopped) return Status::kStopped;
  if (stage_ == Stage::kBodyUntilClose && orderly) stage_ = Stage::kDone;
  return stage_ == Stage::kDone ? Status::kDone : Status::kBad;
}

void ResponseReader::ReadStep(std::string_view* bytes) {
  std::string_view line;
  switch (stage_) {
    case Stage::kStatusLine:
      if (TakeLine(bytes, &line)) ReadStatusLine(line);
      return;
    case Stage::kHeaderLine:
      if (TakeLine(bytes, &line)) ReadHeaderLine(line);
      return;
    case Stage::kChunkSize:
      if (TakeLine(bytes, &line)) ReadChunkSize(line);
      return;
    case Stage::kChunkEnd:
      if (!TakeLine(bytes, &line)) return;
      if (!line.empty()) return Fail();
      stage_ = Stage::kChunkSize;
      return;
    case Stage::kTrailer:
      if (TakeLine(bytes, &line) && line.empty()) stage_ = Stage::kDone;
      return;
    case Stage::kSizedBody:
    case Stage::kChunk:
    case Stage::kBodyUntilClose:
      return ReadBody(bytes);
    case Stage::kDone:
    case Stage::kBad:
    case Stage::kStopped:
      return;
  }
}

// Reads one line without its CRLF. False: the line is incomplete or invalid.
bool ResponseReader::TakeLine(std::string_view* bytes, std::string_view* line) {
  const std::size_t end = bytes->find('\n');
  const std::size_t taken = end == std::string_view::npos ? bytes->size() : end + 1;
  const std::string_view piece = bytes->substr(0, taken);
  bytes->remove_prefix(taken);
  head_bytes_ += taken;
  if (head_bytes_ > kMaxHeadBytes) {
    Fail();
    return false;
  }
  if (end == std::string_view::npos) {
    partial_.append(piece);
    return false;
  }
  if (partial_.empty()) {
    *line = piece;
  } else {
    partial_.append(piece);
    line_.swap(partial_);
    partial_.clear();
    *line = line_;
  }
  if (!line->ends_with("\r\n")) {
    Fail();
    return false;
  }
  line->remove_suffix(2);
  return true;
}

void ResponseReader::ReadStatusLine(std::string_view line) {
  const bool well_formed = line.size() >= kStatusLineBytes && line.starts_with("HTTP/1.") &&
                           (line[7] == '0' || line[7] == '1') && line[8] == ' ' &&
                           (line.size() == kStatusLineBytes || line[kStatusLineBytes] == ' ');
  if (!well_formed) return Fail();
  const auto status = ReadNumber(line.substr(9, 3), 10);
  if (!status || *status < 100 || *status > 599) return Fail();
  minor_version_ = line[7] - '0';
  head_ = {};
  head_.status = static_cast<int>(*status);
  head_.keep_alive = minor_version_ == 1;
  stage_ = Stage::kHeaderLine;
}

void ResponseReader::ReadHeaderLine(std::string_view line) {
  if (line.empty()) return EndHead();
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return Fail();
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  // Folded lines are rejected here as well: their framing is ambiguous.
  if (!std::all_of(name.begin(), name.end(), IsTokenByte)) return Fail();
  if (!std::all_of(value.begin(), value.end(), IsValueByte)) return Fail();
  if (head_.headers.size() == kMaxHeaders) return Fail();
  head_.headers.push_back({std::string(name), std::string(value)});
}

void ResponseReader::EndHead() {
  head_bytes_ = 0;
  if (head_.status == kSwitchingProtocols) return Fail();
  if (head_.status < kFirstFinalStatus) {  // an informational (1xx) response
    stage_ = Stage::kStatusLine;
    return;
  }
  const std::string* length = nullptr;
  const std::string* transfer_encoding = nullptr;
  for (const http::Header& header : head_.headers) {
    if (http::SameName(header.name, "Content-Length")) {
      if (length != nullptr && *length != header.value) return Fail();
      length = &header.value;
    } else if (http::SameName(header.name, "Transfer-Encoding")) {
      if (transfer_encoding != nullptr) return Fail();
      transfer_encoding = &header.value;
    } else if (http::SameName(header.name, "Connection")) {
      if (ListContains(header.value, "close")) head_.keep_alive = false;
      if (minor_version_ == 0 && ListContains(header.value, "keep-alive")) head_.keep_alive = true;
    }
  }
  const bool has_no_body = bodiless_ || head_.status == 204 || head_.status == 304;
  Stage next = Stage::kDone;
  remaining_ = 0;
  if (transfer_encoding != nullptr) {
    if (length != nullptr || minor_version_ == 0 || !http::SameName(*transfer_encoding, "chunked"))
      return Fail();
    next = Stage::kChunkSize;
  } else if (length != nullptr) {
    const auto size = ReadNumber(*length, 10);
    if (!size) return Fail();
    remaining_ = *size;
    next = remaining_ == 0 ? Stage::kDone : Stage::kSizedBody;
  } else if (!has_no_body) {
    next = Stage::kBodyUntilClose;
    head_.keep_alive = false;
  }
  stage_ = has_no_body ? Stage::kDone : next;
  if (!sink_->OnResponseHead(std::move(head_))) stage_ = Stage::kStopped;
}

void ResponseReader::ReadChunkSize(std::string_view line) {
  head_bytes_ = 0;
  const auto size = ReadNumber(Trim(line.substr(0, line.find(';'))), 16);
  if (!size) return Fail();
  remaining_ = *size;
  stage_ = remaining_ == 0 ? Stage::kTrailer : Stage::kChunk;
}

void ResponseReader::ReadBody(std::string_view* bytes) {
  const bool bounded = stage_ != Stage::kBodyUntilClose;
  const std::size_t taken = bounded ? std::min(remaining_, bytes->size()) : bytes->size();
  const std::string_view piece = bytes->substr(0, taken);
  bytes->remove_prefix(taken);
  if (bounded) remaining_ -= taken;
  if (bounded && remaining_ == 0)
    stage_ = stage_ == Stage::kSizedBody ? Stage::kDone : Stage::kChunkEnd;
  if (!sink_->OnResponseBody(piece)) stage_ = Stage::kStopped;
}

}  // namespace pearreach::proxy
