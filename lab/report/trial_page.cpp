#include "lab/report/trial_page.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <vector>

#include "lab/report/page.h"
#include "lab/report/plot.h"
#include "lab/trial/checkers.h"

namespace pearreach::lab {
namespace {

constexpr double kWidth = 1240, kLeft = 150, kRow = 20, kTop = 24;

std::string Format(const char* form, ...) __attribute__((format(printf, 1, 2)));
std::string Format(const char* form, ...) {
  char text[400];
  va_list args;
  va_start(args, form);
  std::vsnprintf(text, sizeof text, form, args);
  va_end(args);
  return text;
}

struct Band {
  Micros from = 0, until = 0;
  std::string what;
};

// Bands between two kinds of moments, by key.
class Bands {
 public:
  void Open(const std::string& key, Micros at, const std::string& what) {
    open_.emplace(key, Band{at, at, what});
  }
  void Close(const std::string& key, Micros at) {
    const auto it = open_.find(key);
    if (it == open_.end()) return;
    it->second.until = at;
    all[key].push_back(it->second);
    open_.erase(it);
  }
  void CloseAll(Micros at) {
    while (!open_.empty()) Close(std::string(open_.begin()->first), at);
  }
  std::map<std::string, std::vector<Band>> all;

 private:
  std::map<std::string, Band> open_;
};

// A row a zone, a line of it a node: when that node did not use the zone whole. Gives their height.
double ZoneRows(const History& history, const std::vector<std::string>& nodes,
                const std::function<double(Micros)>& x, double y,
                const std::function<void(const std::string&, double)>& label, std::string* svg) {
  constexpr double kZoneRow = 40;
  std::map<std::string, Bands> zones;  // by zone; the key is the node
  const auto state = [](const Moment& m) -> std::string {
    const std::string& step = m.Of("step");
    const std::string hand = m.Of("by_hand") == "1" ? " by hand" : "";
    if (m.Of("own") == "1") return "served from inside";
    if (step == "0") return "";
    return step == "1" ? "left" + hand
                       : "step " + std::to_string(std::atoi(step.c_str()) - 1) + hand;
  };
  const Micros end = history.empty() ? 0 : history.back().at;
  for (const Moment& m : history) {
    if (m.what == "serving" || (m.who == "trial" && m.what == "ended"))
      for (auto& [zone, bands] : zones) bands.Close(m.who == "trial" ? m.Of("node") : m.who, m.at);
    if (m.what != "zone" || m.Of("zone").empty()) continue;
    Bands& bands = zones[m.Of("zone")];
    bands.Close(m.who, m.at);
    if (const std::string is = state(m); !is.empty()) bands.Open(m.who, m.at, is);
  }
  double height = 0;
  for (auto& [zone, bands] : zones) {
    bands.CloseAll(end);
    label("zone " + zone, y + height);
    const double line =
        (kZoneRow - 6) / static_cast<double>(std::max<std::size_t>(1, nodes.size()));
    for (std::size_t n = 0; n < nodes.size(); ++n)
      for (const Band& b : bands.all[nodes[n]])
        *svg += Format("<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' fill='%s'><title>",
                       x(b.from), y + height + 3 + line * static_cast<double>(n),
                       std::max(1.0, x(b.until) - x(b.from)), std::max(0.5, line - 0.5),
                       b.what.starts_with("left")     ? "#b8402a"
                       : b.what.starts_with("served") ? "#4a78a8"
                                                      : "#d9b65a") +
                Escape(nodes[n] + ": " + b.what) + "</title></rect>";
    height += kZoneRow;
  }
  return height;
}

}  // namespace

std::string ReportOfTrial(const History& history, const std::string& title) {
  const Micros end = history.empty() ? 1 : std::max<Micros>(1, history.back().at);
  const auto x = [&](Micros at) {
    return kLeft + (kWidth - kLeft - 10) * static_cast<double>(at) / static_cast<double>(end);
  };
  Bands faults, states;
  std::vector<std::string> nodes, fault_order;
  std::string what;
  for (const Moment& m : history) {
    if (m.who != "trial") continue;
    const std::string& node = m.Of("node");
    if (m.what == "fault") {
      fault_order.push_back(m.Of("number"));
      faults.Open(m.Of("number"), m.at, m.Of("kind") + " " + m.Of("from") + " > " + m.Of("to"));
    }
    if (m.what == "mended") faults.Close(m.Of("number"), m.at);
    if (m.what == "started" && std::find(nodes.begin(), nodes.end(), node) == nodes.end())
      nodes.push_back(node);
    if (m.what == "started") states.Close(node, m.at);
    if (m.what == "ended") {
      states.Close(node, m.at);
      states.Open(node, m.at, "not there (" + m.Of("how") + ")");
    }
    if (m.what == "stalled") states.Open(node, m.at, "stopped");
    if (m.what == "resumed") states.Close(node, m.at);
    if (m.what == "plan")
      what = m.Of("nodes") + " nodes in " + m.Of("zones") + " zones, seed " + m.Of("seed");
  }
  faults.CloseAll(end);
  states.CloseAll(end);
  std::sort(nodes.begin(), nodes.end(), [](const std::string& a, const std::string& b) {
    return a.size() != b.size() ? a.size() < b.size() : a < b;
  });
  const std::vector<Violation> violations = CheckAll(history);

  std::map<std::string, double> row;
  double y = kTop;
  std::string svg;
  const auto label_of = [&](const std::string& text, double at) {
    svg += Format("<text x='%.0f' y='%.1f' text-anchor='end'>", kLeft - 6, at + 13) + Escape(text) +
           "</text>";
  };
  const auto label = [&](const std::string& text) { label_of(text, y); };
  for (const std::string& number : fault_order) {
    label(faults.all[number].front().what);
    for (const Band& b : faults.all[number])
      svg += Format("<rect x='%.1f' y='%.1f' width='%.1f' height='10' fill='#d9a441'/>", x(b.from),
                    y + 4, std::max(1.0, x(b.until) - x(b.from)));
    y += kRow;
  }
  y += 8;
  for (const std::string& node : nodes) {
    row[node] = y;
    label(node);
    svg += Format("<rect x='%.1f' y='%.1f' width='%.1f' height='14' fill='#dfe8ee'/>", kLeft, y + 2,
                  kWidth - kLeft - 10);
    for (const Band& b : states.all[node])
      svg += Format("<rect x='%.1f' y='%.1f' width='%.1f' height='14' fill='%s'><title>", x(b.from),
                    y + 2, std::max(1.0, x(b.until) - x(b.from)),
                    b.what == "stopped" ? "#8f8f8f" : "#ffffff") +
             Escape(b.what) + "</title></rect>";
    y += kRow;
  }
  y += ZoneRows(history, nodes, x, y, label_of, &svg);
  // What each hears, as the height of a mark; who is alive for it, as its shade.
  for (const Moment& m : history) {
    if (m.what != "view" || !row.contains(m.who) || m.Of("asked").empty()) continue;
    const double asked = std::max<double>(1, static_cast<double>(m.Number("asked")));
    const double part = static_cast<double>(m.Number("heard")) / asked;
    const double others = std::max<double>(1, static_cast<double>(nodes.size()) - 1);
    const int shade = static_cast<int>(160 * (1 - static_cast<double>(m.Number("alive")) / others));
    svg += Format("<rect x='%.1f' y='%.1f' width='2' height='%.1f' fill='rgb(%d,%d,160)'><title>",
                  x(m.at), row[m.who] + 16 - 14 * part, std::max(1.0, 14 * part), 40 + shade, 60) +
           Escape(Words(m).substr(0, 300)) + "</title></rect>";
  }
  for (const Violation& v : violations) {
    double at = kTop;
    for (const std::size_t line : v.lines)
      if (row.contains(history[line].who)) at = row[history[line].who];
    svg += Format("<path d='M%.1f %.1f l5 9 h-10 z' fill='#c01818'><title>", x(v.at), at + 4) +
           Escape(v.rule + ": " + v.what) + "</title></path>";
  }
  for (int i = 0; i <= 10; ++i) {
    const Micros at = end * i / 10;
    svg += Format(
        "<path class='g' d='M%.1f %.0f V%.1f'/><text x='%.1f' y='%.1f' "
        "text-anchor='middle'>%.1f s</text>",
        x(at), kTop, y, x(at), y + 14, static_cast<double>(at) / 1e6);
  }
  std::string body =
      "<p>" + Escape(what) +
      ". Bands above: faults. Rows: nodes; grey: stopped, white: not there; "
      "the height of the marks is the part of the nodes asked that it hears, the redder the fewer "
      "are alive for it; red triangles: violations. Zones: a line a node; red: left, yellow: a "
      "step of "
      "its return, blue: served from inside.</p><figure>" +
      Format(
          "<svg viewBox='0 0 %.0f %.0f' width='%.0f' height='%.0f' role='img' "
          "xmlns='http://www.w3.org/2000/svg'>",
          kWidth, y + 24, kWidth, y + 24) +
      "<title>" + Escape(title) + "</title>" + svg + "</svg></figure><h2>Violations</h2>";
  if (violations.empty()) body += "<p>None.</p>";
  for (const Violation& v : violations) {
    body += "<p><b>" + Escape(v.rule) +
            Format("</b> at %.3f s: ", static_cast<double>(v.at) / 1e6) + Escape(v.what) +
            "</p><pre>";
    for (const std::size_t line : v.lines)
      body += Escape(Words(history[line]).substr(0, 500)) + "\n";
    body += "</pre>";
  }
  body += "<h2>Checked</h2><ul>";
  for (const Checker& c : Checkers())
    body += "<li>" + Escape(std::string(c.name) + ": " + c.what) + "</li>";
  return Page(title, body + "</ul>");
}

}  // namespace pearreach::lab
