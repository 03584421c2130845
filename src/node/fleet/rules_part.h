// This node's part in the agreement on rules: the machine of src/rules with the process's clock,
// its words and its file, and the texts that operators read. It owns what it takes to act on a
// version; it must never say a word before what has to be kept is on the disk, and decides nothing
// about jobs: who asks what holds gets it as of this moment.
#ifndef PEARREACH_SRC_NODE_FLEET_RULES_PART_H_
#define PEARREACH_SRC_NODE_FLEET_RULES_PART_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "node/fleet/rules_file.h"
#include "node/rules/rules.h"

namespace pearreach {

struct RulesSettings {
  rules::Options options;  // self and nodes are the fleet's
  std::string keep;        // a file; empty: nothing outlives the process
  std::string starts_as;   // of the first version, for people
};

class RulesPart {
 public:
  using Say = std::function<void(int to, const std::string& section)>;
  // `alive`: other nodes, by the membership. `changed`: what holds is another than before.
  RulesPart(const RulesSettings& settings, std::uint64_t seed, Say say,
            std::function<std::vector<int>()> alive, std::function<void()> changed);

  void Begin();  // the node's address is this process's
  void Hear(int from, std::string_view section);

  // As of now: a process that was stopped looks at its lease before it acts.
  const rules::Consensus::EffectiveRules& acting();
  bool ready() const { return machine_.ready(Now()); }
  const rules::Consensus& machine() const { return machine_; }

  // ---- operators; a text of `status` 200, 202, 400, 404 or 409
  struct Reply {
    int status = 200;
    std::string text;
  };
  Reply Propose(std::string_view xml, const std::string& after);
  Reply Proposal(const std::string& number) const;
  Reply Force(const std::string& voters);
  Reply Show();
  Reply History() const;
  Reply Difference(const std::string& from, const std::string& to) const;
  Reply Have() const;  // "VERSION of EPOCH", then "has N N", "not N N", "refuses N"

 private:
  void Turn();
  void Send(std::vector<rules::Consensus::Outgoing>* out);
  bool Keep();
  void Look();
  std::string When(std::int64_t unix_ms) const;

  rules::Options options_;
  std::optional<RulesFile> file_;
  rules::Consensus machine_;
  Say say_;
  std::function<std::vector<int>()> alive_;
  std::function<void()> changed_;
  rules::Consensus::EffectiveRules acting_;
  std::uint64_t told_number_ = 0, told_epoch_ = 0;
  bool looked_ = false;
  std::optional<rules::PersistentState> to_keep_;
  std::map<std::uint64_t, rules::Consensus::Outcome> outcomes_;
  rules::Counters reported_;
  Alarm turn_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_FLEET_RULES_PART_H_
