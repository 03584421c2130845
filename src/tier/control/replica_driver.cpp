#include "tier/control/replica_driver.h"

#include <algorithm>
#include <random>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/control/messages.h"
#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

constexpr char kRecordPrefix[] = "chain/";     // of all keys of the replica's records
constexpr Micros kMessageTimeout = 500 * kMs;  // the replica sends again what matters
// A message with an entire configuration may take longer than the replica waits: it is not sent
// again while it is in flight.
constexpr std::size_t kLargeMessage = 64 << 10;
constexpr std::size_t kMaxPendingMessages = 64;      // until the disk is checked
constexpr std::size_t kMinBytesPerSecond = 1 << 20;  // expected of the network, for large messages

std::map<std::string, std::string> RecordsOf(const storage::TableStore& store) {
  const std::string_view prefix = kRecordPrefix;
  std::map<std::string, std::string> records;
  store.ForEach(prefix, [&](std::string_view key, std::string_view value) {
    if (key.substr(0, prefix.size()) == prefix) records.emplace(key, value);
  });
  return records;
}

bool SamePeers(const std::vector<coordination::Peer>& a, const std::vector<coordination::Peer>& b) {
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
      writer_(time, store, std::mt19937_64(seed)(), options.call_timeout,
              [this](const auto& tokens) { OnRecordsSynced(tokens); }),
      snapshots_(snapshots),
      directory_(directory),
      connectivity_(connectivity),
      self_(options.self),
      replica_(std::move(options), RecordsOf(*store), seed, time->Now()),
      timer_(time, [this] { Tick(); }) {
  transport_->Handle(
      rpc::MessageType::kChain, callbacks_.Bind([this](const std::string&, std::string_view body,
                                                       const rpc::Respond& respond) {
        const auto envelope = codec::Decode<ChainEnvelope>(body);
        if (!envelope.ok()) return respond(envelope.status());
        if (envelope->is_heartbeat) return respond(connectivity_->HandleHeartbeat(*envelope));
        respond(std::string());
        connectivity_->disk().RecordPeerDisk(envelope->from, envelope->disk_id, envelope->use);
        Receive(*envelope);
      }));
  connectivity_->disk().SetDisk(self_.disk_id, &writer_);
  snapshots_->Apply(replica_.committed_version(), replica_.committed());
  timer_.Set(replica_.NextTick());
}

ReplicaDriver::~ReplicaDriver() {
  for (auto& [ticket, pending] : pending_changes_) time_->Cancel(&pending.timer);
  for (auto& [ticket, pending] : pending_reads_) time_->Cancel(&pending.timer);
}

bool ReplicaDriver::InView() const {
  const auto& members = replica_.view().members;
  return std::find(members.begin(), members.end(), self_) != members.end();
}

void ReplicaDriver::MembersChanged() {
  if (!pending_messages_.empty() && connectivity_->IsDiskChecked()) SendPendingMessages();
  std::vector<coordination::Peer> peers = directory_->Peers();
  for (coordination::Peer& peer : peers) {
    peer.alive = peer.alive && !connectivity_->IsUnreachable(peer.id.name);
    peer.draining = connectivity_->IsDraining(peer.id.name);
  }
  if (SamePeers(peers, peers_)) return;
  peers_ = peers;
  coordination::Effects effects;
  replica_.SetPeers(time_->Now(), peers, &effects);
  ApplyEffects(std::move(effects));
}

void ReplicaDriver::SetFounders(std::vector<coordination::ReplicaId> founders) {
  coordination::Effects effects;
  replica_.SetFounders(time_->Now(), std::move(founders), &effects);
  ApplyEffects(std::move(effects));
}

void ReplicaDriver::Change(coordination::ChangeRequest request, Micros timeout, ChangeDone done) {
  request.ticket = AddPending(&pending_changes_, timeout, std::move(done));
  coordination::Effects effects;
  replica_.Change(time_->Now(), std::move(request), &effects);
  ApplyEffects(std::move(effects));
}

void ReplicaDriver::Read(Micros timeout, ReadDone done) {
  const std::uint64_t ticket = AddPending(&pending_reads_, timeout, std::move(done));
  coordination::Effects effects;
  replica_.Read(time_->Now(), ticket, &effects);
  ApplyEffects(std::move(effects));
}

void ReplicaDriver::Forget(const coordination::ReplicaId& lost) {
  coordination::Effects effects;
  replica_.Forget(time_->Now(), lost, &effects);
  ApplyEffects(std::move(effects));
}

template <class Result>
std::uint64_t ReplicaDriver::AddPending(PendingCalls<Result>* calls, Micros timeout,
                                        std::function<void(const Result&)> done) {
  const std::uint64_t ticket = ++last_ticket_;
  const Timers::Id timer = time_->After(timeout, [this, calls, ticket] {
    Result timed_out;
    timed_out.ticket = ticket;
    Complete(calls, timed_out);
  });
  (*calls)[ticket] = {std::move(done), timer};
  return ticket;
}

template <class Result>
void ReplicaDriver::Complete(PendingCalls<Result>* calls, const Result& result) {
  auto pending = calls->extract(result.ticket);
  if (pending.empty()) return;
  time_->Cancel(&pending.mapped().timer);
  pending.mapped().done(result);
}

// A message that is dropped here is sent again by its sender, like one that the network loses.
void ReplicaDriver::Receive(const ChainEnvelope& envelope) {
  if (!connectivity_->IsDiskChecked()) return;
  coordination::Effects effects;
  replica_.Receive(time_->Now(), envelope.from, envelope.bytes, &effects);
  ApplyEffects(std::move(effects));
}

void ReplicaDriver::Tick() {
  coordination::Effects effects;
  replica_.Tick(time_->Now(), &effects);
  ApplyEffects(std::move(effects));
}

void ReplicaDriver::ApplyEffects(coordination::Effects effects) {
  for (auto& persist : effects.persists) writer_.Write(std::move(persist));
  for (auto& message : effects.messages) pending_messages_.push_back(std::move(message));
  if (connectivity_->IsDiskChecked()) SendPendingMessages();
  while (pending_messages_.size() > kMaxPendingMessages) pending_messages_.pop_front();
  for (auto& committed : effects.committed) {
    snapshots_->Apply(committed.version, std::move(committed.map));
  }
  timer_.Set(replica_.NextTick());
  for (const auto& result : effects.changes) Complete(&pending_changes_, result);
  for (const auto& result : effects.reads) Complete(&pending_reads_, result);
  if (listener_) listener_();
}

void ReplicaDriver::SendPendingMessages() {
  for (const auto& message : std::exchange(pending_messages_, {})) Send(message);
}

void ReplicaDriver::OnRecordsSynced(const std::vector<std::uint64_t>& tokens) {
  // The peers can learn of this process now that its start is on the disk.
  if (!connectivity_->IsDiskChecked()) connectivity_->SendHeartbeatsNow();
  coordination::Effects effects;
  for (const std::uint64_t token : tokens) replica_.OnPersisted(time_->Now(), token, &effects);
  ApplyEffects(std::move(effects));
}

void ReplicaDriver::Send(const coordination::SendMessage& message) {
  const coordination::Member* member = directory_->Find(message.to);
  if (member == nullptr) return;
  if (message.bytes.size() < kLargeMessage) return SendTo(member->info.address, message);
  const std::pair key(message.to, std::hash<std::string>()(message.bytes));
  if (!large_in_flight_.insert(key).second) return;
  const Micros transfer_time =
      static_cast<Micros>(message.bytes.size()) * kSecond / kMinBytesPerSecond;
  transport_->Call(member->info.address, rpc::MessageType::kChain, Wrap(message.bytes),
                   kMessageTimeout + transfer_time,
                   callbacks_.Bind([this, key](const absl::StatusOr<std::string>&) {
                     large_in_flight_.erase(key);
                   }));
}

// The replica passes a message on once all writes that it rests on are synced, so the receiver
// learns of them from the disk use that goes with it.
std::string ReplicaDriver::Wrap(const std::string& bytes) const {
  return codec::Encode(
      ChainEnvelope{self_.name, bytes, false, false, self_.disk_id, writer_.synced()});
}

void ReplicaDriver::SendTo(const std::string& address, const coordination::SendMessage& message) {
  transport_->Call(address, rpc::MessageType::kChain, Wrap(message.bytes), kMessageTimeout,
                   [](const absl::StatusOr<std::string>&) {});
}

}  // namespace pearreach::control
