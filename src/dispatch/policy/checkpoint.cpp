#include "dispatch/policy/checkpoint.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <bit>
#include <type_traits>

#include "dispatch/policy/state.h"

namespace pearreach::dispatch {
namespace {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

// Bounds of the values in a state. Load() rejects values beyond them, so that sums of valid values
// cannot overflow in the policy.
constexpr std::uint64_t kMaxItems = 50'000'000;
constexpr std::int64_t kMaxTime = std::int64_t{1} << 61;  // kLongAgo is the smallest time in use
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr double kMaxNumber = 1e15;
constexpr std::int64_t kNever = std::numeric_limits<Micros>::max();  // State::kNever

std::uint64_t ZigZag(std::int64_t v) {
  return (static_cast<std::uint64_t>(v) << 1) ^ static_cast<std::uint64_t>(v >> 63);
}
std::int64_t UnZigZag(std::uint64_t v) {
  return static_cast<std::int64_t>(v >> 1) ^ -static_cast<std::int64_t>(v & 1);
}

}  // namespace

// Lists the fields of one record: `names` is the text that Layout() hashes, the remaining arguments
// are the members in the order of their declaration. A member that is missing or superfluous does
// not compile, because the structured binding needs all of them.
//
// `names` stays as it is when a record or a member is renamed: captures and checkpoints carry the
// hash, and with another hash they can no longer be read. It changes only with the stored bytes.
#define PEARREACH_FIELDS(Type, names, ...)             \
  template <class Visit>                               \
  static void Each(Type& record, Visit& visit) {       \
    auto& [__VA_ARGS__] = record;                      \
    visit(__VA_ARGS__);                                \
  }                                                    \
  static void Describe(const Type*, std::string* to) { \
    *to += names + std::to_string(sizeof(Type));       \
  }

struct Checkpoint::Fields {
  PEARREACH_FIELDS(DecayingSum, "FadingSum{sum, at}", sum, at)
  PEARREACH_FIELDS(WindowedSum, "WindowSum{parts}", parts)
  PEARREACH_FIELDS(RequestRef, "Ref{slot, generation}", slot, generation)
  PEARREACH_FIELDS(Due, "Due{at, ref}", at, ref)
  PEARREACH_FIELDS(Member, "Member{identity, id}", identity, id)
  PEARREACH_FIELDS(MeanInterval, "MeanGap{mean, last}", mean, last)
  PEARREACH_FIELDS(KeyLoad, "KeySums{sums, all}", sums, all)
  PEARREACH_FIELDS(TokenBucket, "Bucket{left, cap, per_second, at}", tokens, capacity, rate_per_s,
                   at)
  PEARREACH_FIELDS(ClassState, "ClassState{work, asked, good, weight}", work, offered_value,
                   in_time_value, weight)
  PEARREACH_FIELDS(Queue, "Queue{passed, jobs}", skipped, jobs)
  PEARREACH_FIELDS(
      Attempt,
      "Attempt{worker, sent, started, ran, taken, given_up, late, written_off, zone, cell}", worker,
      sent, started, execution, accepted, cancelled_unaccepted, late_start_counted, written_off,
      zone, cell)
  PEARREACH_FIELDS(Request,
                   "Request{id, generation, live, held, late, ended, over_share, cls, slots, "
                   "arrived, due, hint, key, preferred, attempts, out, asked_at}",
                   id, generation, live, queued, late, ended, over_quota, cls, slots, arrived, due,
                   hint, key, preferred, attempts, in_flight, probes_sent_at)
  PEARREACH_FIELDS(WorkerEntry,
                   "WorkerEntry{worker, identity, zone, kind, cell, health, weight, ready_at}",
                   worker, identity, zone, kind, cell, health, weight, ready_at)
  PEARREACH_FIELDS(Worker,
                   "Worker{blocked_until, next_trial, full_until, full_level, busy, slowness, "
                   "waiting, idle, failures, silent, member, used, known, recalled, judged, named, "
                   "entry, idle_since, probed_at, answered_at, others, taken, part, running, "
                   "heard, full_wait, trial_wait, died_at, cold_part, cold_sends, out}",
                   blocked_until, next_trial, full_until, slots_when_full, busy, slowness,
                   unstarted, idle_connections, failures, silent, member, used, listed, restored,
                   ejected, last_list_number, entry, idle_since, probed_at, answered_at,
                   others_in_flight, used_by_others, own_share, running_slots, last_response,
                   full_backoff, trial_backoff, died_at, cold_share, cold_sends, in_flight)
  PEARREACH_FIELDS(Pool,
                   "Pool{members, local, home, used, changed, limit, busy, found, price, refusals, "
                   "last_refusal, last_cut, wanted, shut_until, shut_slots, ran, worked, slowdown, "
                   "told, slots_seen, tell, repeats}",
                   members, local, assigned, used, members_changed, limit, busy, proven_limit,
                   price, consecutive_refusals, last_refusal, last_cut, limit_reached,
                   no_capacity_until, no_capacity_slots, mean_running, mean_work, slowdown,
                   reports_free_slots, slots_seen, start_report_delay, allows_repeats)
  // The index is not stored but rebuilt from the slab; it serves lookups only and is never
  // iterated.
  PEARREACH_FIELDS(RequestTable, "RequestTable{slab, free, index}", slab, free, index)
  PEARREACH_FIELDS(State,
                   "State{random, now, table, workers, pools, classes, queues, due, looks, lists, "
                   "keys, quota, gap, subscribe_at, subscribe_wait, next_check, armed, logged, "
                   "largest_weight, held, refused}",
                   random, now, table, workers, pools, classes, queues, due, workers_examined,
                   list_updates, keys, quota, arrival_interval, subscribe_at, subscribe_wait,
                   next_check, timer_at, logged, largest_weight, queued, refused)

