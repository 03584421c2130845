#include "tier/batch/quota.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace pearreach::batch {

QuotaLedger::QuotaLedger(const std::map<std::string, QuotaReservation>& reservations, Micros now)
    : since_(now) {
  for (const auto& [lot, reservation] : reservations) {
    entries_[lot] = {reservation, true, reservation.tokens, now};
  }
}

// Whether a report that does not name the lot tells that it does not wait and will not: the report
// was made after the reservation had been asked for, and would name it while that is under way.
bool QuotaLedger::IsOver(const Entry& entry, const Reporter& reporter) {
  if (!entry.reserved) return true;
  const QuotaReservation& asked = entry.reservation;
  if (reporter.epoch != asked.epoch) return reporter.epoch > asked.epoch;
  if (reporter.process == asked.process) return reporter.sequence > asked.sequence;
  return reporter.process > asked.process && reporter.reported >= entry.granted + kReservationSpan;
}

std::vector<std::string> QuotaLedger::Report(const QuotaReport& report, Micros now) {
  std::map<std::uint32_t, Reporter> taken;
  for (const auto& [partition, epoch] : report.partitions) {
    if (partition >= kPartitions) continue;
    const Reporter reporter{epoch, report.process, report.sequence, now};
    Reporter& known = reporters_[partition];
    const bool late = std::tie(reporter.epoch, reporter.process, reporter.sequence) <
                      std::tie(known.epoch, known.process, known.sequence);
    if (late) continue;
    known = reporter;
    taken[partition] = reporter;
  }
  std::map<std::string, double> waiting;
  for (const LotTokens& lot : report.lots) {
    if (taken.contains(PartitionOf(lot.lot_id))) waiting[lot.lot_id] = lot.tokens;
  }
  const std::set<std::string> asked(report.asked.begin(), report.asked.end());
  const double before = Sum();
  std::vector<std::string> released;
  std::erase_if(entries_, [&](const auto& entry) {
    const auto reporter = taken.find(PartitionOf(entry.first));
    if (reporter == taken.end() || waiting.contains(entry.first)) return false;
    if (asked.contains(entry.first) || !IsOver(entry.second, reporter->second)) return false;
    if (entry.second.reserved) released.push_back(entry.first);
    return true;
  });
  for (const auto& [lot, tokens] : waiting) entries_[lot].tokens = tokens;
  drain_.NoteFreed(std::max(before - Sum(), 0.0), now);
  return released;
}

double QuotaLedger::Sum() const {
  double sum = 0;
  for (const auto& [lot, entry] : entries_) sum += entry.tokens;
  return sum;
}

bool QuotaLedger::IsFresh() const {
  return std::all_of(entries_.begin(), entries_.end(), [this](const auto& entry) {
    return reporters_.contains(PartitionOf(entry.first));
  });
}

bool QuotaLedger::WantsReports(Micros now) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
    const auto reporter = reporters_.find(PartitionOf(entry.first));
    const Micros heard = reporter == reporters_.end() ? since_ : reporter->second.reported;
    return now - std::max(heard, entry.second.granted) >= kReportSpan;
  });
}

QuotaVerdict QuotaLedger::Fits(const QuotaQuestion& question) const {
  const auto entry = entries_.find(question.lot_id);
  const bool known = entry != entries_.end();
  if (known && entry->second.reserved) return QuotaVerdict::kGranted;
  const double others = Sum() - (known ? entry->second.tokens : 0);
  if (others + question.tokens <= question.cap) return QuotaVerdict::kGranted;
  return IsFresh() ? QuotaVerdict::kOver : QuotaVerdict::kUnknown;
}

Micros QuotaLedger::RetryAfter(const QuotaQuestion& question, Micros now) {
  drain_.NoteRefused(question.lot_id, question.tokens, now);
  return drain_.Wait(question.lot_id, Sum() + question.tokens - question.cap, now);
}

QuotaVerdict QuotaLedger::Reserve(const QuotaReserve& reserve, Micros now) {
  Entry& entry = entries_[reserve.lot_id];
  const double tokens = reserve.reservation.tokens;
  if (!entry.reserved && Sum() - entry.tokens + tokens > reserve.cap) {
    if (entry.tokens == 0) entries_.erase(reserve.lot_id);
    return QuotaVerdict::kOver;
  }
  if (!entry.reserved) entry.tokens = tokens;
  entry.reservation = reserve.reservation;
  entry.reserved = true;
  entry.granted = now;
  drain_.NoteGranted(reserve.lot_id);
  return QuotaVerdict::kGranted;
}

}  // namespace pearreach::batch
