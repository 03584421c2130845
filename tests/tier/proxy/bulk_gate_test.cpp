// BulkGate admits requests in FIFO order up to its limit and loses none.
#include "tier/proxy/bulk_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace pearreach::proxy {
namespace {

class BulkGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BulkGateTest);
  CPPUNIT_TEST(OnlyTheAllowancePassesAndTheRestInOrder);
  CPPUNIT_TEST(OneThatWithdrawsIsPassedOver);
  CPPUNIT_TEST(ALargerAllowanceAdmitsAtOnceAndOneAlwaysPasses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OnlyTheAllowancePassesAndTheRestInOrder() {
    gate_.SetLimit(2);
    CPPUNIT_ASSERT(Acquire(1));
    CPPUNIT_ASSERT(Acquire(2));
    CPPUNIT_ASSERT(!Acquire(3));
    CPPUNIT_ASSERT(!Acquire(4));
    gate_.Release();
    CPPUNIT_ASSERT((admitted_ == std::vector<std::uint64_t>{3}));
    gate_.Release();
    CPPUNIT_ASSERT((admitted_ == std::vector<std::uint64_t>{3, 4}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gate_.waiting());
  }

  void OneThatWithdrawsIsPassedOver() {
    CPPUNIT_ASSERT(Acquire(1));
    CPPUNIT_ASSERT(!Acquire(2));
    CPPUNIT_ASSERT(!Acquire(3));
    gate_.Withdraw(2);
    gate_.Release();
    CPPUNIT_ASSERT((admitted_ == std::vector<std::uint64_t>{3}));
  }

  void ALargerAllowanceAdmitsAtOnceAndOneAlwaysPasses() {
    gate_.SetLimit(0);
    CPPUNIT_ASSERT(Acquire(1));
    CPPUNIT_ASSERT(!Acquire(2));
    CPPUNIT_ASSERT(!Acquire(3));
    gate_.SetLimit(3);
    CPPUNIT_ASSERT((admitted_ == std::vector<std::uint64_t>{2, 3}));
  }

 private:
  bool Acquire(std::uint64_t request) {
    return gate_.Acquire(request, [this, request] { admitted_.push_back(request); });
  }

  BulkGate gate_;
  std::vector<std::uint64_t> admitted_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BulkGateTest);

}  // namespace
}  // namespace pearreach::proxy
