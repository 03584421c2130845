#include "tier/batch/store_client.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kModule[] = "batch";

// Between two tries of a call: time for a new placement to come.
constexpr Micros kRetryDelay = 100 * kMs;
// Of a read's time, kept for the way back of the answer.
constexpr Micros kReadResponseMargin = 300 * kMs;

template <class Response>
absl::StatusOr<Response> DecodeResponse(absl::StatusOr<std::string> bytes) {
  if (!bytes.ok()) return bytes.status();
  return codec::Decode<Response>(*bytes);
}

// Whether a store that answered so has surely not carried the call out.
bool IsRejection(const absl::Status& status) { return absl::IsFailedPrecondition(status); }

bool IsRetryable(const absl::Status& status) {
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
  bool awaits_retry = false;       // until its next attempt
  bool may_have_executed = false;  // a store may have carried it out without saying so
  // Epochs of the partition under which it was asked last, and last without an answer.
  std::uint64_t attempted_epoch = 0, uncertain_epoch = 0;
  std::uint64_t attempts = 0;  // numbers the attempt whose answer counts
  std::string last_error;      // of a store, for the log
  StoreId last_store;          // the last store
  Micros started_at = 0;
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
    if (*alive && control_->Current()->stores_revision != table_revision_) RetryMovedCalls();
  });
}

// Calls that pause until a new placement comes go to the partition's new primary at once.
void StoreClient::RetryMovedCalls() {
  const auto table = Table();
  if (table == nullptr) return;
  std::vector<CallId> moved;
  for (const auto& [id, call] : calls_) {
    const std::uint64_t epoch = table->partitions[PartitionOf(call->batch_job_id)].epoch;
    if (call->awaits_retry && call->attempted_epoch != epoch) moved.push_back(id);
  }
  for (const CallId id : moved) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    timers_->Cancel(&found->second->timer);
    found->second->awaits_retry = false;
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
    logging::Error(kModule, "placement table cannot be decoded",
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
  call->started_at = now;
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
  call->awaits_retry = false;
  const StoreId* primary = PrimaryOf(call->batch_job_id);
  const bool reachable = primary != nullptr && !path_.AddressOf(*primary).empty();
  const Micros left = call->deadline - Now();
  if (!reachable || left <= 0) {
    RetryLater(id, call);
    return;
  }
  const std::uint64_t number = ++call->attempts;
  call->last_store = *primary;
  const AttemptContext context{table_->epoch,
                               table_->partitions[PartitionOf(call->batch_job_id)].epoch, left};
  call->attempted_epoch = context.partition_epoch;
  path_.Call(call->last_store, call->type, call->encode(context), std::min(left, call->attempt),
             [this, alive = alive_, id, number](absl::StatusOr<std::string> response) {
               if (!*alive) return;
               const auto at = calls_.find(id);
               if (at == calls_.end() || at->second->attempts != number) return;
               OnResponse(id, std::move(response));
             });
}

void StoreClient::OnResponse(CallId id, absl::StatusOr<std::string> response) {
  Call* call = calls_.at(id).get();
  if (response.ok() || !IsRetryable(response.status())) {
    // An active primary of a later epoch has spoken: what was asked under an earlier one has been
    // carried out and shows in its answer, or it never will be.
    if (call->may_have_executed && call->attempted_epoch > call->uncertain_epoch)
      call->may_have_executed = false;
    Finish(id, std::move(response));
    return;
  }
  if (!IsRejection(response.status())) {
    call->may_have_executed = true;
    call->uncertain_epoch = call->attempted_epoch;
  }
  call->last_error = std::string(response.status().message());
  const bool is_short = call->attempt < kAttemptTime;  // others may wait for something
  if (is_short && absl::IsDeadlineExceeded(response.status()))
    unresponsive_stores_.Report(call->last_store, Now());
  RetryLater(id, call);
}

void StoreClient::RetryLater(CallId id, Call* call) {
  const Micros until = call->may_have_executed ? call->deadline : call->unsent_deadline;
  const Micros left = until - Now();
  if (left <= kRetryDelay) {
    // From the timer in any case: `finished` is never called from inside Start.
    call->timer = timers_->After(std::max<Micros>(left, 0),
                                 [this, id] { FailOnTimeout(id, *calls_.at(id)); });
    return;
  }
  call->awaits_retry = true;
  call->timer = timers_->After(kRetryDelay, [this, id] { Attempt(id); });
}

// A lot that is neither taken nor refused costs its client all of it: what it waited for must show.
void StoreClient::LogAbandonedBatchJob(const Call& call, std::string_view why) const {
  if (call.type != rpc::MessageType::kBatchJobCreate) return;
  const StoreId* primary =
      table_ == nullptr || table_->partitions[PartitionOf(call.batch_job_id)].replicas.empty()
          ? nullptr
          : &table_->partitions[PartitionOf(call.batch_job_id)].replicas.front();
  logging::Warning(
      kModule, "batch job submission unresolved",
      {logging::F("batch_job", call.batch_job_id), logging::F("why", why),
       logging::F("partition", PartitionOf(call.batch_job_id)),
       logging::F("primary", primary == nullptr ? std::string("none") : primary->name),
       logging::F("last_store", call.last_store.name), logging::F("attempts", call.attempts),
       logging::F("may_have_executed", call.may_have_executed),
       logging::F("waited_ms", (Now() - call.started_at) / kMs),
       logging::F("last_error", call.last_error)});
}

void StoreClient::FailOnTimeout(CallId id, const Call& call) {
  if (call.may_have_executed) {
    LogAbandonedBatchJob(call, "deadline exceeded");
    Finish(id, absl::DeadlineExceededError(
                   "no store responded before the deadline, the call may have been executed: " +
                   call.last_error));
    return;
  }
  Finish(id, absl::UnavailableError("no store could execute the call: " + call.last_error));
}

void StoreClient::Finish(CallId id, absl::StatusOr<std::string> response) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const std::unique_ptr<Call> call = std::move(found->second);
  calls_.erase(found);
  call->finished(std::move(response), call->may_have_executed);
}

