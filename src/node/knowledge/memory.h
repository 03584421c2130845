// What a node has learned, by names and wall clock, as it outlives the process; and what an age
// makes of it. It owns which kind of knowledge stays true for how long. Pure: no I/O, no clock. It
// must never give an older value more weight than a younger one, and never key anything by an
// address.
#ifndef PEARREACH_SRC_NODE_KNOWLEDGE_MEMORY_H_
#define PEARREACH_SRC_NODE_KNOWLEDGE_MEMORY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/settings/settings_reader.h"
#include "pearreach/dispatcher.h"

namespace pearreach::knowledge {

using dispatch::Micros;
using UnixMicros = std::int64_t;

// Times inside the entries (died_at, cold_sends) are how long ago, in microseconds, at `written`.
struct Memory {
  struct Pool {
    std::string kind;
    dispatch::PoolKnowledge what;
  };
  struct Worker {
    std::string id;
    std::int64_t started_ms = 0;  // Unix; with the id it names one process
    dispatch::WorkerKnowledge what;
  };
  struct Class {
    std::string name;
    dispatch::ClassKnowledge what;
  };
  struct Tenant {
    std::string name;
    dispatch::TenantKnowledge what;
  };
  std::string node;
  std::uint64_t site = 0;  // SiteMark
  int nodes = 1;           // of the tier; limits are shares of what there is
  UnixMicros written = 0;
  std::vector<Pool> pools;
  std::vector<Worker> workers;
  std::vector<Class> classes;
  std::vector<Tenant> tenants;
};

// What stays true for how long: half-lives, unless said otherwise.
constexpr Micros kSecond = 1'000'000;
constexpr Micros kLimitHalf = 300 * kSecond;      // limit and highest value found
constexpr Micros kSlownessHalf = 1800 * kSecond;  // a worker's own speed
constexpr Micros kFailuresHalf = 60 * kSecond;
constexpr Micros kSpeedHalf = 6 * 3600 * kSecond;     // of a kind, and the work of a class
constexpr Micros kSilentFor = 30 * kSecond;           // whole until then, nothing after it
constexpr Micros kForgetAfter = 24 * 3600 * kSecond;  // all of it
// The wall clock has been set back over the file: how old it is, nobody knows.
constexpr Micros kUnknownAge = 3600 * kSecond;
constexpr Micros kClockSlack = 1 * kSecond;

// A number for what a site's knowledge is about: its kinds, classes, tenants and zones by name.
std::uint64_t SiteMark(const dispatch::Site& site);

// Takes what the module has learned; `started_ms` by worker: Unix, 0 for long ago.
Memory Collect(const dispatch::Knowledge& learned, Micros now, const dispatch::Site& site,
               const std::vector<std::string>& names, const std::vector<std::int64_t>& started_ms,
               const std::string& node, UnixMicros unix_now);

struct Age {
  Micros age = 0;
  bool unknown = false;  // the clock stepped back: `age` is kUnknownAge
};
Age AgeOf(UnixMicros written, UnixMicros now);

// The same at that age: each value drawn towards what is assumed of the unknown. What may push over
// a cold worker is the exception: of an unknown age it counts whole.
Memory Aged(const Memory& memory, const dispatch::Site& site, const Age& age);

// For a node of this site: the part that needs no worker, ready for the module at `now`, and the
// others, which wait for the list to name the same processes.
struct Recall {
  dispatch::Knowledge common;
  std::unordered_map<std::string, Memory::Worker> workers;
};
// Nothing where it is of another node or site; `why` says so.
std::optional<Recall> ForNode(const Memory& memory, const dispatch::Site& site,
                              const std::string& node, UnixMicros unix_now, std::string* why);
// As the module takes it: with the id that it has here and times on this clock.
dispatch::WorkerKnowledge ForModule(const Memory::Worker& worker, dispatch::WorkerId id,
                                    Micros now);

}  // namespace pearreach::knowledge

#endif  // PEARREACH_SRC_NODE_KNOWLEDGE_MEMORY_H_
