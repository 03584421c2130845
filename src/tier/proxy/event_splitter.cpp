#include "tier/proxy/event_splitter.h"

#include <charconv>

namespace pearreach::proxy {

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
  for (;;) {
    const std::size_t end = buffer_.find('\n', scanned_);
    if (end == std::string::npos) {
      scanned_ = buffer_.size();
      return false;
    }
    std::string_view line = std::string_view(buffer_).substr(line_, end - line_);
    if (line.ends_with('\r')) line.remove_suffix(1);
    line_ = scanned_ = end + 1;
    if (!line.empty()) {
      ReadLine(line);
      continue;
    }
    event->bytes = std::string_view(buffer_).substr(begin_, line_ - begin_);
    event->id = id_;
    id_.reset();
    begin_ = line_;
    return true;
  }
}

void EventSplitter::ReadLine(std::string_view line) {
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
}

}  // namespace pearreach::proxy
