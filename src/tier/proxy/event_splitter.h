// Splits a text/event-stream into complete events and parses their ids. The bytes are not changed.
// Lines end with LF, CR LF or CR.
#ifndef PEARREACH_SRC_TIER_PROXY_EVENT_SPLITTER_H_
#define PEARREACH_SRC_TIER_PROXY_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pearreach::proxy {

struct StreamEvent {
  std::string_view bytes;           // including the terminating empty line
  std::optional<std::uint64_t> id;  // empty: the event has no numeric id
};

class EventSplitter {
 public:
  // Appends bytes. Invalidates the views of earlier events.
  void Append(std::string_view bytes);
  // Returns the next complete event, or false if there is none yet. Views are valid until Append or
  // Clear; consecutive events are adjacent in memory.
  bool Next(StreamEvent* event);
  // The bytes after the last complete event.
  std::string_view Rest() const { return std::string_view(buffer_).substr(begin_); }
  // Whether these are a part of an event. Comments are not.
  bool InsideEvent() const;
  void Clear();

 private:
  // The next line without its end; false: its end has not come.
  bool TakeLine(std::string_view* line);
  std::size_t FindLineEnd() const;
  void ReadLine(std::string_view line);

  std::string buffer_;
  std::size_t begin_ = 0;  // start of the current event
  std::size_t line_ = 0;   // start of the current line
  std::size_t scanned_ = 0;
  std::optional<std::uint64_t> id_;
  bool has_field_ = false;  // a complete line of the current event is a field
  bool after_cr_ = false;   // a line feed that comes next belongs to the last line's end
  bool uses_crlf_ = false;  // the last line ended with CR LF
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_EVENT_SPLITTER_H_
