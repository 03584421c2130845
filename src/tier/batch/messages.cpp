#include "tier/batch/messages.h"

namespace pearreach::batch {

std::uint32_t PartitionOf(std::string_view batch_job_id) {
  constexpr std::uint64_t kOffset = 14695981039346656037ull, kPrime = 1099511628211ull;
  std::uint64_t hash = kOffset;
  for (const char c : batch_job_id) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kPrime;
  }
  return static_cast<std::uint32_t>((hash >> 32) % kPartitions);
}

}  // namespace pearreach::batch
