// The live edge nodes in an order common to all of them (by zone, then name), how they are divided
// over a dissemination tree, and which of them receive whose heartbeats.
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
  std::string key;  // zone and name: the position in the order
  std::string name, address, zone;
  std::uint64_t id = 0;  // HashOf(name)
  bool suspect = false;
  bool receives_heartbeats = false;  // it serves the control API
  bool quorum_member = false;        // has a disk
};

using EdgeRef = std::shared_ptr<const EdgeNode>;
using EdgeList = std::vector<EdgeRef>;  // sorted by key

// The nodes with keys from `first` to `last`, both included, without the one named `excluded`.
EdgeList NodesInRange(const EdgeList& nodes, std::string_view first, std::string_view last,
                      const std::string& excluded);

// At most `parts` consecutive ranges of about one size.
std::vector<EdgeList> SplitEvenly(const EdgeList& nodes, std::size_t parts);

// Which edge nodes receive the heartbeats of workers: all quorum members, and others up to one in
// kEdgeNodesPerReceiver edge nodes.
class HeartbeatReceivers {
 public:
  HeartbeatReceivers() = default;
  explicit HeartbeatReceivers(const EdgeList& nodes);
  // The receiver for a worker, in its own zone if that has one; empty: there is none. The same on
  // every node with the same list.
  std::string Choose(const std::string& worker_id, const std::string& zone) const;

 private:
  std::map<std::string, std::vector<std::string>> by_zone_;  // "": of all zones
};

// The edge nodes by the newest membership, read again after a while. A control node is listed only
// if it serves clients as well: the others have no registry. Owned by a WorkerRegistry; used on the
// event loop's thread only.
class EdgeNodes {
 public:
  EdgeNodes(const control::ControlClient* control, std::string self)
      : control_(control), self_(std::move(self)) {}

  // The live edge nodes, this one among them, as of at most kMaxListAge ago. Valid until the next
  // call of Recent, Current or RecentReceivers.
  const EdgeList& Recent(Micros now);
  // As Recent, by membership as it is now.
  const EdgeList& Current(Micros now);
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
