// Log lines about what a controller received or loaded and can't read.
#pragma once

#include <string_view>

namespace walkford {

// Logs a warning that a field of one entry can't be read, so that an operator sees what was left
// out. For each source and problem at most one line is written in ten seconds; it states how many
// were suppressed since the line before.
//
// `source`: where the entry comes from, such as "machine list of the cloud". `entry`: its name, or
// its position if the name can't be read. `problem`: what is wrong with which field, such as "bad
// heldS".
void log_unreadable(std::string_view source, std::string_view entry, std::string_view problem);

// Forgets which lines were written, so that the next one of every kind is. For tests.
void reset_unreadable_log();

}  // namespace walkford
