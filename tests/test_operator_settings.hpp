// The default operator settings of tests. Scaling is slower than by default and heartbeat responses
// are not held, so that the steps of a test do not affect one another.
#pragma once

#include "coordination/settings/operator_settings.hpp"

namespace walkford {

inline OperatorSettings test_operator_settings() {
    OperatorSettings operator_settings;
    operator_settings.mark_low = 0.30;
    operator_settings.mark_high = 0.85;
    operator_settings.scale_out_interval_s = 4;
    operator_settings.scale_in_interval_s = 2;
    operator_settings.unplaceable_after_s = 0.5;
    operator_settings.response_hold_s = 0;
    operator_settings.idle_response_hold_s = 0;
    return operator_settings;
}

}  // namespace walkford
