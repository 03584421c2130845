#include "tier/registry/worker_registry.h"

#include <algorithm>
#include <array>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/logging/log.h"

namespace pearreach::registry {
namespace {

constexpr char kModule[] = "registry";
// Heartbeats that may be missed before a worker leaves the table.
constexpr int kMaxMissedHeartbeats = 3;
// Of a heartbeat on its way to the worker's heartbeat receiver.
constexpr Micros kForwardTimeout = 250 * kMs;
// Workers call another node after a second without a response. Of that, the longest wait for the
// other edge nodes, and for the read that confirms the contact to the quorum.
constexpr Micros kMaxAckTimeout = 700 * kMs;
constexpr Micros kQuorumReadTimeout = 200 * kMs;
// After the start of a node: when it tells the others of the departures that its disk has kept, as
// it gets to know the other nodes.
constexpr std::array<Micros, 2> kRestoredDisseminationDelays = {kSecond, 3 * kSecond};
// disseminated_departures_ may have so many more entries than there are workers known before it is
// cleaned.
constexpr std::size_t kMaxUnknownDepartures = 1000;

WorkerStateOptions StateOptions(const settings::NodeSettings& settings, const EdgeNodes* nodes) {
  WorkerStateOptions options;
  options.expiry = static_cast<Micros>(kMaxMissedHeartbeats * settings.beat_ms * 1000) +
                   static_cast<Micros>(settings.bounds.contact_ms * 1000);
  options.self = settings.node_name;
  options.receiver_is_live = [nodes](const std::string& node) { return nodes->IsLive(node); };
  return options;
}

std::string PortOf(const std::string& address) { return address.substr(address.rfind(':') + 1); }
std::string IpOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

WorkerRegistry::WorkerRegistry(std::unique_ptr<control::TimeSource> time, rpc::Transport* transport,
                               control::ControlClient* control,
                               const settings::NodeSettings& settings, storage::TableStore* disk,
                               std::function<std::int64_t()> wall_ms)
    : time_(std::move(time)),
      transport_(transport),
      control_(control),
      nodes_(control, settings.node_name),
      control_port_(settings.bind.control.empty() ? "" : PortOf(settings.bind.control)),
      period_(static_cast<Micros>(settings.beat_ms * 1000 / 2)),
      ack_timeout_(std::min<Micros>(kMaxAckTimeout,
                                    static_cast<Micros>(settings.bounds.drain_ms * 1000 / 2))),
      dissemination_budget_(static_cast<Micros>(settings.bounds.drain_ms * 1000) + ack_timeout_),
      state_(StateOptions(settings, &nodes_)),
      publisher_(time_.get(), &state_),
      disseminator_(time_.get(), transport, &nodes_,
                    [this](const WorkerUpdate& update) { Import(update); }),
      batcher_(time_.get(), &nodes_, &state_,
               [this](const WorkerUpdate& update) {
                 disseminator_.Disseminate(update, dissemination_budget_, 0, nullptr);
               }),
      anti_entropy_(time_.get(), transport, &nodes_, &state_, period_,
                    [this](const WorkerUpdate& update) { Import(update); }),
      departure_log_(disk == nullptr
                         ? nullptr
                         : std::make_unique<DepartureLog>(time_.get(), disk, std::move(wall_ms))),
      departure_replicator_(time_.get(), transport, control, settings, departure_log_.get(),
                            [this](const WorkerUpdate& update) { Import(update); }) {
  transport_->Handle(rpc::MessageType::kWorkerHeartbeat,
                     callbacks_.Bind([this](const std::string&, std::string_view body,
                                            const rpc::Respond& respond) {
                       OnForwardedHeartbeat(body, respond);
                     }));
  time_->After(period_, callbacks_.Bind([this] { Tick(); }));
  RestoreDepartures();
}

void WorkerRegistry::RestoreDepartures() {
  if (departure_log_ == nullptr) return;
  const std::vector<WorkerRecord> restored = departure_log_->TakeRestored();
  if (restored.empty()) return;
  for (const WorkerRecord& record : restored) state_.Restore(time_->Now(), record);
  logging::Info(kModule, "departures restored", {logging::F("workers", restored.size())});
  for (const Micros delay : kRestoredDisseminationDelays) {
    time_->After(delay, callbacks_.Bind([this, restored] {
      for (const WorkerRecord& record : restored) batcher_.Queue(record.worker_id);
    }));
  }
}

void WorkerRegistry::RegisterCalls(control::ApiRouter* router) {
  router->Add("POST", "/Workers.Heartbeat/*",
              [this](std::shared_ptr<http_server::Exchange> exchange, const std::string& id) {
                OnHeartbeat(std::move(exchange), id);
              });
  router->Add("POST", "/Workers.Departure/*",
              [this](const std::shared_ptr<http_server::Exchange>& exchange,
                     const std::string& id) { OnDeparture(exchange, id); });
}

// ---------------------------------------------------------------- calls of workers

void WorkerRegistry::OnHeartbeat(std::shared_ptr<http_server::Exchange> exchange,
                                 const std::string& worker_id) {
  const Micros now = time_->Now();
  auto record = ParseHeartbeat(worker_id, exchange->request().body, now);
  if (!record.ok()) {
    logging::Warning(kModule, "heartbeat rejected",
                     {logging::F("worker", worker_id),
                      logging::F("why", std::string(record.status().message()))});
    return exchange->Respond(400, {}, std::string(record.status().message()));
  }
  record->receiver = ReceiverOf(*record);
  const bool changed = state_.Merge(now, *record, 0);
  const bool draining = record->phase == WorkerPhase::kDraining;
  if (changed) {
    logging::Info(kModule, "worker changed",
                  {logging::F("worker", worker_id), logging::F("service", record->service),
                   logging::F("address", record->address),
                   logging::F("phase", static_cast<int>(record->phase))});
    publisher_.Publish(draining);
  }
  if (!draining) {
    Acknowledge(exchange.get(), worker_id);
    return OnReadyHeartbeat(*record, changed);
  }
  if (disseminated_departures_.contains(worker_id)) return Acknowledge(exchange.get(), worker_id);
  pending_acks_[worker_id].push_back(std::move(exchange));
  if (pending_acks_[worker_id].size() > 1) return;
  DisseminateDeparture(worker_id, [this, worker_id](bool reached) {
    if (reached) disseminated_departures_.insert(worker_id);
    for (const auto& each : std::exchange(pending_acks_[worker_id], {}))
      RespondToDeparture(each.get(), worker_id, reached);
    pending_acks_.erase(worker_id);
  });
}

void WorkerRegistry::OnDeparture(const std::shared_ptr<http_server::Exchange>& exchange,
                                 const std::string& worker_id) {
  if (state_.Depart(time_->Now(), worker_id)) {
    logging::Info(kModule, "worker departed", {logging::F("worker", worker_id)});
    publisher_.Publish(true);
  }
  DisseminateDeparture(worker_id, [this, exchange, worker_id](bool reached) {
    RespondToDeparture(exchange.get(), worker_id, reached);
  });
}

void WorkerRegistry::RespondToDeparture(http_server::Exchange* exchange,
                                        const std::string& worker_id, bool reached) {
  if (reached) return Acknowledge(exchange, worker_id);
  exchange->Respond(503, {}, "not enough other nodes can be reached");
}

void WorkerRegistry::Acknowledge(http_server::Exchange* exchange, const std::string& worker_id) {
  const WorkerRecord* record = state_.Find(worker_id);
  const std::string address = record == nullptr ? "" : nodes_.AddressOf(record->receiver);
  const bool named = !address.empty() && !control_port_.empty();
  const std::string body =
      named ? "{\"beat_target\":\"" + IpOf(address) + ":" + control_port_ + "\"}" : "{}";
  exchange->Respond(200, {{"Content-Type", "application/json"}}, body);
}

// ---------------------------------------------------------------- heartbeat receivers

// The one that it has, as long as that is a live member; else one chosen by HeartbeatReceivers.
std::string WorkerRegistry::ReceiverOf(const WorkerRecord& record) {
  const WorkerRecord* known = state_.Find(record.worker_id);
  if (known != nullptr && nodes_.IsLive(known->receiver)) return known->receiver;
  const std::string chosen =
      nodes_.RecentReceivers(time_->Now()).Choose(record.worker_id, record.zone);
  return chosen.empty() ? nodes_.self() : chosen;
}

void WorkerRegistry::OnReadyHeartbeat(const WorkerRecord& record, bool changed) {
  if (record.receiver != nodes_.self()) return ForwardHeartbeat(record);
  if (changed) batcher_.Queue(record.worker_id);
}

// To its heartbeat receiver, which disseminates the change; if that cannot be reached, this node
// takes over as the receiver.
void WorkerRegistry::ForwardHeartbeat(const WorkerRecord& record) {
  const std::string id = record.worker_id;
  WorkerUpdate update;
  update.items.push_back(
      {record, std::max<Micros>(0, record.warm_at - time_->Now()) / kMs, 0, false});
  transport_->Call(nodes_.AddressOf(record.receiver), rpc::MessageType::kWorkerHeartbeat,
                   codec::Encode(update), kForwardTimeout,
                   callbacks_.Bind([this, id](const absl::StatusOr<std::string>& response) {
                     if (response.ok()) return;
                     state_.TakeOver(time_->Now(), id);
                     batcher_.Queue(id);
                   }));
}

void WorkerRegistry::OnForwardedHeartbeat(std::string_view body, const rpc::Respond& respond) {
  const auto update = codec::Decode<WorkerUpdate>(body);
  if (!update.ok()) return respond(update.status());
  const Micros now = time_->Now();
  bool changed = false;
  for (const WorkerUpdate::Item& item : update->items) {
    WorkerRecord record = item.record;
    record.warm_at = now + item.warm_left_ms * kMs;
    record.receiver = nodes_.self();
    if (IsOutdated(record)) batcher_.Queue(record.worker_id);  // its sender has listed it
    if (!state_.Merge(now, record, item.heartbeat_age_ms * kMs)) continue;
    batcher_.Queue(record.worker_id);
    changed = true;
  }
  if (changed) publisher_.Publish(false);
  respond(std::string());
}

bool WorkerRegistry::IsOutdated(const WorkerRecord& record) const {
  const WorkerRecord* const known = state_.Find(record.worker_id);
  return known != nullptr && known->phase > record.phase;
}

// ---------------------------------------------------------------- dissemination

void WorkerRegistry::DisseminateDeparture(const std::string& worker_id, DisseminationDone done) {
  WorkerUpdate update;
  update.items.push_back(state_.ExportOne(time_->Now(), worker_id));
  // Called once by each of the two parts; the first one that fails answers.
  const auto finish = [done = std::move(done), parts = std::make_shared<int>(2)](bool succeeded) {
    if (*parts == 0) return;
    *parts = succeeded ? *parts - 1 : 0;
    if (*parts == 0) done(succeeded);
  };
  departure_replicator_.Replicate(update.items.front(), ack_timeout_ + kQuorumReadTimeout, finish);
  const bool alone = nodes_.Current(time_->Now()).size() < 2;
  disseminator_.Disseminate(update, dissemination_budget_, ack_timeout_,
                            [this, alone, finish](const Disseminator::Coverage& coverage) {
                              // If other nodes are live and none has it, this node is the isolated
                              // one.
                              const bool reached = alone || coverage.all || !coverage.nodes.empty();
                              if (!reached) return finish(false);
                              ConfirmQuorumContact(finish);
                            });
}

// Nodes on the minority side of a network partition take all others for dead, and would conclude
// that every live node has the update.
void WorkerRegistry::ConfirmQuorumContact(DisseminationDone done) {
  control_->LinearizableRead(
      kQuorumReadTimeout,
      callbacks_.Bind([done = std::move(done)](const auto& newest) { done(newest.ok()); }));
}

void WorkerRegistry::Import(const WorkerUpdate& update) {
  const Micros now = time_->Now();
  bool changed = false, urgent = false;
  for (const WorkerUpdate::Item& item : update.items) {
    if (!state_.Adopt(now, item)) continue;
    changed = true;
    urgent = urgent || item.record.phase != WorkerPhase::kReady;
    if (departure_log_ != nullptr && item.record.phase != WorkerPhase::kReady)
      departure_log_->Record(*state_.Find(item.record.worker_id), nullptr);
  }
  if (changed) publisher_.Publish(urgent);
}

void WorkerRegistry::Tick() {
  if (state_.Expire(time_->Now())) publisher_.Publish(false);
  if (departure_log_ != nullptr) departure_log_->RemoveExpired();
  for (const std::string& id : state_.TakeLost()) {
    logging::Info(kModule, "worker lost", {logging::F("worker", id)});
    batcher_.Queue(id);
  }
  if (disseminated_departures_.size() > state_.size() + kMaxUnknownDepartures)
    std::erase_if(disseminated_departures_,
                  [this](const std::string& id) { return state_.Find(id) == nullptr; });
  time_->After(period_, callbacks_.Bind([this] { Tick(); }));
}

}  // namespace pearreach::registry
