// pearreach::dispatch: the scheduling decisions of a load balancer that pushes jobs to workers.
//
// This header is the complete interface. Pass each Dispatcher the events of its node in the order
// of their arrival, with the time on the node's clock, and carry out the returned actions in the
// order given. The module reads no clock, does no I/O, starts no thread and keeps no global state:
// the same settings, seed and events always produce the same actions. A Dispatcher is not
// thread-safe.
//
// All times are integer microseconds on the caller's clock, which may start anywhere and must not
// run backwards. Classes, tenants, zones and kinds are indices into the lists of the settings.
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

// Whether a request may run more than once: always; if the workers discard repeats by its key; or
// never.
enum class Effect { kRepeatable, kByKey, kOnce };
// The workers that share the memory of the keys they have run.
enum class KeyScope { kAll, kZone, kCell };

struct ClassSettings {
  Effect effect = Effect::kOnce;
  KeyScope key_scope = KeyScope::kAll;  // kByKey: the workers that discard each other's repeats
  Micros key_window = 0;                // kByKey: how long after the first send they do so
  // An answer within latency_target + latency_target_stretch * work earns the full value.
  Micros latency_target = 0;
  double latency_target_stretch = 0;
  Micros deadline = 0;    // the client stops waiting after this time
  double value = 1;       // of one request, or of one unit of work with Settings::value_by_work
  double late_value = 0;  // share of the value that an answer after the latency target earns
  int kind = -1;          // the only worker kind that can run the class; -1: any kind
};

struct TenantSettings {
  double quota_per_s = 0;  // requests per second over all balancers; beyond it the value is reduced
};

struct Settings {
  int balancers = 1;                  // nodes of this tier, including this one
  int self = 0;                       // index of this node among them
  int zone = 0;                       // zone of this node
  int kinds = 1;                      // number of worker kinds; each kind forms one pool
  Micros min_handle_interval = 1000;  // shortest time between two calls of Handle
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_quota_value = 1;  // share of the value that a request beyond its tenant's quota keeps
  bool value_by_work = false;   // values count per unit of work instead of per request
  // Weights of the two parts of the objective: the total value, and the worst-served class.
  double objective_total = 1;
  double objective_worst_class = 0;

  bool weighted_workers = false;  // WorkerEntry::weight gives the relative sizes of workers
  bool reports_start = false;     // workers report the start of each job (AttemptStarted)
  bool reports_accept = false;    // workers report at once that they accepted an attempt
                                  // (AttemptAccepted)
  Micros progress_interval = 0;   // interval of the workers' progress reports; 0: no reports
  bool must_subscribe = false;    // the worker list is delivered only after a Subscribe action
  bool may_cancel = false;
  bool may_probe = false;
  bool may_duplicate = false;  // two attempts of one request may be in flight at once
  bool retry_after = false;    // clients honor the retry_after of a refusal
  Micros max_retry_after = 0;
  int max_attempts = 1;  // per request, including the first
  Micros connect_timeout = 200'000;
  // Costs in units of the objective, averaged over requests.
  double connect_price = 0;     // of a new connection
  double cross_zone_price = 0;  // of an attempt sent to another zone
  Micros connection_idle = 0;   // an idle connection is closed after this time

  Micros stop_sending_within = 0;  // grace period after a drain notice; not used by this module
  double cold_share = 1;           // a newly started worker has at least this share of its capacity
  Micros cold_time = 0;            // a worker has its full capacity this long after its start
  // A worker crashes when all nodes together send it more than this multiple of its capacity over
  // this time.
  double overload_multiple = 1;
  Micros overload_time = 0;
};

// ---------------------------------------------------------------- events

enum class Health { kInService, kDraining, kGone };

struct WorkerEntry {
  WorkerId worker = 0;
  std::uint64_t identity = 0;  // the same at every node, e.g. a hash of the worker's address
  int zone = 0;
  int kind = 0;
  int cell = 0;  // group of workers with a common memory of keys (KeyScope::kCell)
  Health health = Health::kInService;
  double weight = 1;    // relative size, if Settings::weighted_workers
  Micros ready_at = 0;  // last start of the worker's process; 0: long ago
};

// An update of the worker list. A complete list removes every worker that it does not contain.
struct WorkerList {
  // kFailed: the list could not be fetched; the previous one stays in force.
  enum class Form { kChanges, kComplete, kFailed };
  Form form = Form::kChanges;
  std::vector<WorkerEntry> entries;
};

