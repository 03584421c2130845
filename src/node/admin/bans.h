// The ban file of a node: the match workers that operators have detached on its admin address. With
// it a ban survives a restart and reaches the other process while two run side by side in an
// upgrade. The file is replaced as a whole, so that the other process never reads half of one. A
// file that cannot be read or written does not stop the node. Whether an id may be banned is
// decided elsewhere.
#ifndef PEARREACH_SRC_NODE_ADMIN_BANS_H_
#define PEARREACH_SRC_NODE_ADMIN_BANS_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::admin {

using Bans = std::set<std::string>;

// The file has one id per line after a heading. Reading skips invalid lines and adds a message
// "name:line: reason" to `errors` for each.
std::string WriteBans(const Bans& bans);
Bans ReadBans(std::string_view text, const std::string& name, std::vector<std::string>* errors);

class BanFile {
 public:
  explicit BanFile(std::string path) : path_(std::move(path)) {}

  // Returns the bans in the file, or none if there is no file. Errors are counted and logged.
  Bans Load();
  // Replaces the file atomically. Returns false if it could not be written; the error is counted
  // and logged.
  bool Save(const Bans& bans);
  // Returns whether the file has changed since it was last loaded or saved here.
  bool Changed() const;

 private:
  struct Stamp {
    std::int64_t modified_ns = -1, size = -1;
    std::uint64_t inode = 0;
    bool operator==(const Stamp&) const = default;
  };
  Stamp ReadStamp() const;

  std::string path_;
  Stamp last_stamp_;
};

}  // namespace pearreach::admin

#endif  // PEARREACH_SRC_NODE_ADMIN_BANS_H_
