#include "common/memory/memory_budget.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pearreach::memory {
namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr std::size_t kClientShare = 4;  // a part of so many of the memory is the clients'
// Reclaimed beyond what is needed, as a part of the budget, so that it is not needed again at once.
constexpr std::size_t kReclaimAhead = 8;
constexpr std::size_t kMinReceiveBuffer = 16 << 10, kMaxReceiveBuffer = 256 << 10;
constexpr std::size_t kKernelFactor = 2;  // the kernel allows for its overhead
constexpr int kMappedBlockBytes = 32 << 10, kTrimBytes = 1 << 20;
constexpr auto kTrimPeriod = std::chrono::seconds(1);

std::size_t MemoryBytes(int memory_mb) {
  if (memory_mb > 0) return static_cast<std::size_t>(memory_mb) * kMegabyte;
  const long pages = sysconf(_SC_PHYS_PAGES), page = sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page <= 0) return MemoryBudget::kUnlimited;
  return static_cast<std::size_t>(pages) * static_cast<std::size_t>(page);
}

}  // namespace

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(std::move(other.budget_)),
      kind_(other.kind_),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this == &other) return *this;
  Set(0);
  budget_ = std::move(other.budget_);
  kind_ = other.kind_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void MemoryCharge::Set(std::size_t bytes) {
  if (budget_ == nullptr) return;
  budget_->Change(kind_, bytes_, bytes);
  bytes_ = bytes;
}

void MemoryBudget::Change(ChargeKind kind, std::size_t from, std::size_t to) {
  std::size_t& sum = kind == ChargeKind::kConnection ? connections_ : requests_;
  sum += to;
  sum -= from;
}

std::size_t MemoryBudget::LimitFor(std::size_t bytes) const {
  return bytes <= kSmallBytes ? limit_ : limit_ - limit_ / kSmallReserve;
}

std::optional<MemoryCharge> MemoryBudget::Admit(std::size_t bytes) {
  const std::size_t limit = LimitFor(bytes);
  if (used() + bytes > limit) Reclaim(used() + bytes - limit, nullptr);
  const bool alone = requests_ <= limit_ / kSmallReserve;
  if (used() + bytes > limit && !alone) return std::nullopt;
  MemoryCharge charge(shared_from_this(), ChargeKind::kRequest);
  charge.Set(bytes);
  return charge;
}

bool MemoryBudget::Keep(std::size_t bytes, const void* connection) {
  const std::size_t limit = LimitFor(bytes);
  if (used() <= limit) return true;
  Reclaim(used() - limit + limit / kReclaimAhead, connection);
  if (used() <= limit) return true;
  const std::size_t others = connections_ - std::min(bytes, connections_) + requests_;
  return others <= limit_ / kSmallReserve;
}

void MemoryBudget::Unregister(MemoryReclaimer* reclaimer) {
  reclaimers_.erase(std::remove(reclaimers_.begin(), reclaimers_.end(), reclaimer),
                    reclaimers_.end());
}

// From those first that can give most. A reclaimer may cause further charges, never a further call.
void MemoryBudget::Reclaim(std::size_t bytes, const void* except) {
  if (std::exchange(reclaiming_, true)) return;
  const std::size_t wanted = used() - std::min(bytes, used());
  std::vector<std::pair<std::size_t, MemoryReclaimer*>> by_bytes;
  by_bytes.reserve(reclaimers_.size());
  for (MemoryReclaimer* reclaimer : reclaimers_)
    by_bytes.emplace_back(reclaimer->ReclaimableBytes(), reclaimer);
  std::sort(by_bytes.rbegin(), by_bytes.rend());
  for (const auto& [reclaimable, reclaimer] : by_bytes)
    if (reclaimable > 0 && used() > wanted) reclaimer->Reclaim(used() - wanted, except);
  reclaiming_ = false;
  TrimHeap();
}

// Gives pages between blocks in use back to the system. It walks the heap: not at each turn.
void MemoryBudget::TrimHeap() {
  const auto now = std::chrono::steady_clock::now();
  if (now - trimmed_at_ < kTrimPeriod) return;
  trimmed_at_ = now;
  malloc_trim(0);
}

std::size_t ClientMemoryBytes(int memory_mb) { return MemoryBytes(memory_mb) / kClientShare; }

int ReceiveBufferBytes(int memory_mb, std::size_t connections) {
  const std::size_t each = ClientMemoryBytes(memory_mb) / std::max<std::size_t>(connections, 1);
  return static_cast<int>(std::clamp(each / kKernelFactor, kMinReceiveBuffer, kMaxReceiveBuffer));
}

void ReturnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

}  // namespace pearreach::memory
