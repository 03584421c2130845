// A lot is offered before it is sent: what becomes of it where its stores, or the owner of its
// route's quota, answer late, not at all, or under another epoch.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

#include "common/event_loop/timers.h"
#include "edge_fakes.h"
#include "tier/batch/batch_job_submission.h"
#include "tier/batch/store_client.h"

namespace pearreach::batch {
namespace {

using namespace edge_test;
using rpc::MessageType;

constexpr char kRoute[] = "route";
constexpr char kBatchJob[] = "lot";

class EdgeBatchJobSubmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeBatchJobSubmissionTest);
  CPPUNIT_TEST(DecidesByOfferAndQuota);
  CPPUNIT_TEST(SendsNothingToAnUnresponsiveStore);
  CPPUNIT_TEST(RejectsOverQuotaThoughStoresAreUnresponsive);
  CPPUNIT_TEST(QueriesNoQuotaWithoutACap);
  CPPUNIT_TEST(ALaterEpochSettlesAnUncertainSubmission);
  CPPUNIT_TEST(TheSameEpochLeavesItUncertain);
  CPPUNIT_TEST(CancelEndsEveryCall);
  CPPUNIT_TEST(CreatesAtOnceWithoutOffers);
  CPPUNIT_TEST_SUITE_END();

  using Result = std::optional<absl::StatusOr<CreateBatchJobResponse>>;

