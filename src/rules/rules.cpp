#include "rules/rules.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "rules/rules.pb.h"

namespace pearreach::rules {
namespace {

constexpr std::size_t kMostHistory = 32;    // versions held
constexpr std::size_t kKeptHistory = 4;     // of those, on the disk
constexpr std::size_t kMostDocuments = 16;  // that were not chosen
constexpr std::size_t kMostFetches = 8;
constexpr int kBatch = 4;   // parts of a document that one question brings
constexpr int kSpread = 8;  // others that hear of a new version at once
constexpr Micros kLongAgo = 60'000'000'000;
constexpr std::uint64_t kEpochStep = 1 << 10;  // an epoch is a count, and a node where it is forced

constexpr int kBallotNode = 20;  // low bits of a ballot: the node

std::string Name(std::uint64_t number) { return std::to_string(number); }

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
      k.document_size() > static_cast<int>(kMostHistory) ||
      (k.accepted() != 0 && !Decode(k.accepted_document())))
    return std::nullopt;
  Kept kept{k.epoch(), k.promised(), k.accepted(), k.accepted_document(), {}};
  for (const std::string& document : k.document()) {
    if (!Decode(document)) return std::nullopt;
    kept.documents.push_back(document);
  }
  return kept;
}

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
    Hold(accepted_hash_, kept->accepted_document);
  }
  highest_ = std::max(promised_, accepted_);
  // Others may still act on the one before, whenever this one was chosen.
  if (head_.number == 0) return;
  head_at_ = now;
  gap_until_ = now + options_.After();
}

// ---------------------------------------------------------------- what holds

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

Micros Agreement::lease_until(Micros now) const {
  if (current() == nullptr) return 0;
  std::vector<Micros> asked;
  for (const int voter : voters()) {
    if (voter == options_.self) {
      if (!recovering_ && Clean()) asked.push_back(now);
    } else if (voter < options_.nodes) {
      const Other& o = others_[static_cast<std::size_t>(voter)];
      if (o.vouched == head_ && o.vouched_at >= 0) asked.push_back(o.vouched_at);
    }
  }
  const auto majority = static_cast<std::size_t>(Majority());
  if (asked.size() < majority) return 0;
  std::sort(asked.rbegin(), asked.rend());
  return asked[majority - 1] + options_.lease;
}

Agreement::Acting Agreement::acting(Micros now) const {
  Acting a;
  const Version* v = current();
  const Version& newest = v != nullptr ? *v : history_.back();
  a.rules = newest.document.rules;
  a.numbers = {newest.head.number};
  a.until = now + kLongAgo;
  const auto ends = [&](Micros at) {
    if (at > now) a.until = std::min(a.until, at);
    return at > now;
  };
  const Micros lease = lease_until(now);
  bool held = v != nullptr && ends(lease);
  a.basis = Basis::kVersion;
  if (without_.lease) held = true;
  const auto add = [&](std::uint64_t number, const Rules& rules) {
    if (without_.both) return;
    a.rules = StricterOf(a.rules, rules);
    a.numbers.insert(a.numbers.begin(), number);
    a.basis = Basis::kBoth;
  };
  for (const Retiring& r : retiring_) {
    if (ends(r.until)) add(r.version.head.number, r.version.document.rules);
    if (v != nullptr && ends(r.lease_until)) held = true;
  }
  if (accepted_ != 0)
    if (const std::string* bytes = DocumentOf(accepted_hash_))
      if (const auto document = Decode(*bytes)) add(document->number, document->rules);
  if (held && !(ends(gap_until_) && !without_.both)) return a;
  a.basis = Basis::kFloor;
  a.rules = FloorOf(a.rules);
  return a;
}

bool Agreement::ready(Micros now) const {
  return lease_until(now) > now || now >= began_ + options_.ready_within;
}

