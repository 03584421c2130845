#include "batch/lot_store_quota.h"

#include <utility>

namespace pearreach::batch {
namespace {

constexpr Micros kReserveTimeout = 800 * kMs;
constexpr Micros kAskTimeout = 600 * kMs;
constexpr Micros kWaitForReports = 700 * kMs;
constexpr Micros kReportPeriod = 100 * kMs;

std::string Verdict(QuotaVerdict verdict) { return codec::Encode(QuotaReserveAnswer{verdict}); }

}  // namespace

QuotaService::QuotaService(StoreContext* context)
    : context_(context), process_(context->Random() | 1) {}

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
  QuotaReserve reserve{lot.route, lot.lot_id, 0, lot.token_cap};
  for (const ItemSpec& item : lot.items) reserve.tokens += item.tokens;
  context_->Send(*owner, mesh::MessageType::kQuotaReserve, codec::Encode(reserve), kReserveTimeout,
                 [this, done = std::move(done)](const absl::StatusOr<std::string>& bytes) {
                   if (!bytes.ok()) {
                     if (absl::IsFailedPrecondition(bytes.status())) context_->RefreshTable();
                     done(QuotaVerdict::kUnknown);
                     return;
                   }
                   const auto answer = codec::Decode<QuotaReserveAnswer>(*bytes);
                   done(answer.ok() ? answer->verdict : QuotaVerdict::kUnknown);
                 });
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
  context_->Send(*owner, mesh::MessageType::kQuotaReport, codec::Encode(ReportOf(route)),
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
  const auto at = tokens_.find(route);
  if (at == tokens_.end()) return report;
  for (const auto& [lot_id, tokens] : at->second) report.lots.push_back({lot_id, tokens});
  return report;
}

void QuotaService::OnActive(std::uint32_t partition) {
  for (const auto& [lot_id, lot] : context_->Replica(partition).lots().lots()) Update(lot_id);
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

void QuotaService::OnReserve(QuotaReserve reserve, mesh::Respond respond) {
  if (!IsOwner(reserve.route)) {
    respond(NotPrimary());
    return;
  }
  PartitionReplica* replica = context_->ActiveReplica(reserve.route);
  replica->Confirm([this, reserve = std::move(reserve), respond](bool stands) {
    if (stands && IsOwner(reserve.route)) {
      Grant(reserve, respond);
    } else {
      respond(NotPrimary());
    }
  });
}

void QuotaService::Grant(const QuotaReserve& reserve, const mesh::Respond& respond) {
  Owned& owned = owned_[reserve.route];
  const QuotaVerdict verdict = owned.ledger.Reserve(reserve, context_->Now());
  if (verdict != QuotaVerdict::kUnknown) {
    respond(Verdict(verdict));
    return;
  }
  owned.waiting.push_back({reserve, respond, context_->Now() + kWaitForReports});
  AskStores(reserve.route);
  const std::string route = reserve.route;
  context_->After(kWaitForReports, [this, route] { AnswerWaiting(route); });
}

// Every primary tells what waits on the route; asked again only once all have answered or failed.
void QuotaService::AskStores(const std::string& route) {
  Owned& owned = owned_[route];
  if (owned.asked > 0) return;
  std::set<StoreId> primaries;
  for (const Partition& partition : context_->Placement().partitions) {
    if (!partition.replicas.empty()) primaries.insert(partition.replicas.front());
  }
  QuotaReport question;
  question.route = route;
  question.ask = true;
  const std::string body = codec::Encode(question);
  owned.asked = static_cast<int>(primaries.size());
  for (const StoreId& store : primaries) {
    context_->Send(store, mesh::MessageType::kQuotaReport, body, kAskTimeout,
                   [this, route](const absl::StatusOr<std::string>& bytes) {
                     const auto at = owned_.find(route);
                     if (at == owned_.end()) return;
                     if (at->second.asked > 0) --at->second.asked;
                     if (!bytes.ok()) return;
                     const auto report = codec::Decode<QuotaReport>(*bytes);
                     if (report.ok()) at->second.ledger.Report(*report, context_->Now());
                     AnswerWaiting(route);
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
    const QuotaVerdict verdict = at->second.ledger.Reserve(one.reserve, now);
    if (verdict == QuotaVerdict::kUnknown && now < one.give_up) {
      at->second.waiting.push_back(std::move(one));
    } else {
      one.respond(Verdict(verdict));
    }
  }
}

void QuotaService::OnReport(const QuotaReport& report, const mesh::Respond& respond) {
  if (report.ask) {
    respond(codec::Encode(ReportOf(report.route)));
    return;
  }
  if (!IsOwner(report.route)) {
    respond(NotPrimary());
    return;
  }
  owned_[report.route].ledger.Report(report, context_->Now());
  respond(std::string());
  AnswerWaiting(report.route);
}

// What only a new report can settle is asked for.
void QuotaService::Tick() {
  const Micros now = context_->Now();
  for (auto& [route, owned] : owned_) {
    if (owned.ledger.WantsReports(context_->Placement(), now)) AskStores(route);
  }
}

}  // namespace pearreach::batch
