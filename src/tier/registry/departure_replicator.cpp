#include "tier/registry/departure_replicator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::registry {
namespace {

using coordination::MemberInfo;
using coordination::MemberStatus;

bool IsLive(const coordination::Member& member) {
  return member.status == MemberStatus::kAlive || member.status == MemberStatus::kSuspect;
}

std::size_t LossesPlusOne(int losses) { return static_cast<std::size_t>(std::max(losses, 0)) + 1; }

}  // namespace

struct DepartureReplicator::Run {
  std::vector<Place> able;    // of all quorum members but those of an earlier build
  std::vector<Place> synced;  // of those that have it on disk
  int open = 0;               // members whose answers are awaited
  Timers::Id timer = 0;
  Done done;

  void Finish(control::TimeSource* time, bool kept) {
    time->Cancel(&timer);
    if (done) std::exchange(done, nullptr)(kept);
  }
};

DepartureReplicator::DepartureReplicator(control::TimeSource* time, rpc::Transport* transport,
                                         const control::ControlClient* control,
                                         const settings::NodeSettings& settings, DepartureLog* log,
                                         UpdateHandler update_handler)
    : time_(time),
      transport_(transport),
      control_(control),
      self_(settings.node_name),
      tolerance_(settings.tolerance),
      regions_(settings.zones),
      log_(log),
      update_handler_(std::move(update_handler)) {
  if (log_ == nullptr) return;  // nobody calls this node, as it is no quorum member
  transport_->Handle(
      rpc::MessageType::kWorkerDeparture,
      callbacks_.Bind([this](const std::string&, std::string_view body,
                             const rpc::Respond& respond) { OnDeparture(body, respond); }));
}

void DepartureReplicator::OnDeparture(std::string_view body, const rpc::Respond& respond) {
  const auto update = codec::Decode<WorkerUpdate>(body);
  if (!update.ok()) return respond(update.status());
  if (update->items.size() != 1 || update->items.front().record.phase == WorkerPhase::kReady)
    return respond(absl::InvalidArgumentError("one worker that drains or has departed is needed"));
  update_handler_(*update);
  log_->Record(update->items.front().record, [respond](bool synced) {
    if (synced) {
      respond(std::string());
    } else {
      respond(absl::UnavailableError("the disk takes no writes"));
    }
  });
}

DepartureReplicator::Place DepartureReplicator::PlaceOf(const coordination::Member& member) const {
  const auto region = regions_.find(member.info.zone);
  return {member.info.zone, region == regions_.end() ? std::string() : region->second};
}

void DepartureReplicator::Replicate(const WorkerUpdate::Item& item, Micros timeout, Done done) {
  const auto run = std::make_shared<Run>();
  run->done = std::move(done);
  run->open = 1;  // until all members have been called
  run->timer = time_->After(timeout, callbacks_.Bind([this, run] {
    run->timer = 0;
    run->Finish(time_, false);
  }));
  WorkerUpdate update;
  update.items.push_back(item);
  const std::string body = codec::Encode(update);
  for (const auto& [name, member] : control_->members()) {
    if (!member.info.Is(MemberInfo::kQuorumMember)) continue;
    const Place place = PlaceOf(member);
    run->able.push_back(place);
    const bool is_self = name == self_;
    if (is_self ? log_ == nullptr : !IsLive(member)) continue;
    ++run->open;
    if (is_self) {
      log_->Record(item.record, callbacks_.Bind([this, run, place](bool synced) {
        OnAnswer(run, place, synced ? Answer::kSynced : Answer::kFailed);
      }));
      continue;
    }
    transport_->Call(
        member.info.address, rpc::MessageType::kWorkerDeparture, body, timeout,
        callbacks_.Bind([this, run, place](const absl::StatusOr<std::string>& response) {
          const bool is_earlier_build = absl::IsUnimplemented(response.status());
          OnAnswer(run, place,
                   response.ok()      ? Answer::kSynced
                   : is_earlier_build ? Answer::kEarlierBuild
                                      : Answer::kFailed);
        }));
  }
  --run->open;
  if (run->open == 0) run->Finish(time_, Suffices(run->synced, run->able));
}

void DepartureReplicator::OnAnswer(const std::shared_ptr<Run>& run, const Place& place,
                                   Answer answer) const {
  --run->open;
  if (answer == Answer::kSynced) run->synced.push_back(place);
  if (answer == Answer::kEarlierBuild) {
    const auto found = std::find(run->able.begin(), run->able.end(), place);
    if (found != run->able.end()) run->able.erase(found);
  }
  const bool suffices = Suffices(run->synced, run->able);
  if (!suffices && run->open > 0) return;
  run->Finish(time_, suffices);
}

bool DepartureReplicator::Suffices(const std::vector<Place>& kept,
                                   const std::vector<Place>& able) const {
  const auto count = [](const std::vector<Place>& places, std::string Place::*field) {
    std::set<std::string> names;
    for (const Place& place : places) names.insert(place.*field);
    return names.size();
  };
  const auto reaches = [&](std::string Place::*field, int losses) {
    return losses <= 0 || count(kept, field) >= std::min(LossesPlusOne(losses), count(able, field));
  };
  return kept.size() >= std::min(LossesPlusOne(tolerance_.machines), able.size()) &&
         reaches(&Place::zone, tolerance_.zones) && reaches(&Place::region, tolerance_.regions);
}

}  // namespace pearreach::registry
