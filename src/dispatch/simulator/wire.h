// The text protocol of the simulator: reads batches of events, keeps one Dispatcher per instance
// and writes the resulting actions. It makes no decision.
#ifndef PEARREACH_SRC_DISPATCH_SIMULATOR_WIRE_H_
#define PEARREACH_SRC_DISPATCH_SIMULATOR_WIRE_H_

#include <iosfwd>
#include <vector>

#include "dispatch/settings/settings_reader.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

// Observes the events and actions of the instances. References are valid during the call only.
class WireObserver {
 public:
  virtual ~WireObserver() = default;
  virtual void OnStart(std::uint64_t node, std::uint64_t seed, Micros now,
                       const Conf::Values& settings) = 0;
  // `workers` are the names of all workers so far, by id. `batch` counts the batches of the input
  // from 0.
  virtual void OnTurn(std::uint64_t node, std::size_t batch, Micros now,
                      const std::vector<Event>& events, const std::vector<Action>& actions,
                      const Names& workers) = 0;
};

// Processes `in` to its end and returns 0. Returns 1 at the first malformed line: it is reported in
// one line on `err`, and no part of its batch is written to `out`.
int ServeWire(std::istream& in, std::ostream& out, std::ostream& err,
              WireObserver* observer = nullptr);

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_SIMULATOR_WIRE_H_
