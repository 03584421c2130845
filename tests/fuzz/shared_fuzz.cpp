// Bytes as another node might send them, to what nodes share: nothing may end the process, make a
// part more than the whole, turn a bound around, or make this node say more than it has room for.
#include <cstdint>
#include <cstdlib>
#include <vector>

#include "node/shared_state/shared.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace shared_state = pearreach::shared_state;
  constexpr std::uint64_t kProcess = shared_state::kEpochMs + 10'000;
  constexpr shared_state::Micros kNow = (shared_state::kEpochMs + 60'000) * 1000;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  shared_state::SharedStateOptions options;
  options.nodes = 5;
  options.zones = 2;
  options.quotas = {70, 20};
  shared_state::SharedState s(options, kProcess, 1, kNow - 30'000'000);
  for (shared_state::WorkerKey w = 0; w < 8; ++w) s.health().OnListed(w, 0, 0, true);
  std::vector<shared_state::SharedState::OutgoingMessage> out;
  for (int i = 0; i < 4; ++i) {
    const shared_state::Micros now = kNow + i * 300'000;
    s.OnMessage(now, 1 + i % 2, kProcess + i, bytes, &out);
    (void)s.Admit(now, i % 2, i == 3);
    s.health().Update(now, {1, 2, 3});
    s.Tick(now, {1, 2, 3}, &out);
    for (int k = 0; k < 2; ++k) {
      const auto whole =
          static_cast<std::int64_t>(options.quotas[static_cast<std::size_t>(k)] * 1000);
      // What was got is another's word; what is its own is never more than its even part.
      if (s.budgets().allocation(now, k) - s.budgets().borrowed(now, k) > whole / 5) std::abort();
      const shared_state::UsageEstimate r = s.usage().Estimate(now, k);
      if (!(r.lower >= 0 && r.lower <= r.upper && r.estimate >= r.lower && r.estimate <= r.upper))
        std::abort();
    }
    if (s.health().statuses().size() > 8) std::abort();
  }
  for (const shared_state::SharedState::OutgoingMessage& o : out)
    if (o.section.size() > options.max_message_bytes || o.to < 0 || o.to >= 5) std::abort();
  return 0;
}
