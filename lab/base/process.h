// Processes and folders of the laboratory's own. It owns what it starts and makes, and ends and
// removes it; it must never signal a process that it has not started.
#ifndef PEARREACH_LAB_BASE_PROCESS_H_
#define PEARREACH_LAB_BASE_PROCESS_H_

#include <gio/gio.h>

#include <string>
#include <vector>

namespace pearreach::lab {

// A new folder for temporary files, removed with all that is in it.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A child process; its standard error is added to a file.
class Process {
 public:
  Process(const std::vector<std::string>& words, const std::string& log);
  ~Process();  // SIGKILL, if it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  int pid() const { return pid_; }  // 0: it was killed or stopped
  bool over() const;                // so or by itself
  void Kill();                      // SIGKILL, and waits for its end
  bool Stop();                      // SIGTERM, then SIGKILL after 15 s; true: it ended with 0
  void Signal(int number);
  void Freeze();  // SIGSTOP
  void Thaw();    // SIGCONT

  // Nanoseconds of processor time of all its threads so far, and bytes resident, now and at most.
  std::uint64_t cpu_ns(bool without_the_loop = false) const;
  std::uint64_t resident() const;
  std::uint64_t most_resident() const;

 private:
  std::uint64_t Status(const char* field) const;

  GSubprocess* process_ = nullptr;
  int pid_ = 0;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_BASE_PROCESS_H_
