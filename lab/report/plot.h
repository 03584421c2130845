// Plots as SVG: lines, intervals and maps, legible in print and without colour (each line has its
// own dashes and mark). It owns the look; it knows nothing of what is plotted.
#ifndef PEARREACH_LAB_REPORT_PLOT_H_
#define PEARREACH_LAB_REPORT_PLOT_H_

#include <string>
#include <utility>
#include <vector>

namespace pearreach::lab {

std::string Escape(const std::string& text);  // for HTML and SVG

struct Line {
  std::string name;
  std::vector<std::pair<double, double>> points;
};
struct Axes {
  std::string title, x, y;
  bool log_x = false;
  bool from_zero = true;  // the y axis
  double y_most = 0;      // 0: as the lines need
};
std::string LinePlot(const Axes& axes, const std::vector<Line>& lines);

struct Dot {
  std::string name;
  double at = 0, half = 0;
  bool marked = false;
};
// Values with their intervals, one a row, against nought.
std::string IntervalPlot(const std::string& title, const std::string& x,
                         const std::vector<Dot>& dots);

// Rows over time; a cell is 0 to 1 dark, or has one of the marks 'c' (cold), 'x' (away), 'd'
// (draining) beside it.
struct Cell {
  double dark = 0;
  char mark = ' ';
};
std::string MapPlot(const std::string& title, const std::string& x, double x_from, double x_to,
                    const std::vector<std::vector<Cell>>& rows);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_REPORT_PLOT_H_
