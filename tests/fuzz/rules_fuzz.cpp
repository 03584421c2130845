// Bytes as other nodes and disks might have them, to the agreement on rules: nothing may end the
// process, make a node act on a version that no majority of voters vouched for, or say more than a
// datagram holds.
#include <cstdint>
#include <cstdlib>
#include <vector>

#include "node/rules/rules.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace rules = pearreach::rules;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (const auto document = rules::Decode(bytes); document && rules::Encode(*document) != bytes)
    std::abort();
  if (const auto kept = rules::DecodeState(bytes))
    if (!rules::DecodeState(rules::EncodeState(*kept))) std::abort();
  rules::Options options;
  options.nodes = 5;
  options.voters = {1, 2, 3};
  rules::Consensus m(options, 1, 0, std::nullopt);
  std::vector<rules::Consensus::Outgoing> out;
  for (int i = 0; i < 6; ++i) {
    const rules::Micros now = i * 300'000;
    m.Tick(now, {1, 2, 3}, &out);
    m.Receive(now, 1, bytes, &out);
    // One voter alone has spoken.
    if (m.effective_rules(now).basis != rules::Consensus::Basis::kFloor) std::abort();
  }
  for (const rules::Consensus::Outgoing& o : out)
    if (o.section.size() > 220 || o.to < 0 || o.to >= 5) std::abort();
  return 0;
}
