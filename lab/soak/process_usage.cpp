#include "lab/soak/process_usage.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "lab/soak/clock.h"

namespace pearreach::soak {
namespace {

constexpr Microseconds kLookEvery = 20 * kMillisecond;
constexpr std::size_t kKilobyte = 1024;

// A field of /proc/PID/status in kB, as bytes.
std::size_t StatusBytes(pid_t process, const std::string& field) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(field + ":", 0) != 0) continue;
    std::istringstream value(line.substr(field.size() + 1));
    std::size_t kilobytes = 0;
    value >> kilobytes;
    return kilobytes * kKilobyte;
  }
  return 0;
}

}  // namespace

std::size_t UnevictableBytes(pid_t process) {
  return StatusBytes(process, "RssAnon") + StatusBytes(process, "RssShmem");
}

std::size_t UnreadBytes(const std::string& local_ip) {
  in_addr address = {};
  inet_pton(AF_INET, local_ip.c_str(), &address);
  const std::string wanted = fmt::format("{:08X}:", address.s_addr);
  std::ifstream table("/proc/net/tcp");
  std::size_t bytes = 0;
  for (std::string line; std::getline(table, line);) {
    std::istringstream fields(line);
    std::string number, local, remote, state, queues;
    fields >> number >> local >> remote >> state >> queues;
    const std::size_t colon = queues.find(':');
    constexpr char kListening[] = "0A";  // its queue counts connections
    if (local.rfind(wanted, 0) != 0 || state == kListening || colon == std::string::npos) continue;
    bytes += std::stoul(queues.substr(colon + 1), nullptr, 16);
  }
  return bytes;
}

std::size_t OpenDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator open(fmt::format("/proc/{}/fd", process), error);
  if (error) return 0;
  std::size_t count = 0;
  for (auto at = begin(open); at != end(open); at.increment(error)) ++count;
  return count;
}

UsageWatch::UsageWatch(pid_t process, std::string local_ip)
    : process_(process), local_ip_(std::move(local_ip)) {
  thread_ = std::thread([this] {
    while (!stops_) {
      Look();
      SleepFor(kLookEvery);
    }
  });
}

UsageWatch::~UsageWatch() {
  stops_ = true;
  thread_.join();
}

void UsageWatch::Look() {
  const std::size_t bytes = UnevictableBytes(process_) + UnreadBytes(local_ip_);
  peak_bytes_ = std::max<std::size_t>(peak_bytes_, bytes);
  peak_descriptors_ = std::max<std::size_t>(peak_descriptors_, OpenDescriptors(process_));
}

}  // namespace pearreach::soak
