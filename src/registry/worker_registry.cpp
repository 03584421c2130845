#include "registry/worker_registry.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace pearreach::registry {
namespace {

constexpr char kModule[] = "registry";
constexpr int kMissedBeats = 3;  // heartbeats that may be missed before a worker leaves the table
constexpr Micros kTryTimeout = 250 * kMs;   // of one call to another node
constexpr Micros kAnswerBound = 700 * kMs;  // callers move on after a second of silence

WorkerStateOptions StateOptions(const settings::NodeSettings& settings) {
  WorkerStateOptions options;
  options.expiry = static_cast<Micros>(kMissedBeats * settings.beat_ms * 1000) +
                   static_cast<Micros>(settings.bounds.contact_ms * 1000);
  return options;
}

std::string PortOf(const std::string& address) { return address.substr(address.rfind(':') + 1); }
std::string IpOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

// FNV-1a, the same on every node.
std::uint64_t Hash(const std::string& text) {
  std::uint64_t hash = 14695981039346656037ull;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  return hash ^ hash >> 32;
}

}  // namespace

struct WorkerRegistry::Spread {
  std::string body;
  std::set<std::string> missing;
  std::size_t acknowledged = 0;
  Micros until = 0;
  SpreadDone done;

  void Finish() {
    // Where others are alive and not one has it, this node is the one that is cut off.
    if (done) std::exchange(done, nullptr)(acknowledged > 0 || missing.empty());
  }
};

WorkerRegistry::WorkerRegistry(Timers* timers, mesh::Mesh* mesh, control::ControlClient* control,
                               const settings::NodeSettings& settings)
    : timers_(timers),
      mesh_(mesh),
      control_(control),
      self_(settings.node_name),
      control_port_(settings.bind.control.empty() ? "" : PortOf(settings.bind.control)),
      period_(static_cast<Micros>(settings.beat_ms * 1000 / 2)),
      ack_bound_(
          std::min<Micros>(kAnswerBound, static_cast<Micros>(settings.bounds.drain_ms * 1000 / 2))),
      spread_bound_(static_cast<Micros>(settings.bounds.drain_ms * 1000)),
      state_(StateOptions(settings)) {
  mesh_->Handle(mesh::MessageType::kWorkerUpdate,
                [this](const std::string&, std::string_view body, mesh::Respond respond) {
                  OnUpdate(body, respond);
                });
  mesh_->Handle(mesh::MessageType::kWorkerSync,
                [this](const std::string&, std::string_view body, mesh::Respond respond) {
                  OnSummary(body, respond);
                });
  timers_->After(period_, [this] { Tick(); });
}

void WorkerRegistry::RegisterCalls(control::ApiRouter* router) {
  router->Add("POST", "/Workers.Heartbeat/*",
              [this](std::shared_ptr<front::Exchange> exchange, const std::string& id) {
                OnHeartbeat(std::move(exchange), id);
              });
  router->Add("POST", "/Workers.Departure/*",
              [this](std::shared_ptr<front::Exchange> exchange, const std::string& id) {
                OnDeparture(std::move(exchange), id);
              });
}

void WorkerRegistry::OnHeartbeat(std::shared_ptr<front::Exchange> exchange,
                                 const std::string& worker_id) {
  const Micros now = Now();
  const auto record = ParseHeartbeat(worker_id, exchange->request().body, now);
  if (!record.ok()) {
    logging::Warning(kModule, "heartbeat refused",
                     {logging::F("worker", worker_id),
                      logging::F("why", std::string(record.status().message()))});
    return exchange->Respond(400, {}, std::string(record.status().message()));
  }
  const bool changed = state_.Merge(now, *record, 0);
  state_.Touch(now, worker_id, record->call_seq);
  heard_.insert(worker_id);
  if (changed) {
    logging::Info(kModule, "worker changed",
                  {logging::F("worker", worker_id), logging::F("service", record->service),
                   logging::F("address", record->address),
                   logging::F("phase", static_cast<int>(record->phase))});
    Changed();
  }
  if (record->phase == WorkerPhase::kReady || spread_.contains(worker_id)) {
    Acknowledge(exchange.get(), worker_id);
    if (changed) Broadcast(worker_id, nullptr);
    return;
  }
  waiting_[worker_id].push_back(std::move(exchange));
  if (waiting_[worker_id].size() > 1) return;
  Broadcast(worker_id, [this, worker_id](bool reached) {
    if (reached) spread_.insert(worker_id);
    for (const auto& each : std::exchange(waiting_[worker_id], {}))
      AnswerLeaving(each.get(), worker_id, reached);
    waiting_.erase(worker_id);
  });
}

