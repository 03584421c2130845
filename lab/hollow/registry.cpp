#include <fmt/format.h>

#include <memory>
#include <utility>
#include <vector>

#include "lab/hollow/measure.h"
#include "lab/hollow/process_cost.h"
#include "lab/hollow/virtual_network.h"
#include "tier/http_server/exchange.h"
#include "tier/registry/worker_registry.h"

namespace pearreach::lab::hollow {
namespace {

using coordination::MemberInfo;

constexpr Micros kBeat = 1200 * kMs;
constexpr Micros kIdle = 3 * kSecond;  // over which costs are measured
constexpr Micros kBound = 30 * kSecond;
constexpr char kControlPort[] = ":8146";

// One membership for all nodes: what it costs is measured apart.
class GivenMembers : public control::ControlClient {
 public:
  std::shared_ptr<const control::ControlSnapshot> Current() const override { return nullptr; }
  void OnChange(std::function<void()>) override {}
  void Change(control::ControlChange, Micros, ChangeDone) override {}
  void LinearizableRead(Micros, ReadDone) override {}
  bool IsSingletonRoleCandidate() const override { return false; }
  const std::map<std::string, coordination::Member>& members() const override { return known; }
  std::map<std::string, coordination::Member> known;
};

class Call : public http_server::Exchange {
 public:
  using Answered = std::function<void(int, const std::string&)>;
  Call(std::string body, Answered answered) : answered_(std::move(answered)) {
    message_.body = std::move(body);
  }
  const http::Message& request() const override { return message_; }
  http::Message& mutable_request() override { return message_; }
  Micros arrived() const override { return 0; }
  bool open() const override { return true; }
  void Respond(int status, std::vector<http::Header>, std::string_view body) override {
    answered_(status, std::string(body));
  }
  void BeginStream(int, std::vector<http::Header>) override {}
  void Write(std::string_view) override {}
  void Finish() override {}
  void Abort() override {}
  std::size_t unsent() const override { return 0; }
  void OnClosed(std::function<void()>) override {}

 private:
  http::Message message_;
  Answered answered_;
};

struct Worker {
  std::string id, address, zone, target;
  std::uint64_t seq = 0;
  bool draining = false;
  Micros acknowledged = 0;
};

struct Fleet {
  struct Node {
    std::string name, ip;
    std::unique_ptr<VirtualMesh> transport;
    std::unique_ptr<registry::WorkerRegistry> registry;
  };

  explicit Fleet(const FleetSize& size);
  void Beat(Worker* worker);
  void Call(Worker* worker);
  bool AllKnow(std::size_t count) const;
  bool AllHave(const std::string& worker, registry::WorkerPhase phase) const;

