// The state that this node shares with the fleet, as one machine: counts of what accounts use,
// budgets, judgements on match workers, and the words about them. Pure: no socket, no clock; what
// it is told and when decides what it says. It owns the three machines and the order in which their
// words go out; it must never act on a word beyond what each of them allows.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_SHARED_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_SHARED_H_

#include <string>
#include <string_view>
#include <vector>

#include "node/shared_state/words.h"

namespace pearreach::shared_state {

struct SharedStateOptions {
  int self = 0, nodes = 1, zone = 0, zones = 1;
  std::vector<double> quotas;      // accounts': a second, all nodes; the first budgets are theirs
  double retry_limit = 0;          // clients' own retries a second, all nodes; 0: without a limit
  Micros send_interval = 250'000;  // words to some others
  int fanout = 8;                  // to so many at a time
  std::size_t max_message_bytes = 200;  // of a word at most
  Micros lease = 2'000'000;             // of grants; of a ceiling half as long
  Micros window = 10'000'000;           // of counts
  Micros skew = 50'000;                 // two machines' clocks differ by no more
  double floor = 0.5;                   // of an even part: never lent
  WorkerHealthOptions health;           // self, nodes and zones are the ones above
};

struct SharedStateStats {
  std::uint64_t messages_sent = 0, malformed = 0, updates_merged = 0, requests_sent = 0,
                grants_sent = 0, grants_received = 0, entries_omitted = 0, rejected_by_ceiling = 0,
                rejected_by_retry_limit = 0;
};

class SharedState {
 public:
  struct OutgoingMessage {
    int to = 0;
    std::string section;
  };
  // What is decided of a job before the module sees it.
  struct Admission {
    bool rejected = false;
    bool over_quota = false;
    Micros retry_after = 0;  // refused: until there is room
  };

  SharedState(SharedStateOptions options, std::uint64_t process, std::uint64_t seed, Micros now);

  Admission Admit(Micros now, int account, bool is_repeat);

  // Words that are due. `alive`: the other nodes that are, by the membership.
  Micros next_tick() const { return next_; }
  void Tick(Micros now, const std::vector<int>& alive, std::vector<OutgoingMessage>* out);
  void OnMessage(Micros now, int from, std::uint64_t process, std::string_view section,
                 std::vector<OutgoingMessage>* out);

  UsageCounters& usage() { return counts_; }
  Budgets& budgets() { return budgets_; }
  WorkerHealth& health() { return judgements_; }
  const UsageCounters& usage() const { return counts_; }
  const Budgets& budgets() const { return budgets_; }
  const WorkerHealth& health() const { return judgements_; }
  const SharedStateStats& stats() const { return figures_; }
  std::uint64_t process() const { return process_; }
  // Another node's whole, heard within the last words, that differs from this one's.
  bool limits_differ() const { return differs_; }

 private:
  void Say(Micros now, int to, std::vector<QuotaRequest> asks, std::vector<Grant> grants,
           std::vector<OutgoingMessage>* out);

  SharedStateOptions options_;
  std::uint64_t process_;
  UsageCounters counts_;
  Budgets budgets_;
  WorkerHealth judgements_;
  SharedStateStats figures_;
  Micros next_ = 0;
  std::size_t ring_ = 0;     // whom words go to next
  std::size_t account_ = 0;  // which account is said first
  std::size_t relay_ = 0;    // whose counts are passed on next
  bool differs_ = false;
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_SHARED_H_
