// The message that nodes exchange about zones: ejection decisions, operators' orders and reports,
// with its encoding. Pure functions without I/O. Encoding never exceeds the size that the caller
// allows; decoding checks all values and skips unknown fields.
#ifndef PEARREACH_SRC_NODE_ZONES_MESSAGES_H_
#define PEARREACH_SRC_NODE_ZONES_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::zones {

using Micros = std::int64_t;  // Unix time

// Identifies a zone or a region by a hash of its name, the same at all nodes.
using TargetKey = std::uint32_t;

// Why a zone is ejected, in ascending order of severity.
enum class Cause : std::uint8_t { kNone, kSlow, kFailing, kSilent, kDead };
const char* NameOf(Cause cause);

// How far a zone is in use: fully, ejected except for probes, or one of the steps of its return,
// each of which opens more pairs of a node and a worker.
constexpr std::uint8_t kInUse = 0, kEjected = 1;
constexpr std::uint8_t kLastStep = 4;

struct Decision {
  TargetKey target = 0;
  int for_zone = -1;  // applies to the nodes of this zone only; -1: to all nodes
  std::uint64_t number = 0;
  std::uint8_t step = kInUse;
  Cause cause = Cause::kNone;
  int decided_by = 0;  // node
  Micros decided_at = 0;
  std::uint8_t ejections = 0;  // in a row, without a long healthy period between them
  bool operator==(const Decision&) const = default;
};
// Whether `a` replaces `b` in a merge: it has the higher number, or is stricter under the same
// number, or was made by the lower node. This is a total order, so that the merge does not depend
// on the order, number or loss of messages.
bool Supersedes(const Decision& a, const Decision& b);

struct Order {
  enum class Action : std::uint8_t { kNone, kLeave, kReturn };  // kNone: the order is withdrawn
  TargetKey target = 0;
  std::uint64_t number = 0;
  Action action = Action::kNone;
  int issued_by = 0;  // node
  Micros issued_at = 0;
  bool operator==(const Order&) const = default;
};
const char* NameOf(Order::Action action);
bool Supersedes(const Order& a, const Order& b);

// What one node has itself recently observed of a zone.
struct Report {
  TargetKey target = 0;
  int reporter = 0, reporter_zone = 0;  // the node and its own zone
  std::uint64_t reporter_process = 0;
  std::uint32_t sequence = 0;       // a higher one of the same process replaces the report
  std::uint8_t tried = 0, bad = 0;  // fractions of the zone's weight, in 255ths
  Cause cause = Cause::kNone;
  bool overloaded = false;  // the reporter rejects jobs because it has no capacity
  Micros reported_at = 0;
  std::uint64_t decision_number = 0;        // decision to which the next two counters refer
  std::uint32_t succeeded = 0, failed = 0;  // jobs sent to the zone since that decision
  bool operator==(const Report&) const = default;
};
bool Supersedes(const Report& a, const Report& b);

struct Message {
  int zone = 0;                 // of the sender
  Micros at = 0;                // send time by the sender's clock
  bool requests_state = false;  // the sender has just started and requests decisions and orders
  std::vector<Decision> decisions;
  std::vector<Order> orders;
  std::vector<Report> reports;
};

// Encodes as many entries as fit into `max_bytes`: orders first, then decisions, then reports.
// Sets `*left_out` to the number of entries that did not fit.
std::string Encode(const Message& message, std::size_t max_bytes, int* left_out);
// Returns nullopt for malformed bytes.
std::optional<Message> Decode(std::string_view bytes);

}  // namespace pearreach::zones

#endif  // PEARREACH_SRC_NODE_ZONES_MESSAGES_H_
