// Says in lines for a person what happened around one worker or one job, and why each send went
// where it went. It owns the observer of a replay; it must never say what the module did not tell.
#ifndef PEARREACH_SRC_NODE_CAPTURE_EXPLAIN_H_
#define PEARREACH_SRC_NODE_CAPTURE_EXPLAIN_H_

#include <functional>
#include <string>

#include "node/capture/replay.h"
#include "node/capture/segment.h"

namespace pearreach::capture {

struct Subject {
  std::string worker;  // by name; empty: any
  std::string job;     // the client's id or the node's number; empty: any
};

struct Line {
  Micros since = 0;  // from the segment's begin
  std::string kind;  // list, event, decision, choice, log, mark
  std::string text;
};

struct Explained {
  std::uint64_t lines = 0;
  bool known = false;     // the worker or job occurs at all
  bool identical = true;  // the replay decided as recorded; else the choices may be others'
  std::string damage;
  std::size_t missing = 0;
};

// Calls `out` with each line, in order. Throws Unreadable.
Explained Explain(Segment* segment, const Subject& subject, const Window& window,
                  const std::function<void(const Line&)>& out);

}  // namespace pearreach::capture

#endif  // PEARREACH_SRC_NODE_CAPTURE_EXPLAIN_H_
