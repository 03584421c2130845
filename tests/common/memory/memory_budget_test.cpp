// The budget of the memory that is held for clients: what fits, who gives memory back.
#include "common/memory/memory_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <utility>

namespace pearreach::memory {
namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr std::size_t kLimit = 16 * kMegabyte, kSmall = 4 << 10;

class Holder final : public MemoryReclaimer {
 public:
  Holder(std::shared_ptr<MemoryBudget> budget, std::size_t bytes)
      : budget_(std::move(budget)), charge_(budget_, ChargeKind::kConnection) {
    charge_.Set(bytes);
    budget_->Register(this);
  }
  ~Holder() override { budget_->Unregister(this); }
  std::size_t ReclaimableBytes() const override { return charge_.bytes(); }
  void Reclaim(std::size_t, const void* except) override {
    if (except != this) charge_.Set(0);
  }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  MemoryCharge charge_;
};

std::shared_ptr<MemoryBudget> Budget() { return std::make_shared<MemoryBudget>(kLimit); }

TEST(MemoryBudget, CountsWhatIsChargedUntilItGoes) {
  const auto budget = Budget();
  {
    MemoryCharge charge(budget, ChargeKind::kConnection);
    charge.Set(100);
    charge.Set(40);
    MemoryCharge other = std::move(charge);
    EXPECT_EQ(budget->used(), 40u);
    EXPECT_EQ(other.bytes(), 40u);
    MemoryCharge third(budget, ChargeKind::kRequest);
    third.Set(7);
    third = std::move(other);
    EXPECT_EQ(budget->used(), 40u);
  }
  EXPECT_EQ(budget->used(), 0u);
}

TEST(MemoryBudget, LeavesRoomForSmallRequestsBesideLargeOnes) {
  const auto budget = Budget();
  auto first = budget->Admit(6 * kMegabyte), second = budget->Admit(6 * kMegabyte);
  ASSERT_TRUE(first.has_value() && second.has_value());
  EXPECT_FALSE(budget->Admit(6 * kMegabyte).has_value());
  EXPECT_FALSE(budget->HasRoom() && budget->Admit(kMegabyte).has_value());
  EXPECT_TRUE(budget->Admit(kSmall).has_value());
  first.reset();
  EXPECT_TRUE(budget->Admit(6 * kMegabyte).has_value());
}

TEST(MemoryBudget, RefusesSmallRequestsOnceAllIsUsed) {
  const auto budget = Budget();
  MemoryCharge all(budget, ChargeKind::kRequest);
  all.Set(kLimit);
  EXPECT_FALSE(budget->Admit(kSmall).has_value());
}

TEST(MemoryBudget, AdmitsARequestLargerThanItselfWhereItIsAlone) {
  const auto budget = Budget();
  auto large = budget->Admit(2 * kLimit);
  ASSERT_TRUE(large.has_value());
  EXPECT_FALSE(budget->Admit(kMegabyte).has_value());
}

TEST(MemoryBudget, ConnectionsGiveWayToRequests) {
  const auto budget = Budget();
  const Holder holder(budget, kLimit);
  EXPECT_TRUE(budget->Admit(6 * kMegabyte).has_value());
  EXPECT_EQ(holder.ReclaimableBytes(), 0u);
}

TEST(MemoryBudget, TheGrowingConnectionIsAskedLast) {
  const auto budget = Budget();
  const Holder standing(budget, 10 * kMegabyte), growing(budget, 4 * kMegabyte);
  EXPECT_TRUE(budget->Keep(4 * kMegabyte, &growing));
  EXPECT_EQ(standing.ReclaimableBytes(), 0u);
  EXPECT_EQ(growing.ReclaimableBytes(), 4 * kMegabyte);
}

TEST(MemoryBudget, AConnectionGivesWayWhereOnlyRequestsAreLeft) {
  const auto budget = Budget();
  MemoryCharge requests(budget, ChargeKind::kRequest);
  requests.Set(10 * kMegabyte);
  const Holder growing(budget, 4 * kMegabyte);
  EXPECT_FALSE(budget->Keep(4 * kMegabyte, &growing));
}

TEST(MemoryBudget, ReceiveBuffersFitTheirShare) {
  constexpr int kMemoryMb = 260;
  const int few = ReceiveBufferBytes(kMemoryMb, 100), many = ReceiveBufferBytes(kMemoryMb, 1700);
  EXPECT_GT(few, many);
  EXPECT_LE(static_cast<std::size_t>(many) * 1700, ClientMemoryBytes(kMemoryMb));
  EXPECT_EQ(ClientMemoryBytes(kMemoryMb), 65 * kMegabyte);
  EXPECT_GT(ClientMemoryBytes(0), 0u);
}

}  // namespace
}  // namespace pearreach::memory
