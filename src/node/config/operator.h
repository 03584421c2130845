// The operator's own file: what the platform's configuration does not know. XML after
// deploy/pearreach.xsd, which is part of the program. It owns the reading and the checking; it must
// never reach for another file or the network, and never carry on with half a file.
#ifndef PEARREACH_SRC_NODE_CONFIG_OPERATOR_H_
#define PEARREACH_SRC_NODE_CONFIG_OPERATOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/diagnostics/log.h"
#include "common/event_loop/io.h"

namespace pearreach {

// <capture>: docs/capture.md.
struct CaptureSettings {
  std::string folder;
  std::size_t memory = 2 << 20;              // bytes that may wait for the disk
  std::uint64_t segment_bytes = 16 << 20;    // stored; then a new segment begins
  Micros segment_age = 600 * kSecond;        // likewise
  std::uint64_t total_bytes = 256ull << 20;  // of all segments of the node; the oldest go first
  Micros flush_every = kSecond;              // a kill loses no more than this
  Micros retry_every = 5 * kSecond;          // after a failure of the disk; not in the file
  bool operator==(const CaptureSettings&) const = default;
};

// <jobs>: docs/durable-jobs.md. Read at the start only.
struct JobsSettings {
  std::string store;  // the file
  Micros lease = 10 * kSecond;
  Micros keep = 3600 * kSecond;
  int recovered_at_once = 64;
  int in_hand = 4096;  // durable jobs that the module has at most; others wait in the store
  std::size_t in_hand_bytes = 64u << 20;       // of their bodies
  std::vector<std::string> callback_prefixes;  // of URLs, beside the loopback's
  bool operator==(const JobsSettings&) const = default;
};

// <knowledge>: docs/knowledge.md. Read at the start only.
struct KnowledgeSettings {
  std::string folder;
  Micros every = 5 * kSecond;  // between two writings
  std::string key_file;        // empty: unsigned
  bool operator==(const KnowledgeSettings&) const = default;
};

// <handover>: docs/hand-over.md. Read at the start only.
struct HandOverSettings {
  std::string path;  // of the socket between the two processes
  bool operator==(const HandOverSettings&) const = default;
};

// <bans>: docs/operators-door.md. Read at the start only.
struct BanSettings {
  std::string file;  // of the ids detached at the operators' door
  bool operator==(const BanSettings&) const = default;
};

// <peers>: docs/peers.md. Read at the start only.
struct PeerSettings {
  Micros period = 500 * kMs;         // between two probes
  double bytes_per_second = 2000;    // that the node sends to others at most
  int lines_per_minute = 60;         // of the log, about other nodes
  Micros view_every = 10 * kSecond;  // between two lines with what this node hears
  bool operator==(const PeerSettings&) const = default;
};

// <shared>: docs/shared-state.md. Read at the start only; needs <peers>.
struct SharedSettings {
  Micros every = 250 * kMs;      // between two words to others
  Micros lease = 2 * kSecond;    // of a part that was lent
  Micros window = 10 * kSecond;  // that counts are about
  Micros skew = 50 * kMs;        // two machines' clocks differ by no more
  double floor = 0.5;            // of an even part: never lent
  double repeats = 0;            // clients' own retries a second, all nodes; 0: without a limit
  bool counts = true, judgements = true;
  bool operator==(const SharedSettings&) const = default;
};

// <zones>: docs/zones.md. Read at the start only; needs <shared>.
struct ZoneSettings {
  struct Region {
    std::string name;
    std::vector<std::string> zones;
    int line = 0;  // of the file
    bool operator==(const Region&) const = default;
  };
  std::string orders;           // the file of operators' orders; empty: they end with the process
  Micros every = 250 * kMs;     // between two words to others, in trouble
  double least_left = 0.4;      // of the whole worth, that must be left without a zone
  Micros trial_wait = kSecond;  // after a zone was left, before it is tried
  Micros hold = kSecond;        // a step of its return lasts so long at least
  std::vector<Region> regions;
  bool operator==(const ZoneSettings&) const = default;
};

// <rules>: docs/rules.md. Read at the start only; needs <peers>.
struct RuleSettings {
  std::vector<int> voters;      // empty: the first five, three or one node
  Micros within = 5 * kSecond;  // T
  Micros every = 0;             // between two rounds of questions; 0: by the number of nodes
  Micros ready = 3 * kSecond;   // a node is ready so long after its start at the latest
  std::string keep;             // a file; empty: nothing outlives the process
  int line = 0;                 // of the file
  bool operator==(const RuleSettings&) const = default;
};

struct OperatorSettings {
  LogFormat log_format = LogFormat::kText;
  std::optional<CaptureSettings> capture;      // none: off
  std::optional<JobsSettings> jobs;            // none: off
  std::optional<KnowledgeSettings> knowledge;  // none: off
  std::optional<HandOverSettings> handover;    // none: off
  std::optional<PeerSettings> peers;           // none: off
  std::optional<SharedSettings> shared;        // none: off
  std::optional<ZoneSettings> zones;           // none: off
  std::optional<RuleSettings> rules;           // none: off
  std::optional<BanSettings> bans;             // none: bans end with the process
};

// Throws dispatch::Malformed with "NAME:LINE: what".
OperatorSettings ReadOperatorFile(std::string_view xml, const std::string& name);
OperatorSettings LoadOperatorFile(const std::string& path);

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_CONFIG_OPERATOR_H_
