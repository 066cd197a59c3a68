// A histogram of bounded size whose bins grow by a fixed factor, so that every percentile is within 2.2%.
#ifndef GATEWAY_LAB_HISTOGRAM_H_
#define GATEWAY_LAB_HISTOGRAM_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace gateway::lab {

class Histogram {
 public:
  // Values below 1e-6 count as nought, and such of 4e3 or more as that.
  void Add(double value) {
    ++count_;
    sum_ += value;
    ++bins_[Bin(value)];
  }
  uint64_t count() const { return count_; }
  double Mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
  // The upper edge of the bin that holds the share `p` of all values; 0 where there are none.
  double Percentile(double p) const {
    uint64_t wanted = static_cast<uint64_t>(std::ceil(p * static_cast<double>(count_))), seen = 0;
    for (size_t i = 0; i < kBins; ++i) {
      seen += bins_[i];
      if (seen >= wanted && seen > 0)
        return i == 0 ? 0 : kLeast * std::exp2(static_cast<double>(i) / kPerOctave);
    }
    return 0;
  }
  // Share of values up to `value`, to the width of a bin.
  double ShareUpTo(double value) const {
    uint64_t seen = 0;
    for (size_t i = 0; i <= Bin(value); ++i) seen += bins_[i];
    return count_ == 0 ? 1 : static_cast<double>(seen) / static_cast<double>(count_);
  }

 private:
  static constexpr double kLeast = 1e-6;
  static constexpr int kPerOctave = 32;
  static constexpr size_t kBins = 32 * 32;  // 32 octaves
  static size_t Bin(double value) {
    if (!(value >= kLeast)) return 0;
    double at = std::log2(value / kLeast) * kPerOctave;
    return std::min(kBins - 1, static_cast<size_t>(at) + 1);
  }
  std::array<uint32_t, kBins> bins_{};
  uint64_t count_ = 0;
  double sum_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HISTOGRAM_H_
