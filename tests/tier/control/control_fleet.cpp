#include "tier/control/control_fleet.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <utility>

#include "tier/control/sample_config.h"

namespace pearreach::control {
namespace {

constexpr Micros kOperatorWay = 500;       // between an operator and a machine
constexpr Micros kOperatorWait = kSecond;  // operators move on after a second of silence
constexpr Micros kOperatorPause = 100 * kMs;

class ApiCall : public FakeExchange {
 public:
  using Answered = std::function<void(int, const std::string&)>;
  ApiCall(const std::string& method, const std::string& target, Micros arrived, Answered answered)
      : FakeExchange(method, target, arrived), answered_(std::move(answered)) {}
  void Respond(int given, std::vector<http::Header> with, std::string_view bytes) override {
    FakeExchange::Respond(given, std::move(with), bytes);
    if (answered_) std::exchange(answered_, nullptr)(given, std::string(bytes));
  }

 private:
  Answered answered_;
};

bool IsClear(int status) { return status >= 200 && status < 500 && status != 408 && status != 429; }

}  // namespace

// ---------------------------------------------------------------- what operators were told

Order* OrderBook::Add(std::int64_t version, std::int64_t parent, std::string body) {
  orders_.push_back(std::make_unique<Order>(Order{version, parent, std::move(body)}));
  return orders_.back().get();
}

void OrderBook::OnAnswer(Order* order, int status) {
  const std::string what = fmt::format("version {} on {}", order->version, order->parent);
  if (status == 200) {
    if (order->refused) Find(what + ": acknowledged after it was refused");
    const auto [winner, first] = winners_.try_emplace(order->parent, order);
    if (winner->second != order) Find(what + ": two changes of one parent are acknowledged");
    if (!first) {
      ++repeated_;
    } else {
      ++acknowledged_;
    }
    order->acknowledged = true;
    newest_ = std::max(newest_, order->version);
    OnInForce("acknowledged", order->version, order->body);
  } else if (IsClear(status)) {
    if (order->acknowledged) Find(what + ": refused after it was acknowledged");
    order->refused = true;
    ++refused_;
    refused_bodies_.insert(order->body);
    const auto known = in_force_.find(order->version);
    if (known != in_force_.end() && known->second == order->body) {
      Find(what + ": refused though it was in force");
    }
  }
}

void OrderBook::OnInForce(const std::string& where, std::int64_t version, const std::string& body) {
  const auto [known, first] = in_force_.try_emplace(version, body);
  if (!first && known->second != body) {
    Find(fmt::format("{}: two configurations under version {}", where, version));
  }
  if (refused_bodies_.count(body) > 0) {
    Find(fmt::format("{}: version {} is in force, though it was refused", where, version));
  }
}

// ---------------------------------------------------------------- machines

ControlFleet::ControlFleet(const FleetOptions& options) : options_(options), random_(options.seed) {
  if (options.loss > 0) network_.SetLoss(options.loss, options.seed);
  for (int i = 0; i < options.members + options.plain; ++i) Add(i < options.members);
  for (std::size_t i = 0; i < machines_.size(); ++i) Start(i);
}

ControlFleet::~ControlFleet() {
  for (std::size_t i = 0; i < machines_.size(); ++i) Stop(i);
}

std::size_t ControlFleet::Add(bool is_member) {
  const std::size_t number = machines_.size();
  auto machine = std::make_unique<Machine>();
  machine->name = "n" + std::to_string(10 + number);
  machine->ip = "10.0.0." + std::to_string(number);
  machine->is_member = is_member;
  if (is_member) {
    machine->disk =
        std::make_unique<VirtualDisk>(&time_, "d" + std::to_string(++disks_), options_.sync_time);
  }
  machines_.push_back(std::move(machine));
  return number;
}

std::string ControlFleet::AddressOf(std::size_t machine) const {
  return machines_[machine]->ip + ":7000";
}

settings::NodeSettings ControlFleet::SettingsOf(const Machine& machine) const {
  settings::NodeSettings settings;
  settings.node_name = machine.name;
  settings.ip = machine.ip;
  settings.port_range = {7000, 7015};
  for (const std::size_t seed : seeds_) {
    if (seed < machines_.size()) settings.seed_nodes.push_back(machines_[seed]->ip + ":80");
  }
  settings.serves = {"edge", "control"};
  settings.quorum_member = machine.is_member;
  settings.bootstrap = machine.bootstrap;
  settings.tolerance.machines = options_.tolerance;
  return settings;
}

void ControlFleet::Start(std::size_t number) {
  Machine& machine = *machines_[number];
  if (machine.node != nullptr || machine.gone) return;
  machine.floor = book_.newest();
  machine.transport = std::make_unique<VirtualTransport>(&network_, AddressOf(number));
  machine.node = std::make_unique<ControlNode>(std::make_unique<VirtualTimeSource>(&time_),
                                               machine.transport.get(), machine.disk.get(),
                                               SettingsOf(machine), ++incarnation_);
  machine.bootstrap = false;
  machine.api = std::make_unique<ConfigApi>(machine.node.get(), [this] { return time_.now(); });
  machine.router = std::make_unique<ApiRouter>();
  machine.api->Register(machine.router.get());
  Watch(&machine);
  // As the program does: the contents go, and the platform starts the next process.
  machine.node->OnDiskRolledBack([this, number] {
    ++old_disks_found_;
    time_.After(0, [this, number] {
      Stop(number);
      Wipe(number);
      time_.After(500 * kMs, [this, number] { Start(number); });
    });
  });
}

// Nothing older comes into force than was in force here before, in an earlier process too, nor than
// what was acknowledged before the process started.
void ControlFleet::Watch(Machine* machine) {
  machine->node->OnChange([this, machine] {
    const auto snapshot = machine->node->Current();
    const std::int64_t version = snapshot->routes ? snapshot->routes->version() : 0;
    if (version < machine->in_force) {
      book_.Find(fmt::format("{}: version {} is in force after {}", machine->name, version,
                             machine->in_force));
    }
    if (version < machine->floor) {
      book_.Find(fmt::format("{}: version {} is in force, started after the acknowledgement of {}",
                             machine->name, version, machine->floor));
    }
    machine->in_force = std::max(machine->in_force, version);
    if (version > 0) book_.OnInForce(machine->name, version, snapshot->config_json);
  });
}

void ControlFleet::Stop(std::size_t number) {
  Machine& machine = *machines_[number];
  machine.router.reset();
  machine.api.reset();
  machine.node.reset();
  machine.transport.reset();
}

void ControlFleet::LosePower(std::size_t number) {
  Stop(number);
  if (machines_[number]->disk != nullptr) machines_[number]->disk->LosePower();
}

void ControlFleet::Wipe(std::size_t number) {
  Machine& machine = *machines_[number];
  if (machine.disk == nullptr || machine.node != nullptr) return;
  machine.lost_disks.push_back(std::move(machine.disk));
  machine.disk =
      std::make_unique<VirtualDisk>(&time_, "d" + std::to_string(++disks_), options_.sync_time);
}

void ControlFleet::CopyDisk(std::size_t number) {
  machines_[number]->copy = machines_[number]->disk->Copy();
}

void ControlFleet::PutBackDisk(std::size_t number) {
  if (!IsUp(number)) machines_[number]->disk->PutBack(machines_[number]->copy);
}

std::size_t ControlFleet::Replace(std::size_t number) {
  Stop(number);
  machines_[number]->gone = true;
  return AddMember();
}

std::size_t ControlFleet::AddMember() {
  const std::size_t next = Add(true);
  machines_[next]->bootstrap = false;
  return next;
}

Micros ControlFleet::LeaveForGood(std::size_t number, Micros grace) {
  constexpr Micros kLeaveTime = 300 * kMs;  // for the word of it to go out
  const Micros begin = time_.now();
  node(number).PrepareToShutDown();
  RunUntil(grace - kLeaveTime, [&] { return node(number).MayShutDown(); });
  node(number).Leave();
  RunFor(kLeaveTime);
  Stop(number);
  machines_[number]->gone = true;
  return time_.now() - begin;
}

void ControlFleet::CutOff(const std::set<std::size_t>& island,
                          const std::set<std::size_t>& others) {
  for (const std::size_t a : island) {
    for (const std::size_t b : others) {
      if (island.count(b) == 0) network_.Partition(AddressOf(a), AddressOf(b));
    }
  }
}

std::vector<std::size_t> ControlFleet::Members() const {
  std::vector<std::size_t> members;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i]->is_member && !machines_[i]->gone) members.push_back(i);
  }
  return members;
}

