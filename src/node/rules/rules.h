// The version of the rules on which the nodes agree, as one node takes part in it: which version
// was chosen last, whether this node may act on it, and the next one's choice. Pure: no socket, no
// clock; what it is told and when decides what it says. It owns this node's part of the agreement,
// its leases and the documents; it must never act on a version without a lease of a majority of
// the voters, never let two versions be chosen under one number, and never stop the node: without
// a lease it acts on the floor.
//
// A few nodes are voters; they choose each version with Paxos (Lamport 1998), one register a
// number. A version names the voters for the one after it. Every node asks the voters all the time;
// a voter that has accepted nothing after the asker's version vouches for it, and what a majority
// vouched for is the asker's for a lease from the moment at which it asked (Gray, Cheriton 1989):
// who accepts the next version stops vouching, so when that is chosen no lease on the one before
// it is given any more. A node that learns of a new version acts on the stricter of both until
// all leases on the one before have ended. A voter that has lost what it knew (no disk) takes no
// part until every ballot and lease that it may have been part of has ended and it has learned
// from so many others that one of them has seen whatever was chosen (Liskov, Cowling 2012).
#ifndef PEARREACH_SRC_NODE_RULES_RULES_H_
#define PEARREACH_SRC_NODE_RULES_RULES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "node/rules/document.h"
#include "node/rules/messages.h"

namespace pearreach::rules {

using Micros = std::int64_t;  // of this process's clock, which does not run backwards

constexpr int kBroadcastFanout = 8;            // others that hear of a new version at once
constexpr std::uint64_t kEpochStep = 1 << 10;  // an epoch is a count, and a node where it is forced

struct Options {
  int self = 0, nodes = 1;
  std::vector<int> voters = {0};         // until a version names others
  Micros lease = 2'000'000;              // on a version
  double drift = 0.02;                   // two clocks' rates differ by no more
  Micros round_interval = 250'000;       // a round of questions
  Micros ballot_timeout = 1'000'000;     // after which one is given up
  Micros proposal_timeout = 10'000'000;  // of a proposal
  Micros ready_timeout = 3'000'000;      // after its start a node serves, on floors if need be
  Micros max_staleness = 100'000;        // a node acts on what it knew so long ago at most
  std::uint32_t schema = kSchema;        // the latest that this process reads
  // T: no two processes act on rules that contradict each other for longer after the newer is in
  // force. A lease on a slow clock, and a turn.
  Micros MaxContradiction() const { return MaxLease() + max_staleness; }
  // By when a lease has ended on every clock.
  Micros MaxLease() const {
    return static_cast<Micros>(static_cast<double>(lease) * (1 + 2 * drift));
  }
};

struct Version {
  VersionId id;
  Document document;
  std::string bytes;  // canonical
};

// What a node keeps over its end, if it has a disk.
struct PersistentState {
  std::uint64_t epoch = 0, promised = 0, accepted = 0;
  std::string accepted_document;
  std::vector<std::string> documents;  // the newest last
  bool operator==(const PersistentState&) const = default;
};
std::string EncodeState(const PersistentState& state);
std::optional<PersistentState> DecodeState(std::string_view bytes);

struct Counters {
  std::uint64_t messages_sent = 0, malformed = 0, ballots = 0, chosen = 0, learned = 0,
                rejected_documents = 0, forked = 0;
};

class Consensus {
 public:
  struct Outgoing {
    int to = 0;
    std::string section;
  };
  enum class Basis : std::uint8_t {
    kVersion,  // the version chosen last
    kBoth,     // the stricter of it and those that others may still act on
    kFloor     // no lease: the stricter of what is known and of the floor
  };
  struct EffectiveRules {
    Basis basis = Basis::kFloor;
    Rules rules;
    std::vector<std::uint64_t> versions;  // of the versions in it
    Micros valid_until = 0;               // it changes by itself then
  };
  // What became of a proposal made here.
  struct Outcome {
    enum class Result : std::uint8_t { kChosen, kLost, kNoMajority, kOpen } result = Result::kOpen;
    std::uint64_t proposal = 0;
    VersionId version;  // chosen: it; lost: what stands in its way
    std::string text;   // a line for people
  };
  // What each guard does is shown by leaving it out: tests only.
  struct DisabledGuards {
    bool lease = false;     // a node acts on a version without asking
    bool clean = false;     // a voter vouches though it has accepted a later one
    bool both = false;      // a new version is acted on at once
    bool recovery = false;  // a voter that knows nothing takes part at once
    bool promise = false;   // a voter accepts of a lower ballot than it has promised
  };

