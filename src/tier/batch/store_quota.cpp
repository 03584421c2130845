#include "tier/batch/store_quota.h"

#include <utility>

#include "tier/batch/item_tenant.h"

namespace pearreach::batch {
namespace {

constexpr Micros kReserveTimeout = 800 * kMs;
constexpr Micros kReportTimeout = 600 * kMs;
constexpr Micros kWaitForReports = 700 * kMs;
constexpr Micros kReportPeriod = 100 * kMs;

// Rises from start to start of a machine's processes.
std::uint64_t ProcessNumber(StoreContext* context) {
  constexpr int kRandomBits = 16;
  const auto started = static_cast<std::uint64_t>(context->WallMs()) << kRandomBits;
  return started | (context->Random() & ((1U << kRandomBits) - 1));
}

std::string EncodeDecision(QuotaDecision verdict) {
  return codec::Encode(QuotaResponse{verdict, 0});
}

}  // namespace

QuotaService::QuotaService(StoreContext* context)
    : context_(context), process_(ProcessNumber(context)) {}

const StoreId* QuotaService::OwnerOf(const std::string& route) const {
  const auto& partitions = context_->Placement().partitions;
  const std::uint32_t partition = PartitionOf(route);
  if (partition >= partitions.size() || partitions[partition].replicas.empty()) return nullptr;
  return &partitions[partition].replicas.front();
}

bool QuotaService::IsOwner(const std::string& route) {
  return context_->ActiveReplica(route) != nullptr;
}

// ---------------------------------------------------------------- as a primary of batch jobs

void QuotaService::Reserve(const BatchJobSpec& batch_job, std::function<void(QuotaDecision)> done) {
  const std::string route = QuotaKey(batch_job);
  const StoreId* owner = OwnerOf(route);
  if (owner == nullptr) {
    context_->After(0, [done = std::move(done)] { done(QuotaDecision::kUnknown); });
    return;
  }
  QuotaReserveRequest reserve{batch_job.batch_job_id, {}, batch_job.token_cap};
  QuotaReservation& reservation = reserve.reservation;
  reservation.route = route;
  for (const ItemSpec& item : batch_job.items) reservation.tokens += item.tokens;
  reservation.epoch = context_->Replica(PartitionOf(batch_job.batch_job_id)).epoch();
  reservation.process = process_;
  reservation.sequence = ++sequence_;
  pending_reservations_[batch_job.batch_job_id] = {route, reservation.sequence};
  context_->Send(*owner, rpc::MessageType::kQuotaReserve, codec::Encode(reserve), kReserveTimeout,
                 [this, batch_job_id = batch_job.batch_job_id, reservation,
                  done = std::move(done)](const absl::StatusOr<std::string>& bytes) {
                   OnReserved(batch_job_id, reservation, bytes, done);
                 });
}

// Until `done` has been called, reports name the batch job as asked for; from then on as waiting
// here, if it was granted. A grant from before a change of the partition counts no more: the owner
// may have been told since, by another primary, that there is no such batch job.
void QuotaService::OnReserved(const std::string& batch_job_id, const QuotaReservation& reservation,
                              const absl::StatusOr<std::string>& bytes,
                              const std::function<void(QuotaDecision)>& done) {
  const auto at = pending_reservations_.find(batch_job_id);
  if (at != pending_reservations_.end() && at->second.sequence == reservation.sequence)
    pending_reservations_.erase(at);
  if (!bytes.ok()) {
    if (absl::IsFailedPrecondition(bytes.status())) context_->RefreshTable();
    done(QuotaDecision::kUnknown);
    return;
  }
  const auto response = codec::Decode<QuotaResponse>(*bytes);
  const bool stands = context_->Replica(PartitionOf(batch_job_id)).epoch() == reservation.epoch;
  done(response.ok() && stands ? response->verdict : QuotaDecision::kUnknown);
}

void QuotaService::Update(const std::string& batch_job_id) {
  PartitionReplica* replica = context_->ActiveReplica(batch_job_id);
  const BatchJob* batch_job =
      replica == nullptr ? nullptr : replica->batch_jobs().Find(batch_job_id);
  const auto known = routes_.find(batch_job_id);
  const double tokens =
      batch_job == nullptr || batch_job->header.token_cap <= 0 ? 0 : batch_job->WaitingTokens();
  if (known == routes_.end() && tokens == 0) return;
  const std::string route =
      known == routes_.end() ? QuotaKey(batch_job->header.route, batch_job->tenant) : known->second;
  if (tokens == 0) {
    tokens_[route].erase(batch_job_id);
    routes_.erase(batch_job_id);
  } else {
    tokens_[route][batch_job_id] = tokens;
    routes_[batch_job_id] = route;
  }
  ScheduleReport(route);
}

void QuotaService::ScheduleReport(const std::string& route) {
  changed_.insert(route);
  if (report_timer_ == 0) report_timer_ = context_->After(kReportPeriod, [this] { SendReports(); });
}

void QuotaService::SendReports() {
  report_timer_ = 0;
  const std::set<std::string> changed = std::move(changed_);
  changed_.clear();
  for (const std::string& route : changed) SendReport(route);
}

void QuotaService::SendReport(const std::string& route) {
  const StoreId* owner = OwnerOf(route);
  if (owner == nullptr) return;
  context_->Send(*owner, rpc::MessageType::kQuotaReport, codec::Encode(ReportOf(route)),
                 kReserveTimeout, [this, route](const absl::StatusOr<std::string>& response) {
                   if (!response.ok() && tokens_.contains(route)) ScheduleReport(route);
                 });
}

QuotaReport QuotaService::ReportOf(const std::string& route) {
  QuotaReport report;
  report.route = route;
  report.process = process_;
  report.sequence = ++sequence_;
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    const PartitionReplica& replica = context_->Replica(partition);
    if (replica.is_active()) report.partitions.emplace_back(partition, replica.epoch());
  }
  for (const auto& [batch_job_id, pending] : pending_reservations_) {
    if (pending.route == route) report.pending_reservations.push_back(batch_job_id);
  }
  const auto at = tokens_.find(route);
  if (at == tokens_.end()) return report;
  for (const auto& [batch_job_id, tokens] : at->second)
    report.batch_jobs.push_back({batch_job_id, tokens});
  return report;
}

