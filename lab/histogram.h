// A histogram of fixed size.
#ifndef GATEWAY_LAB_HISTOGRAM_H_
#define GATEWAY_LAB_HISTOGRAM_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace gateway::lab {

// The width of the bins grows by a fixed factor, so every percentile is accurate to one bin, which is 2.2%.
// Not thread-safe.
class Histogram {
 public:
  // Adds a value. Values below 1e-6 count as zero, and values of about 4e3 or more go into the last bin.
  void Add(double value) {
    ++count_;
    sum_ += value;
    ++bins_[BinIndex(value)];
  }

  uint64_t count() const { return count_; }

  // Returns the mean of all values, or 0 if there are none.
  double Mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }

  // Returns the upper edge of the bin at which `share` (0 to 1) of all values is reached, or 0 if there are
  // no values.
  double Percentile(double share) const {
    auto target_count = static_cast<uint64_t>(std::ceil(share * static_cast<double>(count_)));
    uint64_t cumulative_count = 0;
    for (size_t i = 0; i < kBins; ++i) {
      cumulative_count += bins_[i];
      if (cumulative_count >= target_count && cumulative_count > 0) {
        return i == 0 ? 0 : kSmallestValue * std::exp2(static_cast<double>(i) / kBinsPerOctave);
      }
    }
    return 0;
  }

  // Returns the share of the values up to `value`, counting the whole bin that contains `value`, or 1 if
  // there are no values.
  double ShareUpTo(double value) const {
    uint64_t cumulative_count = 0;
    for (size_t i = 0; i <= BinIndex(value); ++i) cumulative_count += bins_[i];
    return count_ == 0 ? 1 : static_cast<double>(cumulative_count) / static_cast<double>(count_);
  }

 private:
  static constexpr double kSmallestValue = 1e-6;
  static constexpr int kBinsPerOctave = 32;
  static constexpr int kOctaves = 32;
  static constexpr size_t kBins = size_t{kOctaves} * kBinsPerOctave;

  static size_t BinIndex(double value) {
    if (!(value >= kSmallestValue)) return 0;
    double position = std::log2(value / kSmallestValue) * kBinsPerOctave;
    return std::min(kBins - 1, static_cast<size_t>(position) + 1);
  }

  std::array<uint32_t, kBins> bins_{};
  uint64_t count_ = 0;
  double sum_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_HISTOGRAM_H_
