// The records of a capture: what the module was told and what it answered, as the program's own
// types and as bytes. It owns the way between the two; it must never lose a bit of a number, and
// never let through an event that names a worker without a name or a number that is none.
#ifndef PEARREACH_SRC_NODE_CAPTURE_RECORD_H_
#define PEARREACH_SRC_NODE_CAPTURE_RECORD_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/settings/settings_reader.h"
#include "pearreach/dispatcher.h"

namespace pearreach::capture {

using dispatch::Micros;

// What a segment says of itself at its head.
struct Origin {
  std::string node = "pearreach";
  std::string build;
  std::uint64_t policy_hash = 0;
  std::uint64_t seed = 0;
  Micros clock = 0;          // the module's, when the segment begins
  std::int64_t unix_us = 0;  // the wall clock then
  std::uint64_t first_turn = 0;
  dispatch::Conf::Values settings;  // by the wire's dotted paths
  bool tells_taken = false;
  std::uint64_t layout = 0;  // of the checkpoint, where the segment begins with one
  dispatch::Names workers;   // by id, known when it begins
  std::uint64_t segment = 0;
  bool edited = false;

  dispatch::Site Site() const;  // throws dispatch::Malformed
};

// What the module is not told of an event, for people.
struct Note {
  Micros seen = 0;            // when the node saw it; 0: with its turn
  std::string id;             // RequestArrived: as the client gave it
  std::uint64_t version = 0;  // WorkerList: the list's
};

// One call of Handle.
struct Turn {
  Micros now = 0;
  std::vector<dispatch::Event> events;
  std::vector<Note> notes;  // one an event
  std::vector<dispatch::Action> actions;
  std::vector<std::string> workers;  // names new in this turn, ids counted on
  std::string mark;
  std::int64_t unix_us = 0;  // 0: not noted
};

struct Ending {
  std::uint64_t turns = 0, events = 0, actions = 0;
  std::string reason;
};

std::string WriteOrigin(const Origin& origin);
bool ReadOrigin(std::string_view bytes, Origin* origin);
std::string WriteEnding(const Ending& ending);
bool ReadEnding(std::string_view bytes, Ending* ending);

// Collects turns into the bytes of one block; the objects in between are used again.
class TurnWriter {
 public:
  TurnWriter();
  ~TurnWriter();
  // `notes`: none, or one an event. `before`: the clock of the turn before.
  void Add(Micros before, Micros now, std::span<const dispatch::Event> events,
           std::span<const Note> notes, std::span<const dispatch::Action> actions,
           std::span<const std::string> workers, std::string_view mark, std::int64_t unix_us);
  std::size_t size() const { return bytes_.size(); }
  std::string Take();  // the block's bytes so far

 private:
  struct Scratch;
  std::unique_ptr<Scratch> scratch_;
  std::string bytes_;
};

// The turns of one block. Empty, or what is wrong. `before` is the clock of the turn before and
// `known` the number of workers with a name; both are carried on.
std::string ReadTurns(std::string_view bytes, Micros* before, std::size_t* known,
                      std::vector<Turn>* turns);

// In words, for a person; `workers` by id.
std::string Words(const dispatch::Event& event, const Note& note, const dispatch::Site& site,
                  const dispatch::Names& workers);
std::string Words(const dispatch::Action& action, const dispatch::Site& site,
                  const dispatch::Names& workers);

// The kinds of actions by their place in dispatch::Action, e.g. "send".
constexpr const char* kActionKinds[] = {"send",      "refuse", "fail",      "cancel",
                                        "set timer", "probe",  "subscribe", "log line"};
constexpr const char* kOutcomes[] = {"good",          "error", "full",      "timeout",
                                     "no connection", "reset", "cancelled", "moot"};

}  // namespace pearreach::capture

#endif  // PEARREACH_SRC_NODE_CAPTURE_RECORD_H_
