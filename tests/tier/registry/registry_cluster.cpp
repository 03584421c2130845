#include "tier/registry/registry_cluster.h"

#include <fmt/format.h>

#include <utility>

namespace pearreach::registry {
namespace {

using coordination::MemberInfo;
using coordination::MemberStatus;

constexpr Micros kCallTimeout = kSecond;  // workers move on after it
constexpr Micros kOneWayDelay = 500;      // between a worker and a node
constexpr char kControlPort[] = ":8146";

// Hands the answer on as soon as it is given.
class WorkerCall : public control::FakeExchange {
 public:
  WorkerCall(const std::string& worker, std::string body,
             std::function<void(int, const std::string&)> on_response)
      : FakeExchange("POST", "/Workers.Heartbeat/" + worker), on_response_(std::move(on_response)) {
    mutable_request().body = std::move(body);
  }
  void Respond(int given, std::vector<http::Header> with, std::string_view bytes) override {
    FakeExchange::Respond(given, std::move(with), bytes);
    on_response_(given, std::string(bytes));
  }

 private:
  std::function<void(int, const std::string&)> on_response_;
};

std::string HeartbeatBody(const RegistryCluster::Worker& worker, const std::string& phase,
                          std::uint64_t seq) {
  return fmt::format(
      R"({{"target":"svc","address":"{}","zone":"{}","capacity":4,"phase":"{}","call_seq":{}}})",
      worker.address, worker.zone, phase, seq);
}

std::string ParseBeatTarget(const std::string& body) {
  const std::string name = "\"beat_target\":\"";
  const std::size_t begin = body.find(name);
  if (begin == std::string::npos) return "";
  const std::size_t from = begin + name.size();
  return body.substr(from, body.find('"', from) - from);
}

}  // namespace

RegistryCluster::RegistryCluster(ClusterOptions options)
    : options_(options), random_(options.seed) {
  if (options_.loss > 0) network.SetLoss(options_.loss, options_.seed);
  for (int i = 0; i < options_.nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->name = fmt::format("node-{:04}", i);
    node->address = fmt::format("10.0.{}.{}:7660", i / 250, i % 250);
    nodes.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) StartNode(i);
  for (int i = 0; i < options_.workers; ++i) {
    auto worker = std::make_unique<Worker>();
    worker->id = fmt::format("worker-{:05}", i);
    worker->address = fmt::format("10.9.{}.{}:80", i / 250, i % 250);
    worker->zone = fmt::format("zone-{}", i % options_.zones);
    workers.push_back(std::move(worker));
  }
}

void RegistryCluster::StartNode(std::size_t index) {
  Node& node = *nodes[index];
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    coordination::Member& member = node.members.member_map[nodes[i]->name];
    member.info.name = nodes[i]->name;
    member.info.address = nodes[i]->address;
    member.info.zone = fmt::format("zone-{}", i % static_cast<std::size_t>(options_.zones));
    member.info.roles = MemberInfo::kServesEdge | MemberInfo::kServesControl;
    if (i < static_cast<std::size_t>(options_.quorum))
      member.info.roles |= MemberInfo::kQuorumMember;
  }
  node.members.reaches_majority = [this, &node] { return ReachesMajority(node); };
  node.transport = std::make_unique<control::VirtualTransport>(&network, node.address);
  settings::NodeSettings settings;
  settings.node_name = node.name;
  settings.beat_ms = static_cast<double>(kHeartbeatPeriod) / kMs;
  settings.bounds.drain_ms = static_cast<double>(kDrain) / kMs;
  settings.bounds.contact_ms = 3000;
  settings.bind.control = "10.0.0.0" + std::string(kControlPort);
  settings.tolerance.machines = options_.tolerance;
  const bool is_quorum_member = index < static_cast<std::size_t>(options_.quorum);
  if (node.disk == nullptr && is_quorum_member && options_.has_disks)
    node.disk = std::make_unique<control::VirtualDisk>(&time, node.name + "-disk");
  node.registry = std::make_unique<WorkerRegistry>(
      std::make_unique<control::VirtualTimeSource>(&time), node.transport.get(), &node.members,
      settings, node.disk.get(), [this] { return time.now() / kMs; });
}

void RegistryCluster::SetStatus(std::size_t of, MemberStatus status) {
  for (const auto& node : nodes) node->members.member_map[nodes[of]->name].status = status;
}

bool RegistryCluster::ReachesMajority(const Node& node) const {
  int reached = 0;
  for (int i = 0; i < options_.quorum && i < options_.nodes; ++i) {
    reached += network.IsConnected(node.address, nodes[i]->address) ? 1 : 0;
  }
  return 2 * reached > std::min(options_.quorum, options_.nodes);
}

void RegistryCluster::Partition(const std::set<std::size_t>& island) {
  for (std::size_t a = 0; a < nodes.size(); ++a) {
    for (std::size_t b = 0; b < nodes.size(); ++b) {
      if (island.count(a) == island.count(b)) continue;
      network.Partition(nodes[a]->address, nodes[b]->address);
      nodes[a]->members.member_map[nodes[b]->name].status = MemberStatus::kDead;
    }
  }
}

