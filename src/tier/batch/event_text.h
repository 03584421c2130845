// The text of an event stream: the data of its events in order, parted by line feeds.
#ifndef PEARREACH_SRC_TIER_BATCH_EVENT_TEXT_H_
#define PEARREACH_SRC_TIER_BATCH_EVENT_TEXT_H_

#include <string>
#include <string_view>

namespace pearreach::batch {

// Reads a text/event-stream in pieces of any size. Lines end with LF, CR LF or CR; events without
// data add nothing; fields other than `data` are passed over.
class EventText {
 public:
  void Feed(std::string_view bytes);
  // All that was fed has made whole events: nothing is left over.
  bool AtEventEnd() const { return line_.empty() && !has_data_; }
  std::string Take() { return std::move(text_); }

 private:
  void EndLine();

  std::string text_, line_, data_;
  bool has_data_ = false;   // of the event under way
  bool has_event_ = false;  // the text holds an event
  bool after_cr_ = false;   // a line feed that follows belongs to the line end before
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_EVENT_TEXT_H_
