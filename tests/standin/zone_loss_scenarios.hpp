// Days on which a zone of the simulated world is lost, and what their history tells. Tests and the
// measurement share them.
#pragma once

#include "coordination/zone_failover/zone_record.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

inline constexpr Ms kLossAt = 40000;
inline constexpr Ms kLossDuration = 60000;

ZoneFailoverSettings failover_enabled();

// Two zones with little room, three classes alike but for their place in the order, submitted with
// the last of them first; then zone a is lost.
Options evacuation(std::uint64_t seed);

// More work than the surviving zone holds waits for one that comes back with new machines.
Options cold_return(std::uint64_t seed);

// When each job that ran in the zone at its loss was first started again: by class.
std::map<std::string, std::vector<Ms>> restart_times_by_class(const World& world, Ms lost_at,
                                                              const std::string& zone);

// The states of the zone's record, one after the other.
std::vector<ZoneState> zone_states(const World& world, const std::string& zone);

// When the zone's record first named the state from then on; kNever: it did not.
Ms first_time_in_state(const World& world, const std::string& zone, ZoneState state, Ms from);

// The most images fetched at once in zone a while it returned, in the zone and on a machine.
std::pair<int, int> max_concurrent_fetches(const World& world);

}  // namespace walkford::standin
