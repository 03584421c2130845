#include "tier/control/config_api.h"

#include <utility>

#include "tier/control/api_answers.h"
#include "tier/control/replace_call.h"

namespace pearreach::control {

ConfigApi::ConfigApi(ControlClient* client, std::function<Micros()> now)
    : client_(client), now_(std::move(now)) {}

void ConfigApi::Register(ApiRouter* router) {
  router->Add(
      "POST", "/Config.Replace",
      [this](std::shared_ptr<http_server::Exchange> exchange, const std::string&) {
        const Micros deadline = exchange->arrived() + kConfigAnswerWithin;
        std::make_shared<ReplaceCall>(client_, now_, std::move(exchange), deadline)->Start();
      });
  router->Add("GET", "/Config.Read",
              [this](const std::shared_ptr<http_server::Exchange>& exchange, const std::string&) {
                Read(exchange);
              });
}

void ConfigApi::Read(const std::shared_ptr<http_server::Exchange>& exchange) {
  const Micros left = exchange->arrived() + kConfigAnswerWithin - now_();
  client_->LinearizableRead(
      left, [exchange](absl::StatusOr<std::shared_ptr<const ControlSnapshot>> snapshot) {
        if (!snapshot.ok()) {
          AnswerUnavailable(exchange.get(), "the newest configuration is not known for sure");
        } else if ((*snapshot)->config_revision == 0) {
          AnswerError(exchange.get(), 404, "there is no configuration yet");
        } else {
          AnswerJson(exchange.get(), 200, (*snapshot)->config_json);
        }
      });
}

}  // namespace pearreach::control
