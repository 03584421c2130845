#include "tier/batch/disk_capacity.h"

#include <algorithm>
#include <vector>

namespace pearreach::batch {
namespace {

constexpr std::uint64_t kPageBytes = 4096;
// Larger values have pages of their own; smaller ones share pages that are about two thirds full.
constexpr std::uint64_t kMaxSharedPageBytes = 2000;
constexpr std::uint64_t kPageHeaderBytes = 16, kRecordBytes = 80;
// Text that a token comes to, with the framing of its events: about, and rather too much.
constexpr double kBytesPerToken = 4;
constexpr std::uint64_t kResultFramingBytes = 256;
constexpr double kMaxResultBytes = 1e15;  // more than any disk has
// Kept free for pages that a change writes anew and for reports of other stores that are in flight.
constexpr std::uint64_t kReservedFraction = 16;

std::uint64_t SizeOnDisk(std::uint64_t value_bytes) {
  const std::uint64_t bytes = value_bytes + kRecordBytes;
  if (bytes <= kMaxSharedPageBytes) return bytes + bytes / 2;
  const std::uint64_t pages = (bytes + kPageHeaderBytes + kPageBytes - 1) / kPageBytes;
  return pages * kPageBytes + kRecordBytes;
}

std::uint64_t ResultBytes(double tokens) {
  const double text_bytes = std::clamp(tokens * kBytesPerToken, 0.0, kMaxResultBytes);
  return SizeOnDisk(kResultFramingBytes + static_cast<std::uint64_t>(text_bytes));
}

std::vector<StoreId> ReplicasAndJoiners(const Partition& table) {
  std::vector<StoreId> stores = table.replicas;
  stores.insert(stores.end(), table.joining.begin(), table.joining.end());
  return stores;
}

}  // namespace

std::uint64_t BatchJobBytes(const BatchJobSpec& batch_job) {
  std::uint64_t header = batch_job.route.size() + batch_job.host.size(), bytes = 0;
  for (const ItemSpec& item : batch_job.items) {
    std::uint64_t body = item.item_id.size() + item.path.size() + item.body.size();
    for (const auto& [name, value] : item.headers)
      body += name.size() + value.size() + 2 * sizeof(std::uint64_t);
    bytes += SizeOnDisk(body) + ResultBytes(item.tokens);
    header += item.item_id.size() + 2 * sizeof(std::uint64_t);
  }
  return bytes + SizeOnDisk(header);
}

std::uint64_t PendingResultBytes(const BatchJob& batch_job) {
  if (!batch_job.Open()) return 0;
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < batch_job.items.size(); ++i) {
    if (!batch_job.items[i].done) bytes += ResultBytes(batch_job.header.items[i].tokens);
  }
  return bytes;
}

void DiskCapacity::SetStores(std::size_t stores, std::size_t replicas) {
  stores_ = stores;
  replicas_ = replicas;
}

// What was admitted may not be on disk yet when the pending bytes are counted: it counts once more.
void DiskCapacity::SetPendingResultBytes(std::uint64_t bytes) {
  pending_result_bytes_ = bytes;
  admitted_before_ = admitted_;
  admitted_ = 0;
}

std::uint64_t DiskCapacity::Limit(const storage::Space& space) const {
  const std::uint64_t limit = space.limit_bytes - space.limit_bytes / kReservedFraction;
  const bool others_take_over = stores_ > replicas_;
  return others_take_over ? limit / stores_ * (stores_ - 1) : limit;
}

std::uint64_t DiskCapacity::AvailableBytes(const storage::Space& space) const {
  const std::uint64_t taken =
      space.used_bytes + pending_result_bytes_ + admitted_ + admitted_before_;
  return Limit(space) - std::min(Limit(space), taken);
}

bool DiskCapacity::IsNearlyFull(const storage::Space& space) const {
  return AvailableBytes(space) < Limit(space) / 4;
}

std::optional<StoreId> DiskCapacity::FindStoreWithoutCapacity(const Partition& table,
                                                              const StoreId& self,
                                                              const storage::Space& space,
                                                              std::uint64_t bytes) const {
  for (const StoreId& store : ReplicasAndJoiners(table)) {
    const auto peer = peers_.find(store);
    const bool known = store == self || peer != peers_.end();
    if (!known) continue;
    const std::uint64_t available = store == self ? AvailableBytes(space) : peer->second;
    if (available < bytes) return store;
  }
  return std::nullopt;
}

void DiskCapacity::Reserve(const Partition& table, const StoreId& self, std::uint64_t bytes) {
  for (const StoreId& store : ReplicasAndJoiners(table)) {
    const auto peer = peers_.find(store);
    if (store != self && peer != peers_.end()) peer->second -= std::min(peer->second, bytes);
  }
  admitted_ += bytes;
}

}  // namespace pearreach::batch
