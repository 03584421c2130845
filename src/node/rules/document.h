// A version of the cluster-wide rules: its values, the comparison of two sets of rules, the XML
// form for operators (with an embedded schema) and the canonical binary form, whose hash identifies
// the document. Stateless. A document is accepted only if all of it can be read.
//
// Rules are compared by what they permit. Rules `a` satisfy rules `b` if `a` permits nothing that
// `b` forbids. StricterOf(a, b) satisfies both. Two processes contradict each other if no version
// exists that the rules of both satisfy. The floor satisfies every possible version as far as
// limits go; of bans and drained zones it can only contain the known ones.
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

constexpr std::uint32_t kSchema = 1;                 // the latest that this build can read
constexpr std::size_t kMaxDocumentBytes = 16 << 10;  // in canonical form

// A value that is not set here is taken from the node's own configuration file.
struct Rules {
  std::map<std::string, double> shares;  // by account: jobs per second over all nodes
  std::optional<double> default_share;   // for accounts not in `shares`
  std::optional<double> retries_per_s;   // retries by clients, over all nodes
  std::optional<int> attempts;           // maximum per job
  std::optional<int> budget_parts;       // number of parts into which a budget is divided
  std::set<std::string> bans;            // workers that receive no jobs
  // By zone: true: do not use; false: use regardless of its health.
  std::map<std::string, bool> zone_left;
  bool operator==(const Rules&) const = default;
};
// The loosest rules that satisfy both. Commutative, associative and idempotent.
Rules StricterOf(const Rules& a, const Rules& b);
bool Satisfies(const Rules& a, const Rules& b);  // `a` permits nothing that `b` forbids
// The rules of a node that knows `known` and cannot determine the version in force.
Rules FloorOf(const Rules& known);

struct Document {
  std::uint32_t schema = kSchema;
  std::uint64_t number = 0;         // 0: the initial version
  std::uint64_t previous_hash = 0;  // hash of the previous version
  int proposer = 0;                 // node at which it was proposed
  std::int64_t proposed_at_ms = 0;  // Unix time
  bool forced = false;              // by an operator, without a majority
  std::vector<int> voters;          // ascending; they choose the version after this one
  Rules rules;
  bool operator==(const Document&) const = default;
};
// Reads the rules and voters of an XML file; the number and the origin are not set. `voters` is the
// default if the file names none; `nodes` is the size of the cluster. Throws dispatch::Malformed
// with "NAME:LINE: reason".
Document ReadXml(std::string_view text, const std::string& name, const std::vector<int>& voters,
                 int nodes);
std::string WriteXml(const Document& document);
std::string Describe(const Document& document);  // one line, for operators
// The differences between two sets of rules, one line each ("account a: 5 -> 3").
std::vector<std::string> Differences(const Rules& from, const Rules& to);

std::string Encode(const Document& document);  // canonical
// Returns nothing for bytes that are not a document in canonical form, or if its schema is later
// than kSchema; `*later_schema`, if given, tells these apart.
std::optional<Document> Decode(std::string_view bytes, bool* later_schema = nullptr);
std::uint64_t HashOf(std::string_view canonical);  // BLAKE2b, never 0

}  // namespace pearreach::rules

#endif  // PEARREACH_SRC_NODE_RULES_DOCUMENT_H_
