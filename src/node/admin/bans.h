// The file of bans: the match workers detached at the operators' door, for this node alone. It
// lets a ban outlive the process that took it and reach the other process while two run side by
// side in an upgrade. It owns that file's form and its reading and writing; it must never decide
// whether an id may be banned (the node says that), never leave a half-written file for the other
// process to read, and never stop the node for a file it cannot read or write.
#ifndef PEARREACH_SRC_NODE_ADMIN_BANS_H_
#define PEARREACH_SRC_NODE_ADMIN_BANS_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::admin {

using Bans = std::set<std::string>;

// One id a line, after a line that says what the file is. What is no id is one line of `wrong`
// ("name:line: what") and passed over; the others are kept.
std::string WriteBans(const Bans& bans);
Bans ReadBans(std::string_view text, const std::string& name, std::vector<std::string>* wrong);

class BanFile {
 public:
  explicit BanFile(std::string path) : path_(std::move(path)) {}

  // What the file holds now; nothing where there is none. Faults are counted and logged.
  Bans Load();
  // Whole or not at all, by a rename. False: it could not be written (counted and logged).
  bool Save(const Bans& bans);
  // Whether another writer has changed the file since it was last loaded or saved here.
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
