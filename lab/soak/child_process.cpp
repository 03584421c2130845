#include "lab/soak/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace pearreach::soak {
namespace {

constexpr int kCannotRun = 127;
constexpr int kSignalBase = 128;  // as shells tell it
constexpr mode_t kLogMode = 0644;
constexpr Microseconds kPoll = 5 * kMillisecond;

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& words, const std::string& log_path) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log < 0) throw std::runtime_error("cannot open " + log_path);
  pid_ = fork();
  if (pid_ == 0) {
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(kCannotRun);
  }
  close(log);
  if (pid_ < 0) throw std::runtime_error("cannot start " + words[0]);
}

ChildProcess::~ChildProcess() {
  if (Ended()) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::Signal(int number) {
  if (!Ended()) kill(pid_, number);
}

std::optional<int> ChildProcess::Ended() {
  if (end_) return end_;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  end_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  return end_;
}

std::optional<int> ChildProcess::AwaitEnd(Microseconds longest) {
  const Microseconds until = Now() + longest;
  while (!Ended() && Now() < until) SleepFor(kPoll);
  return Ended();
}

}  // namespace pearreach::soak
