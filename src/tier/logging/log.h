// JSON lines on standard error: one object a line with the time of day, the severity, the module,
// the message and fields. Cheap enough for the ordinary path only where nothing goes wrong there.
#ifndef PEARREACH_SRC_TIER_LOGGING_LOG_H_
#define PEARREACH_SRC_TIER_LOGGING_LOG_H_

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pearreach::logging {

enum class Severity { kDebug, kInfo, kWarning, kError };

struct Field {
  std::string_view name;
  std::string value;
};

template <class Value>
Field F(std::string_view name, const Value& value) {
  return {name, fmt::format("{}", value)};
}

void SetNode(std::string name);      // named in each line from then on
void SetMinimum(Severity severity);  // lines below it are dropped
bool Enabled(Severity severity);
void Write(Severity severity, std::string_view module, std::string_view message,
           std::initializer_list<Field> fields);

inline void Info(std::string_view module, std::string_view message,
                 std::initializer_list<Field> fields = {}) {
  Write(Severity::kInfo, module, message, fields);
}
inline void Warning(std::string_view module, std::string_view message,
                    std::initializer_list<Field> fields = {}) {
  Write(Severity::kWarning, module, message, fields);
}
inline void Error(std::string_view module, std::string_view message,
                  std::initializer_list<Field> fields = {}) {
  Write(Severity::kError, module, message, fields);
}

}  // namespace pearreach::logging

#endif  // PEARREACH_SRC_TIER_LOGGING_LOG_H_
