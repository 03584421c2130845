// The file of operators' orders about zones: one line each, so that an order stands across restarts
// and in both processes of an upgrade. It owns the file's form, its reading and writing; it must
// never decide what an order means, never leave half a file, and never stop the node for a line
// that it cannot read.
#ifndef PEARREACH_SRC_NODE_ADMIN_ZONE_ORDERS_H_
#define PEARREACH_SRC_NODE_ADMIN_ZONE_ORDERS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::admin {

// As zones::Order, by the zone's name.
struct ZoneOrder {
  std::string target;
  std::uint64_t number = 0;
  std::string command;  // "leave", "return" or "none": taken back, kept for its number
  int by = 0;           // node
  std::int64_t at_ms = 0;
  bool operator==(const ZoneOrder&) const = default;
};

// "NUMBER WHAT NODE UNIX_MS NAME" a line, after a line that says what the file is. What is no order
// is one line of `wrong` ("name:line: what") and passed over; the others are kept.
std::string WriteZoneOrders(const std::vector<ZoneOrder>& orders);
std::vector<ZoneOrder> ReadZoneOrders(std::string_view text, const std::string& name,
                                      std::vector<std::string>* wrong);

// Nothing where there is no file. Faults are counted and logged.
std::vector<ZoneOrder> LoadZoneOrders(const std::string& path);
// Whole or not at all, synced and renamed. False: counted and logged.
bool SaveZoneOrders(const std::string& path, const std::vector<ZoneOrder>& orders);

}  // namespace pearreach::admin

#endif  // PEARREACH_SRC_NODE_ADMIN_ZONE_ORDERS_H_
