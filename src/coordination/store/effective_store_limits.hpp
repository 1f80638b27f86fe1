// Which limits of the state service to obey: those in the settings, or those that will replace them
// at a moment nobody announces.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "bookkeeping/types.hpp"
#include "coordination/settings/store_limits.hpp"

namespace walkford {

// Sizes obey the smaller of both from the start: what is small enough for the later limits is valid
// under the earlier ones too. The rate falls to the later one once refusals show that it is in
// force. One refusal shows nothing, since other controllers share the allowance; several within a
// few seconds from a controller that keeps to its share do. It never rises again.
class EffectiveStoreLimits {
  public:
    // Without `next` the current limits stay in force for good.
    EffectiveStoreLimits(const StoreLimits& current, const std::optional<StoreLimits>& next)
        : current_(current), next_(next.value_or(current)) {}

    // The largest value to be written, in bytes.
    std::size_t value_bytes() const {
        return kilobytes(std::min(current_.value_kb, next_.value_kb));
    }
    // The largest value that is admitted until the later limits are in force, in bytes.
    std::size_t current_value_bytes() const { return kilobytes(current_.value_kb); }
    // The most operations in one transaction.
    std::uint32_t transaction_operations() const {
        return std::min(current_.transaction_operations, next_.transaction_operations);
    }
    // The writes a second that all controllers together may make.
    double writes_per_s() const {
        return lowered_ ? std::min(current_.writes_per_s, next_.writes_per_s)
                        : current_.writes_per_s;
    }

    // Records that a write was refused for the rate. True if this shows that the later limits are
    // in force.
    bool record_rate_limit(Ms now) {
        if (lowered_ || next_.writes_per_s >= current_.writes_per_s) {
            return false;
        }
        refused_at_.push_back(now);
        while (refused_at_.front() + kWindow < now) {
            refused_at_.pop_front();
        }
        lowered_ = refused_at_.size() >= kRefusalsToConfirm;
        return lowered_;
    }

  private:
    static constexpr std::size_t kRefusalsToConfirm = 3;
    static constexpr Ms kWindow = 10000;

    static std::size_t kilobytes(double count) { return static_cast<std::size_t>(count * 1024.0); }

    StoreLimits current_;
    StoreLimits next_;
    std::deque<Ms> refused_at_;
    bool lowered_ = false;
};

}  // namespace walkford
