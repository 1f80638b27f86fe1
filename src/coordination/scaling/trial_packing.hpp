// Trial bin packing of the pending demand onto the fleet: finds the tasks that fit on no machine
// that is up, booting or requested. Nothing is assigned; the scaler decides by the result.
#pragma once

#include <set>
#include <vector>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

// What a machine, or one on its way, has free.
struct Bin {
    Resources free;
    Id machine_type = kNone;
    Id zone = kNone;
    Id machine = kNone;  // kNone: requested, not there yet
    bool spot = false;
    bool used = false;  // the trial packing put a task here
};

// How many more slots a zone would have to offer for a job to fit there.
struct ZoneShortfall {
    Id zone = kNone;  // kNone: any zone
    std::uint32_t missing_slots = 0;
};

// Waiting tasks of one job that its team's quota admits.
struct PendingDemand {
    Id job = kNone;
    std::uint32_t count = 0;
    // Set by the packing: the zones that could be enlarged for it, the smallest shortfall first.
    std::vector<ZoneShortfall> shortfalls = {};
};

// Packs pending demand into a copy of the fleet's bins, first fit. Used by the scaler: begin(),
// then pack() for each demand in the order in which jobs are served.
class TrialPacking {
  public:
    // What becomes of a job with tasks that belong together when only a part of it fits.
    enum class PartialFit : std::uint8_t {
        leave_out,  // its tasks take no slots: machines may yet be requested for it
        pack,       // its tasks take the slots that there are
    };

    // The cluster state must outlive this object.
    explicit TrialPacking(const ClusterState& cluster) : cluster_(cluster) {}

    // Starts a new packing on a copy of the bins, for these demands.
    void begin(const std::vector<Bin>& bins, const std::vector<PendingDemand>& demands);
    // Packs as much of the demand as fits. `demand.count` becomes what is left over, and
    // `demand.shortfalls` what would do for that.
    void pack(PendingDemand& demand, PartialFit partial_fit);
    // Adds a bin for a machine that has just been requested.
    void add_bin(const Bin& bin);

    // The work limit of one packing is reached: further demands are not to be tried.
    bool work_limit_reached() const;
    // How many bins were examined since begin(), each time that one was.
    std::size_t examined_bins() const { return examined_bins_; }
    // The machines that tasks were packed onto.
    std::set<Id> used_machines() const;

  private:
    // The slots that a zone offers to one job.
    struct ZoneSlots {
        std::uint32_t slots = 0;
        Id zone = kNone;
    };

    void pack_in_any_zone(PendingDemand& demand);
    void pack_in_one_zone(PendingDemand& demand, const std::vector<ZoneSlots>& zones, bool put);
    void pack_spread(PendingDemand& demand, const std::vector<ZoneSlots>& zones, bool put);
    // The zones that may hold tasks of the job, the one with the most slots first.
    std::vector<ZoneSlots> zones_by_slots(const Job& job, std::uint32_t count);
    // The slots for tasks of the job in the zone; counts no further than `limit`.
    std::uint32_t count_slots(const JobSpec& spec, Id zone, std::uint32_t limit);
    // Packs up to `count` tasks into the bins of the zone (kNone: any); returns what is left over.
    std::uint32_t fill_bins(const JobSpec& spec, Id zone, std::uint32_t count);
    void drop_full_bins();
    // A job like it, or one with smaller tasks, found no slot since bins were last added.
    bool known_not_to_fit(const JobSpec& spec) const;

    const ClusterState& cluster_;
    std::vector<Bin> bins_;
    std::vector<std::uint32_t> open_bins_;  // indices of bins that may still have room
    std::size_t full_bins_ = 0;             // open_bins_ that have become full
    Resources smallest_;                    // of each resource, the least that any task needs
    std::vector<Id> unplaced_jobs_;         // for which no slot is left
    std::size_t examined_bins_ = 0;
};

}  // namespace walkford