  std::shared_ptr<BatchJobSubmission> StartSubmission(double cap = 100, Micros unsent = kSecond) {
    BatchJobSpec batch_job;
    batch_job.batch_job_id = kBatchJob;
    batch_job.route = kRoute;
    batch_job.token_cap = cap;
    batch_job.items.resize(1);
    batch_job.items[0].tokens = 40;
    CallTime time;
    time.overall = 2 * kSecond;
    time.unsent = unsent;
    auto submission = std::make_shared<BatchJobSubmission>(
        &timers_, &stores_, std::move(batch_job), time, offers_,
        [this](const absl::StatusOr<CreateBatchJobResponse>& response) { result_ = response; });
    submission->Start();
    return submission;
  }
  void RespondToOffer(OfferVerdict verdict) {
    transport_.Next(MessageType::kBatchJobAdmission).Reply(OfferBatchJobResponse{verdict});
  }
  void RespondToQuotaQuery(QuotaDecision verdict) {
    transport_.Next(MessageType::kQuotaQuery).Reply(QuotaResponse{verdict, 0});
  }
  bool WaitForResult() {
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
  FakeMesh transport_;
  FakeControl control_;
  StoreClient stores_{&timers_, &transport_, &control_};
  Result result_;
  bool offers_ = true;

 public:
  void setUp() override {
    control_.AddStore("s0", "d");
    control_.AddStore("s1", "d");
    control_.SetTable(TableOf({"s0", "d"}, {"s1", "d"}));
  }

  void DecidesByOfferAndQuota() {
    const struct {
      const char* what;
      OfferVerdict offer;
      QuotaDecision quota;
      std::optional<CreateStatus> status;  // none: the lot is sent
    } kCases[] = {
        {"fits", OfferVerdict::kWelcome, QuotaDecision::kGranted, {}},
        {"quota not known", OfferVerdict::kWelcome, QuotaDecision::kUnknown, {}},
        {"over", OfferVerdict::kWelcome, QuotaDecision::kOver, CreateStatus::kOverQuota},
        {"no room", OfferVerdict::kInsufficientCapacity, QuotaDecision::kGranted,
         CreateStatus::kInsufficientCapacity},
        {"known, over by now", OfferVerdict::kKnown, QuotaDecision::kOver, {}},
    };
    for (const auto& c : kCases) {
      result_.reset();
      transport_.calls.clear();
      const auto submission = StartSubmission();
      RespondToQuotaQuery(c.quota);
      RespondToOffer(c.offer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.what, c.status.has_value(), result_.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.what, !c.status.has_value(),
                                   transport_.Has(MessageType::kBatchJobCreate));
      if (c.status.has_value()) {
        CPPUNIT_ASSERT_MESSAGE(c.what, *c.status == Status());
        continue;
      }
      transport_.Next(MessageType::kBatchJobCreate).Reply(CreateBatchJobResponse{});
      CPPUNIT_ASSERT_MESSAGE(c.what, Status() == CreateStatus::kAccepted);
    }
  }

  // The offer goes again, the lot does not go out, and the refusal is a promise.
  void SendsNothingToAnUnresponsiveStore() {
    const auto submission = StartSubmission(100, 250 * kMs);
    RespondToQuotaQuery(QuotaDecision::kGranted);
    transport_.Next(MessageType::kBatchJobAdmission).done(absl::DeadlineExceededError("silence"));
    CPPUNIT_ASSERT(WaitForResult());
    CPPUNIT_ASSERT(absl::IsUnavailable(result_->status()));
    CPPUNIT_ASSERT(transport_.Has(MessageType::kBatchJobAdmission));
    CPPUNIT_ASSERT(!transport_.Has(MessageType::kBatchJobCreate));
  }

  void RejectsOverQuotaThoughStoresAreUnresponsive() {
    const auto submission = StartSubmission();
    RespondToQuotaQuery(QuotaDecision::kOver);
    CPPUNIT_ASSERT(!result_.has_value());
    CPPUNIT_ASSERT(WaitForResult());
    CPPUNIT_ASSERT(result_->ok() && Status() == CreateStatus::kOverQuota);
  }

  void QueriesNoQuotaWithoutACap() {
    const auto submission = StartSubmission(0);
    CPPUNIT_ASSERT(!transport_.Has(MessageType::kQuotaQuery));
    RespondToOffer(OfferVerdict::kWelcome);
    CPPUNIT_ASSERT(transport_.Has(MessageType::kBatchJobCreate));
  }

  void ALaterEpochSettlesAnUncertainSubmission() {
    const auto submission = StartSubmission();
    RespondToQuotaQuery(QuotaDecision::kGranted);
    RespondToOffer(OfferVerdict::kWelcome);
    const FakeCall lost = transport_.Next(MessageType::kBatchJobCreate);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, lost.As<CreateBatchJob>().partition_epoch);
    lost.done(absl::UnavailableError("connection"));
    RaiseEpoch();
    const FakeCall again = transport_.Next(MessageType::kBatchJobCreate);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, again.As<CreateBatchJob>().partition_epoch);
    again.Reply(CreateBatchJobResponse{CreateStatus::kOverQuota, 0});
    CPPUNIT_ASSERT(result_.has_value() && result_->ok());
    CPPUNIT_ASSERT(Status() == CreateStatus::kOverQuota);
  }

  void TheSameEpochLeavesItUncertain() {
    const auto submission = StartSubmission();
    RespondToQuotaQuery(QuotaDecision::kGranted);
    RespondToOffer(OfferVerdict::kWelcome);
    transport_.Next(MessageType::kBatchJobCreate).done(absl::UnavailableError("connection"));
    transport_.Next(MessageType::kBatchJobCreate)
        .Reply(CreateBatchJobResponse{CreateStatus::kOverQuota, 0});
    CPPUNIT_ASSERT(result_.has_value());
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(result_->status()));
  }

  void CancelEndsEveryCall() {
    const auto submission = StartSubmission();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stores_.pending());
    submission->Cancel();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores_.pending());
    CPPUNIT_ASSERT(!result_.has_value());
  }

  void CreatesAtOnceWithoutOffers() {
    offers_ = false;
    const auto submission = StartSubmission();
    CPPUNIT_ASSERT(!transport_.Has(MessageType::kBatchJobAdmission));
    CPPUNIT_ASSERT(transport_.Has(MessageType::kBatchJobCreate));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeBatchJobSubmissionTest);

}  // namespace
}  // namespace pearreach::batch
