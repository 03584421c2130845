// Cuts a text/event-stream into whole events and reads their ids. It changes no byte.
#ifndef PEARREACH_SRC_TIER_PROXY_EVENT_SPLITTER_H_
#define PEARREACH_SRC_TIER_PROXY_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pearreach::proxy {

struct StreamEvent {
  std::string_view bytes;           // with the empty line that ends it
  std::optional<std::uint64_t> id;  // none: it names no number
};

class EventSplitter {
 public:
  // Adds bytes; views of earlier events end here.
  void Append(std::string_view bytes);
  // The next whole event; false: none yet. Views hold until Append or Clear, and those of events
  // that follow each other join without a gap.
  bool Next(StreamEvent* event);
  // What has come of an event that is not whole.
  std::string_view Rest() const { return std::string_view(buffer_).substr(begin_); }
  void Clear();

 private:
  void ReadLine(std::string_view line);

  std::string buffer_;
  std::size_t begin_ = 0;  // of the event in hand
  std::size_t line_ = 0;   // of the line in hand
  std::size_t scanned_ = 0;
  std::optional<std::uint64_t> id_;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_EVENT_SPLITTER_H_
