#include "tier/control/replica_driver.h"

#include <algorithm>
#include <random>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/control/messages.h"
#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

constexpr char kRecordPrefix[] = "chain/";     // all keys of the replica begin so
constexpr Micros kMessageTimeout = 500 * kMs;  // the replica repeats what matters
// A message of a whole configuration may take longer than the replica waits: it is not sent again
// while it is on its way.
constexpr std::size_t kLargeMessage = 64 << 10;
constexpr std::size_t kMaxHeld = 64;
constexpr std::size_t kMinBytesPerSecond = 1 << 20;

std::map<std::string, std::string> RecordsOf(const storage::TableStore& store) {
  const std::string_view prefix = kRecordPrefix;
  std::map<std::string, std::string> records;
  store.ForEach(prefix, [&](std::string_view key, std::string_view value) {
    if (key.substr(0, prefix.size()) == prefix) records.emplace(key, value);
  });
  return records;
}

std::string Enveloped(const std::string& self, const std::string& bytes) {
  return codec::Encode(ChainEnvelope{self, bytes, false, false, {}, {}});
}

bool Same(const std::vector<coordination::Peer>& a, const std::vector<coordination::Peer>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
    return x.id == y.id && x.alive == y.alive && x.draining == y.draining && x.zone == y.zone &&
           x.region == y.region;
  });
}

}  // namespace

ReplicaDriver::ReplicaDriver(TimeSource* time, rpc::Transport* transport,
                             storage::TableStore* store, SnapshotStore* snapshots,
                             const MemberDirectory* directory, QuorumConnectivity* connectivity,
                             coordination::ChainOptions options, std::uint64_t seed)
    : time_(time),
      transport_(transport),
      writer_(time, store, std::mt19937_64(seed)(),
              [this](const auto& tokens) { Written(tokens); }),
      snapshots_(snapshots),
      directory_(directory),
      connectivity_(connectivity),
      self_(options.self),
      replica_(std::move(options), RecordsOf(*store), seed, time->Now()),
      timer_(time, [this] { Tick(); }) {
  transport_->Handle(rpc::MessageType::kChain,
                     callbacks_.Bind([this](const std::string&, std::string_view body,
                                            const rpc::Respond& respond) {
                       const auto envelope = codec::Decode<ChainEnvelope>(body);
                       if (!envelope.ok()) return respond(envelope.status());
                       if (envelope->sign) return respond(connectivity_->Sign(*envelope));
                       respond(std::string());
                       Receive(*envelope);
                     }));
  connectivity_->disk().SetDisk(self_.disk_id, &writer_);
  snapshots_->Apply(replica_.committed_version(), replica_.committed());
  timer_.Set(replica_.NextTick());
}

ReplicaDriver::~ReplicaDriver() {
  for (auto& [ticket, waiting] : changes_) time_->Cancel(&waiting.timer);
  for (auto& [ticket, waiting] : reads_) time_->Cancel(&waiting.timer);
}

bool ReplicaDriver::InView() const {
  const auto& members = replica_.view().members;
  return std::find(members.begin(), members.end(), self_) != members.end();
}

void ReplicaDriver::MembersChanged() {
  if (!held_.empty() && connectivity_->IsDiskChecked()) SendHeld();
  std::vector<coordination::Peer> peers = directory_->Peers();
  for (coordination::Peer& peer : peers) {
    peer.alive = peer.alive && !connectivity_->IsLost(peer.id.name);
    peer.draining = connectivity_->IsLeaving(peer.id.name);
  }
  if (Same(peers, peers_)) return;
  peers_ = peers;
  coordination::Effects effects;
  replica_.SetPeers(time_->Now(), peers, &effects);
  CarryOut(std::move(effects));
}

void ReplicaDriver::SetFounders(std::vector<coordination::ReplicaId> founders) {
  coordination::Effects effects;
  replica_.SetFounders(time_->Now(), std::move(founders), &effects);
  CarryOut(std::move(effects));
}

