#include "tier/registry/worker_digests.h"

namespace pearreach::registry {
namespace {

std::uint64_t MixHash(std::uint64_t hash, std::uint64_t value) {
  hash = (hash ^ value) * 0x9e3779b97f4a7c15ull;
  return hash ^ hash >> 29;
}

}  // namespace

std::uint64_t WorkerDigests::RecordHash(const WorkerRecord& record) {
  std::uint64_t hash = MixHash(HashOf(record.worker_id), static_cast<std::uint64_t>(record.phase));
  if (record.phase == WorkerPhase::kGone) return hash;
  hash = MixHash(hash, record.version);
  hash = MixHash(hash, record.lost ? 1 : 0);
  return MixHash(hash, HashOf(record.receiver));
}

std::uint64_t WorkerDigests::Total() const {
  std::uint64_t total = 0;
  for (const std::uint64_t digest : shards_) total = MixHash(total, digest);
  return total;
}

}  // namespace pearreach::registry
