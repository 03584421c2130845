// The operators' requests that replace and read the configuration: Config.Replace and Config.Read.
// Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONFIG_API_H_
#define PEARREACH_SRC_TIER_CONTROL_CONFIG_API_H_

#include <functional>
#include <memory>
#include <string>

#include "tier/control/api_router.h"
#include "tier/control/control_client.h"

namespace pearreach::control {

// Bytes of the longest body of Config.Replace. The HTTP server's limit must not be smaller.
inline constexpr std::size_t kMaxConfigBytes = 4U << 20;
// Clients try the next node after a second without a response.
inline constexpr Micros kConfigResponseTimeout = 900 * kMs;

class ConfigApi {
 public:
  // Calls the callback once, after so many microseconds.
  using After = std::function<void(Micros delay, std::function<void()> callback)>;

  // `now`: the clock of Exchange::arrived. `after`: null, a change whose parent is not in force yet
  // is refused at once. `client` outlives this, which outlives the router.
  explicit ConfigApi(ControlClient* client, std::function<Micros()> now = pearreach::Now,
                     After after = nullptr);
  void Register(ApiRouter* router);

 private:
  void Read(const std::shared_ptr<http_server::Exchange>& exchange);

  ControlClient* client_;
  std::function<Micros()> now_;
  After after_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONFIG_API_H_
