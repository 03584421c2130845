// The terminal view's model: what lines make of the screen, and that no line can do harm.
#include <gtest/gtest.h>
#include <poll.h>
#include <pty.h>
#include <rapidcheck.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

#include "lab/top/model.h"

namespace pearreach::lab {
namespace {

std::string Screen(const TopModel& model, int width = 120, int height = 40) {
  std::string all;
  for (const std::string& line : model.Render(width, height)) all += line + "\n";
  return all;
}

TEST(Top, ShowsRatesLimitsAndWhoIsSilent) {
  TopModel top;
  top.Feed(
      R"({"time":100,"node":"n0","event":"counts","jobs":"100","served":"90","text":"counts:"})");
  top.Feed(
      R"({"time":110,"node":"n0","event":"counts","jobs":"300","served":"290","text":"counts:"})");
  top.Feed(
      R"({"time":110,"node":"n0","event":"figures","open":"12","workers":"9","limit_big-box":"40.0","busy_big-box":"20.0"})");
  top.Feed(
      R"({"time":111,"node":"n0","event":"worker_silent","worker":"s-1","text":"s-1 is silent"})");
  top.Feed(
      R"({"time":115,"node":"n0","event":"worker_silent","worker":"s-2","text":"s-2 is silent"})");
  top.Feed(R"({"time":116,"node":"n0","event":"worker_back","worker":"s-1","text":"s-1 is back"})");
  const std::string screen = Screen(top);
  EXPECT_NE(screen.find("20.0     20.0"), std::string::npos) << screen;
  EXPECT_NE(screen.find("big-box [#####.....] 20/40"), std::string::npos) << screen;
  EXPECT_NE(screen.find("silent: s-2 (1 s)\n"), std::string::npos) << screen;
  EXPECT_NE(screen.find("116.0 n0: s-1 is back"), std::string::npos) << screen;
  // Started again: its totals begin anew, and its rates are not below nought.
  top.Feed(R"({"time":120,"node":"n0","event":"counts","jobs":"50","text":"counts:"})");
  EXPECT_NE(Screen(top).find(" 5.0      0.0"), std::string::npos) << Screen(top);
}

TEST(Top, ShowsAnExperimentAsItGoes) {
  TopModel top;
  EXPECT_EQ(Screen(top), "nothing heard yet\n");
  for (int i = 1; i <= 3; ++i)
    top.Feed(R"({"event":"run","done":)" + std::to_string(i) +
             R"(,"of":4,"scenario":"half","variant":"two","seed":1,"service":0.)" +
             std::to_string(i + 5) + R"(,"rules_broken":1})");
  const std::string screen = Screen(top);
  EXPECT_NE(screen.find("experiment 3 of 4 runs"), std::string::npos);
  EXPECT_NE(screen.find("3   0.7000   0.6000       3"), std::string::npos) << screen;
}

// Whatever a log holds: no crash, the screen stays within its bounds and has no control codes.
TEST(Top, NoLineDoesHarm) {
  EXPECT_TRUE(rc::check([](const std::vector<std::string>& words, std::uint8_t width,
                           std::uint8_t height) {
    TopModel top;
    for (const std::string& word : words) {
      top.Feed(word);
      std::string quoted;
      for (const char c : word)
        if (c != '"' && c != '\\' && static_cast<unsigned char>(c) >= 0x20) quoted += c;
      for (const char* event : {"counts", "figures", "worker_silent", "worker_back", "run", "x"})
        top.Feed(R"({"time":)" + std::to_string(word.size()) + R"(,"node":")" + quoted +
                 R"(","event":")" + event + R"(","worker":")" + quoted + R"(\u001b[2J","limit_)" +
                 quoted + R"(":")" + quoted + R"(","text":"\u0007)" + quoted + "\"}");
    }
    const auto screen = top.Render(width, height);
    RC_ASSERT(screen.size() <= height);
    for (const std::string& line : screen) {
      RC_ASSERT(line.size() <= width);
      for (const char c : line) RC_ASSERT(static_cast<unsigned char>(c) >= 0x20);
    }
  }));
}

// In a terminal of its own: it draws, follows the file as it grows, ends at a key with the terminal
// as it was, and says so in one line where there is none.
TEST(Top, RunsInATerminal) {
  const std::string path = testing::TempDir() + "top-" + std::to_string(getpid()) + ".log";
  std::ofstream log(path);
  log << R"({"time":100,"node":"n7","event":"worker_silent","worker":"s-1","text":"s-1 is silent"})"
      << std::endl;
  int terminal = -1;
  winsize size{30, 100, 0, 0};
  const pid_t child = forkpty(&terminal, nullptr, nullptr, &size);
  if (child == 0) {
    setenv("TERM", "xterm", 1);
    execl(PEARREACH_LAB, PEARREACH_LAB, "top", path.c_str(), nullptr);
    _exit(127);
  }
  ASSERT_GT(child, 0);
  std::string seen;
  const auto sees = [&](const std::string& what) {
    for (int i = 0; i < 200 && seen.find(what) == std::string::npos; ++i) {
      pollfd ready{terminal, POLLIN, 0};
      if (poll(&ready, 1, 100) <= 0) continue;
      char bytes[4096];
      const ssize_t n = read(terminal, bytes, sizeof bytes);
      if (n <= 0) break;
      seen.append(bytes, static_cast<std::size_t>(n));
    }
    return seen.find(what) != std::string::npos;
  };
  EXPECT_TRUE(sees("s-1 is silent")) << seen;
  log << R"({"time":101,"node":"n7","event":"worker_silent","worker":"s-2","text":"s-2 too"})"
      << std::endl;
  EXPECT_TRUE(sees("s-2 too")) << seen;
  ASSERT_EQ(write(terminal, "q", 1), 1);
  EXPECT_TRUE(sees("\x1b[?1049l")) << "the terminal was not given back";
  int status = -1;
  EXPECT_EQ(waitpid(child, &status, 0), child);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  close(terminal);
}

}  // namespace
}  // namespace pearreach::lab
