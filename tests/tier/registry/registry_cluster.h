// Many nodes' registries, and workers that call them, in one process and in virtual time.
#ifndef PEARREACH_TESTS_TIER_REGISTRY_REGISTRY_CLUSTER_H_
#define PEARREACH_TESTS_TIER_REGISTRY_REGISTRY_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tier/control/fake_exchange.h"
#include "tier/control/virtual_environment.h"
#include "tier/registry/worker_registry.h"

namespace pearreach::registry {

// Membership as the test sets it, and whether a majority of the control state is in reach.
class FakeMembers : public control::ControlClient {
 public:
  std::shared_ptr<const control::ControlSnapshot> Current() const override { return snapshot_; }
  void OnChange(std::function<void()>) override {}
  void Change(control::ControlChange, Micros, ChangeDone) override {}
  void LinearizableRead(Micros, ReadDone done) override {
    if (!reaches_majority()) return done(absl::UnavailableError("no majority in reach"));
    done(snapshot_);
  }
  bool IsSingletonRoleCandidate() const override { return false; }
  const std::map<std::string, coordination::Member>& members() const override { return member_map; }

  std::map<std::string, coordination::Member> member_map;
  std::function<bool()> reaches_majority = [] { return true; };

 private:
  std::shared_ptr<const control::ControlSnapshot> snapshot_ =
      std::make_shared<control::ControlSnapshot>();
};

struct ClusterOptions {
  int nodes = 11, zones = 3, quorum = 3, workers = 40;
  int tolerance = 1;      // of lost machines
  bool has_disks = true;  // the quorum members keep departures
  double loss = 0;
  std::uint64_t seed = 1;
};

class RegistryCluster {
 public:
  static constexpr Micros kHeartbeatPeriod = 1200 * kMs;
  static constexpr Micros kDrain = 2 * kSecond;
  static constexpr Micros kExpiry =
      3 * kHeartbeatPeriod + 3 * kSecond;                // as the registry reckons it
  static constexpr Micros kDetectionTime = 2 * kSecond;  // a node's end, by the others

  struct Node {
    std::string name, address;
    std::unique_ptr<control::VirtualTransport> transport;
    std::unique_ptr<control::VirtualDisk> disk;  // of a quorum member; it outlasts the process
    FakeMembers members;
    std::unique_ptr<WorkerRegistry> registry;
    int heartbeats = 0;  // heartbeats that came here
    bool up() const { return registry != nullptr; }
  };
  struct Worker {
    std::string id, address, zone, target;
    std::uint64_t seq = 0, call = 0;
    bool running = true, draining = false;
    Micros drain_started = 0, drain_acknowledged = 0;  // 0: not
    Micros departed = 0;                               // acknowledged; 0: not
  };

  explicit RegistryCluster(ClusterOptions options);

  void Run(Micros span) { time.RunFor(span); }
  void StartWorkers();
  void Drain(std::size_t worker);  // goes on calling until it is acknowledged
  // One call at that node; the worker sends no more heartbeats.
  void Depart(std::size_t worker, std::size_t node);
  // A heartbeat that the worker sent as its call `seq` when it was ready, and that arrives now.
  void DeliverLateHeartbeat(std::size_t worker, std::size_t node, std::uint64_t seq);
  void Crash(std::size_t worker) { workers[worker]->running = false; }
  void Kill(std::size_t node);     // the others see it after kDetectionTime
  void Restart(std::size_t node);  // a process of the same name and disk
  // Ends all processes and starts them `pause` later; what the disks had not synced is lost.
  void RestartAll(Micros pause);
  void WipeDisk(std::size_t node);
  void Isolate(std::size_t node) { network.Isolate(nodes[node]->address); }
  // Cuts these off from all others, and lets each side take the other for dead.
  void Partition(const std::set<std::size_t>& island);
  // The node whose control address that is.
  std::size_t NodeAt(const std::string& target) const;

  bool Lists(const Node& node, const std::string& worker, WorkerPhase phase) const;
  // Nodes that are up and hold that worker as ready.
  int CountNodesListingReady(const std::string& worker) const;
  // All nodes that are up list the same workers in the same phases, as many as `size`.
  bool Converged(std::size_t size) const;

  control::VirtualTime time;
  control::VirtualNetwork network{&time};
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Worker>> workers;

 private:
  void StartNode(std::size_t node);
  void SetStatus(std::size_t of, coordination::MemberStatus status);
  void SendHeartbeat(Worker* worker);
  void Call(Worker* worker, std::size_t node);
  std::size_t ChooseNode(const Worker& worker);
  bool ReachesMajority(const Node& node) const;

  const ClusterOptions options_;
  std::mt19937_64 random_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_TESTS_TIER_REGISTRY_REGISTRY_CLUSTER_H_
