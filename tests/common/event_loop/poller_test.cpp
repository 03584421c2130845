// The set of descriptors under what handlers do to each other within one turn of the loop.
#include "common/event_loop/poller.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <vector>

namespace pearreach {
namespace {

struct Watcher : Poller::Client {
  void OnReady(std::uint32_t events) override {
    seen.push_back(events);
    if (then) then();
  }
  std::vector<std::uint32_t> seen;
  std::function<void()> then;
};

struct Pipe {
  Pipe() { EXPECT_EQ(pipe(ends), 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  void Fill() { EXPECT_EQ(write(ends[1], "x", 1), 1); }
  void Empty() {
    char byte;
    EXPECT_EQ(read(ends[0], &byte, 1), 1);
  }
  int ends[2] = {-1, -1};
};

// Both are ready in one turn; the first handler ends the second connection, and its number goes to
// a new one at once. What was ready for the old owner must not reach the new: a connection that is
// being made would be taken for one that is up.
TEST(Poller, WhatWasReadyForAnEarlierOwnerIsStale) {
  Poller& poller = Poller::Default();
  Pipe a, b;
  Watcher first, second, heir;
  first.then = [&] {
    a.Empty();
    poller.Remove(b.ends[0]);
    ASSERT_TRUE(poller.Set(b.ends[0], EPOLLOUT, &heir));  // never so: the reading end of a pipe
  };
  ASSERT_TRUE(poller.Set(a.ends[0], EPOLLIN, &first));
  ASSERT_TRUE(poller.Set(b.ends[0], EPOLLIN, &second));
  a.Fill();
  b.Fill();
  while (first.seen.empty()) g_main_context_iteration(nullptr, TRUE);
  for (int i = 0; i < 3; ++i) g_main_context_iteration(nullptr, FALSE);
  EXPECT_EQ(first.seen.size(), 1u);
  EXPECT_TRUE(second.seen.empty());
  EXPECT_TRUE(heir.seen.empty());
  poller.Remove(a.ends[0]);
  poller.Remove(b.ends[0]);
}

// Hundreds that are always ready: each gets its turn, and so does everything else in the loop.
TEST(Poller, ManyReadyOnesShutNobodyOut) {
  Poller& poller = Poller::Default();
  constexpr std::size_t kMany = 400;
  std::vector<Pipe> pipes(kMany);
  std::vector<Watcher> watchers(kMany);
  for (std::size_t i = 0; i < kMany; ++i) {
    pipes[i].Fill();
    ASSERT_TRUE(poller.Set(pipes[i].ends[0], EPOLLIN, &watchers[i]));
  }
  int others = 0;
  const guint other = g_timeout_add(
      0, [](gpointer n) -> gboolean { return ++*static_cast<int*>(n), G_SOURCE_CONTINUE; },
      &others);
  for (int i = 0; i < 4; ++i) g_main_context_iteration(nullptr, TRUE);
  for (const Watcher& w : watchers) EXPECT_GE(w.seen.size(), 1u);
  EXPECT_GE(others, 2);
  g_source_remove(other);
  for (Pipe& p : pipes) poller.Remove(p.ends[0]);
}

// One that wants nothing more hears nothing, but that its peer is gone is always told.
TEST(Poller, ErrorsAndEndsAreToldToAll) {
  Poller& poller = Poller::Default();
  Pipe p;
  Watcher w;
  ASSERT_TRUE(poller.Set(p.ends[0], 0, &w));
  p.Fill();
  g_main_context_iteration(nullptr, FALSE);
  EXPECT_TRUE(w.seen.empty());
  close(p.ends[1]);
  for (int i = 0; i < 100 && w.seen.empty(); ++i) g_main_context_iteration(nullptr, TRUE);
  ASSERT_FALSE(w.seen.empty());
  EXPECT_NE(w.seen[0] & EPOLLHUP, 0u);
  poller.Remove(p.ends[0]);
  p.ends[1] = dup(p.ends[0]);
}

// Found by a trial of processes: a connection that was accepted only to be closed, with a number
// higher than any watched before, ended the process.
TEST(Poller, WhatWasNeverWatchedMayBeRemoved) {
  Poller::Default().Remove(1 << 20);
  Pipe a;
  Watcher watcher;
  ASSERT_TRUE(Poller::Default().Set(a.ends[0], EPOLLIN, &watcher));
  a.Fill();
  while (watcher.seen.empty()) g_main_context_iteration(nullptr, TRUE);
  Poller::Default().Remove(a.ends[0]);
}

}  // namespace
}  // namespace pearreach
