// An operator who changes the configuration again and again: keys, limits, routes, invalid
// versions, the same version at two nodes, two versions on the same parent at once.
#ifndef PEARREACH_LAB_SOAK_OPERATOR_H_
#define PEARREACH_LAB_SOAK_OPERATOR_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "lab/soak/configuration_history.h"
#include "lab/soak/fleet.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {

// Both send many times their limit; that of the second is never changed.
inline constexpr char kHotTenant[] = "tenant-hot", kHotKey[] = "key-hot";
inline constexpr char kSteadyTenant[] = "tenant-steady", kSteadyKey[] = "key-steady";
// Without a limit, and never changed.
inline constexpr char kKeptTenant[] = "tenant-kept", kKeptKey[] = "key-kept";

class Operator {
 public:
  Operator(std::uint64_t seed, const Fleet* fleet, ConfigurationHistory* history, RequestLog* log);

  // Sends the first version; false: it was not taken in time.
  bool PutFirst();
  // The current version at the node: 200 only if a majority confirms it.
  bool Reads();
  void Run(const std::atomic<bool>& stops);

 private:
  enum class Outcome { kTaken, kRefused, kUnknown };

  void ChangeOnce();
  void SendInvalid();
  void SendRivals();
  Configuration DrawChange();
  Outcome Put(const Configuration& configuration, std::uint64_t parent, std::uint64_t number,
              std::size_t edge, bool repeat);
  int Post(std::size_t edge, const std::string& text, std::uint64_t parent);
  void Adopt(const Configuration& configuration, std::uint64_t number);
  void CatchUp();
  std::string NewKey();
  std::size_t DrawEdge();
  int Draw(int low, int high);

  const std::vector<Member*> edges_;
  ConfigurationHistory* const history_;
  RequestLog* const log_;
  std::mt19937_64 random_;
  Configuration current_;
  std::uint64_t number_ = 0;
  int keys_made_ = 0;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_OPERATOR_H_
