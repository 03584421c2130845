// What the node puts on the wire and on the disk, as bytes. Each sample has another value in each
// field; the present code must write it as the golden file in tests/contracts/data has it, and must
// read that file back into what is written as the same bytes. Encoding and decoding are pinned
// together: two fields that change places show up on one side or the other. A golden file may
// change only with the version of its form. PEARREACH_WRITE_GOLDEN=1 writes all of them anew.
//
// Captures have their net elsewhere: tests/captures, replayed by capture/CMakeLists.txt. What is
// here of them is the number of the checkpoints' layout, which they carry.
#include <fcntl.h>
#include <gio/gio.h>
#include <gio/gunixsocketaddress.h>
#include <gtest/gtest.h>
#include <sqlite3.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include "dispatch/policy/checkpoint.h"
#include "dispatch/policy/driver.h"
#include "node/admin/bans.h"
#include "node/admin/zone_orders.h"
#include "node/config/config.h"
#include "node/fleet/rules_file.h"
#include "node/hot_restart/handover.h"
#include "node/job_store/store.h"
#include "node/knowledge/file.h"
#include "node/membership/members.h"
#include "node/peer_transport/datagram.h"
#include "node/rules/document.h"
#include "node/rules/messages.h"
#include "node/shared_state/words.h"
#include "node/zones/messages.h"