void QuotaService::OnActive(std::uint32_t partition) {
  const BatchJobTable& batch_jobs = context_->Replica(partition).batch_jobs();
  for (const auto& [batch_job_id, batch_job] : batch_jobs.batch_jobs()) Update(batch_job_id);
  for (const auto& [batch_job_id, reservation] : batch_jobs.Reservations())
    FindOrAddOwnedRoute(reservation.route);
}

void QuotaService::OnInactive(std::uint32_t partition) {
  std::vector<std::string> batch_jobs;
  for (const auto& [batch_job_id, route] : routes_) {
    if (PartitionOf(batch_job_id) == partition) batch_jobs.push_back(batch_job_id);
  }
  for (const std::string& batch_job_id : batch_jobs) {
    tokens_[routes_[batch_job_id]].erase(batch_job_id);
    routes_.erase(batch_job_id);
  }
  std::erase_if(owned_routes_, [&](auto& entry) {
    if (PartitionOf(entry.first) != partition) return false;
    for (const Waiting& waiting : entry.second.waiting) waiting.respond(NotPrimary());
    return true;
  });
}

// ---------------------------------------------------------------- as the owner of a route

void QuotaService::OnReserve(QuotaReserveRequest reserve, const rpc::Respond& respond) {
  if (!IsOwner(reserve.reservation.route)) {
    respond(NotPrimary());
    return;
  }
  PartitionReplica* replica = context_->ActiveReplica(reserve.reservation.route);
  replica->Confirm([this, reserve = std::move(reserve), respond](bool stands) {
    if (stands && IsOwner(reserve.reservation.route)) {
      Grant(reserve, respond);
    } else {
      respond(NotPrimary());
    }
  });
}

void QuotaService::OnQuery(const QuotaQuery& question, const rpc::Respond& respond) {
  if (!IsOwner(question.route)) {
    respond(NotPrimary());
    return;
  }
  QuotaTracker& tracker = FindOrAddOwnedRoute(question.route).tracker;
  QuotaResponse response{tracker.Fits(question), 0};
  if (response.verdict == QuotaDecision::kOver)
    response.retry_after_ms = tracker.RetryAfter(question, context_->Now()) / kMs;
  respond(codec::Encode(response));
}

QuotaService::OwnedRoute& QuotaService::FindOrAddOwnedRoute(const std::string& route) {
  const auto [at, fresh] = owned_routes_.try_emplace(route);
  if (!fresh) return at->second;
  std::map<std::string, QuotaReservation> reservations =
      context_->Replica(PartitionOf(route)).batch_jobs().Reservations();
  std::erase_if(reservations, [&](const auto& entry) { return entry.second.route != route; });
  at->second.since = context_->Now();
  at->second.tracker = QuotaTracker(reservations, at->second.since);
  if (!reservations.empty()) context_->After(0, [this, route] { RequestReports(route); });
  return at->second;
}

