#include "tier/batch/quota.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace pearreach::batch {

QuotaTracker::QuotaTracker(const std::map<std::string, QuotaReservation>& reservations, Micros now)
    : since_(now) {
  for (const auto& [batch_job, reservation] : reservations) {
    entries_[batch_job] = {reservation, true, reservation.tokens, now};
  }
}

// Whether a report that does not name the batch job tells that it does not wait and will not: the
// report was made after the reservation had been asked for, and would name it while that is under
// way.
bool QuotaTracker::IsOver(const Entry& entry, const Reporter& reporter) {
  if (!entry.reserved) return true;
  const QuotaReservation& reservation = entry.reservation;
  if (reporter.epoch != reservation.epoch) return reporter.epoch > reservation.epoch;
  if (reporter.process == reservation.process) return reporter.sequence > reservation.sequence;
  return reporter.process > reservation.process &&
         reporter.reported >= entry.granted + kReservationSpan;
}

std::vector<std::string> QuotaTracker::Report(const QuotaReport& report, Micros now) {
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
  for (const BatchJobTokens& batch_job : report.batch_jobs) {
    if (taken.contains(PartitionOf(batch_job.batch_job_id)))
      waiting[batch_job.batch_job_id] = batch_job.tokens;
  }
  const std::set<std::string> pending_reservations(report.pending_reservations.begin(),
                                                   report.pending_reservations.end());
  const double before = Sum();
  std::vector<std::string> released;
  std::erase_if(entries_, [&](const auto& entry) {
    const auto reporter = taken.find(PartitionOf(entry.first));
    if (reporter == taken.end() || waiting.contains(entry.first)) return false;
    if (pending_reservations.contains(entry.first) || !IsOver(entry.second, reporter->second))
      return false;
    if (entry.second.reserved) released.push_back(entry.first);
    return true;
  });
  for (const auto& [batch_job, tokens] : waiting) entries_[batch_job].tokens = tokens;
  drain_.RecordFreed(std::max(before - Sum(), 0.0), now);
  return released;
}

double QuotaTracker::Sum() const {
  double sum = 0;
  for (const auto& [batch_job, entry] : entries_) sum += entry.tokens;
  return sum;
}

bool QuotaTracker::IsFresh() const {
  return std::all_of(entries_.begin(), entries_.end(), [this](const auto& entry) {
    return reporters_.contains(PartitionOf(entry.first));
  });
}

bool QuotaTracker::WantsReports(Micros now) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
    const auto reporter = reporters_.find(PartitionOf(entry.first));
    const Micros reported = reporter == reporters_.end() ? since_ : reporter->second.reported;
    return now - std::max(reported, entry.second.granted) >= kReportSpan;
  });
}

QuotaDecision QuotaTracker::Fits(const QuotaQuery& query) const {
  const auto entry = entries_.find(query.batch_job_id);
  const bool known = entry != entries_.end();
  if (known && entry->second.reserved) return QuotaDecision::kGranted;
  const double others = Sum() - (known ? entry->second.tokens : 0);
  if (others + query.tokens <= query.cap) return QuotaDecision::kGranted;
  return IsFresh() ? QuotaDecision::kOver : QuotaDecision::kUnknown;
}

Micros QuotaTracker::RetryAfter(const QuotaQuery& query, Micros now) {
  drain_.RecordRejected(query.batch_job_id, query.tokens, now);
  return drain_.Wait(query.batch_job_id, Sum() + query.tokens - query.cap, now);
}

QuotaDecision QuotaTracker::Reserve(const QuotaReserveRequest& reserve, Micros now) {
  Entry& entry = entries_[reserve.batch_job_id];
  const double tokens = reserve.reservation.tokens;
  if (!entry.reserved && Sum() - entry.tokens + tokens > reserve.cap) {
    if (entry.tokens == 0) entries_.erase(reserve.batch_job_id);
    return QuotaDecision::kOver;
  }
  if (!entry.reserved) entry.tokens = tokens;
  entry.reservation = reserve.reservation;
  entry.reserved = true;
  entry.granted = now;
  drain_.RecordGranted(reserve.batch_job_id);
  return QuotaDecision::kGranted;
}

}  // namespace pearreach::batch
