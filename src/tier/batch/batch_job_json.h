// The JSON of batch jobs on the wire: the items of a submission, and the outputs of a read.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_JSON_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_JSON_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tier/batch/messages.h"

namespace pearreach::batch {

// Most items of a batch job.
constexpr std::size_t kMaxItems = 200;

// The items of {"entries":[{"worker_id","path","headers","payload","tokens"}]}.
// INVALID_ARGUMENT names the field at fault. `body` is overwritten.
absl::StatusOr<std::vector<ItemSpec>> ParseItems(std::string body);

// {"total":..,"outputs":[..],"next_token":..}; contents are written byte by byte, whatever
// their encoding. Outputs that would make the response too long are left for the next read; there
// is one at least.
std::string WriteOutputs(const ReadBatchJobResponse& response, std::uint64_t start_after);

// A hash of the body of a submission, the same on every node.
std::uint64_t Fingerprint(std::string_view body);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_JSON_H_
