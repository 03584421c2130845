// The steps of a process that was told to stop, from the signal to its end: it drains, tells the
// other nodes that it leaves, gives each request that is still open its last answer, and exits.
// Without clock and I/O: the owner calls Step with the time and carries the steps out.
#ifndef PEARREACH_SRC_TIER_SERVER_SHUTDOWN_SEQUENCE_H_
#define PEARREACH_SRC_TIER_SERVER_SHUTDOWN_SEQUENCE_H_

#include <optional>

#include "common/event_loop/io.h"
#include "tier/server/shutdown_schedule.h"

namespace pearreach::server {

// What a process does at each step. Each is called once, in this order, but for BeginDrain, which
// comes again when the grace changes, and for the two questions.
class ShutdownActions {
 public:
  virtual ~ShutdownActions() = default;
  // Answers close their connections from now on. `refuse_at`, `answer_by`: see ShutdownSchedule, on
  // the clock of Step.
  virtual void BeginDrain(Micros refuse_at, Micros answer_by) = 0;
  // Accepts no more connections; takes only requests that end before `answer_by`.
  virtual void RefuseNewWork(Micros answer_by) = 0;
  // Whether nothing is under way and no other node needs what this process holds.
  virtual bool IsIdle() const = 0;
  virtual void AnnounceLeave() = 0;
  virtual void AnswerOpenRequests() = 0;
  virtual bool AllAnswersSent() const = 0;
  virtual void Exit() = 0;  // may destroy the sequence
};

class ShutdownSequence {
 public:
  // `actions` must outlive this. `serves_clients`: see MakeShutdownSchedule.
  ShutdownSequence(bool serves_clients, ShutdownActions* actions)
      : serves_clients_(serves_clients), actions_(actions) {}

  // The signal has come. `grace`: microseconds until the process is killed. Only the first call
  // counts.
  void Begin(Micros grace, Micros now);
  bool begun() const { return begun_at_.has_value(); }
  // Another grace is in force, counted from Begin.
  void SetGrace(Micros grace, Micros now);
  // Takes the steps that are due. Returns in how many microseconds to call again; nullopt: never,
  // Exit has been called.
  std::optional<Micros> Step(Micros now);

 private:
  enum class Phase { kServing, kRefusing, kLeaving, kAnswered, kExited };

  Micros At(Micros since_begin) const { return *begun_at_ + since_begin; }
  // Takes the next step if it is due.
  bool Advance(Micros now);
  bool EnterRefusing(Micros now);
  bool EnterLeaving(Micros now);
  bool EnterAnswered(Micros now);
  bool EnterExited(Micros now);
  Micros NextStepAt() const;

  const bool serves_clients_;
  ShutdownActions* const actions_;
  ShutdownSchedule schedule_;
  Phase phase_ = Phase::kServing;
  std::optional<Micros> begun_at_;
  Micros left_at_ = 0;  // when the departure was announced
};

}  // namespace pearreach::server

#endif  // PEARREACH_SRC_TIER_SERVER_SHUTDOWN_SEQUENCE_H_
