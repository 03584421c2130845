#include "tier/control/control_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include "tier/control/bootstrap_members.h"
#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

using coordination::MemberInfo;

std::uint64_t SeedOf(const MemberInfo& self) {
  return std::hash<std::string>()(self.name) ^ self.incarnation;
}

coordination::MembershipOptions MembershipOptionsOf(const MemberInfo& self,
                                                    const std::vector<std::string>& seeds,
                                                    const ControlTiming& timing) {
  coordination::MembershipOptions options;
  options.self = self;
  options.probe_period = timing.probe_period;
  options.probe_timeout = timing.probe_timeout;
  options.suspicion = timing.suspicion;
  for (const std::string& seed : seeds) {
    if (seed != self.address) options.seeds.push_back(seed);
  }
  return options;
}

}  // namespace

MemberInfo DescribeSelf(const settings::NodeSettings& settings, const storage::TableStore* store,
                        std::uint64_t incarnation) {
  MemberInfo self;
  self.name = settings.node_name;
  self.address = fmt::format("{}:{}", settings.ip, settings.peer_port());
  self.zone = settings.zone;
  self.machine_class = settings.machine_class;
  self.incarnation = incarnation;
  if (store != nullptr) self.disk_id = store->disk_id();
  if (settings.Serves("edge")) self.roles |= MemberInfo::kServesEdge;
  if (settings.Serves("control")) self.roles |= MemberInfo::kServesControl;
  if (settings.Serves("storage")) self.roles |= MemberInfo::kServesStorage;
  const bool quorum = settings.quorum_member && settings.Serves("control") && store != nullptr;
  if (quorum) self.roles |= MemberInfo::kQuorumMember;
  return self;
}

std::vector<std::string> SeedAddresses(const settings::NodeSettings& settings) {
  std::vector<std::string> seeds;
  for (const std::string& seed : settings.seed_nodes) {
    seeds.push_back(fmt::format("{}:{}", IpOf(seed), settings.peer_port()));
  }
  return seeds;
}

ControlNode::ControlNode(Timers* timers, rpc::Transport* transport, storage::TableStore* store,
                         const settings::NodeSettings& settings, std::uint64_t incarnation)
    : ControlNode(TimeSourceOf(timers), transport, store, settings, incarnation) {}

ControlNode::ControlNode(std::unique_ptr<TimeSource> time, rpc::Transport* transport,
                         storage::TableStore* store, const settings::NodeSettings& settings,
                         std::uint64_t incarnation)
    : time_(std::move(time)),
      self_(DescribeSelf(settings, store, incarnation)),
      seeds_(SeedAddresses(settings)),
      timing_(TimingOf(settings.bounds)),
      membership_(time_.get(), transport, MembershipOptionsOf(self_, seeds_, timing_),
                  timing_.stall_tolerance, SeedOf(self_)),
      directory_(&membership_.members(), self_.name,
                 MembershipOptionsOf(self_, seeds_, timing_).seeds, settings.zones),
      connectivity_(time_.get(), transport, &directory_, timing_),
      replica_(MakeReplica(transport, store, settings, SeedOf(self_))),
      poll_server_(time_.get(), transport, &snapshots_),
      poller_(time_.get(), transport, &snapshots_, &directory_),
      state_fetcher_(time_.get(), transport, &snapshots_, &directory_),
      change_forwarder_(time_.get(), transport, &directory_, replica_.get(), &connectivity_,
                        &membership_.stalls()),
      quorum_recovery_(time_.get(), transport, &directory_, replica_.get(),
                       settings.tolerance.machines),
      reader_(time_.get(), transport, &snapshots_, &directory_, replica_.get()),
      confirmer_(time_.get(), &snapshots_, &reader_),
      initial_state_reader_(time_.get(), &snapshots_, &reader_, timing_),
      bootstrapping_(settings.bootstrap && replica_ != nullptr) {
  SetRevocationBounds(settings.bounds);
  Start();
}

ControlNode::~ControlNode() { time_->Cancel(&seed_wait_timer_); }

std::unique_ptr<ReplicaDriver> ControlNode::MakeReplica(rpc::Transport* transport,
                                                        storage::TableStore* store,
                                                        const settings::NodeSettings& settings,
                                                        std::uint64_t seed) {
  if (!self_.Is(MemberInfo::kQuorumMember)) return nullptr;
  coordination::ChainOptions options;
  options.self = {self_.name, self_.disk_id};
  options.bootstrap = settings.bootstrap;
  options.tolerance = {settings.tolerance.machines, settings.tolerance.zones,
                       settings.tolerance.regions};
  options.call_timeout = timing_.call_timeout;
  options.retry = timing_.retry;
  return std::make_unique<ReplicaDriver>(time_.get(), transport, store, &snapshots_, &directory_,
                                         &connectivity_, std::move(options), seed);
}

