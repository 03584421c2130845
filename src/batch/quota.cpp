#include "batch/quota.h"

#include <set>

namespace pearreach::batch {

void QuotaLedger::Report(const QuotaReport& report, Micros now) {
  std::set<std::uint32_t> taken;
  for (const auto& [partition, epoch] : report.partitions) {
    if (partition >= kPartitions) continue;
    PartitionTokens& known = partitions_[partition];
    const bool same = known.process == report.process && known.epoch == epoch;
    const bool late = epoch < known.epoch || (same && report.sequence < known.sequence);
    if (late) continue;
    known = {epoch, report.process, report.sequence, now, {}};
    taken.insert(partition);
  }
  for (const LotTokens& lot : report.lots) {
    const std::uint32_t partition = PartitionOf(lot.lot_id);
    if (!taken.contains(partition)) continue;
    partitions_[partition].lots[lot.lot_id] = lot.tokens;
    reservations_.erase(lot.lot_id);
  }
  DropReservations(now);
}

// A reservation ends with its lot's first report, or once a report that is later than its time
// shows that there is no such lot.
void QuotaLedger::DropReservations(Micros now) {
  std::erase_if(reservations_, [&](const auto& entry) {
    if (now < entry.second.until) return false;
    const auto at = partitions_.find(PartitionOf(entry.first));
    return at != partitions_.end() && at->second.reported >= entry.second.until;
  });
}

double QuotaLedger::Sum() const {
  double sum = 0;
  for (const auto& [partition, tokens] : partitions_) {
    for (const auto& [lot, waiting] : tokens.lots) sum += waiting;
  }
  for (const auto& [lot, reservation] : reservations_) sum += reservation.tokens;
  return sum;
}

bool QuotaLedger::WantsReports(const PlacementTable& table, Micros now) const {
  for (const auto& [lot, reservation] : reservations_) {
    if (now >= reservation.until) return true;
  }
  for (const auto& [partition, tokens] : partitions_) {
    const bool known = partition < table.partitions.size() && !tokens.lots.empty();
    if (known && tokens.epoch < table.partitions[partition].epoch) return true;
  }
  return false;
}

QuotaVerdict QuotaLedger::Reserve(const QuotaReserve& reserve, Micros now) {
  if (!Complete()) return QuotaVerdict::kUnknown;
  DropReservations(now);
  const auto partition = partitions_.find(PartitionOf(reserve.lot_id));
  const bool counted = partition->second.lots.contains(reserve.lot_id);
  const auto reserved = reservations_.find(reserve.lot_id);
  if (counted) return QuotaVerdict::kGranted;
  if (reserved != reservations_.end()) {
    reserved->second.until = now + kReservationSpan;
    return QuotaVerdict::kGranted;
  }
  if (Sum() + reserve.tokens > reserve.cap) return QuotaVerdict::kOver;
  reservations_[reserve.lot_id] = {reserve.tokens, now + kReservationSpan};
  return QuotaVerdict::kGranted;
}

}  // namespace pearreach::batch
