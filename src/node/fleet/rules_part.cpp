#include "node/fleet/rules_part.h"

#include <glib.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "common/diagnostics/log.h"
#include "dispatch/settings/settings_reader.h"

namespace pearreach {
namespace {

using rules::Consensus;

constexpr std::size_t kMaxOutcomes = 32;

std::string List(const std::vector<int>& numbers) {
  std::string text;
  for (const int n : numbers) text += (text.empty() ? "" : " ") + std::to_string(n);
  return text;
}
std::string Joined(const std::vector<std::uint64_t>& numbers, const char* with) {
  std::string text;
  for (const std::uint64_t n : numbers) text += (text.empty() ? "" : with) + std::to_string(n);
  return text;
}
std::string Words(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += (text.empty() ? "" : " ") + name;
  return text;
}
const char* NameOf(Consensus::Basis basis) {
  return basis == Consensus::Basis::kVersion ? "version"
         : basis == Consensus::Basis::kBoth  ? "both"
                                             : "floor";
}
std::string Hash(std::uint64_t hash) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
  return text;
}
std::uint64_t NumberOf(const std::string& text, const char* what) {
  return dispatch::ParseNumber<std::uint64_t>(text, what);
}

rules::Consensus MakeMachine(const rules::Options& options, std::uint64_t seed,
                             const std::optional<RulesFile>& file) {
  std::optional<rules::PersistentState> kept;
  if (file) {
    std::string wrong;
    kept = file->Load(&wrong);
    if (!wrong.empty()) CountFault("rules_not_read", wrong);
    // Where a file is kept and there is none yet, nothing has been accepted.
    if (!kept && wrong.empty()) kept.emplace();
  }
  return Consensus(options, seed, Now(), kept);
}

}  // namespace

RulesPart::RulesPart(const RulesSettings& settings, std::uint64_t seed, Say say,
                     std::function<std::vector<int>()> alive, std::function<void()> changed)
    : options_(settings.options),
      file_(settings.keep.empty() ? std::nullopt : std::optional(RulesFile(settings.keep))),
      machine_(MakeMachine(settings.options, seed, file_)),
      say_(std::move(say)),
      alive_(std::move(alive)),
      changed_(std::move(changed)),
      turn_([this] { Turn(); }) {}

void RulesPart::Begin() { Turn(); }

void RulesPart::Turn() {
  std::vector<Consensus::Outgoing> out;
  machine_.Tick(Now(), alive_(), &out);
  Send(&out);
}

void RulesPart::Hear(int from, std::string_view section) {
  std::vector<Consensus::Outgoing> out;
  machine_.Receive(Now(), from, section, &out);
  Send(&out);
}

// What has to be kept is on the disk before anything is said. Where it cannot be, nothing is: to
// the others this node is one whose words are lost, and its lease ends.
bool RulesPart::Keep() {
  if (!file_) return true;
  if (machine_.dirty()) to_keep_ = machine_.TakeState();
  if (!to_keep_) return true;
  if (const std::string wrong = file_->Save(*to_keep_); !wrong.empty()) {
    CountFault("rules_not_kept", wrong);
    return false;
  }
  to_keep_.reset();
  Count("rules_kept");
  return true;
}

void RulesPart::Send(std::vector<Consensus::Outgoing>* out) {
  if (Keep())
    for (const Consensus::Outgoing& o : *out) say_(o.to, o.section);
  for (Consensus::Outcome& o : machine_.TakeOutcomes()) {
    Log("rules_proposal",
        {{"proposal", std::to_string(o.proposal)},
         {"what", o.result == Consensus::Outcome::Result::kChosen       ? "chosen"
                  : o.result == Consensus::Outcome::Result::kLost       ? "lost"
                  : o.result == Consensus::Outcome::Result::kNoMajority ? "no_majority"
                                                                        : "open"}},
        "proposal " + std::to_string(o.proposal) + ": " + o.text);
    outcomes_[o.proposal] = std::move(o);
    if (outcomes_.size() > kMaxOutcomes) outcomes_.erase(outcomes_.begin());
  }
  const rules::Counters& n = machine_.counters();
  CountGrowth("rules_words", n.messages_sent, &reported_.messages_sent);
  CountGrowth("rules_words_malformed", n.malformed, &reported_.malformed);
  CountGrowth("rules_ballots", n.ballots, &reported_.ballots);
  CountGrowth("rules_chosen", n.chosen, &reported_.chosen);
  CountGrowth("rules_learned", n.learned, &reported_.learned);
  CountGrowth("rules_refused", n.rejected_documents, &reported_.rejected_documents);
  if (n.forked > reported_.forked)
    CountFault("rules_forked", "another node has another version " +
                                   std::to_string(machine_.version_id().number) +
                                   ": do all files name the same voters?");
  reported_.forked = n.forked;
  Look();
  turn_.Set(std::max(Now(), std::min(machine_.next_tick(), acting_.valid_until)));
}

