// Replays segments: hands the module the recorded events and compares what it decides. It owns no
// file; it must never hand the module anything but what was recorded, never read a clock for it,
// and never call a segment identical that was not read to its end without damage.
#ifndef PEARREACH_SRC_NODE_CAPTURE_REPLAY_H_
#define PEARREACH_SRC_NODE_CAPTURE_REPLAY_H_

#include <array>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "node/capture/segment.h"

namespace pearreach::capture {

// Microseconds from the segment's begin; `until` is left out.
struct Window {
  Micros from = std::numeric_limits<Micros>::min();
  Micros until = std::numeric_limits<Micros>::max();
  bool Holds(Micros since_begin) const { return since_begin >= from && since_begin < until; }
};

struct Difference {
  std::uint64_t turn = 0;  // of the segment, from 0
  Turn recorded;
  std::vector<dispatch::Action> actual;
  std::vector<std::string> figures;  // the module's, after it
};

struct Replayed {
  std::uint64_t turns = 0, events = 0, decisions = 0;  // compared
  Micros span = 0;                                     // from the first turn to the last
  double seconds = 0;                                  // that the replay took
  std::optional<Difference> difference;                // the first
  std::string damage;
  std::size_t missing = 0;
  bool ended = false;  // the segment has its end
};

// Compares until the first difference. Throws Unreadable.
Replayed Replay(Segment* segment, const Window& window);

// How decisions differ where a replay goes on past differences: all outcomes stay as recorded, so
// later differences are answers to recorded outcomes, not a forecast.
struct Changes {
  std::uint64_t turns = 0, turns_that_differ = 0;
  // recorded, replayed
  std::array<std::pair<std::uint64_t, std::uint64_t>, std::variant_size_v<dispatch::Action>> kinds;
  std::map<dispatch::WorkerId, std::pair<std::uint64_t, std::uint64_t>> sends;
  std::uint64_t sent_elsewhere = 0;  // jobs whose first send in a turn went to another worker
  std::string damage;
};

// With other settings: `set` maps the wire's dotted paths to values. Throws Unreadable, and
// dispatch::Malformed for settings that make no sense.
Changes WhatIf(Segment* segment, const dispatch::Conf::Values& set, const Window& window);

// The segment with this module's decisions in place of the recorded ones; `changes` says how they
// differ. Throws Unreadable, also where the segment is damaged or cut off.
std::string Accept(Segment* segment, const std::string& build, std::uint64_t policy_hash,
                   Changes* changes);

// The module's figures in words, a line each.
std::vector<std::string> Figures(const dispatch::Dispatcher& dispatcher,
                                 const dispatch::Site& site);

}  // namespace pearreach::capture

#endif  // PEARREACH_SRC_NODE_CAPTURE_REPLAY_H_
