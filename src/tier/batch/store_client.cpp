#include "tier/batch/store_client.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kModule[] = "batch";

// Between two tries of a call: time for a new placement to come.
constexpr Micros kRetryPause = 100 * kMs;
// Of a read's time, kept for the way back of the answer.
constexpr Micros kReadMargin = 300 * kMs;

template <class Answer>
absl::StatusOr<Answer> Decoded(absl::StatusOr<std::string> bytes) {
  if (!bytes.ok()) return bytes.status();
  return codec::Decode<Answer>(*bytes);
}

// Whether a store that answered so has surely not carried the call out.
bool IsRefusal(const absl::Status& status) { return absl::IsFailedPrecondition(status); }

bool IsWorthRetry(const absl::Status& status) {
  return absl::IsFailedPrecondition(status) || absl::IsUnavailable(status) ||
         absl::IsDeadlineExceeded(status);
}

}  // namespace

struct StoreClient::Call {
  rpc::MessageType type;
  std::string batch_job_id;
  Micros deadline = 0, unsent_deadline = 0, attempt = 0;
  Encoder encode;
  Finished finished;
  bool pausing = false;  // until its next attempt
  bool unclear = false;  // a store may have carried it out without saying so
  // Epochs of the partition under which it was asked last, and last without an answer.
  std::uint64_t asked_epoch = 0, unclear_epoch = 0;
  std::uint64_t attempts = 0;  // numbers the attempt whose answer counts
  std::string last_error;      // of a store, for the log
  StoreId asked;               // the last store
  Micros began = 0;
  Timers::Id timer = 0;
};

StoreClient::StoreClient(Timers* timers, rpc::Transport* transport, control::ControlClient* control,
                         std::string self)
    : timers_(timers),
      transport_(transport),
      control_(control),
      unresponsive_stores_(transport, control),
      path_(transport, control, std::move(self)) {
  control_->OnChange([this, alive = alive_] {
    if (*alive && control_->Current()->stores_revision != table_revision_) WakeMoved();
  });
}

// Calls that pause until a new placement comes go to the partition's new primary at once.
void StoreClient::WakeMoved() {
  const auto table = Table();
  if (table == nullptr) return;
  std::vector<CallId> moved;
  for (const auto& [id, call] : calls_) {
    const std::uint64_t epoch = table->partitions[PartitionOf(call->batch_job_id)].epoch;
    if (call->pausing && call->asked_epoch != epoch) moved.push_back(id);
  }
  for (const CallId id : moved) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    timers_->Cancel(&found->second->timer);
    found->second->pausing = false;
    Attempt(id);
  }
}

StoreClient::~StoreClient() {
  *alive_ = false;
  for (auto& [id, call] : calls_) timers_->Cancel(&call->timer);
}

std::shared_ptr<const PlacementTable> StoreClient::Table() {
  const auto snapshot = control_->Current();
  if (snapshot->stores.empty()) return table_;
  if (table_ != nullptr && snapshot->stores_revision == table_revision_) return table_;
  auto table = codec::Decode<PlacementTable>(snapshot->stores);
  if (!table.ok() || table->partitions.size() != kPartitions) {
    logging::Error(kModule, "placement table does not read",
                   {logging::F("revision", snapshot->stores_revision)});
    return table_;
  }
  table_ = std::make_shared<const PlacementTable>(*std::move(table));
  table_revision_ = snapshot->stores_revision;
  return table_;
}

const StoreId* StoreClient::PrimaryOf(std::string_view batch_job_id) {
  const auto table = Table();
  if (table == nullptr) return nullptr;
  const Partition& partition = table->partitions[PartitionOf(batch_job_id)];
  return partition.replicas.empty() ? nullptr : &partition.replicas.front();
}

std::vector<StoreId> StoreClient::Primaries() {
  const auto table = Table();
  if (table == nullptr) return {};
  std::set<StoreId> primaries;
  for (const Partition& partition : table->partitions) {
    if (!partition.replicas.empty()) primaries.insert(partition.replicas.front());
  }
  std::vector<StoreId> live;
  for (const StoreId& store : primaries) {
    if (!path_.AddressOf(store).empty()) live.push_back(store);
  }
  return live;
}

// ---------------------------------------------------------------- calls with repetition

StoreClient::CallId StoreClient::Start(rpc::MessageType type, std::string batch_job_id,
                                       CallTime time, Encoder encode, Finished finished) {
  const CallId id = ++last_;
  auto call = std::make_unique<Call>();
  const Micros now = Now();
  call->type = type;
  call->batch_job_id = std::move(batch_job_id);
  call->began = now;
  call->deadline = now + time.overall;
  call->unsent_deadline = now + (time.unsent > 0 ? time.unsent : time.overall);
  call->attempt = time.attempt > 0 ? time.attempt : kAttemptTime;
  call->encode = std::move(encode);
  call->finished = std::move(finished);
  calls_[id] = std::move(call);
  Attempt(id);
  return id;
}

