// The quota of waiting tokens by route. As the primary of batch jobs a store reserves tokens at the
// route's owner and reports what still waits; as the owner of a route it grants reservations. A
// grant is a change of the owner's partition and on disk at every replica before it is
// acknowledged, so that a later owner knows all grants.
#ifndef PEARREACH_SRC_TIER_BATCH_STORE_QUOTA_H_
#define PEARREACH_SRC_TIER_BATCH_STORE_QUOTA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tier/batch/messages.h"
#include "tier/batch/quota.h"
#include "tier/batch/store_context.h"

namespace pearreach::batch {

// Owned by StoreServer. Not thread-safe: all calls and callbacks run on the event loop.
class QuotaService {
 public:
  explicit QuotaService(StoreContext* context);

  // For a batch job that is to be taken here.
  void Reserve(const BatchJobSpec& batch_job, std::function<void(QuotaDecision)> done);
  // A batch job for which a reservation was made is not taken after all.
  void CancelReservation(const std::string& route) { ScheduleReport(route); }
  // The batch job's waiting tokens may have changed.
  void Update(const std::string& batch_job_id);

  void OnReserve(QuotaReserveRequest reserve, const rpc::Respond& respond);
  void OnQuery(const QuotaQuery& query, const rpc::Respond& respond);
  void OnReport(const QuotaReport& report, const rpc::Respond& respond);
  void OnActive(std::uint32_t partition);
  void OnInactive(std::uint32_t partition);
  void Tick();  // about twice a second

 private:
  struct Waiting {
    QuotaReserveRequest reserve;
    rpc::Respond respond;
    Micros deadline = 0;
  };
  struct OwnedRoute {
    QuotaTracker tracker;
    Micros since = 0;
    std::vector<Waiting> waiting;  // for the first reports
    int pending_reports = 0;       // stores that have not responded yet
  };
  struct PendingReservation {
    std::string route;
    std::uint64_t sequence = 0;
  };

  const StoreId* OwnerOf(const std::string& route) const;
  bool IsOwner(const std::string& route);
  QuotaReport ReportOf(const std::string& route);
  void ScheduleReport(const std::string& route);
  void SendReports();
  void SendReport(const std::string& route);
  void OnReserved(const std::string& batch_job_id, const QuotaReservation& reservation,
                  const absl::StatusOr<std::string>& bytes,
                  const std::function<void(QuotaDecision)>& done);
  OwnedRoute& FindOrAddOwnedRoute(const std::string& route);
  void Grant(const QuotaReserveRequest& reserve, const rpc::Respond& respond);
  void CommitGrant(const QuotaReserveRequest& reserve, const rpc::Respond& respond);
  void ApplyReport(const QuotaReport& report);
  void RequestReports(const std::string& route);
  void RetryWaiting(const std::string& route);

  StoreContext* const context_;
  const std::uint64_t process_;  // by the time of its start
  std::uint64_t sequence_ = 0;
  std::map<std::string, std::map<std::string, double>>
      tokens_;                                 // by route and batch job, of this store
  std::map<std::string, std::string> routes_;  // of the batch jobs in `tokens_`
  std::map<std::string, PendingReservation>
      pending_reservations_;       // by batch job: reservations under way
  std::set<std::string> changed_;  // routes to be reported
  Timers::Id report_timer_ = 0;
  std::map<std::string, OwnedRoute> owned_routes_;  // by route
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_QUOTA_H_
