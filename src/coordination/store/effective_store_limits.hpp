// Decides which limits of the store apply: the current ones from the settings, or the announced
// ones that replace them at an unknown time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "bookkeeping/types.hpp"
#include "coordination/settings/store_limits.hpp"

namespace walkford {

// Sizes stay within the smaller of the two limits from the start, because a size that is valid
// under the next limits is valid under the current ones too. The write rate is lowered to the next
// limit once rate-limit responses show that this limit is in force. A single such response proves
// nothing, since the controllers share the limit; several within a few seconds, to a controller
// that stays within its share, are proof. The rate is never raised again.
class EffectiveStoreLimits {
  public:
    // Without `next` the current limits apply permanently.
    EffectiveStoreLimits(const StoreLimits& current, const std::optional<StoreLimits>& next)
        : current_(current), next_(next.value_or(current)) {}

    // The maximum size of a value to write, in bytes.
    std::size_t max_value_bytes() const {
        return kilobytes(std::min(current_.value_kb, next_.value_kb));
    }
    // The maximum size of a value that the store accepts until the next limits are in force, in
    // bytes.
    std::size_t max_current_value_bytes() const { return kilobytes(current_.value_kb); }
    // The maximum number of operations in one transaction.
    std::uint32_t transaction_operations() const {
        return std::min(current_.transaction_operations, next_.transaction_operations);
    }
    // The maximum rate of writes by all controllers together, in writes per second.
    double writes_per_s() const {
        return next_rate_in_force_ ? std::min(current_.writes_per_s, next_.writes_per_s)
                                   : current_.writes_per_s;
    }

    // Records that the store rejected a write because of the rate limit. Returns true if this
    // shows that the next limits are in force.
    bool record_rate_limit(Ms now) {
        if (next_rate_in_force_ || next_.writes_per_s >= current_.writes_per_s) {
            return false;
        }
        rejection_times_.push_back(now);
        while (rejection_times_.front() + kRejectionWindow < now) {
            rejection_times_.pop_front();
        }
        next_rate_in_force_ = rejection_times_.size() >= kRejectionsToConfirm;
        return next_rate_in_force_;
    }

  private:
    static constexpr std::size_t kRejectionsToConfirm = 3;
    static constexpr Ms kRejectionWindow = 10000;

    static std::size_t kilobytes(double count) { return static_cast<std::size_t>(count * 1024.0); }

    StoreLimits current_;
    StoreLimits next_;
    std::deque<Ms> rejection_times_;
    bool next_rate_in_force_ = false;
};

}  // namespace walkford