  class Saver {
   public:
    explicit Saver(CodedOutputStream* out) : out_(out) {}
    template <class... T>
    void operator()(T&... fields) {
      (Put(fields), ...);
    }

   private:
    template <class T>
    void Put(T& v) {
      if constexpr (std::is_same_v<T, double>) {
        out_->WriteLittleEndian64(std::bit_cast<std::uint64_t>(v));
      } else if constexpr (std::is_enum_v<T> || std::is_same_v<T, bool>) {
        out_->WriteVarint64(static_cast<std::uint64_t>(v));
      } else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>) {
        out_->WriteVarint64(ZigZag(v));
      } else if constexpr (std::is_integral_v<T>) {
        out_->WriteVarint64(v);
      } else {
        Each(v, *this);
      }
    }
    // Of a slot that is not in use only the generation is stored.
    void Put(Request& r) {
      out_->WriteVarint64(r.live ? 1 : 0);
      if (r.live)
        Each(r, *this);
      else
        out_->WriteVarint64(r.generation);
    }
    void Put(DueQueue& q) { PutList(q.container()); }
    void Put(std::unordered_map<RequestId, std::uint32_t>&) {}
    template <class A, class B>
    void Put(std::pair<A, B>& p) {
      Put(p.first);
      Put(p.second);
    }
    template <class T>
    void Put(std::optional<T>& v) {
      out_->WriteVarint64(v ? 1 : 0);
      if (v) Put(*v);
    }
    template <class T>
    void Put(std::vector<T>& v) {
      PutList(v);
    }
    template <class T>
    void Put(std::deque<T>& v) {
      PutList(v);
    }
    template <class T, std::size_t N>
    void Put(std::array<T, N>& v) {
      for (T& item : v) Put(item);
    }
    template <class List>
    void PutList(List& list) {
      out_->WriteVarint64(list.size());
      for (auto& item : list) Put(item);
    }

    CodedOutputStream* out_;
  };

  class Loader {
   public:
    Loader(CodedInputStream* in, std::uint64_t size) : in_(in), left_(size) {}
    template <class... T>
    void operator()(T&... fields) {
      (Get(fields), ...);
    }
    bool good() const { return good_; }
    std::size_t unset_times() const {
      return unset_times_;
    }  // number of loaded times that are kNever

