#include "lab/soak/closing_faults.h"

#include <signal.h>

#include <vector>

namespace pearreach::soak {
namespace {

constexpr Microseconds kCalm = 8 * kSecond;  // all that were restarted have joined and are filled
constexpr Microseconds kStoreAway = kContact + 3 * kSecond;
constexpr Microseconds kBetweenWorkers = 1 * kSecond;
constexpr Microseconds kEdgesAway = 500 * kMillisecond;
constexpr Microseconds kDeparture = 10 * kSecond, kDepartureLook = 5 * kMillisecond;
constexpr Microseconds kKilledEnd = 10 * kSecond, kWorkerEnd = 25 * kSecond;

}  // namespace

void ClosingFaults::Run() {
  SleepFor(kCalm);
  KillWorkersWithinEvents();
  KeepStoreAway();
  SleepFor(kCalm);
  KillAllEdgesAfterDeparture();
}

void ClosingFaults::KillWorkersWithinEvents() {
  for (Member* worker : fleet_->Of(Member::Kind::kWorker)) {
    if (!worker->streams_without_length() || worker->departs_with_late_heartbeat()) continue;
    worker->BeginDisturbance(/*abrupt=*/true);
    worker->Signal(SIGKILL);
    worker->AwaitEnd(kKilledEnd);
    worker->Start();
    worker->EndDisturbance();
    SleepFor(kBetweenWorkers);
  }
}

void ClosingFaults::KeepStoreAway() {
  const std::vector<Member*> stores = fleet_->Of(Member::Kind::kStore);
  Member* const store = stores[seed_ % stores.size()];
  const bool is_frozen = seed_ / 2 % 2 == 0;
  log_->Count(is_frozen ? "store away: SIGSTOP" : "store away: SIGKILL");
  store->BeginDisturbance(/*abrupt=*/true);
  store->Signal(is_frozen ? SIGSTOP : SIGKILL);
  if (!is_frozen) store->AwaitEnd(kKilledEnd);
  store_away_at_ = Now();
  SleepFor(kStoreAway);
  if (is_frozen)
    store->Signal(SIGCONT);
  else
    store->Start();
  store->EndDisturbance();
}

void ClosingFaults::KillAllEdgesAfterDeparture() {
  fleet_->DepartingWorker()->Signal(SIGTERM);
  if (!AwaitDeparture()) return;
  log_->Count("SIGKILL of all edge nodes");
  const std::vector<Member*> edges = fleet_->Of(Member::Kind::kEdge);
  for (Member* edge : edges) edge->BeginDisturbance(/*abrupt=*/true);
  for (Member* edge : edges) edge->Signal(SIGKILL);
  for (Member* edge : edges) edge->AwaitEnd(kKilledEnd);
  SleepFor(kEdgesAway);
  for (Member* edge : edges) {
    edge->Start();
    edge->EndDisturbance();
  }
  fleet_->DepartingWorker()->AwaitEnd(kWorkerEnd);
}

bool ClosingFaults::AwaitDeparture() const {
  const Microseconds until = Now() + kDeparture;
  while (Now() < until) {
    if (fleet_->DepartingWorker()->DepartureTime()) return true;
    SleepFor(kDepartureLook);
  }
  return false;
}

}  // namespace pearreach::soak
