// Formatting helpers for the log messages of zone failover.
#pragma once

#include <string>

#include "bookkeeping/types.hpp"

namespace walkford {

// Converts a time span from milliseconds to seconds.
inline double to_seconds(Ms span) { return static_cast<double>(span) / 1000.0; }

// Returns the name of a job class, or "-" for jobs without a class.
inline std::string job_class_name(const Names& names, Id job_class) {
    return job_class == kNone ? "-" : names.job_classes.name(job_class);
}

}  // namespace walkford
