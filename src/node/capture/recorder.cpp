#include "node/capture/recorder.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <utility>

#include "dispatch/policy/checkpoint.h"

namespace pearreach::capture {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kTurnBlockBytes = 64 << 10;
constexpr char kSuffix[] = ".prcap";

// One file of the node; it knows nothing of turns.
class File {
 public:
  File(const CaptureSettings& settings, const DiskWrite& write, std::string node)
      : settings_(settings), write_(write), node_(std::move(node)) {}
  ~File() { Close(); }

  bool is_open() const { return fd_ >= 0; }
  std::uint64_t size() const { return size_; }

  // Empty, or what is wrong. Makes room first: the oldest segments go.
  std::string Open(std::uint64_t* removed) {
    Close();
    std::error_code error;
    fs::create_directories(settings_.folder, error);
    std::vector<std::pair<std::uint64_t, fs::path>> all;
    std::uint64_t total = 0;
    for (fs::directory_iterator it(settings_.folder, error), end; !error && it != end;
         it.increment(error)) {
      const std::uint64_t number = NumberOf(it->path().filename().string());
      if (number == 0) continue;
      std::error_code gone;
      const std::uint64_t size = it->file_size(gone);
      total += gone ? 0 : size;
      all.emplace_back(number, it->path());
    }
    if (error) return settings_.folder + ": " + error.message();
    std::sort(all.begin(), all.end());
    // By number and not by time: the wall clock may step.
    const std::uint64_t next = all.empty() ? 1 : all.back().first + 1;
    for (const auto& [number, path] : all) {
      if (total + settings_.segment_bytes <= settings_.total_bytes) break;
      std::error_code gone;
      const std::uint64_t size = fs::file_size(path, gone);
      if (fs::remove(path, gone)) {
        total -= std::min(total, size);
        ++*removed;
      }
    }
    char name[32];
    std::snprintf(name, sizeof name, ".%08llu", static_cast<unsigned long long>(next));
    path_.clear();
    const std::string path = settings_.folder + "/" + node_ + name + kSuffix;
    fd_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0640);
    if (fd_ < 0) return path + ": " + std::strerror(errno);
    path_ = path;
    size_ = 0;
    return Append(BlockWriter::FileHeader());
  }

  // All of it or, after a failure, nothing of it: the file then ends where it ended before.
  std::string Append(const std::string& bytes) {
    struct stat now {};
    if (::fstat(fd_, &now) != 0 || now.st_nlink == 0) return "the segment was removed";
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t n = write_(fd_, bytes.data() + done, bytes.size() - done);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) {
        std::string why = n < 0 ? std::strerror(errno) : "nothing was written";
        if (::ftruncate(fd_, static_cast<off_t>(size_)) != 0) return why + ", nor cut back";
        return why;
      }
      done += static_cast<std::size_t>(n);
    }
    size_ += bytes.size();
    return "";
  }

  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // For a segment that never got a turn: it could not be read.
  void Remove() {
    Close();
    if (!path_.empty()) ::unlink(path_.c_str());
  }

 private:
  // Of a segment of this node, from 1 on; 0: it is none.
  std::uint64_t NumberOf(const std::string& name) const {
    if (!name.starts_with(node_ + ".") || !name.ends_with(kSuffix)) return 0;
    const std::string digits =
        name.substr(node_.size() + 1, name.size() - node_.size() - 1 - std::strlen(kSuffix));
    if (digits.empty() || digits.size() > 18 ||
        digits.find_first_not_of("0123456789") != std::string::npos)
      return 0;
    return std::stoull(digits);
  }

  const CaptureSettings& settings_;
  const DiskWrite& write_;
  std::string node_, path_;
  int fd_ = -1;
  std::uint64_t size_ = 0;
};

std::string FileName(std::string node) {
  for (char& c : node)
    if (!g_ascii_isalnum(c) && c != '-' && c != '_') c = '_';
  return node;
}

}  // namespace

