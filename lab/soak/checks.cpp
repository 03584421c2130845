#include "lab/soak/checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace pearreach::soak {
namespace {

constexpr int kWindowSeconds = 5;
constexpr Microseconds kWindow = kWindowSeconds * kSecond;
constexpr double kExcess = 0.1, kSlack = 20;
constexpr double kNearBound = 0.5;
// `slack_ms`: a connection that ends sooner may have been closed before the request was read.
constexpr Microseconds kCrossing = 200 * kMillisecond;
constexpr Microseconds kSoonAfterSignal = 3 * kSecond;
// `cancel_ms` and `drain_ms`.
constexpr Microseconds kCancel = 3 * kSecond, kDrain = 5 * kSecond;

class Checks {
 public:
  Checks(const std::vector<Version>& versions, const Fleet& fleet,
         const std::vector<WorkerRun>& runs, RequestLog* log)
      : versions_(versions), fleet_(fleet), runs_(runs), log_(log), requests_(log->requests()) {
    for (const SentRequest& request : requests_) {
      by_id_[request.attempt_id] = &request;
      for (const std::string& item : request.items) by_id_[item] = &request;
    }
  }

  void CheckAll() {
    for (const WorkerRun& run : runs_) {
      CheckOrigin(run);
      CheckEndedBatchJob(run);
      CheckDeparture(run);
      CountKillWithinEvent(run);
    }
    for (const SentRequest& request : requests_) {
      CheckAnswer(request);
      CheckStream(request);
    }
    CheckRepeats();
    std::set<std::string> tenants;
    for (const Version& version : versions_)
      for (const auto& [name, tenant] : version.configuration.tenants) tenants.insert(name);
    for (const std::string& tenant : tenants) CheckQuota(tenant);
  }

 private:
  static bool IsItem(const SentRequest& request) { return request.kind == RequestKind::kBatch; }

  void Find(const std::string& rule, const SentRequest& request, const std::string& what) {
    log_->Find(rule, fmt::format("{} with {} at {}, sent at {} us, answered {} after {} ms: {}",
                                 request.attempt_id, request.key, request.node->name(),
                                 request.sent_at, request.status,
                                 (request.ended_at - request.sent_at) / kMillisecond, what));
  }

  // Whether the node was in touch all the time that a check of CONFIG looks at.
  bool InTouch(const SentRequest& request) const {
    return !request.node->Disturbed(request.sent_at - kApply, request.ended_at);
  }

  void CheckOrigin(const WorkerRun& run) {
    const auto found = by_id_.find(run.attempt_id);
    if (found == by_id_.end())
      return log_->Find("UNASKED", "a worker ran the id " + run.attempt_id + ", never sent");
    const SentRequest& request = *found->second;
    if (run.authorized) Find("UNASKED", request, "Authorization came through to the worker");
    std::set<std::string> holders, present_holders;
    for (const Version& version : versions_)
      if (!version.refused && version.sent_at <= run.at)
        holders.insert(version.configuration.TenantOf(request.key));
    holders.erase("");
    if (holders.empty()) return Find("ROUTE", request, "ran, but no version ever held its key");
    log_->Count("checked: X-Tenant at a worker");
    if (!holders.contains(run.tenant))
      return Find("UNASKED", request, "ran as " + run.tenant + ", which never held the key");
    if (IsItem(request) || !InTouch(request)) return;
    CheckInForce(request, run);
  }

  void CheckInForce(const SentRequest& request, const WorkerRun& run) {
    log_->Count("checked: ran at a node in touch");
    bool key_fits = false, route_fits = false;
    for (const Configuration* each : MayBeInForce(versions_, request.sent_at, run.at, kApply)) {
      key_fits |= each->TenantOf(request.key) == run.tenant;
      route_fits |= request.kind != RequestKind::kExtra || each->has_extra_route;
    }
    if (!key_fits)
      Find("CONFIG", request, "ran as " + run.tenant + ", by an older version of its key");
    if (!route_fits) Find("CONFIG", request, "ran by a route that was removed");
  }

  // Whether no node had trouble, or came back, within `time` before.
  bool AllInTouchAt(Microseconds at, Microseconds time) const {
    for (const auto& member : fleet_.members())
      if (member->kind() != Member::Kind::kWorker && member->ChangedIn(at - time, at)) return false;
    return true;
  }

  void CheckEndedBatchJob(const WorkerRun& run) {
    const auto found = by_id_.find(run.attempt_id);
    if (found == by_id_.end() || found->second->end_acknowledged_at == 0) return;
    const Microseconds after_end = run.at - found->second->end_acknowledged_at;
    if (after_end <= kCancel || !AllInTouchAt(run.at, kContact)) return;
    // A worker that was frozen reads what came to it meanwhile once it goes on.
    const Microseconds end = found->second->end_acknowledged_at;
    if (run.worker != nullptr && run.worker->Disturbed(end, run.at))
      return log_->Count("excused: the worker of an ended batch job's item had a fault");
    Find("UNASKED", *found->second,
         fmt::format("item {} reached a worker {} ms after the end was acknowledged",
                     run.attempt_id, after_end / kMillisecond));
  }