void WorkerRegistry::OnDeparture(std::shared_ptr<front::Exchange> exchange,
                                 const std::string& worker_id) {
  if (state_.Depart(Now(), worker_id)) {
    logging::Info(kModule, "worker departed", {logging::F("worker", worker_id)});
    Changed();
  }
  Broadcast(worker_id, [this, exchange, worker_id](bool reached) {
    AnswerLeaving(exchange.get(), worker_id, reached);
  });
}

void WorkerRegistry::AnswerLeaving(front::Exchange* exchange, const std::string& worker_id,
                                   bool reached) {
  if (reached) return Acknowledge(exchange, worker_id);
  exchange->Respond(503, {}, "no other node can be reached");
}

void WorkerRegistry::Acknowledge(front::Exchange* exchange, const std::string& worker_id) {
  const std::string target = BeatTarget(worker_id);
  const std::string body = target.empty() ? "{}" : "{\"beat_target\":\"" + target + "\"}";
  exchange->Respond(200, {{"Content-Type", "application/json"}}, body);
}

// A few nodes take all heartbeats, so that what is spread of them comes from few: of the live
// quorum members (of all control nodes where there is none) one by the worker's id.
std::string WorkerRegistry::BeatTarget(const std::string& worker_id) const {
  using coordination::MemberInfo;
  std::vector<std::string> takers;
  for (const std::uint8_t role : {MemberInfo::kQuorumMember, MemberInfo::kServesControl}) {
    for (const auto& [name, member] : control_->members())
      if (member.status == coordination::MemberStatus::kAlive && member.info.Is(role) &&
          member.info.Is(MemberInfo::kServesControl))
        takers.push_back(IpOf(member.info.address));
    if (!takers.empty()) break;
  }
  if (takers.empty() || control_port_.empty()) return "";
  return takers[Hash(worker_id) % takers.size()] + ":" + control_port_;
}

void WorkerRegistry::ReportGone(const std::string& worker_id) {
  if (!state_.Depart(Now(), worker_id)) return;
  logging::Info(kModule, "worker is not at its address", {logging::F("worker", worker_id)});
  Changed();
}

void WorkerRegistry::OnUpdate(std::string_view body, const mesh::Respond& respond) {
  const auto update = codec::Decode<WorkerUpdate>(body);
  if (!update.ok()) return respond(update.status());
  Import(*update);
  respond(std::string());
}

void WorkerRegistry::Import(const WorkerUpdate& update) {
  const Micros now = Now();
  bool changed = false;
  for (const WorkerUpdate::Item& item : update.items) {
    WorkerRecord record = item.record;
    record.warm_at = now + item.warm_left_ms * kMs;
    changed = state_.Merge(now, record, item.unheard_ms * kMs) || changed;
  }
  if (changed) Changed();
}

void WorkerRegistry::OnSummary(std::string_view body, const mesh::Respond& respond) {
  const auto summary = codec::Decode<WorkerSummary>(body);
  if (!summary.ok()) return respond(summary.status());
  const Micros now = Now();
  WorkerSummaryAnswer answer;
  for (const WorkerSummary::Item& item : summary->items) {
    if (state_.Covers(item))
      state_.Touch(now, item.worker_id, item.call_seq);
    else
      answer.unknown.push_back(item.worker_id);
  }
  if (summary->want_all) answer.known.items = state_.Export(now);
  respond(codec::Encode(answer));
}

