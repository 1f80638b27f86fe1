// Zone loss scenarios, and queries on the history of their runs. Shared by the tests and the
// measurement program.
#pragma once

#include "coordination/zone_failover/zone_record.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

inline constexpr Ms kLossAt = 40000;
inline constexpr Ms kLossDuration = 60000;

// Returns settings with zone failover enabled.
ZoneFailoverSettings failover_enabled();

// Two zones with little capacity, and three job classes that differ only in their failover order.
// They are submitted in reverse order; then zone a is lost.
Options evacuation(std::uint64_t seed);

// More jobs than the surviving zone can hold wait while zone a returns with new machines.
Options cold_return(std::uint64_t seed);

// Returns, by job class, when each job that ran in the zone at its loss was next ordered to start.
std::map<std::string, std::vector<Ms>> restart_times_by_class(const World& world, Ms lost_at,
                                                              const std::string& zone);

// Returns the sequence of distinct states in the zone's record.
std::vector<ZoneState> zone_states(const World& world, const std::string& zone);

// Returns when the zone's record first had the state at or after `from`; kNever if it did not.
Ms first_time_in_state(const World& world, const std::string& zone, ZoneState state, Ms from);

// Returns the most concurrent image fetches while zone a returned: in the zone, and on one machine.
std::pair<int, int> max_concurrent_fetches(const World& world);

}  // namespace walkford::standin
