// Budgets: amounts a second that the whole fleet may not exceed together. Each node has a part that
// it may spend without hearing anybody; parts move to where they are wanted by grants that may be
// lost, doubled or late. It owns this node's part of each budget and what it has lent; it has no
// socket and no clock, and must never let the parts of all nodes add up to more than the whole: a
// lost grant costs room and never makes it.
//
// Source: escrow and bounded counters (O'Neil 1986; Balegas et al. 2015) with leases (Gray,
// Cheriton 1989). An even part of the whole is each node's by right. A share of it, the floor, is
// never lent; the rest may be, for a lease at a time. What was lent is out of the giver's part from
// before the grant is sent until its lease has ended on every clock, heard or not. A process that
// begins does not know what the one before it had lent: it has its floor until all of that has
// ended. It never takes what was granted to the one before it.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_BUDGETS_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_BUDGETS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace pearreach::shared_state {

using Micros = std::int64_t;  // Unix time, the same on all machines to within `skew`

struct BudgetsOptions {
  int self = 0, nodes = 1;
  std::vector<double> limits;         // of each budget: a second, over all nodes
  double floor = 0.5;                 // of an even part: never lent
  Micros lease = 2'000'000;           // of a grant
  Micros skew = 50'000;               // two machines' clocks differ by no more
  double burst = 1;                   // seconds of its part that a node may save up, at least
  double headroom = 1.25;             // a node keeps so many times what it spends
  Micros request_interval = 500'000;  // of one budget, while it wants more
};

// A node wants so much more of a budget.
struct QuotaRequest {
  int budget = 0;
  std::int64_t amount = 0;  // thousandths a second
};
// So much of the sender's part is the receiver's until `until`. A higher number from one process
// replaces what the same one granted before.
struct Grant {
  int budget = 0;
  std::uint64_t number = 0;
  std::uint64_t to_process = 0;
  std::int64_t amount = 0;
  Micros expires_at = 0;
};

class Budgets {
 public:
  // What each guard does is shown by leaving it out: tests only.
  struct DisabledGuards {
    bool deduct_lent = false;         // lent parts stay out of the giver's own
    bool startup_quarantine = false;  // a new process waits for its predecessor's leases
    bool grant_expiry = false;        // what was got ends with its lease
    bool receiver_process = false;    // a grant to an earlier process is not taken
  };

  Budgets(BudgetsOptions options, std::uint64_t process, std::uint64_t seed, Micros now);

  // Spends, if this node's part allows it. False: `*wait` is when it may, if nothing changes.
  bool TrySpend(Micros now, int budget, double amount, Micros* wait);
  // Whether it could.
  bool CanSpend(Micros now, int budget, double amount) const;

  // What to ask of whom, a node that is alive by `alive`. Nothing: it has enough.
  struct OutgoingRequest {
    int to = 0;
    QuotaRequest request;
  };
  std::vector<OutgoingRequest> PlanRequests(Micros now, const std::vector<int>& alive);
  // An ask of a node's process. The grant is lent from this moment on, sent or not.
  std::optional<Grant> OnRequest(Micros now, int from, std::uint64_t process,
                                 const QuotaRequest& ask);
  void OnGrant(Micros now, int from, std::uint64_t process, const Grant& grant);
  // The whole as another node has it: the stricter holds, for one lease and longer while it is
  // said.
  void OnRemoteLimit(Micros now, int budget, double whole);

  // By a version of the rules: another whole, or shared into more parts (never fewer than there are
  // nodes). What was lent of a larger whole ends with its lease.
  void SetLimit(Micros now, int budget, double whole);
  void SetPartCount(Micros now, int parts);

  // Thousandths a second: this node's part now, what it has lent, what it was lent.
  std::int64_t allocation(Micros now, int budget) const;
  std::int64_t lent(Micros now, int budget) const;
  std::int64_t borrowed(Micros now, int budget) const;
  std::int64_t floor(int budget) const;
  double burst_seconds(int budget) const;  // seconds of its part that a node may save up
  std::int64_t even_share(Micros now, int budget) const;
  double limit(Micros now, int budget) const;  // a second, the strictest known
  double spent(int budget) const { return own_[static_cast<std::size_t>(budget)].spent; }
  bool in_startup_quarantine(Micros now) const;  // predecessors' leases may be out still
  int budgets() const { return static_cast<int>(own_.size()); }
  std::size_t bytes() const;
  void DisableGuards(DisabledGuards without) { without_ = without; }

 private:
  struct Loan {
    std::int64_t amount = 0;
    Micros until = 0;
  };
  struct Got {
    std::uint64_t process = 0, number = 0;
    std::int64_t amount = 0;
    Micros until = 0;
  };
  struct Own {
    double tokens = 0, spent = 0;  // thousandths; what was spent since the start, whole ones
    Micros at = 0;
    double demand = 0;  // wanted a second, fading, whole ones
    Micros demand_at = 0;
    Micros asked = 0;
    double stricter = 0;  // a whole that another node has; 0: none
    Micros stricter_until = 0;
    std::uint64_t number = 0;               // of the last grant
    std::map<int, std::vector<Loan>> lent;  // by receiver: all that may still be held there
    std::map<int, Got> got;                 // by giver
  };

  Own& At(int budget) { return own_[static_cast<std::size_t>(budget)]; }
  const Own& At(int budget) const { return own_[static_cast<std::size_t>(budget)]; }
  bool Valid(int budget) const { return budget >= 0 && budget < budgets(); }
  double Memory(int budget) const;  // microseconds over which what is wanted fades
  double Demand(Micros now, int budget) const;
  // Fills the tokens up to now, by the part of each stretch.
  void Refill(Micros now, int budget);
  double Tokens(Micros now, int budget) const;

  BudgetsOptions options_;
  std::uint64_t process_;
  Micros began_;
  int parts_;
  std::mt19937_64 random_;
  std::vector<Own> own_;
  DisabledGuards without_;
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_BUDGETS_H_
