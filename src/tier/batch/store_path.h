// The path of an edge node's calls to the stores: directly, or through another edge node while the
// direct path gives no response. A node that a network partition separates from the stores can thus
// still submit and read batch jobs and deliver results.
#ifndef PEARREACH_SRC_TIER_BATCH_STORE_PATH_H_
#define PEARREACH_SRC_TIER_BATCH_STORE_PATH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

// A call to a store that the receiver makes for the sender (kStoreRelay).
struct RelayedCall {
  StoreId store;
  std::uint8_t type = 0;  // rpc::MessageType
  std::string body;
  std::int64_t timeout_ms = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& store& type& body& timeout_ms;
  }
};

// Owned by a StoreClient; used on the event loop's thread only. Handles kStoreRelay.
class StorePath {
 public:
  // All pointers outlive this. `self`: this node's name; empty: no call goes through another node.
  StorePath(rpc::Transport* transport, const control::ControlClient* control, std::string self);
  StorePath(const StorePath&) = delete;
  StorePath& operator=(const StorePath&) = delete;

  // As rpc::Transport::Call. After a call without a response the following ones take the other path
  // for a while. `done` is called even if this object is destroyed before.
  void Call(const StoreId& store, rpc::MessageType type, std::string body, Micros timeout,
            rpc::Done done);
  // The mesh address of the store; empty: not known, dead, or its disk is another one.
  std::string AddressOf(const StoreId& store) const;

 private:
  struct PathState {
    bool relayed = false;
    Micros until = 0;  // then the direct path is used again
  };

  void OnResponse(const StoreId& store, bool relayed, const absl::Status& status);
  std::string ChooseRelay();
  void OnRelayedCall(std::string_view body, const rpc::Respond& respond);

  rpc::Transport* const transport_;
  const control::ControlClient* const control_;
  const std::string self_;
  std::minstd_rand random_;
  std::map<StoreId, PathState> paths_;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_PATH_H_
