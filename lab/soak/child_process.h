// A child process whose output is added to a file. It is killed when its object goes.
#ifndef PEARREACH_LAB_SOAK_CHILD_PROCESS_H_
#define PEARREACH_LAB_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "lab/soak/clock.h"

namespace pearreach::soak {

class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& words, const std::string& log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Only to a process that has not been waited for, so that its id cannot be another's.
  void Signal(int number);
  // The exit code, or 128 + the signal that ended it; nothing if it still runs.
  std::optional<int> Ended();
  std::optional<int> AwaitEnd(Microseconds longest);
  pid_t id() const { return pid_; }

 private:
  pid_t pid_ = 0;
  std::optional<int> end_;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_CHILD_PROCESS_H_
