// The parser and writer of HTTP, without sockets.
#include "common/http/http.h"

#include <gtest/gtest.h>

namespace pearreach::http {
namespace {

using State = Parser::State;

int StatusOf(const std::string& text, Limits limits = {}) {
  Parser p(Parser::Kind::kRequest, limits);
  p.Feed(text);
  const int status = p.Next() == State::kBad ? p.error_status() : 0;
  EXPECT_TRUE(status == 0 || p.Buffered() == 0) << "what is bad is not kept";
  return status;
}

TEST(Http, ARequestMayComeByteByByteAndTheNextBehindIt) {
  const std::string one =
      "POST /render?x=1 HTTP/1.1\r\nHost: a\r\nx-request-ID:  7 \r\nContent-Length: 3\r\n\r\nabc";
  Parser p(Parser::Kind::kRequest);
  for (std::size_t i = 0; i + 1 < one.size(); ++i) {
    p.Feed(one.substr(i, 1));
    ASSERT_EQ(p.Next(), State::kMore);
  }
  p.Feed("cGET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  ASSERT_EQ(p.Next(), State::kMessage);
  const Message m = p.Take();
  EXPECT_EQ(m.method, "POST");
  EXPECT_EQ(m.target, "/render?x=1");
  EXPECT_EQ(m.body, "abc");
  EXPECT_EQ(*m.Find("X-Request-Id"), "7");
  EXPECT_TRUE(m.keep_alive);
  ASSERT_EQ(p.Next(), State::kMessage);
  EXPECT_FALSE(p.Take().keep_alive);
  EXPECT_TRUE(p.Between());
}

TEST(Http, ChunksAreJoinedAndBounded) {
  const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  Parser p(Parser::Kind::kRequest);
  p.Feed(head + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n");
  ASSERT_EQ(p.Next(), State::kMessage);
  EXPECT_EQ(p.Take().body, "abcde");
  EXPECT_TRUE(p.Between());
  EXPECT_EQ(StatusOf(head + "3\r\nabc\r\n3\r\n", {1024, 10, 5}), 413);
  EXPECT_EQ(StatusOf(head + "xyz\r\n"), 400);
  EXPECT_EQ(StatusOf(head + "3\r\nabcde"), 400);
  EXPECT_EQ(StatusOf(head + "3\r\nabc\rx"), 400);
  EXPECT_EQ(StatusOf(head + std::string(300, '1')), 400);
}

// Guards against a body that is held twice, and against buffers that grow far beyond their
// messages.
TEST(Http, ABodyIsHeldOnce) {
  constexpr std::size_t kBody = 4 << 20, kPiece = 64 << 10, kOverhead = 8 << 10;
  const std::string piece(kPiece, 'x');
  Limits limits;
  limits.body = kBody;
  Parser sized(Parser::Kind::kRequest, limits), chunked(Parser::Kind::kRequest, limits);
  sized.Feed("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n");
  chunked.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n");
  for (std::size_t sent = 0; sent + kPiece < kBody; sent += kPiece) {
    for (Parser* p : {&sized, &chunked}) {
      ASSERT_EQ(p->Next(), State::kMore);
      p->Feed(piece);
      ASSERT_LE(p->HeldBytes(), (sent + kPiece) * 5 / 4 + kOverhead);
    }
  }
  sized.Feed(piece);
  chunked.Feed(piece + "\r\n0\r\n\r\n");
  for (Parser* p : {&sized, &chunked}) {
    ASSERT_EQ(p->Next(), State::kMessage);
    const Message message = p->Take();
    EXPECT_EQ(message.body, std::string(kBody, 'x'));
    EXPECT_LE(message.body.capacity(), kBody);
    EXPECT_LE(p->HeldBytes(), kOverhead);
  }
}

// Guards against work by the square of what came: 64 KiB in chunks of one byte, split anywhere.
TEST(Http, SmallChunksMayBeSplitAnywhere) {
  std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", body;
  for (int i = 0; i < 2000; ++i) {
    const char letter = static_cast<char>('a' + i % 26);
    text += std::string("1\r\n") + letter + "\r\n";
    body += letter;
  }
  text += "0\r\n\r\n";
  for (const std::size_t step : {1, 2, 3, 5, 7, 11, 4096, 1 << 20}) {
    Parser p(Parser::Kind::kRequest);
    for (std::size_t at = 0; at < text.size(); at += step) {
      ASSERT_EQ(p.Next(), State::kMore) << step;
      p.Feed(std::string_view(text).substr(at, step));
    }
    ASSERT_EQ(p.Next(), State::kMessage) << step;
    EXPECT_EQ(p.Take().body, body) << step;
    EXPECT_TRUE(p.Between());
  }
}

TEST(Http, WhatIsWrongGetsItsOwnStatus) {
  const auto with = [](const std::string& header) {
    return "POST / HTTP/1.1\r\n" + header + "\r\n\r\n";
  };
  EXPECT_EQ(StatusOf("nonsense\r\n\r\n"), 400);
  EXPECT_EQ(StatusOf("GET / HTTP/2.0\r\n\r\n"), 505);
  EXPECT_EQ(StatusOf(with("Content-Length: 70000")), 413);
  EXPECT_EQ(StatusOf(with("Content-Length: 99999999999999999999999")), 413);
  EXPECT_EQ(StatusOf(with("Content-Length: -1")), 400);
  EXPECT_EQ(StatusOf(with("Content-Length: ")), 400);
  EXPECT_EQ(StatusOf(with("Content-Length: 1\r\nContent-Length: 2")), 400);
  EXPECT_EQ(StatusOf(with("Content-Length: 1\r\nTransfer-Encoding: chunked")), 400);
  EXPECT_EQ(StatusOf(with("Transfer-Encoding: gzip")), 501);
  EXPECT_EQ(StatusOf(with("Expect: miracles")), 417);
  EXPECT_EQ(StatusOf(with("A: b\r\n folded: c")), 400);
  EXPECT_EQ(StatusOf(with("A : b")), 400);
  EXPECT_EQ(StatusOf(with("A: b\nC: d")), 400);
  EXPECT_EQ(StatusOf(with("Content-Length: +1")), 400);
  EXPECT_EQ(StatusOf(with("A: " + std::string(20'000, 'a'))), 431);
  EXPECT_EQ(StatusOf("GET /" + std::string(10'000, 'a') + " HTTP/1.1\r\n\r\n"), 414);
  EXPECT_EQ(StatusOf(with("A: b\r\nB: c\r\nC: d"), {1024, 2, 10}), 431);
}

TEST(Http, AnAnswerWithoutALengthEndsWithItsConnection) {
  Parser p(Parser::Kind::kResponse);
  p.Feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_EQ(p.Next(), State::kMore);
  ASSERT_EQ(p.End(), State::kMessage);
  const Message m = p.Take();
  EXPECT_EQ(m.body, "abc");
  EXPECT_FALSE(m.keep_alive);
  Parser cut(Parser::Kind::kResponse);
  cut.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  EXPECT_EQ(cut.End(), State::kMore);
}

TEST(Http, ASenderThatWaitsIsToldToGoOnOnce) {
  Parser p(Parser::Kind::kRequest);
  p.Feed("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
  ASSERT_EQ(p.Next(), State::kMore);
  EXPECT_TRUE(p.TakeContinue());
  EXPECT_FALSE(p.TakeContinue());
  p.Feed("x");
  EXPECT_EQ(p.Next(), State::kMessage);
}

TEST(Http, WhatIsWrittenIsRead) {
  Parser p(Parser::Kind::kResponse);
  p.Feed(WriteResponse(503, {{"Retry-After", "0.250"}}, "no", false));
  ASSERT_EQ(p.Next(), State::kMessage);
  const Message m = p.Take();
  EXPECT_EQ(m.status, 503);
  EXPECT_EQ(*m.Find("retry-after"), "0.250");
  EXPECT_EQ(m.body, "no");
  EXPECT_FALSE(m.keep_alive);
}

}  // namespace
}  // namespace pearreach::http
