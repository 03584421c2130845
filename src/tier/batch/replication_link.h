// A primary's connection to one other replica of a partition: synchronisation by digests, then the
// stream of changes in order, one call at a time.
#ifndef PEARREACH_SRC_TIER_BATCH_REPLICATION_LINK_H_
#define PEARREACH_SRC_TIER_BATCH_REPLICATION_LINK_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/batch/batch_job_state.h"
#include "tier/batch/commit_queue.h"
#include "tier/batch/messages.h"
#include "tier/batch/repair_throttle.h"
#include "tier/batch/replication_messages.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

class ReplicationEnvironment;

constexpr Micros kConfirmSpan = 500 * kMs;  // how long a response of a replica confirms the table

// What a link uses of its partition.
class LinkOwner {
 public:
  virtual ~LinkOwner() = default;
  virtual ReplicaScope Scope(const StoreId& to) const = 0;  // without process and attempt
  // Calls back once all changes made so far are on disk.
  virtual void CommitBarrier(CommitQueue::Done done) = 0;
  virtual std::uint64_t last_sequence() const = 0;
  virtual const BatchJobTable& link_batch_jobs() const = 0;
  virtual void OnLinkAdvanced() = 0;
  // The partition rests until a joiner is filled.
  virtual bool RepairIsUrgent() const = 0;
};

// Shared so that a late response can tell whether the link is still there; the partition's primary
// (LinkOwner) drops it. Not thread-safe: all calls and callbacks run on the event loop.
class ReplicaLink : public std::enable_shared_from_this<ReplicaLink> {
 public:
  ReplicaLink(StoreId peer, LinkOwner* owner, ReplicationEnvironment* environment);
  ~ReplicaLink();
  ReplicaLink(const ReplicaLink&) = delete;
  ReplicaLink& operator=(const ReplicaLink&) = delete;

  void Synchronise();
  void Enqueue(std::uint64_t sequence, std::shared_ptr<const Operation> operation);
  void RequestConfirmation();  // asks the peer whether the table still stands
  bool streaming() const { return state_ == State::kStreaming; }
  bool reachable() const { return reachable_; }  // the last call was answered, or none has ended
  std::uint64_t acknowledged() const { return acknowledged_; }
  Micros confirmed_at() const { return confirmed_at_; }

  bool is_replica = false;  // a replica of the table
  bool required = false;    // changes wait for it
  // Of a joiner that is required: it holds everything once it has this sequence. Changes up to it
  // may have been acknowledged without the joiner.
  std::uint64_t catch_up_sequence = 0;

 private:
  enum class State { kWaiting, kSynchronising, kStreaming };
  struct Queued {
    std::uint64_t sequence = 0;
    std::shared_ptr<const Operation> operation;
  };

  template <class Response>
  void Call(rpc::MessageType type, std::string body, Micros timeout,
            std::function<void(const Response&)> taken);
  ReplicaScope Scope() const;
  void SendBuckets();
  void SendBatchJobs(std::vector<std::uint32_t> buckets);
  void SendNextRepair();
  std::size_t SendRepair(const RepairThrottle::Slot& slot);
  void OpenStream();
  void SendNext();
  void OnAcknowledged(std::uint64_t last, Micros sent);
  void OnRejected(ReplicaVerdict verdict);
  void Retry(Micros delay);
  void OnRetry();

  const StoreId peer_;
  LinkOwner* const owner_;
  ReplicationEnvironment* const environment_;
  State state_ = State::kWaiting;
  std::uint64_t generation_ = 0;  // of the synchronisation: late responses of earlier ones are void
  // Each link is a process of its own to the peer, whose late calls it refuses once there is
  // another one: neither a store that is primary again nor one that starts again is taken for its
  // former self.
  std::uint64_t process_;
  std::uint64_t attempt_ = 0, base_sequence_ = 0;
  std::deque<Queued> queue_;
  std::deque<std::string> batch_jobs_to_send_, batch_jobs_to_erase_;  // batch jobs
  std::uint64_t acknowledged_ = 0;
  Micros confirmed_at_ = 0;
  bool in_flight_ = false, confirmation_wanted_ = false, reachable_ = true;
  Timers::Id retry_timer_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_REPLICATION_LINK_H_
