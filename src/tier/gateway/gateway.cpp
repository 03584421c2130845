#include "tier/gateway/gateway.h"

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

// "/lots/ID" with one whole segment behind the prefix.
bool NamesOne(std::string_view path, std::string_view prefix) {
  return path.size() > prefix.size() && path.substr(0, prefix.size()) == prefix &&
         path.find('/', prefix.size()) == std::string_view::npos;
}

}  // namespace

bool IsBatchJobCall(std::string_view method, std::string_view target) {
  const std::string_view path = PathOf(target);
  if (method == "GET") return NamesOne(path, "/lots/") || NamesOne(path, "/items/");
  return method == "DELETE" && NamesOne(path, "/lots/");
}

Gateway::Gateway(control::ControlClient* control, proxy::RequestRunner* runner, Timers* timers,
                 bool waits)
    : control_(control),
      context_{runner, timers, std::make_shared<Outcomes>()},
      waits_(waits),
      start_queue_(timers, [this](const std::shared_ptr<http_server::Exchange>& exchange) {
        ++context_.outcomes->no_configuration;
        Refuse(exchange.get(), kUnavailable);
      }) {
  control_->OnChange([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) OnControlChange();
  });
}

Gateway::~Gateway() = default;

void Gateway::OnControlChange() {
  if (start_queue_.size() == 0 || control_->Current()->routes == nullptr) return;
  start_queue_.Release(
      [this](std::shared_ptr<http_server::Exchange> exchange) { Dispatch(std::move(exchange)); });
}

void Gateway::SetDraining(bool draining) {
  draining_ = draining;
  if (!draining) return;
  start_queue_.Release([this](const std::shared_ptr<http_server::Exchange>& exchange) {
    ++context_.outcomes->draining;
    Refuse(exchange.get(), kUnavailable);
  });
}

void Gateway::HoldUntilConfigured(const std::shared_ptr<http_server::Exchange>& exchange) {
  if (waits_ && !draining_ && start_queue_.Hold(exchange)) return;
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
    return batch_job_handler_(std::move(exchange));
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
  HandleRouted(std::move(exchange), *route);
}

void Gateway::HandleRouted(std::shared_ptr<http_server::Exchange> exchange,
                           const routing::Route& route) {
  Outcomes& outcomes = *context_.outcomes;
  if (draining_) {
    ++outcomes.draining;
    return Refuse(exchange.get(), kUnavailable);
  }
  if (route.variant == routing::Variant::kBulk) {
    ++outcomes.bulk;
    if (!bulk_handler_) return Refuse(exchange.get(), kUnavailable);
    return bulk_handler_(std::move(exchange), route);
  }
  http_server::Exchange& client = *exchange;
  proxy::RequestSpec spec = BuildRequestSpec(route, &client.mutable_request(), client.arrived());
  std::make_shared<LiveRequest>(context_, std::move(exchange))->Start(std::move(spec));
}

void Gateway::Refuse(http_server::Exchange* exchange, int status) {
  const std::string id(AttemptIdOf(exchange->request()));
  exchange->Respond(status, status == kUnavailable ? RetryHeaders(id, 0) : OwnHeaders(id), "");
}

}  // namespace pearreach::gateway
