#include "tier/logging/log.h"

#include <chrono>
#include <cstdio>

namespace pearreach::logging {
namespace {

struct Sink {
  std::string node;
  Severity minimum = Severity::kInfo;
};

Sink& TheSink() {
  static Sink sink;
  return sink;
}

constexpr std::string_view kNames[] = {"debug", "info", "warning", "error"};

void AppendQuoted(std::string_view text, std::string* out) {
  out->push_back('"');
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      fmt::format_to(std::back_inserter(*out), "\\u{:04x}", static_cast<unsigned>(c));
    } else {
      out->push_back(c);
    }
  }
  out->push_back('"');
}

}  // namespace

void SetNode(std::string name) { TheSink().node = std::move(name); }
void SetMinimum(Severity severity) { TheSink().minimum = severity; }
bool Enabled(Severity severity) { return severity >= TheSink().minimum; }

void Write(Severity severity, std::string_view module, std::string_view message,
           std::initializer_list<Field> fields) {
  if (!Enabled(severity)) return;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::string line = fmt::format("{{\"time_ms\":{},\"severity\":\"{}\",\"node\":", ms,
                                 kNames[static_cast<std::size_t>(severity)]);
  AppendQuoted(TheSink().node, &line);
  line += ",\"module\":";
  AppendQuoted(module, &line);
  line += ",\"message\":";
  AppendQuoted(message, &line);
  for (const Field& field : fields) {
    line.push_back(',');
    AppendQuoted(field.name, &line);
    line.push_back(':');
    AppendQuoted(field.value, &line);
  }
  line += "}\n";
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace pearreach::logging
