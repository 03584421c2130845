// The tokens that may wait on one route, as its owner counts them: what the partitions report and
// what has been reserved for lots that are on their way. A pure machine.
#ifndef PEARREACH_SRC_BATCH_QUOTA_H_
#define PEARREACH_SRC_BATCH_QUOTA_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/timers.h"
#include "batch/messages.h"

namespace pearreach::batch {

constexpr Micros kReservationSpan = 3 * kSecond;

enum class QuotaVerdict : std::uint8_t {
  kGranted,
  kOver,
  kUnknown,  // not all partitions have reported yet, or this is not the owner
};

struct QuotaReserve {
  std::string route, lot_id;
  double tokens = 0, cap = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& route& lot_id& tokens& cap;
  }
};
struct QuotaReserveAnswer {
  QuotaVerdict verdict = QuotaVerdict::kUnknown;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& verdict;
  }
};

struct LotTokens {
  std::string lot_id;
  double tokens = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& lot_id& tokens;
  }
};

// All lots of a route with tokens that wait, in the partitions of which the reporter is the active
// primary. With `ask` it is a question from the route's owner; the answer is a report.
struct QuotaReport {
  std::string route;
  std::uint64_t process = 0, sequence = 0;  // of the reporter; later reports of it have more
  bool ask = false;
  std::vector<std::pair<std::uint32_t, std::uint64_t>> partitions;  // with their epochs
  std::vector<LotTokens> lots;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& route& process& sequence& ask& partitions& lots;
  }
};

class QuotaLedger {
 public:
  void Report(const QuotaReport& report, Micros now);
  bool Complete() const { return partitions_.size() == kPartitions; }
  // Grants where all that waits with `tokens` stays within the cap. A lot that is counted already
  // is granted again.
  QuotaVerdict Reserve(const QuotaReserve& reserve, Micros now);
  double Sum() const;
  // A reservation is over its time, or a partition with waiting tokens has another epoch now.
  bool WantsReports(const PlacementTable& table, Micros now) const;

 private:
  struct PartitionTokens {
    std::uint64_t epoch = 0, process = 0, sequence = 0;
    Micros reported = 0;
    std::map<std::string, double> lots;
  };
  struct Reservation {
    double tokens = 0;
    Micros until = 0;
  };
  void DropReservations(Micros now);

  std::map<std::uint32_t, PartitionTokens> partitions_;
  std::map<std::string, Reservation> reservations_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_BATCH_QUOTA_H_
