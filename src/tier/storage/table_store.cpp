#include "tier/storage/table_store.h"

#include <fcntl.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "tier/logging/log.h"
#include "tier/storage/environment.h"
#include "tier/storage/writer_thread.h"

namespace pearreach::storage {
namespace {

constexpr const char* kFileName = "tables.mdb";
constexpr const char* kNewFileName = "tables.new";  // until it is whole and synced
constexpr mode_t kFolderMode = 0700;
constexpr std::size_t kDiskIdBytes = 16;

// The rest of the capacity is for what is erased from a full file, and for the folder itself.
constexpr double kPutFraction = 0.8;
constexpr double kEraseFraction = 0.9;
// Below it not even the tables themselves and one transaction fit.
constexpr std::size_t kMinCapacityBytes = 256 << 10;

class LmdbTableStore final : public TableStore {
 public:
  LmdbTableStore(std::unique_ptr<Environment> environment, std::string disk_id, bool was_empty)
      : environment_(std::move(environment)),
        writer_(environment_.get()),
        disk_id_(std::move(disk_id)),
        was_empty_(was_empty) {}

  absl::Status Start() { return writer_.Start(); }

  void Commit(std::vector<Write> batch, std::function<void(absl::Status)> done) override {
    writer_.Enqueue(std::move(batch), std::move(done));
  }

  absl::StatusOr<std::string> Get(std::string_view key) const override {
    return environment_->Get(key);
  }

  void ForEach(std::string_view prefix,
               const std::function<void(std::string_view key, std::string_view value)>& visit)
      const override {
    const absl::Status status = environment_->ForEach(prefix, visit);
    if (status.ok()) return;
    logging::Error("disk", "reading the tables failed", {logging::F("error", status.ToString())});
  }

  Space space() const override { return environment_->space(); }
  const std::string& disk_id() const override { return disk_id_; }
  bool was_empty() const override { return was_empty_; }

 private:
  const std::unique_ptr<Environment> environment_;
  WriterThread writer_;  // after the environment: it ends first
  const std::string disk_id_;
  const bool was_empty_;
};

absl::Status SyncFolder(const std::string& path) {
  const int folder = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return absl::ErrnoToStatus(errno, "open " + path);
  const int synced = fsync(folder);
  const int error = errno;
  close(folder);
  return synced == 0 ? absl::OkStatus() : absl::ErrnoToStatus(error, "sync " + path);
}

absl::Status MakeFolder(const std::string& path) {
  if (path.empty()) return absl::InvalidArgumentError("no folder for the tables");
  if (mkdir(path.c_str(), kFolderMode) == 0 || errno == EEXIST) return absl::OkStatus();
  return absl::ErrnoToStatus(errno, "make " + path);
}

absl::StatusOr<std::string> MakeDiskId() {
  std::array<unsigned char, kDiskIdBytes> bytes;
  const ssize_t filled = getrandom(bytes.data(), bytes.size(), 0);
  if (filled != static_cast<ssize_t>(bytes.size())) {
    return absl::UnavailableError("no random bytes for the name of the disk");
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string disk_id;
  for (const unsigned char byte : bytes) {
    disk_id += kDigits[byte >> 4];
    disk_id += kDigits[byte & 0xf];
  }
  return disk_id;
}

Environment::Options OptionsFor(const std::string& file, std::size_t capacity_bytes) {
  const auto capacity = static_cast<double>(capacity_bytes);
  const auto full_pages = [](double bytes) {
    const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    return static_cast<std::size_t>(bytes) / page * page;
  };
  return {file, full_pages(capacity * kPutFraction), full_pages(capacity * kEraseFraction)};
}

// Makes the file under another name first: a loss of power in between leaves no half of a file
// under the right one.
absl::Status MakeFile(const std::string& data_path, std::size_t capacity_bytes) {
  const std::string new_file = data_path + "/" + kNewFileName;
  unlink(new_file.c_str());  // of a first start that did not come to its end
  const absl::StatusOr<std::string> disk_id = MakeDiskId();
  if (!disk_id.ok()) return disk_id.status();
  auto environment = Environment::Open(OptionsFor(new_file, capacity_bytes));
  if (!environment.ok()) return environment.status();
  absl::Status written = (*environment)->SetDiskId(*disk_id);
  environment->reset();  // closes it
  if (!written.ok()) return written;
  const std::string file = data_path + "/" + kFileName;
  if (rename(new_file.c_str(), file.c_str()) != 0) return absl::ErrnoToStatus(errno, "rename");
  return SyncFolder(data_path);
}

}  // namespace

absl::Status RemoveTableStore(const std::string& data_path) {
  const std::string file = data_path + "/" + kFileName;
  if (unlink(file.c_str()) != 0 && errno != ENOENT) {
    return absl::ErrnoToStatus(errno, "remove " + file);
  }
  return SyncFolder(data_path);
}

absl::StatusOr<std::unique_ptr<TableStore>> OpenTableStore(const std::string& data_path,
                                                           std::size_t capacity_bytes) {
  if (capacity_bytes < kMinCapacityBytes) {
    return absl::InvalidArgumentError("too little capacity for the tables");
  }
  absl::Status status = MakeFolder(data_path);
  if (!status.ok()) return status;
  const std::string file = data_path + "/" + kFileName;
  const bool was_empty = access(file.c_str(), F_OK) != 0;
  if (was_empty) status = MakeFile(data_path, capacity_bytes);
  if (!status.ok()) return status;
  auto environment = Environment::Open(OptionsFor(file, capacity_bytes));
  if (!environment.ok()) return environment.status();
  absl::StatusOr<std::string> disk_id = (*environment)->ReadDiskId();
  if (!disk_id.ok()) return absl::DataLossError(file + " names no disk");
  auto store =
      std::make_unique<LmdbTableStore>(*std::move(environment), *std::move(disk_id), was_empty);
  status = store->Start();
  if (!status.ok()) return status;
  return store;
}

}  // namespace pearreach::storage
