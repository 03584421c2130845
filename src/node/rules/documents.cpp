// The documents of versions: those held here, and the fetch of others part by part.
#include <algorithm>

#include "node/rules/rules.h"

namespace pearreach::rules {
namespace {

constexpr std::size_t kMaxHistory = 32;    // versions held
constexpr std::size_t kMaxDocuments = 16;  // that were not chosen
constexpr std::size_t kMaxFetches = 8;
constexpr int kBatch = 4;  // parts of a document that one question brings

}  // namespace

void Agreement::Install(Micros) {
  const std::string bytes = *DocumentOf(head_.hash);
  bool later = false;
  const std::optional<Document> document = Decode(bytes, &later);
  if (!document || document->number != head_.number) {
    unread_.insert(head_.hash);
    ++figures_.refused;
    return;
  }
  if (history_.back().head.hash != head_.hash) history_.push_back({head_, *document, bytes});
  history_.back().head = head_;
  if (history_.size() > kMaxHistory) history_.pop_front();
  last_voters_ = document->voters;
  dirty_ = true;
  ++figures_.learned;
}

const std::string* Agreement::DocumentOf(std::uint64_t hash) const {
  for (auto it = history_.rbegin(); it != history_.rend(); ++it)
    if (it->head.hash == hash) return &it->bytes;
  const auto it = documents_.find(hash);
  return it == documents_.end() ? nullptr : &it->second;
}

// Those that are in use stay; of the others the oldest goes.
void Agreement::StoreDocument(std::uint64_t hash, const std::string& bytes) {
  if (documents_.emplace(hash, bytes).second) documents_order_.push_back(hash);
  for (std::size_t i = documents_order_.size(); i > 0 && documents_order_.size() > kMaxDocuments;
       --i) {
    const std::uint64_t oldest = documents_order_.front();
    documents_order_.pop_front();
    if (oldest == accepted_hash_ || oldest == head_.hash || oldest == hash ||
        (proposal_ && (oldest == proposal_->hash || oldest == proposal_->value)))
      documents_order_.push_back(oldest);
    else
      documents_.erase(oldest);
  }
}

void Agreement::RequestDocument(Micros now, int from, std::uint64_t hash, std::vector<Out>* out) {
  if (unread_.count(hash) > 0 || DocumentOf(hash) != nullptr) return;
  if (fetches_.count(hash) == 0 && fetches_.size() >= kMaxFetches) {
    auto oldest = fetches_.begin();
    for (auto it = fetches_.begin(); it != fetches_.end(); ++it)
      if (it->second.asked < oldest->second.asked) oldest = it;
    fetches_.erase(oldest);
  }
  Fetch& f = fetches_[hash];
  f.from = from;
  f.asked = now;
  Message m = Base(now);
  m.want = hash;
  while (f.got.count(m.want_part) > 0) ++m.want_part;
  Send(from, m, out);
}

// The parts of a document that another node asks for.
void Agreement::SendParts(Micros now, int to, const Message& request, std::vector<Out>* out) {
  const std::string* bytes = DocumentOf(request.want);
  if (bytes == nullptr) return;
  const int parts = static_cast<int>((bytes->size() + kPartBytes - 1) / kPartBytes);
  for (int i = request.want_part; i < std::min(parts, request.want_part + kBatch); ++i) {
    Message part = Base(now);
    part.part_of = request.want;
    part.part = i;
    part.parts = parts;
    part.bytes = bytes->substr(static_cast<std::size_t>(i) * kPartBytes, kPartBytes);
    Send(to, part, out);
  }
}

void Agreement::OnDocumentPart(Micros now, int from, const Message& m, std::vector<Out>* out) {
  const auto it = fetches_.find(m.part_of);
  if (it == fetches_.end()) return;
  Fetch& f = it->second;
  if (f.parts != m.parts) f.got.clear();
  f.parts = m.parts;
  f.got[m.part] = m.bytes;
  if (static_cast<int>(f.got.size()) < f.parts) {
    if (m.part % kBatch == kBatch - 1) RequestDocument(now, from, m.part_of, out);
    return;
  }
  std::string bytes;
  for (const auto& [part, piece] : f.got) bytes += piece;
  fetches_.erase(it);
  if (HashOf(bytes) != m.part_of) {
    ++figures_.malformed;
    return;
  }
  StoreDocument(m.part_of, bytes);
  if (m.part_of == head_.hash) Install(now);
  if (proposal_) Advance(now, out);
}

}  // namespace pearreach::rules
