// The file of bans: what another process reads of it, and what it makes of a bad line.
#include "admin/bans.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "base/log.h"

namespace pearreach::admin {
namespace {

TEST(BanFile, ReadsWhatWasWrittenAndPassesOverWhatIsNoId) {
  const Bans bans = {"s-0aa5bc8a", "w/2"};
  std::vector<std::string> wrong;
  EXPECT_EQ(ReadBans(WriteBans(bans), "b", &wrong), bans);
  EXPECT_TRUE(wrong.empty());
  EXPECT_EQ(ReadBans("# head\ns-1\nhas space\n\n" + std::string(300, 'x') + "\ns-2", "b", &wrong),
            (Bans{"s-1", "s-2"}));
  EXPECT_EQ(wrong, (std::vector<std::string>{"b:3: an id with a space in it",
                                             "b:5: an id longer than 256 bytes"}));
}

// Two processes of a node in an upgrade: what one saves, the other sees as changed and loads.
TEST(BanFile, WhatOneProcessSavesTheOtherSees) {
  const std::string path = testing::TempDir() + "pearreach_bans_" + std::to_string(getpid());
  unlink(path.c_str());
  BanFile old_one(path), next_one(path);
  EXPECT_TRUE(next_one.Load().empty()) << "none yet, and no fault";
  EXPECT_EQ(CountOf("bans_not_read"), 0u);
  ASSERT_TRUE(old_one.Save({"s-0"}));
  EXPECT_FALSE(old_one.Changed()) << "its own writing";
  ASSERT_TRUE(next_one.Changed());
  EXPECT_EQ(next_one.Load(), Bans{"s-0"});
  EXPECT_FALSE(next_one.Changed());
  ASSERT_TRUE(next_one.Save({}));
  ASSERT_TRUE(old_one.Changed()) << "an attach is a change too";
  EXPECT_TRUE(old_one.Load().empty());
  { std::ofstream(path) << "s-1\nnot one\n"; }
  EXPECT_EQ(old_one.Load(), Bans{"s-1"});
  EXPECT_GE(CountOf("bad_ban_line"), 1u);
  unlink(path.c_str());
}

// A file that cannot be written costs the node nothing but a count.
TEST(BanFile, AFileThatCannotBeWrittenIsCounted) {
  BanFile file("/proc/pearreach-no/bans");
  const std::uint64_t before = CountOf("bans_not_kept");
  EXPECT_FALSE(file.Save({"s-0"}));
  EXPECT_EQ(CountOf("bans_not_kept"), before + 1);
}

}  // namespace
}  // namespace pearreach::admin
