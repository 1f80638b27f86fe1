// The limits that the state service sets to its clients.
#pragma once

#include <cstdint>

namespace walkford {

// Limits of the state service, for all controllers together. Which of two sets is in force:
// EffectiveStoreLimits.
struct StoreLimits {
    double requests_per_s = 100;
    double writes_per_s = 20;
    double value_kb = 4;                       // the largest value, in units of 1024 bytes
    std::uint32_t transaction_operations = 8;  // the most operations in one transaction
};

}  // namespace walkford