  FleetSize size;
  VirtualTime time;
  VirtualNetwork network;
  GivenMembers members;
  std::mt19937_64 random;
  std::vector<Node> nodes;
  std::map<std::string, std::size_t> by_ip;
  std::vector<std::unique_ptr<Worker>> workers;
};

Fleet::Fleet(const FleetSize& given)
    : size(given), network(&time, given.loss, given.seed), random(given.seed) {
  nodes.resize(static_cast<std::size_t>(size.nodes));
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    nodes[i].name = fmt::format("edge-zone-{}-{}", i % static_cast<std::size_t>(size.zones), i);
    nodes[i].ip = fmt::format("10.{}.{}.{}", i / 62500, i / 250 % 250, i % 250 + 1);
    by_ip[nodes[i].ip] = i;
    MemberInfo& info = members.known[nodes[i].name].info;
    info.name = nodes[i].name;
    info.address = nodes[i].ip + ":7660";
    info.zone = fmt::format("zone-{}", i % static_cast<std::size_t>(size.zones));
    info.roles = MemberInfo::kServesEdge | MemberInfo::kServesControl;
    if (i < static_cast<std::size_t>(size.quorum)) info.roles |= MemberInfo::kQuorumMember;
  }
  for (Node& node : nodes) {
    node.transport = std::make_unique<VirtualMesh>(&network, node.ip + ":7660");
    settings::NodeSettings settings;
    settings.node_name = node.name;
    settings.beat_ms = static_cast<double>(kBeat) / kMs;
    settings.bind.control = node.ip + kControlPort;
    node.registry = std::make_unique<registry::WorkerRegistry>(
        std::make_unique<VirtualTimeSource>(&time), node.transport.get(), &members, settings,
        /*disk=*/nullptr, [this] { return time.now() / kMs; });
  }
  for (int i = 0; i < size.workers; ++i) {
    auto worker = std::make_unique<Worker>();
    worker->id = fmt::format("i-{:08x}", i * 2654435761u);
    worker->address = fmt::format("10.128.{}.{}:8080", i / 250, i % 250);
    worker->zone = fmt::format("zone-{}", i % size.zones);
    workers.push_back(std::move(worker));
  }
}

void Fleet::Call(Worker* worker) {
  const auto known = by_ip.find(worker->target);
  const std::size_t to = known != by_ip.end() ? known->second : random() % nodes.size();
  std::string body = fmt::format(
      R"({{"target":"svc","address":"{}","zone":"{}","capacity":4,"phase":"{}","call_seq":{}}})",
      worker->address, worker->zone, worker->draining ? "draining" : "ready", ++worker->seq);
  const bool draining = worker->draining;
  nodes[to].registry->OnHeartbeat(
      std::make_shared<hollow::Call>(std::move(body),
                                     [this, worker, draining](int status, const std::string& text) {
                                       if (status != 200) return;
                                       const std::size_t from = text.find(":\"") + 2;
                                       worker->target =
                                           text.substr(from, text.find(':', from) - from);
                                       if (draining && worker->acknowledged == 0)
                                         worker->acknowledged = time.now();
                                     }),
      worker->id);
}

void Fleet::Beat(Worker* worker) {
  Call(worker);
  time.After(kBeat, [this, worker] { Beat(worker); });
}

bool Fleet::AllKnow(std::size_t count) const {
  for (const Node& node : nodes)
    if (node.registry->Workers()->size() != count) return false;
  return true;
}

bool Fleet::AllHave(const std::string& worker, registry::WorkerPhase phase) const {
  for (const Node& node : nodes) {
    const auto table = node.registry->Workers();
    const registry::WorkerRecord* record = table->Find(worker);
    if (record == nullptr || record->phase != phase) return false;
  }
  return true;
}

}  // namespace

Figures MeasureRegistry(const FleetSize& size) {
  Figures figures;
  const ProcessCost before;
  Fleet fleet(size);
  const double n = size.nodes;
  fleet.time.RunFor(2 * kSecond);
  const auto ms = [](Micros span) { return static_cast<double>(span) / kMs; };

  ProcessCost change_id;
  const Traffic at_start = fleet.network.total;
  const Micros started = fleet.time.now();
  for (const auto& worker : fleet.workers)
    fleet.time.After(static_cast<Micros>(fleet.random() % kBeat),
                     [&fleet, raw = worker.get()] { fleet.Beat(raw); });
  const auto all = [&] { return fleet.AllKnow(fleet.workers.size()); };
  if (fleet.time.RunUntil(all, kBound, 20 * kMs))
    figures.all_know_ms = ms(fleet.time.now() - started);
  figures.start_processor_ms = change_id.ProcessorMs() / n;
  figures.start_kb = static_cast<double>(fleet.network.total.bytes - at_start.bytes) / n / 1e3;
  figures.start_messages =
      static_cast<double>(fleet.network.total.messages - at_start.messages) / n;

  fleet.time.RunFor(2 * kSecond);
  change_id = ProcessCost();
  const Traffic at_idle = fleet.network.total;
  fleet.time.RunFor(kIdle);
  const double seconds = static_cast<double>(kIdle) / kSecond;
  figures.idle_processor_percent = change_id.ProcessorMs() / n / seconds / 10;
  figures.idle_bytes_s =
      static_cast<double>(fleet.network.total.bytes - at_idle.bytes) / n / seconds;
  figures.idle_messages_s =
      static_cast<double>(fleet.network.total.messages - at_idle.messages) / n / seconds;
  figures.memory_kb = (ProcessCost().ResidentKb() - before.ResidentKb()) / n;

  Worker& leaving = *fleet.workers.front();
  leaving.draining = true;
  const Micros drained = fleet.time.now();
  fleet.Call(&leaving);
  const auto told = [&] { return fleet.AllHave(leaving.id, registry::WorkerPhase::kDraining); };
  if (fleet.time.RunUntil(told, kBound, kMs)) figures.change_ms = ms(fleet.time.now() - drained);
  fleet.time.RunFor(kSecond);
  if (leaving.acknowledged != 0) figures.acknowledge_ms = ms(leaving.acknowledged - drained);
  double peers = 0;
  for (const auto& node : fleet.nodes) peers += static_cast<double>(node.transport->peers.size());
  figures.peers = peers / n;
  return figures;
}

}  // namespace pearreach::lab::hollow
