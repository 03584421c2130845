#include "node/engine/discovery.h"

#include <algorithm>
#include <utility>

namespace pearreach {
namespace {

// Discovery answers a watch after this time at the latest.
constexpr Micros kWatchTimeout = 5 * kSecond;
// Extra time for an answer; enough for a busy discovery to serve this node in its turn.
constexpr Micros kResponseMargin = 3 * kSecond;
// Between two calls if the first brought no changes.
constexpr Micros kMinWatchInterval = 50 * kMs;
// The first and the longest wait before a retry; the wait doubles in between.
constexpr Micros kMinBackoff = 20 * kMs;
constexpr Micros kMaxBackoff = 1000 * kMs;
// Where each watch costs discovery work, all nodes together start no more than one watch in this
// time. Discovery also serves calls whose caller has stopped waiting, so that a crowd of them makes
// the next calls fail, too.
constexpr Micros kStartSpreadPerNode = 50 * kMs;
// Below the 6 s after which the protocol counts a list as delivered.
constexpr Micros kMaxStartSpread = 5 * kSecond;

}  // namespace

Discovery::Discovery(std::string address, int nodes, std::uint64_t seed,
                     std::function<void(const Listing&)> on_listing)
    : address_(std::move(address)),
      start_spread_(std::min(nodes * kStartSpreadPerNode, kMaxStartSpread)),
      on_listing_(std::move(on_listing)),
      next_call_([this] { RequestListing(); }),
      response_timeout_([this] { RetryLater("no answer in time"); }),
      backoff_(kMinBackoff, std::max(kMaxBackoff, 2 * start_spread_), seed) {}

void Discovery::Start(std::optional<std::uint64_t> version) {
  version_ = version;
  // With a known list, changes can wait for this node's slot among the nodes that start together.
  if (version_ && start_spread_ > 0) return next_call_.Set(Now() + backoff_.Spread(start_spread_));
  RequestListing();
}

void Discovery::MoveTo(const std::string& address) {
  address_ = address;
  version_.reset();
  backoff_.Succeed();
  next_call_.Clear();
  // A late answer from the old address must not reach the new watch.
  if (stream_ != nullptr) stream_->Close();
  stream_ = nullptr;
  RequestListing();
}

void Discovery::RequestListing() {
  if (stream_ == nullptr || !stream_->Quiet()) {
    if (stream_ != nullptr) stream_->Close();
    parser_ = http::Parser(http::Parser::Kind::kResponse, {16 << 10, 100, 1 << 20});
    stream_ = Stream::Connect(address_, {[] {}, [this](std::string_view bytes) { OnData(bytes); },
                                         [this] {
                                           if (parser_.End() == http::Parser::State::kMessage)
                                             OnMessage(parser_.Take());
                                           else
                                             RetryLater("the connection was closed");
                                         }});
    if (stream_ == nullptr) return RetryLater("no socket available");
  }
  std::string target = "/v1/endpoints";
  if (version_)
    target += "?since=" + std::to_string(*version_) +
              "&timeout_ms=" + std::to_string(kWatchTimeout / kMs);
  called_at_ = Now();
  response_timeout_.Set(called_at_ + (version_ ? kWatchTimeout : 0) + kResponseMargin);
  if (!stream_->Write(http::WriteRequest("GET", target, {{"Host", address_}}, "")))
    RetryLater("the connection broke during the request");
}

void Discovery::OnData(std::string_view bytes) {
  parser_.Feed(bytes);
  switch (parser_.Next()) {
    case http::Parser::State::kMore:
      return;
    case http::Parser::State::kMessage:
      return OnMessage(parser_.Take());
    case http::Parser::State::kBad:
      CountFault("bad_discovery_answer", parser_.error());
      return RetryLater("invalid answer");
  }
}

void Discovery::OnMessage(const http::Message& message) {
  // An overloaded discovery does not invalidate the known version. Asking it for the complete list
  // instead of the changes would add to its load.
  if (message.status >= 500) {
    CountFault("discovery_busy", "status " + std::to_string(message.status));
    return RetryLater("discovery is overloaded", std::max(start_spread_, kMaxBackoff));
  }
  const auto list = message.status == 200 ? ReadListing(message.body) : std::nullopt;
  if (!list) {
    CountFault("bad_discovery_answer", "status " + std::to_string(message.status));
    version_.reset();  // ask for a complete list next
    return RetryLater("invalid answer");
  }
  // Changes are of no use without the list that they refer to.
  if (!list->full && (!version_ || list->version < *version_)) {
    CountFault("bad_discovery_answer", "changes to version " + std::to_string(list->version) +
                                           " of a list that this node does not have");
    version_.reset();
    return RetryLater("changes to an unknown list");
  }
  backoff_.Succeed();
  response_timeout_.Clear();
  const bool changed = list->full || !list->servers.empty();
  version_ = list->version;
  if (!message.keep_alive) stream_->Close();
  if (changed) on_listing_(*list);
  // Limits the rate of calls to an agent that answers a watch at once without changes. The pause is
  // well below the time after which discovery would start a new watch.
  if (!changed && Now() - called_at_ < kMinWatchInterval)
    return next_call_.Set(Now() + kMinWatchInterval);
  RequestListing();
}

void Discovery::RetryLater(const char* why, Micros min_wait) {
  Count("discovery_retries");
  if (!backoff_.failing())
    Log("list_retried", {{"why", why}},
        std::string("call for the worker list failed: ") + why + "; retrying");
  if (stream_ != nullptr) stream_->Close();
  stream_ = nullptr;
  response_timeout_.Clear();
  next_call_.Set(Now() + backoff_.Next(min_wait));
}

}  // namespace pearreach
