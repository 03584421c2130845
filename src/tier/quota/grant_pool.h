// Requests of one tenant that an edge node may pass on: grants that it holds, requests that wait
// for one, and how many to ask for. A state machine without clock or I/O. Not thread-safe.
#ifndef PEARREACH_SRC_TIER_QUOTA_GRANT_POOL_H_
#define PEARREACH_SRC_TIER_QUOTA_GRANT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

#include "tier/quota/request_limiter.h"

namespace pearreach::quota {

class GrantPool {
 public:
  struct Waiting {
    AcquisitionId id = kDecided;
    Micros deadline = 0;
    RequestLimiter::Done done;
  };

  // A request arrives. True: a grant that the node holds covers it.
  bool TakeOne(Micros now);
  void Wait(Waiting waiting) { waiting_.push_back(std::move(waiting)); }
  // False: it does not wait here.
  bool Withdraw(AcquisitionId id);
  void AddGrant(std::uint32_t count, Micros expires);
  // Those that the node's grants cover, in the order of their arrival.
  std::vector<Waiting> TakeCovered(Micros now);
  std::vector<Waiting> TakeExpired(Micros now);
  std::vector<Waiting> TakeAll();

  std::size_t waiting() const { return waiting_.size(); }
  // The earliest deadline of those that wait; none: nobody waits.
  std::optional<Micros> NextDeadline() const;
  // How many requests to ask for: those that wait, and as many as may arrive soon.
  std::uint32_t WantedGrants(Micros now) const;
  // No grant is left, nobody waits, and nothing has arrived for some time.
  bool IsIdle(Micros now) const;

 private:
  struct Grant {
    std::uint32_t count = 0;
    Micros expires = 0;
  };
  void NoteArrival(Micros now);
  double ArrivalRate(Micros now) const;  // requests a second
  void DropExpiredGrants(Micros now);
  bool SpendOne(Micros now);

  std::deque<Grant> grants_;
  std::list<Waiting> waiting_;
  double arrivals_ = 0;  // that decay over kRateSpan
  Micros counted_at_ = 0;
};

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_GRANT_POOL_H_
