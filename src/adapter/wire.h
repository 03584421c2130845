// The simulator's text wire: reads batches of events, keeps one Dispatcher for each instance and
// writes their actions. It decides nothing.
#ifndef MARLQUAY_SRC_ADAPTER_WIRE_H_
#define MARLQUAY_SRC_ADAPTER_WIRE_H_

#include <iosfwd>

namespace marlquay {

// Serves `in` to its end. Returns 0, or 1 after the first malformed line, which is then named in
// one line on `err`; nothing of its batch is written to `out`.
int ServeWire(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace marlquay

#endif  // MARLQUAY_SRC_ADAPTER_WIRE_H_
