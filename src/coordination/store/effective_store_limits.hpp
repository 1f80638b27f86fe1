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
    EffectiveStoreLimits(const StoreLimits& current, const std::optional<StoreLimits>& next)
        : current_(current), next_(next.value_or(current)) {}

    std::size_t value_bytes() const {
        return static_cast<std::size_t>(std::min(current_.value_kb, next_.value_kb) * 1024.0);
    }
    // What a value may hold until the later limits are in force.
    std::size_t current_value_bytes() const {
        return static_cast<std::size_t>(current_.value_kb * 1024.0);
    }
    std::uint32_t transaction_operations() const {
        return std::min(current_.transaction_operations, next_.transaction_operations);
    }
    double writes_per_s() const {
        return lowered_ ? std::min(current_.writes_per_s, next_.writes_per_s)
                        : current_.writes_per_s;
    }

    // A write was refused for the rate. True if this shows that the later limits are in force.
    bool refused(Ms now) {
        if (lowered_ || next_.writes_per_s >= current_.writes_per_s) {
            return false;
        }
        refusals_.push_back(now);
        while (refusals_.front() + kWindow < now) {
            refusals_.pop_front();
        }
        lowered_ = refusals_.size() >= kRefusalsToConfirm;
        return lowered_;
    }

  private:
    static constexpr std::size_t kRefusalsToConfirm = 3;
    static constexpr Ms kWindow = 10000;

    StoreLimits current_;
    StoreLimits next_;
    std::deque<Ms> refusals_;
    bool lowered_ = false;
};

}  // namespace walkford