void ReplicaDriver::Change(coordination::ChangeRequest request, Micros timeout, ChangeDone done) {
  const std::uint64_t ticket = ++last_ticket_;
  request.ticket = ticket;
  const Timers::Id timer = time_->After(timeout, [this, ticket] {
    coordination::ChangeResult late;
    late.ticket = ticket;
    Finish(late);
  });
  changes_[ticket] = {std::move(done), timer};
  coordination::Effects effects;
  replica_.Change(time_->Now(), std::move(request), &effects);
  CarryOut(std::move(effects));
}

void ReplicaDriver::Read(Micros timeout, ReadDone done) {
  const std::uint64_t ticket = ++last_ticket_;
  const Timers::Id timer = time_->After(timeout, [this, ticket] {
    coordination::ReadResult late;
    late.ticket = ticket;
    Finish(late);
  });
  reads_[ticket] = {std::move(done), timer};
  coordination::Effects effects;
  replica_.Read(time_->Now(), ticket, &effects);
  CarryOut(std::move(effects));
}

void ReplicaDriver::Finish(const coordination::ChangeResult& result) {
  auto waiting = changes_.extract(result.ticket);
  if (waiting.empty()) return;
  time_->Cancel(&waiting.mapped().timer);
  waiting.mapped().done(result);
}

void ReplicaDriver::Finish(const coordination::ReadResult& result) {
  auto waiting = reads_.extract(result.ticket);
  if (waiting.empty()) return;
  time_->Cancel(&waiting.mapped().timer);
  waiting.mapped().done(result);
}

// What is lost here is sent again, as on the network.
void ReplicaDriver::Receive(const ChainEnvelope& envelope) {
  if (!connectivity_->IsDiskChecked()) return;
  coordination::Effects effects;
  replica_.Receive(time_->Now(), envelope.from, envelope.bytes, &effects);
  CarryOut(std::move(effects));
}

void ReplicaDriver::Tick() {
  coordination::Effects effects;
  replica_.Tick(time_->Now(), &effects);
  CarryOut(std::move(effects));
}

void ReplicaDriver::CarryOut(coordination::Effects effects) {
  for (auto& persist : effects.persists) writer_.Write(std::move(persist));
  for (auto& message : effects.messages) held_.push_back(std::move(message));
  if (connectivity_->IsDiskChecked()) SendHeld();
  while (held_.size() > kMaxHeld) held_.pop_front();
  for (auto& committed : effects.committed) {
    snapshots_->Apply(committed.version, std::move(committed.map));
  }
  timer_.Set(replica_.NextTick());
  for (const auto& result : effects.changes) Finish(result);
  for (const auto& result : effects.reads) Finish(result);
  if (listener_) listener_();
}

void ReplicaDriver::SendHeld() {
  for (const auto& message : std::exchange(held_, {})) Send(message);
}

void ReplicaDriver::Written(const std::vector<std::uint64_t>& tokens) {
  if (!connectivity_->IsDiskChecked())
    connectivity_->AskAgain();  // the others can be told of this process now
  coordination::Effects effects;
  for (const std::uint64_t token : tokens) replica_.OnPersisted(time_->Now(), token, &effects);
  CarryOut(std::move(effects));
}

void ReplicaDriver::Send(const coordination::SendMessage& message) {
  const coordination::Member* member = directory_->Find(message.to);
  if (member == nullptr) return;
  if (message.bytes.size() < kLargeMessage) return SendTo(member->info.address, message);
  const std::pair key(message.to, std::hash<std::string>()(message.bytes));
  if (!large_under_way_.insert(key).second) return;
  const Micros way = static_cast<Micros>(message.bytes.size()) * kSecond / kMinBytesPerSecond;
  transport_->Call(member->info.address, rpc::MessageType::kChain,
                   Enveloped(self_.name, message.bytes), kMessageTimeout + way,
                   callbacks_.Bind([this, key](const absl::StatusOr<std::string>&) {
                     large_under_way_.erase(key);
                   }));
}

void ReplicaDriver::SendTo(const std::string& address, const coordination::SendMessage& message) {
  transport_->Call(address, rpc::MessageType::kChain, Enveloped(self_.name, message.bytes),
                   kMessageTimeout, [](const absl::StatusOr<std::string>&) {});
}

}  // namespace pearreach::control
