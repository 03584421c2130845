// Consensus on the cluster-wide rules, from the point of view of one node: which version was chosen
// last, whether this node may apply it, and the choice of the next version. The class has no socket
// and no clock; callers pass in messages and the time, and send what it returns. It owns this
// node's acceptor and proposer state, its leases and the documents. Invariants: a node applies a
// version only under a lease from a majority of the voters; no two versions are chosen under one
// number; a node without a lease keeps serving and applies the floor (see document.h).
//
// A few nodes are voters. They choose each version with Paxos (Lamport 1998), one instance per
// version number. A version names the voters for the version after it. Every node queries the
// voters in every round. A voter that has accepted nothing after the querying node's version
// vouches for that version; if a majority vouches, the node holds a lease that starts when it sent
// the queries (Gray, Cheriton 1989). A voter that accepts the next version stops vouching, so no
// lease on the previous version is granted once the next one is chosen. A node that learns of a new
// version applies the stricter of both until all leases on the previous one have ended. A voter
// that has lost its state (no disk) does not vote until every ballot and lease that it may have
// taken part in has ended, and until enough other voters have answered that at least one of them
// has seen every chosen version (Liskov, Cowling 2012).
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

using Micros = std::int64_t;  // on this process's monotonic clock

constexpr int kBroadcastFanout = 8;  // peers that receive a new version in one round
// An epoch is a multiple of kEpochStep, plus the node number + 1 if an operator forced it.
constexpr std::uint64_t kEpochStep = 1 << 10;

struct Options {
  int self = 0, nodes = 1;
  std::vector<int> voters = {0};         // until a version names other voters
  Micros lease = 2'000'000;              // duration of a lease on a version
  double drift = 0.02;                   // upper bound on the difference in rate between two clocks
  Micros round_interval = 250'000;       // time between two rounds of queries to the voters
  Micros ballot_timeout = 1'000'000;     // a ballot is abandoned after this time
  Micros proposal_timeout = 10'000'000;  // a proposal is abandoned after this time
  // After this time since its start a node is ready, on the floor if it has no lease.
  Micros ready_timeout = 3'000'000;
  // Upper bound on the age of the EffectiveRules that a node applies.
  Micros max_staleness = 100'000;
  std::uint32_t schema = kSchema;  // the latest that this process can read
  // T: upper bound on the time for which two processes may apply contradictory rules after the
  // newer version took effect. It is the length of a lease on a slow clock plus `max_staleness`.
  Micros MaxContradiction() const { return MaxLease() + max_staleness; }
  // The time after which a lease has ended on every clock.
  Micros MaxLease() const {
    return static_cast<Micros>(static_cast<double>(lease) * (1 + 2 * drift));
  }
};

struct Version {
  VersionId id;
  Document document;
  std::string bytes;  // canonical
};

// The state that survives a restart, if the node has a disk.
struct PersistentState {
  std::uint64_t epoch = 0, promised = 0, accepted = 0;
  std::string accepted_document;
  std::vector<std::string> documents;  // newest last
  bool operator==(const PersistentState&) const = default;
};
std::string EncodeState(const PersistentState& state);
std::optional<PersistentState> DecodeState(std::string_view bytes);

