// Figures of a hollow fleet: nodes that carry no traffic but run the same machines and messages as
// in service, in virtual time.
#ifndef PEARREACH_LAB_HOLLOW_MEASURE_H_
#define PEARREACH_LAB_HOLLOW_MEASURE_H_

#include <cstdint>
#include <string>

namespace pearreach::lab::hollow {

struct FleetSize {
  int nodes = 100, zones = 23, quorum = 3, workers = 1000;
  double loss = 0;
  std::uint64_t seed = 1;
};

// Times in ms of virtual time; negative: not within the bound. Costs are for one node, averages.
struct Figures {
  double all_know_ms = -1;     // workers' or nodes' start until all nodes know all
  double change_ms = -1;       // one drain or announced version, until all nodes know it
  double acknowledge_ms = -1;  // a drain's acknowledgement
  double death_ms = -1;        // a node's end, until all nodes know it
  double start_kb = 0, start_messages = 0;       // sent by a node until all know all
  double idle_bytes_s = 0, idle_messages_s = 0;  // then
  double idle_processor_percent = 0;             // of a core of this machine
  double start_processor_ms = 0;
  double memory_kb = 0;
  double peers = 0;  // distinct nodes that a node has called
};

// The workers' registry, with a membership that is given.
Figures MeasureRegistry(const FleetSize& size);
// Membership alone.
Figures MeasureMembership(const FleetSize& size);

}  // namespace pearreach::lab::hollow

#endif  // PEARREACH_LAB_HOLLOW_MEASURE_H_
