#include "tier/batch/batch_job_store.h"

#include <glib.h>

#include <algorithm>
#include <set>
#include <utility>

#include "tier/batch/shutdown_check.h"
#include "tier/codec/archive.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr Micros kTickPeriod = 500 * kMs;
constexpr int kSweepTicks = 4;
constexpr Micros kRefreshInterval =
    200 * kMs;  // between strict reads that were not asked to confirm
constexpr Micros kStrictTimeout = 1 * kSecond;
constexpr Micros kInsufficientCapacityLogPeriod = 1 * kSecond;
constexpr Micros kFilledPeriod = 500 * kMs;
constexpr Micros kDiskReportTimeout = 500 * kMs;

bool IsThere(const coordination::Member& member) {
  return member.status == coordination::MemberStatus::kAlive ||
         member.status == coordination::MemberStatus::kSuspect;
}

}  // namespace

StoreServer::StoreServer(Timers* timers, rpc::Transport* transport, storage::TableStore* disk,
                         control::ControlClient* control, StoreId self,
                         const settings::Bounds& bounds, const settings::Tolerance& tolerance,
                         double link_mbps, const std::shared_ptr<memory::MemoryBudget>& memory)
    : timers_(timers),
      transport_(transport),
      disk_(disk),
      control_(control),
      memory_(memory != nullptr
                  ? memory
                  : std::make_shared<memory::MemoryBudget>(memory::MemoryBudget::kUnlimited)),
      self_(std::move(self)),
      random_((static_cast<std::uint64_t>(std::random_device()()) << 32) ^ std::random_device()()),
      wall_at_start_ms_(g_get_real_time() / kMs),
      start_(pearreach::Now()),
      replicas_wanted_(tolerance.copies()),
      sync_s_(bounds.sync_s),
      link_mbps_(link_mbps),
      disk_guard_(self_, *disk, random_() | 1,
                  [this](const StoreId& to, std::string body, rpc::Done done) {
                    Send(to, rpc::MessageType::kStoreDiskReport, std::move(body),
                         kDiskReportTimeout, std::move(done));
                  }),
      lost_disks_(
          *disk, BootId(), LossWindow(bounds.sync_s),
          [this](storage::Write record, std::function<void(absl::Status)> done) {
            CommitRecord(std::move(record), std::move(done));
          },
          [this] { OnEnvironmentChanged(); }),
      replica_shortage_log_(tolerance.copies()),
      repair_throttle_({[] { return pearreach::Now(); },
                        [this](Micros delay, std::function<void()> callback) {
                          After(delay, std::move(callback));
                        }}),
      unresponsive_store_reporter_(transport, control),
      reads_(this),
      quota_(this),
      items_(
          this, [this](const std::string& batch_job_id) { reads_.OnVisible(batch_job_id); },
          [this](const std::string& batch_job_id) { quota_.Update(batch_job_id); }),
      changes_(this, &items_, &reads_, &quota_) {
  ReplicationEnvironment* const environment = this;
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    replicas_.push_back(std::make_unique<PartitionReplica>(partition, self_, environment));
  }
  RegisterHandlers();
  RecordStart();
  control_->OnChange([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) AdoptTable(*control_->Current());
  });
  AdoptTable(*control_->Current());
  UpdateDiskCapacity();
  tick_timer_ = After(kTickPeriod, [this] { Tick(); });
}

StoreServer::~StoreServer() {
  alive_.reset();
  timers_->Cancel(&tick_timer_);
  timers_->Cancel(&refresh_timer_);
  timers_->Cancel(&filled_timer_);
  replicas_.clear();
}

void StoreServer::RecordStart() {
  disk_guard_.SetListeners([this] { OnEnvironmentChanged(); },
                           [this] {
                             if (disk_rolled_back_) std::exchange(disk_rolled_back_, nullptr)();
                           });
  Commit({}, [](const absl::Status&) {});
}

void StoreServer::OnEnvironmentChanged() {
  for (const auto& replica : replicas_) replica->OnEnvironmentChanged();
}

int StoreServer::active_partitions() const {
  return static_cast<int>(std::count_if(replicas_.begin(), replicas_.end(),
                                        [](const auto& replica) { return replica->is_active(); }));
}

// ---------------------------------------------------------------- handlers

template <class Message>
void StoreServer::Register(rpc::MessageType type,
                           std::function<void(Message, rpc::Respond)> handle) {
  const std::weak_ptr<bool> alive = alive_;
  Handler handler =
      Decoding<Message>([alive, handle = std::move(handle)](Message message, rpc::Respond respond) {
        if (alive.expired()) {
          respond(absl::UnavailableError("ending"));
        } else {
          handle(std::move(message), std::move(respond));
        }
      });
  handlers_[type] = handler;
  transport_->Handle(type, std::move(handler));
}

