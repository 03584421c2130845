// pearreach::dispatch: the decisions of a dispatcher that pushes jobs to workers.
//
// This file is the whole interface. Hand each Dispatcher the events of its node in the order they
// came, with the node's clock; carry out the actions it returns in the order given. The module
// reads no clock, does no I/O, starts no thread and keeps no global state: the same settings, seed
// and events always give the same actions.
//
// All times are integer microseconds on the caller's clock, which may start anywhere and must not
// run backwards. Classes, tenants, zones and kinds are indices into the settings' lists.
#ifndef PEARREACH_DISPATCHER_H_
#define PEARREACH_DISPATCHER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pearreach::dispatch {

using Micros = std::int64_t;
using RequestId = std::uint64_t;  // chosen by the caller, never reused within one Dispatcher
using WorkerId = std::uint32_t;   // chosen by the caller, small and dense

// ---------------------------------------------------------------- settings

enum class Effect { kRepeatable, kByKey, kOnce };
enum class KeyScope { kAll, kZone, kCell };

struct ClassSettings {
  Effect effect = Effect::kOnce;
  KeyScope key_scope = KeyScope::kAll;  // kByKey: which workers discard each other's repeats
  Micros key_window = 0;                // kByKey: and for how long after the first send
  Micros aim = 0;                       // an answer within aim + stretch * work earns full worth
  double aim_stretch = 0;               // multiple of the job's own work added to the aim
  Micros deadline = 0;                  // the client gives up after this
  double worth = 1;                     // for one request, or one unit of work (worth_by_work)
  double late_value = 0;                // share of the worth left after the aim
  int kind = -1;                        // the only worker kind that can run it, -1: any
};

struct TenantSettings {
  double quota_per_s = 0;  // requests a second over all balancers; beyond it worth is cut
};

struct Settings {
  int balancers = 1;    // nodes of this tier, this one included
  int self = 0;         // index of this node among them
  int zone = 0;         // zone of this node
  int kinds = 1;        // number of worker kinds; each kind is one pool
  Micros round = 1000;  // shortest time between two calls of Handle
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;  // share of the worth left beyond a tenant's quota
  bool worth_by_work = false;   // worth counts per unit of work instead of per request
  double goal_whole = 1;        // weights of the goal's parts
  double goal_worst_class = 0;

  bool weighted_workers = false;  // WorkerEntry::weight tells sizes
  bool tells_start = false;       // workers note the start of each job
  bool tells_taken = false;   // workers say at once that they have taken an attempt (AttemptTaken)
  Micros progress_every = 0;  // and their progress this often; 0: never
  bool must_subscribe = false;  // the worker list comes only when asked for
  bool may_cancel = false;
  bool may_probe = false;
  bool may_duplicate = false;  // two attempts of one request may be out at once
  bool retry_after = false;    // clients are known to heed a refusal's time to stay away
  Micros max_retry_after = 0;
  int try_limit = 1;  // attempts allowed for one request
  Micros connect_timeout = 200'000;
  double connect_price = 0;     // of the goal, for one new connection a request
  double cross_zone_price = 0;  // of an attempt sent to another zone, likewise
  Micros connection_idle = 0;   // an idle connection is closed after this

  Micros stop_sending_within = 0;  // grace after a drain is heard (this module uses none of it)
  double cold_share = 1;           // a fresh worker has at least this share of its capacity
  Micros cold_time = 0;            // and is warm after this
  double fall_multiple = 1;        // it falls over when sent more than this multiple of what
  Micros fall_time = 0;            // it can do for this long, all nodes together
};

// ---------------------------------------------------------------- events

enum class Health { kInService, kDraining, kGone };

struct WorkerEntry {
  WorkerId worker = 0;
  std::uint64_t identity = 0;  // the same at every node, e.g. a hash of the worker's address
  int zone = 0;
  int kind = 0;
  int cell = 0;  // group that shares its memory of keys
  Health health = Health::kInService;
  double weight = 1;    // size, if Settings::weighted_workers
  Micros ready_at = 0;  // last start of its process; 0: long ago
};

// News of the worker list. A complete list drops every worker it does not name.
struct WorkerList {
  enum class Form { kChanges, kComplete, kFailed };  // kFailed: a call failed, the list stays
  Form form = Form::kChanges;
  std::vector<WorkerEntry> entries;
};