const Consensus::EffectiveRules& RulesPart::acting() {
  if (!looked_ || Now() >= acting_.valid_until) Look();
  return acting_;
}

void RulesPart::Look() {
  Consensus::EffectiveRules now = machine_.effective_rules(Now());
  const bool same = looked_ && now.basis == acting_.basis && now.versions == acting_.versions &&
                    told_epoch_ == machine_.version_id().epoch;
  const bool alike = same && now.rules == acting_.rules;
  acting_ = std::move(now);
  looked_ = true;
  if (alike) return;
  told_epoch_ = machine_.version_id().epoch;
  Log("rules",
      {{"basis", NameOf(acting_.basis)},
       {"versions", Joined(acting_.versions, "+")},
       {"number", std::to_string(machine_.version_id().number)},
       {"epoch", std::to_string(machine_.version_id().epoch)},
       {"hash", Hash(machine_.version_id().hash)},
       {"bans", Words(acting_.rules.bans)},
       {"has", machine_.current() != nullptr ? "1" : "0"}},
      std::string("acts on ") +
          (acting_.basis == Consensus::Basis::kFloor
               ? "the floor: no majority of the voters vouches for version " +
                     std::to_string(machine_.version_id().number)
           : acting_.basis == Consensus::Basis::kBoth
               ? "the stricter of versions " + Joined(acting_.versions, " and ")
               : "version " + std::to_string(machine_.version_id().number)));
  changed_();
}

// ---------------------------------------------------------------- operators

std::string RulesPart::When(std::int64_t unix_ms) const {
  GDateTime* time = g_date_time_new_from_unix_utc(unix_ms / 1000);
  if (time == nullptr) return "?";
  char* text = g_date_time_format(time, "%F %T UTC");
  std::string all = text == nullptr ? "?" : text;
  g_free(text);
  g_date_time_unref(time);
  return all;
}

RulesPart::Reply RulesPart::Propose(std::string_view text, const std::string& after) {
  rules::Document document;
  std::optional<std::uint64_t> made_after;
  try {
    document = rules::ReadXml(text, "rules", machine_.voters(), options_.nodes);
    if (!after.empty()) made_after = NumberOf(after, "after");
  } catch (const dispatch::Malformed& wrong) {
    Count("rules_proposals_malformed");
    return {400, wrong.what()};
  }
  std::string why;
  const std::uint64_t number =
      machine_.Propose(Now(), std::move(document), made_after, g_get_real_time() / 1000, &why);
  if (number == 0) {
    Count("rules_proposals_refused");
    return {409, why};
  }
  Count("rules_proposals");
  turn_.Set(Now());
  return {202, std::to_string(number)};
}

RulesPart::Reply RulesPart::Proposal(const std::string& text) const {
  std::uint64_t number = 0;
  try {
    number = NumberOf(text, "number");
  } catch (const dispatch::Malformed& wrong) {
    return {400, wrong.what()};
  }
  const auto it = outcomes_.find(number);
  if (it == outcomes_.end()) return {202, "not decided yet"};
  const bool chosen = it->second.result == Consensus::Outcome::Result::kChosen;
  return {chosen ? 200 : 409, it->second.text};
}