std::vector<std::size_t> ControlFleet::Plain() const {
  std::vector<std::size_t> plain;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (!machines_[i]->is_member && !machines_[i]->gone) plain.push_back(i);
  }
  return plain;
}

bool ControlFleet::RunUntil(Micros span, const std::function<bool()>& done) {
  const Micros end = time_.now() + span;
  while (time_.now() < end && book_.findings().empty()) {
    if (done()) return true;
    time_.RunFor(10 * kMs);
  }
  return done();
}

bool ControlFleet::IsAtFullStrength() const {
  const std::vector<std::size_t> members = Members();
  const coordination::View* view = nullptr;
  for (const std::size_t i : members) {
    if (machines_[i]->node == nullptr) return false;
    const coordination::View* known = machines_[i]->node->view();
    if (view == nullptr || known->epoch > view->epoch) view = known;
  }
  if (view == nullptr || view->members.size() != members.size()) return false;
  return std::all_of(members.begin(), members.end(), [&](std::size_t i) {
    const Machine& machine = *machines_[i];
    const coordination::ReplicaId id{machine.name, machine.disk->disk_id()};
    const bool listed =
        std::find(view->members.begin(), view->members.end(), id) != view->members.end();
    return listed && machine.node->Current()->version.epoch == view->epoch;
  });
}

