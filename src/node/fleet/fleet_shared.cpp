// The fleet's state that nodes share: what accounts use, and what is seen of workers.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "node/fleet/fleet.h"
#include "node/fleet/worker_key.h"

namespace pearreach {
namespace {

using peer_transport::Topic;

constexpr double kRunLearn = 0.05;  // weight of one job in what is usual of its class

std::string Figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

}  // namespace

void Fleet::OpenShared() {
  if (!settings_.shared) return;
  unix_offset_ = g_get_real_time() - Now();
  shared_state::SharedStateOptions options = *settings_.shared;
  options.self = settings_.self;
  options.nodes = static_cast<int>(settings_.nodes.size());
  shared_ = std::make_unique<shared_state::SharedState>(std::move(options), members_->process(),
                                                        settings_.seed, Unix());
  shared_reported_ = {};
  for (const auto& [key, w] : listed_)
    shared_->health().OnListed(key, w.as.kind, w.as.started_ms, w.as.in_service);
  SharedTurn();
  OpenZones();
}

void Fleet::SharedTurn() {
  if (shared_ == nullptr) return;
  const Micros now = Unix();
  const std::vector<int> alive = Alive();
  for (const shared_state::WorkerStatus& s : shared_->health().Update(now, alive)) Judged(s);
  std::vector<shared_state::SharedState::OutgoingMessage> out;
  shared_->Tick(now, alive, &out);
  SendShared(&out);
  shared_turn_.Set(shared_->next_tick() - unix_offset_);
}

void Fleet::SendShared(std::vector<shared_state::SharedState::OutgoingMessage>* out) {
  for (const shared_state::SharedState::OutgoingMessage& o : *out)
    peers_.Send(o.to, Topic::kShared, o.section);
  const shared_state::SharedStateStats& n = shared_->stats();
  CountGrowth("shared_words", n.messages_sent, &shared_reported_.messages_sent);
  CountGrowth("shared_words_malformed", n.malformed, &shared_reported_.malformed);
  CountGrowth("shared_news", n.updates_merged, &shared_reported_.updates_merged);
  CountGrowth("shared_asks", n.requests_sent, &shared_reported_.requests_sent);
  CountGrowth("shared_grants", n.grants_sent, &shared_reported_.grants_sent);
  CountGrowth("shared_grants_got", n.grants_received, &shared_reported_.grants_received);
  CountGrowth("shared_left_out", n.entries_omitted, &shared_reported_.entries_omitted);
  CountGrowth("shared_over_ceiling", n.rejected_by_ceiling, &shared_reported_.rejected_by_ceiling);
  CountGrowth("shared_over_repeats", n.rejected_by_retry_limit,
              &shared_reported_.rejected_by_retry_limit);
}

std::optional<shared_state::SharedState::Admission> Fleet::Admit(int account, bool is_repeat) {
  if (!settings_.shared) return std::nullopt;
  // Accounts' use may not be shared at all.
  if (account >= static_cast<int>(settings_.shared->quotas.size())) account = -1;
  if (shared_ != nullptr) {
    // A process that was stopped looks at its lease before it acts.
    const bool floor =
        rules_ != nullptr && rules_->acting().basis == rules::Consensus::Basis::kFloor;
    shared_state::SharedState::Admission a = shared_->Admit(Unix(), account, is_repeat);
    if (floor && account >= 0) a.over_quota = true;
    return a;
  }
  shared_state::SharedState::Admission nothing;
  nothing.over_quota = account >= 0;
  return nothing;
}

void Fleet::WorkerListed(const std::string& worker, const Listing& as) {
  const shared_state::WorkerKey key = KeyOf(worker);
  Listed& w = listed_[key];
  if (!w.name.empty() && w.name != worker) return Count("shared_worker_keys_alike");
  w.name = worker;
  w.as = as;
  if (shared_ != nullptr) shared_->health().OnListed(key, as.kind, as.started_ms, as.in_service);
  if (zones_ != nullptr)
    zones_->OnListed(key, as.zone, as.kind, as.weight, as.started_ms * 1000, as.in_service);
}

void Fleet::WorkerGone(const std::string& worker) {
  const shared_state::WorkerKey key = KeyOf(worker);
  listed_.erase(key);
  if (shared_ != nullptr) shared_->health().OnUnlisted(key);
  if (zones_ != nullptr) zones_->OnUnlisted(key);
}

void Fleet::WorkerSent(const std::string& worker) {
  if (shared_ != nullptr) shared_->health().OnJobSent(Unix(), KeyOf(worker));
  if (zones_ != nullptr) zones_->OnJobSent(Unix(), KeyOf(worker));
}

void Fleet::WorkerHeard(const std::string& worker) {
  if (shared_ != nullptr) shared_->health().OnWorkerResponse(Unix(), KeyOf(worker));
}

void Fleet::WorkerEnded(const std::string& worker, shared_state::WorkerHealth::JobOutcome end,
                        int cls, Micros run) {
  if (shared_ == nullptr) return;
  using ZoneEnd = zones::ZoneFailover::JobOutcome;
  if (zones_ != nullptr)
    zones_->OnJobEnded(Unix(), KeyOf(worker),
                       end == shared_state::WorkerHealth::JobOutcome::kServed ? ZoneEnd::kServed
                       : end == shared_state::WorkerHealth::JobOutcome::kFailed
                           ? ZoneEnd::kFailed
                           : ZoneEnd::kNoResponse,
                       cls, run);
  double slowness = 0;
  if (run > 0 && end == shared_state::WorkerHealth::JobOutcome::kServed) {
    double& usual = runs_[cls];
    if (usual > 0) slowness = static_cast<double>(run) / usual;
    usual += (usual > 0 ? kRunLearn : 1) * (static_cast<double>(run) - usual);
  }
  shared_->health().OnJobEnded(Unix(), KeyOf(worker), end, slowness);
}

// One line a change, and the module's event.
void Fleet::Judged(const shared_state::WorkerStatus& s) {
  const auto it = listed_.find(s.worker);
  if (it == listed_.end()) return;
  shared_state::WorkerStatus told = s;
  if (it->second.use == zones::Use::kProbe) told.ejected = told.probe = true;  // as its zone has it
  if (judged_) judged_(it->second.name, told);
  if (!MayLog()) return;
  std::string witnesses;
  for (const int n : s.reporters) witnesses += (witnesses.empty() ? "" : " ") + std::to_string(n);
  Log("judgement",
      {{"worker", it->second.name},
       {"out", s.ejected ? "1" : "0"},
       {"cold", s.cold ? "1" : "0"},
       {"trial", s.probe ? "1" : "0"},
       {"verdict", NameOf(s.status)},
       {"witnesses", witnesses}},
      it->second.name + (s.ejected || s.cold
                             ? std::string(s.ejected ? " is left out: " : " counts as cold: ") +
                                   NameOf(s.status) + " by nodes " + witnesses +
                                   (s.probe ? "; this node is to try it" : "")
                             : std::string(" is in use again")));
}

// What this node shares, as figures: of each account what it counted and spent here, its part of
// the budget, and what the fleet uses within its bound.
void Fleet::ReportShared() {
  const Micros now = Unix();
  std::string accounts, line;
  for (int k = 0; k < shared_->usage().accounts(); ++k) {
    const shared_state::UsageEstimate r = shared_->usage().Estimate(now, k);
    const std::string part = std::to_string(shared_->budgets().allocation(now, k));
    accounts += (k > 0 ? " " : "") + std::to_string(k) + ":" +
                std::to_string(shared_->usage().value(k)) + ":" +
                Figure(shared_->budgets().spent(k)) + ":" + part + ":" + Figure(r.lower) + ":" +
                Figure(r.upper) + ":" + Figure(r.estimate);
    const auto at = static_cast<std::size_t>(k);
    line += (k > 0 ? "; " : "") +
            (at < settings_.accounts.size() ? settings_.accounts[at] : std::to_string(k)) + " " +
            Figure(r.estimate) + " (" + Figure(r.lower) + " to " + Figure(r.upper) + "), part " +
            Figure(static_cast<double>(shared_->budgets().allocation(now, k)) / 1000) + "/s";
  }
  std::string out;
  for (const auto& [key, s] : shared_->health().statuses()) {
    const auto it = listed_.find(key);
    if (!s.ejected || it == listed_.end()) continue;
    out += (out.empty() ? "" : " ") + it->second.name + ":" + NameOf(s.status);
    for (const int n : s.reporters) out += ":" + std::to_string(n);
  }
  Log("shared",
      {{"process", std::to_string(shared_->process())},
       {"settling", shared_->budgets().in_startup_quarantine(now) ? "1" : "0"},
       {"accounts", accounts},
       {"out", out}},
      "the fleet's use in the last " + std::to_string(settings_.shared->window / kSecond) +
          " s: " + line + (out.empty() ? "" : "; left out: " + out));
}

}  // namespace pearreach
