// A live client request that was submitted to the runner: forwards the worker's response, ends the
// request at its deadline and cancels it when the client disconnects. Loop thread only.
#ifndef PEARREACH_SRC_TIER_GATEWAY_LIVE_REQUEST_H_
#define PEARREACH_SRC_TIER_GATEWAY_LIVE_REQUEST_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/gateway/outcomes.h"
#include "tier/http_server/exchange.h"
#include "tier/proxy/request.h"

namespace pearreach::gateway {

// Dependencies of live requests. The pointers must outlive the requests.
struct LiveContext {
  proxy::RequestRunner* runner = nullptr;
  Timers* timers = nullptr;
  std::shared_ptr<Outcomes> outcomes;
};

class LiveRequest final : public proxy::RequestSink,
                          public std::enable_shared_from_this<LiveRequest> {
 public:
  LiveRequest(LiveContext context, std::shared_ptr<http_server::Exchange> exchange);

  void Start(proxy::RequestSpec spec);

  void OnHead(int status, const std::vector<http::Header>& headers) override;
  void OnBody(std::string_view bytes) override;
  void OnEnd(const proxy::RequestResult& result) override;
  std::size_t backlog() const override;

 private:
  void OnClientDisconnected();
  void OnServerShutdown();
  void OnDeadline();
  void Complete();
  void RespondFailure(const proxy::RequestResult& result);
  void RespondLocally(int status, std::vector<http::Header> headers);
  bool End();  // false: the request has already ended

  LiveContext context_;
  std::shared_ptr<http_server::Exchange> exchange_;
  std::string attempt_id_;
  bool streamed_ = false;   // the route is streamed
  bool streaming_ = false;  // the head has been sent to the client
  bool ended_ = false, submitted_ = false;
  std::uint64_t request_id_ = 0;
  Timers::Id deadline_timer_ = 0;
  int status_ = 0;  // status of the worker's response; 0: no head yet
  std::vector<http::Header> headers_;
  std::string body_;
};

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_LIVE_REQUEST_H_