struct RequestArrived {
  RequestId request = 0;
  int cls = 0;
  int tenant = -1;  // -1: none
  Micros due = 0;   // when the client gives up
  double slots = 1;
  bool is_repeat = false;            // marked by the client as its own retry
  std::optional<Micros> hint;        // expected work on a standard core
  std::optional<std::uint64_t> key;  // requests with one key profit from one worker
  std::optional<bool> over_share;    // its tenant's, where the nodes share that; none: own count
  std::vector<WorkerId> preferred;   // the first of these with a free slot takes it, if any has one
};

struct AttemptTaken {  // the worker has it; it may wait there. Only if Settings::tells_taken
  RequestId request = 0;
  int attempt = 0;
  WorkerId worker = 0;
};

struct AttemptStarted {  // the worker began to run it
  RequestId request = 0;
  int attempt = 0;
  WorkerId worker = 0;
};

struct AttemptProgress {
  RequestId request = 0;
  int attempt = 0;
  WorkerId worker = 0;
  double share_done = 0;
};

// The answer of a streamed class has begun: the attempt is the client's, no deadline runs on.
struct StreamBegan {
  RequestId request = 0;
  int attempt = 0;
  WorkerId worker = 0;
};

enum class Outcome { kGood, kError, kFull, kTimeout, kNoConnection, kReset, kCancelled, kMoot };

// What a worker said of its load; absent values were not reported.
struct LoadReport {
  std::optional<double> free_slots;
  std::optional<double> in_flight;
};

struct AttemptEnded {
  RequestId request = 0;
  int attempt = 0;
  WorkerId worker = 0;
  Outcome outcome = Outcome::kGood;
  Micros latency = 0;    // since the send
  bool settled = false;  // the request has its final answer
  LoadReport load;
};

struct RequestLapsed {  // the client is gone; nothing more is owed
  RequestId request = 0;
};

struct TimerFired {};

struct ProbeEnded {
  WorkerId worker = 0;
  bool good = false;
  LoadReport load;
};

// Bytes from another node of the tier, which may come late, twice, out of order or never. The
// module makes nothing of them today.
struct PeerMessage {
  int from = 0;  // index of the node that sent it
  std::string data;
};

// An attempt that was made before this module's time, of a request that arrives in the same Handle.
// One that is out is taken on as it is: its slots count, its outcome is awaited, and it is not sent
// again.
struct AttemptAdopted {
  enum class Was { kOut, kNeverRan, kMayHaveRun };
  RequestId request = 0;
  WorkerId worker = 0;
  Micros sent = 0;  // may lie before the module's first call
  bool started = false;
  Was was = Was::kOut;
};

// What a node has learned, as far as it may outlive its process. As an event it is evidence of an
// earlier process, already weighed by its age: it fills in what is unknown, and the first word of a
// worker outweighs it. Workers must have been named by the list before.
struct PoolKnowledge {
  int pool = 0;
  double limit = 0, found = 0;  // slots: the limit, the highest value that worked
  double slots_seen = 1;        // most slots seen on one worker
  double ran = 0, worked = 0;   // mean running time and work, microseconds; 0: not known
  double tell = 0;              // microseconds from a send to the word of its start, at least
};
struct WorkerKnowledge {
  WorkerId worker = 0;
  double slowness = 1;  // running time over what its kind takes
  double failures = 0;  // fading share of its jobs that failed
  bool silent = false;
  Micros died_at = 0;  // the last sign that its process died; 0: none
  std::vector<std::pair<Micros, double>> cold_sends;  // when, and work sent to it while cold
};
struct ClassKnowledge {
  int cls = 0;
  double work = 0;  // mean, microseconds; 0: not known
};
struct TenantKnowledge {
  int tenant = 0;
  double left = 0;  // requests that it may still send within its share
};
struct Knowledge {
  std::vector<PoolKnowledge> pools;
  std::vector<WorkerKnowledge> workers;
  std::vector<ClassKnowledge> classes;
  std::vector<TenantKnowledge> tenants;
};

// What several nodes of the tier have seen of a worker, weighed elsewhere: evidence as far as this
// node has none that is fresher. It holds until the next one of the worker.
struct Judgement {
  WorkerId worker = 0;
  bool out = false;            // not to be used
  bool trial = false;          // but for one job of this node, now
  bool cold = false;           // its process has died, whatever the list says yet
  Micros at = 0;               // of the latest word that it rests on
  std::vector<int> witnesses;  // nodes, for people
};

