#include "coordination/scaling/scale_out_candidates.hpp"

#include <algorithm>
#include <cmath>

namespace walkford {

namespace {
constexpr double kCostTolerance = 1e-9;  // costs that differ by less are equal
}  // namespace

ScaleOutCandidates::ScaleOutCandidates(Ms now, const LeaderContext& context,
                                       const FleetMeasurement& fleet, const CloudManager& cloud)
    : now_(now), context_(context), fleet_(fleet), cloud_(cloud) {}

std::vector<ScaleOutCandidate> ScaleOutCandidates::for_resource(
    Resource resource, const std::vector<PendingDemand>& unplaced) const {
    const ClusterState& cluster = context_.cluster;
    return list_candidates([&](const MachineType& machine_type, Id zone, bool spot) {
        bool runs_unplaced_task =
            std::any_of(unplaced.begin(), unplaced.end(), [&](const PendingDemand& demand) {
                return ClusterState::slots(cluster.jobs[demand.job].spec, machine_type.id, zone,
                                           spot, machine_type.size) > 0;
            });
        return runs_unplaced_task ? machine_type.size.get(resource) : 0.0;
    });
}

std::vector<ScaleOutCandidate> ScaleOutCandidates::for_job(const JobSpec& spec) const {
    return list_candidates([&](const MachineType& machine_type, Id zone, bool spot) {
        return static_cast<double>(
            ClusterState::slots(spec, machine_type.id, zone, spot, machine_type.size));
    });
}

template <typename UnitsOf>
std::vector<ScaleOutCandidate> ScaleOutCandidates::list_candidates(const UnitsOf& units_of) const {
    bool use_spot = context_.controller.operator_settings.spot_preference > 0;
    std::vector<ScaleOutCandidate> candidates;
    for (const MachineType& machine_type : context_.cluster.machine_types()) {
        for (Id zone : machine_type.zones) {
            for (bool spot : {true, false}) {
                if (spot && (!use_spot || machine_type.spot_price <= 0)) {
                    continue;
                }
                double units = units_of(machine_type, zone, spot);
                double price = spot ? machine_type.spot_price : machine_type.price;
                if (units <= 0 || price / units <= 0) {
                    continue;
                }
                if (cloud_.can_request(machine_type.id, zone, spot, now_)) {
                    candidates.push_back(
                        {machine_type.id, zone, spot, machine_type.size.cpus, price / units});
                }
            }
        }
    }
    sort(candidates);
    return candidates;
}

std::uint32_t ScaleOutCandidates::registered_machines(const ScaleOutCandidate& candidate) const {
    auto count = fleet_.registered_machines.find({candidate.machine_type, candidate.zone});
    return count == fleet_.registered_machines.end() ? 0 : count->second;
}

void ScaleOutCandidates::sort(std::vector<ScaleOutCandidate>& candidates) const {
    bool most_cores_first = context_.controller.operator_settings.order == ScaleOrder::cores;
    auto ranks_before = [&](const ScaleOutCandidate& left, const ScaleOutCandidate& right) {
        if (most_cores_first && left.cores != right.cores) {
            return left.cores > right.cores;
        }
        if (std::abs(left.cost - right.cost) > kCostTolerance) {
            return left.cost < right.cost;
        }
        // Prefers the zone with fewer machines of the type, which spreads them: spot reclaims and
        // network partitions usually affect one zone at a time.
        return registered_machines(left) < registered_machines(right);
    };
    std::stable_sort(candidates.begin(), candidates.end(), ranks_before);
}

}  // namespace walkford
