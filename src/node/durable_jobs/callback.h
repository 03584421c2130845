// Tells the ends of durable jobs to the URLs that their clients named. It owns the connections to
// them, one a call, a few at once; it must never call an address that is not allowed, never follow
// a redirect, and never look up a name.
#ifndef PEARREACH_SRC_NODE_DURABLE_JOBS_CALLBACK_H_
#define PEARREACH_SRC_NODE_DURABLE_JOBS_CALLBACK_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"

namespace pearreach {

struct CallbackUrl {
  std::string address, path;  // "ip:port", "/..."
};

// "http://IP:PORT/..." alone, and only of the loopback interface or under one of `prefixes`.
std::optional<CallbackUrl> ReadCallbackUrl(const std::string& url,
                                           const std::vector<std::string>& prefixes);

class Callbacks {
 public:
  static constexpr std::size_t kAtOnce = 16;

  Callbacks();
  ~Callbacks();
  bool free() const { return calls_.size() < kAtOnce; }
  // Posts JSON; `done` is told whether it was answered 2xx in time. Not called from inside Post.
  void Post(const CallbackUrl& url, const std::string& body, std::function<void(bool)> done);

 private:
  struct Call {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kResponse};
    std::function<void(bool)> done;
    Micros until = 0;
    bool over = false, good = false;
  };
  void Settle(Call* call, bool good);
  void Sweep();

  std::list<std::unique_ptr<Call>> calls_;
  Alarm sweep_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_DURABLE_JOBS_CALLBACK_H_
