#include "tier/batch/batch_job_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "tier/batch/batch_job_json.h"
#include "tier/batch/batch_job_submission.h"
#include "tier/batch/item_tenant.h"
#include "tier/batch/request_target.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kModule[] = "batch";

constexpr std::string_view kBatchJobsPath = "/lots/";
constexpr std::string_view kItemsPath = "/items/";
constexpr char kWriteRetryAfter[] = "0.5";
constexpr char kDiskFullRetryAfter[] = "2";  // disks are freed as batch jobs grow old
constexpr char kReadRetryAfter[] = "0.3";
constexpr std::string_view kNoSuchBatchJob = R"({"error":"no such lot"})";
// The longest time that a read is held open, whatever the client allows.
constexpr std::int64_t kMaxWaitMs = 10'000;
// Beyond the time that a read may be held: its client waits 1.5 s longer than it allows.
constexpr Micros kReadTimeout = 1200 * kMs;
constexpr Micros kReadAttemptTimeout = 800 * kMs;
constexpr Micros kCancelTimeout = 2500 * kMs;
// A submission: the longest time if the client names none; the least time before it is rejected;
// what is kept of the client's time for the way back of the response.
constexpr Micros kDefaultSubmitTimeout = 5 * kSecond;
constexpr Micros kMinUnsentTimeout = 1 * kSecond;  // clients take a longer wait for a loss
constexpr Micros kMaxResponseMargin = 200 * kMs;

std::optional<double> NumberHeader(const http::Message& request, std::string_view name) {
  const std::string* text = request.Find(name);
  if (text == nullptr) return std::nullopt;
  return ParseNumber<double>(*text);
}

void RespondJson(const std::shared_ptr<http_server::Exchange>& exchange, int status,
                 std::string_view body) {
  exchange->Respond(status, {{"Content-Type", "application/json"}}, body);
}

void RejectWithRetryAfter(const std::shared_ptr<http_server::Exchange>& exchange, int status,
                          const std::string& retry_after) {
  exchange->Respond(status, {{"Retry-After", retry_after}}, {});
}

// Responds to a call about something that the stores may not have: by `respond` if it was found,
// 404 with `not_found` if it was not, 503 if no store has responded.
template <class Response, class Respond>
void RespondIfFound(const std::shared_ptr<http_server::Exchange>& exchange,
                    const absl::StatusOr<Response>& response, std::string_view not_found,
                    const Respond& respond) {
  if (!response.ok()) {
    RejectWithRetryAfter(exchange, 503, kReadRetryAfter);
  } else if (!response->found) {
    RespondJson(exchange, 404, not_found);
  } else {
    respond(*response);
  }
}

// Seconds with fractions, as clients take them.
std::string RetryAfterOf(const CreateBatchJobResponse& response) {
  if (response.retry_after_ms <= 0) return kWriteRetryAfter;
  return fmt::format("{:.1f}", static_cast<double>(response.retry_after_ms) / 1000);
}

// How long a submission may take from its arrival on.
Micros SubmitTimeout(const http::Message& request, const routing::Route& route) {
  Micros time = kDefaultSubmitTimeout;
  const auto deadline = NumberHeader(request, "X-Deadline-Ms");
  const auto shorten = [&time](double ms) {
    const Micros max_ms = time / kMs;
    if (ms > 0 && ms < static_cast<double>(max_ms)) time = static_cast<Micros>(ms * kMs);
  };
  if (deadline.has_value()) shorten(*deadline);
  shorten(route.limit_ms);
  return time - std::min(time / 10, kMaxResponseMargin);
}

BatchJobSpec SpecOf(const routing::Route& route, const BatchJobLimits& limits) {
  BatchJobSpec batch_job;
  batch_job.route = route.name;
  batch_job.host = route.host;
  batch_job.token_cap = route.token_cap;
  batch_job.quota_excess = limits.quota_excess;
  batch_job.attempts = route.attempts;
  batch_job.due_ms = route.due_ms;
  batch_job.retain_s = route.retain_s;
  batch_job.status_s = limits.status_s;
  return batch_job;
}

