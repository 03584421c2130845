#include "node/engine/discovery.h"

#include <algorithm>
#include <utility>

namespace pearreach {
namespace {

constexpr Micros kWatchTimeout = 5 * kSecond;  // asked of discovery: answer by then at the latest
constexpr Micros kResponseMargin =
    3 * kSecond;  // silence beyond it: a busy one has its turn by then
constexpr Micros kMinWatchInterval = 50 * kMs;  // between two calls of which the first told nothing
constexpr Micros kMinBackoff = 20 * kMs;        // before another try; doubles up to the last
constexpr Micros kMaxBackoff = 1000 * kMs;
// Where each watch costs discovery work, a node's share of its time: all nodes together begin no
// more often. It goes on with calls that have waited too long, so a crowd of them fails the next.
constexpr Micros kStartSpreadPerNode = 50 * kMs;
constexpr Micros kMaxStartSpread = 5 * kSecond;  // the protocol counts a list as told after 6 s

}  // namespace

Discovery::Discovery(std::string address, int sharers, std::uint64_t seed,
                     std::function<void(const Listing&)> heard)
    : address_(std::move(address)),
      start_spread_(std::min(sharers * kStartSpreadPerNode, kMaxStartSpread)),
      on_listing_(std::move(heard)),
      next_call_([this] { RequestListing(); }),
      response_timeout_([this] { RetryLater("no answer"); }),
      backoff_(kMinBackoff, std::max(kMaxBackoff, 2 * start_spread_), seed) {}

void Discovery::Start(std::optional<std::uint64_t> version) {
  version_ = version;
  // A list is held: what is newer can wait for this node's turn among those that begin with it.
  if (version_ && start_spread_ > 0) return next_call_.Set(Now() + backoff_.Spread(start_spread_));
  RequestListing();
}

void Discovery::MoveTo(const std::string& address) {
  address_ = address;
  version_.reset();
  backoff_.Succeed();
  next_call_.Clear();
  // Guards the new watch against a late word of the old one.
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
                                             RetryLater("the connection ended");
                                         }});
    if (stream_ == nullptr) return RetryLater("no socket");
  }
  std::string target = "/v1/endpoints";
  if (version_)
    target += "?since=" + std::to_string(*version_) +
              "&timeout_ms=" + std::to_string(kWatchTimeout / kMs);
  called_at_ = Now();
  response_timeout_.Set(called_at_ + (version_ ? kWatchTimeout : 0) + kResponseMargin);
  if (!stream_->Write(http::WriteRequest("GET", target, {{"Host", address_}}, "")))
    RetryLater("the connection broke");
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
      return RetryLater("bad answer");
  }
}

void Discovery::OnMessage(const http::Message& message) {
  // Guards the fleet: a discovery that fails a call for want of time says nothing of the version
  // held, and the whole list would cost it more than what has changed.
  if (message.status >= 500) {
    CountFault("discovery_busy", "status " + std::to_string(message.status));
    return RetryLater("it has too much to do", std::max(start_spread_, kMaxBackoff));
  }
  const auto list = message.status == 200 ? ReadListing(message.body) : std::nullopt;
  if (!list) {
    CountFault("bad_discovery_answer", "status " + std::to_string(message.status));
    version_.reset();  // what it says next must make sense by itself
    return RetryLater("bad answer");
  }
  // Changes to a list that is not held say too little.
  if (!list->full && (!version_ || list->version < *version_)) {
    CountFault("bad_discovery_answer", "changes to an unknown list");
    version_.reset();
    return RetryLater("unknown list");
  }
  backoff_.Succeed();
  response_timeout_.Clear();
  const bool news = list->full || !list->servers.empty();
  version_ = list->version;
  if (!message.keep_alive) stream_->Close();
  if (news) on_listing_(*list);
  // Guards the loop against an agent that answers a watch at once with nothing; still well within
  // the time after which a call would start a new watch.
  if (!news && Now() - called_at_ < kMinWatchInterval)
    return next_call_.Set(Now() + kMinWatchInterval);
  RequestListing();
}

void Discovery::RetryLater(const char* why, Micros least) {
  Count("discovery_retries");
  if (!backoff_.failing())
    Log("list_retried", {{"why", why}}, std::string("worker list: ") + why + ", trying again");
  if (stream_ != nullptr) stream_->Close();
  stream_ = nullptr;
  response_timeout_.Clear();
  next_call_.Set(Now() + backoff_.Next(least));
}

}  // namespace pearreach
