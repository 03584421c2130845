#include "tier/batch/batch_job_reads.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pearreach::batch {
namespace {

constexpr std::int64_t kMaxWaitMs = 30'000;

ReadBatchJobResponse HeadOf(const BatchJob& batch_job) {
  ReadBatchJobResponse answer;
  answer.found = true;
  answer.total = batch_job.items.size();
  return answer;
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
    AnswerEmpty(read, respond);
    return;
  }
  if (batch_job->visible_results > read.start_after) {
    AnswerOutputs(read, *batch_job, respond);
    return;
  }
  if (read.wait_ms > 0 && MoreMayCome(read, *batch_job)) {
    Park(std::move(read), std::move(respond));
    return;
  }
  AnswerEmpty(read, respond);
}

void BatchJobReads::Park(ReadBatchJob read, rpc::Respond respond) {
  const std::uint64_t id = ++last_;
  const Micros wait = std::min(read.wait_ms, kMaxWaitMs) * kMs;
  const std::string batch_job_id = read.batch_job_id;
  Parked& parked = parked_[batch_job_id][id];
  parked.read = std::move(read);
  parked.respond = std::move(respond);
  parked.timer = context_->After(wait, [this, batch_job_id, id] { OnWaited(batch_job_id, id); });
}

void BatchJobReads::OnWaited(const std::string& batch_job_id, std::uint64_t id) {
  const auto at = parked_.find(batch_job_id);
  if (at == parked_.end()) return;
  const auto found = at->second.find(id);
  if (found == at->second.end()) return;
  const Parked parked = std::move(found->second);
  at->second.erase(found);
  if (at->second.empty()) parked_.erase(at);
  AnswerEmpty(parked.read, parked.respond);
}

void BatchJobReads::OnVisible(const std::string& batch_job_id) {
  const auto at = parked_.find(batch_job_id);
  if (at == parked_.end()) return;
  ParkedReads reads = std::move(at->second);
  parked_.erase(at);
  PartitionReplica* replica = context_->ActiveReplica(batch_job_id);
  const BatchJob* batch_job =
      replica == nullptr ? nullptr : replica->batch_jobs().Find(batch_job_id);
  for (auto& [id, parked] : reads) {
    if (batch_job != nullptr && batch_job->visible_results <= parked.read.start_after) {
      parked_[batch_job_id][id] = std::move(parked);
      continue;
    }
    context_->Cancel(&parked.timer);
    if (batch_job == nullptr) {
      AnswerEmpty(parked.read, parked.respond);
    } else {
      AnswerOutputs(parked.read, *batch_job, parked.respond);
    }
  }
}

void BatchJobReads::OnInactive(std::uint32_t partition) {
  for (auto at = parked_.begin(); at != parked_.end();) {
    if (PartitionOf(at->first) != partition) {
      ++at;
      continue;
    }
    for (auto& [id, parked] : at->second) {
      context_->Cancel(&parked.timer);
      parked.respond(NotPrimary());
    }
    at = parked_.erase(at);
  }
}

// That there is nothing, or nothing more, must not be said by a store that has been replaced.
void BatchJobReads::AnswerEmpty(const ReadBatchJob& read, const rpc::Respond& respond) {
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
      AnswerOutputs(read, *batch_job, respond);
      return;
    }
    respond(codec::Encode(HeadOf(*batch_job)));
  });
}

void BatchJobReads::AnswerOutputs(const ReadBatchJob& read, const BatchJob& batch_job,
                                  const rpc::Respond& respond) {
  ReadBatchJobResponse answer = HeadOf(batch_job);
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
    if (bytes > read.max_bytes && !answer.outputs.empty()) break;
    answer.outputs.push_back(
        {batch_job.header.items[result->item].item_id, result->phase, std::move(result->content)});
  }
  respond(codec::Encode(answer));
}

void BatchJobReads::OnBody(const ReadItemBody& read, rpc::Respond respond) {
  PartitionReplica* replica = context_->ActiveReplica(read.batch_job_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const BatchJob* batch_job = replica->batch_jobs().Find(read.batch_job_id);
  const auto item = batch_job == nullptr ? std::nullopt : batch_job->FindItem(read.item_id);
  const bool held = item.has_value() && batch_job->accepted && !batch_job->items[*item].done;
  if (held) {
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
