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
  shared_state::SharedOptions options = *settings_.shared;
  options.self = settings_.self;
  options.nodes = static_cast<int>(settings_.nodes.size());
  shared_ = std::make_unique<shared_state::Shared>(std::move(options), members_->process(),
                                                   settings_.seed, Unix());
  shared_reported_ = {};
  for (const auto& [key, w] : listed_)
    shared_->judgements().Listed(key, w.as.kind, w.as.started_ms, w.as.in_service);
  SharedTurn();
  OpenZones();
}

void Fleet::SharedTurn() {
  if (shared_ == nullptr) return;
  const Micros now = Unix();
  const std::vector<int> alive = Alive();
  for (const shared_state::Standing& s : shared_->judgements().Look(now, alive)) Judged(s);
  std::vector<shared_state::Shared::Out> out;
  shared_->Tick(now, alive, &out);
  SendShared(&out);
  shared_turn_.Set(shared_->next() - unix_offset_);
}

void Fleet::SendShared(std::vector<shared_state::Shared::Out>* out) {
  for (const shared_state::Shared::Out& o : *out) peers_.Send(o.to, Topic::kShared, o.section);
  const shared_state::SharedCounts& n = shared_->figures();
  CountGrowth("shared_words", n.words, &shared_reported_.words);
  CountGrowth("shared_words_malformed", n.malformed, &shared_reported_.malformed);
  CountGrowth("shared_news", n.news, &shared_reported_.news);
  CountGrowth("shared_asks", n.asks, &shared_reported_.asks);
  CountGrowth("shared_grants", n.grants, &shared_reported_.grants);
  CountGrowth("shared_grants_got", n.grants_got, &shared_reported_.grants_got);
  CountGrowth("shared_left_out", n.left_out, &shared_reported_.left_out);
  CountGrowth("shared_over_ceiling", n.over_ceiling, &shared_reported_.over_ceiling);
  CountGrowth("shared_over_repeats", n.over_repeats, &shared_reported_.over_repeats);
}

std::optional<shared_state::Shared::Admission> Fleet::Admit(int account, bool is_repeat) {
  if (!settings_.shared) return std::nullopt;
  // Accounts' use may not be shared at all.
  if (account >= static_cast<int>(settings_.shared->shares.size())) account = -1;
  if (shared_ != nullptr) {
    // A process that was stopped looks at its lease before it acts.
    const bool floor =
        rules_ != nullptr && rules_->acting().basis == rules::Consensus::Basis::kFloor;
    shared_state::Shared::Admission a = shared_->Admit(Unix(), account, is_repeat);
    if (floor && account >= 0) a.over_share = true;
    return a;
  }
  shared_state::Shared::Admission nothing;
  nothing.over_share = account >= 0;
  return nothing;
}

void Fleet::WorkerListed(const std::string& worker, const Listing& as) {
  const shared_state::WorkerKey key = KeyOf(worker);
  Listed& w = listed_[key];
  if (!w.name.empty() && w.name != worker) return Count("shared_worker_keys_alike");
  w.name = worker;
  w.as = as;
  if (shared_ != nullptr) shared_->judgements().Listed(key, as.kind, as.started_ms, as.in_service);
  if (zones_ != nullptr)
    zones_->Listed(key, as.zone, as.kind, as.weight, as.started_ms * 1000, as.in_service);
}

void Fleet::WorkerGone(const std::string& worker) {
  const shared_state::WorkerKey key = KeyOf(worker);
  listed_.erase(key);
  if (shared_ != nullptr) shared_->judgements().Unlisted(key);
  if (zones_ != nullptr) zones_->Unlisted(key);
}

void Fleet::WorkerSent(const std::string& worker) {
  if (shared_ != nullptr) shared_->judgements().Sent(Unix(), KeyOf(worker));
  if (zones_ != nullptr) zones_->Sent(Unix(), KeyOf(worker));
}

void Fleet::WorkerHeard(const std::string& worker) {
  if (shared_ != nullptr) shared_->judgements().Heard(Unix(), KeyOf(worker));
}

