// The request limits that the store imposes on its clients.
#pragma once

#include <cstdint>

namespace walkford {

// Limits of the store, shared by all controllers. The settings can name two sets; the class
// EffectiveStoreLimits tells which of them applies.
struct StoreLimits {
    double requests_per_s = 100;
    double writes_per_s = 20;
    double value_kb = 4;                       // largest value, in units of 1024 bytes
    std::uint32_t transaction_operations = 8;  // maximum number of operations in one transaction
};

}  // namespace walkford
