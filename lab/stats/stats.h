// What the laboratory counts with: seeded chance that is the same on every machine, histograms of
// times, and intervals of confidence. It owns no file and no clock.
#ifndef PEARREACH_LAB_STATS_STATS_H_
#define PEARREACH_LAB_STATS_STATS_H_

#include <boost/histogram.hpp>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include "pearreach/dispatcher.h"

namespace pearreach::lab {

using dispatch::Micros;

// A seed of its own for part `index` of a run, so that what one part draws moves no other.
inline std::uint64_t SeedOf(std::uint64_t seed, std::uint64_t kind, std::uint64_t index) {
  std::uint64_t x = seed ^ (kind * 0x9e3779b97f4a7c15u) ^ (index * 0xbf58476d1ce4e5b9u);
  for (int i = 0; i < 2; ++i) {
    x += 0x9e3779b97f4a7c15u;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    x ^= x >> 31;
  }
  return x;
}

// Distributions by hand: those of the standard library differ from one to the next.
class Chance {
 public:
  explicit Chance(std::uint64_t seed) : engine_(seed) {}
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }  // [0, 1)
  double Exponential() { return -std::log1p(-Uniform()); }                     // mean 1
  double Normal() { return std::sqrt(2 * Exponential()) * std::cos(6.283185307179586 * Uniform()); }
  // Of mean 1 and shape a > 1: the smaller a, the heavier its tail.
  double Pareto(double a) { return (a - 1) / a * std::pow(1 - Uniform(), -1 / a); }
  std::uint64_t Below(std::uint64_t n) { return n == 0 ? 0 : engine_() % n; }

 private:
  std::mt19937_64 engine_;
};

// Times from 1 us to 10^4 s in steps of 0.5%.
class TimeHistogram {
 public:
  void Add(Micros time, double count = 1) {
    histogram_(boost::histogram::weight(count), static_cast<double>(std::max<Micros>(time, 1)));
    sum_ += count * static_cast<double>(time);
    n_ += count;
    most_ = std::max(most_, time);
  }
  void Merge(const TimeHistogram& o) {
    histogram_ += o.histogram_;
    sum_ += o.sum_;
    n_ += o.n_;
    most_ = std::max(most_, o.most_);
  }
  double count() const { return n_; }
  double Mean() const { return n_ > 0 ? sum_ / n_ : 0; }
  Micros Most() const { return most_; }
  // The time that a part q of all stays within; 0 where there are none.
  double Quantile(double q) const;
  // Upper ends of the bins that hold something, with the part of all up to there.
  std::vector<std::pair<double, double>> Curve() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;
  static constexpr unsigned kBins = 4620;
  Histogram histogram_{std::make_tuple(Axis(kBins, 1.0, 1e10)),
                       boost::histogram::dense_storage<double>()};
  double sum_ = 0, n_ = 0;
  Micros most_ = 0;
};

// The mean of independent figures and the half of its 95% interval (Student's t).
struct Interval {
  double mean = 0, half = 0;
};
Interval MeanOf(const std::vector<double>& values);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_STATS_STATS_H_