   private:
    std::uint64_t Varint() {
      std::uint64_t v = 0;
      good_ = good_ && in_->ReadVarint64(&v);
      return v;
    }
    template <class T>
    void Get(T& v) {
      if constexpr (std::is_same_v<T, double>) {
        std::uint64_t bits = 0;
        good_ = good_ && in_->ReadLittleEndian64(&bits);
        v = std::bit_cast<double>(bits);
        good_ = good_ && std::abs(v) <= kMaxNumber;
      } else if constexpr (std::is_same_v<T, bool>) {
        v = Varint() != 0;
      } else if constexpr (std::is_enum_v<T>) {
        const std::uint64_t n = Varint();
        good_ = good_ && n <= 2;  // all stored enums have three values
        v = static_cast<T>(good_ ? n : 0);
      } else if constexpr (std::is_integral_v<T>) {
        const std::uint64_t n = Varint();
        if constexpr (std::is_signed_v<T>) {
          const std::int64_t wide = UnZigZag(n);
          const std::int64_t most = sizeof(T) == 8 ? kMaxTime : kMaxCount;
          const bool unset = sizeof(T) == 8 && wide == kNever;
          unset_times_ += unset ? 1 : 0;
          good_ = good_ && (unset || (wide >= -most && wide <= most));
          v = static_cast<T>(good_ ? wide : 0);
        } else {
          v = static_cast<T>(n);
          good_ = good_ && v == n;
        }
      } else {
        Each(v, *this);
      }
    }
    void Get(Request& r) {
      if (Varint() != 0) return Each(r, *this);
      r = Request();
      Get(r.generation);
    }
    void Get(DueQueue& q) { GetList(q.container()); }
    void Get(std::unordered_map<RequestId, std::uint32_t>& m) { m.clear(); }
    template <class A, class B>
    void Get(std::pair<A, B>& p) {
      Get(p.first);
      Get(p.second);
    }
    template <class T>
    void Get(std::optional<T>& v) {
      v.reset();
      if (Varint() != 0) Get(v.emplace());
    }
    template <class T>
    void Get(std::vector<T>& v) {
      GetList(v);
    }
    template <class T>
    void Get(std::deque<T>& v) {
      GetList(v);
    }
    template <class T, std::size_t N>
    void Get(std::array<T, N>& v) {
      for (T& item : v) Get(item);
    }
    template <class List>
    void GetList(List& list) {
      list.clear();
      const std::uint64_t size = Varint();
      // Each item takes at least one byte, so no valid list is longer than the remaining input.
      good_ = good_ && size <= left_ && size <= kMaxItems;
      for (std::uint64_t i = 0; good_ && i < size; ++i) {
        list.emplace_back();
        Get(list.back());
      }
    }

    CodedInputStream* in_;
    std::uint64_t left_;
    std::size_t unset_times_ = 0;
    bool good_ = true;
  };

  // The sizes that depend on the settings, for an error message.
  static std::string Sizes(const State& s) {
    return std::to_string(s.pools_.size()) + " pools, " + std::to_string(s.classes_.size()) +
           " classes, " + std::to_string(s.queues_.size()) + " queues, " +
           std::to_string(s.quota_.size()) + " tenants and " +
           std::to_string(s.keys_.sums_.size()) + " key sums";
  }

  // Checks the invariants that the policy relies on. Returns an empty string, or a description of
  // the first violation.
  static std::string CheckConsistency(State& s, const State& fresh, std::size_t unset_times) {
    std::string error = CheckSizesAndTimes(s, fresh, unset_times);
    if (error.empty()) error = CheckPoolsAndWorkers(s);
    if (error.empty()) error = CheckRequests(s);
    if (error.empty()) error = CheckQueuesAndDueTimes(s);
    return error;
  }