  Consensus(Options options, std::uint64_t seed, Micros now,
            const std::optional<PersistentState>& stored);

  // ---- operators; `why`: a refusal, one line
  // The number of the proposal; 0: refused. `after`: the version it was made for, if that is said.
  std::uint64_t Propose(Micros now, Document document, std::optional<std::uint64_t> after,
                        std::int64_t unix_ms, std::string* error);
  // A majority of voters is lost for good: these voters go on from what this node knows.
  bool Force(Micros now, std::vector<int> voters, std::int64_t unix_ms, std::string* error);
  std::vector<Outcome> TakeOutcomes();

  // ---- time and words; `alive`: other nodes, by the membership. If `dirty` afterwards, what is to
  // be kept must be on the disk before `out` is sent.
  Micros next_tick() const { return next_tick_; }
  void Tick(Micros now, const std::vector<int>& alive, std::vector<Outgoing>* out);
  void Receive(Micros now, int from, std::string_view section, std::vector<Outgoing>* out);
  bool dirty() const { return dirty_; }
  PersistentState TakeState();

  // ---- what holds
  EffectiveRules effective_rules(Micros now) const;
  const VersionId& version_id() const { return version_id_; }
  const Version* current() const;  // null: its document is not here yet
  const Version* Find(std::uint64_t number) const;
  const std::deque<Version>& history() const { return history_; }  // the newest last
  std::vector<int> voters() const;
  bool is_voter() const { return IsVoter(options_.self); }
  bool recovering() const { return recovering_; }
  bool ready(Micros now) const;
  Micros lease_until(Micros now) const;
  // Nodes that have the version chosen last, as this node or a voter heard of late.
  std::set<int> holders(Micros now) const;
  std::vector<int> rejecting_nodes() const {
    return {rejecting_nodes_.begin(), rejecting_nodes_.end()};
  }
  const Counters& counters() const { return counters_; }
  const Options& options() const { return options_; }
  void DisableGuards(DisabledGuards without) { disabled_guards_ = without; }

 private:
  struct Other {
    VersionId version;
    Micros last_received = 0;
    std::uint32_t schema = 0;
    VersionId vouched_version;
    Micros vouched_at = -1;  // when this node asked
    // As a voter answered last: of a question asked then.
    Micros answered_at = -1;
    bool recovering = false, started_epoch = false;
    VersionId answered_version;
    std::uint64_t promised = 0, accepted = 0, accepted_hash = 0;
    std::string holders;
  };
  struct Proposal {
    std::uint64_t number = 0;  // of the proposal; 0: completes what was found
    std::string bytes;
    std::uint64_t hash = 0;
    VersionId base;
    Micros deadline = 0;
    // The ballot at work.
    std::uint64_t ballot = 0;
    Micros ballot_started = 0, resend_at = 0;
    std::uint64_t value_hash = 0, value_ballot = 0;  // found at voters
    std::set<int> promised, accepted;
    bool accepting = false, accept_sent = false;
  };
  struct VoterSummary {  // what other voters answered, together
    int not_recovering = 0, answered = 0;
    bool started_epoch = false;
    std::uint64_t promised = 0, accepted = 0, accepted_hash = 0;
  };
  struct Retiring {
    Version version;
    Micros others_until = 0;  // others may act on it so long
    Micros lease_until = 0;   // of this node's own on it
  };
  struct Fetch {
    int parts = 0, source = -1;
    std::map<int, std::string> received;
    Micros requested_at = 0;
  };

