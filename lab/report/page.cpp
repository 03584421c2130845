#include "lab/report/page.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <variant>

#include "lab/experiment/run.h"
#include "lab/report/plot.h"
#include "lab/stats/stats.h"
#include "node/capture/segment.h"

namespace pearreach::lab {
namespace {

constexpr const char* kStyle = R"(<style>
body{font:15px/1.45 Georgia,serif;max-width:1340px;margin:1.5em auto;padding:0 1em;color:#111;background:#fff}
h1{font-size:1.5em}h2{font-size:1.2em;margin-top:1.6em;border-top:1px solid #999;padding-top:.6em}
table{border-collapse:collapse;margin:.6em 0;font-size:.88em}th,td{border:1px solid #bbb;padding:.2em .5em;text-align:right}
th:first-child,td:first-child{text-align:left}.plots{display:flex;flex-wrap:wrap;gap:8px}
figure{margin:0;break-inside:avoid}svg{max-width:100%;height:auto;font:11px sans-serif}
svg text{fill:#111}svg .t{font-weight:bold;font-size:12.5px}.f{fill:none;stroke:#555}.g{stroke:#ddd;fill:none}
.l{fill:none;stroke-width:1.6}.a{stroke:#222;fill:none;stroke-width:1.3}.m{fill:#111}.o{fill:#fff;stroke:#111;stroke-width:1.4}
.x{stroke:#b5451b;fill:none;stroke-width:1}.c{stroke:#1b4f9c;fill:none;stroke-width:1.4;stroke-dasharray:2 1}
@media print{body{font-size:11pt}.plots{display:block}h2{break-before:auto}}
</style>)";

std::string Text(const char* form, double a, double b = 0) {
  char text[80];
  std::snprintf(text, sizeof text, form, a, b);
  return text;
}

std::string Figure(const std::string& svg) { return "<figure>" + svg + "</figure>\n"; }

// What the page reads of a run's details.
struct Details {
  rapidjson::Document json;
  bool good = false;

  explicit Details(const std::string& text) {
    json.Parse(text.data(), text.size());
    good = !json.HasParseError() && json.IsObject();
  }
  const rapidjson::Value* Array(const char* key) const {
    if (!good) return nullptr;
    const auto it = json.FindMember(key);
    return it == json.MemberEnd() || !it->value.IsArray() ? nullptr : &it->value;
  }
  double Number(const char* key, double otherwise) const {
    if (!good) return otherwise;
    const auto it = json.FindMember(key);
    return it == json.MemberEnd() || !it->value.IsNumber() ? otherwise : it->value.GetDouble();
  }
};

double At(const rapidjson::Value& array, rapidjson::SizeType i) {
  return array.IsArray() && i < array.Size() && array[i].IsNumber() ? array[i].GetDouble() : 0;
}

// A line over time from the rows of a details' array.
template <class Value>
Line OverTime(const std::string& name, const rapidjson::Value& rows, double step, Value value) {
  Line line{name, {}};
  double at = step;
  for (const auto& row : rows.GetArray()) {
    const std::optional<double> v = value(row);
    if (v) line.points.push_back({at, *v});
    at += step;
  }
  return line;
}

std::string SectionOf(const std::string& scenario, const std::vector<const Run*>& runs) {
  std::string out = "<h2>" + Escape(scenario) +
                    "</h2><p>One run of each variant, of the first seed.</p><div class='plots'>";
  std::vector<Line> times, service, refusals, attempts;
  std::string single;
  for (const Run* run : runs) {
    const Details d(run->details);
    const auto* curves = d.Array("times");
    if (curves != nullptr) {
      const auto* classes = d.Array("classes");
      for (rapidjson::SizeType i = 0; i < curves->Size(); ++i) {
        std::string name = run->variant;
        if (curves->Size() > 1 && classes != nullptr && i < classes->Size() &&
            (*classes)[i].IsObject() && (*classes)[i].HasMember("name"))
          name += ", " + std::string((*classes)[i]["name"].GetString());
        Line line{name, {}};
        for (const auto& p : (*curves)[i].GetArray())
          line.points.push_back({At(p, 0), 100 * At(p, 1)});
        times.push_back(std::move(line));
      }
    }
    if (const auto* seconds = d.Array("seconds")) {
      service.push_back(
          OverTime(run->variant, *seconds, 1, [](const auto& row) -> std::optional<double> {
            return At(row, 0) > 0 ? std::optional(At(row, 1) / At(row, 0)) : std::nullopt;
          }));
      refusals.push_back(OverTime(run->variant, *seconds, 1,
                                  [](const auto& row) { return std::optional(At(row, 2)); }));
      attempts.push_back(OverTime(run->variant, *seconds, 1,
                                  [](const auto& row) { return std::optional(At(row, 3)); }));
      const auto* classes = d.Array("classes");
      if (classes != nullptr && classes->Size() > 1) {
        std::vector<Line> by_class;
        for (rapidjson::SizeType c = 0; c < classes->Size(); ++c)
          by_class.push_back(OverTime((*classes)[c]["name"].GetString(), *seconds, 1,
                                      [c](const auto& row) -> std::optional<double> {
                                        const double asked = At(row, 5 + 2 * c);
                                        return asked > 0 ? std::optional(At(row, 6 + 2 * c) / asked)
                                                         : std::nullopt;
                                      }));
        single += Figure(LinePlot({.title = run->variant + ": service by class",
                                   .x = "seconds",
                                   .y = "worth served of asked",
                                   .y_most = 1},
                                  by_class));
      }
    }
    const double step = d.Number("sample_s", 0.25);
    const auto* nodes = d.Array("nodes");
    if (nodes != nullptr && nodes->Size() > 0) {
      std::vector<Line> limits, open;
      for (rapidjson::SizeType n = 0; n < std::min<rapidjson::SizeType>(nodes->Size(), 3); ++n) {
        const std::string name = "node " + std::to_string(n);
        limits.push_back(OverTime(name + " limit", (*nodes)[n], step,
                                  [](const auto& row) { return std::optional(At(row, 0)); }));
        limits.push_back(OverTime(name + " busy", (*nodes)[n], step,
                                  [](const auto& row) { return std::optional(At(row, 1)); }));
        open.push_back(OverTime(name, (*nodes)[n], step,
                                [](const auto& row) { return std::optional(At(row, 2)); }));
      }
      single += Figure(LinePlot(
          {.title = run->variant + ": limit and busy slots of nodes", .x = "seconds", .y = "slots"},
          limits));
      single += Figure(LinePlot({.title = run->variant + ": requests at nodes, held or out",
                                 .x = "seconds",
                                 .y = "requests"},
                                open));
    }
    const auto* workers = d.Array("workers");
    if (workers != nullptr && workers->Size() > 0) {
      std::vector<std::vector<Cell>> rows;
      for (const auto& samples : workers->GetArray()) {
        rows.emplace_back();
        for (const auto& s : samples.GetArray()) {
          const int v = s.IsInt() ? s.GetInt() : 0;
          rows.back().push_back({(v % 200) / 100.0, " cxd"[std::clamp(v / 200, 0, 3)]});
        }
      }
      single +=
          Figure(MapPlot(run->variant + ": workers, darker is busier; - cold, x away, _ draining",
                         "seconds", 0, d.Number("length_s", 1), rows));
    }
  }
  out += Figure(LinePlot({.title = "Time to the answer, of what was served",
                          .x = "milliseconds",
                          .y = "percent within",
                          .log_x = true,
                          .y_most = 100},
                         times));
  out += Figure(LinePlot(
      {.title = "Service by the second", .x = "seconds", .y = "worth served of asked", .y_most = 1},
      service));
  out += Figure(LinePlot({.title = "Refusals", .x = "seconds", .y = "a second"}, refusals));
  out +=
      Figure(LinePlot({.title = "Attempts at workers", .x = "seconds", .y = "a second"}, attempts));
  return out + single + "</div>\n";
}

}  // namespace

std::string Page(const std::string& title, const std::string& body) {
  return "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'><meta name='viewport' "
         "content='width=device-width'><title>" +
         Escape(title) + "</title>" + kStyle + "</head><body><h1>" + Escape(title) + "</h1>\n" +
         body + "</body></html>\n";
}

std::string ReportOf(const Results& results) {
  std::string body = "<p>" + Escape(results.what) + "</p><p>Build " + Escape(results.build) + ", " +
                     std::to_string(results.runs.size()) + " runs.</p>\n";
  std::vector<std::string> scenarios, variants;
  for (const Run& r : results.runs) {
    if (std::find(scenarios.begin(), scenarios.end(), r.scenario) == scenarios.end())
      scenarios.push_back(r.scenario);
    if (std::find(variants.begin(), variants.end(), r.variant) == variants.end())
      variants.push_back(r.variant);
  }
  body += "<table><tr><th>scenario, variant</th>";
  if (!results.runs.empty())
    for (const auto& [name, value] : results.runs.front().figures)
      body += "<th>" + Escape(name) + "</th>";
  body += "</tr>\n";
  for (const std::string& s : scenarios)
    for (const std::string& v : variants) {
      std::map<std::string, std::vector<double>> values;
      for (const Run& r : results.runs)
        if (r.scenario == s && r.variant == v)
          for (const auto& [name, value] : r.figures) values[name].push_back(value);
      if (values.empty()) continue;
      body += "<tr><td>" + Escape(s + ", " + v) + "</td>";
      for (const auto& [name, value] : results.runs.front().figures) {
        const Interval m = MeanOf(values[name]);
        body += "<td>" + Text("%.4g", m.mean) + (m.half > 0 ? Text(" &plusmn; %.2g", m.half) : "") +
                "</td>";
      }
      body += "</tr>\n";
    }
  body += "</table>\n";
  if (const auto compared = Compare(results); !compared.empty()) {
    body += "<h2>Against " + Escape(variants.front()) +
            "</h2><p>Differences, paired by seed, with their 95% intervals; * and a full dot: told "
            "from nought.</p><div class='plots'>";
    for (const char* figure :
         {"service", "worst_group", "refused", "failed", "p99_ms", "attempts"}) {
      std::vector<Dot> dots;
      for (const Comparison& c : compared)
        if (c.figure == figure)
          dots.push_back(
              {c.scenario + ", " + c.variant, c.difference.mean, c.difference.half, c.differs()});
      body += Figure(IntervalPlot(figure, std::string("difference of ") + figure, dots));
    }
    body += "</div>\n";
  }
  for (const std::string& s : scenarios) {
    std::vector<const Run*> runs;
    for (const Run& r : results.runs)
      if (r.scenario == s && !r.details.empty()) runs.push_back(&r);
    if (!runs.empty()) body += SectionOf(s, runs);
  }
  return Page("Experiment " + results.experiment, body);
}

std::string ReportOfCapture(const std::string& path) {
  capture::Segment segment(path);
  dispatch::Dispatcher dispatcher = segment.Restore();
  const dispatch::Site& site = segment.site();
  struct Second {
    double arrived = 0, sends = 0, refused = 0, failed = 0;
    std::map<dispatch::Outcome, double> ended;
  };
  std::map<Micros, Second> seconds;
  Line limit{"limit", {}}, busy{"busy", {}}, open{"requests", {}};
  std::map<dispatch::WorkerId, int> out;
  std::map<std::pair<std::uint64_t, int>, dispatch::WorkerId> at;
  std::map<std::uint64_t, int> attempts;
  std::vector<std::map<dispatch::WorkerId, int>> samples;
  TimeHistogram times;
  std::optional<Micros> first;
  Micros next_sample = 0, last = 0;
  std::vector<dispatch::Action> actions;
  std::uint64_t turns = 0, events = 0;
  std::string marks;
  for (capture::Turn turn; segment.Next(&turn);) {
    if (!first) first = next_sample = turn.now;
    last = turn.now;
    ++turns;
    events += turn.events.size();
    Second& s = seconds[(turn.now - *first) / 1'000'000];
    if (!turn.mark.empty())
      marks += "<li>" + Text("%.3f s: ", static_cast<double>(turn.now - *first) / 1e6) +
               Escape(turn.mark) + "</li>";
    for (const dispatch::Event& e : turn.events) {
      if (std::holds_alternative<dispatch::RequestArrived>(e)) ++s.arrived;
      if (const auto* ended = std::get_if<dispatch::AttemptEnded>(&e)) {
        ++s.ended[ended->outcome];
        if (ended->outcome == dispatch::Outcome::kGood) times.Add(ended->latency);
        const auto it = at.find({ended->request, ended->attempt});
        if (it != at.end()) {
          --out[it->second];
          at.erase(it);
        }
      }
    }
    actions.clear();
    dispatcher.Handle(turn.now, turn.events, &actions);  // for its figures; what counts is recorded
    for (const dispatch::Action& a : turn.actions) {
      if (const auto* send = std::get_if<dispatch::Send>(&a)) {
        ++s.sends;
        ++out[send->worker];
        at[{send->request, attempts[send->request]++}] = send->worker;
      }
      s.refused += std::holds_alternative<dispatch::Refuse>(a) ? 1 : 0;
      s.failed += std::holds_alternative<dispatch::Fail>(a) ? 1 : 0;
    }
    for (; next_sample <= turn.now; next_sample += 250'000) {
      const double t = static_cast<double>(next_sample - *first) / 1e6;
      double l = 0, b = 0;
      for (int k = 0; k < site.settings.kinds; ++k) {
        l += dispatcher.PoolLimit(k);
        b += dispatcher.PoolBusy(k);
      }
      limit.points.push_back({t, l});
      busy.points.push_back({t, b});
      open.points.push_back({t, static_cast<double>(dispatcher.OpenRequests())});
      samples.push_back(out);
    }
  }
  std::string body =
      "<p>Node " + Escape(segment.origin().node) + ", build " + Escape(segment.origin().build) +
      ": " + std::to_string(turns) + " turns, " + std::to_string(events) + " events" +
      (segment.damage().empty() ? "" : ", DAMAGED: " + Escape(segment.damage())) + ".</p>";
  if (!marks.empty()) body += "<ul>" + marks + "</ul>";
  body += "<div class='plots'>";
  std::vector<Line> rates = {
      {"arrived", {}}, {"sent", {}}, {"served", {}}, {"refused", {}}, {"failed", {}}};
  std::vector<Line> bad = {
      {"full", {}}, {"timed out", {}}, {"no connection", {}}, {"reset", {}}, {"error", {}}};
  using dispatch::Outcome;
  for (auto& [t, s] : seconds) {
    const double x = static_cast<double>(t) + 0.5;
    const double values[] = {s.arrived, s.sends, s.ended[Outcome::kGood], s.refused, s.failed};
    for (std::size_t i = 0; i < 5; ++i) rates[i].points.push_back({x, values[i]});
    const Outcome outcomes[] = {Outcome::kFull, Outcome::kTimeout, Outcome::kNoConnection,
                                Outcome::kReset, Outcome::kError};
    for (std::size_t i = 0; i < 5; ++i) bad[i].points.push_back({x, s.ended[outcomes[i]]});
  }
  Line curve{"attempts", {}};
  for (const auto& [us, part] : times.Curve()) curve.points.push_back({us / 1000, 100 * part});
  body += Figure(LinePlot({.title = "Jobs", .x = "seconds", .y = "a second"}, rates));
  body += Figure(LinePlot(
      {.title = "Attempts that came back otherwise than served", .x = "seconds", .y = "a second"},
      bad));
  body += Figure(
      LinePlot({.title = "Limit and busy slots", .x = "seconds", .y = "slots"}, {limit, busy}));
  body +=
      Figure(LinePlot({.title = "Requests held or out", .x = "seconds", .y = "requests"}, {open}));
  body += Figure(LinePlot({.title = "Time from the send to the word of the end, served",
                           .x = "milliseconds",
                           .y = "percent within",
                           .log_x = true,
                           .y_most = 100},
                          {curve}));
  int most = 1;
  for (const auto& s : samples)
    for (const auto& [w, n] : s) most = std::max(most, n);
  std::vector<std::vector<Cell>> rows(std::min<std::size_t>(segment.workers().size(), 64));
  for (const auto& s : samples)
    for (std::size_t w = 0; w < rows.size(); ++w) {
      const auto it = s.find(static_cast<dispatch::WorkerId>(w));
      rows[w].push_back({it == s.end() ? 0 : static_cast<double>(it->second) / most, ' '});
    }
  body +=
      Figure(MapPlot("Attempts out at workers; black is " + std::to_string(most), "seconds", 0,
                     std::max(1e-3, static_cast<double>(last - first.value_or(0)) / 1e6), rows));
  return Page("Capture of " + segment.origin().node, body + "</div>\n");
}

}  // namespace pearreach::lab
