// The program as a person calls it: exit codes and one line for what is wrong.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <string>
#include <utility>
#include <vector>

#include "lab/world/scenarios.h"
#include "node/capture/segment.h"
#include "node/job_store/store.h"
#include "node/knowledge/file.h"

namespace pearreach {
namespace {

struct Result {
  int code = -1;
  std::string out;
};

Result Call(const std::string& arguments, const std::string& environment = "") {
  Result r;
  FILE* pipe =
      popen((environment + " " + PEARREACH_PROGRAM + " " + arguments + " 2>&1").c_str(), "r");
  char buffer[4096];
  for (std::size_t n; (n = fread(buffer, 1, sizeof buffer, pipe)) > 0;) r.out.append(buffer, n);
  r.code = WEXITSTATUS(pclose(pipe));
  return r;
}

std::string File(const std::string& name, const std::string& bytes) {
  const std::string path = testing::TempDir() + name;
  capture::WriteFile(path, bytes);
  return path;
}

std::string Day() { return lab::Play(lab::Scenarios()[1])->Capture(); }

TEST(Cli, ReplaySaysIdenticalOrNot) {
  const std::string good = File("good.prcap", Day());
  Result r = Call("replay " + good);
  EXPECT_EQ(r.code, 0) << r.out;
  EXPECT_EQ(r.out.substr(0, 11), "identical: ");
  r = Call("replay --json " + good + " " + good);
  EXPECT_EQ(r.code, 0);
  EXPECT_NE(r.out.find("\"identical\":true"), std::string::npos);
  const std::string cut = File("cut.prcap", Day().substr(0, Day().size() - 20));
  r = Call("replay " + cut);
  EXPECT_EQ(r.code, 0);
  EXPECT_NE(r.out.find("cut off: the last "), std::string::npos) << r.out;
  std::string bytes = Day();
  bytes[bytes.size() / 2] ^= 1;
  r = Call("replay " + File("bad.prcap", bytes));
  EXPECT_EQ(r.code, 2);
  EXPECT_EQ(r.out.find("identical"), std::string::npos) << r.out;
  EXPECT_NE(r.out.find("damaged: block "), std::string::npos) << r.out;
  r = Call("replay --set Limits.TryLimit=1 " + good);
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out.substr(0, 9), "what if: ");
}

// Neither the place nor the machine's mood must matter to a replay.
TEST(Cli, ReplayDoesNotDependOnTheEnvironment) {
  for (const lab::Scenario& s : lab::Scenarios()) {
    const std::string file = File("place.prcap", lab::Play(s)->Capture());
    for (const char* environment :
         {"TZ=Asia/Kolkata LC_ALL=C.UTF-8", "TZ=America/St_Johns LC_ALL=de_DE.UTF-8 LANG=tr_TR",
          "env -i", "setarch -R", "MALLOC_PERTURB_=165 MALLOC_ARENA_MAX=1"})
      EXPECT_EQ(Call("replay " + file, environment).code, 0) << s.name << " " << environment;
  }
}

TEST(Cli, InfoTellsThatTheWallClockStepped) {
  const auto world = lab::Play(lab::Scenarios()[1]);
  capture::SegmentWriter writer(world->origin(), nullptr);
  const std::int64_t begin = 1'700'000'000'000'000;
  bool first = true;
  for (capture::Turn t : world->turns()) {
    t.unix_us = begin + t.now - (t.now > 2 * lab::kSecond ? 3600 * lab::kSecond : 0);
    if (std::exchange(first, false)) t.unix_us = begin;
    writer.Add(t);
  }
  const std::string file = File("stepped.prcap", writer.Finish(""));
  const Result r = Call("capture info " + file);
  EXPECT_EQ(r.code, 0);
  EXPECT_NE(r.out.find("the wall clock stepped by -3600"), std::string::npos) << r.out;
  EXPECT_EQ(Call("replay " + file).code, 0) << "the module is told the other clock";
}

TEST(Cli, ToolsMakeCapturesThatReplay) {
  const std::string day = File("day.prcap", Day());
  const std::string part = testing::TempDir() + "part.prcap";
  EXPECT_EQ(Call("capture cut " + day + " --from 0.5 --until 2 -o " + part).code, 0);
  EXPECT_EQ(Call("replay " + part).code, 0);
  EXPECT_EQ(Call("audit " + day + " " + part).code, 0);
  const std::string masked = testing::TempDir() + "masked.prcap";
  EXPECT_EQ(Call("capture anonymise " + part + " -o " + masked).code, 0);
  EXPECT_EQ(Call("replay " + masked).code, 0);
  Result r = Call("capture info " + masked);
  EXPECT_EQ(r.code, 0);
  EXPECT_NE(r.out.find("with a checkpoint of"), std::string::npos) << r.out;
  EXPECT_EQ(r.out.find("s-0"), std::string::npos) << r.out;
  EXPECT_EQ(Call("explain " + day + " --worker s-1").code, 0);
  r = Call("explain " + day + " --worker nobody");
  EXPECT_EQ(r.code, 1);
  EXPECT_EQ(r.out, "pearreach: " + day + ": nothing of nobody there\n");
}

TEST(Cli, JobsToolsSpeakJson) {
  const std::string path = testing::TempDir() + "cli-jobs-" + std::to_string(getpid()) + ".db";
  job_state::Job job;
  {
    const auto store = job_store::OpenSqlite({.path = path, .owner = "n0", .fault = {}});
    job.seq = store->NextSeq();
    job.id = job_state::MakeJobId(job.seq, 7);
    job.request_id = "r1";
    job.cls = "commit";
    store->Submit({{job_store::TakeJob{job}}, nullptr});
    job.state = job_state::State::kInDoubt;
    store->Submit({{job_store::PutJob{job}}, nullptr});
  }
  const std::string on = " --json --store " + path;
  Result r = Call("jobs list" + on);
  EXPECT_NE(r.out.find("\"state\":\"in doubt\""), std::string::npos) << r.out;
  r = Call("jobs resolve " + job.id + " --as failed --reason seen" + on);
  EXPECT_EQ(r.code, 0) << r.out;
  EXPECT_NE(r.out.find("\"state\":\"failed\""), std::string::npos) << r.out;
  EXPECT_NE(r.out.find("\"reason\":\"seen\""), std::string::npos) << r.out;
  EXPECT_EQ(Call("jobs resolve " + job.id + " --as failed" + on).code, 1) << "it is in no doubt";
  r = Call("jobs verify" + on);
  EXPECT_EQ(r.code, 0) << r.out;
  EXPECT_EQ(r.out, "{\"store\":\"" + path + "\",\"sound\":true,\"wrong\":[]}\n");
  r = Call("jobs compact" + on);
  EXPECT_EQ(r.code, 0) << r.out;
  EXPECT_NE(r.out.find("\"bytes_after\":"), std::string::npos) << r.out;
  // A page in its middle is overwritten: not sound, said the same way.
  std::string bytes = capture::ReadFile(path);
  std::fill(bytes.begin() + 4096, bytes.begin() + 4096 + 512, '\xff');
  capture::WriteFile(path, bytes);
  r = Call("jobs verify" + on);
  EXPECT_EQ(r.code, 1) << r.out;
  EXPECT_NE(r.out.find("\"sound\":false,\"wrong\":[\""), std::string::npos) << r.out;
}

TEST(Cli, KnowledgeToolsShowAndJudge) {
  const std::string folder = testing::TempDir() + "cli-knowledge-" + std::to_string(getpid());
  std::filesystem::create_directories(folder);
  knowledge::Memory m;
  m.node = "n0";
  m.written = 1'790'000'000'000'000;
  m.pools = {{"m", {0, 40, 30, 8, 200'000, 250'000, 900}}};
  m.workers = {{"s-7", 1000, {}}};
  ASSERT_EQ(knowledge::Folder(folder, "n0", {}).Save(m), "");
  const std::string file = folder + "/n0.1.know";
  Result r = Call("knowledge show " + file);
  EXPECT_EQ(r.code, 0) << r.out;
  EXPECT_NE(r.out.find("kind m: limit 40 slots, 30 found"), std::string::npos) << r.out;
  r = Call("knowledge show --json " + file);
  EXPECT_NE(r.out.find("\"id\":\"s-7\",\"started_ms\":1000"), std::string::npos) << r.out;
  EXPECT_EQ(Call("knowledge verify " + file).out, file + ": sound\n");
  const std::string config = File(
      "cli-knowledge.json",
      R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"RequestClasses":)"
      R"([{"Name":"c","Effect":"once"}],"Models":["m"],"RoundMs":2.0}})");
  r = Call("knowledge age " + file + " --by 300 --config " + config);
  EXPECT_NE(r.out.find("limit 20 slots"), std::string::npos) << r.out;
  std::string bytes = capture::ReadFile(file);
  bytes.back() = static_cast<char>(bytes.back() ^ 1);
  capture::WriteFile(file, bytes);
  r = Call("knowledge verify --json " + file);
  EXPECT_EQ(r.code, 1);
  EXPECT_NE(r.out.find("\"sound\":false,\"wrong\":\"its hash does not hold\""), std::string::npos)
      << r.out;
  r = Call("knowledge show " + file);
  EXPECT_EQ(r.code, 2);
  EXPECT_EQ(r.out, "pearreach: " + file + ": its hash does not hold\n");
  EXPECT_EQ(Call("knowledge drop " + folder + " --node n0").code, 0);
  EXPECT_FALSE(std::filesystem::exists(file));
  std::filesystem::remove_all(folder);
}

