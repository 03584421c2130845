// The encoding of PersistentState.
#include "node/rules/rules.h"
#include "node/rules/rules.pb.h"

namespace pearreach::rules {
namespace {

constexpr int kMaxStoredDocuments = 32;  // upper bound when decoding

}  // namespace

std::string EncodeState(const PersistentState& state) {
  wire::Kept stored;
  stored.set_epoch(state.epoch);
  stored.set_promised(state.promised);
  stored.set_accepted(state.accepted);
  stored.set_accepted_document(state.accepted_document);
  for (const std::string& document : state.documents) stored.add_document(document);
  return stored.SerializeAsString();
}

std::optional<PersistentState> DecodeState(std::string_view bytes) {
  wire::Kept stored;
  if (!stored.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      stored.document_size() > kMaxStoredDocuments ||
      (stored.accepted() != 0 && !Decode(stored.accepted_document())))
    return std::nullopt;
  PersistentState state{
      stored.epoch(), stored.promised(), stored.accepted(), stored.accepted_document(), {}};
  for (const std::string& document : stored.document()) {
    if (!Decode(document)) return std::nullopt;
    state.documents.push_back(document);
  }
  return state;
}

}  // namespace pearreach::rules
