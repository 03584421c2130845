// pearreach-hollow PART NODES [WORKERS [LOSS]]: measures one part (registry or membership) of the
// serving tier in a hollow fleet and writes one line of JSON.
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "lab/hollow/measure.h"

int main(int count, char** arguments) {
  using pearreach::lab::hollow::Figures;
  using pearreach::lab::hollow::FleetSize;
  if (count < 3) {
    fmt::print(stderr, "use: pearreach-hollow registry|membership NODES [WORKERS [LOSS]]\n");
    return 2;
  }
  const std::string part = arguments[1];
  FleetSize size;
  size.nodes = std::atoi(arguments[2]);
  if (count > 3) size.workers = std::atoi(arguments[3]);
  if (count > 4) size.loss = std::atof(arguments[4]);
  if (size.nodes < 1 || (part != "registry" && part != "membership")) return 2;
  const Figures f = part == "registry" ? pearreach::lab::hollow::MeasureRegistry(size)
                                       : pearreach::lab::hollow::MeasureMembership(size);
  fmt::print(
      "{{\"part\":\"{}\",\"nodes\":{},\"workers\":{},\"loss\":{},\"all_know_ms\":{:.0f},"
      "\"change_ms\":{:.0f},\"acknowledge_ms\":{:.0f},\"death_ms\":{:.0f},\"start_kb\":{:.1f},"
      "\"start_messages\":{:.0f},\"start_processor_ms\":{:.1f},\"idle_bytes_s\":{:.0f},"
      "\"idle_messages_s\":{:.1f},\"idle_processor_percent\":{:.3f},\"memory_kb\":{:.0f},"
      "\"peers\":{:.1f}}}\n",
      part, size.nodes, part == "registry" ? size.workers : 0, size.loss, f.all_know_ms,
      f.change_ms, f.acknowledge_ms, f.death_ms, f.start_kb, f.start_messages, f.start_processor_ms,
      f.idle_bytes_s, f.idle_messages_s, f.idle_processor_percent, f.memory_kb, f.peers);
  return 0;
}