struct RequestArrived {
  RequestId request = 0;
  int cls = 0;
  int tenant = -1;  // -1: none
  Micros due = 0;   // deadline of the client
  double slots = 1;
  bool is_repeat = false;            // marked by the client as its own retry
  std::optional<Micros> hint;        // expected work on a standard core
  std::optional<std::uint64_t> key;  // requests with the same key run faster on the same worker
  // Whether the tenant is beyond its quota, where the nodes share quotas; empty: this module
  // counts.
  std::optional<bool> over_quota;
  // Workers in order of preference; the first that has a free slot gets the request. Without such
  // a worker the request is placed as any other.
  std::vector<WorkerId> preferred;
};

// The worker has accepted the attempt, which may still be queued there. Only sent with
// Settings::reports_accept.
struct AttemptAccepted {
  RequestId request = 0;
  int attempt = 0;
  WorkerId worker = 0;
};

struct AttemptStarted {  // the worker has started to run the attempt
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

// The client receives the first part of a streamed answer. The request is bound to this attempt and
// its deadline no longer applies.
struct StreamBegan {
  RequestId request = 0;
  int attempt = 0;
  WorkerId worker = 0;
};

// kFull: the worker refused the attempt. kNotSent: the attempt was dropped before it left the node.
enum class Outcome { kGood, kError, kFull, kTimeout, kNoConnection, kReset, kCancelled, kNotSent };

// Load of a worker as reported by the worker; empty values were not reported.
struct LoadReport {
  std::optional<double> free_slots;
  std::optional<double> in_flight;
};

struct AttemptEnded {
  RequestId request = 0;
  int attempt = 0;
  WorkerId worker = 0;
  Outcome outcome = Outcome::kGood;
  Micros latency = 0;    // time since the send
  bool settled = false;  // the request has its final answer
  LoadReport load;
};

struct RequestAbandoned {  // the client has disconnected; no answer is needed
  RequestId request = 0;
};

struct TimerFired {};

struct ProbeEnded {
  WorkerId worker = 0;
  bool good = false;
  LoadReport load;
};

// A message from another node of the tier, which may be late, duplicated, reordered or lost. The
// module currently ignores it.
struct PeerMessage {
  int from = 0;  // index of the sending node
  std::string data;
};

// An attempt that was sent before this Dispatcher was created, of a request that arrives in the
// same call of Handle. An attempt in flight keeps its slots, its outcome is awaited, and it is not
// sent again.
struct AttemptAdopted {
  enum class State { kInFlight, kNeverRan, kMayHaveRun };
  RequestId request = 0;
  WorkerId worker = 0;
  Micros sent = 0;  // may precede the first call of the module
  bool started = false;
  State state = State::kInFlight;
};

// The learned state of a node that may outlive its process. As an event it carries the evidence of
// an earlier process, already discounted by its age: it fills in unknown values, and the first
// report of a worker takes precedence over it. The worker list must have named the workers before.
struct PoolKnowledge {
  int pool = 0;
  double limit = 0, proven_limit = 0;      // slots: the limit, and the highest use that worked
  double slots_seen = 1;                   // most slots seen on one worker
  double mean_running = 0, mean_work = 0;  // running time and work, microseconds; 0: not known
  double start_report_delay = 0;  // lower bound of the time from a send to the report of its start,
                                  // microseconds
};
struct WorkerKnowledge {
  WorkerId worker = 0;
  double slowness = 1;  // running time divided by the usual time of its kind
  double failures = 0;  // share of its jobs that failed, a decaying mean
  bool silent = false;
  Micros died_at = 0;  // last evidence that its process died; 0: none
  std::vector<std::pair<Micros, double>> cold_sends;  // time and work of sends to it while cold
};
struct ClassKnowledge {
  int cls = 0;
  double work = 0;  // mean, microseconds; 0: not known
};
struct TenantKnowledge {
  int tenant = 0;
  double tokens = 0;  // requests that the tenant may still send within its quota
};
struct Knowledge {
  std::vector<PoolKnowledge> pools;
  std::vector<WorkerKnowledge> workers;
  std::vector<ClassKnowledge> classes;
  std::vector<TenantKnowledge> tenants;
};

// The health of a worker as aggregated elsewhere from the observations of several nodes. It applies
// unless this node has more recent evidence, and until the next verdict on the worker.
struct HealthVerdict {
  WorkerId worker = 0;
  bool ejected = false;        // the worker must not be used
  bool trial = false;          // although ejected, it may get one job from this node now
  bool cold = false;           // its process has died, even if the list does not show it yet
  Micros observed_at = 0;      // time of the latest observation behind the verdict
  std::vector<int> witnesses;  // observing nodes, for display
};

using Event = std::variant<WorkerList, RequestArrived, AttemptAccepted, AttemptStarted,
                           AttemptProgress, StreamBegan, AttemptEnded, RequestAbandoned, TimerFired,
                           ProbeEnded, PeerMessage, AttemptAdopted, Knowledge, HealthVerdict>;

// ---------------------------------------------------------------- actions

// Sends an attempt to a worker. The attempts of one request are numbered from 0 in the order of
// their sends. An attempt may run until the deadline of the client.
struct Send {
  RequestId request = 0;
  WorkerId worker = 0;
  bool operator==(const Send&) const = default;
};

struct Refuse {  // final answer: nothing was executed, the client may retry safely
  RequestId request = 0;
  Micros retry_after = 0;  // 0: no advice
  bool operator==(const Refuse&) const = default;
};

struct Fail {  // final answer: the request may have been executed
  RequestId request = 0;
  bool operator==(const Fail&) const = default;
};

struct Cancel {
  RequestId request = 0;
  int attempt = 0;
  bool operator==(const Cancel&) const = default;
};

struct SetTimer {  // deliver TimerFired at this time or soon after
  Micros at = 0;
  bool operator==(const SetTimer&) const = default;
};

struct Probe {
  WorkerId worker = 0;
  bool operator==(const Probe&) const = default;
};

struct Subscribe {  // request the worker list and its changes
  bool operator==(const Subscribe&) const = default;
};

// A line for the node's log. The lines are rate-limited; docs/oncall.md explains each kind.
struct LogLine {
  enum class Kind { kWorkerSilent, kWorkerRecovered, kLimitCut, kShedding, kListFailed };
  Kind kind = Kind::kWorkerSilent;
  WorkerId worker = 0;  // kWorkerSilent, kWorkerRecovered
  int pool = 0;         // kLimitCut
  double value = 0;     // kLimitCut: the new limit; kShedding: refusals since the previous line
  bool operator==(const LogLine&) const = default;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Probe, Subscribe, LogLine>;

// ---------------------------------------------------------------- the observer

// One worker that was examined for a job, with the figures that its cost is made of.
struct Candidate {
  WorkerId worker = 0;
  double cost = 0;            // the candidate of the least cost is chosen
  double busy = 0;            // slots of this node's attempts in flight there
  double used_by_others = 0;  // slots used by other nodes according to its load reports, decayed
  double slowness = 1;        // running time divided by the usual time of its kind
  double failures = 0;        // share of its jobs that failed, a decaying mean
  bool silent = false, cold = false;
  Micros last_response = 0;           // time of its last report of any kind; 0: never
  std::optional<Micros> last_report;  // time of its last load report
};

// The result of one search for a worker. Valid during the call only.
struct Choice {
  RequestId request = 0;
  std::optional<WorkerId> chosen;  // empty: the job stays in the queue
  bool pool_has_capacity = false;  // some pool that may run the job is below its limit
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

// Events about a request, attempt, worker or class that is unknown to the dispatcher are ignored,
// so a repeated or late event has no effect.
class Dispatcher {
 public:
  // `settings` must name at least one class and one kind; see ValidateSettings.
  Dispatcher(const Settings& settings, std::uint64_t seed, Micros now);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Processes all events of one instant and appends the resulting actions to `actions`.
  void Handle(Micros now, std::span<const Event> events, std::vector<Action>* actions);

  // Reports each search for a worker to `observer`, which must outlive its use; null turns the
  // reports off. It affects no decision, and costs one comparison per search while it is off.
  void Observe(Observer* observer);

  // The state learned by `now`, to be passed to a later process of this node as an event. Takes
  // time linear in the number of workers.
  Knowledge Learned(Micros now) const;

  // Figures for tests and monitoring.
  double PoolLimit(int pool) const;
  double PoolBusy(int pool) const;
  std::size_t OpenRequests() const;  // queued, in flight or awaiting the outcomes of attempts
  std::size_t KnownWorkers() const;
  // Workers examined for a job so far. Grows with the number of jobs, not with that of workers.
  std::uint64_t WorkersExamined() const;

 private:
  friend class Checkpoint;  // src/dispatch/policy/checkpoint.h
  State& state() const;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Returns an empty string if a Dispatcher can work with these settings, else a description of the
// error.
std::string ValidateSettings(const Settings& settings);

}  // namespace pearreach::dispatch

#endif  // PEARREACH_DISPATCHER_H_