namespace pearreach {
namespace {

namespace fs = std::filesystem;

constexpr std::int64_t kEpochMs = 1'767'225'600'000;  // 2026-01-01, Unix ms
constexpr std::size_t kRoom = 4096;                   // of a section, more than any sample takes

// ---------------------------------------------------------------- golden files

bool Writing() { return std::getenv("PEARREACH_WRITE_GOLDEN") != nullptr; }
std::string PathOf(const std::string& name) { return PEARREACH_GOLDEN + ("/" + name); }

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  EXPECT_TRUE(in) << path << " cannot be read";
  return {std::istreambuf_iterator<char>(in), {}};
}

// The file's bytes; `bytes` goes there first where golden files are written.
std::string Golden(const std::string& name, const std::string& bytes) {
  if (Writing()) std::ofstream(PathOf(name), std::ios::binary) << bytes;
  return ReadFile(PathOf(name));
}

std::size_t FirstDifference(const std::string& a, const std::string& b) {
  const std::size_t both = std::min(a.size(), b.size());
  for (std::size_t i = 0; i < both; ++i)
    if (a[i] != b[i]) return i;
  return both;
}

void ExpectBytes(const std::string& bytes, const std::string& golden) {
  EXPECT_TRUE(bytes == golden) << bytes.size() << " bytes and not " << golden.size()
                               << ", or others from byte " << FirstDifference(bytes, golden)
                               << " on";
}

class Folder {
 public:
  Folder() {
    std::string name = (fs::temp_directory_path() / "pearreach-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~Folder() { fs::remove_all(path_); }
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// ---------------------------------------------------------------- words between nodes

TEST(NodeBytes, DatagramWithASectionOfEachTopic) {
  peer_transport::Writer writer(0x0102, 0x0a0b0c0d0e0f, 0x11121314);
  const std::pair<peer_transport::Topic, std::string> sections[] = {
      {peer_transport::Topic::kMembers, "members"},
      {peer_transport::Topic::kModule, std::string("\0\1", 2)},
      {peer_transport::Topic::kShared, "shared state"},
      {peer_transport::Topic::kZones, ""},
      {peer_transport::Topic::kRules, std::string(180, '\xfe')}};
  for (const auto& [topic, bytes] : sections) EXPECT_TRUE(writer.Add(topic, bytes));
  const std::string bytes = writer.Take(), golden = Golden("datagram.bin", bytes);
  ExpectBytes(bytes, golden);

  peer_transport::DropReason why{};
  const auto read = peer_transport::Read(golden, &why);
  ASSERT_TRUE(read) << peer_transport::NameOf(why);
  EXPECT_EQ(read->from, 0x0102);
  EXPECT_EQ(read->process, 0x0a0b0c0d0e0fu);
  EXPECT_EQ(read->sequence, 0x11121314u);
  ASSERT_EQ(read->sections.size(), 5u);
  for (std::size_t i = 0; i < 5; ++i) {
    EXPECT_EQ(read->sections[i].topic, i + 1);
    EXPECT_EQ(read->sections[i].bytes, sections[i].second);
  }
}

shared_state::Message SharedSample() {
  using shared_state::kEpochMs;
  shared_state::Message word;
  word.zone = 3;
  word.at = kEpochMs * 1000 + 7'654'321'000;
  word.own_usage = {{1, 4, 99, word.at, 1001, 12.5}, {1, 6, 99, word.at, 1002, 13.25}};
  word.limits = {77.5, 88.25};
  word.relayed_usage = {{8, 9, kEpochMs + 555, word.at - 17, 2001, 21.125},
                        {10, 11, kEpochMs + 666, word.at - 19, 2002, 22.5}};
  word.requests = {{14, 3001}, {15, 3002}};
  word.grants = {{16, 41, kEpochMs + 777, 4001, word.at + 23},
                 {17, 43, kEpochMs + 888, 4002, word.at + 29}};
  word.health_reports = {{0xdeadbeef, kEpochMs + 5001, 18, 20, kEpochMs + 999, 47,
                          shared_state::HealthStatus::kSilent, word.at - 31'000},
                         {0xfeedface, 0, 22, 24, kEpochMs + 1111, 53,
                          shared_state::HealthStatus::kDead, word.at + 37'000}};
  return word;
}

TEST(NodeBytes, SectionOfSharedState) {
  int left_out = -1;
  const std::string bytes = shared_state::Encode(SharedSample(), kRoom, &left_out);
  EXPECT_EQ(left_out, 0);
  const std::string golden = Golden("shared.bin", bytes);
  ExpectBytes(bytes, golden);

  const auto word = shared_state::Decode(golden, 1, 99);
  ASSERT_TRUE(word);
  ExpectBytes(shared_state::Encode(*word, kRoom, &left_out), golden);
  const shared_state::Message sample = SharedSample();
  EXPECT_EQ(word->health_reports, sample.health_reports);
  EXPECT_EQ(word->limits, sample.limits);
  ASSERT_EQ(word->own_usage.size(), 2u);
  EXPECT_EQ(word->own_usage[1].node, 1);
  EXPECT_EQ(word->own_usage[1].process, 99u);
  EXPECT_EQ(word->own_usage[1].value, 1002u);
  ASSERT_EQ(word->relayed_usage.size(), 2u);
  EXPECT_EQ(word->relayed_usage[0].at, sample.relayed_usage[0].at);
  EXPECT_EQ(word->relayed_usage[0].ceiling, 21.125);
  ASSERT_EQ(word->grants.size(), 2u);
  EXPECT_EQ(word->grants[1].expires_at, sample.grants[1].expires_at);
  ASSERT_EQ(word->requests.size(), 2u);
  EXPECT_EQ(word->requests[1].amount, 3002);
}

zones::Message ZonesSample() {
  zones::Message word;
  word.zone = 5;
  word.at = (kEpochMs + 987'654) * 1000;
  word.requests_state = true;
  word.decisions = {{0x01020304, 2, 61, 3, zones::Cause::kFailing, 7, word.at - 11'000, 4},
                    {0x05060708, -1, 67, 1, zones::Cause::kDead, 8, word.at - 13'000, 6}};
  word.orders = {{0x090a0b0c, 71, zones::Order::Action::kReturn, 9, word.at - 17'000},
                 {0x0d0e0f10, 73, zones::Order::Action::kLeave, 10, word.at + 19'000}};
  word.reports = {{0x11121314, 12, 14, kEpochMs + 2001, 79, 200, 100, zones::Cause::kSilent, true,
                   word.at - 23'000, 83, 89, 97},
                  {0x15161718, 16, 18, kEpochMs + 2002, 101, 33, 44, zones::Cause::kSlow, false,
                   word.at - 29'000, 103, 107, 109}};
  return word;
}

TEST(NodeBytes, SectionOfZones) {
  int left_out = -1;
  const zones::Message sample = ZonesSample();
  const std::string bytes = zones::Encode(sample, kRoom, &left_out);
  EXPECT_EQ(left_out, 0);
  const std::string golden = Golden("zones.bin", bytes);
  ExpectBytes(bytes, golden);

  const auto word = zones::Decode(golden);
  ASSERT_TRUE(word);
  EXPECT_EQ(word->zone, sample.zone);
  EXPECT_EQ(word->at, sample.at);
  EXPECT_TRUE(word->requests_state);
  EXPECT_EQ(word->decisions, sample.decisions);
  EXPECT_EQ(word->orders, sample.orders);
  EXPECT_EQ(word->reports, sample.reports);
}

rules::Message RulesSample() {
  rules::Message word;
  word.version = {11, 13, 0x1122334455667788};
  word.age_ms = 17;
  word.schema = 19;
  word.cannot_read = word.vouches = word.recovering = word.started_epoch = true;
  word.query = 23;
  word.reply_to = 29;
  word.promised = 31;
  word.accepted = 37;
  word.accepted_hash = 0x99aabbccddeeff00;
  word.holders = std::string("\x05\0\xfa", 3);
  word.step = rules::Step::kAccepted;
  word.ballot = 41;
  word.value_ballot = 43;
  word.value_hash = 47;
  word.requested_hash = 53;
  word.part_hash = 59;
  word.requested_part = 61;
  word.part = 67;
  word.parts = 71;
  word.bytes = "a part of a document";
  return word;
}

TEST(NodeBytes, SectionOfRules) {
  const std::string bytes = rules::Encode(RulesSample()), golden = Golden("rules.bin", bytes);
  ExpectBytes(bytes, golden);
  const auto word = rules::DecodeMessage(golden);
  ASSERT_TRUE(word);
  EXPECT_EQ(*word, RulesSample());
}

// Each of these is true alone, for truth has one form only.
TEST(NodeBytes, FlagsInASectionOfRules) {
  bool rules::Message::*const flags[] = {&rules::Message::cannot_read, &rules::Message::vouches,
                                         &rules::Message::recovering,
                                         &rules::Message::started_epoch};
  std::string bytes;
  for (const auto flag : flags) {
    rules::Message word;
    word.*flag = true;
    const std::string one = rules::Encode(word);
    bytes += static_cast<char>(one.size());
    bytes += one;
    EXPECT_EQ(rules::DecodeMessage(one), word);
  }
  ExpectBytes(bytes, Golden("rules_flags.bin", bytes));
}

// ---------------------------------------------------------------- membership

// Three nodes, the third of which falls silent: probes, answers, questions for others and answers
// on their behalf are all said. The seeds are fixed, so these are the same words each time; they
// change with what membership decides, too, not with its encoding alone.
class MembersPlay {
 public:
  MembersPlay() {
    for (int n = 0; n < kNodes; ++n)
      nodes_.emplace_back(membership::Options{.self = n, .nodes = kNodes},
                          static_cast<std::uint64_t>(n) + 1, 1000, ProcessOf(n));
  }
  std::string Run() {
    for (membership::Micros now = 1000; now < 8'000'000; now += 50'000) {
      for (int n = 0; n < kNodes; ++n) {
        std::vector<membership::Outgoing> out;
        if (Silent(n, now) || nodes_[Index(n)].next() > now) continue;
        nodes_[Index(n)].Tick(now, &out);
        Deliver(now, n, out);
      }
    }
    std::vector<membership::Outgoing> out;
    nodes_[1].Leave(8'000'000, &out);
    Deliver(8'000'000, 1, out);
    return words_;
  }
  const membership::Members& node(int n) const { return nodes_[Index(n)]; }
  static std::uint64_t ProcessOf(int n) {
    return membership::Members::kEpoch + 1000 + static_cast<std::uint64_t>(n);
  }

  static constexpr int kNodes = 3;

 private:
  static std::size_t Index(int n) { return static_cast<std::size_t>(n); }
  static bool Silent(int n, membership::Micros now) { return n == 2 && now > 2'500'000; }
  void Deliver(membership::Micros now, int from, const std::vector<membership::Outgoing>& out) {
    for (const membership::Outgoing& word : out) {
      words_ += static_cast<char>(from);
      words_ += static_cast<char>(word.to);
      words_ += static_cast<char>(word.section.size());
      words_ += word.section;
      if (Silent(word.to, now)) continue;
      std::vector<membership::Outgoing> answers;
      nodes_[Index(word.to)].Receive(now, from, ProcessOf(from), false, word.section, &answers);
      Deliver(now, word.to, answers);
    }
  }

  std::vector<membership::Members> nodes_;
  std::string words_;
};

TEST(NodeBytes, SectionsOfMembership) {
  MembersPlay play;
  const std::string bytes = play.Run(), golden = Golden("members.bin", bytes);
  ExpectBytes(bytes, golden);
  EXPECT_GT(play.node(0).counts().ping_requests, 0u);

  // A fourth that hears the golden words alone believes what they say.
  membership::Members hearer({.self = 2, .nodes = MembersPlay::kNodes}, 9, 1000,
                             MembersPlay::ProcessOf(2) + 50);
  std::vector<membership::Outgoing> out;
  for (std::size_t at = 0; at + 3 <= golden.size();) {
    const int from = golden[at];
    const auto size = static_cast<unsigned char>(golden[at + 2]);
    const std::string_view section = std::string_view(golden).substr(at + 3, size);
    if (from != 2) hearer.Receive(1000, from, MembersPlay::ProcessOf(from), false, section, &out);
    at += 3u + size;
  }
  EXPECT_EQ(hearer.counts().malformed, 0u);
  EXPECT_EQ(hearer.entry(0).process, MembersPlay::ProcessOf(0));
  EXPECT_EQ(hearer.entry(0).status, membership::Status::kAlive);
  EXPECT_EQ(hearer.entry(1).status, membership::Status::kLeft);
  EXPECT_EQ(hearer.reported_reachability(0), play.node(1).reported_reachability(0));
}

// ---------------------------------------------------------------- rules on the disk

rules::Document DocumentSample(std::uint64_t number) {
  rules::Document document;
  document.number = number;
  document.previous_hash = 0x0102030405060708;
  document.proposer = 4;
  document.proposed_at_ms = kEpochMs + 5;
  document.forced = true;
  document.voters = {1, 2, 6};
  document.rules.shares = {{"acme", 12.5}, {"zeta", 0.25}};
  document.rules.default_share = 3.5;
  document.rules.retries_per_s = 7.75;
  document.rules.attempts = 8;
  document.rules.budget_parts = 9;
  document.rules.bans = {"s-1", "s-2"};
  document.rules.zone_left = {{"east", true}, {"west", false}};
  return document;
}

TEST(NodeBytes, DocumentOfRules) {
  const std::string bytes = rules::Encode(DocumentSample(3));
  const std::string golden = Golden("rules_document.bin", bytes);
  ExpectBytes(bytes, golden);
  EXPECT_EQ(rules::Decode(golden), DocumentSample(3));
  // Nodes name a version by this hash.
  const std::string hash = std::to_string(rules::HashOf(golden)) + "\n";
  EXPECT_EQ(hash, Golden("rules_document_hash.txt", hash));
}

// What operators hand in and are shown. `attempts` is written, but the schema in rules.xsd does not
// let it in, and `others` is not written: what is read back goes without the two.
TEST(NodeBytes, XmlOfRules) {
  rules::Document document = DocumentSample(3);
  const std::string shown = rules::WriteXml(document);
  EXPECT_EQ(shown, Golden("rules_shown.xml", shown));
  document.rules.attempts.reset();
  document.rules.default_share.reset();
  const std::string text = rules::WriteXml(document), golden = Golden("rules_read.xml", text);
  EXPECT_EQ(text, golden);
  const rules::Document read = rules::ReadXml(golden, "golden", {}, 9);
  EXPECT_EQ(read.rules, document.rules);
  EXPECT_EQ(read.voters, document.voters);
}

rules::PersistentState KeptSample() {
  return {21,
          22,
          23,
          rules::Encode(DocumentSample(24)),
          {rules::Encode(DocumentSample(25)), rules::Encode(DocumentSample(26))}};
}

TEST(NodeBytes, StoredStateOfRules) {
  const std::string bytes = rules::EncodeState(KeptSample()),
                    golden = Golden("rules_kept.bin", bytes);
  ExpectBytes(bytes, golden);
  EXPECT_EQ(rules::DecodeState(golden), KeptSample());
}

TEST(NodeBytes, FileOfRules) {
  const Folder folder;
  EXPECT_EQ(RulesFile(folder / "rules").Save(KeptSample()), "");
  const std::string bytes = ReadFile(folder / "rules"), golden = Golden("rules_file.bin", bytes);
  ExpectBytes(bytes, golden);
  std::string wrong;
  EXPECT_EQ(RulesFile(PathOf("rules_file.bin")).Load(&wrong), KeptSample()) << wrong;
}

// ---------------------------------------------------------------- knowledge

knowledge::Memory MemorySample() {
  knowledge::Memory memory;
  memory.node = "n7";
  memory.site = 0xabcdef0123456789;
  memory.nodes = 6;
  memory.written = kEpochMs * 1000 + 12345;
  memory.pools = {{"gpu", {0, 10.5, 11.5, 12.5, 13.5, 14.5, 15.5}},
                  {"cpu", {0, 20.5, 21.5, 22.5, 23.5, 24.5, 25.5}}};
  memory.workers = {{"s-1", 1111, {0, 1.5, 0.25, true, 333, {{444, 4.5}, {555, 5.5}}}},
                    {"s-2", 2222, {0, 2.5, 0.75, false, 666, {}}}};
  memory.classes = {{"commit", {0, 31.5}}, {"query", {0, 32.5}}};
  memory.tenants = {{"acme", {0, 41.5}}, {"zeta", {0, 42.5}}};
  return memory;
}

void ExpectSample(const knowledge::Memory& memory) {
  EXPECT_EQ(memory.node, "n7");
  EXPECT_EQ(memory.nodes, 6);
  ASSERT_EQ(memory.pools.size(), 2u);
  EXPECT_EQ(memory.pools[1].kind, "cpu");
  EXPECT_EQ(memory.pools[1].what.proven_limit, 21.5);
  EXPECT_EQ(memory.pools[1].what.start_report_delay, 25.5);
  ASSERT_EQ(memory.workers.size(), 2u);
  EXPECT_EQ(memory.workers[0].started_ms, 1111);
  EXPECT_EQ(memory.workers[0].what.slowness, 1.5);
  EXPECT_EQ(memory.workers[0].what.died_at, 333);
  EXPECT_EQ(memory.workers[0].what.cold_sends, MemorySample().workers[0].what.cold_sends);
  ASSERT_EQ(memory.classes.size(), 2u);
  EXPECT_EQ(memory.classes[0].what.work, 31.5);
  ASSERT_EQ(memory.tenants.size(), 2u);
  EXPECT_EQ(memory.tenants[1].what.tokens, 42.5);
}

TEST(NodeBytes, KnowledgeFile) {
  const std::pair<const char*, knowledge::Key> files[] = {
      {"knowledge.know", {}}, {"knowledge_signed.know", std::string(32, 'k')}};
  for (const auto& [name, key] : files) {
    const std::string bytes = knowledge::Encode(MemorySample(), 0x0102030405, key);
    const std::string golden = Golden(name, bytes);
    ExpectBytes(bytes, golden);
    const knowledge::Decoded read = knowledge::Decode(golden, key);
    ASSERT_TRUE(read.memory) << read.wrong;
    EXPECT_EQ(read.generation, 0x0102030405u);
    ExpectBytes(knowledge::Encode(*read.memory, read.generation, key), golden);
    ExpectSample(*read.memory);
  }
}

// ---------------------------------------------------------------- the operators' files

TEST(NodeBytes, FileOfBans) {
  const admin::Bans bans = {"s-0aa5bc8a", "s-1", "worker:7"};
  const std::string text = admin::WriteBans(bans), golden = Golden("bans.txt", text);
  EXPECT_EQ(text, golden);
  std::vector<std::string> wrong;
  EXPECT_EQ(admin::ReadBans(golden, "bans", &wrong), bans);
  EXPECT_TRUE(wrong.empty());
}

TEST(NodeBytes, FileOfZoneOrders) {
  const std::vector<admin::ZoneOrder> orders = {{"east", 3, "leave", 4, kEpochMs + 1},
                                                {"north west", 5, "return", 6, kEpochMs + 2},
                                                {"west", 7, "none", 8, kEpochMs + 3}};
  const std::string text = admin::WriteZoneOrders(orders), golden = Golden("zone_orders.txt", text);
  EXPECT_EQ(text, golden);
  std::vector<std::string> wrong;
  EXPECT_EQ(admin::ReadZoneOrders(golden, "orders", &wrong), orders);
  EXPECT_TRUE(wrong.empty());
}

// ---------------------------------------------------------------- checkpoints

dispatch::Settings CheckpointSettings() {
  dispatch::Settings settings = dispatch::testing::BaseSettings();
  settings.tenants = {{5}, {20}};
  settings.over_quota_value = 0.05;
  settings.balancers = 2;
  return settings;
}

// A module with jobs served, out, waiting and failed, of three classes, with keys and a subject.
// Its figures are sums of doubles: another compiler's rounding may be another last bit.
std::string CheckpointSample() {
  using dispatch::testing::kMs;
  dispatch::testing::Driver driver(CheckpointSettings(), 7);
  driver.Workers(4);
  for (dispatch::RequestId id = 1; id <= 12; ++id) driver.Serve(id);
  for (dispatch::RequestId id = 20; id < 40; ++id) {
    dispatch::RequestArrived job = driver.Request(id, static_cast<int>(id % 3));
    job.tenant = static_cast<int>(id % 2);
    job.slots = 1 + static_cast<double>(id % 3);
    job.key = id * 1000;
    job.hint = static_cast<dispatch::Micros>(id) * kMs;
    job.preferred = {static_cast<dispatch::WorkerId>(id % 4)};
    driver.Give({job});
    driver.Run(3 * kMs);
  }
  const auto out = driver.last_worker;
  for (const auto& [id, worker] : out) {
    if (id < 20) continue;
    if (id % 2 == 0) driver.Begin(id);
    if (id % 5 == 0) driver.End(id, dispatch::Outcome::kError);
  }
  return dispatch::Checkpoint::Save(driver.dispatcher);
}

TEST(NodeBytes, Checkpoint) {
  const std::string bytes = CheckpointSample(), golden = Golden("checkpoint.bin", bytes);
  ExpectBytes(bytes, golden);
  EXPECT_GT(golden.size(), 1000u);
  dispatch::Dispatcher dispatcher(CheckpointSettings(), 1, 0);
  EXPECT_EQ(dispatch::Checkpoint::Load(golden, &dispatcher), "");
  ExpectBytes(dispatch::Checkpoint::Save(dispatcher), golden);
}

// A capture carries it: with another number, the checkpoints in captures of today are not read. It
// is made of the names of records and fields in checkpoint.cpp, so a renaming there must keep the
// old names in the text that is hashed.
TEST(NodeBytes, NumberOfTheCheckpointsLayout) {
  const std::string number = std::to_string(dispatch::Checkpoint::Layout()) + "\n";
  EXPECT_EQ(number, Golden("checkpoint_layout.txt", number));
}

// ---------------------------------------------------------------- durable jobs

job_state::Attempt AttemptSample(int number, job_state::ExecutionState ran) {
  job_state::Attempt attempt;
  attempt.number = number;
  attempt.worker = "w" + std::to_string(number);
  attempt.fence = 100u + static_cast<std::uint64_t>(number);
  attempt.knows_fences = number % 2 == 0;
  attempt.execution = ran;
  attempt.started = number % 2 == 1;
  attempt.sent = 5000 + number;
  attempt.lease_until = 6000 + number;
  return attempt;
}

// As it is handed in, and with an attempt of each kind.
job_state::Job JobSample(std::uint64_t seq) {
  const std::string n = std::to_string(seq);
  const auto at = static_cast<job_state::UnixMicros>(seq);
  job_state::Job job;
  job.seq = seq;
  job.id = job_state::MakeJobId(seq, 0x0123456789abcdef + seq);
  job.request_id = "request-" + n;
  job.path = "/jobs/path-" + n;
  job.body = std::string("body\0", 5) + n;
  job.idempotency_key = "key-" + n;
  job.content_type = "text/type-" + n;
  job.cls = "class-" + n;
  job.tenant = "account-" + n;
  job.slots = 1.5 + static_cast<double>(seq);
  job.key = 0xfedcba9876543200u + seq;
  job.created = 1000 + at;
  job.due = 2000 + at;
  job.callback = "http://10.0.0.1/callback-" + n;
  return job;
}

// The same in its state, the last of seven being the highest.
job_state::Job JobInState(std::uint64_t seq) {
  const std::string n = std::to_string(seq);
  const auto at = static_cast<job_state::UnixMicros>(seq);
  job_state::Job job = JobSample(seq);
  job.state = static_cast<job_state::State>(seq - 1);
  job.callback_tries = 20 + static_cast<int>(seq);
  if (job.state != job_state::State::kQueued) job.reason = "reason-" + n;
  if (!job_state::IsEnd(job.state)) return job;
  job.ended = 3000 + at;
  job.retry_after = 4000 + at;
  job.callback_done = seq % 2 == 0;
  job.next_callback_at = 7000 + at;
  job.purge_at = 8000 + at;
  if (job.state == job_state::State::kServed) job.result = std::string("result\0", 7) + n;
  return job;
}

std::string Dump(const job_state::Attempt& a) {
  std::ostringstream out;
  out << "  attempt " << a.number << " worker " << a.worker << " fence " << a.fence
      << " knows_fences " << a.knows_fences << " ran " << static_cast<int>(a.execution)
      << " started " << a.started << " sent " << a.sent << " lease_until " << a.lease_until << '\n';
  return out.str();
}
std::string Visible(std::string text) {
  std::replace(text.begin(), text.end(), '\0', '~');
  return "'" + text + "'";
}
std::string Dump(const job_state::Job& j) {
  std::ostringstream out;
  out << "job " << j.seq << " id " << j.id << " request " << Visible(j.request_id) << " path "
      << Visible(j.path) << " body " << Visible(j.body) << " key " << Visible(j.idempotency_key)
      << " type " << Visible(j.content_type) << " class " << Visible(j.cls) << " account "
      << Visible(j.tenant) << " slots " << j.slots << " subject " << j.key.value_or(0)
      << " created " << j.created << " due " << j.due << " ended " << j.ended << " state "
      << static_cast<int>(j.state) << " result " << Visible(j.result) << " reason "
      << Visible(j.reason) << " retry_after " << j.retry_after << " callback "
      << Visible(j.callback) << " done " << j.callback_done << " tries " << j.callback_tries
      << " at " << j.next_callback_at << " forget_at " << j.purge_at << " owner "
      << Visible(j.owner) << " epoch " << j.epoch << '\n';
  for (const job_state::Attempt& a : j.attempts) out << Dump(a);
  return out.str();
}

job_store::Outcome Submit(job_store::Store* store, std::vector<job_store::Change> changes) {
  std::optional<job_store::Outcome> said;
  store->Submit({std::move(changes), [&](const job_store::Outcome& outcome) { said = outcome; }});
  while (!said) g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(said->error, "");
  return *said;
}

void WriteJobs(const std::string& path) {
  const auto store = job_store::OpenSqlite({.path = path, .owner = "golden", .fault = {}});
  for (std::uint64_t seq = 1; seq <= 7; ++seq) {
    EXPECT_EQ(store->NextSeq(), seq);
    Submit(store.get(), {job_store::TakeJob{JobSample(seq)}});
    std::vector<job_store::Change> changes;
    for (int n = 0; n < static_cast<int>(seq) - 1 && n < 5; ++n)
      changes.push_back(
          job_store::PutAttempt{seq, AttemptSample(n, static_cast<job_state::ExecutionState>(n))});
    changes.push_back(job_store::PutJob{JobInState(seq)});
    Submit(store.get(), std::move(changes));
  }
  Submit(store.get(), {job_store::KnowsFences{"w-fencing"}});
}

std::string SchemaOf(const std::string& path) {
  sqlite3* db = nullptr;
  EXPECT_EQ(sqlite3_open_v2(path.c_str(), &db, SQLITE_OPEN_READWRITE, nullptr), SQLITE_OK);
  std::string schema;
  const auto add = [](void* to, int columns, char** values, char**) {
    for (int i = 0; i < columns; ++i)
      static_cast<std::string*>(to)->append(values[i] == nullptr ? "" : values[i]).append("\n");
    return 0;
  };
  for (const char* query : {"PRAGMA user_version", "SELECT sql FROM sqlite_master ORDER BY name"})
    EXPECT_EQ(sqlite3_exec(db, query, add, &schema, nullptr), SQLITE_OK);
  sqlite3_close(db);
  return schema;
}

class GoldenStore : public testing::Test {
 protected:
  GoldenStore() {
    if (Writing()) WriteAnew();
    std::error_code error;
    fs::copy_file(PathOf("jobs.db"), folder_ / "jobs.db", error);
    EXPECT_FALSE(error) << PathOf("jobs.db") << ": " << error.message();
  }
  std::unique_ptr<job_store::Store> Open() {
    return job_store::OpenSqlite({.path = folder_ / "jobs.db", .owner = "golden", .fault = {}});
  }
  Folder folder_;

 private:
  static void WriteAnew() {
    const Folder folder;
    WriteJobs(folder / "jobs.db");
    fs::copy_file(folder / "jobs.db", PathOf("jobs.db"), fs::copy_options::overwrite_existing);
  }
};

// The file's own bytes depend on SQLite's version; what is read from it does not.
TEST_F(GoldenStore, JobsInEachStateAreReadBack) {
  const auto store = Open();
  std::string jobs;
  std::uint64_t seq = 0;
  store->Load([&](const job_state::Job& job) {
    EXPECT_EQ(static_cast<std::uint64_t>(job.state), seq++);
    EXPECT_EQ(job.id, JobSample(seq).id);
    jobs += Dump(job);
  });
  EXPECT_EQ(seq, 7u);
  EXPECT_EQ(jobs, Golden("jobs.txt", jobs));
  EXPECT_EQ(store->FencingWorkers(), std::vector<std::string>{"w-fencing"});
  EXPECT_EQ(store->CountOpen(), (std::array<std::uint64_t, 3>{1, 1, 1}));
  EXPECT_EQ(store->NextSeq(), 8u);
}

// Names are found by hashes that the file holds.
TEST_F(GoldenStore, JobsAreFoundByTheirNames) {
  const auto store = Open();
  for (const std::uint64_t seq : {1u, 2u, 3u, 4u, 6u, 7u}) {  // the fifth is refused: holds none
    const job_state::Job sample = JobSample(seq);
    const auto by_request = store->AskNow(job_store::ByRequest{sample.request_id});
    ASSERT_EQ(by_request.jobs.size(), 1u) << seq << by_request.error;
    EXPECT_EQ(by_request.jobs[0].seq, seq);
    EXPECT_EQ(store->AskNow(job_store::ById{sample.id}).jobs.size(), 1u);
    job_state::Job twin = JobSample(seq);
    twin.seq = store->NextSeq();
    twin.id = job_state::MakeJobId(twin.seq, 1);
    twin.request_id += "-again";
    const job_store::Outcome outcome = Submit(store.get(), {job_store::TakeJob{twin}});
    EXPECT_EQ(outcome.kind, job_store::Outcome::Kind::kTwin) << seq;
    EXPECT_EQ(outcome.id, sample.id);
  }
}

TEST_F(GoldenStore, WhatIsWrittenNowIsTheSame) {
  WriteJobs(folder_ / "now.db");
  EXPECT_EQ(SchemaOf(folder_ / "now.db"), SchemaOf(folder_ / "jobs.db"));
  std::string now, golden;
  job_store::OpenSqlite({.path = folder_ / "now.db", .owner = "golden", .fault = {}})
      ->Load([&](const job_state::Job& job) { now += Dump(job); });
  Open()->Load([&](const job_state::Job& job) { golden += Dump(job); });
  EXPECT_EQ(now, golden);
}

// ---------------------------------------------------------------- the hand-over

// Frames as docs/hand-over.md has them, written by hand: a letter, a length of four bytes, bytes.
const std::string kTake("T\2\0\0\0n0", 7), kListener("L\0\0\0\0", 5),
    kKnowledge("K\4\0\0\0know", 9), kReady("R\0\0\0\0", 5), kYours("Y\0\0\0\0", 5),
    kNewsOfNext("N\3\0\0\0abc", 8), kNewsOfOld("N\5\0\0\0defgh", 10);

// Stands for the listener.
int SomeDescriptor() {
  static const int descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC);
  return descriptor;
}

HandOver::Events EventsInto(std::string* news, int* left) {
  return {.listener = [] { return SomeDescriptor(); },
          .knowledge = [] { return std::string("know"); },
          .leave = [left] { ++*left; },
          .stay = [] {},
          .alone = [] {},
          .news = [news](const std::string& word) { *news += word; },
          .connection = [](int descriptor) { close(descriptor); }};
}

template <class Done>
void RunUntil(Done done) {
  const gint64 end = g_get_monotonic_time() + 5 * G_USEC_PER_SEC;
  while (!done() && g_get_monotonic_time() < end)
    if (!g_main_context_iteration(nullptr, FALSE)) g_usleep(1000);
  EXPECT_TRUE(done());
}

TEST(HandOverBytes, OfTheProcessThatLeaves) {
  const Folder folder;
  std::string news, received;
  int left = 0;
  HandOver old(folder / "s", "n0", EventsInto(&news, &left));
  ASSERT_EQ(old.Serve(), "");
  GSocket* socket =
      g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT, nullptr);
  GSocketAddress* address = g_unix_socket_address_new((folder / "s").c_str());
  ASSERT_TRUE(g_socket_connect(socket, address, nullptr, nullptr));
  g_object_unref(address);
  const auto next = Stream::Adopt(socket);
  next->Listen({[] {}, [&](std::string_view bytes) { received += bytes; }, [] {}});
  const std::string first = kListener + kKnowledge;
  next->Write(kTake);
  RunUntil([&] { return received.size() >= first.size(); });
  next->Write(kReady + kNewsOfNext);
  RunUntil([&] { return left > 0 && news.size() >= 3; });
  EXPECT_TRUE(old.Forward("defgh"));
  const std::string all = first + kYours + kNewsOfOld;
  RunUntil([&] { return received.size() >= all.size(); });
  ExpectBytes(received, all);
  EXPECT_EQ(news, "abc");
  next->Close();
}

// Stands for the process that leaves: reads all that the next one says, to its end.
class StandIn {
 public:
  explicit StandIn(const std::string& path) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    std::strncpy(at.sun_path, path.c_str(), sizeof at.sun_path - 1);
    listener_ = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(listen(listener_, 1), 0);
    thread_ = std::thread([this] { Work(); });
  }
  std::string Finish() {
    thread_.join();
    close(listener_);
    return received_;
  }

 private:
  void Work() {
    const int link = accept(listener_, nullptr, nullptr);
    SendWithDescriptor(link, kListener + kKnowledge + kNewsOfOld);
    char bytes[256];
    for (ssize_t n = 0; (n = recv(link, bytes, sizeof bytes, 0)) > 0;)
      received_.append(bytes, static_cast<std::size_t>(n));
    close(link);
  }
  static void SendWithDescriptor(int link, std::string bytes) {
    iovec part{bytes.data(), bytes.size()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof(int));
    const int descriptor = SomeDescriptor();
    std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
    EXPECT_EQ(sendmsg(link, &message, MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }

  int listener_ = -1;
  std::string received_;
  std::thread thread_;
};

TEST(HandOverBytes, OfTheNextProcess) {
  const Folder folder;
  StandIn old(folder / "s");
  std::string news, why;
  int left = 0;
  {
    HandOver next(folder / "s", "n0", EventsInto(&news, &left));
    const auto taken = next.Ask(5 * kSecond, &why);
    EXPECT_TRUE(taken) << why;
    if (taken) {
      EXPECT_EQ(taken->knowledge, "know");
      EXPECT_GE(taken->listener, 0);
      close(taken->listener);
      EXPECT_EQ(next.Serve(), "");
      EXPECT_TRUE(next.Forward("abc"));
    }
  }
  ExpectBytes(old.Finish(), kTake + kReady + kNewsOfNext);
}

// What NEWS carries is the text of POST /_jobs/news.
TEST(HandOverBytes, NewsOfAJob) {
  const News news{"job-1", "w-2", News::State::kFailed, 0.75, 42, "a \"result\"", {}};
  const std::string text = WriteNews(news);
  EXPECT_EQ(text, Golden("news.json", text));
  const auto read = ReadNews(Golden("news.json", text), dispatch::Site());
  ASSERT_TRUE(read);
  EXPECT_EQ(read->job, "job-1");
  EXPECT_EQ(read->from, "w-2");
  EXPECT_EQ(read->state, News::State::kFailed);
  EXPECT_EQ(read->share, 0.75);
  EXPECT_EQ(read->fence, 42u);
  EXPECT_EQ(read->result, "a \"result\"");
}

}  // namespace
}  // namespace pearreach
