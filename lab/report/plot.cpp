#include "lab/report/plot.h"

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>

namespace pearreach::lab {
namespace {

constexpr double kWidth = 640, kHeight = 260, kLeft = 62, kRight = 12, kTop = 30, kBottom = 40;
constexpr const char* kDashes[] = {"", "7 3", "2 3", "10 3 2 3", "4 4", "1 2", "12 4", "6 2 1 2"};
constexpr const char* kColours[] = {"#1b4f9c", "#b5451b", "#2d7a3a", "#7a2d78",
                                    "#8a6d00", "#00707a", "#a0174e", "#444444"};

std::string Format(const char* form, ...) __attribute__((format(printf, 1, 2)));
std::string Format(const char* form, ...) {
  char text[400];
  va_list args;
  va_start(args, form);
  std::vsnprintf(text, sizeof text, form, args);
  va_end(args);
  return text;
}

// A step of 1, 2 or 5 times a power of ten, so that there are about `n` of them.
double Step(double span, int n) {
  const double raw = std::max(span, 1e-12) / n, power = std::pow(10, std::floor(std::log10(raw)));
  const double part = raw / power;
  return power * (part <= 1 ? 1 : part <= 2 ? 2 : part <= 5 ? 5 : 10);
}

std::string Head(const std::string& title, double height) {
  return Format(
             "<svg viewBox='0 0 %.0f %.0f' width='%.0f' height='%.0f' role='img' "
             "xmlns='http://www.w3.org/2000/svg'>",
             kWidth, height, kWidth, height) +
         "<title>" + Escape(title) + "</title><text class='t' x='" + Format("%.0f", kLeft) +
         "' y='16'>" + Escape(title) + "</text>";
}

std::string TextAt(double x, double y, const char* anchor, const std::string& text) {
  return Format("<text x='%.1f' y='%.1f' text-anchor='%s'>", x, y, anchor) + Escape(text) +
         "</text>";
}

std::string Number(double v) {
  if (v != 0 && std::abs(v) >= 10000) return Format("%.3g", v);
  return Format("%.4g", v);
}

}  // namespace

std::string Escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\'':
        out += "&#39;";
        break;
      default:
        out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
  }
  return out;
}

std::string LinePlot(const Axes& axes, const std::vector<Line>& lines) {
  double x0 = 1e300, x1 = -1e300, y0 = axes.from_zero ? 0 : 1e300, y1 = -1e300;
  const auto map = [&](double x) { return axes.log_x ? std::log10(std::max(x, 1e-9)) : x; };
  for (const Line& l : lines)
    for (const auto& [x, y] : l.points) {
      x0 = std::min(x0, map(x));
      x1 = std::max(x1, map(x));
      y0 = std::min(y0, y);
      y1 = std::max(y1, y);
    }
  std::string svg = Head(axes.title, kHeight);
  if (x0 > x1) return svg + TextAt(kWidth / 2, kHeight / 2, "middle", "nothing to show") + "</svg>";
  if (axes.y_most > 0) y1 = axes.y_most;
  if (y1 <= y0) y1 = y0 + 1;
  if (x1 <= x0) x1 = x0 + 1;
  const double w = kWidth - kLeft - kRight, h = kHeight - kTop - kBottom;
  const auto px = [&](double x) { return kLeft + (map(x) - x0) / (x1 - x0) * w; };
  const auto py = [&](double y) { return kTop + h - (std::clamp(y, y0, y1) - y0) / (y1 - y0) * h; };
  svg +=
      Format("<rect class='f' x='%.1f' y='%.1f' width='%.1f' height='%.1f'/>", kLeft, kTop, w, h);
  const double ystep = Step(y1 - y0, 5);
  for (double y = std::ceil(y0 / ystep) * ystep; y <= y1 + ystep / 1e6; y += ystep) {
    svg += Format("<path class='g' d='M%.1f %.1fH%.1f'/>", kLeft, py(y), kLeft + w);
    svg += TextAt(kLeft - 5, py(y) + 4, "end", Number(std::abs(y) < ystep / 1e6 ? 0 : y));
  }
  if (axes.log_x) {
    for (double p = std::floor(x0); p <= std::ceil(x1); ++p)
      for (const double m : {1.0, 2.0, 5.0}) {
        const double x = m * std::pow(10, p);
        if (map(x) < x0 || map(x) > x1) continue;
        svg += Format("<path class='g' d='M%.1f %.1fV%.1f'/>", px(x), kTop, kTop + h);
        svg += TextAt(px(x), kTop + h + 14, "middle", Number(x));
      }
  } else {
    const double xstep = Step(x1 - x0, 8);
    for (double x = std::ceil(x0 / xstep) * xstep; x <= x1 + xstep / 1e6; x += xstep)
      svg += TextAt(px(x), kTop + h + 14, "middle", Number(std::abs(x) < xstep / 1e6 ? 0 : x));
  }
  svg += TextAt(kLeft + w / 2, kHeight - 6, "middle", axes.x);
  svg += Format("<text transform='translate(12 %.1f) rotate(-90)' text-anchor='middle'>",
                kTop + h / 2) +
         Escape(axes.y) + "</text>";
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (lines[i].points.empty()) continue;
    std::string d;
    for (const auto& [x, y] : lines[i].points)
      d += Format("%c%.1f %.1f", d.empty() ? 'M' : 'L', px(x), py(y));
    svg += Format("<path class='l' stroke='%s' stroke-dasharray='%s' d='", kColours[i % 8],
                  kDashes[i % 8]) +
           d + "'/>";
  }
  // The legend names each line by its dashes.
  double lx = kLeft + 8;
  for (std::size_t i = 0; i < lines.size() && lines.size() > 1; ++i) {
    const double y = kTop + 12 + 13 * static_cast<double>(i % 6);
    if (i % 6 == 0 && i > 0) lx += 150;
    svg += Format("<path class='l' stroke='%s' stroke-dasharray='%s' d='M%.1f %.1fh24'/>",
                  kColours[i % 8], kDashes[i % 8], lx, y - 3);
    svg += TextAt(lx + 29, y, "start", lines[i].name);
  }
  return svg + "</svg>";
}

