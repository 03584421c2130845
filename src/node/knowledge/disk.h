// The system calls that a knowledge file needs, one function each, so that tests can stand between:
// kill at any of them, or lose what was not synced. It owns nothing; it must never retry or decide.
#ifndef PEARREACH_SRC_NODE_KNOWLEDGE_DISK_H_
#define PEARREACH_SRC_NODE_KNOWLEDGE_DISK_H_

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace pearreach::knowledge {

// Each returns what its system call returns, with errno.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual int Create(const std::string& path) = 0;  // for writing, emptied, 0600
  virtual ssize_t Write(int fd, const char* bytes, std::size_t size) = 0;
  virtual int Sync(int fd) = 0;
  virtual int Close(int fd) = 0;
  virtual int Rename(const std::string& from, const std::string& to) = 0;
  virtual int SyncFolder(const std::string& path) = 0;
  // The whole file, or -1; a longer one than `most` is EFBIG.
  virtual int Read(const std::string& path, std::size_t most, std::string* bytes) = 0;
  virtual int Remove(const std::string& path) = 0;
};

Disk& SystemDisk();

}  // namespace pearreach::knowledge

#endif  // PEARREACH_SRC_NODE_KNOWLEDGE_DISK_H_
