// A node's tables with the parts of it that write and read them: one chain replica and one store,
// as in a fleet of one node, on the real disk tables.
#ifndef PEARREACH_TESTS_TIER_GOLDEN_STORE_RIG_H_
#define PEARREACH_TESTS_TIER_GOLDEN_STORE_RIG_H_

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tier/batch/batch_job_store.h"
#include "tier/batch/edge_fakes.h"
#include "tier/control/record_writer.h"
#include "tier/coordination/chain.h"
#include "tier/storage/rig.h"

namespace pearreach::golden {

inline constexpr char kNode[] = "s0";

// All records of the chain replica that are on this disk.
std::map<std::string, std::string> ChainRecordsOn(const storage::TableStore& disk);

// A chain of one member whose records go to disk through the node's own writer. Messages do not
// arise; its time is its own.
class ChainRig {
 public:
  explicit ChainRig(storage::TableStore* disk);

  // Founds the chain where the disk has none, then ticks until there is a committed map.
  void Begin();
  void Change(const std::string& key, const std::string& value,
              const std::optional<coordination::ChangeId>& change_id);
  const coordination::ChainReplica& replica() const { return replica_; }
  const control::RecordWriter& writer() const { return writer_; }

 private:
  void CarryOut(coordination::Effects effects);
  void TickUntil(const std::function<bool()>& done);

  const coordination::ReplicaId self_;
  Micros now_ = 1000 * kSecond;
  Timers timers_;
  const std::unique_ptr<control::TimeSource> time_ = control::TimeSourceOf(&timers_);
  std::vector<std::uint64_t> written_;
  control::RecordWriter writer_;
  coordination::ChainReplica replica_;
  std::vector<coordination::ChangeResult> results_;
};

// A store that is the one replica of all partitions.
class StoreRig {
 public:
  StoreRig(storage::TableStore* disk, const batch::PlacementTable& table);
  ~StoreRig();

  template <class Answer, class Message>
  Answer Ask(rpc::MessageType type, const Message& message) {
    const auto answer = AskBytes(type, codec::Encode(message));
    auto read = codec::Decode<Answer>(answer);
    CPPUNIT_ASSERT_MESSAGE(read.status().ToString(), read.ok());
    return *std::move(read);
  }
  std::string AskBytes(rpc::MessageType type, const std::string& message);

 private:
  Timers timers_;
  batch::edge_test::FakeMesh transport_;
  batch::edge_test::FakeControl control_;
  storage::TableStore* const disk_;
  std::unique_ptr<batch::StoreServer> server_;
};

}  // namespace pearreach::golden

#endif  // PEARREACH_TESTS_TIER_GOLDEN_STORE_RIG_H_
