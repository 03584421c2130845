// Bytes between processes and on disk are those of the committed files: an older process of the
// fleet and a disk that was written before must go on being understood.
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "golden_file.h"
#include "tier/batch/batch_job_state.h"
#include "tier/batch/store_simulation.h"
#include "tier/coordination/change_history.h"
#include "tier/coordination/view_agreement.h"

namespace pearreach::golden {
namespace {

namespace chain = coordination::chain;
using coordination::ReplicaId;

constexpr char kMessages[] = "messages.hex", kValues[] = "values.hex", kRecords[] = "records.hex";
constexpr int kSerializers = 101;

Samples Messages() {
  Samples samples = ChainSamples();
  Join(MembershipSamples(), &samples);
  Join(ControlSamples(), &samples);
  Join(RegistrySamples(), &samples);
  Join(BatchSamples(), &samples);
  Join(QuotaSamples(), &samples);
  Join(TenantQuotaSamples(), &samples);
  Join(ReplicationSamples(), &samples);
  Join(FrameSamples(), &samples);
  return samples;
}

Samples Values() {
  Samples samples = MessageTypeValues();
  Join(EnumerationValues(), &samples);
  Join(HashValues(), &samples);
  return samples;
}

Samples Records() {
  Samples samples = ChainRecords();
  Join(AgreementRecords(), &samples);
  Join(ControlRecords(), &samples);
  Join(LotRecords(), &samples);
  return samples;
}

// Functions by which the sources below the folder say how a type is written.
int SerializersIn(const std::string& folder) {
  constexpr std::string_view kMark = " serialize(Archive&";
  int count = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    const std::string extension = entry.path().extension();
    if (extension != ".h" && extension != ".cpp") continue;
    std::ifstream file(entry.path());
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    for (std::size_t at = text.find(kMark); at != std::string::npos; at = text.find(kMark, at + 1))
      ++count;
  }
  return count;
}

void Put(const chain::Records& more, chain::Records* records) {
  for (const auto& [key, value] : more) (*records)[key] = value;
}

void Put(const Rows& rows, const std::string& prefix, batch::MemoryDisk* disk) {
  for (const auto& [key, value] : RecordsIn(rows, prefix)) disk->Write({{key, value, false}});
}

}  // namespace

class GoldenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GoldenTest);
  CPPUNIT_TEST(MessagesAreAsTheyWere);
  CPPUNIT_TEST(NumbersAreAsTheyWere);
  CPPUNIT_TEST(RecordsAreAsTheyWere);
  CPPUNIT_TEST(NoTypeIsWithoutARow);
  CPPUNIT_TEST(AChainsRecordsAreRead);
  CPPUNIT_TEST(AnAgreementsRecordsAreRead);
  CPPUNIT_TEST(MarksAreRead);
  CPPUNIT_TEST(ALotsRecordsAreRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MessagesAreAsTheyWere() { CheckFile(kMessages, Messages()); }
  void NumbersAreAsTheyWere() { CheckFile(kValues, Values()); }
  void RecordsAreAsTheyWere() { CheckFile(kRecords, Records()); }

  // A type that is added gets a row of its own, or lies in a sample that has all its fields set;
  // then the number is raised. A new name, place or file of a type changes nothing here.
  void NoTypeIsWithoutARow() { CPPUNIT_ASSERT_EQUAL(kSerializers, SerializersIn(SOURCES)); }

  void AChainsRecordsAreRead() {
    const Rows rows = ReadRows(kRecords);
    chain::Records records = RecordsIn(rows, "state.install");
    Put(RecordsIn(rows, "state.commit"), &records);
    Put(RecordsIn(rows, "state.append"), &records);
    const chain::DurableState state(records);
    const std::vector<ReplicaId> members{{"n1", "d1"}, {"n2", "d2"}};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{41}, state.view().epoch);
    CPPUNIT_ASSERT(state.view().members == members);
    CPPUNIT_ASSERT((state.base() == coordination::Version{40, 99}));
    CPPUNIT_ASSERT((state.committed().version == coordination::Version{41, 0}));
    CheckEntry(*state.committed().map, "config", "first", 3);
    CheckEntry(*state.committed().map, "stores", "placement", 17);
    CPPUNIT_ASSERT(state.pending().has_value());
    CPPUNIT_ASSERT((state.pending()->version == coordination::Version{41, 1}));
    CheckEntry(*state.pending()->map, "config", "second", 4);
    CheckEntry(*state.pending()->map, "new", "x", 1);
    const chain::DurableState other(RecordsIn(rows, "state.adopt"));
    CPPUNIT_ASSERT((other.base() == coordination::Version{50, 7}));
    CPPUNIT_ASSERT((other.committed().version == coordination::Version{51, 8}));
  }

  void AnAgreementsRecordsAreRead() {
    const Rows rows = ReadRows(kRecords);
    const chain::Acceptor whole(41, RecordsIn(rows, "acceptor.whole"));
    CheckAcceptor(whole);
    CheckEntry(*whole.accepted().map.map, "config", "first", 3);
    const chain::Acceptor bare(41, RecordsIn(rows, "acceptor.without_map"));
    CheckAcceptor(bare);
    CPPUNIT_ASSERT(bare.accepted().map.map == nullptr);
    CPPUNIT_ASSERT(!chain::Acceptor(40, RecordsIn(rows, "acceptor.whole")).sealed());
    const auto founders =
        codec::Decode<std::vector<ReplicaId>>(RecordsIn(rows, "founders").begin()->second);
    const std::vector<ReplicaId> expected{{"n1", "d1"}, {"n2", "d2"}};
    CPPUNIT_ASSERT(founders.ok() && *founders == expected);
  }

  void MarksAreRead() {
    const auto records = RecordsIn(ReadRows(kRecords), "marks.2");
    coordination::Map map{{"config", {"{}", 2}}};
    for (const auto& [key, value] : records) {
      CPPUNIT_ASSERT(coordination::IsChangeHistoryKey(key));
      map[key] = {value, 2};
    }
    const auto history_status = [&](const coordination::ChangeId& change_id) {
      return coordination::FindInChangeHistory(map, "config", change_id);
    };
    CPPUNIT_ASSERT(history_status({101, 201, 301}) == coordination::ChangeHistoryStatus::kRecorded);
    CPPUNIT_ASSERT(history_status({102, 202, 302}) == coordination::ChangeHistoryStatus::kRecorded);
    CPPUNIT_ASSERT(history_status({102, 302, 202}) == coordination::ChangeHistoryStatus::kOther);
    CPPUNIT_ASSERT(history_status({103, 203, 303}) == coordination::ChangeHistoryStatus::kNew);
  }

  void ALotsRecordsAreRead() {
    const Rows rows = ReadRows(kRecords);
    batch::MemoryDisk disk;
    for (const char* step : {"create", "reservation", "result", "failure", "end"}) {
      const std::string prefix = std::string("lot.") + step;
      if (std::string(step) != "result") {
        Put(rows, prefix, &disk);
      } else {  // the item's body goes, the result comes
        disk.Write({{rows.at(prefix + ".0.erased"), "", true},
                    {rows.at(prefix + ".1.key"), rows.at(prefix + ".1.value"), false}});
      }
    }
    batch::BatchJobTable table(batch::PartitionOf("lot-1"));
    table.Load(disk);
    CPPUNIT_ASSERT(table.Find("lot-1") != nullptr);
    CheckHeader(table.Find("lot-1")->header);
    CheckProgress(*table.Find("lot-1"));
    CheckReservation(table.Reservations().at("lot-1"));
    CheckBodies(table.ReadSnapshot(disk, "lot-1"));
  }

 private:
  static void CheckEntry(const coordination::Map& map, const std::string& key,
                         const std::string& value, std::uint64_t revision) {
    CPPUNIT_ASSERT_EQUAL(value, map.at(key).value);
    CPPUNIT_ASSERT_EQUAL(revision, map.at(key).revision);
  }

  static void CheckAcceptor(const chain::Acceptor& acceptor) {
    CPPUNIT_ASSERT((acceptor.promised() == chain::ProposalNumber{12, {"n2", "d2"}}));
    CPPUNIT_ASSERT((acceptor.accepted_number() == chain::ProposalNumber{11, {"n1", "d1"}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, acceptor.accepted().view.epoch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, acceptor.accepted().view.members.size());
    CPPUNIT_ASSERT((acceptor.accepted().base == coordination::Version{41, 5}));
  }

  static void CheckHeader(const batch::BatchJobHeader& header) {
    CPPUNIT_ASSERT_EQUAL(std::string("route"), header.route);
    CPPUNIT_ASSERT_EQUAL(std::string("host.example"), header.host);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{101}, header.fingerprint);
    CPPUNIT_ASSERT_EQUAL(102.5, header.token_cap);
    CPPUNIT_ASSERT_EQUAL(4, header.attempts);
    CPPUNIT_ASSERT_EQUAL(105.5, header.due_ms);
    CPPUNIT_ASSERT_EQUAL(106.75, header.retain_s);
    CPPUNIT_ASSERT_EQUAL(107.125, header.status_s);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000123}, header.created_wall_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, header.items.size());
    CPPUNIT_ASSERT_EQUAL(std::string("item-2"), header.items[2].item_id);
    CPPUNIT_ASSERT_EQUAL(3.5, header.items[2].tokens);
  }

  static void CheckProgress(const batch::BatchJob& batch_job) {
    CPPUNIT_ASSERT(batch_job.ended);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, batch_job.results);
    CPPUNIT_ASSERT(!batch_job.items[0].done && batch_job.items[1].done && !batch_job.items[2].done);
    const std::vector<std::uint64_t> leases{0x1112131415161718, 0x2122232425262728};
    CPPUNIT_ASSERT(batch_job.items[2].failed_leases == leases);
  }

  static void CheckReservation(const batch::QuotaReservation& reservation) {
    CPPUNIT_ASSERT_EQUAL(std::string("route"), reservation.route);
    CPPUNIT_ASSERT_EQUAL(81.5, reservation.tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{82}, reservation.epoch);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{83}, reservation.process);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{84}, reservation.sequence);
  }

  static void CheckBodies(const batch::Operation& whole) {
    int items = 0, results = 0;
    for (const batch::Record& record : whole.records) {
      if (record.kind == 'i') {
        const auto item = codec::Decode<batch::ItemSpec>(record.value);
        CPPUNIT_ASSERT(item.ok());
        CPPUNIT_ASSERT_EQUAL("item-" + std::to_string(record.index), item->item_id);
        CPPUNIT_ASSERT_EQUAL(std::string("a\0b", 3) + std::to_string(record.index), item->body);
        ++items;
      } else if (record.kind == 'r') {
        const auto result = batch::UnpackResult(record.value);
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, result->item);
        CPPUNIT_ASSERT_EQUAL(std::string("out\0put", 7), result->content);
        ++results;
      }
    }
    CPPUNIT_ASSERT_EQUAL(2, items);
    CPPUNIT_ASSERT_EQUAL(1, results);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoldenTest);

}  // namespace pearreach::golden
