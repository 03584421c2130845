#include "node/fleet/rules_file.h"

#include <cerrno>
#include <cstring>

#include "node/rules/document.h"

namespace pearreach {
namespace {

constexpr char kMagic[] = "PRULES01";
constexpr std::size_t kMagicBytes = 8, kHashBytes = 8;
constexpr std::size_t kMaxFile = 1 << 20;

std::string Head(const std::string& bytes) {
  const std::uint64_t hash = rules::HashOf(bytes);
  std::string head(kMagic, kMagicBytes);
  for (std::size_t i = 0; i < kHashBytes; ++i) head += static_cast<char>(hash >> (8 * i));
  return head;
}

}  // namespace

std::optional<rules::PersistentState> RulesFile::Load(std::string* wrong) const {
  wrong->clear();
  std::string bytes;
  if (disk_->Read(path_, kMaxFile, &bytes) != 0) {
    if (errno != ENOENT) *wrong = path_ + ": " + std::strerror(errno);
    return std::nullopt;
  }
  const std::size_t head = kMagicBytes + kHashBytes;
  const std::string body = bytes.size() >= head ? bytes.substr(head) : std::string();
  std::optional<rules::PersistentState> kept;
  if (bytes.size() >= head && bytes.compare(0, head, Head(body)) == 0)
    kept = rules::DecodeState(body);
  if (!kept) *wrong = path_ + ": not a file of rules, or damaged";
  return kept;
}

std::string RulesFile::Save(const rules::PersistentState& kept) const {
  const std::string body = rules::EncodeState(kept), bytes = Head(body) + body;
  const std::string aside = path_ + ".new";
  const auto wrong = [&](const char* what) {
    const int error = errno;
    disk_->Remove(aside);
    return path_ + ": " + what + ": " + std::strerror(error);
  };
  const int fd = disk_->Create(aside);
  if (fd < 0) return wrong("create");
  for (std::size_t done = 0; done < bytes.size();) {
    const ssize_t n = disk_->Write(fd, bytes.data() + done, bytes.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      std::string text = wrong("write");
      disk_->Close(fd);
      return text;
    }
    done += static_cast<std::size_t>(n);
  }
  if (disk_->Sync(fd) != 0) {
    std::string text = wrong("sync");
    disk_->Close(fd);
    return text;
  }
  if (disk_->Close(fd) != 0) return wrong("close");
  if (disk_->Rename(aside, path_) != 0) return wrong("rename");
  const std::size_t slash = path_.rfind('/');
  if (disk_->SyncFolder(slash == std::string::npos ? "." : path_.substr(0, slash + 1)) != 0)
    return wrong("sync of the folder");
  return {};
}

}  // namespace pearreach
