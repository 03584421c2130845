// A lot is offered before it is sent: what becomes of it where its stores, or the owner of its
// route's quota, answer late, not at all, or under another epoch.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

#include "common/event_loop/timers.h"
#include "edge_fakes.h"
#include "tier/batch/lot_hand_in.h"
#include "tier/batch/store_client.h"

namespace pearreach::batch {
namespace {

using namespace edge_test;
using rpc::MessageType;

constexpr char kRoute[] = "route";
constexpr char kLot[] = "lot";

class EdgeHandInTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeHandInTest);
  CPPUNIT_TEST(AnswersByTable);
  CPPUNIT_TEST(SendsNothingToAStoreThatDoesNotAnswer);
  CPPUNIT_TEST(RefusesWhatDoesNotFitThoughItsStoresAreSilent);
  CPPUNIT_TEST(AsksNoQuotaWithoutACap);
  CPPUNIT_TEST(ALaterEpochMakesAnUnclearHandInClear);
  CPPUNIT_TEST(TheSameEpochLeavesItUnclear);
  CPPUNIT_TEST(CancelEndsEveryQuestion);
  CPPUNIT_TEST(SendsAtOnceWhereOffersAreOff);
  CPPUNIT_TEST_SUITE_END();

  using Result = std::optional<absl::StatusOr<CreateLotAnswer>>;

  std::shared_ptr<LotHandIn> Begin(double cap = 100, Micros unsent = kSecond) {
    LotSpec lot;
    lot.lot_id = kLot;
    lot.route = kRoute;
    lot.token_cap = cap;
    lot.items.resize(1);
    lot.items[0].tokens = 40;
    CallTime time;
    time.overall = 2 * kSecond;
    time.unsent = unsent;
    auto hand_in = std::make_shared<LotHandIn>(
        &timers_, &stores_, std::move(lot), time, offers_,
        [this](const absl::StatusOr<CreateLotAnswer>& answer) { result_ = answer; });
    hand_in->Start();
    return hand_in;
  }
  void AnswerOffer(OfferVerdict verdict) {
    mesh_.Next(MessageType::kLotOffer).Reply(OfferLotAnswer{verdict});
  }
  void AnswerQuota(QuotaVerdict verdict) {
    mesh_.Next(MessageType::kQuotaQuestion).Reply(QuotaReserveAnswer{verdict, 0});
  }
  bool Ended() {
    return TurnUntil([this] { return result_.has_value(); });
  }
  CreateStatus Status() const { return (*result_)->status; }
  void RaiseEpoch() {
    PlacementTable table = TableOf({"s1", "d"}, {"s0", "d"});
    table.epoch = 2;
    for (Partition& partition : table.partitions) partition.epoch = 2;
    control_.SetTable(table);
  }

  Timers timers_;
  FakeMesh mesh_;
  FakeControl control_;
  StoreClient stores_{&timers_, &mesh_, &control_};
  Result result_;
  bool offers_ = true;

 public:
  void setUp() override {
    control_.AddStore("s0", "d");
    control_.AddStore("s1", "d");
    control_.SetTable(TableOf({"s0", "d"}, {"s1", "d"}));
  }

  void AnswersByTable() {
    const struct {
      const char* what;
      OfferVerdict offer;
      QuotaVerdict quota;
      std::optional<CreateStatus> status;  // none: the lot is sent
    } kCases[] = {
        {"fits", OfferVerdict::kWelcome, QuotaVerdict::kGranted, {}},
        {"quota not known", OfferVerdict::kWelcome, QuotaVerdict::kUnknown, {}},
        {"over", OfferVerdict::kWelcome, QuotaVerdict::kOver, CreateStatus::kOverQuota},
        {"no room", OfferVerdict::kNoRoom, QuotaVerdict::kGranted, CreateStatus::kNoRoom},
        {"known, over by now", OfferVerdict::kKnown, QuotaVerdict::kOver, {}},
    };
    for (const auto& c : kCases) {
      result_.reset();
      mesh_.calls.clear();
      const auto hand_in = Begin();
      AnswerQuota(c.quota);
      AnswerOffer(c.offer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.what, c.status.has_value(), result_.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.what, !c.status.has_value(),
                                   mesh_.Has(MessageType::kLotCreate));
      if (c.status.has_value()) {
        CPPUNIT_ASSERT_MESSAGE(c.what, *c.status == Status());
        continue;
      }
      mesh_.Next(MessageType::kLotCreate).Reply(CreateLotAnswer{});
      CPPUNIT_ASSERT_MESSAGE(c.what, Status() == CreateStatus::kAccepted);
    }
  }

