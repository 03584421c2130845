#include "tier/batch/lost_disks.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

constexpr char kKey[] = "store/lost_disks";
constexpr char kBootIdPath[] = "/proc/sys/kernel/random/boot_id";
constexpr double kWindowShare = 0.75;  // of sync_s

LostDisksRecord ReadRecord(const storage::TableStore& disk) {
  const auto bytes = disk.Get(kKey);
  if (!bytes.ok()) return {};
  auto record = codec::Decode<LostDisksRecord>(*bytes);
  return record.ok() ? *std::move(record) : LostDisksRecord();
}

}  // namespace

Micros LossWindow(double sync_s) { return static_cast<Micros>(sync_s * kWindowShare * kSecond); }

std::string BootId() {
  std::ifstream file(kBootIdPath);
  std::string id;
  std::getline(file, id);
  return id;
}

LostDisks::LostDisks(const storage::TableStore& disk, std::string boot_id, Micros window,
                     Commit commit, std::function<void()> recorded)
    : boot_id_(std::move(boot_id)),
      window_(window),
      commit_(std::move(commit)),
      recorded_(std::move(recorded)) {
  for (const LostDiskSighting& sighting : ReadRecord(disk).sightings) {
    const bool is_of_this_boot = !boot_id_.empty() && sighting.boot_id == boot_id_;
    losses_[sighting.disk] = {sighting, is_of_this_boot, true};
  }
}

void LostDisks::Update(std::uint64_t table_epoch, const std::set<StoreId>& lost, Micros now) {
  std::erase_if(losses_, [&](const auto& entry) {
    // A process that starts may see an older table first, which does not name the loss yet.
    return table_epoch > entry.second.sighting.table_epoch && !lost.contains(entry.first);
  });
  for (const StoreId& disk : lost) {
    losses_.try_emplace(disk, Loss{{disk, boot_id_, now, table_epoch}});
  }
  WriteRecord();
}

void LostDisks::WriteRecord() {
  const bool is_durable = std::all_of(losses_.begin(), losses_.end(),
                                      [](const auto& entry) { return entry.second.is_durable; });
  if (is_durable || std::exchange(writing_, true)) return;
  LostDisksRecord record;
  for (const auto& [disk, loss] : losses_) record.sightings.push_back(loss.sighting);
  commit_({kKey, codec::Encode(record), false},
          [this, record, alive = std::weak_ptr<bool>(alive_)](const absl::Status& status) {
            if (!alive.expired()) OnWritten(record, status);
          });
}

void LostDisks::OnWritten(const LostDisksRecord& record, const absl::Status& status) {
  writing_ = false;
  if (!status.ok()) return;
  for (const LostDiskSighting& sighting : record.sightings) {
    const auto loss = losses_.find(sighting.disk);
    if (loss != losses_.end() && loss->second.sighting == sighting) loss->second.is_durable = true;
  }
  recorded_();
  WriteRecord();
}

LossState LostDisks::StateOf(const StoreId& disk, Micros now) const {
  const auto found = losses_.find(disk);
  if (found == losses_.end()) return LossState::kOver;
  const Loss& loss = found->second;
  const Micros elapsed = now - loss.sighting.seen_at_us;
  if (!loss.is_clock_known || elapsed < 0 || elapsed >= window_) return LossState::kOver;
  return loss.is_durable ? LossState::kCounts : LossState::kUnrecorded;
}

}  // namespace pearreach::batch
