// Messages read back as they were written, and bytes that lie about their lengths are refused
// before any room is made for them.
#include "tier/codec/archive.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

namespace pearreach::codec {
namespace {

struct Message {
  std::string text;
  std::vector<std::string> list;
  std::map<std::string, std::uint64_t> numbers;
  std::vector<std::uint64_t> digests;
  std::vector<std::pair<std::uint32_t, std::uint64_t>> pairs;
  bool flag = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& text& list& numbers& digests& pairs& flag;
  }
};

class ArchiveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ArchiveTest);
  CPPUNIT_TEST(AMessageReadsBackAsItWas);
  CPPUNIT_TEST(EveryCutIsRefused);
  CPPUNIT_TEST(AFalseLengthIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AMessageReadsBackAsItWas() {
    const auto read = Decode<Message>(Encode(sample_));
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT_EQUAL(sample_.text, read->text);
    CPPUNIT_ASSERT(sample_.list == read->list);
    CPPUNIT_ASSERT(sample_.numbers == read->numbers);
    CPPUNIT_ASSERT(sample_.digests == read->digests);
    CPPUNIT_ASSERT(sample_.pairs == read->pairs);
    CPPUNIT_ASSERT(read->flag);
  }

  void EveryCutIsRefused() {
    const std::string bytes = Encode(sample_);
    for (std::size_t length = 0; length < bytes.size(); ++length)
      CPPUNIT_ASSERT(!Decode<Message>(bytes.substr(0, length)).ok());
  }

  // Each run of eight bytes is taken for a length once, and told to be enormous.
  void AFalseLengthIsRefused() {
    const std::string bytes = Encode(sample_);
    for (std::size_t at = 0; at + 8 <= bytes.size(); ++at) {
      std::string lying = bytes;
      lying.replace(at, 8, std::string("\xff\xff\xff\xff\xff\xff\xff\x3f", 8));
      (void)Decode<Message>(lying);  // read or refused, but never believed
    }
    std::string lying = bytes;
    const std::size_t text = bytes.find("some text");
    lying.replace(text - 8, 8, std::string("\0\0\0\0\x16\0\0\0", 8));  // 94 GB
    CPPUNIT_ASSERT(!Decode<Message>(lying).ok());
  }

 private:
  const Message sample_{"some text", {"a", "bc", ""}, {{"x", 1}, {"y", 2}},
                        {1, 2, 3},   {{1, 2}},        true};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArchiveTest);

}  // namespace
}  // namespace pearreach::codec
