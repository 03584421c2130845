#include "tier/batch/replication_link.h"

#include <algorithm>
#include <utility>

#include "tier/batch/replication.h"
#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

constexpr Micros kStreamTimeout = 1 * kSecond;
constexpr Micros kRepairTimeout = 3 * kSecond;
constexpr Micros kRetryDelay = 150 * kMs;
constexpr Micros kBehindDelay = 40 * kMs;
// About; one operation may be larger.
constexpr std::size_t kMaxStreamMessageBytes = 1 << 20, kMaxRepairMessageBytes = 1 << 16;

}  // namespace

ReplicaLink::ReplicaLink(StoreId peer, LinkOwner* owner, ReplicationEnvironment* environment)
    : peer_(std::move(peer)),
      owner_(owner),
      environment_(environment),
      process_(environment->Random() | 1) {}

ReplicaLink::~ReplicaLink() { environment_->Cancel(&retry_timer_); }

// `body` is moved on, which the linter does not see in a template.
template <class Response>
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void ReplicaLink::Call(rpc::MessageType type, std::string body, Micros timeout,
                       std::function<void(const Response&)> on_accepted) {
  const std::weak_ptr<ReplicaLink> weak = weak_from_this();
  const std::uint64_t generation = generation_;
  environment_->Send(
      peer_, type, std::move(body), timeout,
      [weak, generation, on_accepted = std::move(on_accepted)](absl::StatusOr<std::string> bytes) {
        const auto self = weak.lock();
        if (self == nullptr || self->generation_ != generation) return;
        self->reachable_ = bytes.ok();
        if (!bytes.ok()) {
          self->Retry(kRetryDelay);
          return;
        }
        const auto response = codec::Decode<Response>(*bytes);
        if (!response.ok()) {
          self->Retry(kRetryDelay);
          return;
        }
        if (response->verdict != ReplicaVerdict::kAccepted) {
          self->OnRejected(response->verdict);
          return;
        }
        on_accepted(*response);
      });
}

ReplicaScope ReplicaLink::Scope() const {
  ReplicaScope scope = owner_->Scope(peer_);
  scope.process = process_;
  scope.attempt = attempt_;
  return scope;
}

// The digests cover the state up to `base_sequence_`; all later changes go into the queue and
// follow it. Batch jobs are sent as they are when their turn comes: applying a queued change again
// does no harm.
void ReplicaLink::Synchronise() {
  environment_->Cancel(&retry_timer_);
  ++generation_;
  state_ = State::kSynchronising;
  in_flight_ = false;
  confirmation_wanted_ = false;
  queue_.clear();
  batch_jobs_to_send_.clear();
  batch_jobs_to_erase_.clear();
  base_sequence_ = owner_->last_sequence();
  ++attempt_;
  SendBuckets();
}

void ReplicaLink::SendBuckets() {
  RepairDigest message;
  message.scope = Scope();
  message.buckets = owner_->link_batch_jobs().BucketDigests();
  Call<RepairDigestResponse>(rpc::MessageType::kRepairDigest, codec::Encode(message),
                             kStreamTimeout, [this](const RepairDigestResponse& response) {
                               if (response.differing.empty()) {
                                 OpenStream();
                               } else {
                                 SendBatchJobs(response.differing);
                               }
                             });
}

void ReplicaLink::SendBatchJobs(std::vector<std::uint32_t> buckets) {
  RepairDigest message;
  message.scope = Scope();
  message.batch_jobs = owner_->link_batch_jobs().BatchJobDigests(buckets);
  message.listed = std::move(buckets);
  Call<RepairDigestResponse>(
      rpc::MessageType::kRepairDigest, codec::Encode(message), kRepairTimeout,
      [this](const RepairDigestResponse& response) {
        batch_jobs_to_send_.assign(response.wanted.begin(), response.wanted.end());
        batch_jobs_to_erase_.assign(response.surplus.begin(), response.surplus.end());
        const std::weak_ptr<ReplicaLink> weak = weak_from_this();
        const std::uint64_t generation = generation_;
        // Batch jobs are read from disk: what the digests cover must be there.
        owner_->CommitBarrier([weak, generation](const absl::Status&) {
          const auto self = weak.lock();
          if (self == nullptr || self->generation_ != generation) return;
          self->SendNextRepair();
        });
      });
}

// One chunk at a time, as the store's repair throttle allows.
void ReplicaLink::SendNextRepair() {
  if (batch_jobs_to_send_.empty() && batch_jobs_to_erase_.empty()) {
    OpenStream();
    return;
  }
  const std::weak_ptr<ReplicaLink> weak = weak_from_this();
  const std::uint64_t generation = generation_;
  const bool is_urgent = is_replica || owner_->RepairIsUrgent();
  environment_->ThrottleRepair(is_urgent, [weak, generation](const RepairThrottle::Slot& slot) {
    const auto self = weak.lock();
    const bool wanted = self != nullptr && self->generation_ == generation;
    return wanted ? self->SendRepair(slot) : std::size_t{0};
  });
}

