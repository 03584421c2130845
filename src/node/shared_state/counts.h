// Usage counters that the fleet shares: how much each account uses, per node and over a sliding
// window, merged without a leader, with bounds on the error that hold at every moment. It owns this
// node's counters and the updates received from others; it has no socket and no clock. It must
// never count an update twice, never attribute the usage of an earlier process of a node to its
// successor, and never return bounds that exclude the true total.
//
// Each update carries the counter, the time and a rate ceiling: for one lease from that time on the
// sender counts no faster than the ceiling. A node that receives no further update can thus bound
// what the sender has counted since. The merge is that of grow-only counters, one per process
// (Shapiro, Preguica, Baquero, Zawirski 2011); the ceiling is a lease on a rate.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_COUNTS_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_COUNTS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace pearreach::shared_state {

// Unix time in microseconds; the clocks of two machines differ by at most `skew`.
using Micros = std::int64_t;

struct UsageOptions {
  int self = 0, nodes = 1;
  std::vector<double> quotas;     // per account: uses per second over all nodes
  Micros window = 10'000'000;     // of the estimates
  Micros lease = 1'000'000;       // validity of a ceiling that was sent
  Micros skew = 50'000;           // largest difference between two machines' clocks
  double burst = 0.25;            // seconds of its ceiling that a node may count at once
  double min_ceiling_factor = 4;  // lowest ceiling, in even shares of the quota
  double max_ceiling_factor = 4;  // highest ceiling, in whole quotas
};

// The counter of one node for one account.
struct UsageUpdate {
  int node = 0, account = 0;
  std::uint64_t process = 0;  // Unix ms of the process's start; a later process replaces it
  Micros at = 0;              // by the sender's clock
  std::uint64_t value = 0;    // counted by this process since its start
  double ceiling = 0;         // per second, for one lease from `at` on
};

// Usage over the window that ends now. The true total lies between `lower` and `upper`.
struct UsageEstimate {
  double lower = 0, upper = 0, estimate = 0;
  Micros oldest_age = 0;  // age of the oldest update used
  int unknown_nodes = 0;  // nodes without any update
};

class UsageCounters {
 public:
  static constexpr int kSlots = 16;  // samples kept per window

  UsageCounters(UsageOptions options, std::uint64_t process, Micros now);

  // Counts one use at this node. Returns false if its ceiling is reached and then sets `*wait` to
  // the time until there is room.
  bool TryCount(Micros now, int account, Micros* wait);
  // Makes the update to send now, to any node. From now on this process keeps to its ceiling.
  UsageUpdate MakeUpdate(Micros now, int account);
  // Returns false if the update is invalid or contains nothing new.
  bool Merge(Micros now, const UsageUpdate& update);
  UsageEstimate Estimate(Micros now, int account) const;

  std::uint64_t value(int account) const { return local_[static_cast<std::size_t>(account)].value; }
  double ceiling(Micros now, int account) const;  // in force, per second
  int accounts() const { return static_cast<int>(local_.size()); }
  double min_ceiling(int account) const;  // per second
  double max_ceiling(int account) const;  // per second
  // The latest update of another node; nullopt if there is none.
  std::optional<UsageUpdate> latest(int node, int account) const;
  std::size_t bytes() const;  // approximate memory use

 private:
  struct Sample {
    Micros at = 0;
    std::uint64_t value = 0;
    double ceiling = 0;
  };
  // Samples of one process: the latest, and the earliest of each time slot. Which samples are kept
  // depends only on the set of updates, not on their order.
  struct Series {
    std::uint64_t process = 0;  // 0: none
    Sample latest = {};
    std::vector<Sample> slot_samples = {};  // ascending by slot
    bool Add(const Sample& sample, Micros slot);
  };
  struct RemoteUsage {
    Series current, previous;  // of the node's process, and of the one before it
  };
  struct SentCeiling {
    Micros sent_at = 0;
    double ceiling = 0;
  };
  struct LocalUsage {
    std::uint64_t value = 0;
    double tokens = 0, rate = 0;  // uses allowed at once; ceiling at which the tokens refill
    Micros updated_at = 0;        // time of both
    double demand = 0;            // attempts per second, with exponential decay
    Micros demand_at = 0;
    std::deque<SentCeiling> sent_ceilings;  // within the lease
    Series series;
  };

  double BurstTokens(double ceiling) const;
  double TargetCeiling(Micros now, const LocalUsage& local, int account) const;
  void Refill(Micros now, int account);  // refills the tokens and applies the ceiling in force
  RemoteUsage& At(int node, int account) {
    return remote_[static_cast<std::size_t>(node) * local_.size() +
                   static_cast<std::size_t>(account)];
  }
  const RemoteUsage& At(int node, int account) const {
    return const_cast<UsageCounters*>(this)->At(node, account);
  }
  Micros slot() const { return options_.window / kSlots; }
  void AddProcessUsage(Micros now, const Series& series, Micros until, double after,
                       UsageEstimate* to) const;

  UsageOptions options_;
  std::uint64_t process_;
  std::vector<LocalUsage> local_;
  std::vector<RemoteUsage> remote_;
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_COUNTS_H_
