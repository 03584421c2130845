// Cluster membership from the point of view of one node. It uses SWIM (Das, Gupta, Motivala 2002):
// in each period it probes one node directly, then through helpers, then marks it as suspect and,
// after a timeout, as unreachable; changes are piggybacked on the probes. Lifeguard (Dadgar,
// Phillips, Currey 2018) adds three rules: a node that is slow itself waits longer, a suspicion
// times out sooner the more nodes confirm it, and a suspected node is informed first. The class
// owns this node's entries for all nodes; it has no socket, no clock and no outside state.
// Invariants: a process that was replaced never becomes alive again, and a node that receives
// nothing from any other node does not mark the others as unreachable.
#ifndef PEARREACH_SRC_NODE_MEMBERSHIP_MEMBERS_H_
#define PEARREACH_SRC_NODE_MEMBERSHIP_MEMBERS_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::membership {

using Micros = std::int64_t;  // on the caller's monotonic clock

enum class Status : std::uint8_t { kAlive, kSuspect, kUnreachable, kLeft };
const char* NameOf(Status status);  // the name in log lines

// The state of one node. `process` identifies the process that runs the node: the Unix time in
// milliseconds at which it bound the node's address, or 0 if the node has never been seen.
// `version` is the SWIM incarnation: it counts the refutations by that process.
struct Entry {
  std::uint64_t process = 0;
  std::uint32_t version = 0;
  Status status = Status::kUnreachable;
  bool operator==(const Entry&) const = default;
};
// Whether entry `a` replaces entry `b`. The order is total, so the result of merging entries does
// not depend on the order, the repetition or the loss of messages. The later process wins; for one
// process, kLeft wins, then the later version; for one version, the worse status wins.
bool Supersedes(const Entry& a, const Entry& b);

struct Options {  // durations in microseconds
  int self = 0, nodes = 1;
  Micros period = 500'000;          // one probe is started per period
  int indirect_probes = 3;          // helpers that probe a node on this node's behalf
  bool lifeguard = true;            // the rules of Lifeguard: see above
  double suspicion_multiplier = 4;  // minimum suspicion timeout: periods * max(1, log10(nodes))
  double max_suspicion_factor = 6;  // unconfirmed suspicion: this many times the minimum timeout
  std::size_t max_section_bytes = 160;  // upper bound on an encoded section
};

struct Outgoing {  // a section to send
  int to = 0;
  std::string section;
};

struct Change {
  Micros at = 0;
  int node = 0;
  Entry before, after;
  int reported_by = 0;  // the node that reported it first
};

// The number of other nodes by status, and this node's connectivity. Of the nodes in the last
// probes (Window, two rounds of a small fleet), `probed` counts all, `received_from` those that
// sent anything directly, and `acked_by` those that answered directly and thus receive from this
// node.
struct View {
  int alive = 0, suspect = 0, unreachable = 0, left = 0, unknown = 0;  // unknown: never seen
  int probed = 0, received_from = 0, acked_by = 0;
  bool isolated = false;  // nothing arrives from any node
  // The process was stopped, and no probe has been answered since.
  bool unconfirmed_after_stall = false;
  std::uint32_t digest = 0;
};

struct Counts {
  std::uint64_t probes = 0, failed_probes = 0, ping_requests = 0, suspicions = 0, refutations = 0,
                stalls = 0, malformed = 0,
                withheld_suspicions = 0;  // not raised because this node may itself be the cause
};

class Members {
 public:
  // Number of probes that the view covers: all other nodes in fleets of up to 12 nodes, and a
  // sample in larger ones.
  static int Window(int nodes) { return std::clamp(2 * (nodes - 1), 4, 24); }
  static constexpr int kMaxHealthScore = 8;                   // upper bound of health_score()
  static constexpr std::uint64_t kEpoch = 1'767'225'600'000;  // 2026-01-01, Unix ms

  Members(const Options& options, std::uint64_t seed, Micros now, std::uint64_t process);

  // The time of the next call to Tick. A call that is much later is taken as a stall of the
  // process.
  Micros next() const;
  void Tick(Micros now, std::vector<Outgoing>* out);
  // Handles a section from node `from`. `late`: a later datagram of the sender has already arrived,
  // so this one does not show that the sender is reachable now. Malformed sections are counted and
  // ignored.
  void Receive(Micros now, int from, std::uint64_t process, bool late, std::string_view section,
               std::vector<Outgoing>* out);
  // Notes that a datagram arrived from a replaced process of `from`. The next section to that node
  // contains its entry, from which the process learns that it was replaced.
  void NoteReplacedSender(int from);
  // The process is about to end: informs a few nodes, which forward the change to the others.
  void Leave(Micros now, std::vector<Outgoing>* out);

