// Counts that the fleet shares: what each account uses, by node and over a window, merged without a
// leader, with a bound on the error that is computed at every moment. It owns what this node has
// counted and what it heard of the others' counts; it has no socket and no clock, must never count
// a word twice or a replaced process's use as its successor's, and never give a bound that the true
// total may leave.
//
// Each word of a node carries its value, the moment, and a ceiling: for one lease from then on it
// counts no faster, and it holds itself to that. So who hears nothing knows what the other may have
// counted meanwhile. Source of the merge: grow-only counters (Shapiro, Preguica, Baquero, Zawirski
// 2011), one per process; the ceiling is a lease on a rate.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_COUNTS_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_COUNTS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace pearreach::shared_state {

// Unix time, which all machines of the platform read from one clock, to within `skew`.
using Micros = std::int64_t;

struct UsageOptions {
  int self = 0, nodes = 1;
  std::vector<double> quotas;     // of each account: a second, over all nodes
  Micros window = 10'000'000;     // that readings are about
  Micros lease = 1'000'000;       // of a ceiling that was said
  Micros skew = 50'000;           // two machines' clocks differ by no more
  double burst = 0.25;            // seconds of its ceiling that a node may count at once
  double min_ceiling_factor = 4;  // a ceiling is never under so many even parts of the share
  double max_ceiling_factor = 4;  // nor over so many shares
};

// What one node said of one account.
struct UsageUpdate {
  int node = 0, account = 0;
  std::uint64_t process = 0;  // Unix ms of its start; a later one replaces it
  Micros at = 0;              // by the sender
  std::uint64_t value = 0;    // counted by this process so far
  double ceiling = 0;         // a second, for one lease from `at` on
};

// Use over the window that ends now. The true total lies between `least` and `most`.
struct UsageEstimate {
  double lower = 0, upper = 0, estimate = 0;
  Micros oldest_age = 0;  // age of the oldest word that it rests on
  int unknown_nodes = 0;  // nodes of which there is no word at all
};

class UsageCounters {
 public:
  static constexpr int kSlots = 16;  // samples kept of a window

  UsageCounters(UsageOptions options, std::uint64_t process, Micros now);

  // Counts one use at this node. False: its ceiling is reached; `*wait`: until there is room.
  bool TryCount(Micros now, int account, Micros* wait);
  // The word to say now, to whomever; from now on this process keeps what it says.
  UsageUpdate MakeUpdate(Micros now, int account);
  // False: nothing new in it.
  bool Merge(Micros now, const UsageUpdate& word);
  UsageEstimate Estimate(Micros now, int account) const;

  std::uint64_t value(int account) const { return own_[static_cast<std::size_t>(account)].value; }
  double ceiling(Micros now, int account) const;  // in force, a second
  int accounts() const { return static_cast<int>(own_.size()); }
  double min_ceiling(int account) const;
  double max_ceiling(int account) const;
  // The latest word held of another node; none: never heard.
  std::optional<UsageUpdate> latest(int node, int account) const;
  std::size_t bytes() const;  // of memory, about

 private:
  struct Sample {
    Micros at = 0;
    std::uint64_t value = 0;
    double ceiling = 0;
  };
  // What is held of one process: the latest sample, and the first of each slot of time. Which ones
  // these are depends on the words alone, not on their order.
  struct Series {
    std::uint64_t process = 0;  // 0: none
    Sample latest = {};
    std::vector<Sample> firsts = {};  // by slot
    bool Add(const Sample& sample, Micros slot);
  };
  struct Other {
    Series now, before;
  };
  struct Said {
    Micros at = 0;
    double ceiling = 0;
  };
  struct Own {
    std::uint64_t value = 0;
    double tokens = 0, rate = 0;  // what may be counted at once; the ceiling it fills by
    Micros at = 0;                // of both
    double demand = 0;            // tries a second, fading
    Micros demand_at = 0;
    std::deque<Said> said;  // within the lease
    Series series;
  };

  double Cap(double ceiling) const;
  double Target(Micros now, const Own& own, int account) const;
  void Settle(Micros now, int account);  // refills, and takes the ceiling in force
  Other& At(int node, int account) {
    return others_[static_cast<std::size_t>(node) * own_.size() +
                   static_cast<std::size_t>(account)];
  }
  const Other& At(int node, int account) const {
    return const_cast<UsageCounters*>(this)->At(node, account);
  }
  Micros slot() const { return options_.window / kSlots; }
  void AddSeries(Micros now, const Series& series, Micros until, double after,
                 UsageEstimate* to) const;

  UsageOptions options_;
  std::uint64_t process_;
  std::vector<Own> own_;
  std::vector<Other> others_;
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_COUNTS_H_