  // The offer goes again, the lot does not go out, and the refusal is a promise.
  void SendsNothingToAStoreThatDoesNotAnswer() {
    const auto hand_in = Begin(100, 250 * kMs);
    AnswerQuota(QuotaVerdict::kGranted);
    mesh_.Next(MessageType::kLotOffer).done(absl::DeadlineExceededError("silence"));
    CPPUNIT_ASSERT(Ended());
    CPPUNIT_ASSERT(absl::IsUnavailable(result_->status()));
    CPPUNIT_ASSERT(mesh_.Has(MessageType::kLotOffer));
    CPPUNIT_ASSERT(!mesh_.Has(MessageType::kLotCreate));
  }

  void RefusesWhatDoesNotFitThoughItsStoresAreSilent() {
    const auto hand_in = Begin();
    AnswerQuota(QuotaVerdict::kOver);
    CPPUNIT_ASSERT(!result_.has_value());
    CPPUNIT_ASSERT(Ended());
    CPPUNIT_ASSERT(result_->ok() && Status() == CreateStatus::kOverQuota);
  }

  void AsksNoQuotaWithoutACap() {
    const auto hand_in = Begin(0);
    CPPUNIT_ASSERT(!mesh_.Has(MessageType::kQuotaQuestion));
    AnswerOffer(OfferVerdict::kWelcome);
    CPPUNIT_ASSERT(mesh_.Has(MessageType::kLotCreate));
  }

  void ALaterEpochMakesAnUnclearHandInClear() {
    const auto hand_in = Begin();
    AnswerQuota(QuotaVerdict::kGranted);
    AnswerOffer(OfferVerdict::kWelcome);
    const FakeCall lost = mesh_.Next(MessageType::kLotCreate);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, lost.As<CreateLot>().partition_epoch);
    lost.done(absl::UnavailableError("connection"));
    RaiseEpoch();
    const FakeCall again = mesh_.Next(MessageType::kLotCreate);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, again.As<CreateLot>().partition_epoch);
    again.Reply(CreateLotAnswer{CreateStatus::kOverQuota, 0});
    CPPUNIT_ASSERT(result_.has_value() && result_->ok());
    CPPUNIT_ASSERT(Status() == CreateStatus::kOverQuota);
  }

  void TheSameEpochLeavesItUnclear() {
    const auto hand_in = Begin();
    AnswerQuota(QuotaVerdict::kGranted);
    AnswerOffer(OfferVerdict::kWelcome);
    mesh_.Next(MessageType::kLotCreate).done(absl::UnavailableError("connection"));
    mesh_.Next(MessageType::kLotCreate).Reply(CreateLotAnswer{CreateStatus::kOverQuota, 0});
    CPPUNIT_ASSERT(result_.has_value());
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(result_->status()));
  }

  void CancelEndsEveryQuestion() {
    const auto hand_in = Begin();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stores_.pending());
    hand_in->Cancel();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores_.pending());
    CPPUNIT_ASSERT(!result_.has_value());
  }

  void SendsAtOnceWhereOffersAreOff() {
    offers_ = false;
    const auto hand_in = Begin();
    CPPUNIT_ASSERT(!mesh_.Has(MessageType::kLotOffer));
    CPPUNIT_ASSERT(mesh_.Has(MessageType::kLotCreate));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeHandInTest);

}  // namespace
}  // namespace pearreach::batch
