// The recorder of a node: takes each turn of the module and has it written to segments in a folder.
// It owns the folder's segments of this node, the memory that waits for the disk and the thread
// that writes; it must never make the loop wait for the disk, never hold more than its memory, and
// never leave out a turn inside a segment: where one cannot be kept, the segment ends before it.
#ifndef PEARREACH_SRC_NODE_CAPTURE_RECORDER_H_
#define PEARREACH_SRC_NODE_CAPTURE_RECORDER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "common/event_loop/io.h"
#include "node/capture/format.h"
#include "node/capture/record.h"
#include "node/config/operator.h"
#include "pearreach/dispatcher.h"

namespace pearreach::capture {

// In place of write(2), for tests of the disk's failures.
using DiskWrite = std::function<ssize_t(int, const void*, std::size_t)>;

class Recorder {
 public:
  // `origin`: node, build, hash, seed, settings. The first segment begins with `dispatcher` as it
  // is: `fresh` says that it has not taken a turn yet, so that it needs no checkpoint.
  Recorder(CaptureSettings settings, Origin origin, const dispatch::Dispatcher& dispatcher,
           const dispatch::Names& workers, Micros now, bool fresh, DiskWrite write = {});
  ~Recorder();  // writes what it holds and ends the segment
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  // What has just been handled. `notes`: one an event. `workers`: all names by id, so far.
  void OnTurn(Micros now, std::span<const dispatch::Event> events, std::span<const Note> notes,
              std::span<const dispatch::Action> actions, const dispatch::Dispatcher& dispatcher,
              const dispatch::Names& workers);
  // A word for people, kept with the next turn.
  void Mark(const std::string& what);

  bool open() const { return open_; }
  std::uint64_t turns() const { return first_turn_ + ending_.turns; }
  // Bytes that wait for the disk, for tests and the log.
  std::size_t waiting();
  // Blocks until all that was handed over has been written or given up. For tests and tools.
  void Settle();

 private:
  // One thing for the writer's thread to do, in order.
  struct Task {
    enum class Kind { kOpen, kBlock, kEnd } kind = Kind::kBlock;
    BlockType type = BlockType::kTurns;
    std::uint64_t first_turn = 0;
    std::string bytes;
  };
  // What the thread has to say; the loop counts and logs it.
  struct Report {
    std::string failure;  // empty: none since last asked
    std::uint64_t written = 0, removed = 0;
    std::uint64_t segment_bytes = 0;  // of the open file
  };

  bool Begin(const dispatch::Dispatcher* checkpoint, const dispatch::Names& workers, Micros now);
  void Flush();
  void End(const std::string& reason);
  void Suspend(const std::string& why, Micros now);
  bool Hand(Task task);  // false: it does not fit the memory
  void Write();          // the thread

  CaptureSettings settings_;
  DiskWrite write_;
  Origin origin_;
  TurnWriter turns_;
  Alarm flush_;
  bool open_ = false;
  std::string mark_;
  Micros clock_ = 0, block_began_ = 0, segment_began_ = 0, retry_at_ = 0;
  bool logged_ = false;  // the failure that lasts has had its line
  std::uint64_t first_turn_ = 0, block_turn_ = 0;
  std::size_t named_ = 0;
  Ending ending_;

  std::mutex mutex_;
  std::condition_variable ready_, idle_;
  std::deque<Task> tasks_;
  std::size_t waiting_ = 0;
  bool stop_ = false, busy_ = false, failed_ = false;
  Report report_;
  std::thread thread_;
};

}  // namespace pearreach::capture

#endif  // PEARREACH_SRC_NODE_CAPTURE_RECORDER_H_
