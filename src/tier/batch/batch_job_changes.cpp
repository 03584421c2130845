#include "tier/batch/batch_job_changes.h"

#include <utility>

#include "tier/batch/batch_job_age.h"
#include "tier/batch/disk_capacity.h"
#include "tier/batch/item_tenant.h"

namespace pearreach::batch {
namespace {

constexpr std::size_t kMaxBatchJobIdBytes = 200;
// A replica that was heard of so lately is there; others are asked, and have so long to answer: a
// small part of the second after which clients take silence for a loss.
constexpr Micros kOfferSpan = 50 * kMs;
constexpr Micros kOfferTimeout = 250 * kMs;

bool IsProperId(const std::string& batch_job_id) {
  return !batch_job_id.empty() && batch_job_id.size() <= kMaxBatchJobIdBytes &&
         batch_job_id.find('\0') == std::string::npos;
}

std::size_t ItemBytes(const BatchJobSpec& batch_job) {
  std::size_t bytes = 0;
  for (const ItemSpec& item : batch_job.items) {
    bytes += sizeof item + item.item_id.size() + item.path.size() + item.body.size();
    for (const auto& header : item.headers)
      bytes += sizeof header + header.first.size() + header.second.size();
  }
  return bytes;
}

}  // namespace

void BatchJobChanges::OnOffer(const OfferBatchJob& offer, const rpc::Respond& respond) {
  PartitionReplica* replica = context_->ActiveReplica(offer.batch_job_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const bool known = replica->batch_jobs().Find(offer.batch_job_id) != nullptr ||
                     creating_.contains(offer.batch_job_id);
  if (known) {
    respond(codec::Encode(OfferBatchJobResponse{OfferVerdict::kKnown}));
    return;
  }
  if (!context_->HasMemory() || !context_->HasDiskCapacity(replica->table(), offer.disk_bytes)) {
    respond(codec::Encode(OfferBatchJobResponse{OfferVerdict::kInsufficientCapacity}));
    return;
  }
  replica->ConfirmAllRequired(kOfferSpan, kOfferTimeout, [respond](bool answered) {
    if (answered) {
      respond(codec::Encode(OfferBatchJobResponse{OfferVerdict::kWelcome}));
    } else {
      respond(absl::FailedPreconditionError("a replica does not answer"));
    }
  });
}

void BatchJobChanges::OnCreate(CreateBatchJob create, rpc::Respond respond) {
  const auto batch_job = std::make_shared<const BatchJobSpec>(std::move(create.batch_job));
  PartitionReplica* replica = context_->ActiveReplica(batch_job->batch_job_id);
  if (replica == nullptr || replica->epoch() != create.partition_epoch) {
    if (replica != nullptr && replica->epoch() < create.partition_epoch) context_->RefreshTable();
    respond(NotPrimary());
    return;
  }
  if (!IsProperId(batch_job->batch_job_id)) {
    respond(absl::InvalidArgumentError("not a lot's id"));
    return;
  }
  const BatchJob* known = replica->batch_jobs().Find(batch_job->batch_job_id);
  const auto under_way = creating_.find(batch_job->batch_job_id);
  const bool other =
      (known != nullptr && known->header.fingerprint != batch_job->fingerprint) ||
      (under_way != creating_.end() && under_way->second.fingerprint != batch_job->fingerprint);
  if (other) {
    respond(absl::AlreadyExistsError("another lot has this id"));
    return;
  }
  if (known != nullptr && known->accepted) {
    respond(codec::Encode(CreateBatchJobResponse{CreateStatus::kAccepted, 0}));
    return;
  }
  if (under_way != creating_.end()) {
    under_way->second.waiting.push_back(std::move(respond));
    return;
  }
  if (!context_->HasDiskCapacity(replica->table(), BatchJobBytes(*batch_job))) {
    respond(codec::Encode(CreateBatchJobResponse{CreateStatus::kInsufficientCapacity, 0}));
    return;
  }
  auto charge = context_->AdmitCreation(ItemBytes(*batch_job));
  if (!charge.has_value()) {
    respond(absl::FailedPreconditionError("too many batch jobs are being created"));
    return;
  }
  creating_[batch_job->batch_job_id] = {
      batch_job->fingerprint, {std::move(respond)}, *std::move(charge)};
  ReserveQuota(batch_job);
}

void BatchJobChanges::ReserveQuota(const std::shared_ptr<const BatchJobSpec>& batch_job) {
  if (batch_job->token_cap <= 0) {
    SubmitCreate(batch_job);
    return;
  }
  quota_->Reserve(*batch_job, [this, batch_job](QuotaDecision verdict) {
    if (verdict == QuotaDecision::kGranted) {
      SubmitCreate(batch_job);
    } else if (verdict == QuotaDecision::kOver) {
      Finish(batch_job->batch_job_id, CreateStatus::kOverQuota);
    } else {
      Finish(batch_job->batch_job_id,
             absl::FailedPreconditionError("the quota cannot be told now"));
    }
  });
}

void BatchJobChanges::SubmitCreate(const std::shared_ptr<const BatchJobSpec>& batch_job) {
  PartitionReplica* replica = context_->ActiveReplica(batch_job->batch_job_id);
  if (replica == nullptr) {
    Finish(batch_job->batch_job_id, NotPrimary());
    return;
  }
  if (!context_->ReserveDiskCapacity(replica->table(), BatchJobBytes(*batch_job))) {
    if (batch_job->token_cap > 0) quota_->CancelReservation(QuotaKey(*batch_job));
    Finish(batch_job->batch_job_id, CreateStatus::kInsufficientCapacity);
    return;
  }
  const std::string batch_job_id = batch_job->batch_job_id;
  replica->Submit(MakeCreate(*batch_job, context_->WallMs()),
                  [this, batch_job_id](const absl::Status& status) {
                    if (!status.ok()) {
                      Finish(batch_job_id, status);
                      return;
                    }
                    Finish(batch_job_id, CreateStatus::kAccepted);
                    items_->OnAccepted(batch_job_id);
                  });
  quota_->Update(batch_job_id);
}

void BatchJobChanges::Finish(const std::string& batch_job_id,
                             const absl::StatusOr<CreateStatus>& outcome) {
  const auto at = creating_.find(batch_job_id);
  if (at == creating_.end()) return;
  const Creation creation = std::move(at->second);
  creating_.erase(at);
  for (const rpc::Respond& respond : creation.waiting) {
    if (outcome.ok()) {
      respond(codec::Encode(CreateBatchJobResponse{*outcome, 0}));
    } else {
      respond(outcome.status());
    }
  }
}

void BatchJobChanges::OnCancel(const CancelBatchJob& cancel, const rpc::Respond& respond) {
  PartitionReplica* replica = context_->ActiveReplica(cancel.batch_job_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const std::string batch_job_id = cancel.batch_job_id;
  const BatchJob* batch_job = replica->batch_jobs().Find(batch_job_id);
  if (batch_job == nullptr) {
    replica->Confirm([respond](bool stands) {
      if (stands) {
        respond(codec::Encode(CancelBatchJobResponse{false}));
      } else {
        respond(absl::UnavailableError("not sure to be the newest"));
      }
    });
    return;
  }
  // Repeated, it only waits for what is under way.
  Operation operation =
      batch_job->ended ? Operation{batch_job_id, false, {}} : MakeEnd(batch_job_id);
  replica->Submit(std::move(operation), [this, batch_job_id, respond](const absl::Status& status) {
    if (!status.ok()) {
      respond(status);
      return;
    }
    items_->OnEnded(batch_job_id);
    respond(codec::Encode(CancelBatchJobResponse{true}));
  });
  items_->OnEnded(batch_job_id);
  quota_->Update(batch_job_id);
}

void BatchJobChanges::Sweep(bool is_nearly_full) {
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    PartitionReplica& replica = context_->Replica(partition);
    replica.batch_jobs().StampNew(context_->Now());
    if (replica.is_active()) SweepPartition(&replica, is_nearly_full);
  }
}

void BatchJobChanges::SweepPartition(PartitionReplica* replica, bool is_nearly_full) {
  std::vector<std::string> over, old;
  const Micros now = context_->Now();
  for (const auto& [batch_job_id, batch_job] : replica->batch_jobs().batch_jobs()) {
    if (MayAbandon(batch_job, now)) over.push_back(batch_job_id);
    if (MayForget(batch_job, now, is_nearly_full)) old.push_back(batch_job_id);
  }
  for (const std::string& batch_job_id : over) items_->Abandon(replica, batch_job_id);
  for (const std::string& batch_job_id : old) {
    items_->OnEnded(batch_job_id);
    replica->Submit(MakeErase(batch_job_id),
                    [this, batch_job_id](const absl::Status&) { reads_->OnVisible(batch_job_id); });
    quota_->Update(batch_job_id);
  }
}

}  // namespace pearreach::batch
