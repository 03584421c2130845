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
  shared_state::SharedOptions options;
  options.nodes = 5;
  options.zones = 2;
  options.shares = {70, 20};
  shared_state::Shared s(options, kProcess, 1, kNow - 30'000'000);
  for (shared_state::WorkerKey w = 0; w < 8; ++w) s.judgements().Listed(w, 0, 0, true);
  std::vector<shared_state::Shared::Out> out;
  for (int i = 0; i < 4; ++i) {
    const shared_state::Micros now = kNow + i * 300'000;
    s.Hear(now, 1 + i % 2, kProcess + i, bytes, &out);
    (void)s.Admit(now, i % 2, i == 3);
    s.judgements().Look(now, {1, 2, 3});
    s.Tick(now, {1, 2, 3}, &out);
    for (int k = 0; k < 2; ++k) {
      const auto whole =
          static_cast<std::int64_t>(options.shares[static_cast<std::size_t>(k)] * 1000);
      // What was got is another's word; what is its own is never more than its even part.
      if (s.budgets().part(now, k) - s.budgets().got(now, k) > whole / 5) std::abort();
      const shared_state::Reading r = s.counts().Read(now, k);
      if (!(r.least >= 0 && r.least <= r.most && r.estimate >= r.least && r.estimate <= r.most))
        std::abort();
    }
    if (s.judgements().standing().size() > 8) std::abort();
  }
  for (const shared_state::Shared::Out& o : out)
    if (o.section.size() > options.bytes || o.to < 0 || o.to >= 5) std::abort();
  return 0;
}
