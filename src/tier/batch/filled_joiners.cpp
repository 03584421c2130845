#include "tier/batch/filled_joiners.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

// Outside the prefixes of batch jobs, which earlier builds read as a whole.
std::string KeyOf(std::uint32_t partition) {
  return fmt::format("store/filled_joiners/{:04x}", partition);
}

}  // namespace

bool FilledJoinersRecord::Names(const StoreId& joiner, std::uint64_t at_epoch) const {
  return epoch == at_epoch && std::find(joiners.begin(), joiners.end(), joiner) != joiners.end();
}

FilledJoinersRecord ReadFilledJoiners(const storage::TableStore& disk, std::uint32_t partition) {
  const auto bytes = disk.Get(KeyOf(partition));
  if (!bytes.ok()) return {};
  auto record = codec::Decode<FilledJoinersRecord>(*bytes);
  return record.ok() ? *std::move(record) : FilledJoinersRecord();
}

storage::Write WriteFilledJoiners(std::uint32_t partition, const FilledJoinersRecord& record) {
  return {KeyOf(partition), codec::Encode(record), false};
}

}  // namespace pearreach::batch
