#include "tier/batch/item_run.h"

#include <utility>

namespace pearreach::batch {
namespace {

// Statuses by which a worker says that the item itself is at fault.
constexpr int kStatusWorkerFailed = 500;
constexpr int kStatusItemImpossible = 422;

}  // namespace

void ItemRun::OnEnd(const proxy::RequestResult& result) {
  const Ended ended = std::exchange(ended_, nullptr);
  if (ended != nullptr) ended(result);
}

RunOutcome ItemRun::Outcome(const proxy::RequestResult& result) const {
  const int status = IsSuccess() || status_ == 0 ? result.worker_status : status_;
  const bool is_complete = IsSuccess() && text_.AtEventEnd();
  if (result.end == proxy::RequestEnd::kComplete && is_complete) return RunOutcome::kComplete;
  if (status == kStatusWorkerFailed) return RunOutcome::kFailed;
  if (status == kStatusItemImpossible) return RunOutcome::kImpossible;
  return RunOutcome::kReturned;
}

}  // namespace pearreach::batch
