// The life of a stand-in worker at the tier: heartbeats from its start, `draining` before its end,
// time for what is still sent to it, a departure. Or, with a late heartbeat: a departure at once,
// then a heartbeat of before the departure that was long under way, while it serves on.
#ifndef PEARREACH_LAB_STAND_IN_WORKER_LIFE_H_
#define PEARREACH_LAB_STAND_IN_WORKER_LIFE_H_

#include <cstdint>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "common/event_loop/timers.h"
#include "lab/stand_in_worker/control_caller.h"
#include "lab/stand_in_worker/worker.h"

namespace pearreach::stand_in {

struct LifeOptions {
  std::vector<std::string> control;  // addresses that take heartbeats
  std::string service, address, zone;
  Micros beat = kSecond;       // between heartbeats
  Micros drain = 2 * kSecond;  // served on after the acknowledged `draining`
  Micros late_beat = 0;  // from the acknowledged departure to the late heartbeat; 0: none comes
  Micros serve_on = 0;   // after the late heartbeat
  std::string departure_path;  // gets "departed STEADY_US" and "late STEADY_US"; empty: none
};

class Life {
 public:
  Life(Timers* timers, Worker* worker, LifeOptions options, std::function<void()> finished);
  ~Life();
  Life(const Life&) = delete;
  Life& operator=(const Life&) = delete;

  void Start() { Beat(); }
  void Stop();  // `finished` is called within the drain time and a few seconds

 private:
  void Beat();
  void OnBeatDone(bool acknowledged);
  void Depart();
  void DepartAtOnce();
  void SendLateBeat();
  void Record(const char* event);
  std::string BeatText();

  Timers* const timers_;
  Worker* const worker_;
  const LifeOptions options_;
  const std::function<void()> finished_;
  ControlCaller caller_;
  Timers::Id next_ = 0;
  std::uint64_t calls_ = 0;
  bool stopping_ = false, heard_ = false, leaves_ = false;
  int draining_beats_ = 0;  // sent without an acknowledgement
  std::string late_text_;   // of the late heartbeat
  std::ofstream record_;
};

}  // namespace pearreach::stand_in

#endif  // PEARREACH_LAB_STAND_IN_WORKER_LIFE_H_
