#include "node/rules/rules.h"

#include <algorithm>
#include <utility>

namespace pearreach::rules {
namespace {

constexpr std::size_t kStoredVersions = 4;         // versions in the persistent state
constexpr Micros kLongAgoMicros = 60'000'000'000;  // age of the initial version

}  // namespace

Consensus::Consensus(Options options, std::uint64_t seed, Micros now,
                     const std::optional<PersistentState>& stored)
    : options_(std::move(options)), random_(seed), started_at_(now) {
  std::sort(options_.voters.begin(), options_.voters.end());
  others_.resize(static_cast<std::size_t>(options_.nodes));
  Document first;
  first.voters = options_.voters;
  Version v{{}, first, Encode(first)};
  v.id.hash = HashOf(v.bytes);
  version_id_ = v.id;
  chosen_at_ = now - kLongAgoMicros;
  last_voters_ = first.voters;
  history_.push_back(std::move(v));
  recovering_ = true;
  next_tick_ = now;
  if (!stored) return;
  recovering_ = false;
  promised_ = stored->promised;
  for (const std::string& bytes : stored->documents)
    if (const auto document = Decode(bytes))
      history_.push_back({{stored->epoch, document->number, HashOf(bytes)}, *document, bytes});
  version_id_ = history_.back().id;
  version_id_.epoch = history_.back().id.epoch = stored->epoch;
  last_voters_ = history_.back().document.voters;
  if (stored->accepted != 0) {
    accepted_ = stored->accepted;
    accepted_hash_ = HashOf(stored->accepted_document);
    accepted_at_ = now;
    StoreDocument(accepted_hash_, stored->accepted_document);
  }
  highest_ballot_ = std::max(promised_, accepted_);
  // It is not known when this version was chosen, so others may still apply the previous one.
  if (version_id_.number == 0) return;
  chosen_at_ = now;
  unseen_until_ = now + options_.MaxLease();
}

const Version* Consensus::current() const {
  return history_.back().id == version_id_ ? &history_.back() : nullptr;
}

const Version* Consensus::Find(std::uint64_t number) const {
  for (auto it = history_.rbegin(); it != history_.rend(); ++it)
    if (it->id.number == number) return &*it;
  return nullptr;
}

std::vector<int> Consensus::voters() const {
  const Version* v = current();
  return v != nullptr ? v->document.voters : last_voters_;
}

bool Consensus::IsVoter(int node) const {
  const Version* v = current();
  const std::vector<int>& voters = v != nullptr ? v->document.voters : last_voters_;
  return std::binary_search(voters.begin(), voters.end(), node);
}

PersistentState Consensus::TakeState() {
  dirty_ = false;
  PersistentState state;
  state.epoch = version_id_.epoch;
  state.promised = promised_;
  state.accepted = accepted_;
  if (accepted_ != 0)
    if (const std::string* bytes = DocumentOf(accepted_hash_)) state.accepted_document = *bytes;
  for (const Version& v : history_)
    if (v.id.number > 0 && v.id.number + kStoredVersions > history_.back().id.number)
      state.documents.push_back(v.bytes);
  return state;
}

}  // namespace pearreach::rules