RulesPart::Reply RulesPart::Force(const std::string& text) {
  std::vector<int> voters;
  try {
    for (const dispatch::Text voter : dispatch::Split(text, ' '))
      if (!voter.empty()) voters.push_back(dispatch::ParseNumber<int>(voter, "voters"));
  } catch (const dispatch::Malformed& wrong) {
    return {400, wrong.what()};
  }
  std::string why;
  if (!machine_.Force(Now(), voters, g_get_real_time() / 1000, &why)) return {409, why};
  CountFault("rules_forced", "an operator has forced version " +
                                 std::to_string(machine_.version_id().number) +
                                 " without a majority; voters are now " + List(machine_.voters()));
  turn_.Set(Now());
  return {200, "version " + std::to_string(machine_.version_id().number) + " is forced, epoch " +
                   std::to_string(machine_.version_id().epoch) + "; voters " +
                   List(machine_.voters())};
}

RulesPart::Reply RulesPart::Show() {
  const rules::Version* v = machine_.current();
  const Consensus::EffectiveRules& a = acting();
  std::string text = "version " + std::to_string(machine_.version_id().number) + " of epoch " +
                     std::to_string(machine_.version_id().epoch) + ", " +
                     Hash(machine_.version_id().hash);
  if (v == nullptr)
    text += ", not read here yet";
  else if (v->id.number > 0)
    text += std::string(v->document.forced ? ", forced" : "") + ", said at node " +
            std::to_string(v->document.proposer) + " at " + When(v->document.proposed_at_ms);
  text += "\nacts on ";
  text += a.basis == Consensus::Basis::kFloor  ? "the floor: no lease of a majority"
          : a.basis == Consensus::Basis::kBoth ? "the stricter of " + Joined(a.versions, " and ")
                                               : "it";
  const Micros lease = machine_.lease_until(Now()) - Now();
  if (lease > 0) text += ", lease of " + std::to_string(lease / 1000) + " ms";
  text += "\nT " + std::to_string(options_.MaxContradiction() / 1000) + " ms; voters " +
          List(machine_.voters()) + (machine_.recovering() ? "; recovering" : "");
  const Reply have = Have();
  text += "\n" + have.text;
  if (v != nullptr) text += "\n" + rules::WriteXml(v->document);
  return {200, text};
}

RulesPart::Reply RulesPart::Have() const {
  const std::set<int> have = machine_.holders(Now());
  std::vector<int> has(have.begin(), have.end()), lacks;
  const std::vector<int> alive = alive_();
  for (const int n : alive)
    if (have.count(n) == 0) lacks.push_back(n);
  std::string text = std::to_string(machine_.version_id().number) + " of " +
                     std::to_string(machine_.version_id().epoch) + "\nhas " + List(has) + "\nnot " +
                     List(lacks);
  if (const std::vector<int> refusing = machine_.rejecting_nodes(); !refusing.empty())
    text += "\nrefuses " + List(refusing);
  return {200, text};
}

RulesPart::Reply RulesPart::History() const {
  std::string text;
  for (const rules::Version& v : machine_.history())
    text += (text.empty() ? "" : "\n") + std::to_string(v.id.number) + " of " +
            std::to_string(v.id.epoch) + " " + Hash(v.id.hash) +
            (v.id.number == 0 ? std::string(" what the nodes begin with")
                              : std::string(v.document.forced ? " forced" : "") + " said at node " +
                                    std::to_string(v.document.proposer) + " at " +
                                    When(v.document.proposed_at_ms) + " after " +
                                    Hash(v.document.previous_hash));
  return {200, text};
}

RulesPart::Reply RulesPart::Difference(const std::string& from, const std::string& to) const {
  try {
    const rules::Version* a = machine_.Find(NumberOf(from, "from"));
    const rules::Version* b = machine_.Find(NumberOf(to, "to"));
    if (a == nullptr || b == nullptr)
      return {404, "this node does not hold version " + (a == nullptr ? from : to)};
    std::string text;
    for (const std::string& line : rules::Differences(a->document.rules, b->document.rules))
      text += (text.empty() ? "" : "\n") + line;
    if (a->document.voters != b->document.voters)
      text += (text.empty() ? "voters: " : "\nvoters: ") + List(a->document.voters) + " -> " +
              List(b->document.voters);
    return {200, text.empty() ? "nothing differs" : text};
  } catch (const dispatch::Malformed& wrong) {
    return {400, wrong.what()};
  }
}

}  // namespace pearreach
