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
bool Later(const Entry& a, const Entry& b);

struct Options {
  int self = 0, nodes = 1;
  Micros period = 500'000;  // a probe each
  int helpers = 3;          // asked to probe in our stead
  bool lifeguard = true;    // patience by one's own slowness, and suspicion that others shorten
  double suspicion = 4;     // periods, times log10 of the nodes (1 at least), at least
  double doubt = 6;         // times as long where nobody shares a suspicion (Lifeguard)
  std::size_t bytes = 160;  // of a section at most
};

struct Out {
  int to = 0;
  std::string section;
};

struct Change {
  Micros at = 0;
  int node = 0;
  Entry before, after;
  int by = 0;  // who said so; the node itself or this one: first hand
};

// What this node hears. Over the last probes, two rounds of a small fleet (Window): how many nodes
// were asked, from how many of them anything came directly, and how many answered directly, which
// says that they hear this one.
struct View {
  int alive = 0, suspect = 0, unreachable = 0, left = 0, unknown = 0;  // others; unknown: never
  int asked = 0, heard = 0, heard_by = 0;
  bool hears_nobody = false;
  bool doubts_itself = false;  // it was stopped, and nobody has answered since
  std::uint32_t digest = 0;
};

struct Counts {
  std::uint64_t probes = 0, failed = 0, asks = 0, suspicions = 0, refutations = 0, stalls = 0,
                malformed = 0, held_back = 0;  // suspicions not raised: it doubted itself
};

class Members {
 public:
  // Probes that the view is made of: all others are among them up to 12 nodes, a sample beyond.
  static int Window(int nodes) { return std::clamp(2 * (nodes - 1), 4, 24); }
  static constexpr int kMaxSlow = 8;  // the node's own slowness is counted up to here
  static constexpr std::uint64_t kEpoch = 1'767'225'600'000;  // 2026-01-01, Unix ms

  Members(const Options& options, std::uint64_t seed, Micros now, std::uint64_t process);

  Micros next() const;  // when Tick has something to do
  void Tick(Micros now, std::vector<Out>* out);
  // A section that node `from` sent. `late`: words that it sent later have come already, so it
  // tells nothing of the sender's present. What cannot be read is counted and passed over.
  void Hear(Micros now, int from, std::uint64_t process, bool late, std::string_view section,
            std::vector<Out>* out);
  // A word of a process of that node that was replaced: it will be told.
  void Refused(int from);
  // The process is about to end: tells some, who tell the rest.
  void Leave(Micros now, std::vector<Out>* out);

  std::vector<Change> TakeChanges();
  const Entry& entry(int node) const { return peers_[static_cast<std::size_t>(node)].entry; }
  Micros heard_at(int node) const { return peers_[static_cast<std::size_t>(node)].heard; }
  int heard_from(int node) const { return peers_[static_cast<std::size_t>(node)].heard_from; }
  // What that node last said of itself: of so many asked it hears so many.
  std::pair<int, int> says(int node) const;
  View view(Micros now) const;
  const Counts& counts() const { return counts_; }
  std::uint64_t process() const { return entry(options_.self).process; }
  int slow() const { return slow_; }
  std::size_t bytes() const;  // of memory, about

  // Stated bounds, in periods: docs/design-peers.md.
  static double SuspicionLeast(const Options& options);

 private:
  struct Peer {
    Entry entry;
    Micros heard = 0;     // last word of it; 0: never
    int heard_from = -1;  // from whom
    Micros direct = 0;    // last word from itself that was not late
    Micros changed = 0;
    int sent = 1 << 20;    // times that the entry has gone out since it changed
    bool differs = false;  // its digest was another one: our entries are for it
    bool refused = false;  // its words are of a replaced process
    int asked = 0, heard_of = 0;
    Micros suspected = 0, deadline = 0;
    std::vector<int> wants;     // nodes that it has never heard of, as it said last
    std::vector<int> suspects;  // who suspects it, this node too
  };
  struct Probe {
    std::uint32_t number = 0;
    int target = 0;
    std::uint64_t process = 0;  // of the target, as it was known then
    Micros sent = 0, again_at = 0, direct_until = 0, until = 0;
    int pings = 1;
    bool second = false;  // the one before it failed
    bool lost = false;    // of one that is unreachable: a try, not more
    bool asked = false, direct = false, answered = false, slow = false;
    int nacks = 0, helpers = 0;
  };
  struct Relay {  // a probe made for another node
    std::uint32_t number = 0, theirs = 0;
    int target = 0, asker = 0;
    Micros until = 0, nack_at = 0;
  };
  struct Result {
    Micros at = 0;
    int target = 0;
    bool heard = false, answered = false;
  };

  Peer& At(int node) { return peers_[static_cast<std::size_t>(node)]; }
  bool Valid(int node) const { return node >= 0 && node < options_.nodes; }
  void Wake(Micros now);
  void OnPingRequest(Micros now, int from, std::uint32_t probe, int about, std::vector<Out>* out);
  void OnAck(Micros now, int from, std::uint32_t number, int about, std::vector<Out>* out);
  void Period(Micros now, std::vector<Out>* out);
  void Resolve(Micros now, const Probe& probe, std::vector<Out>* out);
  void Learn(Micros now, int node, const Entry& entry, int by, int from);
  void Adopt(Micros now, int node, const Entry& entry, int by);
  void Suspect(Micros now, int node);
  void Share(int node, int by);
  void SetDeadline(Peer* peer);
  void Slower(int by);
  bool HearsNobody(Micros now) const;
  void Begin(Micros now, int target, bool second, std::vector<Out>* out);
  int NextTarget();
  std::vector<int> Some(int count, int but);
  void Say(Micros now, int to, int kind, std::uint32_t probe, int about, std::vector<Out>* out);
  std::uint32_t HashOf(int node) const;

  Options options_;
  int window_;
  std::mt19937_64 random_;
  std::vector<Peer> peers_;
  std::vector<int> ring_;  // the order of this round's probes
  std::size_t at_ = 0, cursor_ = 0;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  std::deque<Result> results_;
  std::vector<Change> changes_;
  std::uint32_t last_probe_ = 0, digest_ = 0;
  Micros next_period_ = 0, last_any_ = 0, started_ = 0;
  Micros woke_ = 0;
  bool doubts_ = false, leaving_ = false;
  int slow_ = 0;
  Counts counts_;
};

}  // namespace pearreach::membership

#endif  // PEARREACH_SRC_NODE_MEMBERSHIP_MEMBERS_H_