void StoreServer::RegisterHandlers() {
  transport_->Handle(rpc::MessageType::kStorePing,
                     [](const std::string&, std::string_view, const rpc::Respond& respond) {
                       respond(std::string());
                     });
  RegisterBatchJobHandlers();
  RegisterItemHandlers();
  RegisterReplicationHandlers();
  RegisterQuotaHandlers();
}

void StoreServer::RegisterBatchJobHandlers() {
  using rpc::MessageType;
  using rpc::Respond;
  Register<CreateBatchJob>(MessageType::kBatchJobCreate,
                           [this](CreateBatchJob message, Respond respond) {
                             changes_.OnCreate(std::move(message), std::move(respond));
                           });
  Register<OfferBatchJob>(MessageType::kBatchJobAdmission,
                          [this](const OfferBatchJob& message, const Respond& respond) {
                            changes_.OnOffer(message, respond);
                          });
  Register<CancelBatchJob>(MessageType::kBatchJobCancel,
                           [this](const CancelBatchJob& message, const Respond& respond) {
                             changes_.OnCancel(message, respond);
                           });
  Register<ReadBatchJob>(MessageType::kBatchJobRead, [this](ReadBatchJob message, Respond respond) {
    reads_.OnRead(std::move(message), std::move(respond));
  });
  Register<ReadItemBody>(MessageType::kItemBody,
                         [this](const ReadItemBody& message, const Respond& respond) {
                           reads_.OnBody(message, respond);
                         });
}

void StoreServer::RegisterItemHandlers() {
  using rpc::MessageType;
  using rpc::Respond;
  Register<PullItems>(MessageType::kItemPull, [this](PullItems message, Respond respond) {
    items_.OnPullItems(std::move(message), std::move(respond));
  });
  Register<ItemResult>(MessageType::kItemResult,
                       [this](const ItemResult& message, const Respond& respond) {
                         items_.OnResult(message, respond);
                       });
  Register<RenewLeases>(MessageType::kItemRenew,
                        [this](const RenewLeases& message, const Respond& respond) {
                          items_.OnRenew(message, respond);
                        });
}

void StoreServer::RegisterReplicationHandlers() {
  using rpc::MessageType;
  using rpc::Respond;
  Register<Replicate>(MessageType::kReplicate,
                      [this](const Replicate& message, const Respond& respond) {
                        if (message.scope.partition >= kPartitions) {
                          respond(absl::InvalidArgumentError("no such partition"));
                          return;
                        }
                        PartitionReplica& replica = Replica(message.scope.partition);
                        replica.OnReplicate(message, respond);
                      });
  Register<StoreDiskReport>(MessageType::kStoreDiskReport,
                            [this](const StoreDiskReport& report, const Respond& respond) {
                              disk_guard_.OnReport(report, respond);
                            });
  Register<RepairDigest>(MessageType::kRepairDigest,
                         [this](const RepairDigest& message, const Respond& respond) {
                           if (message.scope.partition >= kPartitions) {
                             respond(absl::InvalidArgumentError("no such partition"));
                             return;
                           }
                           Replica(message.scope.partition).OnRepairDigest(message, respond);
                         });
}

void StoreServer::RegisterQuotaHandlers() {
  using rpc::MessageType;
  using rpc::Respond;
  Register<QuotaReserveRequest>(MessageType::kQuotaReserve,
                                [this](QuotaReserveRequest message, const Respond& respond) {
                                  quota_.OnReserve(std::move(message), respond);
                                });
  Register<QuotaQuery>(MessageType::kQuotaQuery,
                       [this](const QuotaQuery& message, const Respond& respond) {
                         quota_.OnQuery(message, respond);
                       });
  Register<QuotaReport>(MessageType::kQuotaReport,
                        [this](const QuotaReport& message, const Respond& respond) {
                          quota_.OnReport(message, respond);
                        });
}

// ---------------------------------------------------------------- environment

Micros StoreServer::Now() const { return pearreach::Now(); }

std::int64_t StoreServer::WallMs() const {
  return wall_at_start_ms_ + (pearreach::Now() - start_) / kMs;
}

Timers::Id StoreServer::After(Micros delay, std::function<void()> callback) {
  return timers_->After(delay,
                        [alive = std::weak_ptr<bool>(alive_), callback = std::move(callback)] {
                          if (!alive.expired()) callback();
                        });
}

