#include "chain_cluster.h"

#include <algorithm>
#include <utility>

namespace pearreach::coordination {
namespace {

constexpr Micros kDetectDown = 800 * kMillisecond;

std::string Text(const Version& version) {
  return std::to_string(version.epoch) + "." + std::to_string(version.sequence);
}

}  // namespace

void History::OnEntry(const std::string& where, const std::string& key, std::uint64_t revision,
                      const std::string& value) {
  const auto [known, added] = values_.try_emplace({key, revision}, value);
  if (!added && known->second != value) {
    AddFinding(where + ": two values of " + key + " at revision " + std::to_string(revision));
  }
  seen_values_.insert(value);
  if (refused_.count(value) > 0) AddFinding(where + ": a refused change is in force: " + value);
}

void History::OnAcknowledged(const std::string& key, std::uint64_t revision,
                             const std::string& value) {
  ++commits_;
  OnEntry("acknowledged", key, revision, value);
  floor_[key] = std::max(floor_[key], revision);
  acknowledged_[key] = std::max(acknowledged_[key], revision);
}

void History::OnRefused(const std::string& value) {
  refused_.insert(value);
  if (seen_values_.count(value) > 0) AddFinding("refused though in force: " + value);
}

void History::OnMap(const std::string& where, const Version& version, const Map& map) {
  std::size_t content = 0;
  for (const auto& [key, entry] : map) {
    OnEntry(where, key, entry.revision, entry.value);
    content = content * 31 + std::hash<std::string>()(key + "=" + entry.value);
  }
  const auto [known, added] = contents_.try_emplace(version, content);
  if (!added && known->second != content)
    AddFinding(where + ": two maps of version " + Text(version));
}

void History::OnReadDone(const std::string& where, const Revisions& floor, const Map& map) {
  ++reads_;
  for (const auto& [key, revision] : floor) {
    const auto found = map.find(key);
    const std::uint64_t seen = found == map.end() ? 0 : found->second.revision;
    if (seen < revision) AddFinding(where + ": a strict read is too old");
  }
  for (const auto& [key, entry] : map) floor_[key] = std::max(floor_[key], entry.revision);
}

ChainCluster::ChainCluster(const ClusterOptions& options)
    : options_(options), random_(options.seed) {
  constexpr std::size_t kMaxFounders = 3;
  for (int i = 0; i < options.machines; ++i) {
    const std::string name = Add();
    machine(name).bootstrap = true;
    if (founders_.size() < kMaxFounders) founders_.push_back({name, machine(name).disk_id});
  }
}

std::vector<std::string> ChainCluster::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, machine] : machines_) {
    if (!machine.gone) names.push_back(name);
  }
  return names;
}

std::string ChainCluster::Add() {
  const std::string name = "n" + std::to_string(10 + names_++);
  Machine& machine = machines_[name];
  machine.name = name;
  machine.disk_id = "d" + std::to_string(++disks_);
  At(now_ + Between(0, 300 * kMillisecond), [this, name] { Start(name); });
  return name;
}

void ChainCluster::At(Micros time, std::function<void()> what) {
  events_.push({std::max(time, now_), ++order_, std::move(what)});
}

void ChainCluster::Start(const std::string& name) {
  Machine& machine = machines_.at(name);
  if (machine.up() || machine.gone) return;
  ChainOptions options;
  options.self = {name, machine.disk_id};
  options.bootstrap = machine.bootstrap;
  options.tolerance.machines = options_.tolerance;
  machine.incarnation = ++incarnations_;
  machine.frozen = false;
  machine.changed = now_;
  machine.greatest = {};
  machine.peers.clear();
  machine.replica = std::make_unique<ChainReplica>(options, machine.disk, random_(), now_);
  if (machine.bootstrap) {
    At(now_ + Between(100, 900) * kMillisecond, [this, name, incarnation = machine.incarnation] {
      if (machines_.at(name).incarnation != incarnation) return;
      Call(name, [this](ChainReplica& replica, Effects* out) {
        replica.SetFounders(now_, founders_, out);
      });
    });
  }
  machine.bootstrap = false;
  SchedulePeerUpdates();
}

