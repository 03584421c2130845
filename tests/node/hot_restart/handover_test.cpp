// A node's process hands over to the next one, between real processes, and either is killed on the
// way.
#include "node/hot_restart/handover.h"

#include <gio/gunixsocketaddress.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <memory>

#include "lab/base/standins.h"
#include "tests/node/engine/rig.h"

namespace pearreach {
namespace {

using namespace rig;
using lab::NodeProcess;

class Handing : public testing::Test {
 protected:
  Handing() : worker(Accept), address(lab::FreeAddress()) {
    discovery.SetList({{"s-0", worker.address()}});
    std::ofstream(own()) << "<pearreach><handover path='" + folder.path() +
                                "/n0.sock'/></pearreach>";
  }
  std::string own() const { return folder.path() + "/own.xml"; }
  std::unique_ptr<NodeProcess> Begin() {
    return std::make_unique<NodeProcess>(PEARREACH_PROGRAM, "n0", folder.path(),
                                         discovery.address(), own(), address);
  }
  int port() const { return std::stoi(address.substr(address.rfind(':') + 1)); }
  std::string log() const {
    std::ifstream in(folder.path() + "/n0.log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  bool Logged(const std::string& what, std::size_t times = 1) {
    const auto count = [&] {
      std::size_t n = 0;
      const std::string text = log();
      for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; ++at) ++n;
      return n;
    };
    for (int i = 0; i < 1000 && count() < times; ++i) RunFor(10 * kMs);
    return count() >= times;
  }
  // A new client's job goes through, whoever takes it.
  bool Serves(const std::string& id) {
    for (int i = 0; i < 20; ++i) {  // one that was taken by a process that died is lost with it
      const std::string job = id + "-" + std::to_string(i);
      Caller client(port());
      client.SendJob(job);
      const auto has = [&] {
        for (const Message& m : worker.got)
          if (m.method == "POST" && *m.Find("X-Request-ID") == job) return true;
        return false;
      };
      RunUntil([&] { return has() || client.closed; }, 2 * kSecond);
      if (!has()) continue;
      Caller agent(port());
      agent.SendUpdate(job, "s-0", "started");
      agent.SendUpdate(job, "s-0", "done");
      RunUntil([&] { return !client.answers.empty() || client.closed; }, 2 * kSecond);
      if (!client.answers.empty() && client.answers[0].status == 200) return true;
    }
    return false;
  }