std::string IntervalPlot(const std::string& title, const std::string& x,
                         const std::vector<Dot>& dots) {
  const double row = 18, left = 250,
               height = kTop + row * static_cast<double>(dots.size()) + kBottom;
  double from = 0, to = 0;
  for (const Dot& d : dots) {
    from = std::min(from, d.at - d.half);
    to = std::max(to, d.at + d.half);
  }
  if (from == to) to = from + 1;
  const double margin = 0.05 * (to - from), w = kWidth - left - kRight;
  from -= margin;
  to += margin;
  const auto px = [&](double v) { return left + (v - from) / (to - from) * w; };
  std::string svg = Head(title, height);
  const double bottom = height - kBottom, step = Step(to - from, 6);
  for (double v = std::ceil(from / step) * step; v <= to; v += step) {
    svg += Format("<path class='g' d='M%.1f %.1fV%.1f'/>", px(v), kTop, bottom);
    svg += TextAt(px(v), bottom + 14, "middle", Number(std::abs(v) < step / 1e6 ? 0 : v));
  }
  svg += Format("<path class='a' d='M%.1f %.1fV%.1f'/>", px(0), kTop, bottom);
  for (std::size_t i = 0; i < dots.size(); ++i) {
    const double y = kTop + row * (static_cast<double>(i) + 0.5);
    svg += TextAt(left - 8, y + 4, "end", dots[i].name + (dots[i].marked ? " *" : ""));
    svg += Format("<path class='a' d='M%.1f %.1fH%.1fM%.1f %.1fv8M%.1f %.1fv8'/>",
                  px(dots[i].at - dots[i].half), y, px(dots[i].at + dots[i].half),
                  px(dots[i].at - dots[i].half), y - 4, px(dots[i].at + dots[i].half), y - 4);
    svg += Format("<circle cx='%.1f' cy='%.1f' r='4' class='%s'/>", px(dots[i].at), y,
                  dots[i].marked ? "m" : "o");
  }
  return svg + TextAt(left + w / 2, height - 6, "middle", x) + "</svg>";
}

std::string MapPlot(const std::string& title, const std::string& x, double x_from, double x_to,
                    const std::vector<std::vector<Cell>>& rows) {
  const double cell = std::max(
      3.0, std::min(10.0, 320.0 / static_cast<double>(std::max<std::size_t>(1, rows.size()))));
  const double height = kTop + cell * static_cast<double>(rows.size()) + kBottom;
  const double w = kWidth - kLeft - kRight;
  std::size_t columns = 1;
  for (const auto& r : rows) columns = std::max(columns, r.size());
  // No more columns than can be seen: each stands for several.
  const std::size_t shown = std::min<std::size_t>(columns, 160);
  const double cw = w / static_cast<double>(shown);
  std::string svg = Head(title, height);
  for (std::size_t r = 0; r < rows.size(); ++r) {
    const double y = kTop + cell * static_cast<double>(r);
    for (std::size_t c = 0; c < shown; ++c) {
      const std::size_t a = c * columns / shown, b = std::max(a + 1, (c + 1) * columns / shown);
      double dark = 0, n = 0;
      char mark = ' ';
      for (std::size_t i = a; i < b && i < rows[r].size(); ++i) {
        dark += rows[r][i].dark;
        ++n;
        if (rows[r][i].mark != ' ') mark = rows[r][i].mark;
      }
      if (n == 0) continue;
      const double px = kLeft + cw * static_cast<double>(c);
      const int grey = static_cast<int>(255 - 215 * std::clamp(dark / n, 0.0, 1.0));
      svg += Format("<rect x='%.1f' y='%.1f' width='%.2f' height='%.1f' fill='rgb(%d,%d,%d)'/>", px,
                    y, cw + 0.2, cell - 0.6, grey, grey, grey);
      if (mark == 'x')
        svg += Format("<path class='x' d='M%.1f %.1fl%.1f %.1fm0 %.1fl%.1f %.1f'/>", px, y, cw,
                      cell - 0.6, -(cell - 0.6), -cw, cell - 0.6);
      if (mark == 'c') svg += Format("<path class='c' d='M%.1f %.1fh%.1f'/>", px, y + cell / 2, cw);
      if (mark == 'd')
        svg += Format("<path class='x' d='M%.1f %.1fh%.1f'/>", px, y + cell - 1.2, cw);
    }
  }
  const double bottom = kTop + cell * static_cast<double>(rows.size());
  const double step = Step(x_to - x_from, 8);
  for (double v = std::ceil(x_from / step) * step; v <= x_to + 1e-9; v += step)
    svg += TextAt(kLeft + (v - x_from) / (x_to - x_from) * w, bottom + 14, "middle", Number(v));
  return svg + TextAt(kLeft + w / 2, height - 6, "middle", x) + "</svg>";
}

}  // namespace pearreach::lab
