#include "tier/batch/item_puller.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace pearreach::batch {
namespace {

// How long a store may hold a pull open until there are items (long poll), and what is added for
// the way of the response.
constexpr std::int64_t kPullWaitMs = 1000;
constexpr Micros kResponseMargin = 1 * kSecond;
// How often the capacity is read while there is none: with recent items, and without.
constexpr Micros kBusyPollPeriod = 100 * kMs;
constexpr Micros kIdlePollPeriod = 1 * kSecond;
// For how long after the last item others are expected.
constexpr Micros kRecentWorkSpan = 5 * kSecond;
// Before the next pull from a store that has failed, or whose empty response came sooner than
// kMinLongPoll: a store that does not hold pulls open is not called in a tight loop.
constexpr Micros kErrorBackoff = 200 * kMs;
constexpr Micros kMinLongPoll = 100 * kMs;
// Without any pull after a run that did not come about.
constexpr Micros kFailureBackoff = 200 * kMs;
// Most items of a route in one pull.
constexpr int kMaxItemsPerPull = 32;

int CapacityOf(const routing::Route& route, const proxy::RequestRunner& runner) {
  std::set<std::string_view> services;
  int capacity = 0;
  for (const routing::Target& target : route.targets) {
    if (target.weight <= 0 || !services.insert(target.service).second) continue;
    capacity += std::max(runner.BulkCapacity(target.service), 0);
  }
  return std::min(capacity, kMaxItemsPerPull);
}

bool HasBulkRoute(const routing::RouteTable& routes) {
  return std::any_of(routes.routes().begin(), routes.routes().end(),
                     [](const auto& route) { return route.variant == routing::Variant::kBulk; });
}

}  // namespace

ItemPuller::ItemPuller(Timers* timers, StoreClient* stores, control::ControlClient* control,
                       proxy::RequestRunner* runner, std::string node, std::uint64_t process,
                       ItemHandler handler)
    : timers_(timers),
      stores_(stores),
      control_(control),
      runner_(runner),
      node_(std::move(node)),
      fallback_incarnation_(process),
      item_handler_(std::move(handler)) {}

ItemPuller::~ItemPuller() { Stop(); }

void ItemPuller::Stop() {
  stopped_ = true;
  timers_->Cancel(&timer_);
}

void ItemPuller::PollLater(Micros delay) {
  timers_->Cancel(&timer_);
  timer_ = timers_->After(delay, [this] {
    timer_ = 0;
    Poll();
  });
}

bool ItemPuller::HasRecentWork(Micros now) const {
  return last_item_at_ != 0 && now - last_item_at_ < kRecentWorkSpan;
}

// The capacity by route, divided among the stores.
std::map<std::string, int> ItemPuller::Capacity(const routing::RouteTable& routes,
                                                int stores) const {
  std::map<std::string, int> capacity;
  for (const routing::Route& route : routes.routes()) {
    if (route.variant != routing::Variant::kBulk) continue;
    const int here = CapacityOf(route, *runner_);
    if (here > 0) capacity[route.name] = (here + stores - 1) / stores;
  }
  return capacity;
}

void ItemPuller::Poll() {
  if (stopped_) return;
  const auto routes = control_->Current()->routes;
  if (routes == nullptr || !HasBulkRoute(*routes)) return;  // a new configuration polls again
  const Micros now = Now();
  Micros next = HasRecentWork(now) ? kBusyPollPeriod : kIdlePollPeriod;
  if (now < backoff_until_) {
    PollLater(backoff_until_ - now);
    return;
  }
  const std::vector<StoreId> primaries = stores_->Primaries();
  const auto capacity = Capacity(*routes, std::max<int>(static_cast<int>(primaries.size()), 1));
  if (primaries.empty() || capacity.empty()) {
    PollLater(next);
    return;
  }
  bool all_open = true;
  for (const StoreId& store : primaries) {
    StorePoll& poll = polls_[store];
    if (!poll.open && poll.not_before <= now) PullFrom(store, capacity);
    if (poll.open) continue;
    all_open = false;
    next = std::min(next, std::max<Micros>(poll.not_before - now, kMs));
  }
  if (!all_open) PollLater(next);
}

std::uint64_t ItemPuller::Incarnation() const {
  const auto self = control_->members().find(node_);
  return self == control_->members().end() ? fallback_incarnation_ : self->second.info.incarnation;
}

void ItemPuller::PullFrom(const StoreId& store, std::map<std::string, int> capacity) {
  polls_[store].open = true;
  PullItems pull;
  pull.node = node_;
  pull.process = Incarnation();
  pull.capacity = std::move(capacity);
  pull.wait_ms = kPullWaitMs;
  const Micros timeout = kPullWaitMs * kMs + kResponseMargin;
  stores_->Pull(
      store, std::move(pull), timeout,
      callbacks_.Bind([this, store, at = Now()](absl::StatusOr<PullItemsResponse> response) {
        OnPulled(store, at, std::move(response));
      }));
}

void ItemPuller::OnPulled(const StoreId& store, Micros sent_at,
                          absl::StatusOr<PullItemsResponse> response) {
  if (stopped_) return;
  const Micros now = Now();
  StorePoll& poll = polls_[store];
  poll.open = false;
  const bool is_empty = response.ok() && response->items.empty();
  if (!response.ok() || (is_empty && now - sent_at < kMinLongPoll)) {
    poll.not_before = now + kErrorBackoff;
  }
  if (response.ok() && !is_empty) {
    last_item_at_ = now;
    for (LeasedItem& item : response->items) item_handler_(std::move(item), sent_at);
  }
  Poll();
}

void ItemPuller::StartBackoff() {
  backoff_until_ = Now() + kFailureBackoff;
  last_item_at_ = Now();
}

}  // namespace pearreach::batch
