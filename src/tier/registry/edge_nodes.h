// The live edge nodes in an order common to all (by zone, then name), how a message to them splits
// over a tree, and which of them take whose heartbeats.
#ifndef PEARREACH_SRC_TIER_REGISTRY_EDGE_NODES_H_
#define PEARREACH_SRC_TIER_REGISTRY_EDGE_NODES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"
#include "tier/control/control_client.h"

namespace pearreach::registry {

struct EdgeNode {
  std::string key;  // zone and name: the place in the order
  std::string name, address, zone;
  std::uint64_t id = 0;  // HashOf(name)
  bool suspect = false;
  bool receives_heartbeats = false;  // serves control
  bool quorum_member = false;        // has a disk
};

using EdgeRef = std::shared_ptr<const EdgeNode>;
using EdgeList = std::vector<EdgeRef>;  // sorted by key

// Both ends included, `but` left out.
EdgeList NodesInRange(const EdgeList& nodes, std::string_view first, std::string_view last,
                      const std::string& excluded);

// Consecutive parts of about one size, at most `parts` of them.
std::vector<EdgeList> SplitEvenly(const EdgeList& nodes, std::size_t parts);

// The node that should take a worker's heartbeats, empty: none can. In the worker's own zone where
// one can; one in `kEdgeNodesPerReceiver` edge nodes takes them, those with a disk first.
class HeartbeatReceivers {
 public:
  HeartbeatReceivers() = default;
  explicit HeartbeatReceivers(const EdgeList& nodes);
  std::string Choose(const std::string& worker_id, const std::string& zone) const;

 private:
  std::map<std::string, std::vector<std::string>> by_zone_;  // "": of all zones
};

// What membership says, looked at again after a while. Control nodes only are listed that serve
// clients, too: the others have no registry.
class EdgeNodes {
 public:
  EdgeNodes(const control::ControlClient* control, std::string self)
      : control_(control), self_(std::move(self)) {}

  const EdgeList& Recent(Micros now);   // this node among them
  const EdgeList& Current(Micros now);  // as membership is now
  const HeartbeatReceivers& RecentReceivers(Micros now);
  bool IsLive(const std::string& name) const;
  std::string AddressOf(const std::string& name) const;  // empty: not known
  const std::string& self() const { return self_; }

 private:
  const control::ControlClient* control_;
  const std::string self_;
  EdgeList nodes_;
  HeartbeatReceivers receivers_;
  Micros refreshed_at_ = 0;
  bool receivers_known_ = false;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_EDGE_NODES_H_
