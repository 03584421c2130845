// An exchange of no connection: keeps the answer for the test.
#ifndef PEARREACH_TESTS_TIER_CONTROL_FAKE_EXCHANGE_H_
#define PEARREACH_TESTS_TIER_CONTROL_FAKE_EXCHANGE_H_

#include <string>
#include <utility>
#include <vector>

#include "tier/http_server/exchange.h"

namespace pearreach::control {

class FakeExchange : public http_server::Exchange {
 public:
  FakeExchange(std::string method, std::string target, Micros arrived = 0) : arrived_(arrived) {
    message_.method = std::move(method);
    message_.target = std::move(target);
  }
  const http::Message& request() const override { return message_; }
  http::Message& mutable_request() override { return message_; }
  Micros arrived() const override { return arrived_; }
  bool open() const override { return answers == 0; }
  void Respond(int given, std::vector<http::Header> with, std::string_view bytes) override {
    ++answers;
    status = given;
    headers = std::move(with);
    body = std::string(bytes);
  }
  void BeginStream(int, std::vector<http::Header>) override {}
  void Write(std::string_view) override {}
  void Finish() override {}
  void Abort() override {}
  std::size_t unsent() const override { return 0; }
  void OnClosed(std::function<void()>) override {}

  std::string HeaderOf(const std::string& name) const {
    for (const http::Header& header : headers) {
      if (http::SameName(header.name, name)) return header.value;
    }
    return "";
  }

  int answers = 0, status = 0;
  std::vector<http::Header> headers;
  std::string body;

 private:
  http::Message message_;
  Micros arrived_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_TESTS_TIER_CONTROL_FAKE_EXCHANGE_H_