void RespondToSubmit(const std::shared_ptr<http_server::Exchange>& exchange,
                     const absl::StatusOr<CreateBatchJobResponse>& response) {
  if (!response.ok())
    logging::Warning(kModule, "batch job not accepted",
                     {{"why", std::string(response.status().message())}});
  if (response.ok() && response->status == CreateStatus::kAccepted) {
    RespondJson(exchange, 202, "{}");
  } else if (response.ok() && response->status == CreateStatus::kInsufficientCapacity) {
    RejectWithRetryAfter(exchange, 503, kDiskFullRetryAfter);
  } else if (response.ok()) {
    RejectWithRetryAfter(exchange, 429, RetryAfterOf(*response));
  } else if (absl::IsUnavailable(response.status())) {
    RejectWithRetryAfter(exchange, 503, kWriteRetryAfter);
  } else {
    // A 503 would promise that no item of it runs.
    exchange->Respond(504, {}, {});
  }
}

}  // namespace

BatchJobApi::BatchJobApi(Timers* timers, StoreClient* stores, control::ControlClient* control,
                         BatchJobLimits limits, bool offers)
    : timers_(timers), stores_(stores), control_(control), limits_(limits), offers_(offers) {}

bool BatchJobApi::IsBatchJobCall(const http::Message& request) {
  const std::string_view path = SplitTarget(request.target).path;
  if (!LastSegmentAfter(path, kBatchJobsPath).empty()) {
    return request.method == "GET" || request.method == "DELETE";
  }
  return request.method == "GET" && !LastSegmentAfter(path, kItemsPath).empty();
}

void BatchJobApi::CancelWithExchange(const std::shared_ptr<http_server::Exchange>& exchange,
                                     StoreClient::CallId call) {
  exchange->OnClosed([stores = stores_, call] { stores->Cancel(call); });
  const std::weak_ptr<http_server::Exchange> weak = exchange;
  exchange->OnShutdown([stores = stores_, call, weak] {
    const auto client = weak.lock();
    if (client == nullptr) return;
    stores->Cancel(call);
    RejectWithRetryAfter(client, 503, kReadRetryAfter);
  });
}

Micros BatchJobApi::TimeForCall(Micros time) const {
  if (!answer_by_.has_value()) return time;
  return std::clamp<Micros>(*answer_by_ - Now(), 0, time);
}

void BatchJobApi::Handle(const std::shared_ptr<http_server::Exchange>& exchange) {
  const http::Message& request = exchange->request();
  if (control_->Current()->routes == nullptr || stores_->Table() == nullptr) {
    RejectWithRetryAfter(exchange, 503, kReadRetryAfter);
    return;
  }
  const RequestTarget target = SplitTarget(request.target);
  const std::string_view batch_job = LastSegmentAfter(target.path, kBatchJobsPath);
  if (batch_job.empty()) {
    ReadBody(exchange, PercentDecode(LastSegmentAfter(target.path, kItemsPath)), target.query);
  } else if (request.method == "DELETE") {
    CancelBatch(exchange, PercentDecode(batch_job));
  } else {
    Read(exchange, PercentDecode(batch_job), target.query);
  }
}

void BatchJobApi::Submit(const std::shared_ptr<http_server::Exchange>& exchange,
                         const routing::Route& route, const std::optional<std::string>& tenant) {
  http::Message& request = exchange->mutable_request();
  const std::string* id = request.Find("X-Attempt-Id");
  if (id == nullptr || id->empty()) {
    RespondJson(exchange, 400, R"({"error":"X-Attempt-Id: missing"})");
    return;
  }
  BatchJobSpec batch_job = SpecOf(route, limits_);
  batch_job.batch_job_id = *id;
  batch_job.fingerprint = Fingerprint(request.body);
  auto items = ParseItems(std::move(request.body));
  if (!items.ok()) {
    logging::Warning(kModule, "malformed batch job submission",
                     {logging::F("batch_job_id", batch_job.batch_job_id),
                      {"why", std::string(items.status().message())}});
    RespondJson(exchange, 400, R"({"error":"not a lot"})");
    return;
  }
  batch_job.items = *std::move(items);
  if (tenant.has_value()) SetTenant(*tenant, &batch_job.items);
  CallTime time;
  const Micros spent = std::max<Micros>(Now() - exchange->arrived(), 0);
  time.overall = std::max<Micros>(SubmitTimeout(request, route) - spent, 0);
  const Micros target = static_cast<Micros>(route.target_ms * kMs);
  time.unsent = std::min(time.overall, std::max(target, kMinUnsentTimeout));
  const auto submission = std::make_shared<BatchJobSubmission>(
      timers_, stores_, std::move(batch_job), time, offers_,
      [exchange](const absl::StatusOr<CreateBatchJobResponse>& response) {
        RespondToSubmit(exchange, response);
      });
  // The client's connection owns the submission.
  exchange->OnClosed([submission] { submission->Cancel(); });
  exchange->OnShutdown([submission] { submission->Terminate(); });
  submission->Start();
}

