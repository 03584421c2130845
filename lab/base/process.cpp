#include "lab/base/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "lab/base/standins.h"

namespace pearreach::lab {

namespace fs = std::filesystem;

Folder::Folder() {
  path_ = (fs::temp_directory_path() / "pearreach-XXXXXX").string();
  if (mkdtemp(path_.data()) == nullptr)
    throw std::system_error(errno, std::generic_category(), path_);
}

Folder::~Folder() {
  std::error_code error;
  fs::remove_all(path_, error);
}

Process::Process(const std::vector<std::string>& words, const std::string& log) {
  std::vector<const char*> argv;
  for (const std::string& word : words) argv.push_back(word.c_str());
  argv.push_back(nullptr);
  GSubprocessLauncher* launcher = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
  // Not by path: that would cut off what an earlier life wrote.
  const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
  if (file >= 0) g_subprocess_launcher_take_stderr_fd(launcher, file);
  // A laboratory that is killed takes what it has started with it.
  g_subprocess_launcher_set_child_setup(
      launcher, [](gpointer) { prctl(PR_SET_PDEATHSIG, SIGKILL); }, nullptr, nullptr);
  process_ = g_subprocess_launcher_spawnv(launcher, argv.data(), nullptr);
  g_object_unref(launcher);
  if (process_ != nullptr) pid_ = std::atoi(g_subprocess_get_identifier(process_));
}

Process::~Process() {
  Kill();
  if (process_ != nullptr) g_object_unref(process_);
}

void Process::Kill() {
  if (pid_ == 0) return;
  g_subprocess_force_exit(process_);
  g_subprocess_wait(process_, nullptr, nullptr);
  pid_ = 0;
}

bool Process::over() const { return pid_ == 0 || g_subprocess_get_identifier(process_) == nullptr; }

bool Process::Stop() {
  if (pid_ == 0) return false;
  g_subprocess_send_signal(process_, SIGTERM);
  bool ended = false;
  g_subprocess_wait_async(
      process_, nullptr, [](GObject*, GAsyncResult*, gpointer e) { *static_cast<bool*>(e) = true; },
      &ended);
  if (!RunUntil([&] { return ended; }, 15 * kSecond)) {
    g_subprocess_force_exit(process_);
    RunUntil([&] { return ended; }, 5 * kSecond);
  }
  pid_ = 0;
  return ended && g_subprocess_get_if_exited(process_) &&
         g_subprocess_get_exit_status(process_) == 0;
}

void Process::Signal(int number) {
  if (pid_ != 0) g_subprocess_send_signal(process_, number);
}

void Process::Freeze() { Signal(SIGSTOP); }
void Process::Thaw() { Signal(SIGCONT); }

std::uint64_t Process::cpu_ns(bool without_the_loop) const {
  std::uint64_t sum = 0;
  std::error_code error;
  for (const auto& task :
       fs::directory_iterator("/proc/" + std::to_string(pid_) + "/task", error)) {
    if (without_the_loop && task.path().filename() == std::to_string(pid_)) continue;
    std::ifstream in(task.path() / "schedstat");
    std::uint64_t ns = 0;
    if (in >> ns) sum += ns;
  }
  return sum;
}

std::uint64_t Process::Status(const char* field) const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with(field))
      return std::strtoull(line.c_str() + std::string_view(field).size(), nullptr, 10) << 10;
  return 0;
}

std::uint64_t Process::resident() const { return Status("VmRSS:"); }
std::uint64_t Process::most_resident() const { return Status("VmHWM:"); }

}  // namespace pearreach::lab
