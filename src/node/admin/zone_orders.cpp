#include "node/admin/zone_orders.h"

#include <glib.h>

#include <charconv>

#include "common/diagnostics/log.h"

namespace pearreach::admin {
namespace {

constexpr std::size_t kMaxFileBytes = 1 << 20;

template <typename T>
bool ParseNumber(std::string_view text, T* value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::string WriteZoneOrders(const std::vector<ZoneOrder>& orders) {
  std::string text = "# orders about zones: number, what, node, Unix ms, zone or region\n";
  for (const ZoneOrder& o : orders)
    text += std::to_string(o.number) + " " + o.command + " " + std::to_string(o.by) + " " +
            std::to_string(o.at_ms) + " " + o.target + "\n";
  return text;
}

std::vector<ZoneOrder> ReadZoneOrders(std::string_view text, const std::string& name,
                                      std::vector<std::string>* errors) {
  std::vector<ZoneOrder> orders;
  for (int line_number = 1; !text.empty(); ++line_number) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (line.empty() || line.front() == '#') continue;
    std::vector<std::string_view> words;
    for (std::string_view rest = line; words.size() < 5 && !rest.empty();) {
      const std::size_t space = words.size() < 4 ? rest.find(' ') : std::string_view::npos;
      words.push_back(rest.substr(0, space));
      rest = space == std::string_view::npos ? std::string_view() : rest.substr(space + 1);
    }
    ZoneOrder o;
    if (words.size() < 5 || !ParseNumber(words[0], &o.number) || o.number == 0 ||
        (words[1] != "leave" && words[1] != "return" && words[1] != "none") ||
        !ParseNumber(words[2], &o.by) || o.by < 0 || !ParseNumber(words[3], &o.at_ms) ||
        words[4].empty()) {
      errors->push_back(name + ":" + std::to_string(line_number) +
                        ": expected NUMBER leave|return|none NODE UNIX_MS NAME");
      continue;
    }
    o.command = words[1];
    o.target = words[4];
    orders.push_back(std::move(o));
  }
  return orders;
}

std::vector<ZoneOrder> LoadZoneOrders(const std::string& path) {
  gchar* text = nullptr;
  gsize size = 0;
  GError* error = nullptr;
  if (!g_file_get_contents(path.c_str(), &text, &size, &error)) {
    if (!g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT))
      CountFault("zone_orders_not_read", path + ": " + error->message);
    g_error_free(error);
    return {};
  }
  std::vector<std::string> errors;
  std::vector<ZoneOrder> orders;
  if (size <= kMaxFileBytes)
    orders = ReadZoneOrders(std::string_view(text, size), path, &errors);
  else
    errors.push_back(path + ": has " + std::to_string(size) + " bytes, more than the maximum of " +
                     std::to_string(kMaxFileBytes));
  g_free(text);
  for (const std::string& line : errors) CountFault("bad_zone_order", line);
  return orders;
}

bool SaveZoneOrders(const std::string& path, const std::vector<ZoneOrder>& orders) {
  const std::string text = WriteZoneOrders(orders);
  GError* error = nullptr;
  const bool saved =
      g_file_set_contents_full(path.c_str(), text.data(), static_cast<gssize>(text.size()),
                               static_cast<GFileSetContentsFlags>(G_FILE_SET_CONTENTS_CONSISTENT |
                                                                  G_FILE_SET_CONTENTS_DURABLE),
                               0600, &error);
  if (!saved) {
    CountFault("zone_orders_not_kept", path + ": " + error->message);
    g_error_free(error);
  }
  return saved;
}

}  // namespace pearreach::admin