// Totals since the start of the process. `forked` counts messages about another document under an
// epoch and number that this node already has.
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
    kBoth,     // the stricter of it and of versions that other nodes may still apply
    kFloor     // no lease: the known rules, tightened to the floor
  };
  struct EffectiveRules {
    Basis basis = Basis::kFloor;
    Rules rules;
    std::vector<std::uint64_t> versions;  // numbers of the versions that `rules` combines
    Micros valid_until = 0;               // the result may change at this time without any message
  };
  // The result of a proposal made at this node.
  struct Outcome {
    enum class Result : std::uint8_t { kChosen, kLost, kNoMajority, kOpen } result = Result::kOpen;
    std::uint64_t proposal = 0;
    VersionId version;  // kChosen: the proposed version; kLost: the version chosen instead
    std::string text;   // one line, for operators
  };
  // Safety rules that tests switch off to show that each of them is needed.
  struct DisabledGuards {
    bool lease = false;     // a node applies a version without a lease
    bool clean = false;     // a voter vouches although it has accepted a later version
    bool both = false;      // a node applies a new version alone at once
    bool recovery = false;  // a voter that lost its state votes at once
    bool promise = false;   // a voter accepts a lower ballot than it has promised
  };

  Consensus(Options options, std::uint64_t seed, Micros now,
            const std::optional<PersistentState>& stored);

  // ---- operators; on failure `*error` is one line
  // Returns the number of the proposal, or 0 if it is rejected. `after`: the version on which the
  // proposal is based, if the operator named one.
  std::uint64_t Propose(Micros now, Document document, std::optional<std::uint64_t> after,
                        std::int64_t unix_ms, std::string* error);
  // For when a majority of the voters is lost permanently: starts a new epoch with `voters`, from
  // the newest version that this node has. Returns false and sets `*error` if that is not allowed.
  bool Force(Micros now, std::vector<int> voters, std::int64_t unix_ms, std::string* error);
  std::vector<Outcome> TakeOutcomes();

  // ---- time and messages; `alive`: the other nodes that membership reports as alive. If dirty()
  // is true after a call, TakeState() must be on disk before `out` is sent.
  Micros next_tick() const { return next_tick_; }
  void Tick(Micros now, const std::vector<int>& alive, std::vector<Outgoing>* out);
  void Receive(Micros now, int from, std::string_view section, std::vector<Outgoing>* out);
  bool dirty() const { return dirty_; }
  PersistentState TakeState();

  // ---- the current state
  EffectiveRules effective_rules(Micros now) const;
  const VersionId& version_id() const { return version_id_; }
  const Version* current() const;  // null until its document has arrived
  const Version* Find(std::uint64_t number) const;
  const std::deque<Version>& history() const { return history_; }  // newest last
  std::vector<int> voters() const;
  bool is_voter() const { return IsVoter(options_.self); }
  bool recovering() const { return recovering_; }
  bool ready(Micros now) const;          // has a lease, or `ready_timeout` has passed
  Micros lease_until(Micros now) const;  // 0: no lease
  // Nodes that have the version chosen last, by recent messages to this node or to a voter.
  std::set<int> holders(Micros now) const;
  // Nodes that cannot read the document of the version chosen last.
  std::vector<int> rejecting_nodes() const {
    return {rejecting_nodes_.begin(), rejecting_nodes_.end()};
  }
  const Counters& counters() const { return counters_; }
  const Options& options() const { return options_; }
  void DisableGuards(DisabledGuards guards) { disabled_guards_ = guards; }

 private:
  struct Other {  // the latest state of another node, by its messages
    VersionId version;
    Micros last_received = 0;
    std::uint32_t schema = 0;
    VersionId vouched_version;
    Micros vouched_at = -1;  // when this node sent the query
    // From its latest answer as a voter, to the query that was sent at `answered_at`.
    Micros answered_at = -1;
    bool recovering = false, started_epoch = false;
    VersionId answered_version;
    std::uint64_t promised = 0, accepted = 0, accepted_hash = 0;
    std::string holders;
  };
  struct Proposal {
    std::uint64_t number = 0;  // 0: completes a value that a voter has accepted
    std::string bytes;
    std::uint64_t hash = 0;
    VersionId base;
    Micros deadline = 0;
    // The current ballot.
    std::uint64_t ballot = 0;
    Micros ballot_started = 0, resend_at = 0;
    std::uint64_t value_hash = 0, value_ballot = 0;  // reported by voters in promises
    std::set<int> promised, accepted;
    bool accepting = false, accept_sent = false;
  };
  struct VoterSummary {  // the combined answers of the other voters
    int not_recovering = 0, answered = 0;
    bool started_epoch = false;
    std::uint64_t promised = 0, accepted = 0, accepted_hash = 0;
  };
  struct Retiring {  // a superseded version that may still be applied somewhere
    Version version;
    Micros others_until = 0;  // when the last lease of another node on it ends
    Micros lease_until = 0;   // when this node's own lease on it ends
  };
  struct Fetch {  // a document that is being received in parts
    int parts = 0, source = -1;
    std::map<int, std::string> received;
    Micros requested_at = 0;
  };

  bool IsVoter(int node) const;
  int Majority() const { return static_cast<int>(voters().size()) / 2 + 1; }
  // exchange.cpp
  Message NewMessage(Micros now) const;
  void Send(int to, const Message& message, std::vector<Outgoing>* out);
  Message ReplyToQuery(Micros now, const Message& query) const;
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
  Micros chosen_at_ = 0;  // when it was known to be chosen, here or at the node it came from
  std::deque<Version> history_;
  std::vector<Retiring> retiring_;
  Micros unseen_until_ = 0;  // until then others may apply versions that this node never had
  std::vector<int> last_voters_;
  // Acceptor state.
  std::uint64_t promised_ = 0, accepted_ = 0, accepted_hash_ = 0;
  Micros accepted_at_ = 0;
  bool recovering_ = false;
  Micros epoch_started_at_ = -1;  // when this node started the epoch; -1: it did not
  // Documents being fetched, and documents that are not chosen, by hash.
  std::map<std::uint64_t, Fetch> fetches_;
  std::map<std::uint64_t, std::string> documents_;
  std::deque<std::uint64_t> documents_order_;
  std::vector<Other> others_;
  std::map<std::uint32_t, Micros> pending_queries_;  // unanswered, by id: when each was sent
  std::uint32_t last_query_ = 0;
  std::optional<Proposal> proposal_;
  std::uint64_t last_proposal_ = 0, highest_ballot_ = 0;
  std::vector<Outcome> outcomes_;
  std::set<int> rejecting_nodes_;
  std::set<std::uint64_t> unreadable_;  // hashes of documents that this process cannot read
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
