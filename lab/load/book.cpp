#include "lab/load/book.h"

#include <algorithm>

namespace pearreach::lab {

LoadBook::LoadBook(const LoadPlan& plan, Micros begin, int closed)
    : plan_(plan), begin_(begin), closed_(closed), chance_(SeedOf(plan.seed, 11, 0)) {
  classes_.resize(plan_.classes.size());
  times_.resize(plan_.classes.size());
  accounts_.resize(plan_.accounts.size());
}

std::optional<Micros> LoadBook::Next() const {
  std::optional<Micros> at;
  const bool may =
      closed_ == 0 || open_.size() + retries_.size() < static_cast<std::size_t>(closed_);
  if (next_ < plan_.jobs.size() && may) at = Intended(next_);
  if (!retries_.empty() && (!at || retries_.top().at < *at)) at = retries_.top().at;
  return at;
}

std::vector<LoadBook::Send> LoadBook::Due(Micros now) {
  std::vector<Send> out;
  const auto add = [&](std::size_t number, int attempt, Micros meant) {
    const Micros from = closed_ > 0 ? now : Intended(number);
    const ClassSpec& c = plan_.classes[static_cast<std::size_t>(plan_.jobs[number].cls)];
    const Micros until = (attempt == 1 ? from : Intended(number)) + c.deadline;
    if (closed_ == 0) lateness_.Add(now - meant);
    const std::uint64_t ticket = ++last_ticket_;
    open_[ticket] = {number, attempt, now, until};
    until_.insert({until, ticket});
    out.push_back(
        {ticket, &plan_.jobs[number], number, attempt, std::max<Micros>(until - now, 1000)});
  };
  while (!retries_.empty() && retries_.top().at <= now) {
    const Retry r = retries_.top();
    retries_.pop();
    add(r.number, r.attempt, r.at);
  }
  while (next_ < plan_.jobs.size() && Intended(next_) <= now &&
         (closed_ == 0 || open_.size() + retries_.size() < static_cast<std::size_t>(closed_))) {
    const std::size_t number = next_++;
    add(number, 1, Intended(number));
  }
  return out;
}

void LoadBook::Answer(std::uint64_t ticket, Micros now, Status status, Micros retry_after) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  const Open open = it->second;
  open_.erase(it);
  until_.erase({open.until, ticket});
  broken_ += status == Status::kBroken ? 1 : 0;
  // A refusal may be tried again, and a connection that broke before the answer as well where the
  // request never went out; the sender tells that as a refusal.
  if (status == Status::kRefused && open.attempt < plan_.tries) {
    const Micros wait = static_cast<Micros>(
        (0.5 + chance_.Uniform()) * static_cast<double>(plan_.backoff << (open.attempt - 1)));
    const Micros at = now + std::max(wait, retry_after);
    if (at < open.until) {
      retries_.push({at, open.number, open.attempt + 1});
      return;
    }
  }
  Close(open, now, status);
}

std::vector<std::uint64_t> LoadBook::GiveUp(Micros now) {
  std::vector<std::uint64_t> over;
  while (!until_.empty() && until_.begin()->first <= now) {
    const std::uint64_t ticket = until_.begin()->second;
    until_.erase(until_.begin());
    over.push_back(ticket);
    ++lost_;
    Close(open_.at(ticket), now, Status::kFailed);
    open_.erase(ticket);
  }
  return over;
}

void LoadBook::Close(const Open& open, Micros now, Status status) {
  const Arrival& job = plan_.jobs[open.number];
  const ClassSpec& c = plan_.classes[static_cast<std::size_t>(job.cls)];
  const Micros took = now - (closed_ > 0 ? open.sent : Intended(open.number));
  Tally t;
  t.jobs = 1;
  t.asked = c.worth;
  t.tries = static_cast<std::uint64_t>(open.attempt);
  if (status == Status::kServed) {
    const bool in_aim = took <= c.aim;
    ++(in_aim ? t.in_aim : t.late);
    t.good = c.worth * (in_aim ? 1 : c.late);
    times_[static_cast<std::size_t>(job.cls)].Add(took);
  } else {
    ++(status == Status::kRefused ? t.refused : t.failed);
  }
  all_.Merge(t);
  classes_[static_cast<std::size_t>(job.cls)].Merge(t);
  if (job.account >= 0) accounts_[static_cast<std::size_t>(job.account)].Merge(t);
}

}  // namespace pearreach::lab
