#include "tier/batch/lot_store_reads.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pearreach::batch {
namespace {

constexpr std::int64_t kLongestWaitMs = 30'000;

ReadLotAnswer HeadOf(const Lot& lot) {
  ReadLotAnswer answer;
  answer.found = true;
  answer.total = lot.items.size();
  return answer;
}

bool MoreMayCome(const ReadLot& read, const Lot& lot) {
  return read.start_after < lot.items.size();
}

}  // namespace

void LotReads::OnRead(ReadLot read, rpc::Respond respond) {
  PartitionReplica* replica = context_->ActiveReplica(read.lot_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const Lot* lot = replica->lots().Find(read.lot_id);
  if (lot == nullptr || !lot->accepted) {
    AnswerEmpty(read, respond);
    return;
  }
  if (lot->visible_results > read.start_after) {
    AnswerOutputs(read, *lot, respond);
    return;
  }
  if (read.wait_ms > 0 && MoreMayCome(read, *lot)) {
    Park(std::move(read), std::move(respond));
    return;
  }
  AnswerEmpty(read, respond);
}

void LotReads::Park(ReadLot read, rpc::Respond respond) {
  const std::uint64_t id = ++last_;
  const Micros wait = std::min(read.wait_ms, kLongestWaitMs) * kMs;
  const std::string lot_id = read.lot_id;
  Parked& parked = parked_[lot_id][id];
  parked.read = std::move(read);
  parked.respond = std::move(respond);
  parked.timer = context_->After(wait, [this, lot_id, id] { OnWaited(lot_id, id); });
}

void LotReads::OnWaited(const std::string& lot_id, std::uint64_t id) {
  const auto at = parked_.find(lot_id);
  if (at == parked_.end()) return;
  const auto found = at->second.find(id);
  if (found == at->second.end()) return;
  const Parked parked = std::move(found->second);
  at->second.erase(found);
  if (at->second.empty()) parked_.erase(at);
  AnswerEmpty(parked.read, parked.respond);
}

void LotReads::OnVisible(const std::string& lot_id) {
  const auto at = parked_.find(lot_id);
  if (at == parked_.end()) return;
  ParkedReads reads = std::move(at->second);
  parked_.erase(at);
  PartitionReplica* replica = context_->ActiveReplica(lot_id);
  const Lot* lot = replica == nullptr ? nullptr : replica->lots().Find(lot_id);
  for (auto& [id, parked] : reads) {
    if (lot != nullptr && lot->visible_results <= parked.read.start_after) {
      parked_[lot_id][id] = std::move(parked);
      continue;
    }
    context_->Cancel(&parked.timer);
    if (lot == nullptr) {
      AnswerEmpty(parked.read, parked.respond);
    } else {
      AnswerOutputs(parked.read, *lot, parked.respond);
    }
  }
}

void LotReads::OnInactive(std::uint32_t partition) {
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
void LotReads::AnswerEmpty(const ReadLot& read, const rpc::Respond& respond) {
  PartitionReplica* replica = context_->ActiveReplica(read.lot_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  replica->Confirm([this, read, respond](bool stands) {
    PartitionReplica* now = context_->ActiveReplica(read.lot_id);
    if (!stands || now == nullptr) {
      respond(absl::UnavailableError("not sure to be the newest"));
      return;
    }
    const Lot* lot = now->lots().Find(read.lot_id);
    if (lot == nullptr) {
      respond(codec::Encode(ReadLotAnswer{}));
      return;
    }
    if (!lot->accepted) {
      respond(absl::UnavailableError("the lot is being taken"));
      return;
    }
    if (lot->visible_results > read.start_after) {
      AnswerOutputs(read, *lot, respond);
      return;
    }
    respond(codec::Encode(HeadOf(*lot)));
  });
}

void LotReads::AnswerOutputs(const ReadLot& read, const Lot& lot, const rpc::Respond& respond) {
  ReadLotAnswer answer = HeadOf(lot);
  std::size_t bytes = 0;
  const std::uint32_t partition = PartitionOf(read.lot_id);
  for (std::uint64_t at = read.start_after; at < lot.visible_results; ++at) {
    const auto position = static_cast<std::uint32_t>(at);
    const auto record =
        context_->Disk().Get(RecordKey(partition, read.lot_id, RecordKind::kResult, position));
    auto result =
        record.ok() ? UnpackResult(*record) : absl::StatusOr<ResultRecord>(record.status());
    if (!result.ok() || result->item >= lot.items.size()) {
      respond(absl::DataLossError("a result cannot be read"));
      return;
    }
    bytes += result->content.size();
    if (bytes > read.max_bytes && !answer.outputs.empty()) break;
    answer.outputs.push_back(
        {lot.header.items[result->item].item_id, result->phase, std::move(result->content)});
  }
  respond(codec::Encode(answer));
}

void LotReads::OnBody(const ReadItemBody& read, rpc::Respond respond) {
  PartitionReplica* replica = context_->ActiveReplica(read.lot_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const Lot* lot = replica->lots().Find(read.lot_id);
  const auto item = lot == nullptr ? std::nullopt : lot->FindItem(read.item_id);
  const bool held = item.has_value() && lot->accepted && !lot->items[*item].done;
  if (held) {
    const auto record = context_->Disk().Get(
        RecordKey(PartitionOf(read.lot_id), read.lot_id, RecordKind::kItem, *item));
    auto spec =
        record.ok() ? codec::Decode<ItemSpec>(*record) : absl::StatusOr<ItemSpec>(record.status());
    if (spec.ok()) {
      respond(codec::Encode(ReadItemBodyAnswer{true, std::move(spec->body)}));
    } else {
      respond(absl::DataLossError("an item cannot be read"));
    }
    return;
  }
  if (lot != nullptr && !lot->accepted) {
    respond(absl::UnavailableError("the lot is being taken"));
    return;
  }
  replica->Confirm([respond](bool stands) {
    if (stands) {
      respond(codec::Encode(ReadItemBodyAnswer{}));
    } else {
      respond(absl::UnavailableError("not sure to be the newest"));
    }
  });
}

}  // namespace pearreach::batch
