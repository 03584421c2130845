// What one node says to another of shared state, as values and as bytes. Pure and bounded: it reads
// nothing that it has not checked, must never give more than the caller has room for, and passes
// over what it does not know.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_WORDS_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_WORDS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node/shared_state/budgets.h"
#include "node/shared_state/counts.h"
#include "node/shared_state/judgements.h"

namespace pearreach::shared_state {

constexpr std::int64_t kEpochMs = 1'767'225'600'000;  // 2026-01-01, Unix ms

struct Message {
  int zone = 0;
  Micros at = 0;
  std::vector<UsageUpdate> own_usage;  // node and process are the sender's
  std::vector<double> limits;          // of each of those accounts, a second
  std::vector<UsageUpdate> relayed_usage;
  std::vector<QuotaRequest> requests;
  std::vector<Grant> grants;
  std::vector<HealthReport> health_reports;
};

// The longest start of the word that fits into `room`, by order of what waiting costs: grants,
// asks, judgements, the sender's counts, others' counts. `*left_out`: entries without room.
std::string Encode(const Message& word, std::size_t room, int* left_out);
// None: it cannot be read. `from` and `process` are the sender's.
std::optional<Message> Decode(std::string_view bytes, int from, std::uint64_t process);

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_WORDS_H_
