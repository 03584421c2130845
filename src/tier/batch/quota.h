// The tokens waiting on one route as the route's owner counts them: what was granted to batch jobs,
// which is on disk at every replica of the route's partition, less what the batch jobs' partitions
// have reported as done. A partition that cannot report keeps all that was granted to it. Where the
// configuration has tenants, `route` is the QuotaKey (item_tenant.h) of the route and one tenant.
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

// Of a reservation whose primary has started anew: how long its batch job may still be on its way.
constexpr Micros kReservationSpan = 3 * kSecond;
// A partition that tokens were granted to is asked again once it has not reported for this long.
constexpr Micros kReportSpan = 2 * kSecond;

enum class QuotaDecision : std::uint8_t {
  kGranted,
  kOver,
  kUnknown,  // no store that knows has responded
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
// Whether a batch job would fit now; nothing is set aside for it.
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

// All batch jobs of a route with tokens that wait in the partitions of which the reporter is the
// active primary. With `ask` it is a request of the route's owner; the response is a report.
struct QuotaReport {
  std::string route;
  // Of the reporter: a process that starts later has a higher number, a later report a higher
  // sequence.
  std::uint64_t process = 0, sequence = 0;
  bool is_request = false;
  std::vector<std::pair<std::uint32_t, std::uint64_t>> partitions;  // with their epochs
  std::vector<BatchJobTokens> batch_jobs;
  std::vector<std::string> pending_reservations;  // batch jobs for which a reservation is under way
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& route& process& sequence& is_request& partitions& batch_jobs& pending_reservations;
  }
};

// The tracker of one route. Owned by QuotaService. A state machine without clock or I/O: the caller
// passes the time. Not thread-safe.
class QuotaTracker {
 public:
  QuotaTracker() = default;
  // With the reservations that are on disk, of this route alone.
  QuotaTracker(const std::map<std::string, QuotaReservation>& reservations, Micros now);

  // Applies the report. Returns the batch jobs whose reservations are over.
  std::vector<std::string> Report(const QuotaReport& report, Micros now);
  // Counts the batch job from now on where all that waits with its tokens stays within the cap: it
  // may be taken once the reservation is on disk. A batch job with a reservation is granted again.
  QuotaDecision Reserve(const QuotaReserveRequest& reserve, Micros now);
  // Whether Reserve would grant it. A tracker that is not fresh returns kUnknown for one
  // that does not fit.
  QuotaDecision Fits(const QuotaQuery& query) const;
  double Sum() const;
  // Of a batch job that does not fit: records the rejection; returns when it may fit.
  Micros RetryAfter(const QuotaQuery& query, Micros now);
  // All partitions that tokens were granted to have reported to this tracker.
  bool IsFresh() const;
  // A partition that tokens were granted to has not reported for kReportSpan.
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

  std::map<std::string, Entry> entries_;         // by batch job
  std::map<std::uint32_t, Reporter> reporters_;  // by partition
  QuotaDrain drain_;
  Micros since_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_QUOTA_H_
