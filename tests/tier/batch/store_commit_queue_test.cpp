// The order of a partition's writes, and what a failed one takes with it.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tier/batch/commit_queue.h"

namespace pearreach::batch {
namespace {

// Keeps what is handed to the disk until the test lets it end.
class ManualDisk {
 public:
  CommitQueue::Write Writer() {
    return [this](std::vector<storage::Write> batch, CommitQueue::Done done) {
      batches.push_back(std::move(batch));
      dones_.push_back(std::move(done));
    };
  }
  void End(const absl::Status& status) {
    const CommitQueue::Done done = std::move(dones_.front());
    dones_.pop_front();
    done(status);
  }
  std::vector<std::vector<storage::Write>> batches;

 private:
  std::deque<CommitQueue::Done> dones_;
};

class StoreCommitQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreCommitQueueTest);
  CPPUNIT_TEST(OneWriteAtATimeBatchesWaiting);
  CPPUNIT_TEST(WaitingWritesFailWithTheWriteBefore);
  CPPUNIT_TEST(MayBeDestroyedInItsOwnCallback);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneWriteAtATimeBatchesWaiting() {
    ManualDisk disk;
    CommitQueue queue(disk.Writer());
    for (const char* key : {"a", "b", "c"}) Commit(&queue, key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, disk.batches.size());
    disk.End(absl::OkStatus());
    CPPUNIT_ASSERT_EQUAL(std::string("a+"), acknowledged_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, disk.batches.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), disk.batches[1].at(0).key);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), disk.batches[1].at(1).key);
    CPPUNIT_ASSERT(!queue.idle());
    disk.End(absl::OkStatus());
    CPPUNIT_ASSERT_EQUAL(std::string("a+b+c+"), acknowledged_);
    CPPUNIT_ASSERT(queue.idle());
  }

  void WaitingWritesFailWithTheWriteBefore() {
    ManualDisk disk;
    CommitQueue queue(disk.Writer());
    for (const char* key : {"a", "b"}) Commit(&queue, key);
    disk.End(absl::ResourceExhaustedError("full"));
    CPPUNIT_ASSERT_EQUAL(std::string("a-b-"), acknowledged_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, disk.batches.size());
    Commit(&queue, "c");
    disk.End(absl::OkStatus());
    CPPUNIT_ASSERT_EQUAL(std::string("a-b-c+"), acknowledged_);
  }

  void MayBeDestroyedInItsOwnCallback() {
    ManualDisk disk;
    auto queue = std::make_unique<CommitQueue>(disk.Writer());
    queue->Commit({{"a", "", false}}, [&](const absl::Status&) { queue.reset(); });
    Commit(queue.get(), "b");
    disk.End(absl::OkStatus());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, disk.batches.size());
    disk.End(absl::OkStatus());
    CPPUNIT_ASSERT_EQUAL(std::string(), acknowledged_);
  }

 private:
  void Commit(CommitQueue* queue, const std::string& key) {
    queue->Commit({{key, "value", false}}, [this, key](const absl::Status& status) {
      acknowledged_ += key + (status.ok() ? "+" : "-");
    });
  }
  std::string acknowledged_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreCommitQueueTest);

}  // namespace
}  // namespace pearreach::batch
