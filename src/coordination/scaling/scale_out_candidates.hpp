// Lists the machines that can be requested from the cloud now, ranked by their price per unit of
// the resource or slots that are short.
#pragma once

#include <vector>

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/scaling/trial_packing.hpp"
#include "coordination/scaling/utilization.hpp"

namespace walkford {

// A machine type in a zone, as an on-demand or a spot instance, that can be requested now.
struct ScaleOutCandidate {
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    double cores = 0;
    double cost = 0;  // price per unit of the missing resource or per missing slot
};

// Lists the candidates for one decision of the scaler. Not reused for the next decision, because a
// refusal by the cloud removes candidates.
class ScaleOutCandidates {
  public:
    // The references must outlive this object.
    ScaleOutCandidates(Ms now, const LeaderContext& context, const FleetMeasurement& fleet,
                       const CloudManager& cloud);

    // Candidates that offer the resource and can run a task of at least one unplaced demand.
    std::vector<ScaleOutCandidate> for_resource(Resource resource,
                                                const std::vector<PendingDemand>& unplaced) const;
    // Candidates that can run at least one task of the job.
    std::vector<ScaleOutCandidate> for_job(const JobSpec& spec) const;

  private:
    // `units_of(machine_type, zone, spot)` returns how many units of the missing resource, or how
    // many of the missing slots, one such machine offers.
    template <typename UnitsOf>
    std::vector<ScaleOutCandidate> list_candidates(const UnitsOf& units_of) const;
    // Sorts by ascending cost, or by descending cores first if the setting `scale.order` says so.
    void sort(std::vector<ScaleOutCandidate>& candidates) const;
    std::uint32_t registered_machines(const ScaleOutCandidate& candidate) const;

    Ms now_;
    const LeaderContext& context_;
    const FleetMeasurement& fleet_;
    const CloudManager& cloud_;
};

}  // namespace walkford
