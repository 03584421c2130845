#include "tier/server/node.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/event_loop/timers.h"
#include "common/memory/memory_budget.h"
#include "tier/batch/batch_job_api.h"
#include "tier/batch/batch_job_store.h"
#include "tier/batch/item_worker.h"
#include "tier/batch/placement.h"
#include "tier/batch/placement_controller.h"
#include "tier/batch/retire_api.h"
#include "tier/batch/store_client.h"
#include "tier/control/api_router.h"
#include "tier/control/config_api.h"
#include "tier/control/control_node.h"
#include "tier/control/quorum_api.h"
#include "tier/control/witness_voter.h"
#include "tier/gateway/gateway.h"
#include "tier/http_server/http_server.h"
#include "tier/logging/log.h"
#include "tier/proxy/request_runner.h"
#include "tier/quota/grant_client.h"
#include "tier/quota/grant_server.h"
#include "tier/quota/limit.h"
#include "tier/quota/share_controller.h"
#include "tier/registry/worker_registry.h"
#include "tier/rpc/transport.h"
#include "tier/server/request_report.h"
#include "tier/server/shutdown_sequence.h"
#include "tier/storage/table_store.h"

namespace pearreach::server {
namespace {

constexpr char kModule[] = "node";
constexpr double kDiskShare = 0.9;  // of the disk that the tables may fill
constexpr std::size_t kMegabyte = 1 << 20;
constexpr int kReservedDescriptors = 300;  // for files, the mesh, control calls and workers
constexpr std::size_t kMinConnections = 64;
constexpr std::size_t kControlConnections = 200;
constexpr double kLearnBeats = 1.5;  // of heartbeats, in which all workers call

std::uint64_t WallMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Micros Seconds(double seconds) { return static_cast<Micros>(seconds * kSecond); }

// Beside the clients' connections control calls and readiness have a fixed number each.
int ReceiveBuffer(const settings::MachineLimits& limits, std::size_t client_connections) {
  return memory::ReceiveBufferBytes(limits.memory_mb, client_connections + 2 * kControlConnections);
}

http_server::ServerOptions ClientOptions(const routing::HttpLimits& limits,
                                         const settings::MachineLimits& machine) {
  http_server::ServerOptions options;
  options.max_header_bytes = limits.max_header_bytes;
  options.max_body_bytes = limits.max_body_bytes;
  options.header_wait = static_cast<Micros>(limits.header_wait_ms * kMs);
  options.idle = static_cast<Micros>(limits.idle_ms * kMs);
  const int spare = machine.file_limit / 2 - kReservedDescriptors;
  options.max_connections =
      std::max<std::size_t>(kMinConnections, spare > 0 ? static_cast<std::size_t>(spare) : 0);
  options.receive_buffer_bytes = ReceiveBuffer(machine, options.max_connections);
  return options;
}

// Nullopt: the configuration has no tenants; empty: the route is public and no key was sent.
std::optional<std::string> TenantOf(const gateway::Sender& sender) {
  if (!sender.tenants_configured) return std::nullopt;
  return sender.tenant == nullptr ? std::string() : sender.tenant->name;
}

http_server::ServerOptions ControlOptions(const settings::MachineLimits& machine) {
  http_server::ServerOptions options;
  options.max_body_bytes = 8 * kMegabyte;
  options.max_connections = kControlConnections;
  options.receive_buffer_bytes = ReceiveBuffer(machine, ClientOptions({}, machine).max_connections);
  return options;
}

}  // namespace

class Node::Impl : private ShutdownActions {
 public:
  Impl(settings::NodeSettings settings, std::function<void()> finished)
      : settings_(std::move(settings)),
        finished_(std::move(finished)),
        client_memory_(std::make_shared<memory::MemoryBudget>(
            memory::ClientMemoryBytes(settings_.limits.memory_mb))),
        shutdown_(settings_.Serves("edge"), this) {}