std::set<int> Agreement::have(Micros now) const {
  const Micros since = now - 8 * options_.every;
  std::set<int> have;
  if (current() != nullptr) have.insert(options_.self);
  for (int n = 0; n < options_.nodes; ++n) {
    const Other& o = others_[static_cast<std::size_t>(n)];
    if (o.head == head_ && o.heard > 0 && o.heard >= since) have.insert(n);
    if (!(o.answered_head == head_) || o.answered_at < since || o.answered_at < 0) continue;
    for (std::size_t i = 0; i < o.have.size() * 8; ++i)
      if ((static_cast<unsigned char>(o.have[i / 8]) >> (i % 8) & 1) != 0)
        have.insert(static_cast<int>(i));
  }
  return have;
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

// ---------------------------------------------------------------- operators

std::uint64_t Agreement::Propose(Micros now, Document document, std::optional<std::uint64_t> after,
                                 std::int64_t unix_ms, std::string* why) {
  const Version* v = current();
  const auto refuse = [&](const std::string& text) {
    *why = text;
    return std::uint64_t{0};
  };
  if (v == nullptr) return refuse("this node has not read version " + Name(head_.number) + " yet");
  if (after && *after != head_.number)
    return refuse("made after version " + Name(*after) + ", but " + Words(v->document) +
                  " is in force");
  if (proposal_ && proposal_->number != 0)
    return refuse("another proposal is on its way at this node");
  if (document.voters.empty()) return refuse("no voters");
  for (const int voter : document.voters)
    if (voter < 0 || voter >= options_.nodes)
      return refuse("there is no node " + std::to_string(voter));
  if (document.rules == v->document.rules && document.voters == v->document.voters)
    return refuse("it is what version " + Name(head_.number) + " says already");
  int heard = 0;
  const Micros since = now - 8 * options_.every;
  for (const int voter : v->document.voters) {
    const Other& o = others_[static_cast<std::size_t>(voter)];
    heard += voter == options_.self || (o.answered_at >= 0 && o.answered_at >= since) ? 1 : 0;
  }
  if (heard < Majority())
    return refuse("hears " + std::to_string(heard) + " of " +
                  std::to_string(v->document.voters.size()) +
                  " voters: without a majority nothing is changed");
  for (int n = 0; n < options_.nodes; ++n) {
    const Other& o = others_[static_cast<std::size_t>(n)];
    if (o.heard > 0 && o.heard >= since && o.schema < document.schema)
      return refuse("node " + std::to_string(n) + " reads schema " + std::to_string(o.schema) +
                    " at most");
  }
  document.number = head_.number + 1;
  document.before = head_.hash;
  document.by = options_.self;
  document.at_ms = unix_ms;
  document.forced = false;
  Proposal p;
  p.number = ++proposals_;
  p.bytes = Encode(document);
  if (p.bytes.size() > kMostDocument) return refuse("longer than a document may be");
  p.hash = HashOf(p.bytes);
  p.after = head_;
  p.until = now + options_.patience;
  const std::string bytes = p.bytes;
  proposal_ = std::move(p);
  Hold(proposal_->hash, bytes);
  next_ = now;
  return proposals_;
}

bool Agreement::Force(Micros now, std::vector<int> voters, std::int64_t unix_ms, std::string* why) {
  std::sort(voters.begin(), voters.end());
  voters.erase(std::unique(voters.begin(), voters.end()), voters.end());
  if (voters.empty() || voters.front() < 0 || voters.back() >= options_.nodes) {
    *why = "no voters, or one that is no node";
    return false;
  }
  if (lease_until(now) + options_.After() > now) {
    *why = "a majority of the voters answered of late: propose instead";
    return false;
  }
  const Version& base = history_.back();
  Version v;
  v.document = base.document;
  v.document.number = std::max(head_.number, base.head.number) + 1;
  v.document.before = base.head.hash;
  v.document.by = options_.self;
  v.document.at_ms = unix_ms;
  v.document.forced = true;
  v.document.voters = std::move(voters);
  v.bytes = Encode(v.document);
  const Head head{
      (head_.epoch / kEpochStep + 1) * kEpochStep + static_cast<std::uint64_t>(options_.self) + 1,
      v.document.number, HashOf(v.bytes)};
  Hold(head.hash, v.bytes);
  std::vector<Out> out;
  Learn(now, options_.self, head, 0, &out);
  spread_ = kSpread;
  return true;
}

std::vector<Agreement::Outcome> Agreement::TakeOutcomes() { return std::exchange(outcomes_, {}); }

// ---------------------------------------------------------------- time

void Agreement::Tick(Micros now, const std::vector<int>& alive, std::vector<Out>* out) {
  alive_ = alive;
  next_ = now + options_.every;
  retiring_.erase(
      std::remove_if(retiring_.begin(), retiring_.end(),
                     [&](const Retiring& r) { return r.until <= now && r.lease_until <= now; }),
      retiring_.end());
  Recover(now);
  for (auto it = asked_.begin(); it != asked_.end() && it->second < now - options_.lease;)
    it = asked_.erase(it);
  Word word = Base(now);
  word.ask = ++nonce_;
  asked_[nonce_] = now;
  for (const int voter : voters())
    if (voter != options_.self && voter < options_.nodes) Say(voter, word, out);
  // A version that is new goes to several others; else to one, so that those hear of it who do not
  // know its voters.
  word.ask = 0;
  for (int i = 0; !alive.empty() && i < (spread_ > 0 ? kSpread : 1); ++i)
    Say(alive[ring_++ % alive.size()], word, out);
  spread_ = std::max(0, spread_ - 1);
  for (auto& [hash, f] : fetches_) {
    if (now < f.asked + options_.every / 2) continue;
    // Whoever was asked may be gone.
    const std::vector<int>& from = alive.empty() ? last_voters_ : alive;
    if (f.from < 0 || random_() % 2 == 0) f.from = from[random_() % from.size()];
    Want(now, f.from, hash, out);
  }
  if (!proposal_ && accepted_ != 0 && !recovering_ && IsVoter(options_.self) &&
      now > accepted_at_ + 2 * options_.ballot +
                static_cast<Micros>(random_() % static_cast<std::uint64_t>(options_.ballot))) {
    // Whoever proposed it may be gone; while it is open nobody's lease is renewed.
    Proposal p;
    p.after = head_;
    p.until = now + options_.patience;
    proposal_ = std::move(p);
  }
  Push(now, out);
}

Word Agreement::Base(Micros now) const {
  Word w;
  w.head = head_;
  w.age_ms = (now - head_at_) / 1000;
  w.schema = options_.schema;
  w.refuses = unread_.count(head_.hash) > 0;
  return w;
}

void Agreement::Say(int to, const Word& word, std::vector<Out>* out) {
  if (to == options_.self) return;
  ++figures_.words;
  out->push_back({to, Encode(word)});
}

// ---------------------------------------------------------------- words

void Agreement::Hear(Micros now, int from, std::string_view section, std::vector<Out>* out) {
  if (from < 0 || from >= options_.nodes || from == options_.self) return;
  const std::optional<Word> word = DecodeWord(section);
  if (!word) {
    ++figures_.malformed;
    return;
  }
  const Word& w = *word;
  Other& o = others_[static_cast<std::size_t>(from)];
  o.heard = now;
  o.head = w.head;
  o.schema = w.schema;
  highest_ = std::max({highest_, w.promised, w.accepted, w.ballot, w.value_ballot});
  Learn(now, from, w.head, w.age_ms, out);
  if (w.refuses && w.head == head_)
    refusing_.insert(from);
  else
    refusing_.erase(from);
  if (w.ask != 0) {
    Word answer = Base(now);
    answer.answer = w.ask;
    const bool votes = current() != nullptr && IsVoter(options_.self);
    answer.clean = votes && !recovering_ && w.head == head_ && (Clean() || without_.clean);
    answer.recovering = recovering_;
    answer.formed = formed_at_ >= 0 && now < formed_at_ + options_.lease;
    answer.promised = promised_;
    answer.accepted = accepted_;
    answer.accepted_hash = accepted_hash_;
    if (votes) {
      answer.have.assign(static_cast<std::size_t>(options_.nodes + 7) / 8, '\0');
      for (int n = 0; n < options_.nodes; ++n) {
        const Other& other = others_[static_cast<std::size_t>(n)];
        if (n == options_.self ||
            (other.head == head_ && other.heard > 0 && other.heard > now - 4 * options_.every))
          answer.have[static_cast<std::size_t>(n) / 8] |= static_cast<char>(1 << (n % 8));
      }
    }
    Say(from, answer, out);
  }
  if (w.answer != 0) HearAnswer(now, from, w);
  if (w.step != Step::kNone) HearStep(now, from, w, out);
  if (w.want != 0)
    if (const std::string* bytes = DocumentOf(w.want)) {
      const int parts = static_cast<int>((bytes->size() + kPartBytes - 1) / kPartBytes);
      for (int i = w.want_part; i < std::min(parts, w.want_part + kBatch); ++i) {
        Word part = Base(now);
        part.part_of = w.want;
        part.part = i;
        part.parts = parts;
        part.bytes = bytes->substr(static_cast<std::size_t>(i) * kPartBytes, kPartBytes);
        Say(from, part, out);
      }
    }
  if (w.part_of != 0) HearPart(now, from, w, out);
}

void Agreement::HearAnswer(Micros now, int from, const Word& w) {
  const auto it = asked_.find(w.answer);
  if (it == asked_.end() || it->second < now - options_.lease) return;
  Other& o = others_[static_cast<std::size_t>(from)];
  const Micros sent = it->second;
  if (w.clean && w.head == head_ && IsVoter(from)) {
    if (!(o.vouched == head_)) o.vouched_at = -1;
    o.vouched = head_;
    o.vouched_at = std::max(o.vouched_at, sent);
  }
  if (sent < o.answered_at) return;
  o.answered_at = sent;
  o.recovering = w.recovering;
  o.formed = w.formed;
  o.answered_head = w.head;
  o.promised = w.promised;
  o.accepted = w.accepted;
  o.accepted_hash = w.accepted_hash;
  o.have = w.have;
}

// A voter that lost what it knew takes part again once it knows what it may have had a part in.
void Agreement::Recover(Micros now) {
  if (!recovering_ || current() == nullptr) return;
  if (!IsVoter(options_.self)) {
    // Others vouch that none after this version was chosen: it cannot have voted on one.
    if (lease_until(now) > now) recovering_ = false;
    return;
  }
  if (without_.recovery) {
    recovering_ = false;
    return;
  }
  // By then each ballot and lease in which its last process had a part is over.
  const Micros over =
      began_ + std::max(options_.After(), static_cast<Micros>(static_cast<double>(options_.ballot) *
                                                              (1 + 2 * options_.drift)));
  if (now < over) return;
  const std::vector<int> voters = this->voters();
  int sound = 0, answered = 0;
  bool formed = false;
  std::uint64_t promised = 0, accepted = 0, accepted_hash = 0;
  for (const int voter : voters) {
    if (voter == options_.self || voter >= options_.nodes) continue;
    const Other& o = others_[static_cast<std::size_t>(voter)];
    if (o.answered_at < over || !(o.answered_head == head_)) continue;
    ++answered;
    sound += o.recovering ? 0 : 1;
    formed = formed || o.formed;
    promised = std::max(promised, o.promised);
    if (o.accepted > accepted) {
      accepted = o.accepted;
      accepted_hash = o.accepted_hash;
    }
  }
  const int n = static_cast<int>(voters.size());
  const int enough = n - Majority() + 1;
  if (sound < enough && answered < n - 1) return;
  recovering_ = false;
  dirty_ = true;
  promised_ = std::max(promised_, promised);
  if (accepted > accepted_) {
    accepted_ = accepted;
    accepted_hash_ = accepted_hash;
    accepted_at_ = now;
  }
  // All voters are here and too many of them know nothing: what was chosen last may be forgotten.
  // What they choose from here on is of a later epoch, so that it can be told apart. One that was
  // begun less than a lease ago was begun while this process waited: it is the same beginning.
  if (sound < enough && !formed) {
    head_.epoch = (head_.epoch / kEpochStep + 1) * kEpochStep;
    formed_at_ = now;
  }
  history_.back().head = head_;
  spread_ = 3;
}

void Agreement::Learn(Micros now, int from, const Head& head, std::int64_t age_ms,
                      std::vector<Out>* out) {
  if (std::pair(head.epoch, head.number) <= std::pair(head_.epoch, head_.number)) {
    if (head.epoch == head_.epoch && head.number == head_.number && head.hash != head_.hash)
      ++figures_.forked;
    return;
  }
  dirty_ = true;
  formed_at_ = -1;
  if (head.number == head_.number && head.hash == head_.hash) {
    if (current() != nullptr) history_.back().head = head;
    head_ = head;
    return;
  }
  const Micros age = std::min<Micros>(age_ms * 1000, kLongAgo);
  const Micros until = now + std::max<Micros>(0, options_.After() - age);
  const Version* before = current();
  if (before != nullptr) retiring_.push_back({*before, until, lease_until(now)});
  if (before == nullptr || head.number != head_.number + 1 || head.epoch != head_.epoch)
    gap_until_ = std::max(gap_until_, until);
  head_ = head;
  head_at_ = now - age;
  accepted_ = accepted_hash_ = 0;
  refusing_.clear();
  spread_ = 3;
  if (DocumentOf(head.hash) != nullptr)
    Install(now);
  else
    Want(now, from, head.hash, out);
  if (proposal_) next_ = now;
}

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
  if (history_.size() > kMostHistory) history_.pop_front();
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
void Agreement::Hold(std::uint64_t hash, const std::string& bytes) {
  if (documents_.emplace(hash, bytes).second) documents_order_.push_back(hash);
  for (std::size_t i = documents_order_.size(); i > 0 && documents_order_.size() > kMostDocuments;
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

void Agreement::Want(Micros now, int from, std::uint64_t hash, std::vector<Out>* out) {
  if (unread_.count(hash) > 0 || DocumentOf(hash) != nullptr) return;
  if (fetches_.count(hash) == 0 && fetches_.size() >= kMostFetches) {
    auto oldest = fetches_.begin();
    for (auto it = fetches_.begin(); it != fetches_.end(); ++it)
      if (it->second.asked < oldest->second.asked) oldest = it;
    fetches_.erase(oldest);
  }
  Fetch& f = fetches_[hash];
  f.from = from;
  f.asked = now;
  Word w = Base(now);
  w.want = hash;
  while (f.got.count(w.want_part) > 0) ++w.want_part;
  Say(from, w, out);
}

void Agreement::HearPart(Micros now, int from, const Word& w, std::vector<Out>* out) {
  const auto it = fetches_.find(w.part_of);
  if (it == fetches_.end()) return;
  Fetch& f = it->second;
  if (f.parts != w.parts) f.got.clear();
  f.parts = w.parts;
  f.got[w.part] = w.bytes;
  if (static_cast<int>(f.got.size()) < f.parts) {
    if (w.part % kBatch == kBatch - 1) Want(now, from, w.part_of, out);
    return;
  }
  std::string bytes;
  for (const auto& [part, piece] : f.got) bytes += piece;
  fetches_.erase(it);
  if (HashOf(bytes) != w.part_of) {
    ++figures_.malformed;
    return;
  }
  Hold(w.part_of, bytes);
  if (w.part_of == head_.hash) Install(now);
  if (proposal_) Push(now, out);
}

// ---------------------------------------------------------------- choosing a version

std::uint64_t Agreement::NextBallot() {
  highest_ =
      ((highest_ >> kBallotNode) + 1) << kBallotNode | static_cast<std::uint64_t>(options_.self);
  ++figures_.ballots;
  return highest_;
}

void Agreement::HearStep(Micros now, int from, const Word& w, std::vector<Out>* out) {
  const auto reply = [&](Word answer) {
    if (from != options_.self) return Say(from, answer, out);
    HearStep(now, from, answer, out);
  };
  if (w.step == Step::kPrepare || w.step == Step::kAccept) {
    if (current() == nullptr || !IsVoter(options_.self) || recovering_) return;
    Word answer = Base(now);
    answer.ballot = w.ballot;
    answer.promised = promised_;
    if (!(w.head == head_)) {
      answer.step = Step::kRefused;  // its head says why
      return reply(answer);
    }
    if (w.step == Step::kPrepare) {
      // Its document comes while the others promise.
      if (w.value != 0) Want(now, from, w.value, out);
      answer.step = w.ballot >= promised_ ? Step::kPromise : Step::kRefused;
      if (answer.step == Step::kPromise) {
        dirty_ = dirty_ || promised_ != w.ballot;
        promised_ = w.ballot;
        answer.value_ballot = accepted_;
        answer.value = accepted_hash_;
      }
      return reply(answer);
    }
    if (w.ballot < promised_ && !without_.promise) {
      answer.step = Step::kRefused;
      return reply(answer);
    }
    const std::string* bytes = DocumentOf(w.value);
    if (bytes == nullptr) return Want(now, from, w.value, out);
    const std::optional<Document> document = Decode(*bytes);
    if (!document || document->number != head_.number + 1 || document->before != head_.hash) {
      ++figures_.refused;
      return;
    }
    if (accepted_ == 0) accepted_at_ = now;
    dirty_ = dirty_ || accepted_ != w.ballot || accepted_hash_ != w.value;
    promised_ = std::max(promised_, w.ballot);
    accepted_ = w.ballot;
    accepted_hash_ = w.value;
    answer.step = Step::kAccepted;
    answer.value = w.value;
    return reply(answer);
  }
  if (!proposal_ || proposal_->ballot == 0 || w.ballot != proposal_->ballot) return;
  Proposal& p = *proposal_;
  // What comes after the ballot's end counts for nothing: a voter may have forgotten it.
  if (now >= p.began + options_.ballot || !(p.after == head_)) return;
  if (w.step == Step::kRefused) {
    highest_ = std::max(highest_, w.promised);
    if (w.promised <= p.ballot) return;
    // Another ballot is on: wait a while, else the two overtake each other for ever.
    p.ballot = 0;
    p.again = now + options_.every / 4 +
              static_cast<Micros>(random_() % static_cast<std::uint64_t>(options_.every));
    next_ = std::min(next_, p.again);
    return;
  }
  if (!IsVoter(from)) return;
  if (w.step == Step::kPromise && !p.accepting) {
    p.promised.insert(from);
    if (w.value_ballot > p.value_ballot) {
      p.value_ballot = w.value_ballot;
      p.value = w.value;
      if (DocumentOf(w.value) == nullptr) Want(now, from, w.value, out);
    }
    if (static_cast<int>(p.promised.size()) >= Majority()) Push(now, out);
  } else if (w.step == Step::kAccepted && p.accepting && w.value == p.value) {
    p.accepted.insert(from);
    if (static_cast<int>(p.accepted.size()) >= Majority()) Chosen(now, p.value, out);
  }
}

void Agreement::Push(Micros now, std::vector<Out>* out) {
  if (!proposal_) return;
  if (!(proposal_->after == head_)) {
    const std::uint64_t number = proposal_->after.number + 1;
    const Version* v = Find(number);
    const bool mine = v != nullptr ? v->head.hash == proposal_->hash
                                   : head_.number == number && head_.hash == proposal_->hash;
    if (mine)
      End(Outcome::What::kChosen, "version " + Name(number) + " is chosen");
    else
      End(Outcome::What::kLost, v != nullptr
                                    ? Words(v->document) + " stands in its way"
                                    : "version " + Name(head_.number) + " stands in its way");
    return;
  }
  Proposal& p = *proposal_;
  if (now >= p.until) {
    if (p.tried)
      End(Outcome::What::kOpen,
          "not known to be chosen: some voters may have it, and it may be chosen yet");
    else
      End(Outcome::What::kNoMajority, "no majority of the voters answered: nothing is changed");
    return;
  }
  if (now < p.again && p.ballot == 0) {
    next_ = std::min(next_, p.again);
    return;
  }
  if (p.ballot == 0 || now >= p.began + options_.ballot) {
    p.ballot = NextBallot();
    p.began = now;
    p.again = 0;
    p.promised.clear();
    p.accepted.clear();
    p.accepting = false;
    p.value = p.value_ballot = 0;
  }
  Word w = Base(now);
  w.ballot = p.ballot;
  if (!p.accepting && static_cast<int>(p.promised.size()) >= Majority()) {
    if (p.value == 0) p.value = p.hash;
    if (p.value == 0) {
      proposal_.reset();  // nothing to complete after all
      return;
    }
    if (DocumentOf(p.value) != nullptr) {
      p.accepting = p.tried = true;
      p.again = 0;
    }
  }
  if (now < p.again) return;
  p.again = now + options_.every / 2;
  next_ = std::min(next_, p.again);
  w.step = p.accepting ? Step::kAccept : Step::kPrepare;
  w.value = p.value != 0 ? p.value : p.hash;
  const std::set<int> answered = p.accepting ? p.accepted : p.promised;
  for (const int voter : voters()) {
    if (answered.count(voter) > 0) continue;
    if (voter != options_.self)
      Say(voter, w, out);
    else
      HearStep(now, voter, w, out);
    if (!proposal_ || proposal_->ballot != w.ballot) return;
  }
}

void Agreement::Chosen(Micros now, std::uint64_t hash, std::vector<Out>* out) {
  ++figures_.chosen;
  const Head head{head_.epoch, head_.number + 1, hash};
  Learn(now, options_.self, head, 0, out);
  const Word w = Base(now);
  for (const int voter : voters()) Say(voter, w, out);
  for (int i = 0; !alive_.empty() && i < kSpread; ++i) Say(alive_[ring_++ % alive_.size()], w, out);
  Push(now, out);
}

void Agreement::End(Outcome::What what, const std::string& text) {
  if (proposal_->number != 0) outcomes_.push_back({what, proposal_->number, head_, text});
  proposal_.reset();
}

}  // namespace pearreach::rules