void StoreClient::Attempt(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  Call* call = found->second.get();
  call->timer = 0;
  call->pausing = false;
  const StoreId* primary = PrimaryOf(call->batch_job_id);
  const bool there = primary != nullptr && !path_.AddressOf(*primary).empty();
  const Micros left = call->deadline - Now();
  if (!there || left <= 0) {
    RetryLater(id, call);
    return;
  }
  const std::uint64_t number = ++call->attempts;
  call->asked = *primary;
  const Asking asking{table_->epoch, table_->partitions[PartitionOf(call->batch_job_id)].epoch,
                      left};
  call->asked_epoch = asking.partition_epoch;
  path_.Call(call->asked, call->type, call->encode(asking), std::min(left, call->attempt),
             [this, alive = alive_, id, number](absl::StatusOr<std::string> answer) {
               if (!*alive) return;
               const auto at = calls_.find(id);
               if (at == calls_.end() || at->second->attempts != number) return;
               OnAnswer(id, std::move(answer));
             });
}

void StoreClient::OnAnswer(CallId id, absl::StatusOr<std::string> answer) {
  Call* call = calls_.at(id).get();
  if (answer.ok() || !IsWorthRetry(answer.status())) {
    // An active primary of a later epoch has spoken: what was asked under an earlier one has been
    // carried out and shows in its answer, or it never will be.
    if (call->unclear && call->asked_epoch > call->unclear_epoch) call->unclear = false;
    Finish(id, std::move(answer));
    return;
  }
  if (!IsRefusal(answer.status())) {
    call->unclear = true;
    call->unclear_epoch = call->asked_epoch;
  }
  call->last_error = std::string(answer.status().message());
  const bool is_short = call->attempt < kAttemptTime;  // others may wait for something
  if (is_short && absl::IsDeadlineExceeded(answer.status()))
    unresponsive_stores_.Report(call->asked, Now());
  RetryLater(id, call);
}

void StoreClient::RetryLater(CallId id, Call* call) {
  const Micros until = call->unclear ? call->deadline : call->unsent_deadline;
  const Micros left = until - Now();
  if (left <= kRetryPause) {
    // From the timer in any case: `finished` is never called from inside Start.
    call->timer =
        timers_->After(std::max<Micros>(left, 0), [this, id] { GiveUp(id, *calls_.at(id)); });
    return;
  }
  call->pausing = true;
  call->timer = timers_->After(kRetryPause, [this, id] { Attempt(id); });
}

// A lot that is neither taken nor refused costs its client all of it: what it waited for must show.
void StoreClient::LogAbandonedBatchJob(const Call& call, std::string_view why) const {
  if (call.type != rpc::MessageType::kBatchJobCreate) return;
  const StoreId* primary =
      table_ == nullptr || table_->partitions[PartitionOf(call.batch_job_id)].replicas.empty()
          ? nullptr
          : &table_->partitions[PartitionOf(call.batch_job_id)].replicas.front();
  logging::Warning(
      kModule, "lot without an answer",
      {logging::F("lot", call.batch_job_id), logging::F("why", why),
       logging::F("partition", PartitionOf(call.batch_job_id)),
       logging::F("primary", primary == nullptr ? std::string("none") : primary->name),
       logging::F("asked_last", call.asked.name), logging::F("tries", call.attempts),
       logging::F("unclear", call.unclear), logging::F("waited_ms", (Now() - call.began) / kMs),
       logging::F("last_error", call.last_error)});
}

void StoreClient::GiveUp(CallId id, const Call& call) {
  if (call.unclear) {
    LogAbandonedBatchJob(call, "its time is over");
    Finish(id, absl::DeadlineExceededError("no store has answered; it may have been carried out: " +
                                           call.last_error));
    return;
  }
  Finish(id, absl::UnavailableError("no store could be asked: " + call.last_error));
}

void StoreClient::Finish(CallId id, absl::StatusOr<std::string> answer) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const std::unique_ptr<Call> call = std::move(found->second);
  calls_.erase(found);
  call->finished(std::move(answer), call->unclear);
}

void StoreClient::Cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  LogAbandonedBatchJob(*found->second, "its client has left");
  timers_->Cancel(&found->second->timer);
  calls_.erase(found);
}

// ---------------------------------------------------------------- typed calls

StoreClient::CallId StoreClient::Create(BatchJobSpec batch_job, CallTime time,
                                        Done<CreateBatchJobResponse> done) {
  auto message = std::make_shared<CreateBatchJob>();
  message->batch_job = std::move(batch_job);
  const std::string batch_job_id = message->batch_job.batch_job_id;
  Encoder encode = [message](const Asking& asking) {
    message->placement_epoch = asking.placement_epoch;
    message->partition_epoch = asking.partition_epoch;
    return codec::Encode(*message);
  };
  return Start(rpc::MessageType::kBatchJobCreate, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool unclear) {
                 auto answer = Decoded<CreateBatchJobResponse>(std::move(bytes));
                 // An earlier attempt may still reach a store: a refusal would promise too much.
                 const bool refused = answer.ok() && answer->status != CreateStatus::kAccepted;
                 if (refused && unclear) {
                   answer = absl::DeadlineExceededError("refused after an unclear attempt");
                 }
                 done(std::move(answer));
               });
}

