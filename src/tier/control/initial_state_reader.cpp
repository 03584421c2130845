#include "tier/control/initial_state_reader.h"

#include <optional>

namespace pearreach::control {

InitialStateReader::InitialStateReader(TimeSource* time, SnapshotStore* snapshots,
                                       LinearizableReader* reader, const ControlTiming& timing)
    : time_(time),
      snapshots_(snapshots),
      reader_(reader),
      read_timeout_(timing.call_timeout),
      retry_backoff_(timing.retry / 2) {}

void InitialStateReader::Start() { ReadState(); }

void InitialStateReader::ReadState() {
  if (snapshots_->known()) return;
  reader_->Read(std::nullopt, read_timeout_,
                callbacks_.Bind([this](const absl::StatusOr<ChangeHistoryRead>&) {
                  if (snapshots_->known()) return;
                  time_->After(retry_backoff_, callbacks_.Bind([this] { ReadState(); }));
                }));
}

}  // namespace pearreach::control
