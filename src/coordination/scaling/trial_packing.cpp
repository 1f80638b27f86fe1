#include "coordination/scaling/trial_packing.hpp"

#include <algorithm>

namespace walkford {

namespace {
constexpr std::size_t kMaxExaminedBins = 400000;  // work limit of one packing
constexpr std::size_t kMaxUnplacedJobs = 16;      // kept for comparison with later jobs
// Full bins are dropped from the open bins once they make up a quarter of them.
constexpr std::size_t kOpenBinsPerFullBin = 4;

std::uint32_t tasks_in_zone(const Job& job, Id zone) {
    auto tasks = job.zones.find(zone);
    return tasks == job.zones.end() ? 0 : tasks->second;
}

// Whether `spec` has the same placement constraints as `other`, and tasks at least as large.
bool at_least_as_hard_to_place(const JobSpec& spec, const JobSpec& other) {
    return other.any_machine_type == spec.any_machine_type &&
           other.machine_types == spec.machine_types && other.zone == spec.zone &&
           other.spot == spec.spot && other.task_resources.cpus <= spec.task_resources.cpus &&
           other.task_resources.gpus <= spec.task_resources.gpus &&
           other.task_resources.ram <= spec.task_resources.ram;
}
}  // namespace

void TrialPacking::begin(const std::vector<Bin>& bins, const std::vector<PendingDemand>& demands) {
    unplaced_jobs_.clear();
    examined_bins_ = 0;
    // Bins too small for every task are left out, so that they aren't examined again for each job;
    // in a full fleet these are most of the bins.
    smallest_task_ = {1e18, 1e18, 1e18};
    for (const PendingDemand& demand : demands) {
        const Resources& each = cluster_.jobs[demand.job].spec.task_resources;
        smallest_task_ = {std::min(smallest_task_.cpus, each.cpus),
                          std::min(smallest_task_.gpus, each.gpus),
                          std::min(smallest_task_.ram, each.ram)};
    }
    open_bins_.clear();
    full_bins_ = 0;
    bins_ = bins;
    for (std::uint32_t i = 0; i < bins_.size(); ++i) {
        bins_[i].used = false;
        if (smallest_task_.fits_in(bins_[i].free)) {
            open_bins_.push_back(i);
        }
    }
}

void TrialPacking::add_bin(const Bin& bin) {
    unplaced_jobs_.clear();
    open_bins_.push_back(static_cast<std::uint32_t>(bins_.size()));
    bins_.push_back(bin);
}

bool TrialPacking::work_limit_reached() const { return examined_bins_ > kMaxExaminedBins; }

std::set<Id> TrialPacking::used_machines() const {
    std::set<Id> machines;
    for (const Bin& bin : bins_) {
        if (bin.used && bin.machine != kNone) {
            machines.insert(bin.machine);
        }
    }
    return machines;
}

// A job whose tasks must share a zone needs all of its slots in one zone; slots in two zones can't
// be combined. For a job that is spread, the slots of all zones add up, each zone contributing no
// more than the job may have there.
void TrialPacking::pack(PendingDemand& demand, PartialFit partial_fit) {
    const Job& job = cluster_.jobs[demand.job];
    const JobSpec& spec = job.spec;
    demand.shortfalls.clear();
    if (!spec.one_zone && !spec.spread) {
        pack_in_any_zone(demand);
        return;
    }
    std::vector<ZoneSlots> zones = zones_by_slots(job, demand.count);
    std::uint32_t available = 0;
    for (const ZoneSlots& zone : zones) {
        available = spec.one_zone ? std::max(available, zone.slots) : available + zone.slots;
    }
    bool take_slots = partial_fit == PartialFit::pack || available >= demand.count;
    if (spec.one_zone) {
        pack_in_one_zone(demand, zones, take_slots);
    } else {
        pack_spread(demand, zones, take_slots);
    }
}

void TrialPacking::pack_in_any_zone(PendingDemand& demand) {
    const JobSpec& spec = cluster_.jobs[demand.job].spec;
    if (!known_not_to_fit(spec)) {
        demand.count = fill_bins(spec, kNone, demand.count);
        if (demand.count > 0 && unplaced_jobs_.size() < kMaxUnplacedJobs) {
            unplaced_jobs_.push_back(demand.job);
        }
    }
    demand.shortfalls = {{kNone, demand.count}};
}

std::vector<TrialPacking::ZoneSlots> TrialPacking::zones_by_slots(const Job& job,
                                                                  std::uint32_t count) {
    const JobSpec& spec = job.spec;
    std::vector<ZoneSlots> zones;
    for (Id zone = 0; zone < cluster_.names.zones.size(); ++zone) {
        std::uint32_t limit = count;
        std::uint32_t present = tasks_in_zone(job, zone);
        if (spec.one_zone && !job.zones.empty() && present == 0) {
            continue;
        }
        if (spec.spread) {
            limit = std::min(
                limit, spec.max_tasks_per_zone() - std::min(present, spec.max_tasks_per_zone()));
        }
        if (limit == 0) {
            continue;
        }
        zones.push_back({count_slots(spec, zone, limit), zone});
    }
    std::stable_sort(zones.begin(), zones.end(), [](const ZoneSlots& left, const ZoneSlots& right) {
        return left.slots > right.slots;
    });
    return zones;
}

void TrialPacking::pack_in_one_zone(PendingDemand& demand, const std::vector<ZoneSlots>& zones,
                                    bool take_slots) {
    for (const ZoneSlots& zone : zones) {
        demand.shortfalls.push_back({zone.zone, demand.count - zone.slots});
    }
    if (take_slots && !zones.empty()) {
        demand.count = fill_bins(cluster_.jobs[demand.job].spec, zones.front().zone, demand.count);
    }
}

void TrialPacking::pack_spread(PendingDemand& demand, const std::vector<ZoneSlots>& zones,
                               bool take_slots) {
    const Job& job = cluster_.jobs[demand.job];
    const JobSpec& spec = job.spec;
    std::uint32_t remaining = demand.count;
    for (const ZoneSlots& zone : zones) {
        std::uint32_t taken = std::min(zone.slots, remaining);
        remaining -= taken;
        if (take_slots) {
            fill_bins(spec, zone.zone, taken);
        }
        std::uint32_t in_zone = tasks_in_zone(job, zone.zone) + taken;
        if (spec.max_tasks_per_zone() > in_zone) {
            demand.shortfalls.push_back({zone.zone, spec.max_tasks_per_zone() - in_zone});
        }
    }
    for (ZoneShortfall& shortfall : demand.shortfalls) {
        shortfall.missing_slots = std::min(shortfall.missing_slots, remaining);
    }
    if (take_slots) {
        demand.count = remaining;
    }
}

bool TrialPacking::known_not_to_fit(const JobSpec& spec) const {
    return std::any_of(unplaced_jobs_.begin(), unplaced_jobs_.end(), [&](Id job) {
        return at_least_as_hard_to_place(spec, cluster_.jobs[job].spec);
    });
}

std::uint32_t TrialPacking::count_slots(const JobSpec& spec, Id zone, std::uint32_t limit) {
    std::uint32_t slots = 0;
    for (std::uint32_t index : open_bins_) {
        ++examined_bins_;
        const Bin& bin = bins_[index];
        if (bin.zone != zone || !spec.task_resources.fits_in(bin.free)) {
            continue;
        }
        slots += ClusterState::slots(spec, bin.machine_type, bin.zone, bin.spot, bin.free);
        if (slots >= limit) {
            return limit;
        }
    }
    return slots;
}

std::uint32_t TrialPacking::fill_bins(const JobSpec& spec, Id zone, std::uint32_t count) {
    for (std::uint32_t index : open_bins_) {
        if (count == 0) {
            break;
        }
        ++examined_bins_;
        Bin& bin = bins_[index];
        if ((zone != kNone && bin.zone != zone) || !spec.task_resources.fits_in(bin.free)) {
            continue;
        }
        std::uint32_t packed = std::min(
            count, ClusterState::slots(spec, bin.machine_type, bin.zone, bin.spot, bin.free));
        if (packed == 0) {
            continue;
        }
        bin.free -= spec.task_resources * packed;
        bin.used = true;
        count -= packed;
        full_bins_ += !smallest_task_.fits_in(bin.free);
    }
    drop_full_bins();
    return count;
}

void TrialPacking::drop_full_bins() {
    if (full_bins_ * kOpenBinsPerFullBin < open_bins_.size()) {
        return;
    }
    std::erase_if(open_bins_, [this](std::uint32_t index) {
        return !smallest_task_.fits_in(bins_[index].free);
    });
    full_bins_ = 0;
}

}  // namespace walkford