void ChainCluster::Crash(const std::string& name) {
  Machine& machine = machines_.at(name);
  if (!machine.up()) return;
  machine.replica.reset();
  machine.thaw.clear();
  machine.frozen = false;
  machine.incarnation = ++incarnations_;
  machine.changed = now_;
  while (!machine.writes.empty() && RandomFraction() < 0.5) {
    for (auto& [key, value] : machine.writes.front().records) machine.disk[key] = value;
    machine.writes.pop_front();
  }
  machine.writes.clear();
  SchedulePeerUpdates();
}

void ChainCluster::Wipe(const std::string& name) {
  Machine& machine = machines_.at(name);
  machine.disk.clear();
  machine.disk_id = "d" + std::to_string(++disks_);
}

std::string ChainCluster::Replace(const std::string& name) {
  Crash(name);
  machines_.at(name).gone = true;
  return Add();
}

void ChainCluster::Freeze(const std::string& name) {
  Machine& machine = machines_.at(name);
  if (!machine.up()) return;
  machine.frozen = true;
  machine.changed = now_;
  SchedulePeerUpdates();
}

void ChainCluster::Thaw(const std::string& name) {
  Machine& machine = machines_.at(name);
  if (!machine.frozen) return;
  machine.frozen = false;
  machine.changed = now_;
  const auto waiting = std::exchange(machine.thaw, {});
  for (const auto& what : waiting) At(now_, what);
  SchedulePeerUpdates();
}

void ChainCluster::Heal() {
  blocked_links_.clear();
  SchedulePeerUpdates();
}

bool ChainCluster::Reaches(const std::string& from, const std::string& to) const {
  return blocked_links_.count({from, to}) == 0;
}

void ChainCluster::SchedulePeerUpdates() {
  for (const auto& [name, machine] : machines_) {
    At(now_ + Between(50, 300) * kMillisecond, [this, name = name] { UpdatePeers(name); });
    At(now_ + Between(1000, 1600) * kMillisecond, [this, name = name] { UpdatePeers(name); });
  }
}

void ChainCluster::UpdatePeers(const std::string& observer) {
  Machine& machine = machines_.at(observer);
  if (!machine.up() || machine.frozen) return;
  std::vector<Peer> peers;
  for (const auto& [name, other] : machines_) {
    if (name == observer) continue;
    const bool down = !other.up() || other.frozen;
    auto known = machine.peers.find(name);
    if (!down && Reaches(name, observer) && Reaches(observer, name)) {
      machine.peers[name] = {{name, other.disk_id}, true, {}, {}};
    } else if (known != machine.peers.end() && now_ - other.changed >= kDetectDown) {
      known->second.alive = false;
    }
    known = machine.peers.find(name);
    if (known != machine.peers.end()) peers.push_back(known->second);
  }
  Call(observer, [&](ChainReplica& replica, Effects* out) { replica.SetPeers(now_, peers, out); });
}

void ChainCluster::MisreportDead(const std::string& observer, const std::string& peer) {
  Machine& machine = machines_.at(observer);
  if (!machine.up() || machine.frozen || machine.peers.count(peer) == 0) return;
  machine.peers[peer].alive = false;
  std::vector<Peer> peers;
  for (const auto& [name, known] : machine.peers) peers.push_back(known);
  Call(observer, [&](ChainReplica& replica, Effects* out) { replica.SetPeers(now_, peers, out); });
  At(now_ + Between(200, 2000) * kMillisecond, [this, observer] { UpdatePeers(observer); });
}

void ChainCluster::Call(const std::string& name,
                        const std::function<void(ChainReplica&, Effects*)>& call) {
  Machine& machine = machines_.at(name);
  if (!machine.up()) return;
  Effects effects;
  call(*machine.replica, &effects);
  ApplyEffects(&machine, std::move(effects));
}

