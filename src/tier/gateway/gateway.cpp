#include "tier/gateway/gateway.h"

#include <algorithm>
#include <string>
#include <utility>

#include "tier/gateway/local_replies.h"
#include "tier/gateway/request_builder.h"

namespace pearreach::gateway {
namespace {

std::string_view AttemptIdOf(const http::Message& request) {
  const std::string* const id = request.Find("X-Attempt-Id");
  return id == nullptr ? std::string_view() : *id;
}

std::string_view HostOf(const http::Message& request) {
  const std::string* const host = request.Find("Host");
  return host == nullptr ? std::string_view() : *host;
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

// Whether `path` is `prefix` plus exactly one segment, as in "/lots/ID".
bool HasSingleSegmentAfter(std::string_view path, std::string_view prefix) {
  return path.size() > prefix.size() && path.substr(0, prefix.size()) == prefix &&
         path.find('/', prefix.size()) == std::string_view::npos;
}

// A request waits for quota for at most a quarter of its latency target, so that after a refusal
// the client has time to try another node.
constexpr double kQuotaWaitFraction = 0.25;
constexpr Micros kMinQuotaWait = 50 * kMs;

Micros MaxQuotaWait(const routing::Route& route) {
  const auto target = static_cast<Micros>(route.target_ms * static_cast<double>(kMs));
  const auto wait = static_cast<Micros>(kQuotaWaitFraction * static_cast<double>(target));
  return std::max(wait, kMinQuotaWait);
}

}  // namespace

bool IsBatchJobCall(std::string_view method, std::string_view target) {
  const std::string_view path = PathOf(target);
  if (method == "GET")
    return HasSingleSegmentAfter(path, "/lots/") || HasSingleSegmentAfter(path, "/items/");
  return method == "DELETE" && HasSingleSegmentAfter(path, "/lots/");
}

Gateway::Gateway(control::ControlClient* control, proxy::RequestRunner* runner, Timers* timers,
                 bool hold_until_configured)
    : control_(control),
      context_{runner, timers, std::make_shared<Outcomes>()},
      hold_until_configured_(hold_until_configured),
      start_queue_(timers, [this](const std::shared_ptr<http_server::Exchange>& exchange) {
        ++context_.outcomes->no_configuration;
        Refuse(exchange.get(), kUnavailable);
      }) {
  control_->OnChange([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) OnControlChange();
  });
  withdrawn_keys_.Update(control_->Current()->routes);
}

Gateway::~Gateway() = default;

void Gateway::OnControlChange() {
  withdrawn_keys_.Update(control_->Current()->routes);
  ReleaseStartQueue();
}

void Gateway::ReleaseStartQueue() {
  if (start_queue_.size() == 0 || control_->Current()->routes == nullptr) return;
  start_queue_.Release(
      [this](std::shared_ptr<http_server::Exchange> exchange) { Dispatch(std::move(exchange)); });
}

void Gateway::BeginDrain(Micros answer_by) {
  answer_by_ = answer_by;
  start_queue_.Release([this](const std::shared_ptr<http_server::Exchange>& exchange) {
    RefuseDraining(exchange.get());
  });
}

bool Gateway::HasTimeFor(const Routed& routed) const {
  if (!answer_by_.has_value()) return true;
  const http_server::Exchange& exchange = *routed.exchange;
  return RequestDeadline(*routed.route, exchange.request(), exchange.arrived()) < *answer_by_;
}

void Gateway::RefuseDraining(http_server::Exchange* exchange) {
  ++context_.outcomes->draining;
  Refuse(exchange, kUnavailable);
}

void Gateway::HoldUntilConfigured(const std::shared_ptr<http_server::Exchange>& exchange) {
  if (hold_until_configured_ && !answer_by_.has_value() && start_queue_.Hold(exchange)) return;
  ++context_.outcomes->no_configuration;
  Refuse(exchange.get(), kUnavailable);
}

void Gateway::Handle(std::shared_ptr<http_server::Exchange> exchange) {
  ++context_.outcomes->requests;
  if (control_->Current()->routes == nullptr) return HoldUntilConfigured(exchange);
  Dispatch(std::move(exchange));
}

void Gateway::Dispatch(std::shared_ptr<http_server::Exchange> exchange) {
  Outcomes& outcomes = *context_.outcomes;
  const auto routes = control_->Current()->routes;
  const http::Message& request = exchange->request();
  if (batch_job_handler_ && IsBatchJobCall(request.method, request.target)) {
    ++outcomes.batch_jobs;
    const Sender sender = Authenticate(*routes, nullptr, request);
    if (RefuseSender(sender, exchange.get())) return;
    return batch_job_handler_(std::move(exchange), sender);
  }
  const routing::Route* const route = routes->Match(HostOf(request), PathOf(request.target));
  if (route == nullptr) {
    ++outcomes.no_route;
    return Refuse(exchange.get(), kNotFound);
  }
  if (AttemptIdOf(request).empty()) {
    ++outcomes.no_attempt_id;
    return Refuse(exchange.get(), kBadRequest);
  }
  const Sender sender = Authenticate(*routes, route, request);
  if (RefuseSender(sender, exchange.get())) return;
  HandleRouted({std::move(exchange), routes, route, sender});
}

void Gateway::HandleRouted(Routed routed) {
  Outcomes& outcomes = *context_.outcomes;
  if (!HasTimeFor(routed)) return RefuseDraining(routed.exchange.get());
  if (routed.route->variant == routing::Variant::kBulk) {
    ++outcomes.bulk;
    if (!bulk_handler_) return Refuse(routed.exchange.get(), kUnavailable);
    return bulk_handler_(std::move(routed.exchange), *routed.route, routed.sender);
  }
  const bool limited = routed.sender.tenant != nullptr && routed.sender.tenant->IsLimited();
  if (limited && limiter_ != nullptr) return AcquireQuota(std::move(routed));
  StartRequest(routed);
}

void Gateway::AcquireQuota(Routed routed) {
  const std::shared_ptr<http_server::Exchange> exchange = routed.exchange;
  const routing::Tenant& tenant = *routed.sender.tenant;
  // A request from the start queue may already be past that time: it gets the minimum wait.
  const Micros deadline =
      std::max(exchange->arrived() + MaxQuotaWait(*routed.route), Now() + kMinQuotaWait);
  const quota::AcquisitionId acquisition = limiter_->Acquire(
      tenant, deadline, [this, routed = std::move(routed)](const quota::Decision& decision) {
        OnQuotaDecision(routed, decision);
      });
  if (acquisition == quota::kDecided) return;
  exchange->OnClosed([this, acquisition] {
    limiter_->Cancel(acquisition);
    ++context_.outcomes->client_gone;
  });
  const std::weak_ptr<http_server::Exchange> weak = exchange;
  exchange->OnShutdown([this, acquisition, weak] {
    const auto client = weak.lock();
    if (client == nullptr) return;
    limiter_->Cancel(acquisition);
    RefuseDraining(client.get());
  });
}

void Gateway::OnQuotaDecision(const Routed& routed, const quota::Decision& decision) {
  http_server::Exchange* const exchange = routed.exchange.get();
  if (!HasTimeFor(routed)) return RefuseDraining(exchange);
  if (decision.verdict == quota::Verdict::kGranted) return StartRequest(routed);
  const bool over_limit = decision.verdict == quota::Verdict::kOverLimit;
  ++(over_limit ? context_.outcomes->over_limit : context_.outcomes->no_quota);
  const std::string id(AttemptIdOf(exchange->request()));
  exchange->Respond(over_limit ? kTooManyRequests : kUnavailable,
                    RetryHeaders(id, decision.retry_after), "");
}

void Gateway::StartRequest(const Routed& routed) {
  http_server::Exchange& client = *routed.exchange;
  proxy::RequestSpec spec =
      BuildRequestSpec(*routed.route, routed.sender, &client.mutable_request(), client.arrived());
  std::make_shared<LiveRequest>(context_, routed.exchange)->Start(std::move(spec));
}

bool Gateway::RefuseSender(const Sender& sender, http_server::Exchange* exchange) {
  if (sender.requires_key && !control_->IsConfigurationConfirmed()) {
    ++context_.outcomes->not_confirmed;
    Refuse(exchange, kUnavailable);
    return true;
  }
  if (sender.is_authorized) return false;
  RefuseUnauthorized(exchange);
  return true;
}

void Gateway::RefuseUnauthorized(http_server::Exchange* exchange) {
  Outcomes& outcomes = *context_.outcomes;
  const std::string_view api_key = ExtractApiKey(exchange->request());
  ++outcomes.unauthorized;
  if (api_key.empty()) {
    ++outcomes.no_key;
  } else {
    ++(withdrawn_keys_.Contains(api_key) ? outcomes.withdrawn_key : outcomes.unknown_key);
  }
  exchange->Respond(kUnauthorized, ChallengeHeaders(AttemptIdOf(exchange->request())), "");
}

void Gateway::Refuse(http_server::Exchange* exchange, int status) {
  const std::string id(AttemptIdOf(exchange->request()));
  exchange->Respond(status, status == kUnavailable ? RetryHeaders(id, 0) : LocalReplyHeaders(id),
                    "");
}

}  // namespace pearreach::gateway
