// The simulator's text wire: reads batches of events, keeps one Dispatcher for each instance and
// writes their actions. It decides nothing.
#ifndef PEARREACH_SRC_DISPATCH_SIMULATOR_WIRE_H_
#define PEARREACH_SRC_DISPATCH_SIMULATOR_WIRE_H_

#include <iosfwd>
#include <vector>

#include "dispatch/settings/settings_reader.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

// Watches what the instances are told and decide. References hold during the call only.
class WireWatcher {
 public:
  virtual ~WireWatcher() = default;
  virtual void OnStart(std::uint64_t node, std::uint64_t seed, Micros now,
                       const Conf::Values& settings) = 0;
  // `workers`: all names by id, so far. `batch`: its number in the input, from 0.
  virtual void OnTurn(std::uint64_t node, std::size_t batch, Micros now,
                      const std::vector<Event>& events, const std::vector<Action>& actions,
                      const Names& workers) = 0;
};

// Serves `in` to its end. Returns 0, or 1 after the first malformed line, which is then named in
// one line on `err`; nothing of its batch is written to `out`.
int ServeWire(std::istream& in, std::ostream& out, std::ostream& err,
              WireWatcher* watcher = nullptr);

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_SIMULATOR_WIRE_H_
