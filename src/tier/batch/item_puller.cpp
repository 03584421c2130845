#include "tier/batch/item_puller.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace pearreach::batch {
namespace {

// How long a store may hold a call until there are items, and its answer's way back.
constexpr std::int64_t kTakeWaitMs = 1000;
constexpr Micros kAnswerTime = 1 * kSecond;
// How often the room is looked at while there is none: with items about, and without.
constexpr Micros kBusyPoll = 100 * kMs;
constexpr Micros kCalmPoll = 1 * kSecond;
// Items are about for this long after the last one was seen.
constexpr Micros kWorkMemory = 5 * kSecond;
// After an error of a store, or an empty answer that came too early.
constexpr Micros kErrorPause = 200 * kMs;
constexpr Micros kMinHold = 100 * kMs;
constexpr Micros kHoldOff = 200 * kMs;
// Most items of a route that are asked for at once.
constexpr int kMaxAtOnce = 32;

int RoomOf(const routing::Route& route, const proxy::RequestRunner& runner) {
  std::set<std::string_view> services;
  int capacity = 0;
  for (const routing::Target& target : route.targets) {
    if (target.share <= 0 || !services.insert(target.service).second) continue;
    capacity += std::max(runner.BulkCapacity(target.service), 0);
  }
  return std::min(capacity, kMaxAtOnce);
}

bool HasBulk(const routing::RouteTable& routes) {
  return std::any_of(routes.routes().begin(), routes.routes().end(),
                     [](const auto& route) { return route.variant == routing::Variant::kBulk; });
}

}  // namespace

ItemPuller::ItemPuller(Timers* timers, StoreClient* stores, control::ControlClient* control,
                       proxy::RequestRunner* runner, std::string node, std::uint64_t process,
                       Taken taken)
    : timers_(timers),
      stores_(stores),
      control_(control),
      runner_(runner),
      node_(std::move(node)),
      process_(process),
      taken_(std::move(taken)) {}

ItemPuller::~ItemPuller() { Stop(); }

void ItemPuller::Stop() {
  stopped_ = true;
  *alive_ = false;
  timers_->Cancel(&timer_);
}

void ItemPuller::AskLater(Micros delay) {
  timers_->Cancel(&timer_);
  timer_ = timers_->After(delay, [this] {
    timer_ = 0;
    Ask();
  });
}

bool ItemPuller::WorkIsKnown(Micros now) const {
  return work_seen_ != 0 && now - work_seen_ < kWorkMemory;
}

// The room by route, a store's share of it.
std::map<std::string, int> ItemPuller::Room(const routing::RouteTable& routes, int stores) const {
  std::map<std::string, int> capacity;
  for (const routing::Route& route : routes.routes()) {
    if (route.variant != routing::Variant::kBulk) continue;
    const int here = RoomOf(route, *runner_);
    if (here > 0) capacity[route.name] = (here + stores - 1) / stores;
  }
  return capacity;
}

void ItemPuller::Ask() {
  if (stopped_) return;
  const auto routes = control_->Current()->routes;
  if (routes == nullptr || !HasBulk(*routes)) return;  // a new configuration asks again
  const Micros now = Now();
  Micros next = WorkIsKnown(now) ? kBusyPoll : kCalmPoll;
  if (now < hold_off_until_) {
    AskLater(hold_off_until_ - now);
    return;
  }
  const std::vector<StoreId> primaries = stores_->Primaries();
  const auto capacity = Room(*routes, std::max<int>(static_cast<int>(primaries.size()), 1));
  if (primaries.empty() || capacity.empty()) {
    AskLater(next);
    return;
  }
  bool all_open = true;
  for (const StoreId& store : primaries) {
    Asked& asked = asked_[store];
    if (!asked.open && asked.not_before <= now) AskStore(store, capacity);
    if (asked.open) continue;
    all_open = false;
    next = std::min(next, std::max<Micros>(asked.not_before - now, kMs));
  }
  if (!all_open) AskLater(next);
}

std::uint64_t ItemPuller::Process() const {
  const auto self = control_->members().find(node_);
  return self == control_->members().end() ? process_ : self->second.info.incarnation;
}

void ItemPuller::AskStore(const StoreId& store, std::map<std::string, int> capacity) {
  asked_[store].open = true;
  PullItems take;
  take.node = node_;
  take.process = Process();
  take.capacity = std::move(capacity);
  take.wait_ms = kTakeWaitMs;
  const Micros timeout = kTakeWaitMs * kMs + kAnswerTime;
  stores_->Take(
      store, std::move(take), timeout,
      [this, alive = alive_, store, at = Now()](absl::StatusOr<PullItemsResponse> answer) {
        if (*alive) OnAnswer(store, at, std::move(answer));
      });
}

void ItemPuller::OnAnswer(const StoreId& store, Micros asked_at,
                          absl::StatusOr<PullItemsResponse> answer) {
  const Micros now = Now();
  Asked& asked = asked_[store];
  asked.open = false;
  const bool is_empty = answer.ok() && answer->items.empty();
  if (!answer.ok() || (is_empty && now - asked_at < kMinHold)) {
    asked.not_before = now + kErrorPause;
  }
  if (answer.ok() && !is_empty) {
    work_seen_ = now;
    for (LeasedItem& item : answer->items) taken_(std::move(item));
  }
  Ask();
}

void ItemPuller::HoldOff() {
  hold_off_until_ = Now() + kHoldOff;
  work_seen_ = Now();
}

}  // namespace pearreach::batch
