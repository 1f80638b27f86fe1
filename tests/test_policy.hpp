// The operators' settings that tests start from: slower to scale than the defaults, and answers
// that are not held, so that each step of a test stands by itself.
#pragma once

#include "coordination/policy.hpp"

namespace walkford {

inline Policy test_policy() {
    Policy policy;
    policy.mark_low = 0.30;
    policy.mark_high = 0.85;
    policy.out_interval_s = 4;
    policy.in_interval_s = 2;
    policy.unplaceable_after_s = 0.5;
    policy.settle_s = 0;
    policy.idle_hold_s = 0;
    return policy;
}

}  // namespace walkford