void StoreClient::Cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  LogAbandonedBatchJob(*found->second, "client disconnected");
  timers_->Cancel(&found->second->timer);
  calls_.erase(found);
}

// ---------------------------------------------------------------- typed calls

StoreClient::CallId StoreClient::Create(BatchJobSpec batch_job, CallTime time,
                                        Done<CreateBatchJobResponse> done) {
  auto message = std::make_shared<CreateBatchJob>();
  message->batch_job = std::move(batch_job);
  const std::string batch_job_id = message->batch_job.batch_job_id;
  Encoder encode = [message](const AttemptContext& context) {
    message->placement_epoch = context.placement_epoch;
    message->partition_epoch = context.partition_epoch;
    return codec::Encode(*message);
  };
  return Start(rpc::MessageType::kBatchJobCreate, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool may_have_executed) {
                 auto response = DecodeResponse<CreateBatchJobResponse>(std::move(bytes));
                 // An earlier attempt may still reach a store: a refusal would promise too much.
                 const bool refused = response.ok() && response->status != CreateStatus::kAccepted;
                 if (refused && may_have_executed) {
                   response = absl::DeadlineExceededError(
                       "rejected after an attempt that may have been executed");
                 }
                 done(std::move(response));
               });
}

StoreClient::CallId StoreClient::Offer(OfferBatchJob offer, CallTime time,
                                       Done<OfferBatchJobResponse> done) {
  const std::string batch_job_id = offer.batch_job_id;
  Encoder encode = [offer = std::move(offer)](const AttemptContext& context) {
    OfferBatchJob message = offer;
    message.placement_epoch = context.placement_epoch;
    return codec::Encode(message);
  };
  return Start(rpc::MessageType::kBatchJobOffer, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(DecodeResponse<OfferBatchJobResponse>(std::move(bytes)));
               });
}

