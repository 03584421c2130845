// The documents of versions: storing them, and fetching missing ones part by part.
#include <algorithm>

#include "node/rules/rules.h"

namespace pearreach::rules {
namespace {

constexpr std::size_t kMaxHistory = 32;            // versions in memory
constexpr std::size_t kMaxUnchosenDocuments = 16;  // documents in memory outside the history
constexpr std::size_t kMaxFetches = 8;
constexpr int kPartsPerRequest = 4;  // parts sent in reply to one request

}  // namespace

// Puts the document of the current version, which must be stored, into the history. A document that
// cannot be read is marked as unreadable instead.
void Consensus::Install(Micros) {
  const std::string bytes = *DocumentOf(version_id_.hash);
  bool later = false;
  const std::optional<Document> document = Decode(bytes, &later);
  if (!document || document->number != version_id_.number) {
    unreadable_.insert(version_id_.hash);
    ++counters_.rejected_documents;
    return;
  }
  if (history_.back().id.hash != version_id_.hash)
    history_.push_back({version_id_, *document, bytes});
  history_.back().id = version_id_;
  if (history_.size() > kMaxHistory) history_.pop_front();
  last_voters_ = document->voters;
  dirty_ = true;
  ++counters_.learned;
}

const std::string* Consensus::DocumentOf(std::uint64_t hash) const {
  for (auto it = history_.rbegin(); it != history_.rend(); ++it)
    if (it->id.hash == hash) return &it->bytes;
  const auto it = documents_.find(hash);
  return it == documents_.end() ? nullptr : &it->second;
}

// Evicts the oldest documents beyond the limit, except those in use.
void Consensus::StoreDocument(std::uint64_t hash, const std::string& bytes) {
  if (documents_.emplace(hash, bytes).second) documents_order_.push_back(hash);
  for (std::size_t i = documents_order_.size();
       i > 0 && documents_order_.size() > kMaxUnchosenDocuments; --i) {
    const std::uint64_t oldest = documents_order_.front();
    documents_order_.pop_front();
    if (oldest == accepted_hash_ || oldest == version_id_.hash || oldest == hash ||
        (proposal_ && (oldest == proposal_->hash || oldest == proposal_->value_hash)))
      documents_order_.push_back(oldest);
    else
      documents_.erase(oldest);
  }
}

void Consensus::RequestDocument(Micros now, int from, std::uint64_t hash,
                                std::vector<Outgoing>* out) {
  if (unreadable_.count(hash) > 0 || DocumentOf(hash) != nullptr) return;
  if (fetches_.count(hash) == 0 && fetches_.size() >= kMaxFetches) {
    auto oldest = fetches_.begin();
    for (auto it = fetches_.begin(); it != fetches_.end(); ++it)
      if (it->second.requested_at < oldest->second.requested_at) oldest = it;
    fetches_.erase(oldest);
  }
  Fetch& f = fetches_[hash];
  f.source = from;
  f.requested_at = now;
  Message m = NewMessage(now);
  m.requested_hash = hash;
  while (f.received.count(m.requested_part) > 0) ++m.requested_part;
  Send(from, m, out);
}

// Sends the requested parts of a document, if this node has it.
void Consensus::SendParts(Micros now, int to, const Message& request, std::vector<Outgoing>* out) {
  const std::string* bytes = DocumentOf(request.requested_hash);
  if (bytes == nullptr) return;
  const int parts = static_cast<int>((bytes->size() + kPartBytes - 1) / kPartBytes);
  for (int i = request.requested_part;
       i < std::min(parts, request.requested_part + kPartsPerRequest); ++i) {
    Message part = NewMessage(now);
    part.part_hash = request.requested_hash;
    part.part = i;
    part.parts = parts;
    part.bytes = bytes->substr(static_cast<std::size_t>(i) * kPartBytes, kPartBytes);
    Send(to, part, out);
  }
}

void Consensus::OnDocumentPart(Micros now, int from, const Message& m, std::vector<Outgoing>* out) {
  const auto it = fetches_.find(m.part_hash);
  if (it == fetches_.end()) return;
  Fetch& f = it->second;
  if (f.parts != m.parts) f.received.clear();
  f.parts = m.parts;
  f.received[m.part] = m.bytes;
  if (static_cast<int>(f.received.size()) < f.parts) {
    if (m.part % kPartsPerRequest == kPartsPerRequest - 1)
      RequestDocument(now, from, m.part_hash, out);
    return;
  }
  std::string bytes;
  for (const auto& [part, piece] : f.received) bytes += piece;
  fetches_.erase(it);
  if (HashOf(bytes) != m.part_hash) {
    ++counters_.malformed;
    return;
  }
  StoreDocument(m.part_hash, bytes);
  if (m.part_hash == version_id_.hash) Install(now);
  if (proposal_) AdvanceProposal(now, out);
}

}  // namespace pearreach::rules
