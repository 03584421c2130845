// A segment of a capture as a whole: reading one from a file, and writing one without a node, for
// the tools that make captures out of others. It owns the file's bytes while it reads; it must
// never call a segment whole that was cut off or damaged.
#ifndef PEARREACH_SRC_NODE_CAPTURE_SEGMENT_H_
#define PEARREACH_SRC_NODE_CAPTURE_SEGMENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "node/capture/format.h"
#include "node/capture/record.h"
#include "pearreach/dispatcher.h"

namespace pearreach::capture {

// What cannot be read at all: "FILE: what" in one line.
struct Unreadable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Segment {
 public:
  // Reads the head and, if there is one, the checkpoint. Throws Unreadable.
  explicit Segment(const std::string& path);
  // The same of bytes in memory; `name` stands in messages.
  Segment(std::string bytes, const std::string& name);

  const std::string& name() const { return name_; }
  const Origin& origin() const { return origin_; }
  const dispatch::Site& site() const { return site_; }
  const std::optional<std::string>& checkpoint() const { return checkpoint_; }
  // Of all workers named so far: those at the head and of the turns read.
  const dispatch::Names& workers() const { return workers_; }

  // The module as it was when the segment began. Throws Unreadable where it begins with a
  // checkpoint that this build cannot load. With `settings`, those in place of its own.
  dispatch::Dispatcher Restore(const dispatch::Settings* settings = nullptr) const;

  // Called after each block with the part of the file that has been read, 0 to 1.
  void OnProgress(std::function<void(double)> tell) { progress_ = std::move(tell); }

  // The next turn; false at the end, be it in order or not.
  bool Next(Turn* turn);

  // After Next was false:
  const std::string& damage() const { return damage_; }            // empty: none
  std::size_t missing() const { return missing_; }                 // bytes that make no whole block
  const std::optional<Ending>& ending() const { return ending_; }  // none: cut off or damaged

  std::size_t file_bytes() const { return bytes_.size(); }
  std::size_t raw_bytes() const { return raw_bytes_; }  // of the turns read so far

 private:
  bool Fill();
  bool Damaged(const std::string& what);

  std::string name_, bytes_;
  std::unique_ptr<BlockReader> blocks_;
  Origin origin_;
  dispatch::Site site_;
  std::optional<std::string> checkpoint_;
  dispatch::Names workers_;
  std::vector<Turn> turns_;
  std::size_t at_ = 0, known_ = 0, raw_bytes_ = 0, missing_ = 0;
  std::uint64_t read_ = 0, events_ = 0, actions_ = 0;
  Micros clock_ = 0;
  bool over_ = false;
  std::function<void(double)> progress_;
  std::string damage_;
  std::optional<Ending> ending_;
};

// Makes a segment in memory, turn by turn.
class SegmentWriter {
 public:
  SegmentWriter(const Origin& origin, const std::string* checkpoint);
  void Add(const Turn& turn);
  std::string Finish(const std::string& reason);  // the whole file

 private:
  void Flush();

  BlockWriter blocks_;
  TurnWriter turns_;
  std::string out_;
  Micros clock_ = 0;
  std::uint64_t block_turn_ = 0;
  Ending ending_;
};

// Reads or writes a whole file; throws Unreadable. Written aside and renamed.
std::string ReadFile(const std::string& path);
void WriteFile(const std::string& path, const std::string& bytes);

}  // namespace pearreach::capture

#endif  // PEARREACH_SRC_NODE_CAPTURE_SEGMENT_H_
