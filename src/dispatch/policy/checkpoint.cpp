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

// Bounds of what a state holds. Bytes beyond them are none, and sums of what is within cannot
// overflow in the module.
constexpr std::uint64_t kMaxItems = 50'000'000;
constexpr std::int64_t kMaxTime = std::int64_t{1} << 61;  // kLongAgo is the least
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr double kMaxFigure = 1e15;
constexpr std::int64_t kNever = std::numeric_limits<Micros>::max();

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
  PEARREACH_FIELDS(FadingSum, "FadingSum{sum, at}", sum, at)
  PEARREACH_FIELDS(WindowSum, "WindowSum{parts}", parts)
  PEARREACH_FIELDS(Ref, "Ref{slot, generation}", slot, generation)
  PEARREACH_FIELDS(Due, "Due{at, ref}", at, ref)
  PEARREACH_FIELDS(Member, "Member{identity, id}", identity, id)
  PEARREACH_FIELDS(MeanGap, "MeanGap{mean, last}", mean, last)
  PEARREACH_FIELDS(KeySums, "KeySums{sums, all}", sums, all)
  PEARREACH_FIELDS(Bucket, "Bucket{left, cap, per_second, at}", left, cap, per_second, at)
  PEARREACH_FIELDS(ClassState, "ClassState{work, asked, good, weight}", work, asked, good, weight)
  PEARREACH_FIELDS(Queue, "Queue{passed, jobs}", passed, jobs)
  PEARREACH_FIELDS(
      Attempt,
      "Attempt{worker, sent, started, ran, taken, given_up, late, written_off, zone, cell}", worker,
      sent, started, ran, taken, given_up, late, written_off, zone, cell)
  PEARREACH_FIELDS(Request,
                   "Request{id, generation, live, held, late, ended, over_share, cls, slots, "
                   "arrived, due, hint, key, preferred, attempts, out, asked_at}",
                   id, generation, live, held, late, ended, over_share, cls, slots, arrived, due,
                   hint, key, preferred, attempts, out, asked_at)
  PEARREACH_FIELDS(WorkerEntry,
                   "WorkerEntry{worker, identity, zone, kind, cell, health, weight, ready_at}",
                   worker, identity, zone, kind, cell, health, weight, ready_at)
  PEARREACH_FIELDS(Worker,
                   "Worker{blocked_until, next_trial, full_until, full_level, busy, slowness, "
                   "waiting, idle, failures, silent, member, used, known, recalled, judged, named, "
                   "entry, idle_since, probed_at, answered_at, others, taken, part, running, "
                   "heard, full_wait, trial_wait, died_at, cold_part, cold_sends, out}",
                   blocked_until, next_trial, full_until, full_level, busy, slowness, waiting, idle,
                   failures, silent, member, used, known, recalled, judged, named, entry,
                   idle_since, probed_at, answered_at, others, taken, part, running, heard,
                   full_wait, trial_wait, died_at, cold_part, cold_sends, out)
  PEARREACH_FIELDS(Pool,
                   "Pool{members, local, home, used, changed, limit, busy, found, price, refusals, "
                   "last_refusal, last_cut, wanted, shut_until, shut_slots, ran, worked, slowdown, "
                   "told, slots_seen, tell, repeats}",
                   members, local, home, used, changed, limit, busy, found, price, refusals,
                   last_refusal, last_cut, wanted, shut_until, shut_slots, ran, worked, slowdown,
                   told, slots_seen, tell, repeats)
  // The index is made again from the slab: it is only looked up, never walked.
  PEARREACH_FIELDS(RequestTable, "RequestTable{slab, free, index}", slab, free, index)
  PEARREACH_FIELDS(State,
                   "State{random, now, table, workers, pools, classes, queues, due, looks, lists, "
                   "keys, quota, gap, subscribe_at, subscribe_wait, next_check, armed, logged, "
                   "largest_weight, held, refused}",
                   random, now, table, workers, pools, classes, queues, due, looks, lists, keys,
                   quota, gap, subscribe_at, subscribe_wait, next_check, armed, logged,
                   largest_weight, held, refused)

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
    // A slot that is not in use is told from a new one by its generation alone.
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
    std::size_t nevers() const { return nevers_; }  // times that were kNever

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
        good_ = good_ && std::abs(v) <= kMaxFigure;
      } else if constexpr (std::is_same_v<T, bool>) {
        v = Varint() != 0;
      } else if constexpr (std::is_enum_v<T>) {
        const std::uint64_t n = Varint();
        good_ = good_ && n <= 2;  // every kind kept here has three values
        v = static_cast<T>(good_ ? n : 0);
      } else if constexpr (std::is_integral_v<T>) {
        const std::uint64_t n = Varint();
        if constexpr (std::is_signed_v<T>) {
          const std::int64_t wide = UnZigZag(n);
          const std::int64_t most = sizeof(T) == 8 ? kMaxTime : kMaxCount;
          const bool never = sizeof(T) == 8 && wide == kNever;
          nevers_ += never ? 1 : 0;
          good_ = good_ && (never || (wide >= -most && wide <= most));
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
      // Each item takes a byte at least, so no list is longer than what is left to read.
      good_ = good_ && size <= left_ && size <= kMaxItems;
      for (std::uint64_t i = 0; good_ && i < size; ++i) {
        list.emplace_back();
        Get(list.back());
      }
    }

    CodedInputStream* in_;
    std::uint64_t left_;
    std::size_t nevers_ = 0;
    bool good_ = true;
  };

  // What the module relies on without asking. Empty, or what does not hold.
  static std::string Broken(State& s, const State& fresh, std::size_t nevers) {
    const auto& slab = s.table_.slab_;
    const auto worker = [&](WorkerId id) { return id < s.workers_.size(); };
    const auto slot = [&](const Ref& r) { return r.slot < slab.size(); };
    if (s.pools_.size() != fresh.pools_.size() || s.classes_.size() != fresh.classes_.size() ||
        s.queues_.size() != fresh.queues_.size() || s.quota_.size() != fresh.quota_.size() ||
        s.keys_.sums_.size() != fresh.keys_.sums_.size())
      return "its settings are others";
    // Only these times may be never; to any other the module adds.
    std::size_t may = (s.subscribe_at_ == kNever ? 1 : 0) + (s.next_check_ == kNever ? 1 : 0);
    for (const Pool& p : s.pools_) may += p.shut_until == kNever ? 1 : 0;
    if (nevers != may) return "a time is out of range";
    for (const Pool& p : s.pools_)
      if (p.slowdown < 0.1 || p.slowdown > 10) return "a pool's speed is out of range";
    if (s.subscribe_wait_ < 2) return "a wait is out of range";
    for (const Pool& p : s.pools_)
      for (const Members* set : {&p.members, &p.local, &p.home, &p.used})
        for (const Member& m : *set)
          if (!worker(m.id)) return "a pool names a worker that is none";
    for (const Worker& w : s.workers_) {
      if (w.slowness < 0.1 || w.slowness > 10) return "a worker's speed is out of range";
      if (w.entry.kind < 0 || w.entry.kind >= static_cast<int>(s.pools_.size()))
        return "a worker is of no kind";
      for (const auto& [ref, number] : w.out) {
        if (!slot(ref)) return "a worker has an attempt of no request";
        const Request& r = slab[ref.slot];
        if (r.live && r.generation == ref.generation &&
            (number < 0 || number >= static_cast<int>(r.attempts.size())))
          return "a worker has an attempt that was never made";
      }
    }
    std::size_t held = 0;
    for (std::uint32_t i = 0; i < slab.size(); ++i) {
      const Request& r = slab[i];
      if (!r.live) continue;
      if (r.cls < 0 || r.cls >= static_cast<int>(s.classes_.size()))
        return "a request is of no class";
      if (!s.table_.index_.emplace(r.id, i).second) return "two requests have one id";
      for (const Attempt& a : r.attempts)
        if (!worker(a.worker)) return "an attempt is at no worker";
      held += r.held ? 1 : 0;
    }
    if (s.held_ < 0 || held != static_cast<std::size_t>(s.held_)) return "held jobs do not add up";
    std::vector<bool> free(slab.size());
    for (const std::uint32_t f : s.table_.free_) {
      if (f >= slab.size() || slab[f].live || free[f]) return "a free slot is in use";
      free[f] = true;
    }
    if (s.table_.free_.size() + s.table_.index_.size() != slab.size()) return "a slot is lost";
    for (const Queue& q : s.queues_)
      for (const Ref& r : q.jobs)
        if (!slot(r)) return "a queue holds no request";
    for (const Due& d : s.due_.container())
      if (!slot(d.ref)) return "a moment is of no request";
    if (!std::is_heap(s.due_.container().begin(), s.due_.container().end(), std::greater<Due>()))
      return "the moments are out of order";
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
  if (!loader.good()) return "it cannot be read";
  if (in.CurrentPosition() != static_cast<int>(bytes.size())) return "it is too long";
  return Fields::Broken(s, fresh, loader.nevers());
}

std::uint64_t Checkpoint::Layout() {
  std::string text;
  const auto add = [&]<class... T>() {
    (Fields::Describe(static_cast<const T*>(nullptr), &text), ...);
  };
  add.operator()<FadingSum, WindowSum, Ref, Due, Member, MeanGap, KeySums, Bucket, ClassState,
                 Queue, Attempt, Request, WorkerEntry, Worker, Pool, RequestTable, State>();
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
    if (w.named > 0) w.entry.identity = identity(w.entry.identity);
  for (Pool& p : s.pools_)
    for (Members* set : {&p.members, &p.local, &p.home, &p.used})
      for (Member& m : *set) m.identity = identity(m.identity);
}

}  // namespace pearreach::dispatch
