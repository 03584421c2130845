#include "lab/soak/client.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <iterator>
#include <vector>

namespace pearreach::soak {
namespace {

constexpr char kUnknownKey[] = "key-that-no-version-holds";
constexpr Microseconds kReconnect = 100 * kMillisecond;
constexpr int kItems = 4;
// Token counts of a prompt and of its answer, an event each.
constexpr char kShortStream[] = "12,8", kLongStream[] = "12,30";

std::string PathOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kPlain:
      return "/plain/1";
    case RequestKind::kEffectful:
      return "/effect/1";
    case RequestKind::kStreamed:
      return "/stream/1";
    case RequestKind::kExtra:
      return "/extra/1";
    case RequestKind::kBatch:
      return "/lots-in/1";
    case RequestKind::kRead:
    case RequestKind::kControl:
      break;  // not of this client
  }
  return "/";
}

std::string NameOf(RequestKind kind) {
  const std::string path = PathOf(kind);
  return path.substr(1, path.rfind('/') - 1);
}

}  // namespace

Client::Client(const ClientOptions& options, const ConfigurationHistory* history, RequestLog* log)
    : options_(options),
      history_(history),
      log_(log),
      random_(options.seed),
      connection_(options.node->ip(), kEdgePort) {}

void Client::Run(const std::atomic<bool>& stops) {
  while (!stops) {
    if (!connection_.Connect()) {
      log_->Count("node behind a client is gone");
      SleepFor(kReconnect);
      continue;
    }
    SendOne();
    SleepFor((options_.only_key.empty() ? Draw(5, 60) : Draw(1, 5)) * kMillisecond);
  }
}

void Client::SendOne() {
  SentRequest sent;
  sent.key = DrawKey();
  sent.kind = DrawKind();
  if (sent.kind == RequestKind::kBatch) return SendBatchJob(sent.key);
  sent.attempt_id = NextId();
  HttpRequest request{"POST", PathOf(sent.kind), {}, "some text"};
  request.headers = {{"X-Attempt-Id", sent.attempt_id}, {"X-Deadline-Ms", "5000"}};
  if (!sent.key.empty()) request.headers.emplace_back("Authorization", "Token " + sent.key);
  if (Draw(0, 3) == 0) {
    log_->Count("forged X-Tenant");
    request.headers.emplace_back("X-Tenant", "tenant-0");
  }
  if (sent.kind == RequestKind::kStreamed) {
    request.headers.emplace_back("X-Model", "m");
    request.headers.emplace_back("X-Token-Count", options_.only_kind ? kLongStream : kShortStream);
    request.headers.emplace_back("X-Prompt-Prefix", "5c1e:12");
  }
  log_->Add(Ask(&connection_, request, std::move(sent)));
}

void Client::SendBatchJob(const std::string& key) {
  SentRequest sent;
  sent.key = key;
  sent.kind = RequestKind::kBatch;
  sent.attempt_id = NextId();
  std::vector<std::string> entries;
  for (int item = 0; item < kItems; ++item) {
    sent.items.push_back(fmt::format("{}-item-{}", sent.attempt_id, item));
    entries.push_back(fmt::format(
        R"({{"worker_id":"{0}","path":"/stream/{0}","headers":{{"X-Model":"m","X-Token-Count":"4,3","X-Prompt-Prefix":"5c1e:4"}},"payload":"cHJvbXB0","tokens":7}})",
        sent.items.back()));
  }
  HttpRequest request{"POST", PathOf(sent.kind), {}, ""};
  request.body = fmt::format(R"({{"entries":[{}]}})", absl::StrJoin(entries, ","));
  request.headers = {{"X-Attempt-Id", sent.attempt_id}, {"Content-Type", "application/json"}};
  if (!key.empty()) request.headers.emplace_back("Authorization", "Token " + key);
  HttpConnection fresh(options_.node->ip(), kEdgePort);
  sent = Ask(&fresh, request, std::move(sent));
  log_->Add(sent);
  if (sent.status == 202 && Draw(0, 2) == 0) ReadAndEndBatchJob(sent.attempt_id, key);
}

void Client::ReadAndEndBatchJob(const std::string& id, const std::string& key) {
  for (const char* method : {"GET", "DELETE"}) {
    HttpConnection fresh(options_.node->ip(), kEdgePort);
    HttpRequest request{method, fmt::format("/lots/{}?start_after=0", id), {}, ""};
    if (request.method == "DELETE") request.target = "/lots/" + id;
    request.headers = {{"Authorization", "Token " + key}, {"X-Wait-Ms", "500"}};
    const HttpAnswer answer = fresh.Ask(request);
    log_->Count(fmt::format("batch job {} {}", method, answer.status));
  }
}

SentRequest Client::Ask(HttpConnection* connection, const HttpRequest& request, SentRequest sent) {
  sent.node = options_.node;
  sent.sent_at = Now();
  const HttpAnswer answer = connection->Ask(request);
  sent.SetAnswer(answer);
  log_->Count(fmt::format("{} {}", NameOf(sent.kind), answer.status));
  return sent;
}

std::string Client::DrawKey() {
  if (!options_.only_key.empty()) return options_.only_key;
  const int drawn = Draw(0, 99);
  if (drawn < 4) return kUnknownKey;
  if (drawn < 6) return "";
  const std::vector<Version> versions = history_->All();
  // Keys of an earlier version are often withdrawn or passed on by now.
  const int age = drawn < 30 ? Draw(0, 4) : 0;
  const std::size_t last = versions.size() - 1;
  const std::size_t place = last - std::min<std::size_t>(last, static_cast<std::size_t>(age));
  std::vector<std::string> keys;
  for (const auto& [name, tenant] : versions[place].configuration.tenants)
    keys.insert(keys.end(), tenant.keys.begin(), tenant.keys.end());
  return keys.empty() ? ""
                      : keys[static_cast<std::size_t>(Draw(0, static_cast<int>(keys.size()) - 1))];
}

RequestKind Client::DrawKind() {
  if (options_.only_kind) return *options_.only_kind;
  if (!options_.only_key.empty()) return RequestKind::kPlain;
  const int drawn = Draw(0, 99);
  if (drawn < 40) return RequestKind::kPlain;
  if (drawn < 60) return RequestKind::kEffectful;
  if (drawn < 80) return RequestKind::kStreamed;
  return drawn < 94 ? RequestKind::kExtra : RequestKind::kBatch;
}

int Client::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

std::string Client::NextId() { return fmt::format("{}-{}", options_.name, ++sent_); }

}  // namespace pearreach::soak
