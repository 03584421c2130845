#include "tier/batch/lot_hand_in.h"

#include <algorithm>
#include <string>
#include <utility>

#include "tier/batch/disk_room.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kModule[] = "batch";
// A question that is not answered within this goes again: several times the way to a store and on
// to its replicas, and a small part of the second that clients wait.
constexpr Micros kQuestionTime = 300 * kMs;

double TokensOf(const LotSpec& lot) {
  double tokens = 0;
  for (const ItemSpec& item : lot.items) tokens += item.tokens;
  return tokens;
}

}  // namespace

LotHandIn::LotHandIn(Timers* timers, StoreClient* stores, LotSpec lot, CallTime time, bool offers,
                     Done done)
    : timers_(timers),
      stores_(stores),
      lot_(std::move(lot)),
      began_(Now()),
      time_(time),
      offers_(offers),
      done_(std::move(done)) {}

LotHandIn::~LotHandIn() { Cancel(); }

void LotHandIn::Start() {
  if (!offers_) return Create();
  const Micros unsent = time_.unsent > 0 ? time_.unsent : time_.overall;
  give_up_timer_ = timers_->After(unsent, [this] {
    give_up_timer_ = 0;
    const auto self = shared_from_this();
    GiveUp();
  });
  if (lot_.token_cap > 0)
    AskQuota();
  else
    fits_ = QuotaVerdict::kGranted;
  Offer();
}

void LotHandIn::Cancel() {
  done_ = nullptr;
  timers_->Cancel(&give_up_timer_);
  timers_->Cancel(&offer_timer_);
  for (StoreClient::CallId* call : {&offer_call_, &quota_call_, &create_call_})
    stores_->Cancel(std::exchange(*call, 0));
}

CallTime LotHandIn::QuestionTime() const {
  CallTime time;
  time.overall = std::max<Micros>(began_ + time_.overall - Now(), 0);
  time.attempt = kQuestionTime;
  return time;
}

void LotHandIn::Offer() {
  OfferLot offer;
  offer.lot_id = lot_.lot_id;
  offer.disk_bytes = LotBytes(lot_);
  offer_call_ =
      stores_->Offer(std::move(offer), QuestionTime(),
                     [self = weak_from_this()](const absl::StatusOr<OfferLotAnswer>& answer) {
                       if (const auto hand_in = self.lock()) hand_in->OnOffer(answer);
                     });
}

void LotHandIn::AskQuota() {
  QuotaQuestion question{lot_.route, lot_.lot_id, TokensOf(lot_), lot_.token_cap};
  quota_call_ = stores_->AskQuota(
      std::move(question), QuestionTime(),
      [self = weak_from_this()](const absl::StatusOr<QuotaReserveAnswer>& answer) {
        if (const auto hand_in = self.lock()) hand_in->OnQuota(answer);
      });
}

void LotHandIn::OnOffer(const absl::StatusOr<OfferLotAnswer>& answer) {
  offer_call_ = 0;
  if (!answer.ok()) return;  // its time is over: GiveUp comes
  offer_ = answer->verdict;
  Decide();
}

// A question that the owner cannot answer for sure is left to the reservation.
void LotHandIn::OnQuota(const absl::StatusOr<QuotaReserveAnswer>& answer) {
  quota_call_ = 0;
  if (!answer.ok()) return;
  fits_ = answer->verdict;
  retry_after_ms_ = answer->retry_after_ms;
  Decide();
}

void LotHandIn::Decide() {
  if (create_call_ != 0 || done_ == nullptr) return;
  if (offer_ == OfferVerdict::kKnown) return Create();
  if (offer_ == OfferVerdict::kNoRoom) return Finish(CreateLotAnswer{CreateStatus::kNoRoom, 0});
  if (!fits_.has_value()) return;
  if (!offer_.has_value()) return AwaitOffer();
  if (IsOver()) return RefuseOverQuota();
  Create();
}

// A lot that does not fit is refused also where the stores that would keep it do not answer. They
// are given a moment, since one that was taken before is acknowledged again.
void LotHandIn::AwaitOffer() {
  if (!IsOver() || offer_timer_ != 0) return;
  offer_timer_ = timers_->After(kQuestionTime, [this] {
    offer_timer_ = 0;
    const auto self = shared_from_this();
    if (!offer_.has_value()) RefuseOverQuota();
  });
}

void LotHandIn::Create() {
  timers_->Cancel(&give_up_timer_);
  timers_->Cancel(&offer_timer_);
  stores_->Cancel(std::exchange(quota_call_, 0));
  const Micros spent = Now() - began_;
  CallTime time = time_;
  time.overall = std::max<Micros>(time.overall - spent, 0);
  if (time.unsent > 0) time.unsent = std::max<Micros>(time.unsent - spent, 1);
  create_call_ =
      stores_->Create(std::move(lot_), time,
                      [self = weak_from_this()](const absl::StatusOr<CreateLotAnswer>& answer) {
                        const auto hand_in = self.lock();
                        if (hand_in == nullptr) return;
                        hand_in->create_call_ = 0;
                        hand_in->Finish(answer);
                      });
}

void LotHandIn::RefuseOverQuota() {
  Finish(CreateLotAnswer{CreateStatus::kOverQuota, retry_after_ms_});
}

void LotHandIn::GiveUp() {
  const char* why = fits_.has_value() ? "its stores do not all answer" : "the quota is not known";
  logging::Info(kModule, "lot refused",
                {logging::F("lot", lot_.lot_id), logging::F("why", why),
                 logging::F("partition", PartitionOf(lot_.lot_id)),
                 logging::F("waited_ms", (Now() - began_) / kMs)});
  Finish(absl::UnavailableError(why));
}

void LotHandIn::Finish(const absl::StatusOr<CreateLotAnswer>& answer) {
  const Done done = std::exchange(done_, nullptr);
  Cancel();
  if (done != nullptr) done(answer);
}

}  // namespace pearreach::batch
