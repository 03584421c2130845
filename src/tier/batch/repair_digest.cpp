#include "tier/batch/repair_digest.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pearreach::batch {

RepairDigestResponse CompareDigests(const BatchJobTable& batch_jobs, const RepairDigest& digest) {
  RepairDigestResponse response;
  const std::vector<std::uint64_t> own_digests = batch_jobs.BucketDigests();
  for (std::uint32_t i = 0; i < own_digests.size() && i < digest.buckets.size(); ++i) {
    if (own_digests[i] != digest.buckets[i]) response.differing.push_back(i);
  }
  std::map<std::string, std::uint64_t> unlisted;
  for (const auto& [batch_job_id, own_digest] : batch_jobs.BatchJobDigests(digest.listed)) {
    unlisted.emplace(batch_job_id, own_digest);
  }
  for (const auto& [batch_job_id, primary_digest] : digest.batch_jobs) {
    const auto own = unlisted.find(batch_job_id);
    if (own == unlisted.end() || own->second != primary_digest) {
      response.wanted.push_back(batch_job_id);
    }
    if (own != unlisted.end()) unlisted.erase(own);
  }
  for (const auto& [batch_job_id, own_digest] : unlisted) {
    response.surplus.push_back(batch_job_id);
  }
  return response;
}

}  // namespace pearreach::batch