// A new owner knows what was granted but not yet how much of it has been done: a batch job that
// does not fit waits a moment for the first reports.
void QuotaService::Grant(const QuotaReserveRequest& reserve, const rpc::Respond& respond) {
  const std::string route = reserve.reservation.route;
  OwnedRoute& owned = FindOrAddOwnedRoute(route);
  const Micros now = context_->Now();
  if (owned.tracker.Reserve(reserve, now) == QuotaDecision::kGranted) {
    CommitGrant(reserve, respond);
    return;
  }
  const Micros deadline = owned.since + kWaitForReports;
  if (owned.tracker.IsFresh() || now >= deadline) {
    respond(EncodeDecision(QuotaDecision::kOver));
    return;
  }
  owned.waiting.push_back({reserve, respond, deadline});
  RequestReports(route);
  context_->After(deadline - now, [this, route] { RetryWaiting(route); });
}

void QuotaService::CommitGrant(const QuotaReserveRequest& reserve, const rpc::Respond& respond) {
  PartitionReplica& replica = context_->Replica(PartitionOf(reserve.reservation.route));
  replica.Submit(MakeReservation(reserve.batch_job_id, reserve.reservation),
                 [respond](const absl::Status& status) {
                   if (status.ok()) {
                     respond(EncodeDecision(QuotaDecision::kGranted));
                   } else {
                     respond(status);
                   }
                 });
}

// Every primary reports what waits on the route; requested again only once all have responded or
// failed.
void QuotaService::RequestReports(const std::string& route) {
  const auto owned = owned_routes_.find(route);
  if (owned == owned_routes_.end() || owned->second.pending_reports > 0) return;
  std::set<StoreId> primaries;
  for (const Partition& partition : context_->Placement().partitions) {
    if (!partition.replicas.empty()) primaries.insert(partition.replicas.front());
  }
  QuotaReport question;
  question.route = route;
  question.is_request = true;
  const std::string body = codec::Encode(question);
  owned->second.pending_reports = static_cast<int>(primaries.size());
  for (const StoreId& store : primaries) {
    context_->Send(store, rpc::MessageType::kQuotaReport, body, kReportTimeout,
                   [this, route](const absl::StatusOr<std::string>& bytes) {
                     const auto at = owned_routes_.find(route);
                     if (at == owned_routes_.end()) return;
                     if (at->second.pending_reports > 0) --at->second.pending_reports;
                     if (!bytes.ok()) return;
                     const auto report = codec::Decode<QuotaReport>(*bytes);
                     if (report.ok()) ApplyReport(*report);
                   });
  }
}

void QuotaService::RetryWaiting(const std::string& route) {
  const auto at = owned_routes_.find(route);
  if (at == owned_routes_.end() || at->second.waiting.empty()) return;
  const Micros now = context_->Now();
  std::vector<Waiting> waiting = std::move(at->second.waiting);
  at->second.waiting.clear();
  for (Waiting& one : waiting) {
    if (at->second.tracker.Reserve(one.reserve, now) == QuotaDecision::kGranted) {
      CommitGrant(one.reserve, one.respond);
    } else if (at->second.tracker.IsFresh() || now >= one.deadline) {
      one.respond(EncodeDecision(QuotaDecision::kOver));
    } else {
      at->second.waiting.push_back(std::move(one));
    }
  }
}

void QuotaService::ApplyReport(const QuotaReport& report) {
  const auto at = owned_routes_.find(report.route);
  if (at == owned_routes_.end()) return;
  PartitionReplica& replica = context_->Replica(PartitionOf(report.route));
  for (const std::string& batch_job_id : at->second.tracker.Report(report, context_->Now())) {
    replica.Submit(MakeRelease(batch_job_id), [](const absl::Status&) {});
  }
  RetryWaiting(report.route);
}

void QuotaService::OnReport(const QuotaReport& report, const rpc::Respond& respond) {
  if (report.is_request) {
    respond(codec::Encode(ReportOf(report.route)));
    return;
  }
  if (!IsOwner(report.route)) {
    respond(NotPrimary());
    return;
  }
  FindOrAddOwnedRoute(report.route);
  respond(std::string());
  ApplyReport(report);
}

void QuotaService::Tick() {
  const Micros now = context_->Now();
  for (auto& [route, owned] : owned_routes_) {
    if (owned.tracker.WantsReports(now)) RequestReports(route);
  }
}

}  // namespace pearreach::batch
