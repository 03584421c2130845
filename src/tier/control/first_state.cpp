#include "tier/control/first_state.h"

#include <optional>

namespace pearreach::control {

FirstState::FirstState(TimeSource* time, SnapshotStore* snapshots, LinearizableReader* reader,
                       const ControlTiming& timing)
    : time_(time),
      snapshots_(snapshots),
      reader_(reader),
      read_timeout_(timing.call_timeout),
      pause_(timing.retry / 2) {}

void FirstState::Start() { Ask(); }

void FirstState::Ask() {
  if (snapshots_->known()) return;
  reader_->Read(std::nullopt, read_timeout_,
                callbacks_.Bind([this](const absl::StatusOr<ChangeHistoryRead>&) {
                  if (snapshots_->known()) return;
                  time_->After(pause_, callbacks_.Bind([this] { Ask(); }));
                }));
}

}  // namespace pearreach::control