using Event = std::variant<WorkerList, RequestArrived, AttemptTaken, AttemptStarted,
                           AttemptProgress, StreamBegan, AttemptEnded, RequestLapsed, TimerFired,
                           ProbeEnded, PeerMessage, AttemptAdopted, Knowledge, Judgement>;

// ---------------------------------------------------------------- actions

// Start an attempt; the attempts of one request are numbered from 0 in the order of their sends.
// The attempt runs until the client gives up.
struct Send {
  RequestId request = 0;
  WorkerId worker = 0;
  bool operator==(const Send&) const = default;
};

struct Refuse {  // final answer: nothing ran, a retry is harmless
  RequestId request = 0;
  Micros retry_after = 0;  // 0: says nothing
  bool operator==(const Refuse&) const = default;
};

struct Fail {  // final answer without any promise
  RequestId request = 0;
  bool operator==(const Fail&) const = default;
};

struct Cancel {
  RequestId request = 0;
  int attempt = 0;
  bool operator==(const Cancel&) const = default;
};

struct SetTimer {  // answer with TimerFired at this time or soon after
  Micros at = 0;
  bool operator==(const SetTimer&) const = default;
};

struct Probe {
  WorkerId worker = 0;
  bool operator==(const Probe&) const = default;
};

struct Subscribe {  // ask for the worker list and its changes
  bool operator==(const Subscribe&) const = default;
};

// A line for the node's log. Few and rate-limited; docs/oncall.md explains each.
struct LogLine {
  enum class What { kWorkerSilent, kWorkerBack, kLimitCut, kShedding, kListFailed };
  What what = What::kWorkerSilent;
  WorkerId worker = 0;  // kWorkerSilent, kWorkerBack
  int pool = 0;         // kLimitCut
  double value = 0;     // kLimitCut: the new limit; kShedding: refusals since the last such line
  bool operator==(const LogLine&) const = default;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Probe, Subscribe, LogLine>;

// ---------------------------------------------------------------- the observer

// One worker that was looked at for a job, with the figures that it was weighed by.
struct Candidate {
  WorkerId worker = 0;
  double cost = 0;      // the least is chosen
  double busy = 0;      // slots of this node's attempts out there
  double taken = 0;     // slots that others have in use, by its faded reports
  double slowness = 1;  // its running time over what its kind takes
  double failures = 0;  // fading share of its jobs that failed
  bool silent = false, cold = false;
  Micros heard = 0;                // its last word; 0: never
  std::optional<Micros> reported;  // its last load report
};

// What became of one look for a worker. Valid during the call only.
struct Choice {
  RequestId request = 0;
  std::optional<WorkerId> chosen;  // none: the job waits
  bool room = false;               // some pool that may take the job is under its limit
  double busy = 0, limit = 0;      // of the chosen worker's pool, before the send
  std::span<const Candidate> sampled;
};

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void OnChoice(const Choice& choice) = 0;
};

// ---------------------------------------------------------------- the dispatcher

class State;

// Events that name a request, attempt, worker or class that the dispatcher does not hold are passed
// over, so a repeated or late event is harmless.
class Dispatcher {
 public:
  // `settings` must name at least one class and one kind; see ValidateSettings.
  Dispatcher(const Settings& settings, std::uint64_t seed, Micros now);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Takes all events of one instant, appends what to do about them to `actions`.
  void Handle(Micros now, std::span<const Event> events, std::vector<Action>* actions);

  // Tells `observer` of each look for a worker until told otherwise; null: nobody. It changes no
  // decision and costs one comparison a look when it is off.
  void Observe(Observer* observer);

  // What it has learned by `now` that a later process of this node may be told. Costs a look at
  // each worker.
  Knowledge Learned(Micros now) const;

  // Figures for tests and monitoring.
  double PoolLimit(int pool) const;
  double PoolBusy(int pool) const;
  std::size_t OpenRequests() const;  // requests still remembered, held or out or awaiting outcomes
  std::size_t KnownWorkers() const;
  std::uint64_t Looks() const;  // workers looked at for a job so far; grows with jobs, not workers

 private:
  friend class Checkpoint;  // src/module/checkpoint.h
  State& state() const;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Empty if a Dispatcher can work with these settings, else what is wrong in plain words.
std::string ValidateSettings(const Settings& settings);

}  // namespace pearreach::dispatch

#endif  // PEARREACH_DISPATCHER_H_
