// Checks the four rules over a segment from what was told and decided alone. It owns books of its
// own and shares no code with the module, so that one mistake is not made twice; it must never call
// a rule kept of which it could not see enough: that is counted as not seen.
#ifndef PEARREACH_SRC_NODE_CAPTURE_AUDIT_H_
#define PEARREACH_SRC_NODE_CAPTURE_AUDIT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "node/capture/segment.h"

namespace pearreach::capture {

struct Breach {
  int rule = 0;      // 1 one final answer in time, 2 no duplicate effect, 3 drains, 4 cold workers
  Micros since = 0;  // from the segment's begin
  std::string what;
};

struct Audit {
  std::vector<Breach> breaches;  // in order; the first thousand
  std::uint64_t breach_count = 0;
  std::uint64_t jobs = 0, answered = 0, open = 0;  // open: not due yet when the segment ends
  std::uint64_t begun_before = 0;  // things said of jobs that arrived before the segment
  std::uint64_t sends = 0, drains = 0, cold_sends = 0;
  // The most of a cold worker's whole budget that this node alone used in one window; below 0: no
  // job of its kind ended, so that there is nothing to measure it by.
  double cold_share = -1;
  std::string damage;
  std::size_t missing = 0;
};

Audit RunAudit(Segment* segment);

}  // namespace pearreach::capture

#endif  // PEARREACH_SRC_NODE_CAPTURE_AUDIT_H_
