#include "tier/batch/placement_view.h"

#include <set>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kModule[] = "batch";

}  // namespace

std::shared_ptr<const PlacementTable> PlacementView::Table() {
  const auto snapshot = control_->Current();
  if (snapshot->stores.empty()) return table_;
  if (table_ != nullptr && snapshot->stores_revision == revision_) return table_;
  auto table = codec::Decode<PlacementTable>(snapshot->stores);
  if (!table.ok() || table->partitions.size() != kPartitions) {
    logging::Error(kModule, "placement table is unreadable",
                   {logging::F("revision", snapshot->stores_revision)});
    return table_;
  }
  table_ = std::make_shared<const PlacementTable>(*std::move(table));
  revision_ = snapshot->stores_revision;
  return table_;
}

const StoreId* PlacementView::PrimaryOf(std::string_view batch_job_id) {
  Table();
  return LastPrimaryOf(batch_job_id);
}

const StoreId* PlacementView::LastPrimaryOf(std::string_view batch_job_id) const {
  if (table_ == nullptr) return nullptr;
  const Partition& partition = table_->partitions[PartitionOf(batch_job_id)];
  return partition.replicas.empty() ? nullptr : &partition.replicas.front();
}

std::vector<StoreId> PlacementView::Primaries() {
  const auto table = Table();
  if (table == nullptr) return {};
  std::set<StoreId> primaries;
  for (const Partition& partition : table->partitions) {
    if (!partition.replicas.empty()) primaries.insert(partition.replicas.front());
  }
  return {primaries.begin(), primaries.end()};
}

}  // namespace pearreach::batch
