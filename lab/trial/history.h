// What happened in a trial, in one clock: what was done to the processes and the links between
// them, what workers and clients saw, and what every node said of itself. It owns the form (a JSON
// object a line) and the order; it must never judge.
#ifndef PEARREACH_LAB_TRIAL_HISTORY_H_
#define PEARREACH_LAB_TRIAL_HISTORY_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pearreach/dispatcher.h"

namespace pearreach::lab {

using dispatch::Micros;

struct Moment {
  Micros at = 0;    // since the trial began
  std::string who;  // "trial", "client", "discovery", a worker "s-3" or a node "n3"
  std::string what;
  std::map<std::string, std::string> more;

  const std::string& Of(const std::string& name) const;  // empty: it is not there
  std::int64_t Number(const std::string& name) const;    // 0: likewise, or it is none
};
using History = std::vector<Moment>;

void Sort(History* history);  // by time; what came at one time keeps its order
std::string WriteHistory(const History& history);
// Throws dispatch::Malformed with "NAME:LINE: what".
History ReadHistory(std::string_view text, const std::string& name);
// A line of a node's log in JSON, whose time is Unix seconds; false: it is none.
bool ReadLogLine(std::string_view line, Micros began_unix, Moment* moment);
std::string Words(const Moment& moment);  // a line for people

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_HISTORY_H_
