// The leader's status of each zone: its health, the evidence and the durable record.
#pragma once

#include <string>
#include <vector>

#include "bookkeeping/types.hpp"
#include "coordination/settings/zone_failover_settings.hpp"
#include "coordination/zone_failover/zone_evidence.hpp"
#include "coordination/zone_failover/zone_health.hpp"
#include "coordination/zone_failover/zone_record.hpp"

namespace walkford {

// The status of one zone under this leader.
struct ZoneStatus {
    // Starts as up and without evidence. The settings must outlive it.
    explicit ZoneStatus(const ZoneFailoverSettings& settings) : health(settings) {}

    std::string name;
    ZoneHealth health;
    ZoneEvidence evidence;
    // The record that the store holds. Placement and scaling act only on this record.
    ZoneRecord durable;
    Ms durable_since = 0;  // when the durable state began
    Ms failing_since = 0;  // when the zone last stopped being healthy
};

// The zones that the platform settings name, by id. Owned by ZoneFailoverManager and shared by its
// members. A zone that the settings do not name is treated as up.
class ZoneTable {
  public:
    // Uses the zone ids in `names`. A zone that is listed twice has one entry.
    ZoneTable(const std::vector<std::string>& zone_names, const Names& names,
              const ZoneFailoverSettings& settings);

    // The number of zones. Zone ids are below it.
    std::size_t size() const { return zones_.size(); }
    // The status of a zone; the id must be below size().
    ZoneStatus& operator[](Id zone) { return zones_[zone]; }
    // The status of a zone, read-only; the id must be below size().
    const ZoneStatus& operator[](Id zone) const { return zones_[zone]; }

    // The state that placement and scaling act on.
    ZoneState durable_state(Id zone) const;
    // Returns whether the zone is durably lost, so that its machines without heartbeats do not
    // count as capacity.
    bool lost(Id zone) const { return durable_state(zone) == ZoneState::lost; }
    // Returns whether the zone is neither durably lost nor durably returning. A suspect zone is not
    // restricted.
    bool unrestricted(Id zone) const;
    // Returns whether the zone is suspect or durably lost.
    bool failing(Id zone) const;
    // Returns whether the zone may be used without limits: it is unrestricted, or no zone is up and
    // restrictions would stop all work.
    bool open(Id zone) const { return unrestricted(zone) || !any_up(); }
    // The number of zones that are durably up.
    std::uint32_t count_up() const;
    // Returns whether any zone is durably up.
    bool any_up() const { return count_up() > 0; }

  private:
    std::vector<ZoneStatus> zones_;
};

}  // namespace walkford