  std::vector<Change> TakeChanges();
  const Entry& entry(int node) const { return peers_[static_cast<std::size_t>(node)].entry; }
  Micros last_seen(int node) const { return peers_[static_cast<std::size_t>(node)].last_seen; }
  int last_seen_via(int node) const { return peers_[static_cast<std::size_t>(node)].last_seen_via; }
  // `View::probed` and `View::received_from` in the last report of that node.
  std::pair<int, int> reported_reachability(int node) const;
  View view(Micros now) const;
  const Counts& counts() const { return counts_; }
  std::uint64_t process() const { return entry(options_.self).process; }
  // Lifeguard's local health: 0 for a healthy node, higher for a slow one.
  int health_score() const { return health_score_; }
  std::size_t memory_bytes() const;  // approximate memory use

  // Minimum suspicion timeout, in periods: see docs/design-peers.md.
  static double MinSuspicionPeriods(const Options& options);

 private:
  struct Peer {
    Entry entry;
    Micros last_seen = 0;    // last evidence that it is alive; 0: none
    int last_seen_via = -1;  // the node that provided it
    Micros last_direct = 0;  // last datagram from the node itself that was not late
    Micros changed_at = 0;
    int transmissions = 1 << 20;   // how often the entry was sent since it changed
    bool digest_differs = false;   // its digest differs, so it needs entries from this node
    bool replaced_sender = false;  // it sends as a replaced process
    int reported_probed = 0, reported_reachable = 0;
    Micros suspected_at = 0, deadline = 0;
    std::vector<int> requested_entries;  // nodes unknown to it, by its last section
    std::vector<int> suspected_by;       // nodes that suspect it, including this one
  };
  struct Probe {
    std::uint32_t number = 0;
    int target = 0;
    std::uint64_t process = 0;  // of the target, when the probe started
    Micros sent_at = 0, resend_at = 0, direct_deadline = 0, deadline = 0;
    int pings = 1;
    bool is_second = false;  // the previous probe of the target failed
    bool to_unreachable =
        false;  // one attempt to reach an unreachable node; not escalated to helpers
    bool indirect = false, acked_directly = false, acked = false, slow = false;
    int nacks = 0, helpers = 0;
  };
  struct Relay {  // a probe made for another node
    std::uint32_t number = 0, requester_probe = 0;
    int target = 0, requester = 0;
    Micros deadline = 0, nack_at = 0;
  };
  struct Result {  // of a finished probe
    Micros at = 0;
    int target = 0;
    bool received = false, acked = false;
  };

  Peer& PeerAt(int node) { return peers_[static_cast<std::size_t>(node)]; }
  bool Valid(int node) const { return node >= 0 && node < options_.nodes; }
  void DetectStall(Micros now);
  void OnPingRequest(Micros now, int from, std::uint32_t probe, int target,
                     std::vector<Outgoing>* out);
  void OnAck(Micros now, int from, std::uint32_t number, int target, std::vector<Outgoing>* out);
  void StartPeriod(Micros now, std::vector<Outgoing>* out);
  void FinishProbe(Micros now, const Probe& probe, std::vector<Outgoing>* out);
  void Merge(Micros now, int node, const Entry& update, int reporter, int from);
  void SetEntry(Micros now, int node, const Entry& entry, int reporter);
  void Suspect(Micros now, int node);
  void AddSuspicion(int node, int reporter);
  void SetDeadline(Peer* peer);
  void AdjustHealthScore(int delta);
  bool IsIsolated(Micros now) const;
  void StartProbe(Micros now, int target, bool is_second, std::vector<Outgoing>* out);
  int NextTarget();
  std::vector<int> RandomAlive(int count, int excluded);
  void Send(Micros now, int to, int kind, std::uint32_t probe, int target,
            std::vector<Outgoing>* out);
  std::uint32_t HashOf(int node) const;

  Options options_;
  int window_;
  std::mt19937_64 random_;
  std::vector<Peer> peers_;
  std::vector<int> probe_order_;  // targets of the current round
  std::size_t next_in_order_ = 0, sync_cursor_ = 0;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  std::deque<Result> results_;
  std::vector<Change> changes_;
  std::uint32_t last_probe_ = 0, digest_ = 0;
  Micros next_period_ = 0, last_received_ = 0, started_ = 0;
  Micros resumed_at_ = 0;
  bool unconfirmed_after_stall_ = false, leaving_ = false;
  int health_score_ = 0;
  Counts counts_;
};

}  // namespace pearreach::membership

#endif  // PEARREACH_SRC_NODE_MEMBERSHIP_MEMBERS_H_
