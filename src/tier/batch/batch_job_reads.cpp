#include "tier/batch/batch_job_reads.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pearreach::batch {
namespace {

constexpr std::int64_t kMaxWaitMs = 30'000;

ReadBatchJobResponse MakeResponse(const BatchJob& batch_job) {
  ReadBatchJobResponse response;
  response.found = true;
  response.total = batch_job.items.size();
  return response;
}

bool MoreMayCome(const ReadBatchJob& read, const BatchJob& batch_job) {
  return read.start_after < batch_job.items.size();
}

}  // namespace

void BatchJobReads::OnRead(ReadBatchJob read, rpc::Respond respond) {
  PartitionReplica* replica = context_->ActiveReplica(read.batch_job_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const BatchJob* batch_job = replica->batch_jobs().Find(read.batch_job_id);
  if (batch_job == nullptr || !batch_job->accepted) {
    RespondWithoutOutputs(read, respond);
    return;
  }
  if (batch_job->visible_results > read.start_after) {
    RespondWithOutputs(read, *batch_job, respond);
    return;
  }
  if (read.wait_ms > 0 && MoreMayCome(read, *batch_job)) {
    AddPendingRead(std::move(read), std::move(respond));
    return;
  }
  RespondWithoutOutputs(read, respond);
}

void BatchJobReads::AddPendingRead(ReadBatchJob read, rpc::Respond respond) {
  const std::uint64_t id = ++last_read_id_;
  const Micros wait = std::min(read.wait_ms, kMaxWaitMs) * kMs;
  const std::string batch_job_id = read.batch_job_id;
  PendingRead& pending = pending_reads_[batch_job_id][id];
  pending.read = std::move(read);
  pending.respond = std::move(respond);
  pending.timer =
      context_->After(wait, [this, batch_job_id, id] { OnReadTimeout(batch_job_id, id); });
}

void BatchJobReads::OnReadTimeout(const std::string& batch_job_id, std::uint64_t id) {
  const auto at = pending_reads_.find(batch_job_id);
  if (at == pending_reads_.end()) return;
  const auto found = at->second.find(id);
  if (found == at->second.end()) return;
  const PendingRead pending = std::move(found->second);
  at->second.erase(found);
  if (at->second.empty()) pending_reads_.erase(at);
  RespondWithoutOutputs(pending.read, pending.respond);
}

void BatchJobReads::OnVisible(const std::string& batch_job_id) {
  const auto at = pending_reads_.find(batch_job_id);
  if (at == pending_reads_.end()) return;
  PendingReads reads = std::move(at->second);
  pending_reads_.erase(at);
  PartitionReplica* replica = context_->ActiveReplica(batch_job_id);
  const BatchJob* batch_job =
      replica == nullptr ? nullptr : replica->batch_jobs().Find(batch_job_id);
  for (auto& [id, pending] : reads) {
    if (batch_job != nullptr && batch_job->visible_results <= pending.read.start_after) {
      pending_reads_[batch_job_id][id] = std::move(pending);
      continue;
    }
    context_->Cancel(&pending.timer);
    if (batch_job == nullptr) {
      RespondWithoutOutputs(pending.read, pending.respond);
    } else {
      RespondWithOutputs(pending.read, *batch_job, pending.respond);
    }
  }
}

void BatchJobReads::OnInactive(std::uint32_t partition) {
  for (auto at = pending_reads_.begin(); at != pending_reads_.end();) {
    if (PartitionOf(at->first) != partition) {
      ++at;
      continue;
    }
    for (auto& [id, pending] : at->second) {
      context_->Cancel(&pending.timer);
      pending.respond(NotPrimary());
    }
    at = pending_reads_.erase(at);
  }
}

// That there is nothing, or nothing more, must not be said by a store that has been replaced.
void BatchJobReads::RespondWithoutOutputs(const ReadBatchJob& read, const rpc::Respond& respond) {
  PartitionReplica* replica = context_->ActiveReplica(read.batch_job_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  replica->Confirm([this, read, respond](bool stands) {
    PartitionReplica* now = context_->ActiveReplica(read.batch_job_id);
    if (!stands || now == nullptr) {
      respond(absl::UnavailableError("not sure to be the newest"));
      return;
    }
    const BatchJob* batch_job = now->batch_jobs().Find(read.batch_job_id);
    if (batch_job == nullptr) {
      respond(codec::Encode(ReadBatchJobResponse{}));
      return;
    }
    if (!batch_job->accepted) {
      respond(absl::UnavailableError("the lot is being taken"));
      return;
    }
    if (batch_job->visible_results > read.start_after) {
      RespondWithOutputs(read, *batch_job, respond);
      return;
    }
    respond(codec::Encode(MakeResponse(*batch_job)));
  });
}

void BatchJobReads::RespondWithOutputs(const ReadBatchJob& read, const BatchJob& batch_job,
                                       const rpc::Respond& respond) {
  ReadBatchJobResponse response = MakeResponse(batch_job);
  std::size_t bytes = 0;
  const std::uint32_t partition = PartitionOf(read.batch_job_id);
  for (std::uint64_t at = read.start_after; at < batch_job.visible_results; ++at) {
    const auto position = static_cast<std::uint32_t>(at);
    const auto record = context_->Disk().Get(
        RecordKey(partition, read.batch_job_id, RecordKind::kResult, position));
    auto result =
        record.ok() ? UnpackResult(*record) : absl::StatusOr<ResultRecord>(record.status());
    if (!result.ok() || result->item >= batch_job.items.size()) {
      respond(absl::DataLossError("a result cannot be read"));
      return;
    }
    bytes += result->content.size();
    if (bytes > read.max_bytes && !response.outputs.empty()) break;
    response.outputs.push_back(
        {batch_job.header.items[result->item].item_id, result->phase, std::move(result->content)});
  }
  respond(codec::Encode(response));
}

void BatchJobReads::OnBody(const ReadItemBody& read, const rpc::Respond& respond) {
  PartitionReplica* replica = context_->ActiveReplica(read.batch_job_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const BatchJob* batch_job = replica->batch_jobs().Find(read.batch_job_id);
  const auto item = batch_job == nullptr ? std::nullopt : batch_job->FindItem(read.item_id);
  const bool has_body = item.has_value() && batch_job->accepted && !batch_job->items[*item].done;
  if (has_body) {
    const auto record = context_->Disk().Get(
        RecordKey(PartitionOf(read.batch_job_id), read.batch_job_id, RecordKind::kItem, *item));
    auto spec =
        record.ok() ? codec::Decode<ItemSpec>(*record) : absl::StatusOr<ItemSpec>(record.status());
    if (spec.ok()) {
      respond(codec::Encode(ReadItemBodyResponse{true, std::move(spec->body)}));
    } else {
      respond(absl::DataLossError("an item cannot be read"));
    }
    return;
  }
  if (batch_job != nullptr && !batch_job->accepted) {
    respond(absl::UnavailableError("the lot is being taken"));
    return;
  }
  replica->Confirm([respond](bool stands) {
    if (stands) {
      respond(codec::Encode(ReadItemBodyResponse{}));
    } else {
      respond(absl::UnavailableError("not sure to be the newest"));
    }
  });
}

}  // namespace pearreach::batch