void StoreServer::Commit(std::vector<storage::Write> batch,
                         std::function<void(absl::Status)> done) {
  const control::DiskUse use = disk_guard_.Stamp(&batch);
  disk_->Commit(std::move(batch), [this, use, alive = std::weak_ptr<bool>(alive_),
                                   done = std::move(done)](const absl::Status& status) {
    if (alive.expired()) return;
    if (status.ok()) disk_guard_.OnSynced(use);
    done(status);
  });
}

std::string StoreServer::AddressOf(const StoreId& store) const {
  const auto& members = control_->members();
  const auto at = members.find(store.name);
  if (at == members.end() || !IsThere(at->second)) return {};
  return at->second.info.disk_id == store.disk_id ? at->second.info.address : std::string();
}

void StoreServer::Send(const StoreId& to, rpc::MessageType type, std::string body, Micros timeout,
                       rpc::Done done) {
  rpc::Done guarded = [alive = std::weak_ptr<bool>(alive_),
                       done = std::move(done)](absl::StatusOr<std::string> answer) {
    if (!alive.expired()) done(std::move(answer));
  };
  if (to == self_) {
    SendLocal(type, std::move(body), std::move(guarded));
    return;
  }
  const std::string address = AddressOf(to);
  if (address.empty()) {
    After(0, [guarded] { guarded(absl::UnavailableError("the store is not there")); });
    return;
  }
  transport_->Call(address, type, std::move(body), timeout, std::move(guarded));
}

void StoreServer::SendLocal(rpc::MessageType type, std::string body, rpc::Done done) {
  After(0, [this, type, body = std::move(body), done = std::move(done)] {
    handlers_.at(type)({}, body, done);
  });
}

// ---------------------------------------------------------------- the placement table

void StoreServer::AdoptTable(const control::ControlSnapshot& snapshot) {
  if (snapshot.stores.empty() || snapshot.stores_revision <= stores_revision_) return;
  auto table = codec::Decode<PlacementTable>(snapshot.stores);
  if (!table.ok()) {
    logging::Error("batch", "placement table is unreadable",
                   {logging::F("error", table.status().ToString())});
    return;
  }
  stores_revision_ = snapshot.stores_revision;
  placement_ = *std::move(table);
  UpdatePeers();
  for (std::uint32_t i = 0; i < kPartitions && i < placement_.partitions.size(); ++i) {
    replicas_[i]->SetTable(placement_.partitions[i]);
  }
}

// The stores that hold partitions together with this one, and those that did before their disks
// were lost.
void StoreServer::UpdatePeers() {
  std::set<StoreId> peers, lost;
  for (const Partition& partition : placement_.partitions) {
    const auto& replicas = partition.replicas;
    if (std::find(replicas.begin(), replicas.end(), self_) == replicas.end()) continue;
    peers.insert(replicas.begin(), replicas.end());
    lost.insert(partition.lost.begin(), partition.lost.end());
  }
  disk_guard_.SetPeers(std::move(peers));
  lost_disks_.Update(placement_.epoch, lost, Now());
}

void StoreServer::LinearizableRead() {
  if (reading_) return;
  reading_ = true;
  auto waiting = std::make_shared<std::vector<std::function<void(bool)>>>(std::move(next_read_));
  next_read_.clear();
  control_->LinearizableRead(
      kStrictTimeout,
      [this, waiting, alive = std::weak_ptr<bool>(alive_)](
          const absl::StatusOr<std::shared_ptr<const control::ControlSnapshot>>& snapshot) {
        if (alive.expired()) return;
        reading_ = false;
        if (snapshot.ok()) AdoptTable(**snapshot);
        for (const auto& done : *waiting) done(snapshot.ok());
        if (!next_read_.empty()) LinearizableRead();
      });
}

void StoreServer::RefreshTable() {
  if (refresh_timer_ != 0) return;
  refresh_timer_ = After(kRefreshInterval, [this] { refresh_timer_ = 0; });
  LinearizableRead();
}

void StoreServer::ConfirmEpoch(std::uint32_t partition, std::uint64_t epoch,
                               std::function<void(bool)> done) {
  next_read_.emplace_back([this, partition, epoch, done = std::move(done)](bool ok) {
    done(ok && replicas_[partition]->epoch() == epoch);
  });
  After(0, [this] { LinearizableRead(); });
}

void StoreServer::OnActive(std::uint32_t partition) {
  logging::Info("batch", "partition became active", {logging::F("partition", partition)});
  items_.OnActive(partition);
  quota_.OnActive(partition);
}