void ChainCluster::ApplyEffects(Machine* machine, Effects effects) {
  for (const Persist& persist : effects.persists) StartWrite(machine, persist);
  for (const SendMessage& message : effects.messages) Deliver(machine->name, message);
  for (const Committed& committed : effects.committed) {
    history_.OnMap(machine->name, committed.version, *committed.map);
    maps_.emplace(committed.version, committed.map);
  }
  const Version version = machine->replica->committed_version();
  if (version < machine->greatest) history_.AddFinding(machine->name + ": the version went back");
  machine->greatest = version;
  for (const ChangeResult& result : effects.changes) {
    const auto change = changes_.find(result.ticket);
    if (change == changes_.end()) continue;
    results_[change->second.value] = result;
    if (result.status == ChangeStatus::kCommitted) {
      if (result.revision != change->second.expected + 1) history_.AddFinding("a wrong revision");
      history_.OnAcknowledged(change->second.key, result.revision, change->second.value);
    } else if (result.status != ChangeStatus::kUnavailable) {
      history_.OnRefused(change->second.value);
    }
    changes_.erase(change);
  }
  for (const ReadResult& result : effects.reads) {
    const auto read = reads_.find(result.ticket);
    if (read == reads_.end()) continue;
    if (result.ok) {
      history_.OnReadDone(machine->name, read->second, *result.map);
      history_.OnMap(machine->name, result.version, *result.map);
    }
    reads_.erase(read);
  }
}

void ChainCluster::Deliver(const std::string& from, const SendMessage& message) {
  ++sent_;
  if (machines_.count(message.to) == 0) {
    history_.AddFinding("a message to nobody: " + message.to);
    return;
  }
  if (!Reaches(from, message.to)) return;
  const int copies = 1 + (RandomFraction() < options_.doubling ? 1 : 0);
  for (int i = 0; i < copies; ++i) {
    if (RandomFraction() < options_.loss) continue;
    Micros delay = Between(500, 8 * kMillisecond);
    if (RandomFraction() < options_.late) delay = Between(50, 3000) * kMillisecond;
    auto receive = [this, from, to = message.to, bytes = message.bytes] {
      Call(to,
           [&](ChainReplica& replica, Effects* out) { replica.Receive(now_, from, bytes, out); });
    };
    At(now_ + delay, [this, to = message.to, receive] {
      Machine& machine = machines_.at(to);
      if (machine.frozen) {
        machine.thaw.push_back(receive);
      } else {
        receive();
      }
    });
  }
}

void ChainCluster::StartWrite(Machine* machine, const Persist& persist) {
  Micros span = Between(1, 12) * kMillisecond;
  if (options_.slow_disks && RandomFraction() < 0.05) span = Between(100, 1500) * kMillisecond;
  Micros done = now_ + span;
  if (!machine->writes.empty()) done = std::max(done, machine->writes.back().done);
  machine->writes.push_back({done, persist.token, persist.records});
  At(done, [this, name = machine->name, incarnation = machine->incarnation, token = persist.token] {
    OnWritten(name, incarnation, token);
  });
}

void ChainCluster::OnWritten(const std::string& name, std::uint64_t incarnation,
                             std::uint64_t token) {
  Machine& machine = machines_.at(name);
  if (machine.incarnation != incarnation || !machine.up()) return;
  if (machine.frozen) {
    machine.thaw.push_back(
        [this, name, incarnation, token] { OnWritten(name, incarnation, token); });
    return;
  }
  while (!machine.writes.empty() && machine.writes.front().token <= token) {
    for (auto& [key, value] : machine.writes.front().records) machine.disk[key] = value;
    machine.writes.pop_front();
  }
  Call(name, [&](ChainReplica& replica, Effects* out) { replica.OnPersisted(now_, token, out); });
}

Micros ChainCluster::NextTick() const {
  Micros next = INT64_MAX;
  for (const auto& [name, machine] : machines_) {
    if (machine.up() && !machine.frozen) next = std::min(next, machine.replica->NextTick());
  }
  return next;
}