 private:
  // Checks the sizes that depend on the settings and the number of times without a value.
  static std::string CheckSizesAndTimes(const State& s, const State& fresh,
                                        std::size_t unset_times) {
    if (s.pools_.size() != fresh.pools_.size() || s.classes_.size() != fresh.classes_.size() ||
        s.queues_.size() != fresh.queues_.size() || s.quota_.size() != fresh.quota_.size() ||
        s.keys_.sums_.size() != fresh.keys_.sums_.size())
      return "saved with other settings: expected " + Sizes(fresh) + ", found " + Sizes(s);
    // Only these times may be kNever. All others are used in sums, which would overflow.
    std::size_t expected_unset =
        (s.subscribe_at_ == kNever ? 1 : 0) + (s.next_check_ == kNever ? 1 : 0);
    for (const Pool& p : s.pools_) expected_unset += p.no_capacity_until == kNever ? 1 : 0;
    if (unset_times != expected_unset)
      return "expected " + std::to_string(expected_unset) + " times without a value, found " +
             std::to_string(unset_times);
    return "";
  }

  // Checks the values of the pools and workers and of the subscribe backoff, and the references of
  // pools to workers and of workers to requests and their attempts.
  static std::string CheckPoolsAndWorkers(const State& s) {
    const auto& slab = s.table_.slab_;
    const auto worker = [&](WorkerId id) { return id < s.workers_.size(); };
    const auto slot = [&](const RequestRef& r) { return r.slot < slab.size(); };
    for (const Pool& p : s.pools_)
      if (p.slowdown < 0.1 || p.slowdown > 10)
        return "slowdown of a pool is " + std::to_string(p.slowdown) + ": expected 0.1 to 10";
    if (s.subscribe_wait_ < 2)
      return "subscribe backoff is " + std::to_string(s.subscribe_wait_) +
             " us: expected at least 2";
    for (const Pool& p : s.pools_)
      for (const Members* set : {&p.members, &p.local, &p.assigned, &p.used})
        for (const Member& m : *set)
          if (!worker(m.id)) return "a pool refers to unknown worker " + std::to_string(m.id);
    for (const Worker& w : s.workers_) {
      if (w.slowness < 0.1 || w.slowness > 10)
        return "slowness of a worker is " + std::to_string(w.slowness) + ": expected 0.1 to 10";
      if (w.entry.kind < 0 || w.entry.kind >= static_cast<int>(s.pools_.size()))
        return "kind of a worker is " + std::to_string(w.entry.kind) + ": expected less than " +
               std::to_string(s.pools_.size());
      for (const auto& [ref, number] : w.in_flight) {
        if (!slot(ref))
          return "a worker refers to request slot " + std::to_string(ref.slot) +
                 ": expected less than " + std::to_string(slab.size());
        const Request& r = slab[ref.slot];
        if (r.live && r.generation == ref.generation &&
            (number < 0 || number >= static_cast<int>(r.attempts.size())))
          return "a worker refers to attempt " + std::to_string(number) + ": expected less than " +
                 std::to_string(r.attempts.size());
      }
    }
    return "";
  }

  // Checks the requests, the counter of queued requests and the list of free slots. Fills the index
  // of the request table, which is not stored.
  static std::string CheckRequests(State& s) {
    const auto& slab = s.table_.slab_;
    const auto worker = [&](WorkerId id) { return id < s.workers_.size(); };
    std::size_t queued = 0;
    for (std::uint32_t i = 0; i < slab.size(); ++i) {
      const Request& r = slab[i];
      if (!r.live) continue;
      if (r.cls < 0 || r.cls >= static_cast<int>(s.classes_.size()))
        return "class of a request is " + std::to_string(r.cls) + ": expected less than " +
               std::to_string(s.classes_.size());
      if (!s.table_.index_.emplace(r.id, i).second)
        return "request id " + std::to_string(r.id) + " is used twice";
      for (const Attempt& a : r.attempts)
        if (!worker(a.worker))
          return "an attempt refers to unknown worker " + std::to_string(a.worker);
      queued += r.queued ? 1 : 0;
    }
    if (s.queued_ < 0 || queued != static_cast<std::size_t>(s.queued_))
      return "counter of queued requests is " + std::to_string(s.queued_) + ": found " +
             std::to_string(queued);
    std::vector<bool> free(slab.size());
    for (const std::uint32_t f : s.table_.free_) {
      if (f >= slab.size() || slab[f].live || free[f])
        return "free request slot " + std::to_string(f) +
               " does not exist, is in use or is listed twice";
      free[f] = true;
    }
    if (s.table_.free_.size() + s.table_.index_.size() != slab.size())
      return "expected " + std::to_string(slab.size()) + " request slots, found " +
             std::to_string(s.table_.free_.size()) + " free and " +
             std::to_string(s.table_.index_.size()) + " in use";
    return "";
  }

