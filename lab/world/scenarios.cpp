#include "lab/world/scenarios.h"

#include <string>

namespace pearreach::lab {
namespace {

using dispatch::Health;

// Six workers, three a zone, and traffic for about two thirds of them.
void Fleet(World* w, Micros length, double load = 1) {
  for (int i = 0; i < 6; ++i)
    w->AddWorker({.name = "s-" + std::to_string(i), .zone = i < 3 ? "a" : "b", .cell = i / 3});
  w->ListAll(1 * kMs);
  w->AddLoad({.per_second = 40 * load, .cls = "commit", .tenant = "acme", .work = 150 * kMs},
             10 * kMs, length - 3 * kSecond);
  w->AddLoad(
      {.per_second = 12 * load, .cls = "sync", .tenant = "umbra", .work = 120 * kMs, .slots = 2},
      11 * kMs, length - 3 * kSecond);
}

// The list says only late that it is a new process, and its reports are of before.
void SilentAndColdAgain(World* w) {
  Fleet(w, 16 * kSecond);
  w->StaleReports(1 * kSecond);
  w->Silence(2900 * kMs, 1, 4 * kSecond);  // two jobs run there
  w->ListOne(8500 * kMs, 1, Health::kInService);
}

// Jobs whose moments fall into one millisecond, with timers of the script's own among them.
void TimersOfOneMillisecond(World* w) {
  for (int i = 0; i < 2; ++i)
    w->AddWorker({.name = "s-" + std::to_string(i), .slots = 1, .room = 1});
  w->ListAll(1 * kMs);
  for (Micros at = 100 * kMs; at < 3 * kSecond; at += 400 * kMs)
    for (int i = 0; i < 12; ++i)
      w->AddLoad({.per_second = 1,
                  .cls = i % 3 == 0 ? "sync" : "commit",
                  .tenant = "",
                  .work = 200 * kMs,
                  .patience = 600 * kMs},
                 at + i * 80, at + i * 80 + 1);
}

void DrainAroundALateList(World* w) {
  Fleet(w, 14 * kSecond);
  for (int i = 0; i < 3; ++i) w->ListOne((2 + i) * kSecond, i, Health::kDraining);
  w->ListOne(5 * kSecond, 0, Health::kGone);
  // It is back, a new process, before the list says that it was ever gone.
  w->Restart(5500 * kMs, 0);
  w->ListOne(6 * kSecond, 0, Health::kInService);
  w->ListOne(6100 * kMs, 1, Health::kInService);
  w->ListOne(6100 * kMs, 1, Health::kDraining);  // and away again in the same turn
  w->ListAll(8 * kSecond);
}

void PeerMessagesAstray(World* w) {
  Fleet(w, 8 * kSecond);
  for (int i = 0; i < 60; ++i) {
    const std::string text = "tally " + std::to_string(i);
    const Micros at = 500 * kMs + i * 100 * kMs;
    if (i % 5 == 0) continue;                                     // lost
    w->Peer(at + (i % 7 == 3 ? 350 * kMs : 0), 1 + i % 2, text);  // some are overtaken
    if (i % 6 == 1) w->Peer(at + 40 * kMs, 1 + i % 2, text);      // some come twice
  }
}

void AllRestartAtOnce(World* w) {
  Fleet(w, 18 * kSecond);
  for (int i = 0; i < 6; ++i) {
    w->Restart(4 * kSecond, i);
    w->ListOne(5 * kSecond + i * 50 * kMs, i, Health::kInService);
  }
}

// More than the fleet can do, and little room at the workers: runs of refusals cut the limit.
void OverloadWithRefusals(World* w) {
  for (int i = 0; i < 4; ++i)
    w->AddWorker(
        {.name = "s-" + std::to_string(i), .zone = i < 2 ? "a" : "b", .slots = 2, .room = 0});
  w->ListAll(1 * kMs);
  w->AddLoad({.per_second = 70, .cls = "commit", .tenant = "acme", .work = 150 * kMs}, 10 * kMs,
             6 * kSecond);
  w->AddLoad({.per_second = 90,
              .cls = "commit",
              .tenant = "umbra",
              .work = 150 * kMs,
              .patience = kSecond},
             2 * kSecond, 4 * kSecond);
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> all = {
      {"silent-and-cold-again", "a worker falls silent and is back cold, with stale reports",
       16 * kSecond, SilentAndColdAgain},
      {"timers-of-one-millisecond", "the moments of many jobs fall into one millisecond",
       6 * kSecond, TimersOfOneMillisecond},
      {"drain-around-a-late-list", "workers drain and return around a late list", 14 * kSecond,
       DrainAroundALateList},
      {"peer-messages-astray", "peer messages are lost, doubled and overtaken", 8 * kSecond,
       PeerMessagesAstray},
      {"all-restart-at-once", "all workers restart at once", 18 * kSecond, AllRestartAtOnce},
      {"overload-with-refusals", "overload with runs of refusals", 12 * kSecond,
       OverloadWithRefusals}};
  return all;
}

std::unique_ptr<World> Play(const Scenario& scenario) {
  auto world = std::make_unique<World>(BaseSettings(), dispatch::HashName(scenario.name));
  scenario.script(world.get());
  world->Run(scenario.length);
  return world;
}

}  // namespace pearreach::lab