  absl::Status Start();
  void Stop();
  void Reload(const settings::NodeSettings& settings);

 private:
  bool HasDisk() const;
  absl::Status OpenDisk();
  absl::Status StartEdge();
  absl::Status StartReadiness();
  absl::Status StartControl();
  void StartQuota();
  void StartStore();
  std::vector<coordination::ReplicaId> StoresInUse() const;
  void OnControlChange();
  void EndOnOldDisk();
  bool Ready() const;
  // Those that are open.
  std::vector<http_server::HttpServer*> HttpServers() const;
  void StepShutdown();

  // ShutdownActions
  void BeginDrain(Micros refuse_at, Micros answer_by) override;
  void RefuseNewWork(Micros answer_by) override;
  bool IsIdle() const override;
  void AnnounceLeave() override { control_->Leave(); }
  void AnswerOpenRequests() override;
  bool AllAnswersSent() const override;
  void Exit() override;

  settings::NodeSettings settings_;
  const std::function<void()> finished_;
  const std::uint64_t incarnation_ = WallMilliseconds();
  // Of all servers together; a store charges the batch jobs that it is writing.
  const std::shared_ptr<memory::MemoryBudget> client_memory_;
  Timers timers_;
  std::unique_ptr<rpc::Transport> transport_;
  std::unique_ptr<storage::TableStore> disk_;
  std::unique_ptr<control::ControlNode> control_;
  control::ApiRouter router_;
  std::unique_ptr<control::ConfigApi> config_api_;
  std::unique_ptr<control::QuorumApi> quorum_api_;
  std::unique_ptr<control::WitnessVoter> witness_voter_;
  std::unique_ptr<registry::WorkerRegistry> registry_;
  std::unique_ptr<proxy::RequestRunner> runner_;
  std::unique_ptr<quota::GrantClient> grant_client_;
  std::unique_ptr<quota::GrantServer> grant_server_;
  std::unique_ptr<quota::ShareController> share_controller_;
  std::unique_ptr<gateway::Gateway> gateway_;
  std::unique_ptr<RequestReport> request_report_;
  std::unique_ptr<batch::StoreClient> store_client_;
  std::unique_ptr<batch::BatchJobApi> batch_job_api_;
  std::unique_ptr<batch::ItemWorker> item_worker_;
  std::unique_ptr<batch::PlacementController> placement_controller_;
  std::unique_ptr<batch::RetireApi> retire_api_;
  std::unique_ptr<batch::StoreServer> store_server_;
  std::unique_ptr<http_server::HttpServer> edge_server_, control_server_, readiness_server_;
  ShutdownSequence shutdown_;
  bool item_worker_stopped_ = false, items_returned_ = true;
};

bool Node::Impl::HasDisk() const {
  return settings_.limits.disk_mb > 0 && !settings_.data_path.empty();
}

absl::Status Node::Impl::OpenDisk() {
  if (!HasDisk()) return absl::OkStatus();
  const auto capacity = static_cast<std::size_t>(kDiskShare * settings_.limits.disk_mb) * kMegabyte;
  auto opened = storage::OpenTableStore(settings_.data_path, capacity);
  if (!opened.ok()) return opened.status();
  disk_ = std::move(*opened);
  return absl::OkStatus();
}

absl::Status Node::Impl::Start() {
  logging::SetNode(settings_.node_name);
  if (absl::Status status = OpenDisk(); !status.ok()) return status;
  auto transport =
      rpc::OpenTransport(settings_.ip, settings_.peer_port(), &timers_, client_memory_);
  if (!transport.ok()) return transport.status();
  transport_ = std::move(*transport);
  control_ = std::make_unique<control::ControlNode>(&timers_, transport_.get(), disk_.get(),
                                                    settings_, incarnation_);
  if (settings_.Serves("storage")) StartStore();
  if (settings_.Serves("edge"))
    if (absl::Status status = StartEdge(); !status.ok()) return status;
  if (settings_.Serves("control"))
    if (absl::Status status = StartControl(); !status.ok()) return status;
  control_->OnChange([this] { OnControlChange(); });
  control_->OnDiskRolledBack([this] { EndOnOldDisk(); });
  logging::Info(kModule, "started",
                {logging::F("class", settings_.machine_class), logging::F("zone", settings_.zone),
                 logging::F("disk", disk_ == nullptr ? std::string("none") : disk_->disk_id()),
                 logging::F("bootstrap", settings_.bootstrap)});
  return absl::OkStatus();
}

void Node::Impl::StartStore() {
  store_server_ = std::make_unique<batch::StoreServer>(
      &timers_, transport_.get(), disk_.get(), control_.get(),
      batch::StoreId{settings_.node_name, disk_ == nullptr ? "" : disk_->disk_id()},
      settings_.bounds, settings_.tolerance, settings_.limits.link_mbps, client_memory_);
  store_server_->OnDiskRolledBack([this] { EndOnOldDisk(); });
  if (disk_ != nullptr)
    witness_voter_ = std::make_unique<control::WitnessVoter>(transport_.get(), disk_.get());
}

std::vector<coordination::ReplicaId> Node::Impl::StoresInUse() const {
  std::vector<coordination::ReplicaId> stores;
  for (const batch::StoreId& store : batch::StoresIn(control_->Current()->stores))
    stores.push_back({store.name, store.disk_id});
  return stores;
}

absl::Status Node::Impl::StartEdge() {
  registry_ = std::make_unique<registry::WorkerRegistry>(
      control::TimeSourceOf(&timers_), transport_.get(), control_.get(), settings_,
      control_->has_replica() ? disk_.get() : nullptr,
      [] { return static_cast<std::int64_t>(WallMilliseconds()); });
  proxy::RunnerOptions options;
  options.node_name = settings_.node_name;
  options.zone = settings_.zone;
  options.seed = WallMilliseconds() ^ std::hash<std::string>()(settings_.node_name);
  options.worker_discovery_time = static_cast<Micros>(kLearnBeats * settings_.beat_ms * kMs);
  options.policy = settings_.policy;
  runner_ = proxy::MakeRequestRunner(&timers_, registry_.get(), control_.get(), options);
  grant_client_ =
      std::make_unique<quota::GrantClient>(control::TimeSourceOf(&timers_), transport_.get(),
                                           control_.get(), settings_.zone, options.seed);
  gateway_ = std::make_unique<gateway::Gateway>(control_.get(), runner_.get(), &timers_,
                                                settings_.policy.wait_for_configuration);
  gateway_->SetLimiter(grant_client_.get());
  request_report_ =
      std::make_unique<RequestReport>(control::TimeSourceOf(&timers_), control_.get(),
                                      &gateway_->outcomes(), &grant_client_->counts());
  store_client_ = std::make_unique<batch::StoreClient>(
      &timers_, transport_.get(), control_.get(),
      settings_.policy.relay_lot_calls ? settings_.node_name : std::string());
  batch_job_api_ = std::make_unique<batch::BatchJobApi>(
      &timers_, store_client_.get(), control_.get(),
      batch::BatchJobLimits{settings_.bounds.status_s, settings_.bounds.quota_excess},
      settings_.policy.offer_lots);
  item_worker_ =
      std::make_unique<batch::ItemWorker>(&timers_, store_client_.get(), control_.get(),
                                          runner_.get(), settings_.node_name, incarnation_);
  gateway_->SetBulkHandler([this](const std::shared_ptr<http_server::Exchange>& exchange,
                                  const routing::Route& route, const gateway::Sender& sender) {
    batch_job_api_->Submit(exchange, route, TenantOf(sender));
  });
  gateway_->SetBatchJobHandler(
      [this](const std::shared_ptr<http_server::Exchange>& exchange, const gateway::Sender&) {
        batch_job_api_->Handle(exchange);
      });
  edge_server_ = std::make_unique<http_server::HttpServer>(
      &timers_, ClientOptions({}, settings_.limits),
      [this](std::shared_ptr<http_server::Exchange> exchange) {
        gateway_->Handle(std::move(exchange));
      },
      client_memory_);
  const std::string error = edge_server_->Open(settings_.bind.edge);
  if (!error.empty()) return absl::UnavailableError(settings_.bind.edge + ": " + error);
  return StartReadiness();
}

absl::Status Node::Impl::StartReadiness() {
  if (settings_.bind.readiness.empty()) return absl::OkStatus();
  readiness_server_ = std::make_unique<http_server::HttpServer>(
      &timers_, ControlOptions(settings_.limits),
      [this](const std::shared_ptr<http_server::Exchange>& exchange) {
        exchange->Respond(Ready() ? 200 : 503, {}, "");
      },
      client_memory_);
  const std::string error = readiness_server_->Open(settings_.bind.readiness);
  return error.empty() ? absl::OkStatus()
                       : absl::UnavailableError(settings_.bind.readiness + ": " + error);
}

absl::Status Node::Impl::StartControl() {
  const settings::Tolerance& tolerance = settings_.tolerance;
  const std::size_t replicas = tolerance.copies();
  config_api_ = std::make_unique<control::ConfigApi>(
      control_.get(), pearreach::Now, [this](Micros delay, std::function<void()> callback) {
        timers_.After(delay, std::move(callback));
      });
  config_api_->Register(&router_);
  control_->quorum_recovery().SetWitnesses([this] { return StoresInUse(); });
  quorum_api_ = std::make_unique<control::QuorumApi>(&control_->quorum_recovery());
  quorum_api_->Register(&router_);
  if (registry_ != nullptr) registry_->RegisterCalls(&router_);
  placement_controller_ = std::make_unique<batch::PlacementController>(
      &timers_, transport_.get(), control_.get(),
      fmt::format("{}#{}", settings_.node_name, incarnation_),
      batch::PlacementSpread{replicas, static_cast<std::size_t>(std::max(tolerance.zones, 0)) + 1,
                             static_cast<std::size_t>(std::max(tolerance.regions, 0)) + 1,
                             settings_.zones},
      control::TimingOf(settings_.bounds).probe_period, settings_.policy.ask_silent_stores);
  control_->OnMembersChanged(
      [this](const std::vector<std::string>&) { placement_controller_->Reconcile(); });
  StartQuota();
  retire_api_ = std::make_unique<batch::RetireApi>(&timers_, control_.get(), replicas);
  retire_api_->AddTo(&router_);
  control_server_ = std::make_unique<http_server::HttpServer>(
      &timers_, ControlOptions(settings_.limits),
      [this](std::shared_ptr<http_server::Exchange> exchange) {
        router_.Dispatch(std::move(exchange));
      },
      client_memory_);
  const std::string error = control_server_->Open(settings_.bind.control);
  return error.empty() ? absl::OkStatus()
                       : absl::UnavailableError(settings_.bind.control + ": " + error);
}

// Of the quorum members: the nodes that grant what tenants may use, and the one that says which.
void Node::Impl::StartQuota() {
  if (!control_->has_replica()) return;
  const quota::LimitBounds bounds = quota::LimitBoundsOf(settings_.bounds);
  grant_server_ = std::make_unique<quota::GrantServer>(control::TimeSourceOf(&timers_),
                                                       transport_.get(), control_.get(),
                                                       settings_.node_name, bounds, incarnation_);
  share_controller_ = std::make_unique<quota::ShareController>(
      control::TimeSourceOf(&timers_), control_.get(),
      fmt::format("{}#{}", settings_.node_name, incarnation_), quota::AllocatorsPerTenant(bounds));
}

// The disk has forgotten what this machine has promised and taken since: it is as good as lost.
void Node::Impl::EndOnOldDisk() {
  const absl::Status removed = storage::RemoveTableStore(settings_.data_path);
  if (!removed.ok()) {
    logging::Error(kModule, "old tables cannot be removed",
                   {logging::F("why", removed.ToString())});
  }
  AnswerOpenRequests();
  finished_();
}

void Node::Impl::OnControlChange() {
  if (request_report_ != nullptr) request_report_->OnControlChange();
  const auto snapshot = control_->Current();
  if (edge_server_ != nullptr && snapshot->routes != nullptr)
    edge_server_->SetOptions(ClientOptions(snapshot->routes->limits(), settings_.limits));
}

bool Node::Impl::Ready() const {
  return !shutdown_.begun() && control_->Current()->routes != nullptr;
}

void Node::Impl::Reload(const settings::NodeSettings& settings) {
  // Where this process listens and what it holds stand for its life; bounds are taken over.
  settings_.bounds = settings.bounds;
  shutdown_.SetGrace(Seconds(settings.bounds.grace_s), Now());
  control_->SetRevocationBounds(settings.bounds);
  if (batch_job_api_ != nullptr)
    batch_job_api_->SetLimits({settings.bounds.status_s, settings.bounds.quota_excess});
  logging::Info(kModule, "settings read again", {});
}

void Node::Impl::Stop() {
  if (shutdown_.begun()) return;
  logging::Info(kModule, "stopping", {});
  control_->PrepareToShutDown();
  shutdown_.Begin(Seconds(settings_.bounds.grace_s), Now());
  StepShutdown();
}

void Node::Impl::StepShutdown() {
  const std::optional<Micros> delay = shutdown_.Step(Now());
  if (delay.has_value()) timers_.After(*delay, [this] { StepShutdown(); });
}

std::vector<http_server::HttpServer*> Node::Impl::HttpServers() const {
  std::vector<http_server::HttpServer*> servers;
  for (const auto* server : {&edge_server_, &control_server_, &readiness_server_})
    if (*server != nullptr) servers.push_back(server->get());
  return servers;
}

void Node::Impl::BeginDrain(Micros refuse_at, Micros answer_by) {
  const Micros linger = refuse_at - Now();
  for (http_server::HttpServer* server : HttpServers())
    if (server != readiness_server_.get()) server->Drain(linger);
  if (edge_server_ == nullptr) return;
  batch_job_api_->BeginDrain(answer_by);
  if (std::exchange(item_worker_stopped_, true)) return;
  items_returned_ = false;
  item_worker_->Stop(linger, [this] { items_returned_ = true; });
}

void Node::Impl::RefuseNewWork(Micros answer_by) {
  if (edge_server_ == nullptr) return;
  edge_server_->StopAccepting();
  gateway_->BeginDrain(answer_by);
}

bool Node::Impl::IsIdle() const {
  const bool serves_nobody =
      edge_server_ == nullptr || (items_returned_ && edge_server_->connections() == 0);
  return serves_nobody && control_->MayShutDown() &&
         (store_server_ == nullptr || store_server_->MayShutDown());
}

void Node::Impl::AnswerOpenRequests() {
  std::size_t open = 0;
  for (http_server::HttpServer* server : HttpServers()) {
    open += server->unanswered();
    server->Shutdown();
  }
  logging::Info(kModule, "last answers", {logging::F("open_requests", open)});
}

bool Node::Impl::AllAnswersSent() const {
  const std::vector<http_server::HttpServer*> servers = HttpServers();
  return std::all_of(servers.begin(), servers.end(),
                     [](const auto* server) { return server->AllAnswersSent(); });
}

void Node::Impl::Exit() {
  logging::Info(kModule, "stopped", {});
  finished_();
}

Node::Node(settings::NodeSettings settings, std::function<void()> finished)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(finished))) {}
Node::~Node() = default;
absl::Status Node::Start() { return impl_->Start(); }
void Node::Stop() { impl_->Stop(); }
void Node::Reload(const settings::NodeSettings& settings) { impl_->Reload(settings); }

}  // namespace pearreach::server
