// Places gangs: all members at once or none. Also replaces members that are lost before their gang
// has started.
#pragma once

#include "coordination/leader/leader_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/placement/gang_reservation.hpp"
#include "coordination/placement/placement_round.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// The part of the placer that handles gangs. Used only within a placement round.
class GangPlacement {
  public:
    // The references must outlive this object.
    GangPlacement(LeaderContext& context, TaskLifecycle& lifecycle,
                  const ZoneFailoverManager& zone_failover, GangReservation& reservation,
                  PlacementRound& round);

    // Places all members of the gang with a new attempt. Returns false, with no member assigned, if
    // the gang can't be placed now.
    bool place(Ms now, Id job);
    // Places members that were lost before their gang started, under the attempt of the members
    // that wait for them. Restarts the gang if this takes longer than
    // TaskLifecycle::kReplacementTimeout.
    void replace_members(Ms now, Id job);

  private:
    bool may_start_attempt(const Job& job) const;
    // The zones with slots for the whole gang (kNone for a gang that may span zones). The zone of
    // the best machine for a single task comes first.
    std::vector<Id> zones_with_slots(Id job);
    // Counts the slots for members in the zone (kNone: in all zones), and stops at the gang's size.
    std::uint32_t count_slots(Id job, Id zone);
    // Places all members in the zone (kNone: in any zones), or none.
    bool place_in_zone(Ms now, Id job, Id zone, std::uint32_t attempt);
    // The highest attempt number that any member has used.
    std::uint32_t latest_attempt(Id job) const;
    // The attempt of the members that are assigned to machines and wait for the others.
    std::uint32_t waiting_attempt(Id job) const;

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    const ZoneFailoverManager& zone_failover_;
    GangReservation& reservation_;
    PlacementRound& round_;
};

}  // namespace walkford
