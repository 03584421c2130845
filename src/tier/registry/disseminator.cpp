#include "tier/registry/disseminator.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::registry {
namespace {

constexpr std::size_t kFanout = 16;              // calls of one node for one dissemination
constexpr Micros kAttemptTimeout = 250 * kMs;    // of one call
constexpr Micros kRetryDelay = 60 * kMs;         // before a node is called again
constexpr Micros kMinAttemptTimeout = 20 * kMs;  // with less left, no call is made
// A relay responds within this part of its call's time, having called its own nodes.
constexpr std::int64_t kRelayBudgetNumerator = 4, kRelayBudgetDenominator = 5;

}  // namespace

struct Disseminator::Run {
  std::string update;  // encoded
  Micros until = 0;    // no call is made after that
  bool confirm = false;
  int open = 0;  // ranges and nodes in flight
  std::vector<std::uint64_t> reached;
  Timers::Id timer = 0;
  Done done;
  control::TimeSource* time = nullptr;

  void Finish(bool all) {
    time->Cancel(&timer);
    if (done) std::exchange(done, nullptr)({reached, all});
  }
  void Close() {
    if (--open == 0) Finish(true);
  }
};

Disseminator::Disseminator(control::TimeSource* time, rpc::Transport* transport, EdgeNodes* nodes,
                           UpdateHandler update_handler)
    : time_(time),
      transport_(transport),
      nodes_(nodes),
      update_handler_(std::move(update_handler)) {
  transport_->Handle(
      rpc::MessageType::kWorkerUpdate,
      callbacks_.Bind([this](const std::string&, std::string_view body,
                             const rpc::Respond& respond) { OnDisseminate(body, respond); }));
}

std::shared_ptr<Disseminator::Run> Disseminator::StartRun(std::string update, Micros budget,
                                                          Micros confirm_timeout, Done done) {
  auto run = std::make_shared<Run>();
  run->update = std::move(update);
  run->until = time_->Now() + budget;
  run->confirm = done != nullptr;
  run->done = std::move(done);
  run->time = time_;
  if (run->confirm)
    run->timer = time_->After(confirm_timeout, callbacks_.Bind([run] {
      run->timer = 0;
      run->Finish(false);
    }));
  return run;
}

void Disseminator::Disseminate(const WorkerUpdate& update, Micros budget, Micros confirm_timeout,
                               Done done) {
  const auto run = StartRun(codec::Encode(update), budget, confirm_timeout, std::move(done));
  EdgeList others = nodes_->Current(time_->Now());
  std::erase_if(others, [this](const EdgeRef& node) { return node->name == nodes_->self(); });
  SendToRanges(run, others);
}

void Disseminator::OnDisseminate(std::string_view body, const rpc::Respond& respond) {
  auto request = codec::Decode<DisseminateRequest>(body);
  if (!request.ok()) return respond(request.status());
  const auto update = codec::Decode<WorkerUpdate>(request->update);
  if (!update.ok()) return respond(update.status());
  update_handler_(*update);
  const EdgeList range = request->last.empty()
                             ? EdgeList()
                             : NodesInRange(nodes_->Recent(time_->Now()), request->first,
                                            request->last, nodes_->self());
  const std::uint64_t self = HashOf(nodes_->self());
  if (!request->confirm) respond(codec::Encode(DisseminateResponse()));
  if (request->confirm && range.empty()) return respond(codec::Encode(DisseminateResponse{{self}}));
  if (range.empty()) return;
  const Micros budget = request->budget_ms * kMs;
  Done done;
  if (request->confirm)
    done = [respond, self](const Coverage& reached) {
      DisseminateResponse response{reached.nodes};
      response.reached.push_back(self);
      respond(codec::Encode(response));
    };
  SendToRanges(StartRun(std::move(request->update), budget, budget, std::move(done)), range);
}

void Disseminator::SendToRanges(const std::shared_ptr<Run>& run, const EdgeList& nodes) {
  ++run->open;  // until all calls are made
  for (EdgeList& range : SplitEvenly(nodes, kFanout)) {
    ++run->open;
    SendToRange(run, std::move(range));
  }
  run->Close();
}

void Disseminator::SendToRange(const std::shared_ptr<Run>& run, EdgeList range) {
  // A suspect may not answer: it is called for itself alone.
  for (auto it = range.begin(); range.size() > 1 && it != range.end();) {
    if (!(*it)->suspect) {
      ++it;
      continue;
    }
    ++run->open;
    SendToNode(run, *it);
    it = range.erase(it);
  }
  if (range.empty()) return run->Close();
  if (range.size() == 1) return SendToNode(run, range.front());
  // Each sender has relays of its own, so that no node relays for all.
  const std::size_t chosen = (HashOf(nodes_->self()) ^ HashOf(range.front()->key)) % range.size();
  const EdgeRef relay = range[chosen];
  DisseminateRequest request;
  request.first = range.front()->key;
  request.last = range.back()->key;
  range.erase(range.begin() + static_cast<std::ptrdiff_t>(chosen));
  const Micros left = run->until - time_->Now();
  const Micros timeout = std::min(left / 2, kAttemptTimeout);
  if (timeout < kMinAttemptTimeout) return;  // stays open: not all nodes have the records
  CallNode(run, relay, std::move(request), timeout,
           [this, run, relay, range](const absl::StatusOr<std::string>& response) {
             OnRangeResponse(run, relay, range, response);
           });
}

void Disseminator::OnRangeResponse(const std::shared_ptr<Run>& run, const EdgeRef& relay,
                                   EdgeList rest, const absl::StatusOr<std::string>& response) {
  if (!response.ok()) {
    ++run->open;
    SendToNode(run, relay);
    return SendToRange(run, std::move(rest));
  }
  if (!run->confirm) return run->Close();
  const auto decoded = codec::Decode<DisseminateResponse>(*response);
  std::unordered_set<std::uint64_t> reached{relay->id};
  if (decoded.ok()) reached.insert(decoded->reached.begin(), decoded->reached.end());
  run->reached.insert(run->reached.end(), reached.begin(), reached.end());
  std::erase_if(rest, [&](const EdgeRef& node) { return reached.contains(node->id); });
  for (const EdgeRef& node : rest) {
    ++run->open;
    SendToNode(run, node);
  }
  run->Close();
}

void Disseminator::SendToNode(const std::shared_ptr<Run>& run, const EdgeRef& node) {
  const Micros timeout = std::min(run->until - time_->Now(), kAttemptTimeout);
  if (timeout < kMinAttemptTimeout) return;  // stays open: not all nodes have the records
  CallNode(run, node, DisseminateRequest(), timeout,
           [this, run, node](const absl::StatusOr<std::string>& response) {
             if (response.ok()) {
               run->reached.push_back(node->id);
               return run->Close();
             }
             time_->After(kRetryDelay,
                          callbacks_.Bind([this, run, node] { SendToNode(run, node); }));
           });
}

void Disseminator::CallNode(const std::shared_ptr<Run>& run, const EdgeRef& to,
                            DisseminateRequest request, Micros timeout, rpc::Done done) {
  request.budget_ms = timeout * kRelayBudgetNumerator / kRelayBudgetDenominator / kMs;
  request.confirm = run->confirm;
  request.update = run->update;
  // A node that came back may listen elsewhere.
  std::string address = nodes_->AddressOf(to->name);
  if (address.empty()) address = to->address;
  transport_->Call(address, rpc::MessageType::kWorkerUpdate, codec::Encode(request), timeout,
                   callbacks_.Bind(std::move(done)));
}

}  // namespace pearreach::registry
