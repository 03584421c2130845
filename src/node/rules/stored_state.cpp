// What a node keeps over its end, as bytes.
#include "node/rules/rules.h"
#include "node/rules/rules.pb.h"

namespace pearreach::rules {
namespace {

constexpr int kMaxStored = 32;  // that are read

}  // namespace

std::string EncodeKept(const Kept& kept) {
  wire::Kept k;
  k.set_epoch(kept.epoch);
  k.set_promised(kept.promised);
  k.set_accepted(kept.accepted);
  k.set_accepted_document(kept.accepted_document);
  for (const std::string& document : kept.documents) k.add_document(document);
  return k.SerializeAsString();
}

std::optional<Kept> DecodeKept(std::string_view bytes) {
  wire::Kept k;
  if (!k.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      k.document_size() > kMaxStored || (k.accepted() != 0 && !Decode(k.accepted_document())))
    return std::nullopt;
  Kept kept{k.epoch(), k.promised(), k.accepted(), k.accepted_document(), {}};
  for (const std::string& document : k.document()) {
    if (!Decode(document)) return std::nullopt;
    kept.documents.push_back(document);
  }
  return kept;
}

}  // namespace pearreach::rules
