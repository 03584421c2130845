// A version of the rules on which all nodes agree: its values, how two of them compare, its form
// for people (XML with a schema that is part of the program) and the canonical one, whose hash
// names it. Pure; it owns no state, and must never take a document that it has not read whole.
//
// Rules are compared by what they permit. One obeys another if it permits nothing that the other
// forbids; the stricter of two obeys both; two processes act on rules that contradict each other if
// there is no version that both obey. The floor obeys every version that could be, as far as a
// value can say so: bans and zones that are left are those that are known.
#ifndef PEARREACH_SRC_NODE_RULES_DOCUMENT_H_
#define PEARREACH_SRC_NODE_RULES_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::rules {

constexpr std::uint32_t kSchema = 1;                 // the latest that this build reads
constexpr std::size_t kMaxDocumentBytes = 16 << 10;  // bytes, canonical

// What is not said here is as the node's own file has it.
struct Rules {
  std::map<std::string, double> shares;   // accounts': jobs a second, all nodes
  std::optional<double> default_share;    // of accounts that are not named above
  std::optional<double> retries_per_s;    // clients' own retries a second, all nodes
  std::optional<int> attempts;            // of a job, at most
  std::optional<int> budget_parts;        // into so many parts a budget is shared
  std::set<std::string> bans;             // workers that get no job
  std::map<std::string, bool> zone_left;  // zones: left, or (false) in use whatever is seen of them
  bool operator==(const Rules&) const = default;
};
// Commutative, associative, idempotent; obeys both.
Rules StricterOf(const Rules& a, const Rules& b);
bool Satisfies(const Rules& a, const Rules& b);  // `a` permits nothing that `b` forbids
// What a node acts on that knows of `known` and cannot tell what is in force.
Rules FloorOf(const Rules& known);

struct Document {
  std::uint32_t schema = kSchema;
  std::uint64_t number = 0;         // 0: what the nodes begin with
  std::uint64_t previous_hash = 0;  // hash of the version before
  int proposer = 0;
  std::int64_t proposed_at_ms = 0;
  bool forced = false;      // in an operator's forced way, without a majority
  std::vector<int> voters;  // ascending; they decide on the version after this one
  Rules rules;
  bool operator==(const Document&) const = default;
};
// The rules and voters of a file, without number or origin; `voters` if it names none. Throws
// dispatch::Malformed with "NAME:LINE: what".
Document ReadXml(std::string_view text, const std::string& name, const std::vector<int>& voters,
                 int nodes);
std::string WriteXml(const Document& document);
std::string Describe(const Document& document);  // a line for people
// What of the rules differs, a line each ("account a: share 5 -> 3").
std::vector<std::string> Differences(const Rules& from, const Rules& to);

std::string Encode(const Document& document);  // canonical
// None: not a document, not in canonical form, or of a later schema (`*later`, if given).
std::optional<Document> Decode(std::string_view bytes, bool* later_schema = nullptr);
std::uint64_t HashOf(std::string_view canonical);  // BLAKE2b, never 0

}  // namespace pearreach::rules

#endif  // PEARREACH_SRC_NODE_RULES_DOCUMENT_H_
