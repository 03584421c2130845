#include "lab/stats/stats.h"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>

namespace pearreach::lab {

double TimeHistogram::Quantile(double q) const {
  if (n_ <= 0) return 0;
  const double wanted = std::clamp(q, 0.0, 1.0) * n_;
  double below = 0;
  for (unsigned i = 0; i < kBins; ++i) {
    const double here = histogram_.at(static_cast<int>(i));
    if (here <= 0) continue;
    if (below + here >= wanted) {
      const auto bin = histogram_.axis(0).bin(static_cast<int>(i));
      const double part = (wanted - below) / here;
      return std::min(bin.lower() * std::pow(bin.upper() / bin.lower(), part),
                      static_cast<double>(most_));
    }
    below += here;
  }
  return static_cast<double>(most_);
}

std::vector<std::pair<double, double>> TimeHistogram::Curve() const {
  std::vector<std::pair<double, double>> curve;
  double below = 0;
  for (unsigned i = 0; i < kBins; ++i) {
    const double here = histogram_.at(static_cast<int>(i));
    if (here <= 0) continue;
    below += here;
    curve.push_back({histogram_.axis(0).bin(static_cast<int>(i)).upper(), below / n_});
  }
  return curve;
}

Interval MeanOf(const std::vector<double>& values) {
  Interval out;
  const double n = static_cast<double>(values.size());
  if (values.empty()) return out;
  for (const double v : values) out.mean += v / n;
  if (values.size() < 2) return out;
  double squares = 0;
  for (const double v : values) squares += (v - out.mean) * (v - out.mean);
  const boost::math::students_t t(n - 1);
  out.half = boost::math::quantile(t, 0.975) * std::sqrt(squares / (n - 1) / n);
  return out;
}

}  // namespace pearreach::lab