void ControlNode::Start() {
  snapshots_.OnChange([this] { SnapshotChanged(); });
  membership_.OnChange([this](const std::vector<std::string>& names) { MembersChanged(names); });
  if (replica_ != nullptr) replica_->OnStep([this] { ReplicaStepped(); });
  if (bootstrapping_) {
    seed_wait_timer_ = time_->After(kSeedWaitTimeout, [this] {
      seed_wait_timer_ = 0;
      seed_wait_over_ = true;
      if (bootstrapping_) BootstrapIfDecided(true);
    });
  }
  if (replica_ != nullptr) ReplicaStepped();
  membership_.Start();
  initial_state_reader_.Start();
  if (replica_ == nullptr) return;
  replica_->MembersChanged();
  connectivity_.Start([this] {
    replica_->MembersChanged();
    if (connectivity_.disk().is_rolled_back() && disk_rolled_back_)
      std::exchange(disk_rolled_back_, nullptr)();
  });
}

void ControlNode::OnChange(std::function<void()> listener) {
  snapshots_.OnChange(std::move(listener));
}

void ControlNode::OnMembersChanged(MembershipDriver::Listener listener) {
  member_listeners_.push_back(std::move(listener));
}

void ControlNode::SetRevocationBounds(const settings::Bounds& bounds) {
  const auto max_age = static_cast<Micros>(bounds.revoke_ms * static_cast<double>(kMs));
  confirmer_.SetMaxAge(bounds.revocation_closed ? std::optional(max_age) : std::nullopt);
}

void ControlNode::Announce(const std::string& name, std::uint64_t version) {
  membership_.Announce(name, version);
}

void ControlNode::Change(ControlChange change, Micros timeout, ChangeDone done) {
  WriteRequest request;
  request.change = std::move(change);
  request.timeout = timeout;
  change_forwarder_.Change(
      std::move(request), [done = std::move(done)](const WriteResponse& response) {
        done({static_cast<coordination::ChangeStatus>(response.status), response.revision});
      });
}

void ControlNode::LinearizableRead(Micros timeout, ReadDone done) {
  reader_.Read(std::nullopt, timeout,
               [done = std::move(done)](absl::StatusOr<ChangeHistoryRead> history_read) {
                 if (!history_read.ok()) return done(history_read.status());
                 done(std::move(history_read->snapshot));
               });
}

void ControlNode::ReadWithHistory(const coordination::ChangeId& change_id, Micros timeout,
                                  HistoryReadDone done) {
  reader_.Read(change_id, timeout, std::move(done));
}

void ControlNode::PrepareToShutDown() {
  connectivity_.SetDraining();
  if (replica_ != nullptr) replica_->MembersChanged();
}

// A state that is committed in a view is on the disks of all its members, so a node outside a view
// that has committed a state is not needed any more.
bool ControlNode::MayShutDown() const {
  if (replica_ == nullptr) return true;
  const bool begun = Current()->version.epoch >= replica_->view().epoch;
  if (!replica_->InView() && begun && connectivity_.IsDrained()) return true;
  const auto contacts = directory_.QuorumContacts();
  return std::all_of(contacts.begin(), contacts.end(), [this](const Contact& contact) {
    return connectivity_.IsDraining(contact.name);
  });
}

bool ControlNode::UpdateRoster(const std::vector<std::string>& names) {
  bool changed = false;
  for (const std::string& name : names) {
    const coordination::Member* member = directory_.Find(name);
    if (member == nullptr) {
      changed = roster_.erase(name) > 0 || changed;
      continue;
    }
    const Presence now{IsLive(*member), member->info.incarnation};
    Presence& known = roster_[name];
    changed = changed || known != now;
    known = now;
  }
  return changed;
}

void ControlNode::MembersChanged(const std::vector<std::string>& names) {
  if (UpdateRoster(names)) {
    if (replica_ != nullptr) {
      if (!connectivity_.IsDiskChecked()) connectivity_.SendHeartbeatsNow();
      replica_->MembersChanged();
    }
    if (bootstrapping_) BootstrapIfDecided(seed_wait_over_);
    poller_.Refresh();
  }
  state_fetcher_.MembersChanged(names);
  for (std::size_t i = 0; i < member_listeners_.size(); ++i) member_listeners_[i](names);
}

void ControlNode::BootstrapIfDecided(bool seed_wait_over) {
  auto bootstrap_members = ChooseBootstrapMembers(members(), seeds_, seed_wait_over);
  if (!bootstrap_members.has_value()) return;
  bootstrapping_ = false;
  time_->Cancel(&seed_wait_timer_);
  std::string names;
  for (const auto& member : *bootstrap_members) names += member.name + " ";
  logging::Info("control", "bootstrap members of the first view", {logging::F("names", names)});
  replica_->SetFounders(*std::move(bootstrap_members));
}

void ControlNode::ReplicaStepped() {
  connectivity_.Update(replica_->is_head(), replica_->is_changing_view(), replica_->view());
  UpdatePolls();
}

// A member of the view learns of commits from the chain; a node without a state waits for the
// initial linearizable read.
void ControlNode::UpdatePolls() {
  const bool informed = replica_ != nullptr && replica_->InView();
  poller_.SetActive(snapshots_.known() && !informed);
}

void ControlNode::SnapshotChanged() {
  membership_.Announce(kControlVersionName, Packed(Current()->version));
  UpdatePolls();
}

}  // namespace pearreach::control
