// Requests as clients, workers and operators might send them, to the readers in front of the
// tier's calls: requests read the same however they are cut, every call gets one answer, and what
// goes on to a store is within the bounds of a call.
#include <fuzzer/FuzzedDataProvider.h>

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/timers.h"
#include "common/http/http.h"
#include "tier/batch/batch_job_api.h"
#include "tier/batch/edge_fakes.h"
#include "tier/batch/store_client.h"
#include "tier/control/api_router.h"

namespace {

using namespace pearreach;
using batch::edge_test::FakeControl;
using batch::edge_test::FakeExchange;
using batch::edge_test::FakeMesh;

constexpr char kRoutes[] =
    R"({"version_no":1,"routes":[{"name":"bulk","host":"h","path_prefix":"/b/","variant":"bulk",)"
    R"("limit_ms":4000,"target_ms":500,"rank":2,"target":"s","tries":2,"due_ms":8000,)"
    R"("retain_s":40,"token_cap":1000}],"services":[{"name":"s","health_path":"/health"}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_wait_ms":3000,)"
    R"("idle_ms":15000}})";

std::string Seen(const std::vector<std::string_view>& pieces, std::vector<http::Message>* all) {
  http::Parser parser(http::Parser::Kind::kRequest);
  std::string seen;
  for (const std::string_view piece : pieces) {
    parser.Feed(piece);
    http::Parser::State state = parser.Next();
    for (; state == http::Parser::State::kMessage; state = parser.Next()) {
      http::Message message = parser.Take();
      seen += message.method + " " + message.target + "\n";
      for (const auto& header : message.headers) seen += header.name + ":" + header.value + "\n";
      seen += message.body + (message.keep_alive ? "|" : ".");
      if (all != nullptr) all->push_back(std::move(message));
    }
    if (state == http::Parser::State::kBad) return seen + "bad";
  }
  return seen;
}

void CheckAnswered(const FakeExchange& exchange, const FakeMesh& transport) {
  const bool answered = exchange.status != 0;
  if (answered == !transport.calls.empty())
    std::abort();  // refused here, or asked of a store: not both
}

// The first call that a request leads to, if any, is answered by a store that is not there.
void LotCalls(const http::Message& message) {
  Timers timers;
  FakeMesh transport;
  FakeControl control;
  batch::StoreClient stores(&timers, &transport, &control);
  batch::BatchJobApi api(&timers, &stores, &control, {120, 0.1});
  control.AddStore("s0", "d");
  control.SetConfig(kRoutes);
  batch::PlacementTable table;
  table.epoch = 1;
  table.partitions.assign(batch::kPartitions, {1, {{"s0", "d"}}, {}});
  control.SetTable(table);
  auto exchange = std::make_shared<FakeExchange>();
  exchange->message = message;
  if (batch::BatchJobApi::IsBatchJobCall(message)) {
    api.Handle(exchange);
  } else {
    api.Submit(exchange, *control.snapshot->routes->FindRoute("bulk"), std::nullopt);
  }
  CheckAnswered(*exchange, transport);
  for (const auto& call : transport.calls) {
    if (call.timeout <= 0 || call.timeout > 60 * kSecond) std::abort();
  }
  // The client's connection owns a call without a response: closing it releases both.
  if (exchange->closed) exchange->closed();
}

void RoutedCalls(const http::Message& message) {
  control::ApiRouter router;
  int called = 0;
  const auto handle = [&called](const std::shared_ptr<http_server::Exchange>& exchange,
                                const std::string&) {
    ++called;
    exchange->Respond(200, {}, {});
  };
  router.Add("POST", "/Config.Replace", handle);
  router.Add("GET", "/Config.Read", handle);
  router.Add("POST", "/Workers.Heartbeat/*", handle);
  router.Add("POST", "/Retire.Begin/*", handle);
  auto exchange = std::make_shared<FakeExchange>();
  exchange->message = message;
  router.Dispatch(exchange);
  if (exchange->status == 0 || (exchange->status == 200) != (called == 1)) std::abort();
}

void RawRequests(std::string_view bytes) {
  std::vector<http::Message> messages;
  const std::string whole = Seen({bytes}, &messages);
  const std::size_t third = bytes.size() / 3;
  if (Seen({bytes.substr(0, third), bytes.substr(third)}, nullptr) != whole) std::abort();
  if (messages.size() > 4) messages.resize(4);
  for (const http::Message& message : messages) {
    RoutedCalls(message);
    LotCalls(message);
  }
}

// Whole calls, which bytes alone seldom make.
void AnyCall(FuzzedDataProvider* input) {
  static constexpr const char* kMethods[] = {"GET", "POST", "DELETE", "PUT", ""};
  static constexpr const char* kTargets[] = {
      "/lots/",       "/lots/a?start_after=", "/items/a?worker_id=", "/items/", "/b/",
      "/Config.Read", "/Workers.Heartbeat/",  "/Config.Replace",     ""};
  static constexpr const char* kNames[] = {"X-Attempt-Id", "X-Wait-Ms", "X-Deadline-Ms", "Host"};
  static constexpr const char* kValues[] = {"a", "1000", "-1", "nan", "inf", "1e308", "0", ""};
  http::Message message;
  message.method = input->PickValueInArray(kMethods);
  message.target = input->PickValueInArray(kTargets) + input->ConsumeRandomLengthString(24);
  for (int i = input->ConsumeIntegralInRange<int>(0, 3); i > 0; --i) {
    const char* const name = input->PickValueInArray(kNames);
    message.headers.push_back({name, input->ConsumeBool() ? input->PickValueInArray(kValues)
                                                          : input->ConsumeRandomLengthString(12)});
  }
  if (input->ConsumeBool()) {
    message.body = R"({"entries":[{"worker_id":")" + input->ConsumeRandomLengthString(8) +
                   R"(","path":"/b/1","headers":{},"payload":")" +
                   input->ConsumeRandomLengthString(8) + R"(","tokens":)" +
                   input->PickValueInArray(kValues) + "}]}";
  }
  RoutedCalls(message);
  LotCalls(message);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  FuzzedDataProvider input(data, size);
  if (input.ConsumeBool()) {
    AnyCall(&input);
  } else {
    RawRequests(input.ConsumeRemainingBytesAsString());
  }
  return 0;
}
