// A stand-in for the disk under a knowledge file: what programs see, what a power cut would leave,
// and a process that dies, or a call that fails, at any system call.
#ifndef PEARREACH_TESTS_NODE_KNOWLEDGE_DISKS_H_
#define PEARREACH_TESTS_NODE_KNOWLEDGE_DISKS_H_

#include <algorithm>
#include <cerrno>
#include <map>
#include <memory>
#include <string>

#include "node/knowledge/disk.h"

namespace pearreach::knowledge {

class PaperDisk : public Disk {
 public:
  struct Killed {};

  // The call that is so manieth from now on kills the process, before or after it took effect, or
  // fails; 0: none.
  int kill_at = 0, fail_at = 0;
  bool kill_after = false;
  int calls = 0;

  enum class Names { kSynced, kAll };         // which renames had reached the disk
  enum class Bytes { kSynced, kAll, kHalf };  // which bytes: half of what was not synced, perhaps
  void CutPower(Names names, Bytes bytes) {
    if (names == Names::kSynced) names_ = synced_names_;
    for (auto& [name, node] : names_) {
      const std::string live = node->live;
      if (bytes == Bytes::kSynced) node->live = node->synced;
      if (bytes == Bytes::kHalf && live != node->synced)
        node->live = live.substr(0, live.size() / 2) + std::string(live.size() / 4, '\0');
      node->synced = node->live;
    }
    synced_names_ = names_;
    open_.clear();
  }

  int Create(const std::string& path) override {
    return Call([&] {
      auto& node = names_[path];
      if (node == nullptr) node = std::make_shared<Node>();
      node->live.clear();
      open_[++last_] = node;
      return last_;
    });
  }
  ssize_t Write(int fd, const char* bytes, std::size_t size) override {
    return Call([&] {
      const std::size_t n = std::min<std::size_t>(size, 100);  // a short write, as often as not
      open_.at(fd)->live.append(bytes, n);
      return static_cast<int>(n);
    });
  }
  int Sync(int fd) override {
    return Call([&] {
      open_.at(fd)->synced = open_.at(fd)->live;
      return 0;
    });
  }
  int Close(int fd) override {
    return Call([&] {
      open_.erase(fd);
      return 0;
    });
  }
  int Rename(const std::string& from, const std::string& to) override {
    return Call([&] {
      names_[to] = names_.at(from);
      names_.erase(from);
      return 0;
    });
  }
  int SyncFolder(const std::string&) override {
    return Call([&] {
      synced_names_ = names_;
      return 0;
    });
  }
  int Read(const std::string& path, std::size_t, std::string* bytes) override {
    const auto it = names_.find(path);
    if (it == names_.end()) return errno = ENOENT, -1;
    *bytes = it->second->live;
    return 0;
  }
  int Remove(const std::string& path) override {
    return names_.erase(path) > 0 ? 0 : (errno = ENOENT, -1);
  }

 private:
  struct Node {
    std::string live, synced;
  };
  template <class Do>
  int Call(Do act) {
    ++calls;
    if (calls == fail_at) return errno = EIO, -1;
    if (calls == kill_at && !kill_after) throw Killed();
    const int result = act();
    if (calls == kill_at) throw Killed();
    return result;
  }

  std::map<std::string, std::shared_ptr<Node>> names_, synced_names_;
  std::map<int, std::shared_ptr<Node>> open_;
  int last_ = 2;
};

}  // namespace pearreach::knowledge

#endif  // PEARREACH_TESTS_NODE_KNOWLEDGE_DISKS_H_