  lab::Folder folder;
  Server worker;
  lab::StandInDiscovery discovery;
  std::string address;
};

// No connection is refused, what the old one has taken is answered by it, also where a worker tells
// the new one of it, and the old one ends.
TEST_F(Handing, JobsGoOnFromOneProcessToTheNext) {
  auto before = Begin();
  ASSERT_TRUE(before->Ready(20 * kSecond));
  Caller kept(port());
  kept.SendJob("j1");
  RunUntil([&] { return worker.got.size() == 1; });
  Caller first(port());
  first.SendUpdate("j1", "s-0", "started");
  EXPECT_EQ(first.Status(), 200);
  auto after = Begin();
  // Clients come and go all the while.
  std::vector<std::unique_ptr<Caller>> comers;
  for (int i = 0; i < 200 && log().find("the next process accepts") == std::string::npos; ++i) {
    comers.push_back(std::make_unique<Caller>(port()));
    comers.back()->stream->Write("GET /ready HTTP/1.1\r\n\r\n");
    RunFor(5 * kMs);
  }
  ASSERT_TRUE(Logged("the next process accepts"));
  for (const auto& comer : comers) EXPECT_NE(comer->Status(), 0) << "refused or reset";
  comers.clear();
  EXPECT_TRUE(Serves("new")) << "by the next one";
  Caller agent(port());
  agent.SendUpdate("j1", "s-0", "done");
  EXPECT_EQ(agent.Status(), 200);
  EXPECT_EQ(kept.Status(), 200) << "the word reached the one that has the job";
  EXPECT_EQ(kept.answers[0].body, "r-j1");
  kept.stream->Close();
  first.stream->Close();
  RunUntil([&] { return before->over(); });
  EXPECT_TRUE(before->over()) << "it has not ended by itself";
  EXPECT_TRUE(Serves("later"));
  // And the next one hands over in its turn.
  auto third = Begin();
  ASSERT_TRUE(Logged("the next process accepts", 2));
  EXPECT_TRUE(Serves("third"));
}

// A client keeps its connection to the old process across the hand-over: it is the next one's then,
// and carries the client's next job after the old one has ended.
TEST_F(Handing, AClientsConnectionGoesOverToTheNextProcess) {
  auto before = Begin();
  ASSERT_TRUE(before->Ready(20 * kSecond));
  Caller kept(port());
  kept.stream->Write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_EQ(kept.Status(), 200);
  auto after = Begin();
  ASSERT_TRUE(Logged("the next process accepts"));
  RunUntil([&] { return before->over(); });
  ASSERT_TRUE(before->over()) << "the old one waits for no client that it has handed over";
  EXPECT_FALSE(kept.closed);
  kept.SendJob("j1");
  RunUntil([&] { return !worker.got.empty() || kept.closed; });
  ASSERT_FALSE(kept.closed) << "closed with the old process" << log();
  ASSERT_EQ(worker.got.size(), 1u);
  Caller agent(port());
  agent.SendUpdate("j1", "s-0", "done");
  EXPECT_EQ(kept.Status(1), 200);
}

// Killed at some moment between its start and its service, the next one leaves the old one serving;
// the old one killed, the next one serves.
TEST_F(Handing, WhicheverIsKilledTheOtherServes) {
  auto serving = Begin();
  ASSERT_TRUE(serving->Ready(20 * kSecond));
  for (int i = 0; i < 8; ++i) {
    auto next = Begin();
    RunFor(i * 4 * kMs);
    next->Kill();
    EXPECT_TRUE(Serves("n" + std::to_string(i)))
        << "the next one was killed after " << 4 * i << " ms";
    if (serving->over()) break;  // it had answered all and gone: an ordinary crash
  }
  for (int i = 0; i < 8; ++i) {
    if (serving->over()) serving = Begin();
    ASSERT_TRUE(serving->Ready(20 * kSecond));
    auto next = Begin();
    RunFor(i * 4 * kMs);
    serving->Kill();
    EXPECT_TRUE(next->Ready(20 * kSecond)) << i << log();
    EXPECT_TRUE(Serves("o" + std::to_string(i)))
        << "the old one was killed after " << 4 * i << " ms";
    serving = std::move(next);
  }
}

// The next one has taken over and dies while the old one still answers: the old one accepts again.
TEST_F(Handing, TheOldOneTakesBack) {
  auto before = Begin();
  ASSERT_TRUE(before->Ready(20 * kSecond));
  Caller kept(port());
  kept.SendJob("j1");
  RunUntil([&] { return worker.got.size() == 1; });
  auto next = Begin();
  ASSERT_TRUE(Logged("the next process accepts"));
  next->Kill();
  ASSERT_TRUE(Logged("accepting again"));
  EXPECT_TRUE(Serves("again"));
  auto third = Begin();
  ASSERT_TRUE(Logged("the next process accepts", 2)) << "the path is there again";
  EXPECT_TRUE(Serves("third"));
}

// ---------------------------------------------------------------- odd peers

HandOver::Events Nothing() {
  return {.listener = [] { return 0; },
          .knowledge = [] { return std::string("k"); },
          .leave = [] {},
          .stay = [] {},
          .alone = [] {},
          .news = [](const std::string&) {},
          .connection = [](int fd) { close(fd); }};
}

TEST(HandOverLink, OddPeersAreLetGo) {
  lab::Folder folder;
  const std::string path = folder.path() + "/s";
  std::string why;
  HandOver nobody(path, "n0", Nothing());
  EXPECT_FALSE(nobody.Ask(kSecond, &why));
  EXPECT_EQ(why, "") << "there is none, which is no fault";
  std::ofstream(path) << "left over";
  EXPECT_FALSE(nobody.Ask(kSecond, &why));
  HandOver serving(path, "n0", Nothing());
  EXPECT_EQ(serving.Serve(), "");
  EXPECT_EQ(std::filesystem::status(path).permissions() & std::filesystem::perms::others_all,
            std::filesystem::perms::none);
  const auto peer = [&](const std::string& bytes) {
    GSocket* socket = g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_DEFAULT, nullptr);
    GSocketAddress* at = g_unix_socket_address_new(path.c_str());
    EXPECT_TRUE(g_socket_connect(socket, at, nullptr, nullptr));
    g_object_unref(at);
    bool closed = false;
    const auto stream = Stream::Adopt(socket);
    stream->Listen({[] {}, [](std::string_view) {}, [&] { closed = true; }});
    stream->Write(bytes);
    RunUntil([&] { return closed; }, 2 * kSecond);
    stream->Close();
    return closed;
  };
  EXPECT_TRUE(peer(std::string("T\x02\0\0\0n1", 7)))
      << "of another node" << CountOf("hand_over_odd");
  EXPECT_TRUE(peer("T\xff\xff\xff\xff")) << "a frame without end";
  EXPECT_FALSE(serving.leaving());
  EXPECT_FALSE(serving.Forward("news")) << "there is nobody";
}

}  // namespace
}  // namespace pearreach
