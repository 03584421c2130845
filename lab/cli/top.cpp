// The sub-command top: follows files, or reads standard input, and shows what they say in a
// terminal. It owns the terminal; what is shown is lab/top's.
#include <curses.h>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <memory>

#include "dispatch/settings/settings_reader.h"
#include "lab/cli/commands.h"
#include "lab/top/model.h"

namespace pearreach::lab {
namespace {

constexpr std::size_t kMaxLine = 1 << 20;

// Lines as they are added to a file.
struct Source {
  int fd = -1;
  std::string rest;

  // False: its end, for now.
  bool Read(TopModel* model) {
    char bytes[1 << 16];
    const ssize_t n = ::read(fd, bytes, sizeof bytes);
    if (n <= 0) return false;
    rest.append(bytes, static_cast<std::size_t>(n));
    std::size_t at = 0;
    for (std::size_t end; (end = rest.find('\n', at)) != std::string::npos; at = end + 1)
      model->Feed(std::string_view(rest).substr(at, end - at));
    rest.erase(0, at);
    if (rest.size() > kMaxLine) rest.clear();  // no line of ours
    return true;
  }
};

}  // namespace

int TopCommand(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach-lab top",
      "Shows nodes' logs (JSON lines) or an experiment's progress as they grow:\n"
      "  top FILE...; without a file, standard input. q ends it.");
  options.add_options()("words", "", cxxopts::value<std::vector<std::string>>())(
      "once", "print what there is, in so many columns, and end",
      cxxopts::value<int>()->default_value("0")->implicit_value("120"));
  options.parse_positional({"words"});
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  std::vector<Source> sources;
  const auto add = [&](int fd) { sources.emplace_back().fd = fd; };
  if (args->count("words") == 0) add(STDIN_FILENO);
  if (args->count("words") > 0)
    for (const std::string& path : (*args)["words"].as<std::vector<std::string>>()) {
      add(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
      if (sources.back().fd < 0) throw dispatch::Malformed(path + ": cannot be read");
    }
  TopModel model;
  if (const int columns = (*args)["once"].as<int>(); columns > 0) {
    for (Source& s : sources)
      while (s.Read(&model)) {
      }
    for (const std::string& line : model.Render(columns, 1000)) std::puts(line.c_str());
    return 0;
  }
  // Keys come from the terminal, whatever standard input is.
  std::unique_ptr<FILE, int (*)(FILE*)> keys(std::fopen("/dev/tty", "r"), std::fclose);
  if (keys == nullptr) throw dispatch::Malformed("top wants a terminal; --once prints without one");
  SCREEN* screen = newterm(nullptr, stdout, keys.get());
  if (screen == nullptr)
    throw dispatch::Malformed("top cannot use this terminal; --once prints without one");
  set_term(screen);
  cbreak();
  noecho();
  curs_set(0);
  timeout(0);
  for (int key = ERR; key != 'q' && key != 'Q'; key = getch()) {
    for (Source& s : sources) {
      pollfd ready{s.fd, POLLIN, 0};
      while (::poll(&ready, 1, 0) > 0 && s.Read(&model)) {
      }
    }
    erase();
    int row = 0;
    for (const std::string& line : model.Render(COLS, LINES - 1)) mvaddstr(row++, 0, line.c_str());
    mvaddstr(LINES - 1, 0, "q: end");
    refresh();
    napms(250);
  }
  endwin();
  delscreen(screen);
  return 0;
}

}  // namespace pearreach::lab