std::size_t RegistryCluster::NodeAt(const std::string& target) const {
  const std::string ip = target.substr(0, target.find(':'));
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const std::string& address = nodes[i]->address;
    if (address.substr(0, address.find(':')) == ip) return i;
  }
  return nodes.size();
}

void RegistryCluster::Kill(std::size_t index) {
  Node& node = *nodes[index];
  node.registry.reset();
  node.transport.reset();
  time.After(kDetectionTime, [this, index] {
    if (!nodes[index]->up()) SetStatus(index, MemberStatus::kDead);
  });
}

void RegistryCluster::RestartAll(Micros pause) {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    nodes[i]->registry.reset();
    nodes[i]->transport.reset();
    if (nodes[i]->disk != nullptr) nodes[i]->disk->LosePower();
  }
  Run(pause);
  for (std::size_t i = 0; i < nodes.size(); ++i) Restart(i);
}

void RegistryCluster::WipeDisk(std::size_t index) { nodes[index]->disk->Restore({}); }

void RegistryCluster::Restart(std::size_t index) {
  StartNode(index);
  SetStatus(index, MemberStatus::kAlive);
}

// ---------------------------------------------------------------- workers

void RegistryCluster::StartWorkers() {
  for (const auto& worker : workers) {
    const Micros first = std::uniform_int_distribution<Micros>(0, kHeartbeatPeriod)(random_);
    time.After(first, [this, raw = worker.get()] { SendHeartbeat(raw); });
  }
}

void RegistryCluster::Drain(std::size_t index) {
  Worker* worker = workers[index].get();
  worker->draining = true;
  worker->drain_started = time.now();
  Call(worker, ChooseNode(*worker));
}

void RegistryCluster::Depart(std::size_t index, std::size_t node) {
  Worker* worker = workers[index].get();
  worker->running = false;
  const auto on_response = [this, worker](int status, const std::string&) {
    if (status == 200) worker->departed = time.now();
  };
  nodes[node]->registry->OnDeparture(std::make_shared<WorkerCall>(worker->id, "", on_response),
                                     worker->id);
}

void RegistryCluster::DeliverLateHeartbeat(std::size_t index, std::size_t node, std::uint64_t seq) {
  const Worker& worker = *workers[index];
  const auto ignore = [](int, const std::string&) {};
  nodes[node]->registry->OnHeartbeat(
      std::make_shared<WorkerCall>(worker.id, HeartbeatBody(worker, "ready", seq), ignore),
      worker.id);
}

void RegistryCluster::SendHeartbeat(Worker* worker) {
  if (!worker->running) return;
  if (!worker->draining || worker->drain_acknowledged != 0) Call(worker, ChooseNode(*worker));
  time.After(kHeartbeatPeriod, [this, worker] { SendHeartbeat(worker); });
}

std::size_t RegistryCluster::ChooseNode(const Worker& worker) {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const std::string& address = nodes[i]->address;
    if (address.substr(0, address.find(':')) + kControlPort == worker.target) return i;
  }
  return std::uniform_int_distribution<std::size_t>(0, nodes.size() - 1)(random_);
}

void RegistryCluster::Call(Worker* worker, std::size_t index) {
  if (!worker->running) return;
  const std::uint64_t call = ++worker->call;
  const std::string body =
      HeartbeatBody(*worker, worker->draining ? "draining" : "ready", ++worker->seq);
  const bool draining = worker->draining;
  const auto on_response = [this, worker, call, draining](int status, const std::string& response) {
    time.After(kOneWayDelay, [=, this] {
      if (worker->call != call || status != 200) return;
      ++worker->call;  // settled
      worker->target = ParseBeatTarget(response);
      if (draining && worker->drain_acknowledged == 0) worker->drain_acknowledged = time.now();
    });
  };
  time.After(kOneWayDelay, [=, this] {
    Node& node = *nodes[index];
    if (!node.up()) return;
    ++node.heartbeats;
    node.registry->OnHeartbeat(std::make_shared<WorkerCall>(worker->id, body, on_response),
                               worker->id);
  });
  time.After(kCallTimeout, [this, worker, call] {
    if (worker->call != call) return;
    worker->target.clear();
    Call(worker, ChooseNode(*worker));
  });
}

// ---------------------------------------------------------------- checks

bool RegistryCluster::Lists(const Node& node, const std::string& worker, WorkerPhase phase) const {
  const auto table = node.registry->Workers();
  const WorkerRecord* found = table->Find(worker);
  return found != nullptr && found->phase == phase;
}

int RegistryCluster::CountNodesListingReady(const std::string& worker) const {
  int count = 0;
  for (const auto& node : nodes)
    if (node->up() && Lists(*node, worker, WorkerPhase::kReady)) ++count;
  return count;
}

bool RegistryCluster::Converged(std::size_t size) const {
  std::map<std::string, WorkerPhase> first;
  bool have = false;
  for (const auto& node : nodes) {
    if (!node->up()) continue;
    std::map<std::string, WorkerPhase> listed;
    node->registry->Workers()->ForEach(
        [&](const WorkerRecord& record) { listed[record.worker_id] = record.phase; });
    if (!std::exchange(have, true)) first = listed;
    if (listed != first || listed.size() != size) return false;
  }
  return true;
}

}  // namespace pearreach::registry
