// Judgements on match workers that the fleet shares: silent, dead, failing, slow, well again, each
// with who saw it, when and of which start of the worker. It owns what this node has seen of each
// worker and what others said of theirs; it has no socket and no clock, must never let one zone's
// hearsay take a worker out of use, nor hearsay more than a stated share of them, and never put
// hearsay before this node's own fresh evidence.
//
// The merge of two words of one witness on one worker is the later one, by process and number: it
// does not depend on their order, number or loss. A word counts for the start of the worker that it
// names, and fades by age. Who may try a worker that is out is drawn alike at all nodes: one at a
// time, from those alive.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pearreach::shared_state {

using Micros = std::int64_t;  // Unix time

enum class Verdict : std::uint8_t { kWell, kSlow, kFailing, kSilent, kDead };
const char* NameOf(Verdict verdict);

struct JudgementsOptions {
  int self = 0, nodes = 1, zone = 0;
  int zones = 1;                    // that the fleet's nodes are in
  Micros taken_within = 500'000;    // a job that no word is heard of for so long: silent
  Micros silent_after = 2'500'000;  // the same while jobs run there
  Micros fade = 10'000'000;         // a word counts for so long
  Micros fresh = 1'000'000;         // own evidence of life outweighs hearsay for so long
  Micros trial_every = 1'000'000;   // one node at a time may try for so long
  int witnesses = 2;                // that say so, at least, this node being one of them or not
  double most_out = 0.3;            // of the workers of a kind, by hearsay
  double failing = 0.3, slow = 4;   // shares of jobs that fail; running time over what is usual
  int least_jobs = 8;               // that either rests on
};

// A worker is named by a hash of its id, the same at every node.
using WorkerKey = std::uint32_t;

struct Opinion {
  WorkerKey worker = 0;
  std::int64_t start = 0;  // of the worker's process that it is about, Unix ms; 0: long ago
  int witness = 0, zone = 0;
  std::uint64_t process = 0;  // of the witness
  std::uint32_t number = 0;   // a later one of one process replaces it
  Verdict verdict = Verdict::kWell;
  Micros at = 0;  // when it was seen
  bool operator==(const Opinion&) const = default;
};
// Whether `a` is the later word of one witness on one worker.
bool Later(const Opinion& a, const Opinion& b);

// What stands about a worker.
struct Standing {
  WorkerKey worker = 0;
  bool out = false;    // of use, by what others say
  bool trial = false;  // but this node is to try it now
  bool cold = false;   // a process that died, though the list does not say so yet
  Verdict verdict = Verdict::kWell;
  Micros at = 0;                    // of the latest word that it rests on
  std::vector<int> witnesses = {};  // nodes
  bool operator==(const Standing&) const = default;
};

class Judgements {
 public:
  enum class End { kServed, kFailed, kNoConnection, kReset, kTimedOut };

  Judgements(JudgementsOptions options, std::uint64_t process);

  // The list's word: workers not named are forgotten with what was said of them.
  void Listed(WorkerKey worker, int kind, std::int64_t start, bool in_service);
  void Unlisted(WorkerKey worker);

  // This node's own evidence.
  void Sent(Micros now, WorkerKey worker);
  void Heard(Micros now, WorkerKey worker);
  // `slowness`: running time over what is usual there; 0: not known.
  void Ended(Micros now, WorkerKey worker, End end, double slowness);

  // False: nothing new in it.
  bool Hear(Micros now, const Opinion& opinion);
  // Looks at all workers, `alive` being the other nodes that are; what changed since the last look.
  std::vector<Standing> Look(Micros now, const std::vector<int>& alive);
  // Words to say, those that fewest have heard first; each counts as said once.
  std::vector<Opinion> Say(Micros now, std::size_t most);

  Verdict own(WorkerKey worker) const;
  Micros own_at(WorkerKey worker) const;  // when that was seen; 0: nothing was
  std::vector<Opinion> opinions(WorkerKey worker) const;
  const std::map<WorkerKey, Standing>& standing() const { return standing_; }
  std::size_t workers() const { return workers_.size(); }
  std::size_t bytes() const;

 private:
  struct Worker {
    bool listed = false, in_service = false;
    int kind = 0;
    std::int64_t start = 0;
    // Own evidence of this start.
    Micros heard = 0, unheard_since = 0;  // the first send since the last word
    Micros busy_since = 0;                // jobs run there without a break
    int out = 0, refused = 0, jobs = 0;
    double failures = 0, slowness = 1;
    Micros died = 0;
    Opinion mine;
    std::map<int, Opinion> others;  // by witness
    std::map<int, int> said;        // by witness: how often it has gone out
  };

  void Judge(Micros now, WorkerKey key, Worker* w, Verdict verdict);
  void Renew(Worker* w);
  int Enough() const;  // times that a word goes out from each node
  int TrierOf(Micros now, WorkerKey worker, const std::vector<int>& alive) const;

  JudgementsOptions options_;
  std::uint64_t process_;
  std::uint32_t number_ = 0;
  std::map<WorkerKey, Worker> workers_;
  std::map<WorkerKey, Standing> standing_;  // those that are not as if nothing were said
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_
