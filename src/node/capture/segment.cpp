#include "node/capture/segment.h"

#include <glib.h>

#include <utility>

#include "dispatch/policy/checkpoint.h"

namespace pearreach::capture {
namespace {

constexpr std::size_t kBlockBytes = 64 << 10;  // raw, after which a new block begins

}  // namespace

std::string ReadFile(const std::string& path) {
  gchar* data = nullptr;
  gsize size = 0;
  GError* error = nullptr;
  if (!g_file_get_contents(path.c_str(), &data, &size, &error)) {
    const std::string what = g_strerror(error->code == G_FILE_ERROR_NOENT   ? ENOENT
                                        : error->code == G_FILE_ERROR_ISDIR ? EISDIR
                                        : error->code == G_FILE_ERROR_ACCES ? EACCES
                                                                            : EIO);
    g_clear_error(&error);
    throw Unreadable(path + ": " + what);
  }
  std::string bytes(data, size);
  g_free(data);
  return bytes;
}

void WriteFile(const std::string& path, const std::string& bytes) {
  GError* error = nullptr;
  if (g_file_set_contents(path.c_str(), bytes.data(), static_cast<gssize>(bytes.size()), &error))
    return;
  const std::string what = error->message;
  g_clear_error(&error);
  throw Unreadable(path + ": cannot be written: " + what);
}

Segment::Segment(const std::string& path) : Segment(ReadFile(path), path) {}

Segment::Segment(std::string bytes, const std::string& name)
    : name_(name), bytes_(std::move(bytes)), blocks_(std::make_unique<BlockReader>(bytes_)) {
  Block block;
  const BlockReader::State state = blocks_->Next(&block);
  if (state == BlockReader::State::kDamaged) throw Unreadable(name_ + ": " + blocks_->error());
  if (state != BlockReader::State::kBlock) throw Unreadable(name_ + ": cut off before its head");
  if (block.type != BlockType::kHead || !ReadOrigin(block.bytes, &origin_))
    throw Unreadable(name_ + ": the head cannot be read");
  try {
    site_ = origin_.Site();
  } catch (const dispatch::Malformed& wrong) {
    throw Unreadable(name_ + ": settings: " + wrong.what());
  }
  workers_ = origin_.workers;
  known_ = workers_.size();
  clock_ = origin_.clock;
  if (origin_.layout == 0) return;
  const BlockReader::State next = blocks_->Next(&block);
  if (next == BlockReader::State::kDamaged) throw Unreadable(name_ + ": " + blocks_->error());
  if (next != BlockReader::State::kBlock || block.type != BlockType::kCheckpoint)
    throw Unreadable(name_ + ": cut off before its checkpoint");
  checkpoint_ = std::move(block.bytes);
}

dispatch::Dispatcher Segment::Restore(const dispatch::Settings* settings) const {
  dispatch::Dispatcher dispatcher(settings != nullptr ? *settings : site_.settings, origin_.seed,
                                  origin_.clock);
  if (!checkpoint_) return dispatcher;
  if (origin_.layout != dispatch::Checkpoint::Layout())
    throw Unreadable(name_ +
                     ": it begins with the state of another version of the module; replay it with "
                     "build " +
                     origin_.build);
  const std::string wrong = dispatch::Checkpoint::Load(*checkpoint_, &dispatcher);
  if (!wrong.empty()) throw Unreadable(name_ + ": the checkpoint does not hold: " + wrong);
  return dispatcher;
}

bool Segment::Damaged(const std::string& what) {
  damage_ = what;
  over_ = true;
  return false;
}

bool Segment::Fill() {
  turns_.clear();
  at_ = 0;
  Block block;
  const std::string here = "block at byte " + std::to_string(blocks_->offset());
  switch (blocks_->Next(&block)) {
    case BlockReader::State::kEnd:
      over_ = true;
      return false;
    case BlockReader::State::kCut:
      missing_ = blocks_->missing();
      over_ = true;
      return false;
    case BlockReader::State::kDamaged:
      return Damaged(blocks_->error());
    case BlockReader::State::kBlock:
      break;
  }
  if (block.type == BlockType::kEnd) {
    Ending end;
    if (!ReadEnding(block.bytes, &end)) return Damaged(here + ": the end cannot be read");
    if (end.turns != read_ || end.events != events_ || end.actions != actions_)
      return Damaged("the end counts " + std::to_string(end.turns) + " turns, the blocks hold " +
                     std::to_string(read_));
    if (blocks_->missing() > 0) return Damaged("something follows the end");
    ending_ = end;
    over_ = true;
    return false;
  }
  if (block.type != BlockType::kTurns) return Damaged(here + ": a block out of place");
  if (block.first_turn != read_) return Damaged(here + ": turns are missing before it");
  raw_bytes_ += block.bytes.size();
  if (progress_)
    progress_(static_cast<double>(blocks_->offset()) / static_cast<double>(bytes_.size()));
  if (const std::string wrong = ReadTurns(block.bytes, &clock_, &known_, &turns_); !wrong.empty())
    return Damaged(here + ": " + wrong);
  for (const Turn& t : turns_) {
    events_ += t.events.size();
    actions_ += t.actions.size();
  }
  read_ += turns_.size();
  return true;
}

bool Segment::Next(Turn* turn) {
  while (!over_ && at_ >= turns_.size()) Fill();
  if (at_ >= turns_.size()) return false;
  *turn = std::move(turns_[at_++]);
  workers_.insert(workers_.end(), turn->workers.begin(), turn->workers.end());
  return true;
}

// ---------------------------------------------------------------- writing

SegmentWriter::SegmentWriter(const Origin& origin, const std::string* checkpoint)
    : out_(BlockWriter::FileHeader()), clock_(origin.clock) {
  Origin head = origin;
  head.layout = checkpoint != nullptr ? dispatch::Checkpoint::Layout() : 0;
  blocks_.Append(BlockType::kHead, 0, WriteOrigin(head), &out_);
  if (checkpoint != nullptr) blocks_.Append(BlockType::kCheckpoint, 0, *checkpoint, &out_);
}

void SegmentWriter::Add(const Turn& turn) {
  turns_.Add(clock_, turn.now, turn.events, turn.notes, turn.actions, turn.workers, turn.mark,
             turn.unix_us);
  clock_ = turn.now;
  ++ending_.turns;
  ending_.events += turn.events.size();
  ending_.actions += turn.actions.size();
  if (turns_.size() >= kBlockBytes) Flush();
}

void SegmentWriter::Flush() {
  if (turns_.size() == 0) return;
  blocks_.Append(BlockType::kTurns, block_turn_, turns_.Take(), &out_);
  block_turn_ = ending_.turns;
}

std::string SegmentWriter::Finish(const std::string& reason) {
  Flush();
  ending_.reason = reason;
  blocks_.Append(BlockType::kEnd, ending_.turns, WriteEnding(ending_), &out_);
  return std::move(out_);
}

}  // namespace pearreach::capture