Recorder::Recorder(CaptureSettings settings, Origin origin, const dispatch::Dispatcher& dispatcher,
                   const dispatch::Names& workers, Micros now, bool fresh, DiskWrite write)
    : settings_(std::move(settings)),
      write_(write ? std::move(write) : DiskWrite(::write)),
      origin_(std::move(origin)),
      flush_([this] { Flush(); }) {
  thread_ = std::thread([this] { Write(); });
  Begin(fresh ? nullptr : &dispatcher, workers, now);
}

Recorder::~Recorder() {
  if (open_) End("the node ended");
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  ready_.notify_all();
  thread_.join();
}

// ---------------------------------------------------------------- the loop's side

bool Recorder::Begin(const dispatch::Dispatcher* checkpoint, const dispatch::Names& workers,
                     Micros now) {
  {
    const std::lock_guard lock(mutex_);
    failed_ = false;
    report_.failure.clear();
    report_.segment_bytes = 0;
  }
  origin_.clock = clock_ = now;
  origin_.unix_us = g_get_real_time();
  origin_.first_turn = first_turn_ += std::exchange(ending_, {}).turns;
  origin_.layout = checkpoint != nullptr ? dispatch::Checkpoint::Layout() : 0;
  origin_.workers = workers;
  ++origin_.segment;
  named_ = workers.size();
  block_turn_ = 0;
  block_began_ = segment_began_ = now;
  turns_.Take();
  Task head{Task::Kind::kOpen, BlockType::kHead, 0, WriteOrigin(origin_)};
  // The state is taken at once: that costs less than a round even of 10,000 open jobs (docs/
  // capture.md has the figures), and spread over turns it would have to follow what changes.
  Task state;
  if (checkpoint != nullptr)
    state = {Task::Kind::kBlock, BlockType::kCheckpoint, 0,
             dispatch::Checkpoint::Save(*checkpoint)};
  if (head.bytes.size() + state.bytes.size() + kTurnBlockBytes > settings_.memory) {
    Suspend("a checkpoint of " + std::to_string(state.bytes.size()) + " bytes is too large", now);
    return false;
  }
  if (!Hand(std::move(head)) || (checkpoint != nullptr && !Hand(std::move(state)))) {
    Suspend("the disk is too slow", now);
    return false;
  }
  open_ = true;
  Count("capture_segments");
  flush_.Set(now + settings_.flush_every);
  return true;
}

void Recorder::OnTurn(Micros now, std::span<const dispatch::Event> events,
                      std::span<const Note> notes, std::span<const dispatch::Action> actions,
                      const dispatch::Dispatcher& dispatcher, const dispatch::Names& workers) {
  Report report;
  bool failed = false;
  std::size_t waiting = 0;
  {
    const std::lock_guard lock(mutex_);
    failed = failed_;
    report = report_;
    waiting = waiting_;
  }
  if (open_ && failed) {
    Suspend(report.failure, now);
  } else if (!open_ && now >= retry_at_ && waiting < settings_.memory / 4) {
    // The state as it is after this turn: the next one is the segment's first.
    ++first_turn_;
    if (Begin(&dispatcher, workers, now)) return;
    --first_turn_;
  }
  if (!open_) {
    ++first_turn_;
    return Count("capture_turns_missed");
  }
  const std::int64_t unix_us = turns_.size() == 0 ? g_get_real_time() : 0;
  if (turns_.size() == 0) block_began_ = now;
  turns_.Add(clock_, now, events, notes, actions,
             std::span(workers).subspan(std::min(named_, workers.size())), std::exchange(mark_, {}),
             unix_us);
  named_ = workers.size();
  clock_ = now;
  ++ending_.turns;
  ending_.events += events.size();
  ending_.actions += actions.size();
  if (turns_.size() >= kTurnBlockBytes || now - block_began_ >= settings_.flush_every) Flush();
  if (!open_) return;
  if (report.segment_bytes >= settings_.segment_bytes ||
      now - segment_began_ >= settings_.segment_age) {
    End("a new segment was due");
    Begin(&dispatcher, workers, now);
  }
}