void Fleet::WorkerEnded(const std::string& worker, shared_state::Judgements::End end, int cls,
                        Micros run) {
  if (shared_ == nullptr) return;
  using ZoneEnd = zones::Zones::End;
  if (zones_ != nullptr)
    zones_->Ended(Unix(), KeyOf(worker),
                  end == shared_state::Judgements::End::kServed   ? ZoneEnd::kServed
                  : end == shared_state::Judgements::End::kFailed ? ZoneEnd::kFailed
                                                                  : ZoneEnd::kNoWord,
                  cls, run);
  double slowness = 0;
  if (run > 0 && end == shared_state::Judgements::End::kServed) {
    double& usual = runs_[cls];
    if (usual > 0) slowness = static_cast<double>(run) / usual;
    usual += (usual > 0 ? kRunLearn : 1) * (static_cast<double>(run) - usual);
  }
  shared_->judgements().Ended(Unix(), KeyOf(worker), end, slowness);
}

// One line a change, and the module's event.
void Fleet::Judged(const shared_state::Standing& s) {
  const auto it = listed_.find(s.worker);
  if (it == listed_.end()) return;
  shared_state::Standing told = s;
  if (it->second.use == zones::Use::kTrial) told.out = told.trial = true;  // as its zone has it
  if (judged_) judged_(it->second.name, told);
  if (!MayLog()) return;
  std::string witnesses;
  for (const int n : s.witnesses) witnesses += (witnesses.empty() ? "" : " ") + std::to_string(n);
  Log("judgement",
      {{"worker", it->second.name},
       {"out", s.out ? "1" : "0"},
       {"cold", s.cold ? "1" : "0"},
       {"trial", s.trial ? "1" : "0"},
       {"verdict", NameOf(s.verdict)},
       {"witnesses", witnesses}},
      it->second.name +
          (s.out || s.cold
               ? std::string(s.out ? " is left out: " : " counts as cold: ") + NameOf(s.verdict) +
                     " by nodes " + witnesses + (s.trial ? "; this node is to try it" : "")
               : std::string(" is in use again")));
}

// What this node shares, as figures: of each account what it counted and spent here, its part of
// the budget, and what the fleet uses within its bound.
void Fleet::ReportShared() {
  const Micros now = Unix();
  std::string accounts, line;
  for (int k = 0; k < shared_->counts().accounts(); ++k) {
    const shared_state::Reading r = shared_->counts().Read(now, k);
    const std::string part = std::to_string(shared_->budgets().part(now, k));
    accounts += (k > 0 ? " " : "") + std::to_string(k) + ":" +
                std::to_string(shared_->counts().value(k)) + ":" +
                Figure(shared_->budgets().spent(k)) + ":" + part + ":" + Figure(r.least) + ":" +
                Figure(r.most) + ":" + Figure(r.estimate);
    const auto at = static_cast<std::size_t>(k);
    line += (k > 0 ? "; " : "") +
            (at < settings_.accounts.size() ? settings_.accounts[at] : std::to_string(k)) + " " +
            Figure(r.estimate) + " (" + Figure(r.least) + " to " + Figure(r.most) + "), part " +
            Figure(static_cast<double>(shared_->budgets().part(now, k)) / 1000) + "/s";
  }
  std::string out;
  for (const auto& [key, s] : shared_->judgements().standing()) {
    const auto it = listed_.find(key);
    if (!s.out || it == listed_.end()) continue;
    out += (out.empty() ? "" : " ") + it->second.name + ":" + NameOf(s.verdict);
    for (const int n : s.witnesses) out += ":" + std::to_string(n);
  }
  Log("shared",
      {{"process", std::to_string(shared_->process())},
       {"settling", shared_->budgets().settling(now) ? "1" : "0"},
       {"accounts", accounts},
       {"out", out}},
      "the fleet's use in the last " + std::to_string(settings_.shared->window / kSecond) +
          " s: " + line + (out.empty() ? "" : "; left out: " + out));
}

}  // namespace pearreach
