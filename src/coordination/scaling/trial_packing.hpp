// Trial bin packing of the pending demand onto the fleet: finds the tasks that fit on no machine
// that is up, booting or requested. Assigns no tasks; the scaler uses the result to size the fleet.
#pragma once

#include <set>
#include <vector>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

// The free capacity of a machine that is up, booting or requested.
struct Bin {
    Resources free;
    Id machine_type = kNone;
    Id zone = kNone;
    Id machine = kNone;  // kNone: requested, not granted yet
    bool spot = false;
    bool used = false;  // whether the trial packing placed a task here
};

// The number of slots that a zone lacks for a job to fit there.
struct ZoneShortfall {
    Id zone = kNone;  // kNone: any zone
    std::uint32_t missing_slots = 0;
};

// The waiting tasks of one job that the quota of its team admits.
struct PendingDemand {
    Id job = kNone;
    std::uint32_t count = 0;
    // Set by the packing: the zones where more machines would let the job fit, ordered by their
    // free slots, most first.
    std::vector<ZoneShortfall> shortfalls = {};
};

// Packs pending demand into a copy of the fleet's bins by first fit. Call begin(), then pack() for
// each demand in the order in which jobs are served.
class TrialPacking {
  public:
    // What happens to a job that is bound to one zone or spread over zones if only a part of it
    // fits.
    enum class PartialFit : std::uint8_t {
        skip,  // its tasks take no slots, because machines may still be requested for it
        pack,  // its tasks take the free slots
    };

    // The cluster state must outlive this object.
    explicit TrialPacking(const ClusterState& cluster) : cluster_(cluster) {}

    // Starts a new packing of these demands into a copy of the bins.
    void begin(const std::vector<Bin>& bins, const std::vector<PendingDemand>& demands);
    // Packs as much of the demand as fits and `partial_fit` allows. Sets `demand.count` to the
    // number of tasks left over, and `demand.shortfalls` to the slots that they lack.
    void pack(PendingDemand& demand, PartialFit partial_fit);
    // Adds a bin for a machine that has just been requested.
    void add_bin(const Bin& bin);

    // Whether the work limit of one packing is reached; the caller then packs no further demands.
    bool work_limit_reached() const;
    // The number of bin examinations since begin(); a bin examined twice counts twice.
    std::size_t examined_bins() const { return examined_bins_; }
    // The machines that received tasks in this packing.
    std::set<Id> used_machines() const;

  private:
    // The slots that a zone offers to one job.
    struct ZoneSlots {
        std::uint32_t slots = 0;
        Id zone = kNone;
    };

    void pack_in_any_zone(PendingDemand& demand);
    // The next two always set the shortfalls, and pack the tasks only if `take_slots` is set.
    void pack_in_one_zone(PendingDemand& demand, const std::vector<ZoneSlots>& zones,
                          bool take_slots);
    void pack_spread(PendingDemand& demand, const std::vector<ZoneSlots>& zones, bool take_slots);
    // The zones that may run tasks of the job, the one with the most slots first.
    std::vector<ZoneSlots> zones_by_slots(const Job& job, std::uint32_t count);
    // Counts the free slots for tasks of the job in the zone, up to `limit`.
    std::uint32_t count_slots(const JobSpec& spec, Id zone, std::uint32_t limit);
    // Packs up to `count` tasks into the bins of the zone (kNone: any zone). Returns the number of
    // tasks left over.
    std::uint32_t fill_bins(const JobSpec& spec, Id zone, std::uint32_t count);
    void drop_full_bins();
    // Whether a job with the same constraints and tasks no larger found no slot since the last bin
    // was added.
    bool known_not_to_fit(const JobSpec& spec) const;

    const ClusterState& cluster_;
    std::vector<Bin> bins_;
    std::vector<std::uint32_t> open_bins_;  // indices of bins that may still have room
    std::size_t full_bins_ = 0;             // number of open_bins_ that have become full
    Resources smallest_task_;        // the smallest amount of each resource that a task needs
    std::vector<Id> unplaced_jobs_;  // jobs for which no slot is left
    std::size_t examined_bins_ = 0;
};

}  // namespace walkford
