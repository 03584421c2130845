// Messages between the tier's processes, and records on its disks, from any bytes: they are
// refused, or what was read reads the same again after it was written. The first byte picks the
// message.
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "tier/batch/lot_state.h"
#include "tier/batch/messages.h"
#include "tier/batch/quota.h"
#include "tier/batch/replication_messages.h"
#include "tier/batch/store_path.h"
#include "tier/codec/archive.h"
#include "tier/control/messages.h"
#include "tier/coordination/chain_messages.h"
#include "tier/registry/worker_messages.h"

namespace {

using namespace pearreach;

template <class Message>
void Read(std::string_view bytes) {
  const auto message = codec::Decode<Message>(bytes);
  if (!message.ok()) return;
  const std::string written = codec::Encode(*message);
  const auto again = codec::Decode<Message>(written);
  if (!again.ok() || codec::Encode(*again) != written) std::abort();
}

using Reader = void (*)(std::string_view);
constexpr Reader kReaders[] = {
    Read<control::PollRequest>,     Read<control::ReadRequest>,
    Read<control::StateUpdate>,     Read<control::WriteRequest>,
    Read<control::WriteAnswer>,     Read<control::ChainEnvelope>,
    Read<control::SignAnswer>,      Read<coordination::chain::Proposal>,
    Read<coordination::Entry>,      Read<std::vector<coordination::ReplicaId>>,
    Read<registry::WorkerUpdate>,   Read<registry::SpreadRequest>,
    Read<registry::SpreadAnswer>,   Read<registry::DigestRequest>,
    Read<registry::DigestAnswer>,   Read<registry::RepairRequest>,
    Read<registry::RepairAnswer>,   Read<batch::PlacementTable>,
    Read<batch::CreateLot>,         Read<batch::CreateLotAnswer>,
    Read<batch::ReadLot>,           Read<batch::ReadLotAnswer>,
    Read<batch::ReadItemBody>,      Read<batch::ReadItemBodyAnswer>,
    Read<batch::CancelLot>,         Read<batch::CancelLotAnswer>,
    Read<batch::TakeItems>,         Read<batch::TakeItemsAnswer>,
    Read<batch::ItemResult>,        Read<batch::RenewLeases>,
    Read<batch::RenewLeasesAnswer>, Read<batch::StoreStatus>,
    Read<batch::OfferLot>,          Read<batch::OfferLotAnswer>,
    Read<batch::QuotaQuestion>,     Read<batch::RelayedCall>,
    Read<batch::Replicate>,         Read<batch::ReplicateAnswer>,
    Read<batch::RepairDigest>,      Read<batch::RepairDigestAnswer>,
    Read<batch::QuotaReserve>,      Read<batch::QuotaReserveAnswer>,
    Read<batch::QuotaReport>,       Read<batch::LotHeader>,
    Read<batch::ItemSpec>,          Read<control::DiskUse>,
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  kReaders[data[0] % std::size(kReaders)](bytes);
  return 0;
}
