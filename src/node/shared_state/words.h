// The message that nodes exchange about shared state: quota usage, budget requests and grants, and
// worker health reports, with its encoding. Pure functions without I/O. Encoding never exceeds the
// size that the caller allows; decoding checks all values and skips unknown fields.
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
  int zone = 0;                        // of the sender
  Micros at = 0;                       // send time by the sender's clock
  std::vector<UsageUpdate> own_usage;  // `node` and `process` are those of the sender
  std::vector<double> limits;          // per entry of own_usage: the account's quota per second
  std::vector<UsageUpdate> relayed_usage;
  std::vector<QuotaRequest> requests;
  std::vector<Grant> grants;
  std::vector<HealthReport> health_reports;
};

// Encodes as many entries as fit into `max_bytes`. The order is that of the cost of a delay:
// grants, requests, health reports, the sender's usage, relayed usage. Sets `*left_out` to the
// number of entries that did not fit. Returns an empty string if not even the header fits.
std::string Encode(const Message& message, std::size_t max_bytes, int* left_out);
// Returns nullopt for malformed bytes. `from` and `process` identify the sender.
std::optional<Message> Decode(std::string_view bytes, int from, std::uint64_t process);

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_WORDS_H_
