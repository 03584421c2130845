// Test doubles for the gateway's dependencies: an exchange that records its response, a runner
// whose requests are ended by the test, and a control client with a fixed configuration.
#ifndef PEARREACH_TESTS_TIER_GATEWAY_DOUBLES_H_
#define PEARREACH_TESTS_TIER_GATEWAY_DOUBLES_H_

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/event_loop/io.h"
#include "tier/control/control_client.h"
#include "tier/http_server/exchange.h"
#include "tier/proxy/request.h"
#include "tier/routing/route_table.h"

namespace pearreach::gateway {

class RecordedExchange final : public http_server::Exchange {
 public:
  explicit RecordedExchange(http::Message request, Micros arrived = Now())
      : request_(std::move(request)), arrived_(arrived) {}

  const http::Message& request() const override { return request_; }
  http::Message& mutable_request() override { return request_; }
  Micros arrived() const override { return arrived_; }
  bool open() const override { return !done && !gone; }
  void Respond(int s, std::vector<http::Header> h, std::string_view b) override {
    CPPUNIT_ASSERT(!streaming && !done);
    Begin(s, std::move(h));
    body = b;
    done = true;
  }
  void BeginStream(int s, std::vector<http::Header> h) override {
    CPPUNIT_ASSERT(!streaming && !done);
    Begin(s, std::move(h));
    streaming = true;
  }
  void Write(std::string_view piece) override {
    CPPUNIT_ASSERT(streaming && !done);
    body.append(piece);
  }
  void Finish() override {
    CPPUNIT_ASSERT(streaming && !done);
    done = finished = true;
  }
  void Abort() override {
    CPPUNIT_ASSERT(!done);
    done = aborted = true;
  }
  std::size_t unsent() const override { return waiting; }
  void OnDrained(std::function<void()> drained) override { drained_ = std::move(drained); }
  void OnClosed(std::function<void()> closed) override { closed_ = std::move(closed); }
  void OnShutdown(std::function<void()> shutdown) override { shutdown_ = std::move(shutdown); }

  // The server shuts down.
  void Shutdown() {
    const auto shutdown = std::exchange(shutdown_, nullptr);
    if (shutdown) shutdown();
  }
  void Disconnect() {
    gone = true;
    const auto closed = std::exchange(closed_, nullptr);
    if (closed) closed();
  }
  void Drain() const {
    if (drained_) drained_();
  }
  std::string Header(std::string_view name) const {
    for (const http::Header& header : headers)
      if (http::SameName(header.name, name)) return header.value;
    return "";
  }

  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  bool streaming = false, done = false, finished = false, aborted = false, gone = false;
  std::size_t waiting = 0;

 private:
  void Begin(int s, std::vector<http::Header> h) {
    status = s;
    headers = std::move(h);
  }

  http::Message request_;
  const Micros arrived_;
  std::function<void()> closed_, drained_, shutdown_;
};

class ManualRunner final : public proxy::RequestRunner {
 public:
  std::uint64_t Submit(proxy::RequestSpec spec, std::shared_ptr<proxy::RequestSink> sink) override {
    specs.push_back(std::move(spec));
    if (immediate) {
      immediate(*sink);
      return 0;
    }
    sinks.emplace(specs.size(), std::move(sink));
    return specs.size();
  }
  void Cancel(std::uint64_t job) override {
    cancelled.push_back(job);
    sinks.erase(job);
  }
  void Terminate(std::uint64_t job) override { terminated.push_back(job); }
  void Resume(std::uint64_t job) override { resumed.push_back(job); }
  int BulkCapacity(const std::string&) const override { return 0; }

  std::shared_ptr<proxy::RequestSink> sink() const { return sinks.at(specs.size()); }
  void End(proxy::RequestEnd end, Micros retry_after = 0) {
    const auto ended = sink();
    sinks.erase(specs.size());
    proxy::RequestResult result;
    result.end = end;
    result.retry_after = retry_after;
    ended->OnEnd(result);
  }

  std::vector<proxy::RequestSpec> specs;
  std::map<std::uint64_t, std::shared_ptr<proxy::RequestSink>> sinks;
  std::vector<std::uint64_t> cancelled, resumed, terminated;
  std::function<void(proxy::RequestSink&)> immediate;
};

class FixedControl : public control::ControlClient {
 public:
  FixedControl() : snapshot_(std::make_shared<control::ControlSnapshot>()) {}

  void Use(const std::string& json) {
    const auto table = routing::RouteTable::Parse(json);
    CPPUNIT_ASSERT_MESSAGE(std::string(table.status().message()), table.ok());
    const auto next = std::make_shared<control::ControlSnapshot>();
    next->routes = *table;
    snapshot_ = next;
    for (const auto& listener : listeners_) listener();
  }

  std::shared_ptr<const control::ControlSnapshot> Current() const override { return snapshot_; }
  void OnChange(std::function<void()> listener) override {
    listeners_.push_back(std::move(listener));
  }
  void Change(control::ControlChange, Micros, ChangeDone) override {}
  void LinearizableRead(Micros, ReadDone) override {}
  bool IsSingletonRoleCandidate() const override { return false; }
  bool IsConfigurationConfirmed() const override { return confirmed; }
  const std::map<std::string, coordination::Member>& members() const override { return members_; }

  bool confirmed = true;

 private:
  std::shared_ptr<const control::ControlSnapshot> snapshot_;
  std::vector<std::function<void()>> listeners_;
  std::map<std::string, coordination::Member> members_;
};

}  // namespace pearreach::gateway

#endif  // PEARREACH_TESTS_TIER_GATEWAY_DOUBLES_H_
