#include "tier/control/config_api.h"

#include <utility>

#include "tier/control/api_responses.h"
#include "tier/control/config_replace_request.h"

namespace pearreach::control {

ConfigApi::ConfigApi(ControlClient* client, std::function<Micros()> now, After after)
    : client_(client), now_(std::move(now)), after_(std::move(after)) {}

void ConfigApi::Register(ApiRouter* router) {
  router->Add("POST", "/Config.Replace",
              [this](std::shared_ptr<http_server::Exchange> exchange, const std::string&) {
                const Micros deadline = exchange->arrived() + kConfigResponseTimeout;
                std::make_shared<ConfigReplaceRequest>(client_, now_, after_, std::move(exchange),
                                                       deadline)
                    ->Start();
              });
  router->Add("GET", "/Config.Read",
              [this](const std::shared_ptr<http_server::Exchange>& exchange, const std::string&) {
                Read(exchange);
              });
}

void ConfigApi::Read(const std::shared_ptr<http_server::Exchange>& exchange) {
  const Micros left = exchange->arrived() + kConfigResponseTimeout - now_();
  client_->LinearizableRead(
      left, [exchange](absl::StatusOr<std::shared_ptr<const ControlSnapshot>> snapshot) {
        if (!snapshot.ok()) {
          RespondUnavailable(exchange.get(), "the newest configuration is not known for sure");
        } else if ((*snapshot)->config_revision == 0) {
          RespondError(exchange.get(), 404, "there is no configuration yet");
        } else {
          RespondJson(exchange.get(), 200, (*snapshot)->config_json);
        }
      });
}

}  // namespace pearreach::control
