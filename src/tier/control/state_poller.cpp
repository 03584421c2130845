#include "tier/control/state_poller.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/control/poll_server.h"

namespace pearreach::control {
namespace {

constexpr Micros kPollTimeout = kMaxPollWait + kSecond;
constexpr Micros kRetryAfterFailure = 300 * kMs;
constexpr Micros kMinPollWait = 100 * kMs;  // an empty response before that counts as a failure

bool SameAddress(const Contact& a, const Contact& b) { return a.address == b.address; }

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

bool StatePoller::IsBackedOff(const std::string& address) const {
  const auto found = backed_off_until_.find(address);
  return found != backed_off_until_.end() && found->second > time_->Now();
}

std::vector<Contact> StatePoller::ChooseContacts() const {
  std::vector<Contact> chosen;
  for (Contact& contact : directory_->AllContacts()) {
    if (chosen.size() == slots_.size()) break;
    if (!IsBackedOff(contact.address)) chosen.push_back(std::move(contact));
  }
  return chosen;
}

void StatePoller::Refresh() {
  std::vector<Contact> chosen = active_ ? ChooseContacts() : std::vector<Contact>();
  for (Slot& slot : slots_) {
    if (slot.call == 0) continue;
    const auto kept = std::find_if(chosen.begin(), chosen.end(),
                                   [&](const Contact& c) { return SameAddress(c, slot.contact); });
    if (kept == chosen.end()) {
      slot.call = 0;  // its response is applied nevertheless
    } else {
      chosen.erase(kept);
    }
  }
  for (Slot& slot : slots_) {
    if (slot.call != 0 || chosen.empty()) continue;
    slot.contact = std::move(chosen.front());
    chosen.erase(chosen.begin());
    SendPoll(&slot);
  }
}

void StatePoller::SendPoll(Slot* slot) {
  const auto current = snapshots_->current();
  slot->call = ++last_call_;
  slot->sent_at = time_->Now();
  const PollRequest request{current->version, RevisionsOf(*current), true};
  transport_->Call(
      slot->contact.address, rpc::MessageType::kControlPoll, codec::Encode(request), kPollTimeout,
      callbacks_.Bind([this, call = slot->call,
                       address = slot->contact.address](absl::StatusOr<std::string> response) {
        OnResponse(call, address, std::move(response));
      }));
}

void StatePoller::OnResponse(std::uint64_t call, const std::string& address,
                             absl::StatusOr<std::string> response) {
  absl::StatusOr<StateUpdate> update =
      response.ok() ? codec::Decode<StateUpdate>(*response) : response.status();
  const bool present = update.ok() && update->present;
  const bool failed_call = !update.ok();
  if (present) snapshots_->Apply(*std::move(update));
  const auto slot =
      std::find_if(slots_.begin(), slots_.end(), [&](const Slot& s) { return s.call == call; });
  if (slot == slots_.end()) return;
  const bool failed = failed_call || (!present && time_->Now() - slot->sent_at < kMinPollWait);
  slot->call = 0;
  if (failed) BackOff(address);
  Refresh();
}

void StatePoller::BackOff(const std::string& address) {
  const Micros now = time_->Now();
  std::erase_if(backed_off_until_, [&](const auto& entry) { return entry.second <= now; });
  backed_off_until_[address] = now + kRetryAfterFailure;
  StartRetryTimer();
}

void StatePoller::StartRetryTimer() {
  if (retry_timer_ != 0) return;
  retry_timer_ = time_->After(kRetryAfterFailure, [this] {
    retry_timer_ = 0;
    if (active_) Refresh();
    const Micros now = time_->Now();
    std::erase_if(backed_off_until_, [&](const auto& entry) { return entry.second <= now; });
    if (!backed_off_until_.empty()) StartRetryTimer();
  });
}

}  // namespace pearreach::control