StoreClient::CallId StoreClient::Offer(OfferBatchJob offer, CallTime time,
                                       Done<OfferBatchJobResponse> done) {
  const std::string batch_job_id = offer.batch_job_id;
  Encoder encode = [offer = std::move(offer)](const Asking& asking) {
    OfferBatchJob message = offer;
    message.placement_epoch = asking.placement_epoch;
    return codec::Encode(message);
  };
  return Start(rpc::MessageType::kBatchJobAdmission, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(Decoded<OfferBatchJobResponse>(std::move(bytes)));
               });
}

// The owner of a route is the primary of the partition that its name falls into.
StoreClient::CallId StoreClient::AskQuota(QuotaQuery question, CallTime time,
                                          Done<QuotaResponse> done) {
  const std::string route = question.route;
  Encoder encode = [question = std::move(question)](const Asking&) {
    return codec::Encode(question);
  };
  return Start(rpc::MessageType::kQuotaQuery, route, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(Decoded<QuotaResponse>(std::move(bytes)));
               });
}

StoreClient::CallId StoreClient::Read(ReadBatchJob read, CallTime time,
                                      Done<ReadBatchJobResponse> done) {
  const std::string batch_job_id = read.batch_job_id;
  Encoder encode = [read = std::move(read)](const Asking& asking) {
    ReadBatchJob message = read;
    message.placement_epoch = asking.placement_epoch;
    const Micros longest = std::max<Micros>(asking.left - kReadMargin, 0);
    message.wait_ms = std::min<std::int64_t>(message.wait_ms, longest / kMs);
    return codec::Encode(message);
  };
  return Start(rpc::MessageType::kBatchJobRead, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(Decoded<ReadBatchJobResponse>(std::move(bytes)));
               });
}

StoreClient::CallId StoreClient::ReadBody(ReadItemBody read, CallTime time,
                                          Done<ReadItemBodyResponse> done) {
  const std::string batch_job_id = read.batch_job_id;
  Encoder encode = [read = std::move(read)](const Asking& asking) {
    ReadItemBody message = read;
    message.placement_epoch = asking.placement_epoch;
    return codec::Encode(message);
  };
  return Start(rpc::MessageType::kItemBody, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(Decoded<ReadItemBodyResponse>(std::move(bytes)));
               });
}

StoreClient::CallId StoreClient::End(CancelBatchJob cancel, CallTime time,
                                     Done<CancelBatchJobResponse> done) {
  const std::string batch_job_id = cancel.batch_job_id;
  Encoder encode = [cancel = std::move(cancel)](const Asking& asking) {
    CancelBatchJob message = cancel;
    message.placement_epoch = asking.placement_epoch;
    return codec::Encode(message);
  };
  return Start(rpc::MessageType::kBatchJobCancel, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(Decoded<CancelBatchJobResponse>(std::move(bytes)));
               });
}

StoreClient::CallId StoreClient::Report(ItemResult result, CallTime time,
                                        std::function<void(absl::Status)> done) {
  const std::string batch_job_id = result.batch_job_id;
  Encoder encode = [result = std::move(result)](const Asking&) { return codec::Encode(result); };
  return Start(
      rpc::MessageType::kItemResult, batch_job_id, time, std::move(encode),
      [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) { done(bytes.status()); });
}

template <class Answer>
void StoreClient::CallStore(const StoreId& store, rpc::MessageType type, std::string body,
                            Micros timeout, Done<Answer> done) {
  const std::string address = path_.AddressOf(store);
  if (address.empty()) {
    timers_->After(0, [alive = alive_, done = std::move(done)] {
      if (*alive) done(absl::UnavailableError("the store is not there"));
    });
    return;
  }
  transport_->Call(address, type, std::move(body), timeout,
                   [alive = alive_, done = std::move(done)](absl::StatusOr<std::string> bytes) {
                     if (*alive) done(Decoded<Answer>(std::move(bytes)));
                   });
}

void StoreClient::Take(const StoreId& store, PullItems take, Micros timeout,
                       Done<PullItemsResponse> done) {
  const auto table = Table();
  take.placement_epoch = table == nullptr ? 0 : table->epoch;
  CallStore<PullItemsResponse>(store, rpc::MessageType::kItemPull, codec::Encode(take), timeout,
                               std::move(done));
}

void StoreClient::Renew(const StoreId& store, RenewLeases renew, Micros timeout,
                        Done<RenewLeasesResponse> done) {
  CallStore<RenewLeasesResponse>(store, rpc::MessageType::kItemRenew, codec::Encode(renew), timeout,
                                 std::move(done));
}

}  // namespace pearreach::batch
