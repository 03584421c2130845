#include "tier/batch/lot_store_changes.h"

#include <utility>

#include "tier/batch/disk_room.h"
#include "tier/batch/lot_age.h"

namespace pearreach::batch {
namespace {

constexpr std::size_t kLongestLotId = 200;
// A replica that was heard of so lately is there; others are asked, and have so long to answer: a
// small part of the second after which clients take silence for a loss.
constexpr Micros kOfferSpan = 50 * kMs;
constexpr Micros kOfferTimeout = 250 * kMs;

bool IsProperId(const std::string& lot_id) {
  return !lot_id.empty() && lot_id.size() <= kLongestLotId &&
         lot_id.find('\0') == std::string::npos;
}

}  // namespace

void LotChanges::OnOffer(const OfferLot& offer, rpc::Respond respond) {
  PartitionReplica* replica = context_->ActiveReplica(offer.lot_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const bool known =
      replica->lots().Find(offer.lot_id) != nullptr || creating_.contains(offer.lot_id);
  if (known) {
    respond(codec::Encode(OfferLotAnswer{OfferVerdict::kKnown}));
    return;
  }
  if (!context_->HasRoom(replica->table(), offer.disk_bytes)) {
    respond(codec::Encode(OfferLotAnswer{OfferVerdict::kNoRoom}));
    return;
  }
  replica->AwaitAll(kOfferSpan, kOfferTimeout, [respond](bool answered) {
    if (answered) {
      respond(codec::Encode(OfferLotAnswer{OfferVerdict::kWelcome}));
    } else {
      respond(absl::FailedPreconditionError("a replica does not answer"));
    }
  });
}

void LotChanges::OnCreate(CreateLot create, rpc::Respond respond) {
  const auto lot = std::make_shared<const LotSpec>(std::move(create.lot));
  PartitionReplica* replica = context_->ActiveReplica(lot->lot_id);
  if (replica == nullptr || replica->epoch() != create.partition_epoch) {
    if (replica != nullptr && replica->epoch() < create.partition_epoch) context_->RefreshTable();
    respond(NotPrimary());
    return;
  }
  if (!IsProperId(lot->lot_id)) {
    respond(absl::InvalidArgumentError("not a lot's id"));
    return;
  }
  const Lot* known = replica->lots().Find(lot->lot_id);
  const auto under_way = creating_.find(lot->lot_id);
  const bool other =
      (known != nullptr && known->header.fingerprint != lot->fingerprint) ||
      (under_way != creating_.end() && under_way->second.fingerprint != lot->fingerprint);
  if (other) {
    respond(absl::AlreadyExistsError("another lot has this id"));
    return;
  }
  if (known != nullptr && known->accepted) {
    respond(codec::Encode(CreateLotAnswer{CreateStatus::kAccepted, 0}));
    return;
  }
  if (under_way != creating_.end()) {
    under_way->second.waiting.push_back(std::move(respond));
    return;
  }
  if (!context_->HasRoom(replica->table(), LotBytes(*lot))) {
    respond(codec::Encode(CreateLotAnswer{CreateStatus::kNoRoom, 0}));
    return;
  }
  creating_[lot->lot_id] = {lot->fingerprint, {std::move(respond)}};
  if (lot->token_cap <= 0) {
    Stage(lot);
    return;
  }
  quota_->Reserve(*lot, [this, lot](QuotaVerdict verdict) {
    if (verdict == QuotaVerdict::kGranted) {
      Stage(lot);
    } else if (verdict == QuotaVerdict::kOver) {
      Finish(lot->lot_id, CreateStatus::kOverQuota);
    } else {
      Finish(lot->lot_id, absl::FailedPreconditionError("the quota cannot be told now"));
    }
  });
}

void LotChanges::Stage(const std::shared_ptr<const LotSpec>& lot) {
  PartitionReplica* replica = context_->ActiveReplica(lot->lot_id);
  if (replica == nullptr) {
    Finish(lot->lot_id, NotPrimary());
    return;
  }
  if (!context_->TakeRoom(replica->table(), LotBytes(*lot))) {
    if (lot->token_cap > 0) quota_->Drop(lot->route);
    Finish(lot->lot_id, CreateStatus::kNoRoom);
    return;
  }
  const std::string lot_id = lot->lot_id;
  replica->Submit(MakeCreate(*lot, context_->WallMs()), [this, lot_id](const absl::Status& status) {
    if (!status.ok()) {
      Finish(lot_id, status);
      return;
    }
    Finish(lot_id, CreateStatus::kAccepted);
    items_->OnAccepted(lot_id);
  });
  quota_->Update(lot_id);
}

void LotChanges::Finish(const std::string& lot_id, const absl::StatusOr<CreateStatus>& outcome) {
  const auto at = creating_.find(lot_id);
  if (at == creating_.end()) return;
  const Creation creation = std::move(at->second);
  creating_.erase(at);
  for (const rpc::Respond& respond : creation.waiting) {
    if (outcome.ok()) {
      respond(codec::Encode(CreateLotAnswer{*outcome, 0}));
    } else {
      respond(outcome.status());
    }
  }
}

void LotChanges::OnCancel(const CancelLot& cancel, rpc::Respond respond) {
  PartitionReplica* replica = context_->ActiveReplica(cancel.lot_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const std::string lot_id = cancel.lot_id;
  const Lot* lot = replica->lots().Find(lot_id);
  if (lot == nullptr) {
    replica->Confirm([respond](bool stands) {
      if (stands) {
        respond(codec::Encode(CancelLotAnswer{false}));
      } else {
        respond(absl::UnavailableError("not sure to be the newest"));
      }
    });
    return;
  }
  // Repeated, it only waits for what is under way.
  Operation operation = lot->ended ? Operation{lot_id, false, {}} : MakeEnd(lot_id);
  replica->Submit(std::move(operation), [this, lot_id, respond](const absl::Status& status) {
    if (!status.ok()) {
      respond(status);
      return;
    }
    items_->OnEnded(lot_id);
    respond(codec::Encode(CancelLotAnswer{true}));
  });
  items_->OnEnded(lot_id);
  quota_->Update(lot_id);
}

void LotChanges::Sweep(bool is_short) {
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    PartitionReplica& replica = context_->Replica(partition);
    replica.lots().StampNew(context_->Now());
    if (replica.is_active()) SweepPartition(&replica, is_short);
  }
}

void LotChanges::SweepPartition(PartitionReplica* replica, bool is_short) {
  std::vector<std::string> over, old;
  const Micros now = context_->Now();
  for (const auto& [lot_id, lot] : replica->lots().lots()) {
    if (MayAbandon(lot, now)) over.push_back(lot_id);
    if (MayForget(lot, now, is_short)) old.push_back(lot_id);
  }
  for (const std::string& lot_id : over) items_->Abandon(replica, lot_id);
  for (const std::string& lot_id : old) {
    items_->OnEnded(lot_id);
    replica->Submit(MakeForget(lot_id),
                    [this, lot_id](const absl::Status&) { reads_->OnVisible(lot_id); });
    quota_->Update(lot_id);
  }
}

}  // namespace pearreach::batch
