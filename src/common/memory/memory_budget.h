// The memory of a process that is held for its clients, counted in one place. Holders charge what
// they hold; whoever can give memory back registers as a reclaimer and is asked once the budget is
// exceeded. It allocates nothing itself. Not thread-safe: event loop only.
#ifndef PEARREACH_SRC_COMMON_MEMORY_MEMORY_BUDGET_H_
#define PEARREACH_SRC_COMMON_MEMORY_MEMORY_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

namespace pearreach::memory {

class MemoryBudget;

// Gives memory back when the budget is exceeded. Implemented by servers, which close connections.
class MemoryReclaimer {
 public:
  virtual ~MemoryReclaimer() = default;
  // Bytes that Reclaim can free at most.
  virtual std::size_t ReclaimableBytes() const = 0;
  // Frees `bytes` or as much as it can, but nothing of the holder `except` (null: no exception).
  virtual void Reclaim(std::size_t bytes, const void* except) = 0;
};

enum class ChargeKind {
  kConnection,  // held at a connection: parts of requests, and answers that were not taken
  kRequest,     // of a complete request that was admitted, until it is answered
};

// A number of bytes counted in a budget until the charge is destroyed. Keeps the budget alive.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  MemoryCharge(std::shared_ptr<MemoryBudget> budget, ChargeKind kind)
      : budget_(std::move(budget)), kind_(kind) {}
  ~MemoryCharge() { Set(0); }
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void Set(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  ChargeKind kind_ = ChargeKind::kConnection;
  std::size_t bytes_ = 0;
};

class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max() / 4;
  // A holder of no more than this may use the whole budget; larger ones leave a quarter free.
  static constexpr std::size_t kSmallBytes = 64 << 10;

  explicit MemoryBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // A charge of `bytes` for a complete request, after memory was reclaimed where that was needed.
  // Nullopt: there is no room. A request larger than the budget is admitted while no other large
  // one is: the limits of messages say what is too large, not the budget.
  std::optional<MemoryCharge> Admit(std::size_t bytes);
  // Whether a connection that has grown to `bytes` may keep them, after others gave memory back.
  bool Keep(std::size_t bytes, const void* connection);

  void Register(MemoryReclaimer* reclaimer) { reclaimers_.push_back(reclaimer); }
  void Unregister(MemoryReclaimer* reclaimer);

  // Whether a large request could be admitted.
  bool HasRoom() const { return used() <= limit_ - limit_ / kSmallReserve; }
  std::size_t used() const { return connections_ + requests_; }
  std::size_t limit() const { return limit_; }

 private:
  friend class MemoryCharge;

  // A part of so many of the budget is left for small holders.
  static constexpr std::size_t kSmallReserve = 4;

  std::size_t LimitFor(std::size_t bytes) const;
  void Reclaim(std::size_t bytes, const void* except);
  void Change(ChargeKind kind, std::size_t from, std::size_t to);
  void TrimHeap();

  const std::size_t limit_;
  std::size_t connections_ = 0, requests_ = 0;  // bytes charged
  std::vector<MemoryReclaimer*> reclaimers_;
  bool reclaiming_ = false;
  std::chrono::steady_clock::time_point trimmed_at_;
};

// The part of a machine's memory that may be held for clients, in bytes. `memory_mb`: of the
// settings; 0: what the system has.
std::size_t ClientMemoryBytes(int memory_mb);
// The receive buffer of each of so many connections, in bytes as setsockopt takes them: together
// they stay within another such part.
int ReceiveBufferBytes(int memory_mb, std::size_t connections);
// Makes the allocator give the memory of large blocks back to the system when they are freed.
void ReturnFreedMemory();

}  // namespace pearreach::memory

#endif  // PEARREACH_SRC_COMMON_MEMORY_MEMORY_BUDGET_H_
