// The transport between the system's own processes: calls with an answer over TCP and datagrams
// over UDP, both on the first port of the machine's free range. It knows nothing of what the
// messages say. Single-threaded, on the default main loop.
#ifndef PEARREACH_SRC_TIER_RPC_TRANSPORT_H_
#define PEARREACH_SRC_TIER_RPC_TRANSPORT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/event_loop/timers.h"

namespace pearreach::rpc {

// What a call asks for. Values are part of the protocol and never reused.
enum class MessageType : std::uint8_t {
  kChain = 1,         // one-way or call between chain replicas (coordination/chain.h)
  kControlPoll = 2,   // a data node asks for control state newer than what it has
  kControlWrite = 3,  // a node passes an operator's or a duty's change on to the head
  kControlRead = 4,   // a strict read of the control state
  // 5 and 6 were a worker's record and a summary of workers.
  kWorkerUpdate = 7,  // worker records on their way to all edge nodes
  kWorkerHeartbeat = 8,      // heartbeats, to the node that should take them
  kWorkerDigest = 9,       // are the workers the same at both?
  kWorkerRepair = 10,      // what of them differs
  kBatchJobCreate = 20,    // edge -> primary store
  kBatchJobRead = 21,      // edge -> primary store
  kItemBody = 22,          // edge -> primary store
  kBatchJobCancel = 23,    // edge -> primary store
  kItemPull = 24,          // edge -> primary store: lease items to run (held until there are some)
  kItemResult = 25,        // edge -> primary store: result of a leased item
  kItemRenew = 26,         // edge -> primary store: leases still held
  kBatchJobOffer = 27,     // edge -> primary store: may this lot be handed in?
  kReplicate = 30,         // primary store -> backup store
  kRepairDigest = 31,      // primary store -> backup store: digests over ranges of lots
  kQuotaReserve = 32,      // primary store -> quota owner
  kQuotaReport = 33,       // primary store -> quota owner
  kStoreStatus = 34,       // store or edge -> placement duty
  kQuotaQuery = 35,        // edge -> quota owner: would a lot fit?
  kStorePing = 36,         // placement duty -> store: answered at once
  kStoreRelay = 37,        // edge -> edge: a call to a store that the sender does not reach
};

using Respond = std::function<void(absl::StatusOr<std::string> answer)>;
// `from` is the IP address of the caller. `respond` may be kept and called once, later.
using Handler =
    std::function<void(const std::string& from, std::string_view body, Respond respond)>;
using DatagramHandler = std::function<void(const std::string& from_ip, std::string_view body)>;
using Done = std::function<void(absl::StatusOr<std::string> answer)>;

class Transport {
 public:
  virtual ~Transport() = default;

  virtual void Handle(MessageType type, Handler handler) = 0;
  // Calls the node at `address` ("ip:port"). `done` is called exactly once, never from inside Call:
  // with the answer, the error that the handler returned, DEADLINE_EXCEEDED after `timeout`, or
  // UNAVAILABLE where the connection failed (the call may have been carried out all the same).
  // Calls to one address are delivered in order as long as its connection lasts.
  virtual void Call(const std::string& address, MessageType type, std::string body, Micros timeout,
                    Done done) = 0;

  // Datagrams may be lost, doubled or reordered; at most kMaxDatagram bytes.
  static constexpr std::size_t kMaxDatagram = 1400;
  virtual void HandleDatagrams(DatagramHandler handler) = 0;
  virtual void SendDatagram(const std::string& address, std::string_view body) = 0;
};

// Listens on ip:port for both; an error names what is wrong.
absl::StatusOr<std::unique_ptr<Transport>> OpenTransport(const std::string& ip, int port,
                                                         Timers* timers);

}  // namespace pearreach::rpc

#endif  // PEARREACH_SRC_TIER_RPC_TRANSPORT_H_
