// Makes captures out of captures and of the simulator's recordings: a part, one without names, one
// instance of a tap. It owns nothing; it must never hand out a capture of which it has not seen
// that it replays as it should.
#ifndef PEARREACH_SRC_NODE_CAPTURE_EDIT_H_
#define PEARREACH_SRC_NODE_CAPTURE_EDIT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "node/capture/replay.h"
#include "node/capture/segment.h"

namespace pearreach::capture {

// The turns of a window as a segment that begins with a checkpoint. Throws Unreadable where this
// build decides otherwise before the window: its state there would not be the recorded one.
std::string Cut(Segment* segment, const Window& window);

struct Anonymised {
  std::string bytes;
  // Jobs carry subjects' keys, in whose order workers stand: their identities had to stay, and who
  // knows a worker's name can tell it among them.
  bool identities_kept = false;
};

// Names and ids replaced by keyed hashes (BLAKE2b): equal ones stay equal, and no one without the
// key can try names. Settings that the module does not use, marks and peer messages' bytes go.
Anonymised Anonymise(const std::string& path, const std::string& key);

struct Imported {
  std::string bytes;
  std::uint64_t turns = 0;
  std::uint64_t log_lines_lost = 0;  // lines of an older module that cannot be read back
  bool identical = true;             // this build's module decided as recorded
};

// One life of one instance in a recording of `lbsim --tap`; lives count from 1. Throws Unreadable.
Imported ImportTap(std::string_view tap, const std::string& name, std::uint64_t instance,
                   std::uint64_t life, const std::string& build, std::uint64_t policy_hash);

}  // namespace pearreach::capture

#endif  // PEARREACH_SRC_NODE_CAPTURE_EDIT_H_