  void CheckDeparture(const WorkerRun& run) {
    if (run.worker == nullptr || !run.worker->departs_with_late_heartbeat()) return;
    const std::optional<Microseconds> departure = run.worker->DepartureTime();
    if (!departure || run.at <= *departure + kDrain || !AllInTouchAt(run.at, 2 * kContact)) return;
    log_->Find("DRAIN",
               fmt::format("{} reached a worker {} ms after its departure was acknowledged",
                           run.attempt_id, (run.at - *departure) / kMillisecond));
  }

  // Between the run's begin and the end of its answer its worker was within an event.
  void CountKillWithinEvent(const WorkerRun& run) {
    const auto found = by_id_.find(run.attempt_id);
    const bool is_stream = found != by_id_.end() && found->second->kind == RequestKind::kStreamed;
    if (!is_stream || run.worker == nullptr) return;
    if (run.worker->streams_without_length() && run.worker->KillIn(run.at, found->second->ended_at))
      log_->Count("worker killed within an event of a stream without a length");
  }

  void CheckStream(const SentRequest& request) {
    if (request.kind != RequestKind::kStreamed || request.status != 200 || !request.complete)
      return;
    log_->Count("checked: end of a stream");
    if (request.ends_inside_event) Find("ORDER", request, "looks complete and ends in an event");
  }

  void CheckAnswer(const SentRequest& request) {
    if (request.status == 503 && InTouch(request)) log_->Count("503 at a node in touch");
    const bool checked = request.status == 401 || request.status == 404 ||
                         (request.status == 429 && !IsItem(request));
    if (!checked || !InTouch(request)) return;
    bool may = false;
    for (const Configuration* each :
         MayBeInForce(versions_, request.sent_at, request.ended_at, kApply)) {
      const bool known = !each->TenantOf(request.key).empty();
      const bool routed = request.kind != RequestKind::kExtra || each->has_extra_route;
      const bool limited = known && each->tenants.at(each->TenantOf(request.key)).rate_per_s > 0;
      may |= request.status == 401 ? !known : request.status == 404 ? !routed : limited;
    }
    log_->Count(fmt::format("checked: {} at a node in touch", request.status));
    if (!may && request.status == 429) Find("QUOTA", request, "was refused, but has no limit");
    if (!may && request.status != 429)
      Find("CONFIG", request, "was refused, but its key and route are valid");
  }

  void CheckRepeats() {
    std::map<std::string, int> runs_of;
    for (const WorkerRun& run : runs_) ++runs_of[run.attempt_id];
    for (const SentRequest& request : requests_) {
      const int count = runs_of[request.attempt_id];
      if (request.kind == RequestKind::kEffectful) {
        log_->Count("checked: effectful runs at most once");
        if (count > 1) Find("TWICE", request, fmt::format("effectful, and ran {} times", count));
      }
      if (count > 0 && request.promises_not_run)
        Find("REFUSED", request, "ran, though the answer promises that it did not");
      CheckTermination(request, count);
      if (!request.promises_not_run) continue;
      for (const std::string& item : request.items)
        if (runs_of[item] > 0 && request.status == 401)
          Find("REFUSED", request, item + " ran, though its batch job was refused");
    }
  }

  // Each request that a node has read gets a whole answer, also from one that is told to stop.
  void CheckTermination(const SentRequest& request, int runs) {
    const Member& node = *request.node;
    const bool abrupt =
        node.Disturbed(request.sent_at - kWindow, request.ended_at, /*abrupt_only=*/true);
    const std::optional<Microseconds> stopped_at =
        node.StopSignalIn(request.sent_at, request.ended_at);
    if (!abrupt && stopped_at.has_value()) CountLeaving(request, runs, *stopped_at);
    if (request.complete || request.timed_out) return;
    const bool owed = runs > 0 || (request.sent && request.ended_at > request.sent_at + kCrossing);
    if (!owed || IsExcused(request, runs, stopped_at)) return;
    const std::string what = runs > 0 ? "ran, and " : "was sent, and ";
    if (!node.Disturbed(request.sent_at, request.ended_at)) {
      Find("LOST", request, what + "the connection to a node without a fault ended before");
    } else if (!abrupt && stopped_at.has_value()) {
      Find("LOST", request, what + "a node that got SIGTERM ended without its answer");
    }
  }