  bool IsVoter(int node) const;
  int Majority() const { return static_cast<int>(voters().size()) / 2 + 1; }
  // exchange.cpp
  Message NewMessage(Micros now) const;
  void Send(int to, const Message& message, std::vector<Outgoing>* out);
  Message ReplyToQuery(Micros now, const Message& question) const;
  void OnQueryReply(Micros now, int from, const Message& message);
  // documents.cpp
  void Install(Micros now);
  const std::string* DocumentOf(std::uint64_t hash) const;
  void StoreDocument(std::uint64_t hash, const std::string& bytes);
  void RequestDocument(Micros now, int from, std::uint64_t hash, std::vector<Outgoing>* out);
  void SendParts(Micros now, int to, const Message& request, std::vector<Outgoing>* out);
  void OnDocumentPart(Micros now, int from, const Message& message, std::vector<Outgoing>* out);
  // recovery.cpp
  void Learn(Micros now, int from, const VersionId& version, std::int64_t age_ms,
             std::vector<Outgoing>* out);
  void Recover(Micros now);
  VoterSummary SummarizeVoters(Micros since) const;
  // paxos.cpp
  void OnStep(Micros now, int from, const Message& message, std::vector<Outgoing>* out);
  std::optional<Message> ReplyToPrepare(Micros now, int from, const Message& message,
                                        std::vector<Outgoing>* out);
  std::optional<Message> ReplyToAccept(Micros now, int from, const Message& message,
                                       std::vector<Outgoing>* out);
  void OnReply(Micros now, int from, const Message& message, std::vector<Outgoing>* out);
  void AdvanceProposal(Micros now, std::vector<Outgoing>* out);
  bool EndIfDecided(Micros now);
  void BeginBallot(Micros now, Proposal* proposal);
  void OnChosen(Micros now, std::uint64_t hash, std::vector<Outgoing>* out);
  void EndProposal(Outcome::Result result, const std::string& text);
  bool NothingAccepted() const { return accepted_ == 0; }
  std::uint64_t NextBallot();

  Options options_;
  std::mt19937_64 random_;
  Micros started_at_;
  VersionId version_id_;
  Micros chosen_at_ = 0;  // since when it is known to be chosen, here or where it was learned
  std::deque<Version> history_;
  std::vector<Retiring> retiring_;
  Micros unseen_until_ = 0;  // versions that this node never saw may be acted on so long
  std::vector<int> last_voters_;
  // As a voter.
  std::uint64_t promised_ = 0, accepted_ = 0, accepted_hash_ = 0;
  Micros accepted_at_ = 0;
  bool recovering_ = false;
  Micros epoch_started_at_ = -1;  // began this epoch then; -1: did not
  // Documents on their way, and those not chosen, by hash.
  std::map<std::uint64_t, Fetch> fetches_;
  std::map<std::uint64_t, std::string> documents_;
  std::deque<std::uint64_t> documents_order_;
  std::vector<Other> others_;
  std::map<std::uint32_t, Micros> pending_queries_;  // questions that are out
  std::uint32_t last_query_ = 0;
  std::optional<Proposal> proposal_;
  std::uint64_t last_proposal_ = 0, highest_ballot_ = 0;
  std::vector<Outcome> outcomes_;
  std::set<int> rejecting_nodes_;
  std::set<std::uint64_t> unreadable_;  // documents that this process cannot read
  int broadcast_rounds_ = 0;
  std::size_t next_peer_ = 0;
  std::vector<int> alive_;
  bool dirty_ = false;
  Micros next_tick_ = 0;
  Counters counters_;
  DisabledGuards disabled_guards_;
};

}  // namespace pearreach::rules

#endif  // PEARREACH_SRC_NODE_RULES_RULES_H_
