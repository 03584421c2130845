// The way of an edge node's calls to the stores: the direct one, or through another edge node while
// the direct one gives no answer. A node that is cut off from the stores goes on handing lots in,
// reading them and delivering results.
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

class StorePath {
 public:
  // `self`: this node's name; empty: no call goes through another node. Handles kStoreRelay.
  StorePath(rpc::Transport* transport, const control::ControlClient* control, std::string self);
  ~StorePath();
  StorePath(const StorePath&) = delete;
  StorePath& operator=(const StorePath&) = delete;

  // As rpc::Mesh::Call. Where a call gets no answer, those that follow go another way for a while.
  void Call(const StoreId& store, rpc::MessageType type, std::string body, Micros timeout,
            rpc::Done done);
  // The mesh address of the store; empty: not known, dead, or its disk is another one.
  std::string AddressOf(const StoreId& store) const;

 private:
  struct PathState {
    bool relayed = false;
    Micros until = 0;  // then the direct way is tried again
  };

  void OnResponse(const StoreId& store, bool relayed, const absl::Status& status);
  std::string ChooseRelay();
  void OnRelayedCall(std::string_view body, const rpc::Respond& respond);

  rpc::Transport* const transport_;
  const control::ControlClient* const control_;
  const std::string self_;
  std::minstd_rand random_;
  std::map<StoreId, PathState> paths_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_PATH_H_
