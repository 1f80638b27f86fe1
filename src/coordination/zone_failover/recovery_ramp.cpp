#include "coordination/zone_failover/recovery_ramp.hpp"

#include <algorithm>
#include <cmath>

namespace walkford {

RecoveryRamp::RecoveryRamp(const ZoneFailoverSettings& settings, std::uint32_t failed_ramps)
    : settings_(&settings), failed_ramps_(failed_ramps) {}

namespace {
constexpr std::uint32_t kMaxHalvings = 4;
}

double RecoveryRamp::first_share() const {
    return std::ldexp(settings_->ramp_first_share,
                      -static_cast<int>(std::min(failed_ramps_, kMaxHalvings)));
}

double RecoveryRamp::share(Ms elapsed) const {
    double progress = static_cast<double>(elapsed) / 1000.0 / settings_->ramp_s;
    double first = first_share();
    return first + (1 - first) * std::clamp(progress, 0.0, 1.0);
}

}  // namespace walkford
