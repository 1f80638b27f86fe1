// Places gangs: all members at once or none, and members lost before their gang began.
#pragma once

#include "coordination/leader/leader_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/placement/gang_reservation.hpp"
#include "coordination/placement/placement_round.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// The placer's part for gangs; used within its rounds.
class GangPlacement {
  public:
    // The references must outlive this.
    GangPlacement(LeaderContext& context, TaskLifecycle& lifecycle,
                  const ZoneFailoverManager& zone_failover, GangReservation& reservation,
                  PlacementRound& round);

    // Places a new attempt of the whole gang; false, with no member assigned, where it can't be
    // now.
    bool place(Ms now, Id job);
    // Places members lost before their gang began, with the attempt of those that wait for them;
    // restarts the gang when that takes too long.
    void replace_members(Ms now, Id job);

  private:
    bool may_start_attempt(const Job& job) const;
    // The zones with slots for the whole gang, the most promising first.
    std::vector<Id> zones_with_slots(Id job);
    // The slots for members in the zone (kNone: any); counts no further than the gang's size.
    std::uint32_t count_slots(Id job, Id zone);
    // Places all members in the zone, or none.
    bool place_in_zone(Ms now, Id job, Id zone, std::uint32_t attempt);
    // The latest attempt that any member has used.
    std::uint32_t latest_attempt(Id job) const;
    // The attempt of the members that wait on their machines.
    std::uint32_t waiting_attempt(Id job) const;

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    const ZoneFailoverManager& zone_failover_;
    GangReservation& reservation_;
    PlacementRound& round_;
};

}  // namespace walkford
