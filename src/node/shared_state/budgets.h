// Budgets: rates that the whole fleet must not exceed together. Each node has an allocation that it
// may spend without contacting any other node; allocations move to where the demand is through
// grants, which may be lost, duplicated or delayed. It owns this node's allocation of each budget
// and what it has lent; it has no socket and no clock. The allocations of all nodes must never add
// up to more than the limit: a lost grant reduces the usable rate and never raises it.
//
// The scheme is escrow with bounded counters (O'Neil 1986; Balegas et al. 2015) and leases (Gray,
// Cheriton 1989). Each node is entitled to an even share of the limit. A fraction of that share,
// the floor, is never lent; the rest may be lent for one lease at a time. Lent quota is deducted
// from the lender from before the grant is sent until the lease has ended on every clock, whether
// or not the grant arrived. A new process does not know what its predecessor had lent: it has only
// its floor until all those leases have ended. It rejects grants made to its predecessor.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_BUDGETS_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_BUDGETS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace pearreach::shared_state {

using Micros = std::int64_t;  // Unix time; the clocks of two machines differ by at most `skew`

struct BudgetsOptions {
  int self = 0, nodes = 1;
  std::vector<double> limits;         // per budget: amount per second over all nodes
  double floor = 0.5;                 // fraction of the even share that is never lent
  Micros lease = 2'000'000;           // of a grant
  Micros skew = 50'000;               // largest difference between two machines' clocks
  double burst = 1;                   // seconds of its allocation that a node may save, at least
  double headroom = 1.25;             // a node keeps this multiple of its demand
  Micros request_interval = 500'000;  // per budget, while the node wants more
};

// A node requests more of a budget.
struct QuotaRequest {
  int budget = 0;
  std::int64_t amount = 0;  // thousandths per second
};
// Lends `amount` of the sender's allocation to the receiver until `expires_at`. A grant with a
// higher number replaces an earlier one of the same process.
struct Grant {
  int budget = 0;
  std::uint64_t number = 0;
  std::uint64_t to_process = 0;
  std::int64_t amount = 0;  // thousandths per second
  Micros expires_at = 0;
};

class Budgets {
 public:
  // For tests only: disables single guards, to show that each of them is needed.
  struct DisabledGuards {
    bool deduct_lent = false;         // lent quota is deducted from the lender's allocation
    bool startup_quarantine = false;  // a new process waits for its predecessor's leases to end
    bool grant_expiry = false;        // borrowed quota ends with its lease
    bool receiver_process = false;    // a grant to an earlier process is rejected
  };

  Budgets(BudgetsOptions options, std::uint64_t process, std::uint64_t seed, Micros now);

  // Spends `amount` if this node's allocation allows it. Otherwise returns false and sets `*wait`
  // to the time until it does, if nothing changes.
  bool TrySpend(Micros now, int budget, double amount, Micros* wait);
  bool CanSpend(Micros now, int budget, double amount) const;

  struct OutgoingRequest {
    int to = 0;
    QuotaRequest request;
  };
  // The requests to send now, to nodes in `alive`; empty if the node has enough.
  std::vector<OutgoingRequest> PlanRequests(Micros now, const std::vector<int>& alive);
  // Handles a request from a node's process. A returned grant counts as lent from now on, whether
  // or not it is sent.
  std::optional<Grant> OnRequest(Micros now, int from, std::uint64_t process,
                                 const QuotaRequest& request);
  void OnGrant(Micros now, int from, std::uint64_t process, const Grant& grant);
  // Handles a limit that another node uses. A lower limit than this node's applies for five leases
  // from its last report on.
  void OnRemoteLimit(Micros now, int budget, double limit);

  // Applies a rules version: another limit, or another number of parts that it is divided into
  // (never fewer than there are nodes). Grants made under a larger limit end with their leases.
  void SetLimit(Micros now, int budget, double limit);
  void SetPartCount(Micros now, int parts);

  // In thousandths per second: the rate that this node may spend now, the rate that it has lent,
  // and the rate that it has borrowed.
  std::int64_t allocation(Micros now, int budget) const;
  std::int64_t lent(Micros now, int budget) const;
  std::int64_t borrowed(Micros now, int budget) const;
  std::int64_t floor(int budget) const;
  double burst_seconds(int budget) const;  // seconds of its allocation that a node may save up
  std::int64_t even_share(Micros now, int budget) const;
  double limit(Micros now, int budget) const;  // per second, the lowest known
  double spent(int budget) const { return states_[static_cast<std::size_t>(budget)].spent; }
  // Whether leases granted by an earlier process may still be valid.
  bool in_startup_quarantine(Micros now) const;
  int budgets() const { return static_cast<int>(states_.size()); }
  std::size_t bytes() const;  // approximate memory use
  void DisableGuards(DisabledGuards disabled) { disabled_ = disabled; }

 private:
  struct Loan {
    std::int64_t amount = 0;
    Micros expires_at = 0;
  };
  struct BorrowedQuota {
    std::uint64_t process = 0, number = 0;  // of the lender and its grant
    std::int64_t amount = 0;
    Micros expires_at = 0;
  };
  struct BudgetState {
    double tokens = 0, spent = 0;  // thousandths; total since the start, in units
    Micros updated_at = 0;
    double demand = 0;  // units per second, with exponential decay
    Micros demand_at = 0;
    Micros last_request_at = 0;
    double remote_limit = 0;  // a lower limit that another node uses; 0: none
    Micros remote_limit_until = 0;
    std::uint64_t last_grant_number = 0;
    std::map<int, std::vector<Loan>> loans;      // by receiver: all that may still be valid there
    std::map<int, BorrowedQuota> borrowed_from;  // by lender
  };

  BudgetState& At(int budget) { return states_[static_cast<std::size_t>(budget)]; }
  const BudgetState& At(int budget) const { return states_[static_cast<std::size_t>(budget)]; }
  bool Valid(int budget) const { return budget >= 0 && budget < budgets(); }
  double DemandDecayMicros(int budget) const;
  double Demand(Micros now, int budget) const;
  // Refills the tokens up to now, each interval at the allocation that was in force in it.
  void Refill(Micros now, int budget);
  double Tokens(Micros now, int budget) const;

  BudgetsOptions options_;
  std::uint64_t process_;
  Micros started_at_;
  int part_count_;
  std::mt19937_64 random_;
  std::vector<BudgetState> states_;
  DisabledGuards disabled_;
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_BUDGETS_H_
