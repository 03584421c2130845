// Tests of the ban file and the file of zone orders: round trips, invalid lines and write errors.
#include "node/admin/bans.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "common/diagnostics/log.h"
#include "node/admin/zone_orders.h"

namespace pearreach::admin {
namespace {

TEST(BanFile, ReadsWhatWasWrittenAndPassesOverWhatIsNoId) {
  const Bans bans = {"s-0aa5bc8a", "w/2"};
  std::vector<std::string> errors;
  EXPECT_EQ(ReadBans(WriteBans(bans), "b", &errors), bans);
  EXPECT_TRUE(errors.empty());
  EXPECT_EQ(ReadBans("# head\ns-1\nhas space\n\n" + std::string(300, 'x') + "\ns-2", "b", &errors),
            (Bans{"s-1", "s-2"}));
  EXPECT_EQ(errors,
            (std::vector<std::string>{"b:3: the id contains white space",
                                      "b:5: the id has 300 bytes, more than the maximum of 256"}));
}

// During an upgrade two processes share the file: each detects and loads the changes of the other.
TEST(BanFile, WhatOneProcessSavesTheOtherSees) {
  const std::string path = testing::TempDir() + "pearreach_bans_" + std::to_string(getpid());
  unlink(path.c_str());
  BanFile old_one(path), next_one(path);
  EXPECT_TRUE(next_one.Load().empty()) << "no file yet, which is no error";
  EXPECT_EQ(CountOf("bans_not_read"), 0u);
  ASSERT_TRUE(old_one.Save({"s-0"}));
  EXPECT_FALSE(old_one.Changed()) << "its own write is no change";
  ASSERT_TRUE(next_one.Changed());
  EXPECT_EQ(next_one.Load(), Bans{"s-0"});
  EXPECT_FALSE(next_one.Changed());
  ASSERT_TRUE(next_one.Save({}));
  ASSERT_TRUE(old_one.Changed()) << "an empty list is a change, too";
  EXPECT_TRUE(old_one.Load().empty());
  { std::ofstream(path) << "s-1\nnot one\n"; }
  EXPECT_EQ(old_one.Load(), Bans{"s-1"});
  EXPECT_GE(CountOf("bad_ban_line"), 1u);
  unlink(path.c_str());
}

// A file that cannot be written is counted, and the node continues.
TEST(BanFile, AFileThatCannotBeWrittenIsCounted) {
  BanFile file("/proc/pearreach-no/bans");
  const std::uint64_t before = CountOf("bans_not_kept");
  EXPECT_FALSE(file.Save({"s-0"}));
  EXPECT_EQ(CountOf("bans_not_kept"), before + 1);
}

TEST(ZoneOrders, WhatIsKeptIsReadAgainAndWhatIsNoOrderIsPassedOver) {
  const std::vector<ZoneOrder> orders = {{"z 1", 4, "leave", 3, 1'796'000'000'000},
                                         {"north", 9, "none", 0, 1}};
  std::vector<std::string> errors;
  EXPECT_EQ(ReadZoneOrders(WriteZoneOrders(orders), "f", &errors), orders);
  EXPECT_TRUE(errors.empty());
  const auto kept = ReadZoneOrders(
      "# head\n0 leave 1 2 z1\n5 flee 1 2 z1\n5 leave x 2 z1\n5 leave 1 2\n7 return 1 2 z2\n", "f",
      &errors);
  ASSERT_EQ(kept.size(), 1u);
  EXPECT_EQ(kept[0].target, "z2");
  EXPECT_EQ(errors,
            (std::vector<std::string>{"f:2: expected NUMBER leave|return|none NODE UNIX_MS NAME",
                                      "f:3: expected NUMBER leave|return|none NODE UNIX_MS NAME",
                                      "f:4: expected NUMBER leave|return|none NODE UNIX_MS NAME",
                                      "f:5: expected NUMBER leave|return|none NODE UNIX_MS NAME"}));
  const std::string path = testing::TempDir() + "/orders." + std::to_string(getpid());
  EXPECT_TRUE(LoadZoneOrders(path).empty());
  ASSERT_TRUE(SaveZoneOrders(path, orders));
  EXPECT_EQ(LoadZoneOrders(path), orders);
  EXPECT_FALSE(SaveZoneOrders("/proc/no/such", orders));
}

}  // namespace
}  // namespace pearreach::admin
