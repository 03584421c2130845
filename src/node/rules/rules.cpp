#include "node/rules/rules.h"

#include <algorithm>
#include <utility>

namespace pearreach::rules {
namespace {

constexpr std::size_t kKeptHistory = 4;  // versions on the disk
constexpr Micros kLongAgo = 60'000'000'000;

}  // namespace

Agreement::Agreement(Options options, std::uint64_t seed, Micros now,
                     const std::optional<Kept>& kept)
    : options_(std::move(options)), random_(seed), began_(now) {
  std::sort(options_.voters.begin(), options_.voters.end());
  others_.resize(static_cast<std::size_t>(options_.nodes));
  Document first;
  first.voters = options_.voters;
  Version v{{}, first, Encode(first)};
  v.head.hash = HashOf(v.bytes);
  head_ = v.head;
  head_at_ = now - kLongAgo;
  last_voters_ = first.voters;
  history_.push_back(std::move(v));
  recovering_ = true;
  next_ = now;
  if (!kept) return;
  recovering_ = false;
  promised_ = kept->promised;
  for (const std::string& bytes : kept->documents)
    if (const auto document = Decode(bytes))
      history_.push_back({{kept->epoch, document->number, HashOf(bytes)}, *document, bytes});
  head_ = history_.back().head;
  head_.epoch = history_.back().head.epoch = kept->epoch;
  last_voters_ = history_.back().document.voters;
  if (kept->accepted != 0) {
    accepted_ = kept->accepted;
    accepted_hash_ = HashOf(kept->accepted_document);
    accepted_at_ = now;
    StoreDocument(accepted_hash_, kept->accepted_document);
  }
  highest_ = std::max(promised_, accepted_);
  // Others may still act on the one before, whenever this one was chosen.
  if (head_.number == 0) return;
  head_at_ = now;
  gap_until_ = now + options_.After();
}

const Version* Agreement::current() const {
  return history_.back().head == head_ ? &history_.back() : nullptr;
}

const Version* Agreement::Find(std::uint64_t number) const {
  for (auto it = history_.rbegin(); it != history_.rend(); ++it)
    if (it->head.number == number) return &*it;
  return nullptr;
}

std::vector<int> Agreement::voters() const {
  const Version* v = current();
  return v != nullptr ? v->document.voters : last_voters_;
}

bool Agreement::IsVoter(int node) const {
  const Version* v = current();
  const std::vector<int>& voters = v != nullptr ? v->document.voters : last_voters_;
  return std::binary_search(voters.begin(), voters.end(), node);
}

Kept Agreement::TakeKept() {
  dirty_ = false;
  Kept kept;
  kept.epoch = head_.epoch;
  kept.promised = promised_;
  kept.accepted = accepted_;
  if (accepted_ != 0)
    if (const std::string* bytes = DocumentOf(accepted_hash_)) kept.accepted_document = *bytes;
  for (const Version& v : history_)
    if (v.head.number > 0 && v.head.number + kKeptHistory > history_.back().head.number)
      kept.documents.push_back(v.bytes);
  return kept;
}

}  // namespace pearreach::rules
