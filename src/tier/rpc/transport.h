// The transport between the system's own processes: calls with a response over TCP and datagrams
// over UDP, both on the first port of the machine's free range. It does not interpret the bodies of
// the messages. Loop thread only.
#ifndef PEARREACH_SRC_TIER_RPC_TRANSPORT_H_
#define PEARREACH_SRC_TIER_RPC_TRANSPORT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/event_loop/timers.h"
#include "common/memory/memory_budget.h"

namespace pearreach::rpc {

// The kind of a call. Values are part of the protocol and never reused.
enum class MessageType : std::uint8_t {
  kChain = 1,         // one-way or call between chain replicas (coordination/chain.h)
  kControlPoll = 2,   // control state newer than the caller's
  kControlWrite = 3,  // an operator's or a singleton role's change, forwarded to the head
  kControlRead = 4,   // a linearizable read of the control state
  // 5 and 6 were a worker's record and a summary of workers.
  kWorkerUpdate = 7,     // worker records, disseminated to all edge nodes
  kWorkerHeartbeat = 8,  // heartbeats, forwarded to the node that should process them
  kWorkerDigest = 9,     // digests of the workers known to both
  kWorkerRepair = 10,    // worker records that differ
  kWorkerDeparture =
      12,             // a worker that drains or has departed, to be kept on a quorum member's disk
  kWitnessVote = 11,  // quorum member -> store: may this member go on without lost ones?
  kBatchJobCreate = 20,  // edge -> primary store
  kBatchJobRead = 21,    // edge -> primary store
  kItemBody = 22,        // edge -> primary store
  kBatchJobCancel = 23,  // edge -> primary store
  kItemPull = 24,        // edge -> primary store: lease items to run (waits until there are some)
  kItemResult = 25,      // edge -> primary store: result of a leased item
  kItemRenew = 26,       // edge -> primary store: renew leases
  kBatchJobAdmission = 27,  // edge -> primary store: may this batch job be submitted?
  kReplicate = 30,          // primary store -> backup store
  kRepairDigest = 31,       // primary store -> backup store: digests over ranges of batch jobs
  kQuotaReserve = 32,       // primary store -> quota owner
  kQuotaReport = 33,        // primary store -> quota owner
  kStoreStatus = 34,        // store or edge -> placement controller
  kQuotaQuery = 35,         // edge -> quota owner: would a batch job fit?
  kStorePing = 36,          // placement controller -> store: health check
  kStoreRelay = 37,         // edge -> edge: a call to a store that the sender cannot reach
  kStoreDiskReport = 38,    // store -> store: how far the sender's disk has been used
  kTenantGrant = 40,        // edge -> allocator: requests of a tenant that may be passed on
};

using Respond = std::function<void(absl::StatusOr<std::string> answer)>;
// `from` is the IP address of the caller. `respond` must be called at most once, now or later; the
// caller times out if it never is.
using Handler =
    std::function<void(const std::string& from, std::string_view body, Respond respond)>;
using DatagramHandler = std::function<void(const std::string& from_ip, std::string_view body)>;
using Done = std::function<void(absl::StatusOr<std::string> answer)>;

class Transport {
 public:
  virtual ~Transport() = default;

  // Sets the handler of calls of that type; others are answered with UNIMPLEMENTED.
  virtual void Handle(MessageType type, Handler handler) = 0;
  // Calls the node at `address` ("ip:port"). `done` is called exactly once, never from inside Call:
  // with the response, the error that the handler returned, DEADLINE_EXCEEDED after `timeout`, or
  // UNAVAILABLE if the connection failed (the call may have been executed nevertheless).
  // Calls to one address are delivered in order as long as its connection lasts. None is executed
  // twice.
  virtual void Call(const std::string& address, MessageType type, std::string body, Micros timeout,
                    Done done) = 0;

  // Datagrams may be lost, duplicated or reordered; at most kMaxDatagram bytes.
  static constexpr std::size_t kMaxDatagram = 1400;
  virtual void HandleDatagrams(DatagramHandler handler) = 0;
  virtual void SendDatagram(const std::string& address, std::string_view body) = 0;
};

// Listens on ip:port for both. UNAVAILABLE, with the address and the cause, if that fails. `timers`
// must outlive the transport. Calls that wait to be sent are charged to `memory`; null: without
// limit.
absl::StatusOr<std::unique_ptr<Transport>> OpenTransport(
    const std::string& ip, int port, Timers* timers,
    std::shared_ptr<memory::MemoryBudget> memory = nullptr);

}  // namespace pearreach::rpc

#endif  // PEARREACH_SRC_TIER_RPC_TRANSPORT_H_
