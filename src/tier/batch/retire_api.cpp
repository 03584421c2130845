#include "tier/batch/retire_api.h"

#include <absl/status/statusor.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "tier/batch/placement.h"
#include "tier/batch/placement_controller.h"

namespace pearreach::batch {
namespace {

// A request is retried for this long; then the operator is asked to send it again.
constexpr Micros kRequestTimeout = 2500 * kMs;
constexpr Micros kStepTimeout = 1 * kSecond;
constexpr Micros kRetryDelay = 100 * kMs;
constexpr char kRetryAfterSeconds[] = "0.3";

bool Contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

void RespondJson(const std::shared_ptr<http_server::Exchange>& exchange, int status,
                 std::string_view body) {
  std::vector<http::Header> headers = {{"Content-Type", "application/json"}};
  if (status == 503) headers.push_back({"Retry-After", kRetryAfterSeconds});
  exchange->Respond(status, std::move(headers), body);
}

}  // namespace

struct RetireApi::RetireRequest {
  std::shared_ptr<http_server::Exchange> exchange;
  std::string node;
  Micros deadline = 0;
};

RetireApi::RetireApi(Timers* timers, control::ControlClient* control, std::size_t replicas)
    : timers_(timers), control_(control), replicas_(replicas) {}

void RetireApi::AddTo(control::ApiRouter* router) {
  router->Add("POST", "/Retire.Begin/*",
              [this](std::shared_ptr<http_server::Exchange> exchange, const std::string& node) {
                StartRetirement(std::move(exchange), node);
              });
  router->Add("GET", "/Retire.Read/*",
              [this](const std::shared_ptr<http_server::Exchange>& exchange,
                     const std::string& node) { ReadRetirement(exchange, node); });
}

bool RetireApi::IsKnown(const PlacementTable& table, const std::string& node) const {
  const auto& members = control_->members();
  const auto member = members.find(node);
  const bool is_member =
      member != members.end() && member->second.info.Is(coordination::MemberInfo::kServesStorage);
  return is_member || NamesStore(table, node) || Contains(table.retiring, node) ||
         Contains(table.retired, node);
}

std::size_t RetireApi::CountOtherStores(const PlacementTable& table,
                                        const std::string& node) const {
  std::size_t left = 0;
  for (const auto& [name, store] : StoresOf(control_->members())) {
    if (name == node || store.condition == StoreCondition::kGone) continue;
    if (Contains(table.retiring, name) || Contains(table.retired, name)) continue;
    ++left;
  }
  return left;
}

void RetireApi::StartRetirement(std::shared_ptr<http_server::Exchange> exchange,
                                const std::string& node) {
  auto request = std::make_shared<RetireRequest>();
  request->exchange = std::move(exchange);
  request->node = node;
  request->deadline = Now() + kRequestTimeout;
  ReadPlacement(request);
}

void RetireApi::ReadPlacement(const std::shared_ptr<RetireRequest>& request) {
  if (!request->exchange->open()) return;
  const Micros left = request->deadline - Now();
  if (left <= 0) {
    RespondJson(request->exchange, 503, "{}");
    return;
  }
  using Snapshot = std::shared_ptr<const control::ControlSnapshot>;
  control_->LinearizableRead(
      std::min(left, kStepTimeout),
      callbacks_.Bind([this, request](const absl::StatusOr<Snapshot>& snapshot) {
        if (snapshot.ok() && *snapshot != nullptr) {
          StoreRetirement(request, **snapshot);
        } else {
          RetryLater(request);
        }
      }));
}

void RetireApi::StoreRetirement(const std::shared_ptr<RetireRequest>& request,
                                const control::ControlSnapshot& snapshot) {
  if (snapshot.stores.empty()) {
    RetryLater(request);  // no partition is placed yet: that does not take long
    return;
  }
  auto table = codec::Decode<PlacementTable>(snapshot.stores);
  if (!table.ok()) {
    RespondJson(request->exchange, 503, "{}");
    return;
  }
  if (!IsKnown(*table, request->node)) {
    RespondJson(request->exchange, 404, R"({"error":"no such storage machine"})");
    return;
  }
  if (Contains(table->retiring, request->node) || Contains(table->retired, request->node)) {
    RespondJson(request->exchange, 200, "{}");
    return;
  }
  if (CountOtherStores(*table, request->node) < replicas_) {
    RespondJson(request->exchange, 409, R"({"error":"too few storage machines would be left"})");
    return;
  }
  table->retiring.push_back(request->node);
  ++table->epoch;
  const Micros left = std::max<Micros>(request->deadline - Now(), kMs);
  control_->Change({control::kStoresKey, snapshot.stores_revision, codec::Encode(*table)},
                   std::min(left, kStepTimeout),
                   callbacks_.Bind([this, request](const control::ChangeOutcome& outcome) {
                     OnChanged(request, outcome);
                   }));
}

void RetireApi::OnChanged(const std::shared_ptr<RetireRequest>& request,
                          control::ChangeOutcome outcome) {
  if (outcome.status == coordination::ChangeStatus::kCommitted) {
    RespondJson(request->exchange, 200, "{}");
    return;
  }
  RetryLater(request);
}

void RetireApi::RetryLater(const std::shared_ptr<RetireRequest>& request) {
  timers_->After(kRetryDelay, callbacks_.Bind([this, request] { ReadPlacement(request); }));
}

void RetireApi::ReadRetirement(const std::shared_ptr<http_server::Exchange>& exchange,
                               const std::string& node) const {
  const auto snapshot = control_->Current();
  if (snapshot->stores.empty()) {
    RespondJson(exchange, 503, "{}");
    return;
  }
  const auto table = codec::Decode<PlacementTable>(snapshot->stores);
  if (!table.ok()) {
    RespondJson(exchange, 503, "{}");
    return;
  }
  if (!IsKnown(*table, node)) {
    RespondJson(exchange, 404, R"({"error":"no such storage machine"})");
    return;
  }
  const bool complete = Contains(table->retired, node) && IsSettled(*table, replicas_);
  RespondJson(exchange, 200, complete ? R"({"phase":"complete"})" : R"({"phase":"serving"})");
}

}  // namespace pearreach::batch
