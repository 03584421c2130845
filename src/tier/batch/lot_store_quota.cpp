#include "tier/batch/lot_store_quota.h"

#include <utility>

namespace pearreach::batch {
namespace {

constexpr Micros kReserveTimeout = 800 * kMs;
constexpr Micros kAskTimeout = 600 * kMs;
constexpr Micros kWaitForReports = 700 * kMs;
constexpr Micros kReportPeriod = 100 * kMs;

// Rises from start to start of a machine's processes.
std::uint64_t ProcessNumber(StoreContext* context) {
  constexpr int kRandomBits = 16;
  const auto started = static_cast<std::uint64_t>(context->WallMs()) << kRandomBits;
  return started | (context->Random() & ((1U << kRandomBits) - 1));
}

std::string Verdict(QuotaVerdict verdict) { return codec::Encode(QuotaReserveAnswer{verdict, 0}); }

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

// ---------------------------------------------------------------- as a primary of lots

void QuotaService::Reserve(const LotSpec& lot, std::function<void(QuotaVerdict)> done) {
  const StoreId* owner = OwnerOf(lot.route);
  if (owner == nullptr) {
    context_->After(0, [done = std::move(done)] { done(QuotaVerdict::kUnknown); });
    return;
  }
  QuotaReserve reserve{lot.lot_id, {}, lot.token_cap};
  QuotaReservation& reservation = reserve.reservation;
  reservation.route = lot.route;
  for (const ItemSpec& item : lot.items) reservation.tokens += item.tokens;
  reservation.epoch = context_->Replica(PartitionOf(lot.lot_id)).epoch();
  reservation.process = process_;
  reservation.sequence = ++sequence_;
  asked_[lot.lot_id] = {lot.route, reservation.sequence};
  context_->Send(*owner, rpc::MessageType::kQuotaReserve, codec::Encode(reserve), kReserveTimeout,
                 [this, lot_id = lot.lot_id, reservation,
                  done = std::move(done)](const absl::StatusOr<std::string>& bytes) {
                   OnReserved(lot_id, reservation, bytes, done);
                 });
}

// Until `done` has been called, reports name the lot as asked for; from then on as waiting here, if
// it was granted. A grant from before a change of the partition counts no more: the owner may have
// been told since, by another primary, that there is no such lot.
void QuotaService::OnReserved(const std::string& lot_id, const QuotaReservation& reservation,
                              const absl::StatusOr<std::string>& bytes,
                              const std::function<void(QuotaVerdict)>& done) {
  const auto at = asked_.find(lot_id);
  if (at != asked_.end() && at->second.sequence == reservation.sequence) asked_.erase(at);
  if (!bytes.ok()) {
    if (absl::IsFailedPrecondition(bytes.status())) context_->RefreshTable();
    done(QuotaVerdict::kUnknown);
    return;
  }
  const auto answer = codec::Decode<QuotaReserveAnswer>(*bytes);
  const bool stands = context_->Replica(PartitionOf(lot_id)).epoch() == reservation.epoch;
  done(answer.ok() && stands ? answer->verdict : QuotaVerdict::kUnknown);
}

void QuotaService::Update(const std::string& lot_id) {
  PartitionReplica* replica = context_->ActiveReplica(lot_id);
  const Lot* lot = replica == nullptr ? nullptr : replica->lots().Find(lot_id);
  const auto known = routes_.find(lot_id);
  const double tokens = lot == nullptr || lot->header.token_cap <= 0 ? 0 : lot->WaitingTokens();
  if (known == routes_.end() && tokens == 0) return;
  const std::string route = known == routes_.end() ? lot->header.route : known->second;
  if (tokens == 0) {
    tokens_[route].erase(lot_id);
    routes_.erase(lot_id);
  } else {
    tokens_[route][lot_id] = tokens;
    routes_[lot_id] = route;
  }
  MarkChanged(route);
}

void QuotaService::MarkChanged(const std::string& route) {
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
                 kReserveTimeout, [this, route](const absl::StatusOr<std::string>& answer) {
                   if (!answer.ok() && tokens_.contains(route)) MarkChanged(route);
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
  for (const auto& [lot_id, asked] : asked_) {
    if (asked.route == route) report.asked.push_back(lot_id);
  }
  const auto at = tokens_.find(route);
  if (at == tokens_.end()) return report;
  for (const auto& [lot_id, tokens] : at->second) report.lots.push_back({lot_id, tokens});
  return report;
}

void QuotaService::OnActive(std::uint32_t partition) {
  const LotTable& lots = context_->Replica(partition).lots();
  for (const auto& [lot_id, lot] : lots.lots()) Update(lot_id);
  for (const auto& [lot_id, reservation] : lots.Reservations()) OwnedOf(reservation.route);
}

void QuotaService::OnInactive(std::uint32_t partition) {
  std::vector<std::string> lots;
  for (const auto& [lot_id, route] : routes_) {
    if (PartitionOf(lot_id) == partition) lots.push_back(lot_id);
  }
  for (const std::string& lot_id : lots) {
    tokens_[routes_[lot_id]].erase(lot_id);
    routes_.erase(lot_id);
  }
  std::erase_if(owned_, [&](auto& entry) {
    if (PartitionOf(entry.first) != partition) return false;
    for (const Waiting& waiting : entry.second.waiting) waiting.respond(NotPrimary());
    return true;
  });
}

// ---------------------------------------------------------------- as the owner of a route

void QuotaService::OnReserve(QuotaReserve reserve, rpc::Respond respond) {
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

void QuotaService::OnQuestion(const QuotaQuestion& question, const rpc::Respond& respond) {
  if (!IsOwner(question.route)) {
    respond(NotPrimary());
    return;
  }
  QuotaLedger& ledger = OwnedOf(question.route).ledger;
  QuotaReserveAnswer answer{ledger.Fits(question), 0};
  if (answer.verdict == QuotaVerdict::kOver)
    answer.retry_after_ms = ledger.RetryAfter(question, context_->Now()) / kMs;
  respond(codec::Encode(answer));
}

QuotaService::Owned& QuotaService::OwnedOf(const std::string& route) {
  const auto [at, fresh] = owned_.try_emplace(route);
  if (!fresh) return at->second;
  std::map<std::string, QuotaReservation> held =
      context_->Replica(PartitionOf(route)).lots().Reservations();
  std::erase_if(held, [&](const auto& entry) { return entry.second.route != route; });
  at->second.since = context_->Now();
  at->second.ledger = QuotaLedger(held, at->second.since);
  if (!held.empty()) context_->After(0, [this, route] { AskStores(route); });
  return at->second;
}

// A new owner knows what was granted but not yet how much of it has been done: a lot that does not
// fit waits a moment for the first reports.
void QuotaService::Grant(const QuotaReserve& reserve, const rpc::Respond& respond) {
  const std::string route = reserve.reservation.route;
  Owned& owned = OwnedOf(route);
  const Micros now = context_->Now();
  if (owned.ledger.Reserve(reserve, now) == QuotaVerdict::kGranted) {
    KeepGrant(reserve, respond);
    return;
  }
  const Micros give_up = owned.since + kWaitForReports;
  if (owned.ledger.IsFresh() || now >= give_up) {
    respond(Verdict(QuotaVerdict::kOver));
    return;
  }
  owned.waiting.push_back({reserve, respond, give_up});
  AskStores(route);
  context_->After(give_up - now, [this, route] { AnswerWaiting(route); });
}

void QuotaService::KeepGrant(const QuotaReserve& reserve, const rpc::Respond& respond) {
  PartitionReplica& replica = context_->Replica(PartitionOf(reserve.reservation.route));
  replica.Submit(MakeReservation(reserve.lot_id, reserve.reservation),
                 [respond](const absl::Status& status) {
                   if (status.ok()) {
                     respond(Verdict(QuotaVerdict::kGranted));
                   } else {
                     respond(status);
                   }
                 });
}

// Every primary tells what waits on the route; asked again only once all have answered or failed.
void QuotaService::AskStores(const std::string& route) {
  const auto owned = owned_.find(route);
  if (owned == owned_.end() || owned->second.asked > 0) return;
  std::set<StoreId> primaries;
  for (const Partition& partition : context_->Placement().partitions) {
    if (!partition.replicas.empty()) primaries.insert(partition.replicas.front());
  }
  QuotaReport question;
  question.route = route;
  question.ask = true;
  const std::string body = codec::Encode(question);
  owned->second.asked = static_cast<int>(primaries.size());
  for (const StoreId& store : primaries) {
    context_->Send(store, rpc::MessageType::kQuotaReport, body, kAskTimeout,
                   [this, route](const absl::StatusOr<std::string>& bytes) {
                     const auto at = owned_.find(route);
                     if (at == owned_.end()) return;
                     if (at->second.asked > 0) --at->second.asked;
                     if (!bytes.ok()) return;
                     const auto report = codec::Decode<QuotaReport>(*bytes);
                     if (report.ok()) TakeReport(*report);
                   });
  }
}

void QuotaService::AnswerWaiting(const std::string& route) {
  const auto at = owned_.find(route);
  if (at == owned_.end() || at->second.waiting.empty()) return;
  const Micros now = context_->Now();
  std::vector<Waiting> waiting = std::move(at->second.waiting);
  at->second.waiting.clear();
  for (Waiting& one : waiting) {
    if (at->second.ledger.Reserve(one.reserve, now) == QuotaVerdict::kGranted) {
      KeepGrant(one.reserve, one.respond);
    } else if (at->second.ledger.IsFresh() || now >= one.give_up) {
      one.respond(Verdict(QuotaVerdict::kOver));
    } else {
      at->second.waiting.push_back(std::move(one));
    }
  }
}

void QuotaService::TakeReport(const QuotaReport& report) {
  const auto at = owned_.find(report.route);
  if (at == owned_.end()) return;
  PartitionReplica& replica = context_->Replica(PartitionOf(report.route));
  for (const std::string& lot_id : at->second.ledger.Report(report, context_->Now())) {
    replica.Submit(MakeRelease(lot_id), [](const absl::Status&) {});
  }
  AnswerWaiting(report.route);
}

void QuotaService::OnReport(const QuotaReport& report, const rpc::Respond& respond) {
  if (report.ask) {
    respond(codec::Encode(ReportOf(report.route)));
    return;
  }
  if (!IsOwner(report.route)) {
    respond(NotPrimary());
    return;
  }
  OwnedOf(report.route);
  respond(std::string());
  TakeReport(report);
}

void QuotaService::Tick() {
  const Micros now = context_->Now();
  for (auto& [route, owned] : owned_) {
    if (owned.ledger.WantsReports(now)) AskStores(route);
  }
}

}  // namespace pearreach::batch
