#include "tier/proxy/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace pearreach::proxy {
namespace {

bool IsComment(std::string_view line) { return line.starts_with(':'); }

}  // namespace

void EventSplitter::Append(std::string_view bytes) {
  if (begin_ > 0) {
    buffer_.erase(0, begin_);
    line_ -= begin_;
    scanned_ -= begin_;
    begin_ = 0;
  }
  buffer_.append(bytes);
}

bool EventSplitter::Next(StreamEvent* event) {
  std::string_view line;
  while (TakeLine(&line)) {
    if (!line.empty()) {
      ReadLine(line);
      continue;
    }
    event->bytes = std::string_view(buffer_).substr(begin_, line_ - begin_);
    event->id = id_;
    id_.reset();
    has_field_ = false;
    begin_ = line_;
    return true;
  }
  return false;
}

// Where the last byte that came is a CR, its line is complete, and a line feed that follows is
// skipped; but after a line that ended with CR LF the line feed is waited for.
bool EventSplitter::TakeLine(std::string_view* line) {
  if (after_cr_ && line_ < buffer_.size()) {
    after_cr_ = false;
    uses_crlf_ = buffer_[line_] == '\n';
    if (uses_crlf_) scanned_ = ++line_;
  }
  const std::size_t end = FindLineEnd();
  const std::size_t next = end + 1;
  const bool is_cr = end < buffer_.size() && buffer_[end] == '\r';
  const bool is_last_byte = next == buffer_.size();
  if (end == buffer_.size() || (is_cr && is_last_byte && uses_crlf_)) {
    scanned_ = end;
    return false;
  }
  *line = std::string_view(buffer_).substr(line_, end - line_);
  after_cr_ = is_cr && is_last_byte;
  uses_crlf_ = is_cr && !is_last_byte && buffer_[next] == '\n';
  line_ = uses_crlf_ ? next + 1 : next;
  scanned_ = line_;
  return true;
}

std::size_t EventSplitter::FindLineEnd() const {
  const auto begin = buffer_.begin() + static_cast<std::ptrdiff_t>(scanned_);
  const auto found =
      std::find_if(begin, buffer_.end(), [](char c) { return c == '\n' || c == '\r'; });
  return static_cast<std::size_t>(found - buffer_.begin());
}

bool EventSplitter::InsideEvent() const {
  std::string_view line = std::string_view(buffer_).substr(line_);
  if (after_cr_ && line.starts_with('\n')) line.remove_prefix(1);
  return has_field_ || (!line.empty() && !IsComment(line));
}

void EventSplitter::ReadLine(std::string_view line) {
  has_field_ = has_field_ || !IsComment(line);
  if (!line.starts_with("id:")) return;
  line.remove_prefix(3);
  if (line.starts_with(' ')) line.remove_prefix(1);
  std::uint64_t value = 0;
  const auto read = std::from_chars(line.data(), line.data() + line.size(), value);
  const bool complete = read.ec == std::errc() && read.ptr == line.data() + line.size();
  if (complete) id_ = value;
}

void EventSplitter::Clear() {
  buffer_.clear();
  begin_ = line_ = scanned_ = 0;
  id_.reset();
  has_field_ = after_cr_ = uses_crlf_ = false;
}

}  // namespace pearreach::proxy
