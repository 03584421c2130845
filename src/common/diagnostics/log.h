// The log and the counts of the process, on spdlog. It owns standard error and the counts by name;
// it must never decide what is worth a line, and never be called but from the main loop's thread.
#ifndef PEARREACH_SRC_COMMON_DIAGNOSTICS_LOG_H_
#define PEARREACH_SRC_COMMON_DIAGNOSTICS_LOG_H_

#include <cassert>
#include <cstdint>
#include <string>
#include <vector>

namespace pearreach {

enum class LogFormat {
  kText,  // "SECONDS.MILLIS NODE: text", as docs/oncall.md explains the lines
  kJson,  // an object a line: time, node, event, the event's own fields, text
};

struct LogField {
  const char* name;
  std::string value;
};

void SetLogName(const std::string& name);
void SetLogFormat(LogFormat format);
// `event` and the fields' names are stable, for machines; `text` is for people.
void Log(const char* event, const std::vector<LogField>& fields, const std::string& text);

// Counts by name, logged by LogCounts; a fault's text is logged at most once a second for each
// name.
void Count(const char* name, std::uint64_t by = 1);
void CountFault(const char* name, const std::string& detail);
std::uint64_t CountOf(const std::string& name);
// Counts what a figure that only grows has grown by since `*before`, which becomes it.
void CountGrowth(const char* name, std::uint64_t now, std::uint64_t* before);
void LogCounts();

// What must hold: asserted in debug builds, counted in release builds.
inline bool Must(bool holds, const char* name) {
  assert(holds);
  if (!holds) CountFault(name, "must not happen");
  return holds;
}

}  // namespace pearreach

#endif  // PEARREACH_SRC_COMMON_DIAGNOSTICS_LOG_H_
