// Membership: which nodes of the fleet are there, as one node sees it. SWIM (Das, Gupta,
// Motivala 2002): each period one node is probed, then asked for through others, then suspected,
// and after a time unreachable; what changes rides on the probes. Lifeguard (Dadgar, Phillips,
// Currey 2018): a node that is itself slow grows more patient, suspicion ends sooner the more
// nodes share it, and who is suspected is told first. It owns what the node believes of the others;
// it has no socket, no clock and no state outside, must never revive a process that has been
// replaced, and never take "I hear nobody" for "they are gone".
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

using Micros = std::int64_t;  // on the caller's clock, which does not run backwards

enum class Status : std::uint8_t { kAlive, kSuspect, kUnreachable, kLeft };
const char* NameOf(Status status);

// What is held of one node. `process`: its incarnation, Unix milliseconds of when the process took
// the node's address, 0: never heard of. `version` counts that process's own refutations.
struct Entry {
  std::uint64_t process = 0;
  std::uint32_t version = 0;
  Status status = Status::kUnreachable;
  bool operator==(const Entry&) const = default;
};
// Whether `a` is later word than `b`. A total order, so that the merge of entries, which is the
// later one, does not depend on the order, number or loss of words: a later process; of one
// process, that it has left; else its later version; of one version, the graver status.
bool Supersedes(const Entry& a, const Entry& b);

struct Options {
  int self = 0, nodes = 1;
  Micros period = 500'000;  // a probe each
  int indirect_probes = 3;  // asked to probe in our stead
  bool lifeguard = true;    // patience by one's own slowness, and suspicion that others shorten
  double suspicion_multiplier = 4;      // periods, times log10 of the nodes (1 at least), at least
  double max_suspicion_factor = 6;      // times as long where nobody shares a suspicion (Lifeguard)
  std::size_t max_section_bytes = 160;  // of a section at most
};

struct Outgoing {
  int to = 0;
  std::string section;
};

struct Change {
  Micros at = 0;
  int node = 0;
  Entry before, after;
  int reported_by = 0;  // who said so; the node itself or this one: first hand
};

// What this node hears. Over the last probes, two rounds of a small fleet (Window): how many nodes
// were asked, from how many of them anything came directly, and how many answered directly, which
// says that they hear this one.
struct View {
  int alive = 0, suspect = 0, unreachable = 0, left = 0, unknown = 0;  // others; unknown: never
  int probed = 0, received_from = 0, acked_by = 0;
  bool isolated = false;
  bool unconfirmed_after_stall = false;  // it was stopped, and nobody has answered since
  std::uint32_t digest = 0;
};

struct Counts {
  std::uint64_t probes = 0, failed_probes = 0, ping_requests = 0, suspicions = 0, refutations = 0,
                stalls = 0, malformed = 0,
                withheld_suspicions = 0;  // suspicions not raised: it doubted itself
};

class Members {
 public:
  // Probes that the view is made of: all others are among them up to 12 nodes, a sample beyond.
  static int Window(int nodes) { return std::clamp(2 * (nodes - 1), 4, 24); }
  static constexpr int kMaxHealthScore = 8;  // the node's own slowness is counted up to here
  static constexpr std::uint64_t kEpoch = 1'767'225'600'000;  // 2026-01-01, Unix ms

  Members(const Options& options, std::uint64_t seed, Micros now, std::uint64_t process);

  Micros next() const;  // when Tick has something to do
  void Tick(Micros now, std::vector<Outgoing>* out);
  // A section that node `from` sent. `late`: words that it sent later have come already, so it
  // tells nothing of the sender's present. What cannot be read is counted and passed over.
  void Receive(Micros now, int from, std::uint64_t process, bool late, std::string_view section,
               std::vector<Outgoing>* out);
  // A word of a process of that node that was replaced: it will be told.
  void NoteReplacedSender(int from);
  // The process is about to end: tells some, who tell the rest.
  void Leave(Micros now, std::vector<Outgoing>* out);

  std::vector<Change> TakeChanges();
  const Entry& entry(int node) const { return peers_[static_cast<std::size_t>(node)].entry; }
  Micros last_seen(int node) const { return peers_[static_cast<std::size_t>(node)].last_seen; }
  int last_seen_via(int node) const { return peers_[static_cast<std::size_t>(node)].last_seen_via; }
  // What that node last said of itself: of so many asked it hears so many.
  std::pair<int, int> reported_reachability(int node) const;
  View view(Micros now) const;
  const Counts& counts() const { return counts_; }
  std::uint64_t process() const { return entry(options_.self).process; }
  int health_score() const { return health_score_; }
  std::size_t memory_bytes() const;  // of memory, about

  // Stated bounds, in periods: docs/design-peers.md.
  static double MinSuspicionPeriods(const Options& options);

 private:
  struct Peer {
    Entry entry;
    Micros last_seen = 0;    // last word of it; 0: never
    int last_seen_via = -1;  // from whom
    Micros last_direct = 0;  // last word from itself that was not late
    Micros changed_at = 0;
    int transmissions = 1 << 20;   // times that the entry has gone out since it changed
    bool digest_differs = false;   // its digest was another one: our entries are for it
    bool replaced_sender = false;  // its words are of a replaced process
    int reported_probed = 0, reported_reachable = 0;
    Micros suspected_at = 0, deadline = 0;
    std::vector<int> requested_entries;  // nodes that it has never heard of, as it said last
    std::vector<int> suspected_by;       // who suspects it, this node too
  };
  struct Probe {
    std::uint32_t number = 0;
    int target = 0;
    std::uint64_t process = 0;  // of the target, as it was known then
    Micros sent_at = 0, resend_at = 0, direct_deadline = 0, deadline = 0;
    int pings = 1;
    bool is_second = false;       // the one before it failed
    bool to_unreachable = false;  // of one that is unreachable: a try, not more
    bool indirect = false, acked_directly = false, acked = false, slow = false;
    int nacks = 0, helpers = 0;
  };
  struct Relay {  // a probe made for another node
    std::uint32_t number = 0, requester_probe = 0;
    int target = 0, requester = 0;
    Micros deadline = 0, nack_at = 0;
  };
  struct Result {
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
  void Merge(Micros now, int node, const Entry& entry, int reporter, int from);
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
  std::vector<int> probe_order_;  // the order of this round's probes
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
