// What one node says to another of zones, as values and as bytes. Pure and bounded: it reads
// nothing that it has not checked, must never give more than the caller has room for, and passes
// over what it does not know.
#ifndef PEARREACH_SRC_NODE_ZONES_MESSAGES_H_
#define PEARREACH_SRC_NODE_ZONES_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::zones {

using Micros = std::int64_t;  // Unix time

// A zone or a region, by a hash of its name that is the same at all nodes.
using TargetKey = std::uint32_t;

// Why a zone is left. The graver comes later.
enum class Cause : std::uint8_t { kNone, kSlow, kFailing, kSilent, kDead };
const char* NameOf(Cause cause);

// How far a zone is in use: 0 whole; 1 left, but for trials; then more and more of the pairs of a
// node and a worker are open.
constexpr std::uint8_t kInUse = 0, kEjected = 1;
constexpr std::uint8_t kLastStep = 4;

struct Decision {
  TargetKey target = 0;
  int for_zone = -1;  // nodes that it is for: of that zone; -1: all
  std::uint64_t number = 0;
  std::uint8_t step = kInUse;
  Cause cause = Cause::kNone;
  int decided_by = 0;          // the node that raised it
  Micros decided_at = 0;       // when
  std::uint8_t ejections = 0;  // in a row, without a long good time between them
  bool operator==(const Decision&) const = default;
};
// A total order, so that the merge, which is the later one, does not depend on the order, number
// or loss of words: the higher number; of one number the stricter; then by the node.
bool Later(const Decision& a, const Decision& b);

struct Order {
  enum class Action : std::uint8_t { kNone, kLeave, kReturn };  // kNone: taken back
  TargetKey target = 0;
  std::uint64_t number = 0;
  Action action = Action::kNone;
  int issued_by = 0;
  Micros issued_at = 0;
  bool operator==(const Order&) const = default;
};
const char* NameOf(Order::Action what);
bool Later(const Order& a, const Order& b);

// What one node has itself seen of a zone of late.
struct Report {
  TargetKey target = 0;
  int reporter = 0, reporter_zone = 0;  // the node and its own zone
  std::uint64_t reporter_process = 0;
  std::uint32_t sequence = 0;       // a later one of one process replaces it
  std::uint8_t tried = 0, bad = 0;  // of the zone's weight, in 255ths
  Cause cause = Cause::kNone;
  bool overloaded = false;  // it turns jobs away for want of room
  Micros reported_at = 0;
  std::uint64_t decision_number = 0;        // the verdict of whose time these are:
  std::uint32_t succeeded = 0, failed = 0;  // jobs sent there since
  bool operator==(const Report&) const = default;
};
bool Later(const Report& a, const Report& b);

struct Message {
  int zone = 0;
  Micros at = 0;
  bool requests_state = false;
  std::vector<Decision> decisions;
  std::vector<Order> orders;
  std::vector<Report> reports;
};

// As much as fits into `room`: orders, verdicts, reports. `*left_out`: entries without room.
std::string Encode(const Message& word, std::size_t room, int* left_out);
std::optional<Message> Decode(std::string_view bytes);

}  // namespace pearreach::zones

#endif  // PEARREACH_SRC_NODE_ZONES_MESSAGES_H_