// What is to go first, and by itself: a full disk takes nothing else.
std::size_t ReplicaLink::SendRepair(const RepairThrottle::Slot& slot) {
  Replicate message;
  message.scope = Scope();
  message.fill = true;
  std::size_t bytes = 0;
  const bool erases = !batch_jobs_to_erase_.empty();
  auto& batch_jobs = erases ? batch_jobs_to_erase_ : batch_jobs_to_send_;
  while (!batch_jobs.empty() && bytes < kMaxRepairMessageBytes) {
    message.operations.push_back(
        erases ? MakeErase(batch_jobs.front())
               : owner_->link_batch_jobs().ReadSnapshot(environment_->Disk(), batch_jobs.front()));
    bytes += message.operations.back().Bytes();
    batch_jobs.pop_front();
  }
  auto repair_slot = std::make_shared<RepairThrottle::Slot>(slot);
  Call<ReplicateResponse>(rpc::MessageType::kReplicate, codec::Encode(message), kRepairTimeout,
                          [this, repair_slot](const ReplicateResponse& response) {
                            repair_slot->reset();
                            environment_->SetPeerAvailableBytes(peer_, response.available_bytes);
                            SendNextRepair();
                          });
  return bytes;
}

void ReplicaLink::OpenStream() {
  Replicate message;
  message.scope = Scope();
  message.first = base_sequence_ + 1;
  message.fill = true;
  message.begin = true;
  const Micros sent = environment_->Now();
  Call<ReplicateResponse>(rpc::MessageType::kReplicate, codec::Encode(message), kRepairTimeout,
                          [this, sent](const ReplicateResponse& response) {
                            environment_->SetPeerAvailableBytes(peer_, response.available_bytes);
                            state_ = State::kStreaming;
                            OnAcknowledged(base_sequence_, sent);
                          });
}

void ReplicaLink::Enqueue(std::uint64_t sequence, std::shared_ptr<const Operation> operation) {
  if (state_ == State::kWaiting) return;  // the next synchronisation covers it
  queue_.push_back({sequence, std::move(operation)});
  SendNext();
}

void ReplicaLink::RequestConfirmation() {
  confirmation_wanted_ = true;
  SendNext();
}

void ReplicaLink::SendNext() {
  if (state_ != State::kStreaming || in_flight_ || retry_timer_ != 0) return;
  if (queue_.empty() && !confirmation_wanted_) return;
  Replicate message;
  message.scope = Scope();
  message.first = acknowledged_ + 1;
  std::uint64_t last = acknowledged_;
  std::size_t bytes = 0;
  for (const Queued& queued : queue_) {
    if (bytes >= kMaxStreamMessageBytes) break;
    message.operations.push_back(*queued.operation);
    bytes += queued.operation->Bytes();
    last = queued.sequence;
  }
  in_flight_ = true;
  confirmation_wanted_ = false;
  const Micros sent = environment_->Now();
  Call<ReplicateResponse>(rpc::MessageType::kReplicate, codec::Encode(message),
                          bytes < kMaxStreamMessageBytes / 4 ? kStreamTimeout : kRepairTimeout,
                          [this, last, sent](const ReplicateResponse& response) {
                            environment_->SetPeerAvailableBytes(peer_, response.available_bytes);
                            in_flight_ = false;
                            OnAcknowledged(last, sent);
                          });
}

void ReplicaLink::OnAcknowledged(std::uint64_t last, Micros sent) {
  acknowledged_ = last;
  confirmed_at_ = std::max(confirmed_at_, sent);
  while (!queue_.empty() && queue_.front().sequence <= last) queue_.pop_front();
  const auto keep_alive = shared_from_this();  // the owner may drop this link
  owner_->OnLinkAdvanced();
  SendNext();
}

void ReplicaLink::OnRejected(ReplicaVerdict verdict) {
  if (verdict == ReplicaVerdict::kStale) environment_->RefreshTable();
  if (verdict == ReplicaVerdict::kSuperseded) process_ = environment_->Random() | 1;
  if (verdict == ReplicaVerdict::kUnsynchronised || verdict == ReplicaVerdict::kSuperseded) {
    state_ = State::kWaiting;
    queue_.clear();
  }
  Retry(verdict == ReplicaVerdict::kStale ? kRetryDelay : kBehindDelay);
}

// In the stream the same call goes again: the peer knows by the sequence what it has. An unfinished
// synchronisation starts anew.
void ReplicaLink::Retry(Micros delay) {
  in_flight_ = false;
  confirmation_wanted_ = state_ == State::kStreaming;
  if (state_ != State::kStreaming) {
    state_ = State::kWaiting;
    queue_.clear();
    ++generation_;
  }
  environment_->Cancel(&retry_timer_);
  const std::weak_ptr<ReplicaLink> weak = weak_from_this();
  retry_timer_ = environment_->After(delay, [weak] {
    const auto self = weak.lock();
    if (self != nullptr) self->OnRetry();
  });
}

void ReplicaLink::OnRetry() {
  retry_timer_ = 0;
  if (state_ == State::kStreaming) {
    SendNext();
  } else {
    Synchronise();
  }
}

}  // namespace pearreach::batch