  void CountLeaving(const SentRequest& request, int runs, Microseconds stopped_at) {
    if (runs > 0) log_->Count("ran at a node that got SIGTERM");
    if (request.ended_at < stopped_at) return;
    const bool later = request.sent_at > stopped_at;
    switch (request.form) {
      case RequestForm::kAlone:
        return;
      case RequestForm::kAfterStream:
        if (later) log_->Count("leaving: request after a stream");
        return;
      case RequestForm::kInPieces:
        log_->Count("leaving: body in pieces");
        return;
      case RequestForm::kPipelined:
        log_->Count("leaving: pipelined request");
        return;
      case RequestForm::kHeldRead:
        log_->Count("leaving: held read");
        return;
      case RequestForm::kKeptControl:
        log_->Count("leaving: control call");
        return;
    }
  }

  // The worker broke off, the request's time was over, or the worker was at work in the last sixth
  // of the grace on a request that was sent soon after the signal.
  bool IsExcused(const SentRequest& request, int runs, std::optional<Microseconds> stopped_at) {
    if (request.deadline > 0 && request.ended_at >= request.sent_at + request.deadline) return true;
    for (const WorkerRun& run : runs_)
      if (run.attempt_id == request.attempt_id && run.worker != nullptr &&
          run.worker->Disturbed(run.at, request.ended_at)) {
        log_->Count("excused: the worker broke off");
        return true;
      }
    if (runs == 0 || !stopped_at.has_value()) return false;
    const Microseconds last_sixth = *stopped_at + request.node->grace() * 5 / 6;
    if (request.sent_at > *stopped_at + kSoonAfterSignal || request.ended_at < last_sixth)
      return false;
    log_->Count("excused: the worker was at work in the last sixth of the grace");
    return true;
  }

  double BoundAt(const std::string& tenant, Microseconds from, Microseconds to) const {
    // A lower limit binds one window after every front machine has been in touch for kApply.
    Microseconds bound_from = from;
    for (const Member* edge : fleet_.Of(Member::Kind::kEdge))
      if (edge->Disturbed(from - kWindow - kApply, to)) bound_from = from - kLongDisturbance;
    double bound = 0;
    for (const Configuration* each : MayBeInForce(versions_, bound_from, to, kApply + kWindow)) {
      const auto found = each->tenants.find(tenant);
      if (found == each->tenants.end()) continue;
      if (found->second.rate_per_s == 0) return std::numeric_limits<double>::infinity();
      const double asked = found->second.rate_per_s * kWindowSeconds + found->second.burst_size;
      bound = std::max(bound, asked * (1 + kExcess) + kSlack);
    }
    return bound;
  }

  void CheckQuota(const std::string& tenant) {
    struct Served {
      Microseconds sent = 0, ran = 0;
    };
    std::vector<Served> served;
    std::set<std::string> seen;
    for (const WorkerRun& run : runs_) {
      const auto found = by_id_.find(run.attempt_id);
      if (found == by_id_.end() || IsItem(*found->second) || run.tenant != tenant) continue;
      if (seen.insert(run.attempt_id).second) served.push_back({found->second->sent_at, run.at});
    }
    std::sort(served.begin(), served.end(),
              [](const Served& a, const Served& b) { return a.sent < b.sent; });
    for (std::size_t first = 0; first < served.size(); ++first) {
      const Microseconds from = served[first].sent;
      const double bound = BoundAt(tenant, from, from + kWindow);
      if (bound == std::numeric_limits<double>::infinity()) continue;
      int count = 0;
      for (std::size_t each = first; each < served.size() && served[each].sent <= from + kWindow;
           ++each)
        if (served[each].ran <= from + kWindow) ++count;
      log_->Count("checked: window of a limited tenant");
      if (count >= kNearBound * bound) log_->Count("window at half of the bound or more");
      if (count <= bound) continue;
      log_->Find("QUOTA", fmt::format("{} ran {} requests in the window from {} us; at most {}",
                                      tenant, count, from, bound));
      return;  // one finding for each tenant
    }
  }

  static constexpr Microseconds kLongDisturbance = 20 * kSecond;

  const std::vector<Version>& versions_;
  const Fleet& fleet_;
  const std::vector<WorkerRun>& runs_;
  RequestLog* const log_;
  const std::vector<SentRequest> requests_;
  std::map<std::string, const SentRequest*> by_id_;
};

}  // namespace

std::vector<WorkerRun> ReadRuns(const Fleet& fleet) {
  std::vector<WorkerRun> runs;
  for (const Member* worker : fleet.Of(Member::Kind::kWorker)) {
    std::ifstream file(worker->record_path());
    WorkerRun run;
    run.worker = worker;
    std::string target;
    while (file >> run.at >> run.attempt_id >> run.tenant >> run.authorized >> target)
      runs.push_back(run);
  }
  return runs;
}

void CheckRun(const std::vector<Version>& versions, const Fleet& fleet,
              const std::vector<WorkerRun>& runs, RequestLog* log) {
  Checks(versions, fleet, runs, log).CheckAll();
}

}  // namespace pearreach::soak