void BatchJobApi::Read(const std::shared_ptr<http_server::Exchange>& exchange,
                       std::string batch_job_id, std::string_view query) {
  ReadBatchJob read;
  read.batch_job_id = std::move(batch_job_id);
  if (const auto text = QueryValue(query, "start_after"); text.has_value() && !text->empty()) {
    const auto start = ParseNumber<std::uint64_t>(*text);
    if (!start.has_value()) {
      RespondJson(exchange, 400, R"({"error":"start_after: not a number"})");
      return;
    }
    read.start_after = *start;
  }
  const double wait_ms = NumberHeader(exchange->request(), "X-Wait-Ms").value_or(0);
  if (wait_ms > 0) {
    read.wait_ms = static_cast<std::int64_t>(std::min(wait_ms, static_cast<double>(kMaxWaitMs)));
  }
  CallTime time;
  time.overall = TimeForCall(read.wait_ms * kMs + kReadTimeout);
  time.attempt = read.wait_ms * kMs + kReadAttemptTimeout;
  const std::uint64_t start = read.start_after;
  const auto on_response = [exchange, start](const absl::StatusOr<ReadBatchJobResponse>& response) {
    RespondIfFound(exchange, response, kNoSuchBatchJob, [&](const ReadBatchJobResponse& found) {
      RespondJson(exchange, 200, WriteOutputs(found, start));
    });
  };
  CancelWithExchange(exchange, stores_->Read(std::move(read), time, on_response));
}

void BatchJobApi::ReadBody(const std::shared_ptr<http_server::Exchange>& exchange,
                           std::string batch_job_id, std::string_view query) {
  const auto item = QueryValue(query, "worker_id");
  if (!item.has_value() || item->empty()) {
    RespondJson(exchange, 400, R"({"error":"worker_id: missing"})");
    return;
  }
  ReadItemBody read;
  read.batch_job_id = std::move(batch_job_id);
  read.item_id = PercentDecode(*item);
  CallTime time;
  time.overall = TimeForCall(kReadTimeout);
  time.attempt = kReadAttemptTimeout;
  const auto on_response = [exchange](const absl::StatusOr<ReadItemBodyResponse>& response) {
    RespondIfFound(
        exchange, response, R"({"error":"no such item"})", [&](const ReadItemBodyResponse& found) {
          exchange->Respond(200, {{"Content-Type", "application/octet-stream"}}, found.body);
        });
  };
  CancelWithExchange(exchange, stores_->ReadBody(std::move(read), time, on_response));
}

void BatchJobApi::CancelBatch(const std::shared_ptr<http_server::Exchange>& exchange,
                              std::string batch_job_id) {
  CancelBatchJob cancel;
  cancel.batch_job_id = std::move(batch_job_id);
  CallTime time;
  time.overall = TimeForCall(kCancelTimeout);
  const auto on_response = [exchange](const absl::StatusOr<CancelBatchJobResponse>& response) {
    RespondIfFound(exchange, response, kNoSuchBatchJob,
                   [&](const CancelBatchJobResponse&) { RespondJson(exchange, 200, "{}"); });
  };
  CancelWithExchange(exchange, stores_->CancelBatch(std::move(cancel), time, on_response));
}

}  // namespace pearreach::batch
