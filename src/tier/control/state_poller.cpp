#include "tier/control/state_poller.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/control/poll_server.h"

namespace pearreach::control {
namespace {

constexpr Micros kPollTimeout = kPollHold + kSecond;
constexpr Micros kRetryAfterFailure = 300 * kMs;
constexpr Micros kMinHold = 100 * kMs;  // an empty answer before that counts as a failure

bool Same(const Contact& a, const Contact& b) { return a.address == b.address; }

}  // namespace

StatePoller::StatePoller(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots,
                         const MemberDirectory* directory)
    : time_(time), transport_(transport), snapshots_(snapshots), directory_(directory) {}

StatePoller::~StatePoller() { time_->Cancel(&retry_timer_); }

void StatePoller::SetActive(bool active) {
  if (active_ == active) return;
  active_ = active;
  Refresh();
}

bool StatePoller::Passed(const std::string& address) const {
  const auto found = failed_.find(address);
  return found != failed_.end() && found->second > time_->Now();
}

std::vector<Contact> StatePoller::Wanted() const {
  std::vector<Contact> wanted;
  for (Contact& contact : directory_->AllContacts()) {
    if (wanted.size() == slots_.size()) break;
    if (!Passed(contact.address)) wanted.push_back(std::move(contact));
  }
  return wanted;
}

void StatePoller::Refresh() {
  std::vector<Contact> wanted = active_ ? Wanted() : std::vector<Contact>();
  for (Slot& slot : slots_) {
    if (slot.call == 0) continue;
    const auto kept = std::find_if(wanted.begin(), wanted.end(),
                                   [&](const Contact& c) { return Same(c, slot.contact); });
    if (kept == wanted.end()) {
      slot.call = 0;  // what it still answers is taken all the same
    } else {
      wanted.erase(kept);
    }
  }
  for (Slot& slot : slots_) {
    if (slot.call != 0 || wanted.empty()) continue;
    slot.contact = std::move(wanted.front());
    wanted.erase(wanted.begin());
    Ask(&slot);
  }
}

void StatePoller::Ask(Slot* slot) {
  const auto current = snapshots_->current();
  slot->call = ++last_call_;
  slot->asked = time_->Now();
  const PollRequest request{current->version, RevisionsOf(*current), true};
  transport_->Call(
      slot->contact.address, rpc::MessageType::kControlPoll, codec::Encode(request), kPollTimeout,
      callbacks_.Bind([this, call = slot->call,
                       address = slot->contact.address](absl::StatusOr<std::string> answer) {
        Answered(call, address, std::move(answer));
      }));
}

void StatePoller::Answered(std::uint64_t call, const std::string& address,
                           absl::StatusOr<std::string> answer) {
  absl::StatusOr<StateUpdate> update =
      answer.ok() ? codec::Decode<StateUpdate>(*answer) : answer.status();
  const bool present = update.ok() && update->present;
  const bool failed_call = !update.ok();
  if (present) snapshots_->Apply(*std::move(update));
  const auto slot =
      std::find_if(slots_.begin(), slots_.end(), [&](const Slot& s) { return s.call == call; });
  if (slot == slots_.end()) return;
  const bool failed = failed_call || (!present && time_->Now() - slot->asked < kMinHold);
  slot->call = 0;
  if (failed) Fail(address);
  Refresh();
}

void StatePoller::Fail(const std::string& address) {
  const Micros now = time_->Now();
  std::erase_if(failed_, [&](const auto& entry) { return entry.second <= now; });
  failed_[address] = now + kRetryAfterFailure;
  ArmRetry();
}

void StatePoller::ArmRetry() {
  if (retry_timer_ != 0) return;
  retry_timer_ = time_->After(kRetryAfterFailure, [this] {
    retry_timer_ = 0;
    if (active_) Refresh();
    const Micros now = time_->Now();
    std::erase_if(failed_, [&](const auto& entry) { return entry.second <= now; });
    if (!failed_.empty()) ArmRetry();
  });
}

}  // namespace pearreach::control
