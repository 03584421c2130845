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
  CPPUNIT_TEST(DecodesWhatWasEncoded);
  CPPUNIT_TEST(RejectsTruncatedMessage);
  CPPUNIT_TEST(RejectsLengthBeyondInput);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesWhatWasEncoded() {
    const auto read = Decode<Message>(Encode(sample_));
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT_EQUAL(sample_.text, read->text);
    CPPUNIT_ASSERT(sample_.list == read->list);
    CPPUNIT_ASSERT(sample_.numbers == read->numbers);
    CPPUNIT_ASSERT(sample_.digests == read->digests);
    CPPUNIT_ASSERT(sample_.pairs == read->pairs);
    CPPUNIT_ASSERT(read->flag);
  }

  void RejectsTruncatedMessage() {
    const std::string bytes = Encode(sample_);
    for (std::size_t length = 0; length < bytes.size(); ++length)
      CPPUNIT_ASSERT(!Decode<Message>(bytes.substr(0, length)).ok());
  }

  // Each run of eight bytes is taken for a length once, and told to be enormous.
  void RejectsLengthBeyondInput() {
    const std::string bytes = Encode(sample_);
    for (std::size_t at = 0; at + 8 <= bytes.size(); ++at) {
      std::string corrupted = bytes;
      corrupted.replace(at, 8, std::string("\xff\xff\xff\xff\xff\xff\xff\x3f", 8));
      (void)Decode<Message>(corrupted);  // read or refused, but never believed
    }
    std::string corrupted = bytes;
    const std::size_t text = bytes.find("some text");
    corrupted.replace(text - 8, 8, std::string("\0\0\0\0\x16\0\0\0", 8));  // 94 GB
    CPPUNIT_ASSERT(!Decode<Message>(corrupted).ok());
  }

 private:
  const Message sample_{"some text", {"a", "bc", ""}, {{"x", 1}, {"y", 2}},
                        {1, 2, 3},   {{1, 2}},        true};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArchiveTest);

}  // namespace
}  // namespace pearreach::codec
