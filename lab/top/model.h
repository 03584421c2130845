// What a terminal view shows of nodes' log streams (JSON lines) and of a running experiment's
// progress. It owns what was read and the text of the screen; no terminal, no clock, no file. A
// line that is neither is counted and passed over.
#ifndef PEARREACH_LAB_TOP_MODEL_H_
#define PEARREACH_LAB_TOP_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::lab {

class TopModel {
 public:
  void Feed(std::string_view line);
  // The screen: no more than so many lines, none longer than `width`.
  std::vector<std::string> Render(int width, int height) const;
  std::uint64_t passed_over() const { return passed_over_; }

 private:
  struct Counts {
    double time = 0;                            // of the last line of counts; 0: none
    std::map<std::string, double> total, rate;  // a second, between the last two such lines
  };
  struct Pool {
    double limit = 0, busy = 0;
  };
  struct Node {
    double first = 0, last = 0;
    Counts counts;
    std::map<std::string, Pool> pools;
    double open = 0, workers = 0;
    std::map<std::string, double> silent;  // workers that are out, since when
  };
  struct Cell {
    int runs = 0;
    double service = 0, least = 1;
    std::uint64_t broken = 0;
  };
  std::map<std::string, Node> nodes_;
  std::deque<std::string> alarms_;  // the newest last
  std::map<std::pair<std::string, std::string>, Cell> cells_;
  std::uint64_t done_ = 0, of_ = 0, passed_over_ = 0;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TOP_MODEL_H_