std::string ControlFleet::Describe() const {
  std::string text = fmt::format("at {} ms", time_.now() / kMs);
  for (const std::size_t i : Members()) {
    const Machine& machine = *machines_[i];
    text += fmt::format("; {}:{}", machine.name, machine.disk->disk_id());
    if (machine.node == nullptr) {
      text += " down";
      continue;
    }
    const auto snapshot = machine.node->Current();
    text += fmt::format(" state {}.{} view {} of", snapshot->version.epoch,
                        snapshot->version.sequence, machine.node->view()->epoch);
    for (const auto& id : machine.node->view()->members) text += " " + id.name + ":" + id.disk_id;
  }
  return text;
}

std::optional<std::size_t> ControlFleet::Head() const {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i]->node != nullptr && machines_[i]->node->IsSingletonRoleCandidate()) return i;
  }
  return std::nullopt;
}

// ---------------------------------------------------------------- operators' calls

std::string ControlFleet::NewBody(std::int64_t version) {
  std::string body = SampleConfig(static_cast<int>(version));
  const std::string limit = "\"limit_ms\":1000";
  return body.replace(body.find(limit), limit.size(),
                      fmt::format("\"limit_ms\":{}", 1000 + ++bodies_));
}

void ControlFleet::Call(std::size_t number, const std::string& method, const std::string& target,
                        const std::string& body, std::int64_t parent, Answered answered) {
  time_.After(kOperatorWay, [=, this, answered = std::move(answered)] {
    Machine& machine = *machines_[number];
    if (machine.router == nullptr) return answered(0, "");
    auto call = std::make_shared<ApiCall>(method, target, time_.now(), answered);
    call->mutable_request().body = body;
    call->mutable_request().headers.push_back({"x-parent-version", std::to_string(parent)});
    machine.router->Dispatch(call);
  });
}

void ControlFleet::SendOrder(std::size_t machine, Order* order, Answered answered) {
  Call(machine, "POST", "/Config.Replace", order->body, order->parent,
       [this, order, answered = std::move(answered)](int status, const std::string& body) {
         book_.OnAnswer(order, status);
         answered(status, body);
       });
}

// No machine, in touch or not, may show an older one than was acknowledged before the question.
void ControlFleet::ReadConfig(std::size_t machine, Answered answered) {
  const std::int64_t floor = book_.newest();
  Call(machine, "GET", "/Config.Read", "", 0,
       [this, floor, answered = std::move(answered)](int status, const std::string& body) {
         std::int64_t version = 0;
         if (status == 200) {
           rapidjson::Document document;
           document.Parse(body.data(), body.size());
           version = document["version_no"].GetInt64();
           book_.OnInForce("read", version, body);
         }
         if ((status == 200 || status == 404) && version < floor) {
           book_.Find(
               fmt::format("version {} is read after the acknowledgement of {}", version, floor));
         }
         answered(status, body);
       });
}

int ControlFleet::SendUntilClear(Order* order, Micros span) {
  const Micros end = time_.now() + span;
  const auto clear = std::make_shared<int>(0);
  while (time_.now() < end && *clear == 0 && book_.findings().empty()) {
    const std::size_t machine =
        std::uniform_int_distribution<std::size_t>(0, machines_.size() - 1)(random_);
    if (!IsUp(machine)) continue;
    const auto answered = std::make_shared<bool>(false);
    SendOrder(machine, order, [clear, answered](int status, const std::string&) {
      *answered = true;
      if (IsClear(status)) *clear = status;
    });
    const Micros wait = time_.now() + kOperatorWait;
    while (time_.now() < wait && !*answered) time_.RunFor(5 * kMs);
    if (*clear == 0) time_.RunFor(kOperatorPause);
  }
  return *clear;
}

bool ControlFleet::TakesAnother(Micros span) {
  const Micros end = time_.now() + span;
  while (time_.now() < end) {
    const std::int64_t parent = book_.newest();
    const std::int64_t version = parent + 1 + static_cast<std::int64_t>(bodies_ % 3);
    Order* order = book_.Add(version, parent, NewBody(version));
    const int status = SendUntilClear(order, end - time_.now());
    if (status == 200) return true;
    if (status != 412) return false;
    // An order without a clear answer has come into force: the newest is known by a read.
    const auto read = std::make_shared<std::int64_t>(0);
    for (std::size_t i = 0; i < machines_.size() && *read == 0; ++i) {
      if (!IsUp(i)) continue;
      ReadConfig(i, [read](int status_of_read, const std::string& body) {
        if (status_of_read != 200) return;
        rapidjson::Document document;
        document.Parse(body.data(), body.size());
        *read = document["version_no"].GetInt64();
      });
      time_.RunFor(kSecond);
    }
    if (*read > parent) {
      for (const auto& earlier : book_.orders()) {
        if (earlier->version == *read && !earlier->refused) SendUntilClear(earlier.get(), kSecond);
      }
    }
  }
  return false;
}

}  // namespace pearreach::control