void WorkerRegistry::Changed() {
  table_ = state_.BuildTable();
  for (const auto& listener : listeners_) listener();
}

std::vector<std::string> WorkerRegistry::LiveEdges() const {
  std::vector<std::string> nodes;
  for (const auto& [name, member] : control_->members()) {
    if (name == self_ || !member.info.Is(coordination::MemberInfo::kServesEdge)) continue;
    if (member.status == coordination::MemberStatus::kAlive ||
        member.status == coordination::MemberStatus::kSuspect)
      nodes.push_back(name);
  }
  return nodes;
}

std::string WorkerRegistry::AddressOf(const std::string& node) const {
  const auto found = control_->members().find(node);
  return found == control_->members().end() ? "" : found->second.info.address;
}

void WorkerRegistry::Broadcast(const std::string& worker_id, SpreadDone done) {
  auto spread = std::make_shared<Spread>();
  WorkerUpdate update;
  update.items.push_back(state_.ExportOne(Now(), worker_id));
  spread->body = codec::Encode(update);
  spread->until = Now() + spread_bound_;
  spread->done = std::move(done);
  for (const std::string& node : LiveEdges()) spread->missing.insert(node);
  if (spread->missing.empty()) return spread->Finish();
  if (spread->done) timers_->After(ack_bound_, [spread] { spread->Finish(); });
  for (const std::string& node : std::set<std::string>(spread->missing)) SendTo(spread, node);
}

void WorkerRegistry::SendTo(const std::shared_ptr<Spread>& spread, const std::string& node) {
  const std::string address = AddressOf(node);
  if (address.empty() || Now() >= spread->until) return;
  mesh_->Call(address, mesh::MessageType::kWorkerUpdate, spread->body, kTryTimeout,
              [this, spread, node](absl::StatusOr<std::string> answer) {
                if (answer.ok()) {
                  spread->missing.erase(node);
                  ++spread->acknowledged;
                  if (spread->missing.empty()) spread->Finish();
                  return;
                }
                timers_->After(kTryTimeout / 4, [this, spread, node] { SendTo(spread, node); });
              });
}

void WorkerRegistry::Tick() {
  if (state_.Expire(Now())) Changed();
  if (!has_all_) AskForAll();
  SendSummaries();
  timers_->After(period_, [this] { Tick(); });
}

void WorkerRegistry::SendSummaries() {
  WorkerSummary summary;
  for (const std::string& id : std::exchange(heard_, {}))
    if (const WorkerRecord* record = state_.Find(id))
      summary.items.push_back({id, record->call_seq, record->phase});
  if (summary.items.empty()) return;
  const std::string body = codec::Encode(summary);
  for (const std::string& node : LiveEdges()) {
    const std::string address = AddressOf(node);
    mesh_->Call(address, mesh::MessageType::kWorkerSync, body, period_,
                [this, address](absl::StatusOr<std::string> bytes) {
                  if (!bytes.ok()) return;
                  const auto answer = codec::Decode<WorkerSummaryAnswer>(*bytes);
                  if (!answer.ok() || answer->unknown.empty()) return;
                  WorkerUpdate update;
                  for (const std::string& id : answer->unknown)
                    if (state_.Find(id) != nullptr)
                      update.items.push_back(state_.ExportOne(Now(), id));
                  mesh_->Call(address, mesh::MessageType::kWorkerUpdate, codec::Encode(update),
                              kTryTimeout, [](absl::StatusOr<std::string>) {});
                });
  }
}

void WorkerRegistry::AskForAll() {
  WorkerSummary summary;
  summary.want_all = true;
  const std::string body = codec::Encode(summary);
  for (const std::string& node : LiveEdges())
    mesh_->Call(AddressOf(node), mesh::MessageType::kWorkerSync, body, period_,
                [this](absl::StatusOr<std::string> bytes) {
                  if (!bytes.ok()) return;
                  const auto answer = codec::Decode<WorkerSummaryAnswer>(*bytes);
                  if (!answer.ok()) return;
                  has_all_ = true;
                  Import(answer->known);
                });
}

}  // namespace pearreach::registry
