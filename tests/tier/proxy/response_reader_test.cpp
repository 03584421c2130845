// ResponseReader and EventSplitter with input in one piece and in many.
#include "tier/proxy/response_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

#include "tier/proxy/event_splitter.h"

namespace pearreach::proxy {
namespace {

using Status = ResponseReader::Status;

class RecordingSink final : public ResponseSink {
 public:
  bool OnResponseHead(ResponseHead head) override {
    ++heads;
    this->head = std::move(head);
    return true;
  }
  bool OnResponseBody(std::string_view bytes) override {
    body.append(bytes);
    return true;
  }
  int heads = 0;
  ResponseHead head;
  std::string body;
};

struct Case {
  const char* name;
  std::string bytes;
  Status status;  // after all input
  std::string body;
  bool keep_alive;
  std::size_t rest;  // unparsed bytes
  Status at_end;     // after an orderly close
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";

std::vector<Case> Cases() {
  return {
      {"sized", kOk + "Content-Length: 3\r\n\r\nabc", Status::kDone, "abc", true, 0, Status::kDone},
      {"empty", kOk + "Content-Length: 0\r\n\r\n", Status::kDone, "", true, 0, Status::kDone},
      {"surplus", kOk + "Content-Length: 1\r\n\r\nabc", Status::kDone, "a", true, 2, Status::kDone},
      {"chunked",
       kOk + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\n"
             "T: 1\r\n\r\n",
       Status::kDone, "abc0123456789", true, 0, Status::kDone},
      {"interim", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + kOk + "Content-Length: 1\r\n\r\na",
       Status::kDone, "a", true, 0, Status::kDone},
      {"to close", kOk + "X: y\r\n\r\nabc", Status::kMore, "abc", false, 0, Status::kDone},
      {"close told", kOk + "Connection: x, Close\r\nContent-Length: 0\r\n\r\n", Status::kDone, "",
       false, 0, Status::kDone},
      {"version 1.0", "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", Status::kDone, "", false, 0,
       Status::kDone},
      {"no content", "HTTP/1.1 204 X\r\n\r\n", Status::kDone, "", true, 0, Status::kDone},
      {"cut body", kOk + "Content-Length: 5\r\n\r\nabc", Status::kMore, "abc", true, 0,
       Status::kBad},
      {"cut chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", Status::kMore, "abc",
       true, 0, Status::kBad},
      {"cut head", kOk + "Content-Le", Status::kMore, "", true, 0, Status::kBad},
      {"garbage", "what is this\r\n", Status::kBad, "", true, 0, Status::kBad},
      {"bare line feed", "HTTP/1.1 200 OK\n", Status::kBad, "", true, 0, Status::kBad},
      {"no colon", kOk + "nonsense\r\n", Status::kBad, "", true, 0, Status::kBad},
      {"folded", kOk + "A: b\r\n c\r\n", Status::kBad, "", true, 0, Status::kBad},
      {"bad length", kOk + "Content-Length: 3x\r\n\r\n", Status::kBad, "", true, 0, Status::kBad},
      {"two lengths", kOk + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", Status::kBad, "",
       true, 0, Status::kBad},
      {"length and chunks", kOk + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
       Status::kBad, "", true, 0, Status::kBad},
      {"bad chunk", kOk + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", Status::kBad, "", true, 0,
       Status::kBad},
      {"chunk too long", kOk + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", Status::kBad, "a",
       true, 0, Status::kBad},
      {"upgrade", "HTTP/1.1 101 X\r\n\r\n", Status::kBad, "", true, 0, Status::kBad},
  };
}

class ResponseReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseReaderTest);
  CPPUNIT_TEST(ReadsAnswers);
  CPPUNIT_TEST(ReadsOneAfterTheOther);
  CPPUNIT_TEST(ResetIsNoEnd);
  CPPUNIT_TEST(HeadHasNoBody);
  CPPUNIT_TEST(SplitsEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAnswers() {
    for (const Case& c : Cases())
      for (std::size_t piece : {c.bytes.size(), std::size_t{1}, std::size_t{7}}) Check(c, piece);
  }

  void ReadsOneAfterTheOther() {
    RecordingSink sink;
    ResponseReader reader(&sink);
    const std::string one = kOk + "Content-Length: 1\r\n\r\na";
    const std::string both = one + one;
    std::string_view bytes = both;
    reader.Start(false);
    CPPUNIT_ASSERT(reader.Feed(&bytes) == Status::kDone);
    CPPUNIT_ASSERT_EQUAL(one.size(), bytes.size());
    reader.Start(false);
    CPPUNIT_ASSERT(reader.Feed(&bytes) == Status::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("aa"), sink.body);
  }

  void ResetIsNoEnd() {
    RecordingSink sink;
    ResponseReader reader(&sink);
    const std::string text = kOk + "\r\nabc";
    std::string_view bytes = text;
    reader.Start(false);
    reader.Feed(&bytes);
    CPPUNIT_ASSERT(reader.End(false) == Status::kBad);
  }

  void HeadHasNoBody() {
    RecordingSink sink;
    ResponseReader reader(&sink);
    const std::string text = kOk + "Content-Length: 10\r\n\r\n";
    std::string_view bytes = text;
    reader.Start(true);
    CPPUNIT_ASSERT(reader.Feed(&bytes) == Status::kDone);
  }

  void SplitsEvents() {
    const std::string text =
        "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nversions:7\nid: 4\n\n"
        "id: 5\ndata";
    const std::vector<std::pair<std::string, int>> expected = {{"id: 1\ndata: a\n\n", 1},
                                                               {"id:2\r\ndata: b\r\n\r\n", 2},
                                                               {"data: c\n\n", -1},
                                                               {"versions:7\nid: 4\n\n", 4}};
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
      EventSplitter splitter;
      std::vector<std::pair<std::string, int>> got;
      for (std::size_t at = 0; at < text.size(); at += piece) {
        splitter.Append(std::string_view(text).substr(at, piece));
        StreamEvent event;
        while (splitter.Next(&event))
          got.emplace_back(event.bytes, event.id ? static_cast<int>(*event.id) : -1);
      }
      CPPUNIT_ASSERT(got == expected);
      CPPUNIT_ASSERT_EQUAL(std::string("id: 5\ndata"), std::string(splitter.Rest()));
    }
  }

 private:
  static void Check(const Case& c, std::size_t piece) {
    RecordingSink sink;
    ResponseReader reader(&sink);
    reader.Start(false);
    Status status = Status::kMore;
    std::size_t rest = 0;
    for (std::size_t at = 0; at < c.bytes.size(); at += piece) {
      std::string_view bytes = std::string_view(c.bytes).substr(at, piece);
      if (status == Status::kMore) status = reader.Feed(&bytes);
      if (status == Status::kDone) rest += bytes.size();
    }
    CPPUNIT_ASSERT_MESSAGE(c.name, status == c.status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.body, sink.body);
    if (status == Status::kDone) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.keep_alive, sink.head.keep_alive);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.rest, rest);
    }
    CPPUNIT_ASSERT_MESSAGE(c.name, reader.End(true) == c.at_end);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseReaderTest);

}  // namespace
}  // namespace pearreach::proxy
