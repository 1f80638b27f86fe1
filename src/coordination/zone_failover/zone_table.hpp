// What the leader knows of each zone: its health, the evidence, and the durable record.
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
    // A zone that is up, with no evidence yet. The settings must outlive it.
    explicit ZoneStatus(const ZoneFailoverSettings& settings) : health(settings) {}

    std::string name;
    ZoneHealth health;
    ZoneEvidence evidence;
    // What stands in the state service; only that is acted on.
    ZoneRecord durable;
    Ms durable_since = 0;  // when the durable state began
    Ms failing_since = 0;  // when the zone last ceased to be healthy
};

// The zones of the platform's settings, by their ids. Owned by ZoneFailoverManager and shared by
// its parts. Questions about a zone that the settings do not name are answered as for one that is
// up.
class ZoneTable {
  public:
    // Zone ids are those that `names` holds; a zone that is named twice has one id.
    ZoneTable(const std::vector<std::string>& zone_names, const Names& names,
              const ZoneFailoverSettings& settings);

    // Number of zones; ids are below it.
    std::size_t size() const { return zones_.size(); }
    // The status of a zone; the id must be below size().
    ZoneStatus& operator[](Id zone) { return zones_[zone]; }
    // Likewise, for those who only read it.
    const ZoneStatus& operator[](Id zone) const { return zones_[zone]; }

    // The state that is acted on.
    ZoneState durable_state(Id zone) const;
    // Durably lost: machines there that send no heartbeats are no capacity.
    bool lost(Id zone) const { return durable_state(zone) == ZoneState::lost; }
    // Not durably lost or returning. Suspicion alone restricts nothing.
    bool unrestricted(Id zone) const;
    // Under suspicion, or durably lost.
    bool failing(Id zone) const;
    // Used as any zone: unrestricted, or no zone is up, so that a restriction would stop all work.
    bool open(Id zone) const { return unrestricted(zone) || !any_up(); }
    // How many zones are durably up.
    std::uint32_t count_up() const;
    // Some zone is durably up.
    bool any_up() const { return count_up() > 0; }

  private:
    std::vector<ZoneStatus> zones_;
};

}  // namespace walkford