  // Checks the references of queues and due times to request slots, and the heap order of the due
  // times.
  static std::string CheckQueuesAndDueTimes(State& s) {
    const auto& slab = s.table_.slab_;
    const auto slot = [&](const RequestRef& r) { return r.slot < slab.size(); };
    for (const Queue& q : s.queues_)
      for (const RequestRef& r : q.jobs)
        if (!slot(r))
          return "a queue refers to request slot " + std::to_string(r.slot) +
                 ": expected less than " + std::to_string(slab.size());
    for (const Due& d : s.due_.container())
      if (!slot(d.ref))
        return "a due time refers to request slot " + std::to_string(d.ref.slot) +
               ": expected less than " + std::to_string(slab.size());
    if (!std::is_heap(s.due_.container().begin(), s.due_.container().end(), std::greater<Due>()))
      return "due times are not in heap order";
    return "";
  }
};

std::string Checkpoint::Save(const Dispatcher& dispatcher) {
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    CodedOutputStream out(&stream);
    Fields::Saver saver(&out);
    saver(dispatcher.state());
  }
  return bytes;
}

std::string Checkpoint::Load(std::string_view bytes, Dispatcher* dispatcher) {
  State& s = dispatcher->state();
  const State fresh = s;
  CodedInputStream in(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  Fields::Loader loader(&in, bytes.size());
  loader(s);
  if (!loader.good())
    return "truncated or invalid value in " + std::to_string(bytes.size()) + " bytes";
  if (in.CurrentPosition() != static_cast<int>(bytes.size()))
    return "expected " + std::to_string(in.CurrentPosition()) + " bytes, found " +
           std::to_string(bytes.size());
  return Fields::CheckConsistency(s, fresh, loader.unset_times());
}

std::uint64_t Checkpoint::Layout() {
  std::string text;
  const auto add = [&]<class... T>() {
    (Fields::Describe(static_cast<const T*>(nullptr), &text), ...);
  };
  add.
  operator()<DecayingSum, WindowedSum, RequestRef, Due, Member, MeanInterval, KeyLoad, TokenBucket,
             ClassState, Queue, Attempt, Request, WorkerEntry, Worker, Pool, RequestTable, State>();
  std::uint64_t h = 0xcbf29ce484222325u;
  for (const unsigned char c : text) h = (h ^ c) * 0x100000001b3u;
  return h;
}

void Checkpoint::ReplaceIds(Dispatcher* dispatcher,
                            const std::function<RequestId(RequestId)>& request,
                            const std::function<std::uint64_t(std::uint64_t)>& identity,
                            bool* keyed) {
  State& s = dispatcher->state();
  RequestTable& table = s.table_;
  table.index_.clear();
  for (std::uint32_t i = 0; i < table.slab_.size(); ++i) {
    Request& r = table.slab_[i];
    if (!r.live) continue;
    table.index_[r.id = request(r.id)] = i;
    if (keyed != nullptr && r.key) *keyed = true;
  }
  for (Worker& w : s.workers_)
    if (w.last_list_number > 0) w.entry.identity = identity(w.entry.identity);
  for (Pool& p : s.pools_)
    for (Members* set : {&p.members, &p.local, &p.assigned, &p.used})
      for (Member& m : *set) m.identity = identity(m.identity);
}

}  // namespace pearreach::dispatch
