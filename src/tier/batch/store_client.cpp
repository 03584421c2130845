#include "tier/batch/store_client.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

// Of a read's time, kept for the way back of the response.
constexpr Micros kReadResponseMargin = 300 * kMs;

using AttemptContext = StoreCallRetrier::AttemptContext;

template <class Response>
absl::StatusOr<Response> DecodeResponse(absl::StatusOr<std::string> bytes) {
  if (!bytes.ok()) return bytes.status();
  return codec::Decode<Response>(*bytes);
}

// Encodes a message that does not depend on the placement.
template <class Message>
StoreCallRetrier::Encoder EncodeUnchanged(Message message) {
  return [message = std::move(message)](const AttemptContext&) { return codec::Encode(message); };
}

// Encodes a message with the placement epoch of the attempt.
template <class Message>
StoreCallRetrier::Encoder EncodeWithEpoch(Message message) {
  return [message = std::move(message)](const AttemptContext& context) mutable {
    message.placement_epoch = context.placement_epoch;
    return codec::Encode(message);
  };
}

// Passes the decoded response on, whatever earlier attempts may have done.
template <class Response>
StoreCallRetrier::Finished DecodeAndPass(StoreClient::Done<Response> done) {
  return [done = std::move(done)](absl::StatusOr<std::string> bytes, bool /*may_have_executed*/) {
    done(DecodeResponse<Response>(std::move(bytes)));
  };
}

}  // namespace

StoreClient::StoreClient(Timers* timers, rpc::Transport* transport, control::ControlClient* control,
                         std::string self)
    : timers_(timers),
      transport_(transport),
      placement_(control),
      path_(transport, control, std::move(self)),
      retrier_(timers, transport, control, &placement_, &path_) {}

std::vector<StoreId> StoreClient::Primaries() {
  std::vector<StoreId> live = placement_.Primaries();
  std::erase_if(live, [this](const StoreId& store) { return path_.AddressOf(store).empty(); });
  return live;
}

StoreClient::CallId StoreClient::Create(BatchJobSpec batch_job, CallTime time,
                                        Done<CreateBatchJobResponse> done) {
  // Shared: an Encoder is copied, and a batch job may be large.
  auto message = std::make_shared<CreateBatchJob>();
  message->batch_job = std::move(batch_job);
  const std::string batch_job_id = message->batch_job.batch_job_id;
  auto encode = [message](const AttemptContext& context) {
    message->placement_epoch = context.placement_epoch;
    message->partition_epoch = context.partition_epoch;
    return codec::Encode(*message);
  };
  auto finished = [done = std::move(done)](absl::StatusOr<std::string> bytes,
                                           bool may_have_executed) {
    auto response = DecodeResponse<CreateBatchJobResponse>(std::move(bytes));
    // An earlier attempt may still reach a store: a rejection would promise too much.
    const bool rejected = response.ok() && response->status != CreateStatus::kAccepted;
    if (rejected && may_have_executed) {
      response =
          absl::DeadlineExceededError("rejected after an attempt that may have been executed");
    }
    done(std::move(response));
  };
  return retrier_.Start(rpc::MessageType::kBatchJobCreate, batch_job_id, time, std::move(encode),
                        std::move(finished));
}

StoreClient::CallId StoreClient::Offer(OfferBatchJob offer, CallTime time,
                                       Done<OfferBatchJobResponse> done) {
  std::string batch_job_id = offer.batch_job_id;
  return retrier_.Start(rpc::MessageType::kBatchJobAdmission, std::move(batch_job_id), time,
                        EncodeWithEpoch(std::move(offer)), DecodeAndPass(std::move(done)));
}

StoreClient::CallId StoreClient::RequestQuota(QuotaQuery query, CallTime time,
                                              Done<QuotaResponse> done) {
  std::string route = query.route;
  return retrier_.Start(rpc::MessageType::kQuotaQuery, std::move(route), time,
                        EncodeUnchanged(std::move(query)), DecodeAndPass(std::move(done)));
}

StoreClient::CallId StoreClient::Read(ReadBatchJob read, CallTime time,
                                      Done<ReadBatchJobResponse> done) {
  std::string batch_job_id = read.batch_job_id;
  auto encode = [read = std::move(read)](const AttemptContext& context) {
    ReadBatchJob message = read;
    message.placement_epoch = context.placement_epoch;
    const Micros max_call_time = std::max<Micros>(context.left - kReadResponseMargin, 0);
    message.wait_ms = std::min<std::int64_t>(message.wait_ms, max_call_time / kMs);
    return codec::Encode(message);
  };
  return retrier_.Start(rpc::MessageType::kBatchJobRead, std::move(batch_job_id), time,
                        std::move(encode), DecodeAndPass(std::move(done)));
}

StoreClient::CallId StoreClient::ReadBody(ReadItemBody read, CallTime time,
                                          Done<ReadItemBodyResponse> done) {
  std::string batch_job_id = read.batch_job_id;
  return retrier_.Start(rpc::MessageType::kItemBody, std::move(batch_job_id), time,
                        EncodeWithEpoch(std::move(read)), DecodeAndPass(std::move(done)));
}

StoreClient::CallId StoreClient::CancelBatch(CancelBatchJob cancel, CallTime time,
                                             Done<CancelBatchJobResponse> done) {
  std::string batch_job_id = cancel.batch_job_id;
  return retrier_.Start(rpc::MessageType::kBatchJobCancel, std::move(batch_job_id), time,
                        EncodeWithEpoch(std::move(cancel)), DecodeAndPass(std::move(done)));
}

StoreClient::CallId StoreClient::Report(ItemResult result, CallTime time,
                                        std::function<void(absl::Status)> done) {
  std::string batch_job_id = result.batch_job_id;
  auto finished = [done = std::move(done)](const absl::StatusOr<std::string>& bytes,
                                           bool /*may_have_executed*/) { done(bytes.status()); };
  return retrier_.Start(rpc::MessageType::kItemResult, std::move(batch_job_id), time,
                        EncodeUnchanged(std::move(result)), std::move(finished));
}

void StoreClient::CallOnce(const StoreId& store, rpc::MessageType type, std::string body,
                           Micros timeout, rpc::Done done) {
  const std::string address = path_.AddressOf(store);
  if (!address.empty()) {
    transport_->Call(address, type, std::move(body), timeout, std::move(done));
    return;
  }
  timers_->After(0, [done = std::move(done)] {
    done(absl::UnavailableError("the store is not a live member"));
  });
}

void StoreClient::Pull(const StoreId& store, PullItems pull, Micros timeout,
                       Done<PullItemsResponse> done) {
  const auto table = Table();
  pull.placement_epoch = table == nullptr ? 0 : table->epoch;
  CallOnce(store, rpc::MessageType::kItemPull, codec::Encode(pull), timeout,
           callbacks_.Bind([done = std::move(done)](absl::StatusOr<std::string> bytes) {
             done(DecodeResponse<PullItemsResponse>(std::move(bytes)));
           }));
}

void StoreClient::Renew(const StoreId& store, const RenewLeases& renew, Micros timeout,
                        Done<RenewLeasesResponse> done) {
  CallOnce(store, rpc::MessageType::kItemRenew, codec::Encode(renew), timeout,
           callbacks_.Bind([done = std::move(done)](absl::StatusOr<std::string> bytes) {
             done(DecodeResponse<RenewLeasesResponse>(std::move(bytes)));
           }));
}

}  // namespace pearreach::batch