void ChainCluster::Tick() {
  for (auto& [name, machine] : machines_) {
    if (!machine.up() || machine.frozen || machine.replica->NextTick() > now_) continue;
    ++ticks_;
    Call(name, [&](ChainReplica& replica, Effects* out) { replica.Tick(now_, out); });
    if (machine.replica->NextTick() <= now_) history_.AddFinding(name + ": ticks without an end");
  }
}

bool ChainCluster::RunUntil(Micros span, const std::function<bool()>& done) {
  const Micros end = now_ + span;
  while (history_.findings().empty()) {
    if (done()) return true;
    const Micros event = events_.empty() ? INT64_MAX : events_.top().time;
    const Micros next = std::max(now_, std::min(event, NextTick()));
    if (next > end) break;
    now_ = next;
    if (event <= now_) {
      const auto what = events_.top().what;
      events_.pop();
      what();
    } else {
      Tick();
    }
  }
  now_ = std::max(now_, end);
  return done();
}

void ChainCluster::RunFor(Micros span) {
  RunUntil(span, [] { return false; });
}

std::string ChainCluster::SubmitChange(const std::string& name, const std::string& key,
                                       std::uint64_t expected) {
  const std::string value = key + "#" + std::to_string(++values_);
  SubmitRequest(name, {0, key, expected, value, {}});
  return value;
}

void ChainCluster::SubmitRequest(const std::string& name, ChangeRequest request) {
  if (!machines_.at(name).up() || machines_.at(name).frozen) return;
  request.ticket = ++tickets_;
  changes_[request.ticket] = {request.key, request.value, request.expected};
  Call(name, [&](ChainReplica& replica, Effects* out) { replica.Change(now_, request, out); });
}

void ChainCluster::SubmitRead(const std::string& name) {
  if (!machines_.at(name).up() || machines_.at(name).frozen) return;
  const std::uint64_t ticket = ++tickets_;
  reads_[ticket] = history_.floor();
  Call(name, [&](ChainReplica& replica, Effects* out) { replica.Read(now_, ticket, out); });
}

std::optional<ChangeResult> ChainCluster::ResultOf(const std::string& value) const {
  const auto found = results_.find(value);
  if (found == results_.end()) return std::nullopt;
  return found->second;
}

std::string ChainCluster::HeadName() const {
  const View* greatest = nullptr;
  for (const auto& [name, machine] : machines_) {
    if (!machine.up()) continue;
    const View& view = machine.replica->view();
    if (!greatest || view.epoch > greatest->epoch) greatest = &view;
  }
  return greatest && !greatest->members.empty() ? greatest->members.front().name : "";
}

bool ChainCluster::IsRepaired() const {
  if (!blocked_links_.empty()) return false;
  const View* greatest = nullptr;
  for (const auto& [name, machine] : machines_) {
    if (!machine.up()) continue;
    const View& view = machine.replica->view();
    if (!greatest || view.epoch > greatest->epoch) greatest = &view;
  }
  if (!greatest || greatest->epoch == 0) return false;
  if (greatest->members.size() != Names().size()) return false;
  for (const ReplicaId& member : greatest->members) {
    const Machine& machine = machines_.at(member.name);
    if (!machine.up() || machine.frozen || machine.disk_id != member.disk_id) return false;
    if (machine.replica->committed_version().epoch != greatest->epoch) return false;
  }
  return true;
}

bool ChainCluster::CommitsWithin(Micros span) {
  const Micros end = now_ + span;
  while (now_ < end && history_.findings().empty()) {
    const std::string head = HeadName();
    if (head.empty() || !machines_.at(head).up()) {
      RunFor(200 * kMillisecond);
      continue;
    }
    const auto map = machines_.at(head).replica->committed();
    const auto entry = map ? map->find("probe") : Map::const_iterator();
    const bool found = map && entry != map->end();
    const std::string value = SubmitChange(head, "probe", found ? entry->second.revision : 0);
    RunUntil(2 * kSecond, [&] { return ResultOf(value).has_value(); });
    const auto result = ResultOf(value);
    if (result && result->status == ChangeStatus::kCommitted) return true;
    RunFor(100 * kMillisecond);
  }
  return false;
}

}  // namespace pearreach::coordination
