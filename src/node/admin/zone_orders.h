// The file of operators' orders about zones, one per line. With it an order survives restarts and
// reaches both processes during an upgrade. The file is replaced as a whole, and a line that cannot
// be read does not stop the node. The meaning of an order is decided elsewhere.
#ifndef PEARREACH_SRC_NODE_ADMIN_ZONE_ORDERS_H_
#define PEARREACH_SRC_NODE_ADMIN_ZONE_ORDERS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::admin {

// As zones::Order, with the zone's name.
struct ZoneOrder {
  std::string target;
  std::uint64_t number = 0;
  std::string command;  // "leave", "return", or "none" for a withdrawn order, kept for its number
  int by = 0;           // number of the node that took the order
  std::int64_t at_ms = 0;
  bool operator==(const ZoneOrder&) const = default;
};

// The file has one line "NUMBER COMMAND NODE UNIX_MS NAME" per order after a heading. Reading skips
// invalid lines and adds a message "name:line: reason" to `errors` for each.
std::string WriteZoneOrders(const std::vector<ZoneOrder>& orders);
std::vector<ZoneOrder> ReadZoneOrders(std::string_view text, const std::string& name,
                                      std::vector<std::string>* errors);

// Returns no orders if there is no file. Errors are counted and logged.
std::vector<ZoneOrder> LoadZoneOrders(const std::string& path);
// Replaces the file atomically and durably. Returns false on an error, which is counted and logged.
bool SaveZoneOrders(const std::string& path, const std::vector<ZoneOrder>& orders);

}  // namespace pearreach::admin

#endif  // PEARREACH_SRC_NODE_ADMIN_ZONE_ORDERS_H_
