#include "tier/batch/disk_capacity.h"

#include <algorithm>
#include <vector>

namespace pearreach::batch {
namespace {

constexpr std::uint64_t kPageBytes = 4096;
// Larger values have pages of their own; smaller ones share pages that are about two thirds full.
constexpr std::uint64_t kMaxShared = 2000;
constexpr std::uint64_t kPageHeadBytes = 16, kRecordBytes = 80;
// Text that a token comes to, with the framing of its events: about, and rather too much.
constexpr double kBytesPerToken = 4;
constexpr std::uint64_t kResultFrame = 256;
// Kept free for pages that a change writes anew and for news of other stores that are on their way.
constexpr std::uint64_t kSpareShare = 16;

std::uint64_t OnDisk(std::uint64_t value_bytes) {
  const std::uint64_t bytes = value_bytes + kRecordBytes;
  if (bytes <= kMaxShared) return bytes + bytes / 2;
  const std::uint64_t pages = (bytes + kPageHeadBytes + kPageBytes - 1) / kPageBytes;
  return pages * kPageBytes + kRecordBytes;
}

std::uint64_t ResultBytes(double tokens) {
  return OnDisk(kResultFrame + static_cast<std::uint64_t>(std::max(0.0, tokens) * kBytesPerToken));
}

std::vector<StoreId> Holders(const Partition& table) {
  std::vector<StoreId> holders = table.replicas;
  holders.insert(holders.end(), table.joining.begin(), table.joining.end());
  return holders;
}

}  // namespace

std::uint64_t BatchJobBytes(const BatchJobSpec& batch_job) {
  std::uint64_t header = batch_job.route.size() + batch_job.host.size(), bytes = 0;
  for (const ItemSpec& item : batch_job.items) {
    std::uint64_t body = item.item_id.size() + item.path.size() + item.body.size();
    for (const auto& [name, value] : item.headers)
      body += name.size() + value.size() + 2 * sizeof(std::uint64_t);
    bytes += OnDisk(body) + ResultBytes(item.tokens);
    header += item.item_id.size() + 2 * sizeof(std::uint64_t);
  }
  return bytes + OnDisk(header);
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

// What was admitted may not be on disk yet when the owed bytes are counted: it counts once more.
void DiskCapacity::SetOwed(std::uint64_t bytes) {
  owed_ = bytes;
  admitted_before_ = admitted_;
  admitted_ = 0;
}

std::uint64_t DiskCapacity::Limit(const storage::Space& space) const {
  const std::uint64_t limit = space.limit_bytes - space.limit_bytes / kSpareShare;
  const bool others_take_over = stores_ > replicas_;
  return others_take_over ? limit / stores_ * (stores_ - 1) : limit;
}

std::uint64_t DiskCapacity::Own(const storage::Space& space) const {
  const std::uint64_t taken = space.used_bytes + owed_ + admitted_ + admitted_before_;
  return Limit(space) - std::min(Limit(space), taken);
}

bool DiskCapacity::IsShort(const storage::Space& space) const {
  return Own(space) < Limit(space) / 4;
}

std::optional<StoreId> DiskCapacity::Lacking(const Partition& table, const StoreId& self,
                                             const storage::Space& space,
                                             std::uint64_t bytes) const {
  for (const StoreId& store : Holders(table)) {
    const auto peer = peers_.find(store);
    const bool known = store == self || peer != peers_.end();
    const std::uint64_t capacity = !known ? bytes : store == self ? Own(space) : peer->second;
    if (capacity < bytes) return store;
  }
  return std::nullopt;
}

void DiskCapacity::Take(const Partition& table, const StoreId& self, std::uint64_t bytes) {
  for (const StoreId& store : Holders(table)) {
    const auto peer = peers_.find(store);
    if (store != self && peer != peers_.end()) peer->second -= std::min(peer->second, bytes);
  }
  admitted_ += bytes;
}

}  // namespace pearreach::batch
