// What can be requested from the cloud now, the best first: by price for what is short.
#pragma once

#include <vector>

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/scaling/trial_packing.hpp"
#include "coordination/scaling/utilization.hpp"

namespace walkford {

// A machine type in a zone, on demand or spot, that can be requested now.
struct ScaleOutCandidate {
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    double cores = 0;
    double cost = 0;  // price per unit of what is short
};

// Lists candidates for the scaler; made for one decision, as the cloud's refusals change.
class ScaleOutCandidates {
  public:
    // The references must outlive this.
    ScaleOutCandidates(Ms now, const LeaderContext& context, const FleetMeasurement& fleet,
                       const CloudManager& cloud);

    // Candidates that offer the resource and can hold a task of some unplaced demand.
    std::vector<ScaleOutCandidate> for_resource(Resource resource,
                                                const std::vector<PendingDemand>& unplaced) const;
    // Candidates that can hold a task of the job.
    std::vector<ScaleOutCandidate> for_job(const JobSpec& spec) const;

  private:
    // `units_of(machine_type, zone, spot)`: how much of what is short such a machine offers.
    template <typename UnitsOf>
    std::vector<ScaleOutCandidate> list(const UnitsOf& units_of) const;
    // Sorts by cost (or cores, by the setting `order`).
    void sort(std::vector<ScaleOutCandidate>& candidates) const;
    std::uint32_t registered_machines(const ScaleOutCandidate& candidate) const;

    Ms now_;
    const LeaderContext& context_;
    const FleetMeasurement& fleet_;
    const CloudManager& cloud_;
};

}  // namespace walkford
