#include "lab/soak/process_group.h"

#include <signal.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <initializer_list>

namespace pearreach::soak {
namespace {

volatile pid_t group = 0;

// Only async-signal-safe calls.
void KillGroup(int) {
  if (group > 0) kill(-group, SIGKILL);
}

}  // namespace

int RunInGroup(int (*run)()) {
  const pid_t child = fork();
  if (child < 0) return 1;
  if (child == 0) {
    setpgid(0, 0);
    const int code = run();
    std::fflush(nullptr);
    _exit(code);
  }
  setpgid(child, child);  // in both, whichever comes first
  group = child;
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    struct sigaction action = {};
    action.sa_handler = KillGroup;
    sigaction(number, &action, nullptr);
  }
  // The group keeps its id while a member of it, also one not yet waited for, is left.
  siginfo_t ended = {};
  while (waitid(P_PID, static_cast<id_t>(child), &ended, WEXITED | WNOWAIT) != 0) continue;
  KillGroup(0);
  int status = 0;
  while (waitpid(child, &status, 0) != child) continue;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 1;
}

}  // namespace pearreach::soak
