#include "node/knowledge/disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace pearreach::knowledge {
namespace {

class System : public Disk {
 public:
  int Create(const std::string& path) override {
    return ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  }
  ssize_t Write(int fd, const char* bytes, std::size_t size) override {
    return ::write(fd, bytes, size);
  }
  int Sync(int fd) override { return ::fsync(fd); }
  int Close(int fd) override { return ::close(fd); }
  int Rename(const std::string& from, const std::string& to) override {
    return ::rename(from.c_str(), to.c_str());
  }
  int SyncFolder(const std::string& path) override {
    const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return -1;
    const int code = ::fsync(fd), why = errno;
    ::close(fd);
    errno = why;
    return code;
  }
  int Read(const std::string& path, std::size_t most, std::string* bytes) override {
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return -1;
    bytes->clear();
    char part[1 << 16];
    ssize_t n = 0;
    while ((n = ::read(fd, part, sizeof part)) > 0 && bytes->size() <= most)
      bytes->append(part, static_cast<std::size_t>(n));
    const int why = bytes->size() > most ? EFBIG : errno;
    ::close(fd);
    if (n == 0 && bytes->size() <= most) return 0;
    errno = why;
    return -1;
  }
  int Remove(const std::string& path) override { return ::unlink(path.c_str()); }
};

}  // namespace

Disk& SystemDisk() {
  static System disk;
  return disk;
}

}  // namespace pearreach::knowledge
