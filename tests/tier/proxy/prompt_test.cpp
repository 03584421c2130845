// Prompt headers, the prefix cache estimate, and the preferred workers of a prompt prefix.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tier/proxy/prefix_cache_estimate.h"
#include "tier/proxy/prompt_headers.h"
#include "tier/proxy/service_workers.h"

namespace pearreach::proxy {
namespace {

struct ShapeCase {
  const char* prefix;
  double shared, own;
  const char* same_key;   // another prompt with the same key
  const char* other_key;  // a prompt with another key
};

registry::WorkerRecord Record(const std::string& id) {
  registry::WorkerRecord record;
  record.worker_id = id;
  record.service = "svc";
  record.address = "127.0.0.1:9";
  record.zone = "here";
  record.capacity = 4;
  record.call_seq = 1;
  return record;
}

// The workers of a service at one node, in the order of their discovery.
struct NodeWorkers {
  explicit NodeWorkers(const std::vector<std::string>& ids) : workers(&timers, "here") { Set(ids); }
  void Set(const std::vector<std::string>& ids) {
    workers.BeginUpdate();
    for (const std::string& id : ids) workers.Update(Record(id));
    workers.EndUpdate();
  }
  std::vector<std::string> PreferredWorkers(std::uint64_t key, std::size_t max_count) {
    std::vector<std::string> names;
    for (const dispatch::WorkerId id : workers.PreferredWorkersOf(key, max_count))
      names.push_back(workers.Find(id)->record.worker_id);
    return names;
  }

  Timers timers;
  ServiceWorkers workers;
};

class PromptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptTest);
  CPPUNIT_TEST(ReadsShapes);
  CPPUNIT_TEST(KeepsWhatFits);
  CPPUNIT_TEST(BoundsWhatItKeeps);
  CPPUNIT_TEST(NodesAgreeOnHomes);
  CPPUNIT_TEST(OtherWorkersMoveNoHome);
  CPPUNIT_TEST(HomesSpread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsShapes() {
    const std::vector<ShapeCase> cases = {
        {"", 0, 0, "a:7", "a:1,b:2"},
        {"a:300", 0, 300, "b:5", "a:300,b:1"},
        {"a:300,b:50", 300, 50, "a:300,c:70", "d:300,b:50"},
        // A small part after a large one does not change the key,
        {"a:9000,b:200,c:50", 9200, 50, "a:9000,d:200,e:1", "f:9000,b:200,c:50"},
        // a large part after a small one does.
        {"a:100,b:9000,c:50", 9100, 50, "a:100,b:9000,d:9", "a:100,e:9000,c:50"},
        {"a:x,b:-4,c:50", 0, 50, "a:x,b:-4,d:1", "a:1,b:2"},
    };
    for (const ShapeCase& c : cases) {
      const PromptShape shape = ReadPromptShape("m", c.prefix);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.prefix, c.shared, shape.shared_tokens);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.prefix, c.own, shape.own_tokens);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.prefix, ReadPromptShape("m", c.same_key).key, shape.key);
      CPPUNIT_ASSERT_MESSAGE(c.prefix, ReadPromptShape("m", c.other_key).key != shape.key);
    }
    CPPUNIT_ASSERT(ReadPromptShape("m", "a:1,b:2").key != ReadPromptShape("n", "a:1,b:2").key);
  }

  void KeepsWhatFits() {
    PrefixCacheEstimate prefix_cache;
    prefix_cache.Use(1, 400, 0, 1000);
    prefix_cache.Use(2, 400, 0, 1000);
    prefix_cache.Use(1, 400, 100, 1000);  // used again, so 2 is the oldest now
    prefix_cache.Use(3, 400, 0, 1000);
    CPPUNIT_ASSERT(prefix_cache.Has(1) && !prefix_cache.Has(2) && prefix_cache.Has(3));
    prefix_cache.Use(4, 5000, 0, 1000);  // larger than the whole capacity
    CPPUNIT_ASSERT(prefix_cache.Has(4) && !prefix_cache.Has(1) && !prefix_cache.Has(3));
  }

  void BoundsWhatItKeeps() {
    PrefixCacheEstimate prefix_cache;
    for (std::uint64_t key = 1; key <= 3 * PrefixCacheEstimate::kMaxPrefixes; ++key)
      prefix_cache.Use(key, 1e6, 0, 0);
    CPPUNIT_ASSERT_EQUAL(PrefixCacheEstimate::kMaxPrefixes, prefix_cache.size());
  }

  void NodesAgreeOnHomes() {
    NodeWorkers one({"w1", "w2", "w3", "w4", "w5"}), other({"w4", "w1", "w5", "w3", "w2"});
    for (std::uint64_t key = 1; key <= 50; ++key)
      CPPUNIT_ASSERT(one.PreferredWorkers(key, 3) == other.PreferredWorkers(key, 3));
  }

  void OtherWorkersMoveNoHome() {
    NodeWorkers node({"w1", "w2", "w3", "w4", "w5"});
    std::vector<std::vector<std::string>> before;
    for (std::uint64_t key = 1; key <= 50; ++key) before.push_back(node.PreferredWorkers(key, 2));
    node.Set({"w1", "w2", "w3", "w5"});
    for (std::uint64_t key = 1; key <= 50; ++key) {
      const std::vector<std::string>& old = before[key - 1];
      const std::string next = old[0] == "w4" ? old[1] : old[0];
      CPPUNIT_ASSERT_EQUAL(next, node.PreferredWorkers(key, 2)[0]);
    }
  }

  void HomesSpread() {
    NodeWorkers node({"w1", "w2", "w3", "w4"});
    std::map<std::string, int> preferred;
    for (std::uint64_t key = 1; key <= 400; ++key) ++preferred[node.PreferredWorkers(key, 1)[0]];
    for (const auto& [id, count] : preferred) CPPUNIT_ASSERT_MESSAGE(id, count > 60 && count < 140);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, preferred.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptTest);

}  // namespace
}  // namespace pearreach::proxy
