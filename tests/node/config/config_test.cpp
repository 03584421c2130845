// The configuration, the list and the news, from JSON.
#include "node/config/config.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace pearreach {
namespace {

using dispatch::Malformed;

std::string Minimal(const std::string& settings) {
  return R"({"listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","settings":)" + settings + "}";
}

TEST(Config, NestedSettingsReadLikeTheWires) {
  const Config c = ReadConfig(Minimal(
      R"({"Balancers":3,"Models":["big box","old"],"Zones":["a","b"],"Locality":"b","RoundMs":2.0,
          "Limits":{"Cancel":true,"ConnectTimeoutMs":200.0,"TryLimit":3},
          "FamilyInfo":{"ClassKind":[-1,0],"ReportX0":"free slots","Notes":null},
          "RequestClasses":[{"Name":"commit","Effect":"once","DeadlineMs":5000.0},
                            {"Name":"sync","Effect":"by_key","KeyScope":"cell"}]})"));
  const dispatch::Site wire = dispatch::ReadSite(dispatch::ReadPairs(
      "Balancers=3 Models=big_box,old Zones=a,b Locality=b RoundMs=2.0 Limits.Cancel=true "
      "Limits.ConnectTimeoutMs=200.0 Limits.TryLimit=3 FamilyInfo.ClassKind=-1,0 "
      "FamilyInfo.ReportX0=free_slots RequestClasses.count=2 RequestClasses.0.Name=commit "
      "RequestClasses.0.Effect=once RequestClasses.0.DeadlineMs=5000.0 "
      "RequestClasses.1.Name=sync RequestClasses.1.Effect=by_key RequestClasses.1.KeyScope=cell"));
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(c.site.classes, wire.classes);
  EXPECT_EQ(c.site.kinds, wire.kinds);
  EXPECT_TRUE(c.site.x0_is_free_slots && wire.x0_is_free_slots);
  const dispatch::Settings &a = c.site.settings, &b = wire.settings;
  EXPECT_EQ(a.zone, 1);
  EXPECT_EQ(a.min_handle_interval, b.min_handle_interval);
  EXPECT_EQ(a.connect_timeout, b.connect_timeout);
  EXPECT_EQ(a.max_attempts, b.max_attempts);
  EXPECT_EQ(a.classes[0].deadline, b.classes[0].deadline);
  EXPECT_EQ(a.classes[1].kind, 0);
  EXPECT_EQ(a.classes[1].key_scope, dispatch::KeyScope::kCell);
}

TEST(Config, WhatIsWrongIsNamed) {
  EXPECT_THROW(ReadConfig("{"), Malformed);
  EXPECT_THROW(ReadConfig("[]"), Malformed);
  EXPECT_THROW(ReadConfig("{}"), Malformed);
  EXPECT_THROW(ReadConfig(Minimal("{}")), Malformed);  // no class
  EXPECT_THROW(ReadConfig(Minimal(R"({"RoundMs":"two"})")), Malformed);
  EXPECT_THROW(ReadConfig(Minimal(R"({"RequestClasses":[{"Effect":"once"},3]})")), Malformed);
  EXPECT_THROW(LoadConfig("/does/not/exist"), Malformed);
}

// A node that runs takes over the address of discovery and nothing else; what is wrong changes
// nothing, and a variable of the start does not hold against a file that has changed.
TEST(Config, ReadAgainItMovesDiscoveryOnly) {
  const std::string path = testing::TempDir() + "pearreach_reload_" + std::to_string(getpid());
  const auto write = [&](const std::string& at, const std::string& round) {
    std::ofstream(path) << R"({"listen":"127.0.0.1:0","discovery":")" + at +
                               R"(","settings":{"RequestClasses":[{"Name":"c","Effect":"once"}],)" +
                               R"("Models":["m"],"RoundMs":)" + round + "}}";
  };
  write("127.0.0.1:1", "2.0");
  Config c = LoadConfig(path);
  EXPECT_FALSE(ReloadConfig(path, &c)) << "nothing has changed";
  for (const char* bad : {"", "nowhere"}) {
    write(bad, "2.0");
    EXPECT_THROW(ReloadConfig(path, &c), Malformed);
  }
  std::ofstream(path) << "{";
  EXPECT_THROW(ReloadConfig(path, &c), Malformed);
  EXPECT_EQ(c.discovery, "127.0.0.1:1");
  write("127.0.0.1:2", "9.0");
  EXPECT_TRUE(ReloadConfig(path, &c));
  EXPECT_EQ(c.discovery, "127.0.0.1:2");
  EXPECT_EQ(c.site.settings.min_handle_interval, 2000) << "waits for a restart";
  EXPECT_FALSE(ReloadConfig(path, &c));
  setenv("EDGE_DISCOVERY", "127.0.0.1:7", 1);
  Config of_start = LoadConfig(path);
  EXPECT_FALSE(ReloadConfig(path, &of_start));
  EXPECT_EQ(of_start.discovery, "127.0.0.1:7");
  write("127.0.0.1:3", "9.0");
  EXPECT_TRUE(ReloadConfig(path, &of_start));
  EXPECT_EQ(of_start.discovery, "127.0.0.1:3");
  unsetenv("EDGE_DISCOVERY");
  std::remove(path.c_str());
}

