// The control state as every process of the tier sees it: the newest committed snapshot that this
// node knows, never going back within a process, and the way to change or strictly read it.
#ifndef PEARREACH_SRC_CONTROL_CONTROL_CLIENT_H_
#define PEARREACH_SRC_CONTROL_CONTROL_CLIENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/io.h"
#include "coordination/chain.h"
#include "coordination/membership.h"
#include "routing/route_table.h"

namespace pearreach::control {

// Keys of the control state.
inline constexpr char kConfigKey[] = "config";  // the operator's JSON, as it was sent
inline constexpr char kStoresKey[] = "stores";  // batch::PlacementTable, encoded

struct ControlSnapshot {
  coordination::Version version;  // {0, 0}: nothing known yet
  std::shared_ptr<const coordination::Map> map;
  std::shared_ptr<const routing::RouteTable> routes;  // null: no configuration known yet
  std::string config_json;
  std::uint64_t config_revision = 0;
  std::string stores;  // encoded placement table, empty: none yet
  std::uint64_t stores_revision = 0;
};

struct ChangeOutcome {
  coordination::ChangeStatus status = coordination::ChangeStatus::kUnavailable;
  std::uint64_t revision = 0;
};

class ControlClient {
 public:
  virtual ~ControlClient() = default;
  virtual std::shared_ptr<const ControlSnapshot> Current() const = 0;  // never null
  virtual void OnChange(std::function<void()> listener) = 0;
  // Passed on to the head, wherever it is. kUnavailable: it may come into force or not.
  virtual void Change(const std::string& key, std::uint64_t expected_revision, std::string value,
                      Micros timeout, std::function<void(ChangeOutcome)> done) = 0;
  // As Change, and refused with kFenced once the fence's key has a later revision. A client without
  // fences changes nothing.
  virtual void ChangeFenced(const coordination::Fence& fence, const std::string& key,
                            std::uint64_t expected_revision, std::string value, Micros timeout,
                            std::function<void(ChangeOutcome)> done);
  // A read that no older state can answer.
  virtual void StrictRead(
      Micros timeout,
      std::function<void(absl::StatusOr<std::shared_ptr<const ControlSnapshot>>)> done) = 0;
  // This node is the first live one in the order of the current view, so that duties of the whole
  // system are its to take (see DutyHolder).
  virtual bool IsDutyHolder() const = 0;
  // Membership as this node sees it.
  virtual const std::map<std::string, coordination::Member>& members() const = 0;
};

inline void ControlClient::ChangeFenced(const coordination::Fence&, const std::string&,
                                        std::uint64_t, std::string, Micros,
                                        std::function<void(ChangeOutcome)> done) {
  done({});
}

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_CONTROL_CONTROL_CLIENT_H_
