// Bytes as other nodes might send them, to what leaves zones: nothing may end the process, leave a
// zone by what one node says, shut a worker of a zone that is whole, or make this node say more
// than it has room for.
#include <cstdint>
#include <cstdlib>
#include <vector>

#include "node/zones/zones.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace zones = pearreach::zones;
  constexpr zones::Micros kNow = 1'800'000'000'000'000;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  zones::Options options;
  options.nodes = 5;
  options.zones = {"z0", "z1", "z2"};
  options.regions = {{"west", {1, 2}}};
  zones::ZoneFailover z(options, 1, kNow);
  for (zones::WorkerKey w = 0; w < 9; ++w) z.OnListed(w, static_cast<int>(w % 3), 0, 1, 0, true);
  std::vector<zones::ZoneFailover::OutgoingMessage> out;
  for (int i = 0; i < 6; ++i) {
    const zones::Micros now = kNow + i * 300'000;
    z.OnJobSent(now, static_cast<zones::WorkerKey>(i));
    z.OnMessage(now, 1, 7, bytes, &out);
    z.Tick(now, {1, 2, 3}, false, &out);
    for (int zone = 0; zone < 3; ++zone)
      if (z.status(zone).step == zones::kInUse)
        for (zones::WorkerKey w = 0; w < 9; ++w)
          if (static_cast<int>(w % 3) == zone && z.use(now, w) != zones::Use::kOpen) std::abort();
    // Nothing was tried and bad here, and one node alone has spoken: by a verdict none is left,
    // unless it passed on that nodes of two zones have seen it.
    for (const zones::Decision& v : z.decisions())
      if (v.number > 0 && v.step == zones::kEjected && z.reports().empty()) std::abort();
  }
  for (const zones::ZoneFailover::OutgoingMessage& o : out)
    if (o.section.size() > options.max_message_bytes || o.to < 0 || o.to >= 5) std::abort();
  return 0;
}
