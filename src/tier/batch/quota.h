// The tokens that may wait on one route, as its owner counts them: what was granted to lots, which
// is on disk at every replica of the route's partition, lowered by what the lots' partitions
// report. A partition that cannot report keeps all that was granted to it. A pure machine.
#ifndef PEARREACH_SRC_TIER_BATCH_QUOTA_H_
#define PEARREACH_SRC_TIER_BATCH_QUOTA_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/batch/batch_job_state.h"
#include "tier/batch/messages.h"
#include "tier/batch/quota_drain.h"

namespace pearreach::batch {

// Of a reservation whose primary has started anew: how long its lot may still be on its way.
constexpr Micros kReservationSpan = 3 * kSecond;
// A partition that tokens were granted to is asked again once it has been silent this long.
constexpr Micros kReportSpan = 2 * kSecond;

enum class QuotaDecision : std::uint8_t {
  kGranted,
  kOver,
  kUnknown,  // nobody who could tell has answered
};

struct QuotaReserveRequest {
  std::string batch_job_id;
  QuotaReservation reservation;
  double cap = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& batch_job_id& reservation& cap;
  }
};
// Whether a lot would fit now; nothing is set aside for it.
struct QuotaQuery {
  std::string route, batch_job_id;
  double tokens = 0, cap = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& route& batch_job_id& tokens& cap;
  }
};
// The answer to both.
struct QuotaResponse {
  QuotaDecision verdict = QuotaDecision::kUnknown;
  std::int64_t retry_after_ms = 0;  // kOver: when it may fit; 0: not known
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& verdict& retry_after_ms;
  }
};

struct BatchJobTokens {
  std::string batch_job_id;
  double tokens = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& batch_job_id& tokens;
  }
};

// All lots of a route with tokens that wait in the partitions of which the reporter is the active
// primary. With `ask` it is a question from the route's owner; the answer is a report.
struct QuotaReport {
  std::string route;
  // Of the reporter: a process that starts later has a higher number, a later report a higher
  // sequence.
  std::uint64_t process = 0, sequence = 0;
  bool is_request = false;
  std::vector<std::pair<std::uint32_t, std::uint64_t>> partitions;  // with their epochs
  std::vector<BatchJobTokens> batch_jobs;
  std::vector<std::string> pending_reservations;  // lots for which a reservation is under way
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& route& process& sequence& is_request& partitions& batch_jobs& pending_reservations;
  }
};

class QuotaTracker {
 public:
  QuotaTracker() = default;
  // With the reservations that are on disk, of this route alone.
  QuotaTracker(const std::map<std::string, QuotaReservation>& reservations, Micros now);

  // Takes over what the report tells. Returns the lots whose reservations are over.
  std::vector<std::string> Report(const QuotaReport& report, Micros now);
  // Counts the lot from now on where all that waits with its tokens stays within the cap: it may be
  // taken once the reservation is on disk. A lot with a reservation is granted again.
  QuotaDecision Reserve(const QuotaReserveRequest& reserve, Micros now);
  // Whether Reserve would grant it. A ledger that is not fresh says no more than kUnknown for one
  // that does not fit.
  QuotaDecision Fits(const QuotaQuery& query) const;
  double Sum() const;
  // Of a lot that does not fit: notes that it was refused, and when it may fit.
  Micros RetryAfter(const QuotaQuery& query, Micros now);
  // All partitions that tokens were granted to have reported to this ledger.
  bool IsFresh() const;
  // A partition that tokens were granted to has been silent for kReportSpan.
  bool WantsReports(Micros now) const;

 private:
  struct Entry {
    QuotaReservation reservation;
    bool reserved = false;  // else it is known from a report alone
    double tokens = 0;      // that still wait, as far as it is known
    Micros granted = 0;
  };
  struct Reporter {
    std::uint64_t epoch = 0, process = 0, sequence = 0;
    Micros reported = 0;
  };
  static bool IsOver(const Entry& entry, const Reporter& reporter);

  std::map<std::string, Entry> entries_;         // by lot
  std::map<std::uint32_t, Reporter> reporters_;  // by partition
  QuotaDrain drain_;
  Micros since_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_QUOTA_H_
