// Helpers for the log lines of zone failover.
#pragma once

#include <string>

#include "bookkeeping/types.hpp"

namespace walkford {

// A span in seconds.
inline double to_seconds(Ms span) { return static_cast<double>(span) / 1000.0; }

// The name of a job class; "-" for jobs without one.
inline std::string job_class_name(const Names& names, Id job_class) {
    return job_class == kNone ? "-" : names.job_classes.name(job_class);
}

}  // namespace walkford
