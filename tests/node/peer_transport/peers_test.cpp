// Tests of the peer transport: rejection of invalid datagrams, the datagram filter, the send
// budget, and nodes on loopback sockets.
#include "node/peer_transport/peers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

#include "lab/base/standins.h"
#include "node/fleet/fleet.h"
#include "node/peer_transport/gate.h"

namespace pearreach::peer_transport {
namespace {

std::string MakeDatagram(int from, std::uint64_t process, std::uint32_t number,
                         std::string_view section = "hello") {
  Writer w(from, process, number);
  EXPECT_TRUE(w.Add(Topic::kModule, section));
  return w.Take();
}

std::string RejectionOf(DatagramFilter* gate, const std::string& bytes, int source) {
  DropReason why{};
  return gate->Admit(bytes, source, &why) ? "" : NameOf(why);
}

TEST(Datagram, SaysWhyItIsNotBelieved) {
  DatagramFilter gate(0, 3);
  const std::string good = MakeDatagram(1, 1000, 1);
  EXPECT_EQ(RejectionOf(&gate, good.substr(0, 19), 1), "peer_words_short");
  EXPECT_EQ(RejectionOf(&gate, good + std::string(256, 'x'), 1), "peer_words_long");
  std::string other = good;
  other[1] = 2;
  EXPECT_EQ(RejectionOf(&gate, other, 1), "peer_words_other_version");
  EXPECT_EQ(RejectionOf(&gate, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1), "peer_words_foreign");
  EXPECT_EQ(RejectionOf(&gate, good, -1), "peer_words_unknown_sender");
  EXPECT_EQ(RejectionOf(&gate, good, 2), "peer_words_unknown_sender") << "address of another node";
  EXPECT_EQ(RejectionOf(&gate, MakeDatagram(0, 1000, 1), 0), "peer_words_unknown_sender")
      << "its own address";
  EXPECT_EQ(RejectionOf(&gate, good, 1), "");
  EXPECT_EQ(RejectionOf(&gate, good, 1), "peer_words_old") << "duplicate";
  EXPECT_EQ(RejectionOf(&gate, MakeDatagram(1, 2000, 1), 1), "")
      << "sequence numbers of a later process start again";
  EXPECT_EQ(RejectionOf(&gate, MakeDatagram(1, 1000, 9), 1), "peer_words_replaced");
  gate.ObserveProcess(2, 5000);
  EXPECT_EQ(RejectionOf(&gate, MakeDatagram(2, 4999, 1), 2), "peer_words_replaced")
      << "process learned from other nodes";
}

TEST(Datagram, OutOfOrderIsReadOnceAndNotTakenForNew) {
  DatagramFilter gate(0, 2);
  DropReason why{};
  ASSERT_TRUE(gate.Admit(MakeDatagram(1, 1, 70), 1, &why));
  const std::string late = MakeDatagram(1, 1, 69), old = MakeDatagram(1, 1, 6);
  const auto word = gate.Admit(late, 1, &why);
  ASSERT_TRUE(word);
  EXPECT_TRUE(word->late);
  EXPECT_FALSE(gate.Admit(late, 1, &why));
  EXPECT_FALSE(gate.Admit(old, 1, &why)) << "outside the replay window";
}

RC_GTEST_PROP(DatagramProperties, NoDamageIsBelieved, ()) {
  std::string bytes = MakeDatagram(1, 77, 5, "some bytes of a section");
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
  DropReason why{};
  RC_ASSERT(!Read(bytes, &why));
}

TEST(Datagram, ALaterVersionsTopicsAndTagArePassedOver) {
  Writer w(1, 5, 1);
  ASSERT_TRUE(w.Add(static_cast<Topic>(200), "of a later version"));
  ASSERT_TRUE(w.Add(Topic::kModule, "known"));
  DropReason why{};
  const std::string bytes = w.Take();
  const auto d = Read(bytes, &why);
  ASSERT_TRUE(d);
  ASSERT_EQ(d->sections.size(), 2u);
  EXPECT_EQ(d->sections[1].bytes, "known");
  Writer full(1, 5, 1);
  EXPECT_FALSE(full.Add(Topic::kModule, std::string(kMaxDatagramBytes - kHeaderBytes - 1, 'x')));
  EXPECT_TRUE(full.Add(Topic::kModule, std::string(kMaxDatagramBytes - kHeaderBytes - 2, 'x')));
  EXPECT_EQ(full.Take().size(), kMaxDatagramBytes);
}

TEST(Budget, WhatMattersLessWaitsFirst) {
  Budget budget(1000, 0);
  EXPECT_TRUE(budget.Take(0, 500, 2));
  EXPECT_FALSE(budget.Take(0, 200, 2)) << "the rest is reserved for higher priorities";
  EXPECT_TRUE(budget.Take(0, 200, 0));
  EXPECT_TRUE(budget.Take(0, 300, 0));
  EXPECT_FALSE(budget.Take(0, 1, 0));
  EXPECT_TRUE(budget.Take(500'000, 500, 0)) << "half a second later";
}

// ---------------------------------------------------------------- on sockets

std::string FreeUdpAddress() {
  PeerTransport probe(
      {"127.0.0.1:0", {"127.0.0.1:1", "127.0.0.1:2"}, "", 0}, [] { return 1; }, [](int) {});
  EXPECT_EQ(probe.Open(), "");
  return "127.0.0.1:" + std::to_string(probe.port());
}

FleetSettings SettingsOf(const std::vector<std::string>& nodes, int self) {
  FleetSettings s;
  s.listen = nodes[static_cast<std::size_t>(self)];
  s.nodes = nodes;
  s.self = self;
  s.period = 50 * kMs;
  s.bytes_per_second = 100'000;
  return s;
}

TEST(Fleet, NodesHearOfEachOtherAndCarryTheModulesWords) {
  const std::vector<std::string> nodes = {FreeUdpAddress(), FreeUdpAddress(), FreeUdpAddress()};
  Fleet a(SettingsOf(nodes, 0)), b(SettingsOf(nodes, 1)), c(SettingsOf(nodes, 2));
  std::vector<std::pair<int, std::string>> told;
  b.OnTold([&](int from, std::string bytes) { told.push_back({from, std::move(bytes)}); });
  for (Fleet* f : {&a, &b, &c}) f->Start();
  ASSERT_TRUE(lab::RunUntil([&] { return a.members()->view(Now()).alive == 2; }, 20 * kSecond));
  ASSERT_TRUE(a.Tell(1, "bytes for the module"));
  EXPECT_FALSE(a.Tell(1, std::string(300, 'x'))) << "it does not fit";
  ASSERT_TRUE(lab::RunUntil([&] { return !told.empty(); }, 20 * kSecond));
  EXPECT_EQ(told[0], (std::pair<int, std::string>(0, "bytes for the module")));
  c.Leave();
  ASSERT_TRUE(lab::RunUntil([&] { return a.members()->view(Now()).left == 1; }, 20 * kSecond));
}

// Of two processes with one node's address, the second waits until the address is free.
TEST(Fleet, TheSecondProcessOfANodeWaitsForItsAddress) {
  const std::vector<std::string> nodes = {FreeUdpAddress(), FreeUdpAddress()};
  Fleet first(SettingsOf(nodes, 0)), second(SettingsOf(nodes, 0)), other(SettingsOf(nodes, 1));
  first.Start();
  second.Start();
  other.Start();
  EXPECT_TRUE(first.speaks());
  EXPECT_FALSE(second.speaks());
  ASSERT_TRUE(lab::RunUntil([&] { return other.members()->view(Now()).alive == 1; }, 20 * kSecond));
  const std::uint64_t before = other.members()->entry(0).process;
  first.Yield();
  ASSERT_TRUE(lab::RunUntil([&] { return second.speaks(); }, 20 * kSecond));
  ASSERT_TRUE(
      lab::RunUntil([&] { return other.members()->entry(0).process > before; }, 20 * kSecond));
}

std::string ToString(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// Messages for the decision module become its events: they are in the capture, and the replay is
// identical. A node without a peer address logs the reason in one line and serves.
TEST(Node, WordsForTheModuleAreInTheCaptureAndReplay) {
  lab::Folder folder;
  const std::vector<std::string> nodes = {FreeUdpAddress(), FreeUdpAddress()};
  const std::string address = lab::FreeAddress(), list = lab::FreeAddress();
  const auto config = [&](const std::string& peers) {
    return R"({"name":"n0","listen":")" + address + R"(","discovery":")" + list +
           R"(","known":{"version":1,"full":true,"servers":[]},)" + peers +
           R"("settings":{"Balancers":2,"Ordinal":0,"RoundMs":2.0,"Zones":["z"],"Locality":"z","Models":["m"],)"
           R"("RequestClasses":[{"Name":"a","Effect":"once","AimMs":1.0,"DeadlineMs":5.0,)"
           R"("Credit":1.0}]}})";
  };
  const std::string file = folder.path() + "/op.xml";
  std::ofstream(file) << "<pearreach><peers period-ms='50'/><capture folder='" << folder.path()
                      << "/c' flush-ms='10'/></pearreach>";
  {
    lab::NodeProcess node(
        PEARREACH_PROGRAM, "n0", folder.path(),
        lab::NodeProcess::Own{config(R"("peer_listen":")" + nodes[0] + R"(","peers":[")" +
                                     nodes[0] + "\",\"" + nodes[1] + "\"],")},
        file, address);
    ASSERT_TRUE(node.Ready(20 * kSecond)) << ToString(folder.path() + "/n0.log");
    Fleet other(SettingsOf(nodes, 1));
    other.Start();
    ASSERT_TRUE(
        lab::RunUntil([&] { return other.members()->view(Now()).alive == 1; }, 20 * kSecond));
    for (int i = 0; i < 20; ++i) other.Tell(0, "word " + std::to_string(i));
    lab::RunUntil([] { return false; }, 300 * kMs);
    EXPECT_TRUE(node.Stop());
  }
  EXPECT_NE(ToString(folder.path() + "/n0.log").find("peer_words_for_the_module=20"),
            std::string::npos);
  const std::string replay =
      std::string(PEARREACH_PROGRAM) + " replay " + folder.path() + "/c/*.prcap";
  EXPECT_EQ(std::system((replay + " >" + folder.path() + "/out").c_str()), 0)
      << ToString(folder.path() + "/out");
  lab::NodeProcess without(PEARREACH_PROGRAM, "n1", folder.path(),
                           lab::NodeProcess::Own{config("")}, file, address);
  EXPECT_TRUE(without.Ready(20 * kSecond));
  EXPECT_NE(ToString(folder.path() + "/n1.log")
                .find("peers_off (1): peers: the configuration has no peer_listen"),
            std::string::npos);
}

// A burst of datagrams is read in bounded batches, so that other work of the event loop continues.
TEST(Peers, AStormOfWordsStarvesNobody) {
  const std::vector<std::string> nodes = {FreeUdpAddress(), FreeUdpAddress()};
  int heard = 0, turns = 0, most = 0, in_turn = 0;
  PeerTransport receiver(
      {nodes[0], nodes, "", 0}, [] { return 1; }, [](int) {});
  receiver.Register(Topic::kModule, {0, nullptr, [&](int, std::uint64_t, bool, std::string_view) {
                                       ++heard;
                                       most = std::max(most, ++in_turn);
                                     }});
  ASSERT_EQ(receiver.Open(), "");
  PeerTransport sender(
      {nodes[1], nodes, "", 1, 1e9}, [] { return 1; }, [](int) {});
  ASSERT_EQ(sender.Open(), "");
  for (int i = 0; i < 200; ++i) sender.Send(0, Topic::kModule, "storm");
  while (heard < 200 && ++turns < 1000) {
    in_turn = 0;
    g_main_context_iteration(nullptr, FALSE);
  }
  EXPECT_LE(most, 32);
  EXPECT_GE(turns, 6);
}

}  // namespace
}  // namespace pearreach::peer_transport
