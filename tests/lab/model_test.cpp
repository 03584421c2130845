// The model of a worker against tables made by hand and against the theory of queues.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>

#include "lab/model/worker.h"
#include "lab/stats/stats.h"

namespace pearreach::lab {
namespace {

constexpr Micros kS = 1'000'000;
using Offered = WorkerModel::Offered;
using What = WorkerModel::Happened::What;

// Jobs and when they started or were done, as text: "s1@0 d1@1000".
std::string Tell(WorkerModel* w, Micros until) {
  std::vector<WorkerModel::Happened> out;
  w->Run(until, &out);
  std::string text;
  for (const auto& h : out)
    text += std::string(text.empty() ? "" : " ") + (h.what == What::kStarted ? "s" : "d") +
            std::to_string(h.job) + "@" + std::to_string(h.at);
  return text;
}

// Speed rises evenly from half: 0.5 x + x^2/32 = 1 s of work after x = 1.797959 s; eight seconds of
// work take the eight of the cold (6 s of it) and two more.
TEST(WorkerModel, WarmsUpAsTheTableSays) {
  WorkerModel w({.cold_share = 0.5, .cold_time = 8 * kS});
  w.Die();
  EXPECT_EQ(w.Offer(kS, 1, 1, kS), Offered::kDown);
  w.Start(10 * kS);
  EXPECT_DOUBLE_EQ(w.Warmth(10 * kS), 0.5);
  EXPECT_DOUBLE_EQ(w.Warmth(14 * kS), 0.75);
  EXPECT_DOUBLE_EQ(w.Warmth(18 * kS), 1);
  EXPECT_EQ(w.DoneAt(10 * kS, kS), 10 * kS + 1'797'959);
  EXPECT_EQ(w.DoneAt(10 * kS, 8 * kS), 20 * kS);
  EXPECT_EQ(w.DoneAt(30 * kS, kS), 31 * kS);
}

// Half warm with four slots it can do 2 s of work a second; 2.5 times that is 5 s.
TEST(WorkerModel, FallsWhenPushedWhileCold) {
  WorkerModel w({.slots = 4, .room = 100, .cold_share = 0.5, .cold_time = 1000 * kS});
  w.Die();
  w.Start(kS);
  for (WorkerModel::JobId job = 1; job <= 5; ++job)
    ASSERT_EQ(w.Offer(kS, job, 1, kS), Offered::kTaken) << job;
  WorkerModel other = w;
  EXPECT_EQ(w.Offer(kS + kS / 2, 6, 1, kS), Offered::kFell);
  EXPECT_EQ(w.Die(), (std::vector<WorkerModel::JobId>{1, 2, 3, 4, 5}));
  EXPECT_EQ(other.Offer(2 * kS, 6, 1, kS), Offered::kTaken) << "the window has passed";
  WorkerModel warm({.slots = 4, .room = 100});
  for (WorkerModel::JobId job = 1; job <= 50; ++job)
    ASSERT_EQ(warm.Offer(kS, job, 1, kS), Offered::kTaken) << "a warm one only queues";
}

TEST(WorkerModel, FillsItsSlotsInTheOrderItHas) {
  for (const auto order : {WorkerSpec::Order::kBackfill, WorkerSpec::Order::kInOrder}) {
    WorkerModel w({.slots = 4, .room = 2, .order = order});
    EXPECT_EQ(w.Offer(0, 1, 3, 1000), Offered::kTaken);
    EXPECT_EQ(w.Offer(0, 2, 3, 1000), Offered::kTaken);
    EXPECT_EQ(w.Offer(0, 3, 1, 500), Offered::kTaken);
    const bool fills = order == WorkerSpec::Order::kBackfill;
    EXPECT_EQ(Tell(&w, 2000), fills ? "s1@0 s3@0 d3@500 d1@1000 s2@1000 d2@2000"
                                    : "s1@0 d1@1000 s2@1000 s3@1000 d3@1500 d2@2000");
    EXPECT_EQ(w.Offer(3000, 4, 5, 1), Offered::kFull) << "more slots than it has";
    EXPECT_EQ(w.Offer(3000, 5, 4, 1000), Offered::kTaken);
    EXPECT_EQ(w.Offer(3000, 6, 1, 1000), Offered::kTaken);
    EXPECT_EQ(w.Offer(3000, 7, 1, 1000), Offered::kTaken);
    EXPECT_EQ(w.Offer(3000, 8, 1, 1000), Offered::kFull) << "its room is taken";
    EXPECT_TRUE(w.Cancel(3100, 5));
    EXPECT_FALSE(w.Cancel(3100, 5));
    EXPECT_EQ(Tell(&w, 9000), "s6@3100 s7@3100 d6@4100 d7@4100");
  }
}

// The mean wait of M/M/c: Erlang's C over the free rate.
TEST(WorkerModel, WaitsAsErlangSays) {
  for (const auto& [servers, load] : {std::pair{1, 0.7}, std::pair{4, 0.8}, std::pair{16, 0.9}}) {
    WorkerModel w({.slots = static_cast<double>(servers),
                   .room = 1 << 30,
                   .order = WorkerSpec::Order::kInOrder});
    Chance chance(static_cast<std::uint64_t>(servers) * 11);
    constexpr double kWork = 10'000;
    const double rate = servers * load / kWork;
    constexpr int kJobs = 3'000'000;
    std::vector<float> arrived;
    arrived.reserve(kJobs);
    std::vector<Micros> came;
    came.reserve(kJobs);
    double clock = 0, waited = 0;
    std::uint64_t started = 0;
    std::vector<WorkerModel::Happened> out;
    for (int i = 0; i < kJobs; ++i) {
      clock += chance.Exponential() / rate;
      const Micros now = static_cast<Micros>(clock);
      out.clear();
      w.Run(now, &out);
      came.push_back(now);
      w.Offer(now, static_cast<std::uint64_t>(i), 1,
              std::max<Micros>(1, static_cast<Micros>(chance.Exponential() * kWork)));
      w.Run(now, &out);
      for (const auto& h : out)
        if (h.what == What::kStarted) {
          waited += static_cast<double>(h.at - came[h.job]);
          ++started;
        }
    }
    double term = 1, sum = 1;  // of a^k / k!
    const double a = servers * load;
    for (int k = 1; k < servers; ++k) sum += term *= a / k;
    term *= a / servers;
    const double waits = term / (1 - load) / (sum + term / (1 - load));
    const double theory = waits * kWork / (servers * (1 - load));
    EXPECT_NEAR(waited / static_cast<double>(started) / theory, 1, 0.03)
        << servers << " servers at " << load;
  }
}

// Whatever comes: no more slots run than there are, each job starts and ends once at most.
TEST(WorkerModel, NeverRunsMoreThanItHas) {
  EXPECT_TRUE(rc::check([] {
    WorkerModel w(
        {.slots = static_cast<double>(*rc::gen::inRange(1, 9)),
         .room = *rc::gen::inRange(0, 6),
         .order = *rc::gen::element(WorkerSpec::Order::kBackfill, WorkerSpec::Order::kInOrder),
         .cold_time = 50'000});
    std::map<WorkerModel::JobId, int> seen;
    Micros now = 0;
    WorkerModel::JobId job = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      now += step;
      std::vector<WorkerModel::Happened> out;
      w.Run(now, &out);
      if (step % 7 == 0) w.Cancel(now, job);
      if (step % 50 == 49) {
        w.Die();
        w.Start(now);
      }
      w.Offer(now, ++job, 1 + step % 3, 100 + step * 7);
      for (const auto& h : out) {
        const int mark = h.what == What::kStarted ? 1 : 2;
        RC_ASSERT((seen[h.job] & mark) == 0);
        RC_ASSERT(mark == 1 || seen[h.job] == 1);
        seen[h.job] |= mark;
      }
      RC_ASSERT(w.busy() <= w.spec().slots);
      RC_ASSERT(w.free_slots() >= 0);
      RC_ASSERT(static_cast<int>(w.waiting()) <= w.spec().room);
    }
  }));
}

TEST(TimeHistogram, QuantilesAreWithinItsStep) {
  TimeHistogram all, a, b;
  for (int i = 1; i <= 10000; ++i) {
    all.Add(i * 100);
    (i % 2 == 0 ? a : b).Add(i * 100);
  }
  a.Merge(b);
  for (const double q : {0.01, 0.5, 0.9, 0.99, 0.999, 1.0}) {
    EXPECT_NEAR(all.Quantile(q) / (q * 1e6), 1, 0.01) << q;
    EXPECT_DOUBLE_EQ(a.Quantile(q), all.Quantile(q)) << "merged is as counted at once";
  }
  EXPECT_EQ(TimeHistogram().Quantile(0.5), 0);
}

TEST(MeanOf, IsStudentsInterval) {
  const Interval i = MeanOf({1, 2, 3, 4, 5});
  EXPECT_DOUBLE_EQ(i.mean, 3);
  EXPECT_NEAR(i.half, 2.776445 * std::sqrt(2.5 / 5), 1e-5);
  EXPECT_EQ(MeanOf({7}).half, 0);
}

}  // namespace
}  // namespace pearreach::lab
