// Puts a departure on the disks of so many quorum members that it outlasts all losses that the
// deployment tolerates at once.
#ifndef PEARREACH_SRC_TIER_REGISTRY_DEPARTURE_REPLICATOR_H_
#define PEARREACH_SRC_TIER_REGISTRY_DEPARTURE_REPLICATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/registry/departure_log.h"
#include "tier/registry/worker_messages.h"
#include "tier/rpc/transport.h"
#include "tier/settings/node_settings.h"

namespace pearreach::registry {

// Owned by a WorkerRegistry; used on the event loop's thread only. Handles kWorkerDeparture.
class DepartureReplicator {
 public:
  // `kept`: on the disks of enough quorum members; or the members run an earlier build that keeps
  // no departures, or there are none.
  using Done = std::function<void(bool kept)>;
  using UpdateHandler = std::function<void(const WorkerUpdate&)>;

  // `log`: of this node, null if it is no quorum member. `update_handler` is called with the
  // records that other nodes send. All pointers outlive this.
  DepartureReplicator(control::TimeSource* time, rpc::Transport* transport,
                      const control::ControlClient* control, const settings::NodeSettings& settings,
                      DepartureLog* log, UpdateHandler update_handler);

  // `done` is called once, within `timeout`; it may be called from inside.
  void Replicate(const WorkerUpdate::Item& item, Micros timeout, Done done);

 private:
  enum class Answer { kSynced, kFailed, kEarlierBuild };
  // Where disks are lost together.
  struct Place {
    std::string zone, region;
    bool operator==(const Place&) const = default;
  };
  struct Run;

  void OnDeparture(std::string_view body, const rpc::Respond& respond);
  Place PlaceOf(const coordination::Member& member) const;
  void OnAnswer(const std::shared_ptr<Run>& run, const Place& place, Answer answer) const;
  // Whether disks at these places outlast the tolerated losses, as far as `able` ones allow.
  bool Suffices(const std::vector<Place>& kept, const std::vector<Place>& able) const;

  control::TimeSource* const time_;
  rpc::Transport* const transport_;
  const control::ControlClient* const control_;
  const std::string self_;
  const settings::Tolerance tolerance_;
  const std::map<std::string, std::string> regions_;  // by zone
  DepartureLog* const log_;
  const UpdateHandler update_handler_;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_DEPARTURE_REPLICATOR_H_