TEST(Cli, WrongUseIsOneLineAndCodeTwo) {
  const std::string day = File("day2.prcap", Day());
  for (const std::string& call :
       std::vector<std::string>{std::string("fly"),
                                std::string("replay"),
                                "replay --fast " + day,
                                std::string("replay /no/such"),
                                "replay --from 3 --until 2 " + day,
                                "replay --from x " + day,
                                "replay --set A " + day,
                                "replay --set Limits.TryLimit=x " + day,
                                "replay --accept --set A=1 " + day,
                                "explain " + day,
                                "explain --worker a " + day + " " + day,
                                "capture cut " + day,
                                "capture fly",
                                "capture cut " + day + " --from 99 -o /dev/null",
                                "capture anonymise " + day + " --key /dev/null -o /dev/null",
                                "capture import-tap " + day + " -o /dev/null",
                                std::string("replay /"),
                                std::string("serve --config /no/such"),
                                std::string("check --operator /no/such"),
                                std::string("knowledge"),
                                std::string("knowledge show"),
                                std::string("knowledge show /no/such"),
                                std::string("knowledge drop /tmp"),
                                std::string("serve extra words")}) {
    const Result r = Call(call);
    EXPECT_EQ(r.code, 2) << call << ": " << r.out;
    EXPECT_EQ(std::count(r.out.begin(), r.out.end(), '\n'), 1) << call << ": " << r.out;
  }
  for (const char* call : {"help", "version", "replay --help", "capture --help", "serve --help",
                           "check --help", "explain --help", "audit --help", "capture info --help"})
    EXPECT_EQ(Call(call).code, 0) << call;
}

}  // namespace
}  // namespace pearreach
