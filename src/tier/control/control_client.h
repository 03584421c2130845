// The control state as every process of the tier sees it: the newest committed snapshot that this
// node knows, whose version never decreases within a process, and the way to change it or to read
// it linearizably. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONTROL_CLIENT_H_
#define PEARREACH_SRC_TIER_CONTROL_CONTROL_CLIENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/event_loop/io.h"
#include "tier/coordination/chain.h"
#include "tier/coordination/change_history.h"
#include "tier/coordination/membership.h"
#include "tier/routing/route_table.h"

namespace pearreach::control {

// Keys of the control state.
inline constexpr char kConfigKey[] = "config";  // the operator's JSON as submitted
inline constexpr char kStoresKey[] = "stores";  // batch::PlacementTable, encoded

struct ControlSnapshot {
  coordination::Version version;  // {0, 0}: no state known yet
  std::shared_ptr<const coordination::Map> map;
  std::shared_ptr<const routing::RouteTable> routes;  // null: no configuration known yet
  std::string config_json;
  std::uint64_t config_revision = 0;
  std::string stores;  // encoded placement table, empty: none yet
  std::uint64_t stores_revision = 0;
};

struct ControlChange {
  std::string key;
  std::uint64_t expected_revision = 0;
  std::string value;
  coordination::FencingToken
      fencing_token{};  // rejected with kFenced once the token's key has a later revision
  std::optional<coordination::ChangeId> change_id{};  // recorded in the same commit
};

struct ChangeOutcome {
  coordination::ChangeStatus status = coordination::ChangeStatus::kUnavailable;
  std::uint64_t revision = 0;
};

// A linearizable read, together with the status of one configuration in the change history.
struct ChangeHistoryRead {
  std::shared_ptr<const ControlSnapshot> snapshot;
  coordination::ChangeHistoryStatus history_status = coordination::ChangeHistoryStatus::kForgotten;
};

class ControlClient {
 public:
  using ChangeDone = std::function<void(ChangeOutcome)>;
  using ReadDone = std::function<void(absl::StatusOr<std::shared_ptr<const ControlSnapshot>>)>;
  using HistoryReadDone = std::function<void(absl::StatusOr<ChangeHistoryRead>)>;

  virtual ~ControlClient() = default;
  virtual std::shared_ptr<const ControlSnapshot> Current() const = 0;  // never null
  virtual void OnChange(std::function<void()> listener) = 0;
  // Forwards the change to the head of the chain. `done` is called exactly once, within `timeout`;
  // kUnavailable: the change may or may not come into force.
  virtual void Change(ControlChange change, Micros timeout, ChangeDone done) = 0;
  // Reads a state that is not older than any acknowledged change. UNAVAILABLE after `timeout`.
  virtual void LinearizableRead(Micros timeout, ReadDone done) = 0;
  // Also reads whether the configuration `change_id` has been committed. UNIMPLEMENTED for a client
  // without a change history.
  virtual void ReadWithHistory(const coordination::ChangeId& change_id, Micros timeout,
                               HistoryReadDone done);
  // The current configuration is still known to be the present one, as far as the settings ask for
  // that (bounds.revocation_closed); else no key may be taken for valid by it.
  virtual bool IsConfigurationConfirmed() const { return true; }
  // This process stood still lately: what it reads now may have been sent long ago (StallDetector).
  virtual bool MayReadLateMessages() const { return false; }
  // This node is the first live one in the order of the current view, and so the one that claims
  // the system's singleton roles (see SingletonRoleDriver).
  virtual bool IsSingletonRoleCandidate() const = 0;
  // Membership as this node sees it.
  virtual const std::map<std::string, coordination::Member>& members() const = 0;
};

inline void ControlClient::ReadWithHistory(const coordination::ChangeId&, Micros,
                                           HistoryReadDone done) {
  const HistoryReadDone callback = std::move(done);
  callback(absl::UnimplementedError("no record of changes is kept here"));
}

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONTROL_CLIENT_H_