void Recorder::Mark(const std::string& what) {
  if (mark_.size() < 1000) mark_ += (mark_.empty() ? "" : "; ") + what;
}

void Recorder::Flush() {
  if (!open_) return;
  flush_.Set(Now() + settings_.flush_every);
  if (turns_.size() == 0) return;
  // What is dropped are whole turns at the segment's end; its end says how many there are.
  const std::uint64_t in_block = ending_.turns - block_turn_;
  if (Hand({Task::Kind::kBlock, BlockType::kTurns, block_turn_, turns_.Take()})) {
    block_turn_ = ending_.turns;
    logged_ = false;
    return;
  }
  for (std::uint64_t i = 0; i < in_block; ++i) Count("capture_turns_missed");
  Suspend("the disk is too slow", clock_);
}

void Recorder::End(const std::string& reason) {
  Flush();
  if (!open_) return;
  open_ = false;
  ending_.reason = reason;
  // Past the budget by a few bytes at most: without it the segment would look cut off.
  const std::lock_guard lock(mutex_);
  tasks_.push_back({Task::Kind::kEnd, BlockType::kEnd, ending_.turns, WriteEnding(ending_)});
  waiting_ += tasks_.back().bytes.size();
  ready_.notify_all();
}

// The segment is over; the node goes on without until there is room again.
void Recorder::Suspend(const std::string& why, Micros now) {
  open_ = false;
  flush_.Clear();
  retry_at_ = now + settings_.retry_every;
  Count("capture_suspended");
  if (!std::exchange(logged_, true))
    Log("capture_suspended", {{"why", why}},
        "capture suspended: " + why + "; tried again every " +
            std::to_string(settings_.retry_every / kSecond) + " s");
  const std::lock_guard lock(mutex_);
  // Without its counts: what was dropped is not among the blocks.
  tasks_.push_back({Task::Kind::kEnd, BlockType::kEnd, 0, ""});
  ready_.notify_all();
}

bool Recorder::Hand(Task task) {
  const std::lock_guard lock(mutex_);
  if (waiting_ + task.bytes.size() > settings_.memory) return false;
  waiting_ += task.bytes.size();
  tasks_.push_back(std::move(task));
  ready_.notify_all();
  return true;
}

std::size_t Recorder::waiting() {
  const std::lock_guard lock(mutex_);
  return waiting_;
}

void Recorder::Settle() {
  std::unique_lock lock(mutex_);
  idle_.wait(lock, [&] { return tasks_.empty() && !busy_; });
}

// ---------------------------------------------------------------- the writer's thread

void Recorder::Write() {
  File file(settings_, write_, FileName(origin_.node));
  BlockWriter blocks;
  std::string stored;
  bool has_turns = false;
  std::unique_lock lock(mutex_);
  for (;;) {
    busy_ = false;
    idle_.notify_all();
    ready_.wait(lock, [&] { return stop_ || !tasks_.empty(); });
    if (tasks_.empty()) return;
    busy_ = true;
    Task task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    std::string failure;
    std::uint64_t removed = 0;
    const std::size_t raw = task.bytes.size();
    if (task.kind == Task::Kind::kOpen) {
      blocks = BlockWriter();
      has_turns = false;
      failure = file.Open(&removed);
    }
    if (failure.empty() && file.is_open() &&
        (task.kind != Task::Kind::kEnd || !task.bytes.empty())) {
      stored.clear();
      blocks.Append(task.type, task.first_turn, task.bytes, &stored);
      failure = file.Append(stored);
      has_turns = has_turns || (failure.empty() && task.type == BlockType::kTurns);
    }
    // After a failure nothing more goes into this file: its last block is its end.
    if (!failure.empty() && !has_turns) file.Remove();
    if (!failure.empty() || task.kind == Task::Kind::kEnd) file.Close();
    task = Task();
    lock.lock();
    waiting_ -= raw;
    report_.removed += removed;
    report_.segment_bytes = file.is_open() ? file.size() : 0;
    if (!failure.empty()) {
      failed_ = true;
      report_.failure = failure;
    }
  }
}

}  // namespace pearreach::capture
