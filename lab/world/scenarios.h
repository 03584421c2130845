// Scripted days for one node in virtual time, each about one thing that went wrong or may. They are
// the source of tests/captures. It owns the scripts; it must never depend on a real clock.
#ifndef PEARREACH_LAB_WORLD_SCENARIOS_H_
#define PEARREACH_LAB_WORLD_SCENARIOS_H_

#include <memory>
#include <string>
#include <vector>

#include "lab/world/world.h"

namespace pearreach::lab {

struct Scenario {
  const char* name;
  const char* what;
  Micros length;
  void (*script)(World*);
};

const std::vector<Scenario>& Scenarios();

// Plays one to its end.
std::unique_ptr<World> Play(const Scenario& scenario);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_WORLD_SCENARIOS_H_
