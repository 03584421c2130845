// The book of an open-loop load: when each job is meant to go out, what became of it and of its
// retries, and how late the sender itself was. Latency counts from the intended time, whatever kept
// the job back; a client's retries belong to its first try. It owns no socket and no clock: times
// are handed in, so that its figures can be checked in virtual time.
#ifndef PEARREACH_LAB_LOAD_BOOK_H_
#define PEARREACH_LAB_LOAD_BOOK_H_

#include <cstdint>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/load/schedule.h"
#include "lab/sim/simulation.h"
#include "lab/stats/stats.h"

namespace pearreach::lab {

class LoadBook {
 public:
  enum class Status { kServed, kRefused, kFailed, kBroken };
  struct Send {
    std::uint64_t ticket = 0;
    const Arrival* job = nullptr;
    std::size_t number = 0;  // of the job in the plan
    int attempt = 1;         // 2: the first retry
    Micros left = 0;         // until its client gives up
  };
  // `begin`: the time that the plan's 0 is. `closed`: 0, or so many clients that wait for their
  // answer before they send the next job, whenever that was meant to go out; latency then counts
  // from the send. It is there to show the error that this makes.
  LoadBook(const LoadPlan& plan, Micros begin, int closed = 0);

  std::optional<Micros> Next() const;  // when Due has something next; none: not before an answer
  std::vector<Send> Due(Micros now);
  // `retry_after`: 0 where the answer said nothing. Unknown tickets are passed over.
  void Answer(std::uint64_t ticket, Micros now, Status status, Micros retry_after = 0);
  // Clients whose time is over by now: their tickets, to be dropped.
  std::vector<std::uint64_t> GiveUp(Micros now);
  bool done() const { return next_ == plan_.jobs.size() && retries_.empty() && open_.empty(); }
  std::size_t open() const { return open_.size(); }

  const Tally& all() const { return all_; }
  const std::vector<Tally>& classes() const { return classes_; }
  const std::vector<Tally>& accounts() const { return accounts_; }
  const std::vector<TimeHistogram>& times() const { return times_; }  // by class, of the served
  const TimeHistogram& lateness() const { return lateness_; }         // of the sender, of each send
  std::uint64_t broken() const { return broken_; }                    // connections that broke
  std::uint64_t lost() const { return lost_; }                        // no answer in time
  // The sender kept its times well enough for the figures to stand: a hundredth of the sends were
  // no later than `most`.
  bool KeptTime(Micros most) const { return lateness_.Quantile(0.99) <= static_cast<double>(most); }

 private:
  struct Open {
    std::size_t number = 0;
    int attempt = 1;
    Micros sent = 0, until = 0;
  };
  struct Retry {
    Micros at = 0;
    std::size_t number = 0;
    int attempt = 2;
    bool operator>(const Retry& o) const { return at != o.at ? at > o.at : number > o.number; }
  };
  Micros Intended(std::size_t number) const { return begin_ + plan_.jobs[number].at; }
  void Close(const Open& open, Micros now, Status status);

  LoadPlan plan_;
  Micros begin_;
  int closed_;
  Chance chance_;
  std::size_t next_ = 0;
  std::uint64_t last_ticket_ = 0, broken_ = 0, lost_ = 0;
  std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries_;
  std::unordered_map<std::uint64_t, Open> open_;
  std::set<std::pair<Micros, std::uint64_t>> until_;
  Tally all_;
  std::vector<Tally> classes_, accounts_;
  std::vector<TimeHistogram> times_;
  TimeHistogram lateness_;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_LOAD_BOOK_H_