void StoreServer::OnInactive(std::uint32_t partition) {
  logging::Info("batch", "partition became inactive", {logging::F("partition", partition)});
  items_.OnInactive(partition);
  reads_.OnInactive(partition);
  quota_.OnInactive(partition);
}

// A suspect may be gone already, and one that is draining has nothing for long.
bool StoreServer::MayShutDown() const {
  return PeersHoldAllData(placement_, self_, [this](const StoreId& store) {
    const auto at = control_->members().find(store.name);
    return at != control_->members().end() && at->second.info.disk_id == store.disk_id &&
           at->second.status == coordination::MemberStatus::kAlive;
  });
}

// ---------------------------------------------------------------- joining stores

void StoreServer::OnFilled(std::uint32_t) {
  if (filled_timer_ == 0) filled_timer_ = After(0, [this] { ReportFilled(); });
}

void StoreServer::ReportFilled() {
  filled_timer_ = 0;
  std::map<StoreId, StoreStatus> filled;
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    for (const StoreId& store : replicas_[partition]->FilledJoiners()) {
      StoreStatus& status = filled[store];
      status.store = store;
      status.filled.emplace_back(partition, replicas_[partition]->epoch());
    }
  }
  if (filled.empty()) return;
  for (const auto& [store, status] : filled)
    SendToPlacementController(transport_, *control_, status, kFilledPeriod);
  filled_timer_ = After(kFilledPeriod, [this] { ReportFilled(); });
}

void StoreServer::Tick() {
  tick_timer_ = After(kTickPeriod, [this] { Tick(); });
  replica_shortage_log_.Update(replicas_, Now());
  UpdatePeers();
  // A replica that has gone away since is checked by what other stores know.
  OnEnvironmentChanged();
  items_.DropNodes([this](const std::string& node) {
    const auto at = control_->members().find(node);
    return at != control_->members().end() && !IsThere(at->second);
  });
  quota_.Tick();
  disk_guard_.Tick();
  if (++ticks_ % kSweepTicks != 0) return;
  changes_.Sweep(disk_capacity_.IsNearlyFull(disk_->space()));
  UpdateDiskCapacity();
}

// ---------------------------------------------------------------- disk capacity and repair rate

void StoreServer::ThrottleRepair(bool urgent, RepairThrottle::Send send) {
  repair_throttle_.Schedule(urgent, std::move(send));
}

void StoreServer::UpdateDiskCapacity() {
  std::uint64_t pending_result_bytes = 0;
  std::set<std::string> stores;
  for (const auto& replica : replicas_) {
    for (const auto& [batch_job_id, batch_job] : replica->batch_jobs().batch_jobs())
      pending_result_bytes += PendingResultBytes(batch_job);
    for (const StoreId& store : replica->table().replicas) stores.insert(store.name);
  }
  for (const std::string& name : placement_.retiring) stores.erase(name);
  disk_capacity_.SetPendingResultBytes(pending_result_bytes);
  disk_capacity_.SetStores(stores.size(), replicas_wanted_);
  repair_throttle_.SetRate(RepairRate(link_mbps_, disk_->space().used_bytes, sync_s_));
}

bool StoreServer::HasDiskCapacity(const Partition& table, std::uint64_t bytes) {
  const auto store_without_capacity =
      disk_capacity_.FindStoreWithoutCapacity(table, self_, disk_->space(), bytes);
  const Micros now = Now();
  if (store_without_capacity.has_value() &&
      now - insufficient_capacity_logged_at_ >= kInsufficientCapacityLogPeriod) {
    insufficient_capacity_logged_at_ = now;
    logging::Warning("batch", "insufficient disk capacity for batch job",
                     {logging::F("store", store_without_capacity->name), logging::F("bytes", bytes),
                      logging::F("used_bytes", disk_->space().used_bytes),
                      logging::F("limit_bytes", disk_->space().limit_bytes)});
  }
  return !store_without_capacity.has_value();
}

// How often a batch job is held while it is created: as its message, as the change that follows
// from it, for the disk, and in a call for another replica.
std::optional<memory::MemoryCharge> StoreServer::AdmitCreation(std::size_t bytes) {
  constexpr std::size_t kCopies = 4;
  return memory_->Admit(kCopies * bytes);
}

bool StoreServer::ReserveDiskCapacity(const Partition& table, std::uint64_t bytes) {
  if (!HasDiskCapacity(table, bytes)) return false;
  disk_capacity_.Reserve(table, self_, bytes);
  return true;
}

}  // namespace pearreach::batch
