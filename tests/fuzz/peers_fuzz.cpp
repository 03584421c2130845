// Bytes as another node might send them, to the gate and on to the membership: nothing may end the
// process, read beyond its bytes or make a node believe an earlier process than it holds.
#include <cstdint>
#include <cstdlib>
#include <vector>

#include "members/members.h"
#include "peers/gate.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace members = pearreach::members;
  namespace peers = pearreach::peers;
  constexpr std::uint64_t kProcess = members::Members::kEpoch + 1000;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  peers::Gate gate(0, 5);
  peers::Dropped why{};
  (void)gate.Admit(bytes, size % 5, &why);
  // The checksum keeps a fuzzer out: what lies behind it is fuzzed by itself.
  peers::Writer writer(1, kProcess, 1);
  if (writer.Add(peers::Topic::kMembers, bytes.substr(0, writer.room()))) {
    const std::string whole = writer.Take();
    if (!gate.Admit(whole, 1, &why)) std::abort();
  }
  members::Members m({.self = 0, .nodes = 5}, 1, 0, kProcess);
  std::vector<members::Out> out;
  std::vector<std::uint64_t> before(5);
  for (int i = 0; i < 4; ++i) {
    m.Hear(1000 * (i + 1), 1 + i % 2, kProcess + i, i == 2, bytes, &out);
    for (int n = 0; n < 5; ++n) {
      if (m.entry(n).process < before[static_cast<std::size_t>(n)]) std::abort();
      before[static_cast<std::size_t>(n)] = m.entry(n).process;
    }
    m.Tick(m.next(), &out);
  }
  for (const members::Out& o : out)
    if (o.section.size() > 200 || o.to < 0 || o.to >= 5) std::abort();
  return 0;
}