// The owner of a route is the primary of the partition that its name falls into.
StoreClient::CallId StoreClient::RequestQuota(QuotaQuery query, CallTime time,
                                              Done<QuotaResponse> done) {
  const std::string route = query.route;
  Encoder encode = [query = std::move(query)](const AttemptContext&) {
    return codec::Encode(query);
  };
  return Start(rpc::MessageType::kQuotaQuery, route, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(DecodeResponse<QuotaResponse>(std::move(bytes)));
               });
}

StoreClient::CallId StoreClient::Read(ReadBatchJob read, CallTime time,
                                      Done<ReadBatchJobResponse> done) {
  const std::string batch_job_id = read.batch_job_id;
  Encoder encode = [read = std::move(read)](const AttemptContext& context) {
    ReadBatchJob message = read;
    message.placement_epoch = context.placement_epoch;
    const Micros longest = std::max<Micros>(context.left - kReadResponseMargin, 0);
    message.wait_ms = std::min<std::int64_t>(message.wait_ms, longest / kMs);
    return codec::Encode(message);
  };
  return Start(rpc::MessageType::kBatchJobRead, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(DecodeResponse<ReadBatchJobResponse>(std::move(bytes)));
               });
}

StoreClient::CallId StoreClient::ReadBody(ReadItemBody read, CallTime time,
                                          Done<ReadItemBodyResponse> done) {
  const std::string batch_job_id = read.batch_job_id;
  Encoder encode = [read = std::move(read)](const AttemptContext& context) {
    ReadItemBody message = read;
    message.placement_epoch = context.placement_epoch;
    return codec::Encode(message);
  };
  return Start(rpc::MessageType::kItemBody, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(DecodeResponse<ReadItemBodyResponse>(std::move(bytes)));
               });
}

StoreClient::CallId StoreClient::CancelBatch(CancelBatchJob cancel, CallTime time,
                                             Done<CancelBatchJobResponse> done) {
  const std::string batch_job_id = cancel.batch_job_id;
  Encoder encode = [cancel = std::move(cancel)](const AttemptContext& context) {
    CancelBatchJob message = cancel;
    message.placement_epoch = context.placement_epoch;
    return codec::Encode(message);
  };
  return Start(rpc::MessageType::kBatchJobCancel, batch_job_id, time, std::move(encode),
               [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) {
                 done(DecodeResponse<CancelBatchJobResponse>(std::move(bytes)));
               });
}

StoreClient::CallId StoreClient::Report(ItemResult result, CallTime time,
                                        std::function<void(absl::Status)> done) {
  const std::string batch_job_id = result.batch_job_id;
  Encoder encode = [result = std::move(result)](const AttemptContext&) {
    return codec::Encode(result);
  };
  return Start(
      rpc::MessageType::kItemResult, batch_job_id, time, std::move(encode),
      [done = std::move(done)](absl::StatusOr<std::string> bytes, bool) { done(bytes.status()); });
}

template <class Response>
void StoreClient::CallStore(const StoreId& store, rpc::MessageType type, std::string body,
                            Micros timeout, Done<Response> done) {
  const std::string address = path_.AddressOf(store);
  if (address.empty()) {
    timers_->After(0, [alive = alive_, done = std::move(done)] {
      if (*alive) done(absl::UnavailableError("the store is not a live member"));
    });
    return;
  }
  transport_->Call(address, type, std::move(body), timeout,
                   [alive = alive_, done = std::move(done)](absl::StatusOr<std::string> bytes) {
                     if (*alive) done(DecodeResponse<Response>(std::move(bytes)));
                   });
}

void StoreClient::Pull(const StoreId& store, PullItems pull, Micros timeout,
                       Done<PullItemsResponse> done) {
  const auto table = Table();
  pull.placement_epoch = table == nullptr ? 0 : table->epoch;
  CallStore<PullItemsResponse>(store, rpc::MessageType::kItemPull, codec::Encode(pull), timeout,
                               std::move(done));
}

void StoreClient::Renew(const StoreId& store, RenewLeases renew, Micros timeout,
                        Done<RenewLeasesResponse> done) {
  CallStore<RenewLeasesResponse>(store, rpc::MessageType::kItemRenew, codec::Encode(renew), timeout,
                                 std::move(done));
}

}  // namespace pearreach::batch
