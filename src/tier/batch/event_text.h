// The text of an event stream: the data of its events in order, separated by line feeds.
#ifndef PEARREACH_SRC_TIER_BATCH_EVENT_TEXT_H_
#define PEARREACH_SRC_TIER_BATCH_EVENT_TEXT_H_

#include <string>
#include <string_view>

namespace pearreach::batch {

// Parses a text/event-stream in chunks of any size. Not thread-safe. Lines end with LF, CR LF or
// CR; events without data add nothing; fields other than `data` are passed over.
class EventText {
 public:
  void Feed(std::string_view bytes);
  // Whether all that was fed has made complete events.
  bool AtEventEnd() const { return line_.empty() && !has_field_; }
  // May be called once.
  std::string Take() { return std::move(text_); }

 private:
  void EndLine();

  std::string text_, line_, data_;
  bool has_data_ = false;   // of the current event
  bool has_field_ = false;  // of the current event, whatever its name
  bool has_event_ = false;  // the text holds an event
  bool after_cr_ = false;   // a line feed that follows belongs to the same line end
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_EVENT_TEXT_H_
