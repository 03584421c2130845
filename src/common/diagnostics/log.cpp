#include "common/diagnostics/log.h"

#include <glib.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <map>
#include <memory>

namespace pearreach {
namespace {

constexpr std::int64_t kLineEvery = 1'000'000;  // microseconds between two lines of one fault

struct Counter {
  std::uint64_t count = 0, logged = 0;
  std::int64_t last_line = -kLineEvery;
};

std::map<std::string, Counter>& Counters() {
  static std::map<std::string, Counter> counters;
  return counters;
}

struct Out {
  std::string name = "pearreach";
  LogFormat format = LogFormat::kText;
  std::shared_ptr<spdlog::logger> logger;

  Out() { Make(); }
  void Make() {
    logger =
        std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern(format == LogFormat::kText ? "%E.%e %n: %v" : "%v");
  }
};

Out& TheOut() {
  static Out out;
  return out;
}

std::string JsonLine(const std::string& node, const char* event,
                     const std::vector<LogField>& fields, const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  const auto put = [&](const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  json.Key("time");
  const std::int64_t milliseconds = g_get_real_time() / 1000;
  json.Double(static_cast<double>(milliseconds) / 1000);
  put("node", node);
  put("event", event);
  for (const LogField& f : fields) put(f.name, f.value);
  put("text", text);
  json.EndObject();
  return buffer.GetString();
}

}  // namespace

void SetLogName(const std::string& name) {
  TheOut().name = name;
  TheOut().Make();
}

void SetLogFormat(LogFormat format) {
  if (TheOut().format == format) return;
  TheOut().format = format;
  TheOut().Make();
}

void Log(const char* event, const std::vector<LogField>& fields, const std::string& text) {
  Out& out = TheOut();
  const auto line = out.format == LogFormat::kText ? text : JsonLine(out.name, event, fields, text);
  out.logger->log(spdlog::level::info, spdlog::string_view_t(line));
}

void Count(const char* name, std::uint64_t by) { Counters()[name].count += by; }

void CountFault(const char* name, const std::string& detail) {
  Counter& c = Counters()[name];
  ++c.count;
  const std::int64_t now = g_get_monotonic_time();
  if (now - c.last_line < kLineEvery) return;
  c.last_line = now;
  const std::string count = std::to_string(c.count), what = detail.substr(0, 200);
  Log("fault", {{"count", name}, {"total", count}, {"detail", what}},
      std::string(name) + " (" + count + "): " + what);
}

void CountGrowth(const char* name, std::uint64_t now, std::uint64_t* before) {
  if (now > *before) Count(name, now - *before);
  *before = now;
}

std::uint64_t CountOf(const std::string& name) { return Counters()[name].count; }

void LogCounts() {
  std::string line;
  std::vector<LogField> fields;
  for (auto& [name, c] : Counters()) {
    if (c.count == c.logged) continue;
    c.logged = c.count;
    fields.push_back({name.c_str(), std::to_string(c.count)});
    line += ' ' + name + '=' + fields.back().value;
  }
  if (!line.empty()) Log("counts", fields, "counts:" + line);
}

}  // namespace pearreach