// The operators' door: where the file says, unless $EDGE_OPERATOR says otherwise; none without.
TEST(Config, TheOperatorsDoorIsInTheFileOrEdgeOperator) {
  const std::string path = testing::TempDir() + "pearreach_door_" + std::to_string(getpid());
  const auto write = [&](const std::string& door) {
    std::ofstream(path) << R"({"listen":"127.0.0.1:0","discovery":"127.0.0.1:1",)" + door +
                               R"("settings":{"RequestClasses":[{"Name":"c","Effect":"once"}],)" +
                               R"("Models":["m"],"RoundMs":2.0}})";
  };
  write("");
  EXPECT_EQ(LoadConfig(path).operator_listen, "");
  write(R"("operator":"127.0.0.1:9",)");
  EXPECT_EQ(LoadConfig(path).operator_listen, "127.0.0.1:9");
  setenv("EDGE_OPERATOR", "127.0.0.1:8", 1);
  EXPECT_EQ(LoadConfig(path).operator_listen, "127.0.0.1:8");
  setenv("EDGE_OPERATOR", "nowhere", 1);
  EXPECT_THROW(LoadConfig(path), Malformed);
  unsetenv("EDGE_OPERATOR");
  write(R"("operator":"nowhere",)");
  EXPECT_THROW(LoadConfig(path), Malformed);
  std::remove(path.c_str());
}

TEST(Listing, ABadEntryIsLeftOutAndTheRestKept) {
  const auto list = ReadListing(
      R"({"version":7,"full":true,"servers":[
          {"id":"s-1","addr":"10.0.0.1:1","zone":"a","kind":"m","cell":3,"state":"up",
           "weight":1.5,"started_ms":99},
          {"id":"s-2","state":"asleep","addr":"10.0.0.2:1"}, 5,
          {"id":"s-3","state":"removed"}]})");
  ASSERT_TRUE(list);
  EXPECT_EQ(list->version, 7u);
  EXPECT_TRUE(list->full);
  ASSERT_EQ(list->servers.size(), 2u);
  EXPECT_EQ(list->servers[0].cell, 3);
  EXPECT_EQ(list->servers[0].started_ms, 99);
  EXPECT_EQ(list->servers[1].health, dispatch::Health::kGone);
  for (const char* bad : {"", "[]", "{}", R"({"version":-1,"servers":[]})", R"({"version":1})"})
    EXPECT_FALSE(ReadListing(bad)) << bad;
}

TEST(NewsJson, IsReadWithItsLoadAndAnythingElseIsNone) {
  dispatch::Site site;
  site.x0_is_free_slots = true;
  const auto news = ReadNews(
      R"({"id":"j","from":"s","state":"done","result":"a\u00e9","load":{"x0":2,"q":1}})", site);
  ASSERT_TRUE(news);
  EXPECT_EQ(news->state, News::State::kDone);
  EXPECT_EQ(news->result, "a\xc3\xa9");
  EXPECT_EQ(news->load.free_slots, 2.0);
  for (const char* bad : {"", "{}", "3", R"({"id":"j","from":"s","state":"odd"})",
                          R"({"id":4,"from":"s","state":"done"})"})
    EXPECT_FALSE(ReadNews(bad, site)) << bad;
  EXPECT_FALSE(ReadNews(std::string(60'000, '['), site));  // and no stack is exhausted
  EXPECT_EQ(ReadLoadHeader("TEXT q=2, x0=0.5", site).free_slots, 0.5);
  EXPECT_FALSE(ReadLoadHeader("JSON {}", site).free_slots);
  EXPECT_FALSE(ReadLoadHeader("TEXT x0=many, y", site).free_slots);
}

}  // namespace
}  // namespace pearreach
