// The server under test with a loop, and requests for it.
#ifndef PEARREACH_TESTS_TIER_HTTP_SERVER_SERVER_FIXTURE_H_
#define PEARREACH_TESTS_TIER_HTTP_SERVER_SERVER_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tier/http_server/http_server.h"
#include "tier/http_server/raw_client.h"

namespace pearreach::http_server {

using Exchanges = std::vector<std::shared_ptr<Exchange>>;

inline constexpr char kGet[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
inline constexpr Micros kShort = 40 * kMs;

inline std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

inline bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Answers with the method, target and body that came.
inline void Echo(const std::shared_ptr<Exchange>& exchange) {
  const http::Message& request = exchange->request();
  exchange->Respond(200, {{"X-Own", "1"}},
                    request.method + " " + request.target + " " + request.body);
}

inline ServerOptions SmallOptions() {
  ServerOptions options;
  options.max_header_bytes = 512;
  options.max_body_bytes = 1000;
  return options;
}

class ServerFixture : public CppUnit::TestFixture {
 public:
  void setUp() override { timers_ = std::make_unique<Timers>(); }
  void tearDown() override {
    exchanges_.clear();
    server_.reset();
    timers_.reset();
  }

 protected:
  void Open(ExchangeHandler handler, const ServerOptions& options = SmallOptions()) {
    server_ = std::make_unique<HttpServer>(timers_.get(), options, std::move(handler));
    CPPUNIT_ASSERT_EQUAL(std::string(), server_->Open("127.0.0.1:0"));
  }
  void OpenKeeping(const ServerOptions& options = SmallOptions()) {
    Open([this](std::shared_ptr<Exchange> e) { exchanges_.push_back(std::move(e)); }, options);
  }
  std::unique_ptr<RawClient> Client() { return std::make_unique<RawClient>(server_->port()); }
  bool Handed(std::size_t count) {
    return RunUntil([&] { return exchanges_.size() >= count; });
  }

  std::unique_ptr<Timers> timers_;
  std::unique_ptr<HttpServer> server_;
  Exchanges exchanges_;
};

}  // namespace pearreach::http_server

#endif  // PEARREACH_TESTS_TIER_HTTP_SERVER_SERVER_FIXTURE_H_
