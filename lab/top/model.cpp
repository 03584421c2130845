#include "lab/top/model.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>

namespace pearreach::lab {
namespace {

constexpr std::size_t kMaxAlarms = 200, kMaxNodes = 1000, kMaxNames = 2000;

std::string Format(const char* form, ...) __attribute__((format(printf, 1, 2)));
std::string Format(const char* form, ...) {
  char text[300];
  va_list args;
  va_start(args, form);
  std::vsnprintf(text, sizeof text, form, args);
  va_end(args);
  return text;
}

std::string Text(const rapidjson::Value& in, const char* key) {
  const auto it = in.FindMember(key);
  return it == in.MemberEnd() || !it->value.IsString() ? "" : it->value.GetString();
}

double Number(const rapidjson::Value& in, const char* key) {
  const auto it = in.FindMember(key);
  if (it == in.MemberEnd()) return 0;
  if (it->value.IsNumber()) return it->value.GetDouble();
  return it->value.IsString() ? std::strtod(it->value.GetString(), nullptr) : 0;
}

// What comes from a log is shown as text, never as control codes.
std::string Plain(std::string text) {
  for (char& c : text)
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) c = '?';
  return text;
}

// [#####.....] of `of`.
std::string Bar(double value, double of, int width) {
  const int full = of > 0 ? std::clamp(static_cast<int>(value / of * width + 0.5), 0, width) : 0;
  return "[" + std::string(static_cast<std::size_t>(full), '#') +
         std::string(static_cast<std::size_t>(width - full), '.') + "]";
}

}  // namespace

void TopModel::Feed(std::string_view line) {
  rapidjson::Document json;
  json.Parse(line.data(), line.size());
  if (json.HasParseError() || !json.IsObject()) {
    ++passed_over_;
    return;
  }
  const std::string event = Text(json, "event");
  if (event == "run") {
    done_ = static_cast<std::uint64_t>(std::max(0.0, Number(json, "done")));
    of_ = static_cast<std::uint64_t>(std::max(0.0, Number(json, "of")));
    if (cells_.size() >= kMaxNames) return;
    Cell& cell = cells_[{Plain(Text(json, "scenario")), Plain(Text(json, "variant"))}];
    const double service = Number(json, "service");
    cell.service += (service - cell.service) / ++cell.runs;
    cell.least = std::min(cell.least, service);
    cell.broken += static_cast<std::uint64_t>(std::max(0.0, Number(json, "rules_broken")));
    return;
  }
  const std::string name = Plain(Text(json, "node"));
  if (name.empty() || event.empty() || (nodes_.size() >= kMaxNodes && !nodes_.contains(name))) {
    ++passed_over_;
    return;
  }
  Node& node = nodes_[name];
  const double time = Number(json, "time");
  if (node.first == 0) node.first = time;
  node.last = std::max(node.last, time);
  if (event == "counts") {
    const double span = time - node.counts.time;
    // A node that was started again counts from nought.
    for (auto& [what, rate] : node.counts.rate) rate = 0;
    for (const auto& field : json.GetObject()) {
      const std::string what = field.name.GetString();
      if (what == "time" || what == "node" || what == "event" || what == "text") continue;
      const double total = Number(json, what.c_str());
      if (node.counts.total.size() >= kMaxNames && !node.counts.total.contains(what)) continue;
      double& before = node.counts.total[what];
      const double gained = total >= before ? total - before : total;
      if (node.counts.time > 0 && span > 0) node.counts.rate[what] = gained / span;
      before = total;
    }
    node.counts.time = time;
    return;
  }
  if (event == "figures") {
    node.open = Number(json, "open");
    node.workers = Number(json, "workers");
    for (const auto& field : json.GetObject()) {
      const std::string what = field.name.GetString();
      if (node.pools.size() >= kMaxNames) break;
      if (what.starts_with("limit_"))
        node.pools[Plain(what.substr(6))].limit = Number(json, what.c_str());
      if (what.starts_with("busy_"))
        node.pools[Plain(what.substr(5))].busy = Number(json, what.c_str());
    }
    return;
  }
  if (event == "worker_silent" && node.silent.size() < kMaxNames)
    node.silent[Plain(Text(json, "worker"))] = time;
  if (event == "worker_back") node.silent.erase(Plain(Text(json, "worker")));
  alarms_.push_back(Format("%.1f ", time) + name + ": " + Plain(Text(json, "text")));
  if (alarms_.size() > kMaxAlarms) alarms_.pop_front();
}

std::vector<std::string> TopModel::Render(int width, int height) const {
  std::vector<std::string> out;
  const auto put = [&](std::string line) {
    if (static_cast<int>(line.size()) > width)
      line.resize(static_cast<std::size_t>(std::max(0, width)));
    if (static_cast<int>(out.size()) < height) out.push_back(std::move(line));
  };
  if (of_ > 0) {
    put(Format("experiment %llu of %llu runs ", static_cast<unsigned long long>(done_),
               static_cast<unsigned long long>(of_)) +
        Bar(static_cast<double>(done_), static_cast<double>(of_), 30));
    put(Format("%-26s %-20s %5s %8s %8s %7s", "scenario", "variant", "runs", "service", "least",
               "broken"));
    for (const auto& [names, cell] : cells_)
      put(Format("%-26.26s %-20.20s %5d %8.4f %8.4f %7llu", names.first.c_str(),
                 names.second.c_str(), cell.runs, cell.service, cell.least,
                 static_cast<unsigned long long>(cell.broken)));
    put("");
  }
  if (!nodes_.empty()) {
    put(Format("%-12s %8s %8s %8s %8s %7s %7s  %s", "node", "jobs/s", "served/s", "refused/s",
               "failed/s", "open", "workers", "pools: busy of limit"));
    for (const auto& [name, n] : nodes_) {
      const auto rate = [&, &rates = n.counts.rate](const char* what) {
        const auto it = rates.find(what);
        return it == rates.end() ? 0.0 : it->second;
      };
      std::string pools;
      for (const auto& [pool, p] : n.pools)
        pools += pool + " " + Bar(p.busy, p.limit, 10) + Format(" %.0f/%.0f  ", p.busy, p.limit);
      put(Format("%-12.12s %8.1f %8.1f %8.1f %8.1f %7.0f %7.0f  ", name.c_str(), rate("jobs"),
                 rate("served"), rate("refused"), rate("failed"), n.open, n.workers) +
          pools);
      if (!n.silent.empty()) {
        std::string silent;
        for (const auto& [worker, since] : n.silent)
          silent += " " + worker + Format(" (%.0f s)", std::max(0.0, n.last - since));
        put("  silent:" + silent);
      }
    }
    put("");
  }
  if (nodes_.empty() && of_ == 0) put("nothing heard yet");
  if (!alarms_.empty()) put("latest:");
  const auto room = static_cast<std::size_t>(std::max(0, height - static_cast<int>(out.size())));
  for (std::size_t i = alarms_.size() - std::min(alarms_.size(), room); i < alarms_.size(); ++i)
    put(alarms_[i]);
  return out;
}

}  // namespace pearreach::lab
