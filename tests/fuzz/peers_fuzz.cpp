// Bytes as another node might send them, to the gate and on to the membership: nothing may end the
// process, read beyond its bytes or make a node believe an earlier process than it holds.
#include <cstdint>
#include <cstdlib>
#include <vector>

#include "node/membership/members.h"
#include "node/peer_transport/gate.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace membership = pearreach::membership;
  namespace peer_transport = pearreach::peer_transport;
  constexpr std::uint64_t kProcess = membership::Members::kEpoch + 1000;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  peer_transport::DatagramFilter gate(0, 5);
  peer_transport::DropReason why{};
  (void)gate.Admit(bytes, size % 5, &why);
  // The checksum keeps a fuzzer out: what lies behind it is fuzzed by itself.
  peer_transport::Writer writer(1, kProcess, 1);
  if (writer.Add(peer_transport::Topic::kMembers, bytes.substr(0, writer.room()))) {
    const std::string whole = writer.Take();
    if (!gate.Admit(whole, 1, &why)) std::abort();
  }
  membership::Members m({.self = 0, .nodes = 5}, 1, 0, kProcess);
  std::vector<membership::Outgoing> out;
  std::vector<std::uint64_t> before(5);
  for (int i = 0; i < 4; ++i) {
    m.Receive(1000 * (i + 1), 1 + i % 2, kProcess + i, i == 2, bytes, &out);
    for (int n = 0; n < 5; ++n) {
      if (m.entry(n).process < before[static_cast<std::size_t>(n)]) std::abort();
      before[static_cast<std::size_t>(n)] = m.entry(n).process;
    }
    m.Tick(m.next(), &out);
  }
  for (const membership::Outgoing& o : out)
    if (o.section.size() > 200 || o.to < 0 || o.to >= 5) std::abort();
  return 0;
}
