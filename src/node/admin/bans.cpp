#include "node/admin/bans.h"

#include <glib.h>
#include <sys/stat.h>

#include "common/diagnostics/log.h"

namespace pearreach::admin {
namespace {

constexpr std::string_view kHead = "# pearreach bans: match workers detached by the operators";
constexpr std::size_t kMaxId = 256;

}  // namespace

std::string WriteBans(const Bans& bans) {
  std::string out(kHead);
  out += '\n';
  for (const std::string& id : bans) out += id + '\n';
  return out;
}

Bans ReadBans(std::string_view text, const std::string& name, std::vector<std::string>* errors) {
  Bans bans;
  int number = 0;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    ++number;
    if (line.empty() || line.front() == '#') continue;
    const auto fault = [&](const std::string& reason) {
      std::string error = name;
      error += ':';
      error += std::to_string(number);
      error += ": ";
      error += reason;
      errors->push_back(std::move(error));
    };
    if (line.size() > kMaxId) {
      fault("the id has " + std::to_string(line.size()) + " bytes, more than the maximum of " +
            std::to_string(kMaxId));
      continue;
    }
    if (line.find_first_of(" \t\r") != std::string_view::npos) {
      fault("the id contains white space");
      continue;
    }
    bans.emplace(line);
  }
  return bans;
}

BanFile::Stamp BanFile::ReadStamp() const {
  struct stat s {};
  if (stat(path_.c_str(), &s) != 0) return {};
  return {static_cast<std::int64_t>(s.st_mtim.tv_sec) * 1'000'000'000 + s.st_mtim.tv_nsec,
          static_cast<std::int64_t>(s.st_size), static_cast<std::uint64_t>(s.st_ino)};
}

bool BanFile::Changed() const { return ReadStamp() != last_stamp_; }

Bans BanFile::Load() {
  last_stamp_ = ReadStamp();
  gchar* text = nullptr;
  gsize size = 0;
  GError* error = nullptr;
  if (!g_file_get_contents(path_.c_str(), &text, &size, &error)) {
    if (!g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT))
      CountFault("bans_not_read", path_ + ": " + error->message);
    g_error_free(error);
    return {};
  }
  std::vector<std::string> errors;
  Bans bans = ReadBans(std::string_view(text, size), path_, &errors);
  g_free(text);
  for (const std::string& line : errors) CountFault("bad_ban_line", line);
  return bans;
}

bool BanFile::Save(const Bans& bans) {
  const std::string text = WriteBans(bans);
  GError* error = nullptr;
  // Written to a temporary file and renamed: the other process reads the old or the new content.
  const bool saved =
      g_file_set_contents(path_.c_str(), text.data(), static_cast<gssize>(text.size()), &error);
  if (!saved) {
    CountFault("bans_not_kept", path_ + ": " + error->message);
    g_error_free(error);
  }
  last_stamp_ = ReadStamp();
  return saved;
}

}  // namespace pearreach::admin
