#include "tier/batch/confirmation_queue.h"

#include <algorithm>
#include <utility>

namespace pearreach::batch {

Micros ConfirmationQueue::NextDeadline() const {
  return std::min_element(
             waiting_.begin(), waiting_.end(),
             [](const Confirmation& a, const Confirmation& b) { return a.deadline < b.deadline; })
      ->deadline;
}

std::vector<Confirmation> ConfirmationQueue::RemoveFinished(
    Micros now, const std::function<bool(const Confirmation&)>& is_confirmed) {
  std::vector<Confirmation> finished, waiting;
  for (Confirmation& confirmation : waiting_) {
    const bool is_finished = now >= confirmation.deadline || is_confirmed(confirmation);
    (is_finished ? finished : waiting).push_back(std::move(confirmation));
  }
  waiting_ = std::move(waiting);
  return finished;
}

std::vector<Confirmation> ConfirmationQueue::RemoveAll() {
  std::vector<Confirmation> all = std::move(waiting_);
  waiting_.clear();
  return all;
}

}  // namespace pearreach::batch
