#include "node/capture/replay.h"

#include <chrono>
#include <cstdio>

namespace pearreach::capture {
namespace {

using dispatch::Action;

void Tally(const std::vector<Action>& actions, bool replayed, Changes* to) {
  for (const Action& a : actions) {
    const auto count = [replayed](auto& pair) { ++(replayed ? pair.second : pair.first); };
    count(to->kinds[a.index()]);
    if (const auto* send = std::get_if<dispatch::Send>(&a)) count(to->sends[send->worker]);
  }
}

void Compare(const std::vector<Action>& recorded, const std::vector<Action>& actual, Changes* to) {
  ++to->turns;
  Tally(recorded, false, to);
  Tally(actual, true, to);
  if (recorded == actual) return;
  ++to->turns_that_differ;
  for (const Action& a : recorded) {
    const auto* was = std::get_if<dispatch::Send>(&a);
    if (was == nullptr) continue;
    for (const Action& b : actual)
      if (const auto* is = std::get_if<dispatch::Send>(&b);
          is != nullptr && is->request == was->request) {
        to->sent_elsewhere += is->worker != was->worker ? 1 : 0;
        break;
      }
  }
}

}  // namespace

std::vector<std::string> Figures(const dispatch::Dispatcher& dispatcher,
                                 const dispatch::Site& site) {
  std::vector<std::string> lines;
  char text[160];
  for (std::size_t k = 0; k < site.kinds.size(); ++k) {
    std::snprintf(text, sizeof text, "pool %s: %.2f slots busy under a limit of %.2f",
                  site.kinds[k].c_str(), dispatcher.PoolBusy(static_cast<int>(k)),
                  dispatcher.PoolLimit(static_cast<int>(k)));
    lines.emplace_back(text);
  }
  std::snprintf(text, sizeof text, "%zu jobs open, %zu workers on the list",
                dispatcher.OpenRequests(), dispatcher.KnownWorkers());
  lines.emplace_back(text);
  return lines;
}

Replayed Replay(Segment* segment, const Window& window) {
  Replayed result;
  dispatch::Dispatcher dispatcher = segment->Restore();
  const auto begin = std::chrono::steady_clock::now();
  Turn turn;
  std::vector<Action> actions;
  Micros first = 0;
  for (std::uint64_t number = 0; !result.difference && segment->Next(&turn); ++number) {
    const Micros since = turn.now - segment->origin().clock;
    if (since >= window.until) break;
    actions.clear();
    dispatcher.Handle(turn.now, turn.events, &actions);
    if (!window.Holds(since)) continue;
    if (result.turns++ == 0) first = turn.now;
    result.span = turn.now - first;
    result.events += turn.events.size();
    result.decisions += turn.actions.size();
    if (actions != turn.actions)
      result.difference = {number, turn, actions, Figures(dispatcher, segment->site())};
  }
  result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  result.damage = segment->damage();
  result.missing = segment->missing();
  result.ended = segment->ending().has_value();
  return result;
}

Changes WhatIf(Segment* segment, const dispatch::Conf::Values& set, const Window& window) {
  Origin altered = segment->origin();
  for (const auto& [path, value] : set) altered.settings[path] = value;
  const dispatch::Settings settings = altered.Site().settings;
  dispatch::Dispatcher dispatcher = segment->Restore(&settings);
  Changes changes;
  Turn turn;
  std::vector<Action> actions;
  while (segment->Next(&turn)) {
    actions.clear();
    dispatcher.Handle(turn.now, turn.events, &actions);
    if (window.Holds(turn.now - segment->origin().clock)) Compare(turn.actions, actions, &changes);
  }
  changes.damage = segment->damage();
  return changes;
}

std::string Accept(Segment* segment, const std::string& build, std::uint64_t policy_hash,
                   Changes* changes) {
  dispatch::Dispatcher dispatcher = segment->Restore();
  Origin origin = segment->origin();
  origin.build = build;
  origin.policy_hash = policy_hash;
  origin.edited = true;
  const std::string* checkpoint = segment->checkpoint() ? &*segment->checkpoint() : nullptr;
  SegmentWriter writer(origin, checkpoint);
  Turn turn;
  while (segment->Next(&turn)) {
    std::vector<Action> actions;
    dispatcher.Handle(turn.now, turn.events, &actions);
    Compare(turn.actions, actions, changes);
    turn.actions = std::move(actions);
    writer.Add(turn);
  }
  if (!segment->ending())
    throw Unreadable(segment->name() + ": not rewritten: " +
                     (segment->damage().empty() ? "it was cut off" : segment->damage()));
  return writer.Finish(segment->ending()->reason);
}

}  // namespace pearreach::capture
