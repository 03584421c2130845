// The operator's file: what is wrong is one line with its place, and nothing is half taken.
#include "node/config/operator.h"

#include <gtest/gtest.h>

#include "dispatch/settings/settings_reader.h"

namespace pearreach {
namespace {

std::string Wrong(const std::string& xml) {
  try {
    ReadOperatorFile(xml, "op.xml");
    return "";
  } catch (const dispatch::Malformed& wrong) {
    return wrong.what();
  }
}

TEST(OperatorFile, EmptyMeansAllOff) {
  const OperatorSettings s = ReadOperatorFile("<pearreach/>", "op.xml");
  EXPECT_EQ(s.log_format, LogFormat::kText);
  EXPECT_FALSE(s.capture);
}

TEST(OperatorFile, SetsWhatItNames) {
  const OperatorSettings s = ReadOperatorFile(
      "<pearreach><capture folder='/c' memory-kib='512' segment-kib='1024' segment-seconds='60' "
      "total-kib='4096' flush-ms='250'/><log format='json'/></pearreach>",
      "op.xml");
  EXPECT_EQ(s.log_format, LogFormat::kJson);
  const CaptureSettings wanted{.folder = "/c",
                               .memory = 512 << 10,
                               .segment_bytes = 1 << 20,
                               .segment_age = 60 * kSecond,
                               .total_bytes = 4 << 20,
                               .flush_every = 250 * kMs};
  ASSERT_TRUE(s.capture);
  EXPECT_EQ(*s.capture, wanted);
}

TEST(OperatorFile, SharedStateNeedsPeersAndLeasesThatClocksAllow) {
  const OperatorSettings s = ReadOperatorFile(
      "<pearreach><peers/><shared every-ms='100' lease-ms='1000' skew-ms='20' floor-percent='40' "
      "repeats-per-second='7' judgements='off'/></pearreach>",
      "op.xml");
  ASSERT_TRUE(s.shared);
  EXPECT_EQ(*s.shared,
            (SharedSettings{100 * kMs, kSecond, 10 * kSecond, 20 * kMs, 0.4, 7, true, false}));
  EXPECT_FALSE(ReadOperatorFile("<pearreach><peers/></pearreach>", "f").shared);
  EXPECT_EQ(Wrong("<pearreach>\n<shared/></pearreach>"),
            "op.xml:1: shared needs peers: there is no way to others");
  EXPECT_EQ(Wrong("<pearreach><peers/>\n<shared lease-ms='200' every-ms='50' skew-ms='60'/>"
                  "</pearreach>"),
            "op.xml:2: shared: lease-ms is less than four times skew-ms");
  EXPECT_EQ(Wrong("<pearreach><peers/>\n<shared floor-percent='0'/></pearreach>").substr(0, 9),
            "op.xml:2:");
}

TEST(OperatorFile, WhatIsWrongIsOneLineWithItsPlace) {
  const char* cases[][2] = {
      {"<pearreach>\n<log format='xml'/>\n</pearreach>", "op.xml:2: "},
      {"<pearreach>\n\n<captur folder='/c'/></pearreach>", "op.xml:3: "},
      {"<pearreach>\n<capture/>\n</pearreach>", "op.xml:2: "},
      {"<pearreach>\n<capture folder='/c' memory-kib='12MB'/></pearreach>", "op.xml:2: "},
      {"<pearreach>\n<capture folder='/c' memory-kib='1'/></pearreach>", "op.xml:2: "},
      {"<pearreach>\n<capture folder='captures'/></pearreach>",
       "op.xml:2: capture: folder 'captures' is not absolute"},
      {"<pearreach><capture folder='/c' segment-kib='1024' total-kib='1500'/></pearreach>",
       "op.xml:1: capture: total-kib holds less than two segments"},
      {"<pearreach>\n<log>", "op.xml:2: "},
      {"", "op.xml:1: "},
      {"{\"not\": \"xml\"}", "op.xml:1: "},
      {"<other/>", "op.xml:1: "}};
  for (const auto& [xml, begin] : cases) {
    const std::string wrong = Wrong(xml);
    EXPECT_EQ(wrong.substr(0, std::string(begin).size()), begin) << xml;
    EXPECT_GT(wrong.size(), std::string("op.xml:1: ").size()) << xml;
    EXPECT_EQ(wrong.find('\n'), std::string::npos) << wrong;
  }
}

// A billion laughs, a file of the machine, an address: none is read.
TEST(OperatorFile, NoEntitiesAndNoOtherFiles) {
  const std::string laughs =
      "<!DOCTYPE p [<!ENTITY a 'ha'><!ENTITY b '&a;&a;&a;&a;'>]><pearreach>&b;</pearreach>";
  EXPECT_EQ(Wrong(laughs), "op.xml:1: a document type is not allowed");
  const std::string file =
      "<!DOCTYPE p [<!ENTITY f SYSTEM 'file:///etc/hostname'>]>"
      "<pearreach><log format='&f;'/></pearreach>";
  EXPECT_NE(Wrong(file), "");
  EXPECT_EQ(Wrong("<!DOCTYPE p SYSTEM 'http://127.0.0.1:1/x.dtd'><pearreach/>"),
            "op.xml:1: a document type is not allowed");
  EXPECT_EQ(Wrong(std::string(2 << 20, ' ')), "op.xml:1: longer than a mebibyte");
}

// Each file is refused with its line, "f:LINE: what".
void ExpectWrong(const std::vector<std::pair<std::string, std::string>>& cases) {
  for (const auto& [text, line] : cases) {
    try {
      ReadOperatorFile(text, "f");
      ADD_FAILURE() << text;
    } catch (const dispatch::Malformed& wrong) {
      EXPECT_EQ(wrong.what(), line);
    }
  }
}

// The platform's $TMPDIR is known only at the start: without ${NAME} no path could name it.
TEST(OperatorFile, PathsNameEnvironmentVariables) {
  setenv("PEARREACH_TEST_DIR", "/run/t", 1);
  unsetenv("PEARREACH_TEST_UNSET");
  const auto good = ReadOperatorFile(
      "<pearreach><handover path='${PEARREACH_TEST_DIR}/h.sock'/>"
      "<knowledge folder='${PEARREACH_TEST_DIR}'/></pearreach>",
      "f");
  EXPECT_EQ(good.handover, HandOverSettings{"/run/t/h.sock"});
  EXPECT_EQ(good.knowledge->folder, "/run/t");
  ExpectWrong({{"<pearreach>\n<handover path='${PEARREACH_TEST_UNSET}/h'/></pearreach>",
                "f:2: path: ${PEARREACH_TEST_UNSET} is not set"},
               {"<pearreach>\n<handover path='/a/${PEARREACH_TEST_DIR'/></pearreach>",
                "f:2: path: '/a/${PEARREACH_TEST_DIR' has no '}'"}});
}

TEST(OperatorFile, KnowledgeAndHandOver) {
  const auto good = ReadOperatorFile(
      "<pearreach><knowledge folder='/k' every-ms='200' key-file='/key'/><handover "
      "path='/s'/></pearreach>",
      "f");
  EXPECT_EQ(good.knowledge, (KnowledgeSettings{"/k", 200 * kMs, "/key"}));
  EXPECT_EQ(good.handover, HandOverSettings{"/s"});
  ExpectWrong(
      {{"<pearreach>\n<knowledge folder='k'/></pearreach>", "f:2: knowledge: 'k' is not absolute"},
       {"<pearreach>\n<knowledge folder='/k' key-file='x'/></pearreach>",
        "f:2: knowledge: 'x' is not absolute"},
       {"<pearreach>\n<handover path='s'/></pearreach>", "f:2: handover: path 's' is not absolute"},
       {"<pearreach><handover path='/s'/><jobs store='/j'/></pearreach>",
        "f:1: handover and jobs exclude each other"}});
}

TEST(OperatorFile, Peers) {
  const auto good = ReadOperatorFile(
      "<pearreach><peers period-ms='200' bytes-per-second='900' lines-per-minute='5' "
      "view-ms='1000'/></pearreach>",
      "f");
  EXPECT_EQ(good.peers, (PeerSettings{200 * kMs, 900, 5, kSecond}));
  EXPECT_FALSE(ReadOperatorFile("<pearreach/>", "f").peers);
  for (const char* bad :
       {"period-ms='0'", "bytes-per-second='-1'", "lines-per-minute='many'", "views='1'"})
    EXPECT_TRUE(Wrong(std::string("<pearreach>\n<peers ") + bad + "/></pearreach>")
                    .starts_with("op.xml:2: "))
        << bad;
}

TEST(OperatorFile, ZonesAndTheirRegionsAreChecked) {
  const std::string before = "<pearreach><peers/><shared/>\n";
  const OperatorSettings s = ReadOperatorFile(
      before +
          "<zones orders='/o' every-ms='100' least-left-percent='30' trial-wait-ms='700' "
          "hold-ms='800'><region name='west' zones='vatva maninagar'/></zones></pearreach>",
      "f");
  ASSERT_TRUE(s.zones);
  EXPECT_EQ(s.zones->orders, "/o");
  EXPECT_EQ(s.zones->hold, 800 * kMs);
  EXPECT_EQ(s.zones->least_left, 0.3);
  ASSERT_EQ(s.zones->regions.size(), 1u);
  EXPECT_EQ(s.zones->regions[0].zones, (std::vector<std::string>{"vatva", "maninagar"}));
  EXPECT_EQ(Wrong("<pearreach><peers/><shared judgements='off'/><zones/></pearreach>"),
            "op.xml:1: zones needs shared with judgements: they are what a zone is seen by");
  EXPECT_EQ(Wrong(before + "<zones orders='o'/></pearreach>"),
            "op.xml:2: zones: orders 'o' is not absolute");
  EXPECT_EQ(Wrong(before + "<zones><region name='a' zones='x'/></zones></pearreach>"),
            "op.xml:2: region a has no two zones: a zone is one by itself");
  EXPECT_EQ(Wrong(before + "<zones><region name='a' zones='x y'/>\n<region name='b' zones='z y'/>"
                           "</zones></pearreach>"),
            "op.xml:3: zone y is in two regions, or twice in one");
  EXPECT_EQ(Wrong(before + "<zones><region name='a' zones='x y'/><region name='a' zones='u v'/>"
                           "</zones></pearreach>"),
            "op.xml:2: region a is there twice");
}

}  // namespace
}  // namespace pearreach
