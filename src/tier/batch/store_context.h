// What the components of a store use of their process: the partitions, the placement table, this
// store's identity and the time of day.
#ifndef PEARREACH_SRC_TIER_BATCH_STORE_CONTEXT_H_
#define PEARREACH_SRC_TIER_BATCH_STORE_CONTEXT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/memory/memory_budget.h"
#include "tier/batch/messages.h"
#include "tier/batch/replication.h"
#include "tier/codec/archive.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

// Implemented by StoreServer and by test doubles. Not thread-safe: all calls and callbacks run on
// the event loop.
class StoreContext : public ReplicationEnvironment {
 public:
  virtual const StoreId& Self() const = 0;
  virtual const PlacementTable& Placement() const = 0;
  virtual PartitionReplica& Replica(std::uint32_t partition) = 0;
  // Whether the disks of all replicas have room for a batch job of so many bytes; the second sets
  // it aside.
  virtual bool HasDiskCapacity(const Partition& /*table*/, std::uint64_t /*bytes*/) { return true; }
  virtual bool ReserveDiskCapacity(const Partition& /*table*/, std::uint64_t /*bytes*/) {
    return true;
  }
  // Whether there is memory for another large batch job; and a charge for one whose items come to
  // so many bytes, until it is created or rejected. Nullopt: there is none.
  virtual bool HasMemory() const { return true; }
  virtual std::optional<memory::MemoryCharge> AdmitCreation(std::size_t /*bytes*/) {
    return memory::MemoryCharge();
  }
  // Milliseconds since 1970; does not jump while this process lives.
  virtual std::int64_t WallMs() const = 0;

  // The batch job's partition where this store is its active primary, else null.
  PartitionReplica* ActiveReplica(std::string_view batch_job_id) {
    PartitionReplica& replica = Replica(PartitionOf(batch_job_id));
    return replica.is_active() ? &replica : nullptr;
  }
};

// Surely not carried out: the caller may ask another store.
inline absl::Status NotPrimary() {
  return absl::FailedPreconditionError("not the active primary of this partition");
}

template <class Message>
std::function<void(const std::string&, std::string_view, rpc::Respond)> Decoding(
    std::function<void(Message, rpc::Respond)> handle) {
  return [handle = std::move(handle)](const std::string&, std::string_view body,
                                      rpc::Respond respond) {
    auto message = codec::Decode<Message>(body);
    if (message.ok()) {
      handle(*std::move(message), std::move(respond));
    } else {
      respond(message.status());
    }
  };
}

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_CONTEXT_H_
