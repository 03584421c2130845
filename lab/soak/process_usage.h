// What a process of this machine uses, as the kernel tells it.
#ifndef PEARREACH_LAB_SOAK_PROCESS_USAGE_H_
#define PEARREACH_LAB_SOAK_PROCESS_USAGE_H_

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace pearreach::soak {

// Bytes that cannot be given up under pressure: private and shared memory, without pages of files.
std::size_t UnevictableBytes(pid_t process);
// Bytes that have arrived at connections with this local address ("127.1.10.1") and are not read.
std::size_t UnreadBytes(const std::string& local_ip);
// Open descriptors.
std::size_t OpenDescriptors(pid_t process);

// Looks again and again, in a thread of its own, until it goes.
class UsageWatch {
 public:
  UsageWatch(pid_t process, std::string local_ip);
  ~UsageWatch();
  UsageWatch(const UsageWatch&) = delete;
  UsageWatch& operator=(const UsageWatch&) = delete;

  // The highest sum of UnevictableBytes and UnreadBytes, and of OpenDescriptors, so far.
  std::size_t peak_bytes() const { return peak_bytes_; }
  std::size_t peak_descriptors() const { return peak_descriptors_; }

 private:
  void Look();

  const pid_t process_;
  const std::string local_ip_;
  std::atomic<std::size_t> peak_bytes_ = 0, peak_descriptors_ = 0;
  std::atomic<bool> stops_ = false;
  std::thread thread_;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_PROCESS_USAGE_H_
