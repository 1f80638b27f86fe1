#include "coordination/zone_failover/flap_penalty.hpp"

#include <algorithm>
#include <cmath>

namespace walkford {

void FlapPenalty::restore(Ms now, double value, bool suppressing) {
    value_ = std::clamp(value, 0.0, settings_->flap_max_penalty);
    value_at_ = now;
    suppressing_ = suppressing;
}

void FlapPenalty::add_loss(Ms now) {
    value_ = std::min(value(now) + 1.0, settings_->flap_max_penalty);
    value_at_ = now;
    suppressing_ = suppressing_ || value_ >= settings_->flap_suppress_penalty;
}

double FlapPenalty::value(Ms now) const {
    double half_lives = static_cast<double>(now - value_at_) / 1000.0 / settings_->flap_half_life_s;
    return value_ * std::exp2(-std::max(0.0, half_lives));
}

bool FlapPenalty::suppressing(Ms now) {
    suppressing_ = suppressing_ && value(now) >= settings_->flap_reuse_penalty;
    return suppressing_;
}

}  // namespace walkford
