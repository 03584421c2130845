#include "lab/soak/batch_job_ender.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <vector>

namespace pearreach::soak {
namespace {

constexpr int kItems = 25;
constexpr int kItemEvents = 60;  // 1.2 s at a stand-in worker
constexpr int kMinWaitMs = 300, kMaxWaitMs = 1500;
constexpr int kAccepted = 202, kFirstGood = 200, kFirstNotGood = 300;

}  // namespace

BatchJobEnder::BatchJobEnder(const BatchJobEnderOptions& options, RequestLog* log)
    : options_(options), log_(log), random_(options.seed) {}

void BatchJobEnder::Run(const std::atomic<bool>& stops) {
  std::uniform_int_distribution<int> wait_ms(kMinWaitMs, kMaxWaitMs);
  while (!stops) {
    SubmitAndEnd();
    SleepFor(wait_ms(random_) * kMillisecond);
  }
}

void BatchJobEnder::SubmitAndEnd() {
  SentRequest job;
  job.attempt_id = fmt::format("{}-{}", options_.name, ++jobs_);
  job.key = options_.key;
  job.kind = RequestKind::kBatch;
  job.node = options_.node;
  for (int item = 0; item < kItems; ++item)
    job.items.push_back(fmt::format("{}-item-{}", job.attempt_id, item));
  job.sent_at = Now();
  const HttpAnswer answer = Ask(Submission(job));
  job.SetAnswer(answer);
  if (job.status == kAccepted) {
    SleepFor(kMinWaitMs * kMillisecond);
    const int status = Ask({"DELETE", "/lots/" + job.attempt_id, {}, ""}).status;
    log_->Count(fmt::format("batch job ended {}", status));
    if (status >= kFirstGood && status < kFirstNotGood) job.end_acknowledged_at = Now();
  }
  log_->Add(job);
}

HttpRequest BatchJobEnder::Submission(const SentRequest& job) const {
  std::vector<std::string> entries;
  for (const std::string& item : job.items)
    entries.push_back(fmt::format(
        R"({{"worker_id":"{0}","path":"/stream/{0}","headers":{{"X-Model":"m","X-Token-Count":"4,{1}"}},"payload":"cHJvbXB0","tokens":7}})",
        item, kItemEvents));
  HttpRequest request{"POST", "/lots-in/1", {}, ""};
  request.headers = {{"X-Attempt-Id", job.attempt_id}, {"Content-Type", "application/json"}};
  request.body = fmt::format(R"({{"entries":[{}]}})", absl::StrJoin(entries, ","));
  return request;
}

HttpAnswer BatchJobEnder::Ask(const HttpRequest& request) const {
  HttpConnection fresh(options_.node->ip(), kEdgePort);
  HttpRequest with_key = request;
  with_key.headers.emplace_back("Authorization", "Token " + options_.key);
  return fresh.Ask(with_key);
}

}  // namespace pearreach::soak
