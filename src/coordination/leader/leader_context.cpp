#include "coordination/leader/leader_context.hpp"

#include <algorithm>

namespace walkford {

LeaderContext::LeaderContext(ControllerContext& owner, std::uint64_t token, Ms now)
    : controller(owner),
      cluster(owner.names, owner.platform_settings.teams),
      fencing_token(token),
      elected_at(now) {}

bool LeaderContext::depose_if_superseded(Ms now, const StoreResponse& response) const {
    bool other_leads = std::find(response.failed.begin(), response.failed.end(), keys::kLeader) !=
                       response.failed.end();
    if (other_leads) {
        depose(now, "a conditional write failed because another controller holds the leader key");
    }
    return other_leads;
}

bool LeaderContext::relayed(const Machine& machine) const {
    return machine.zone != kNone &&
           controller.replica.relayed(controller.names.zones.name(machine.zone));
}

}  // namespace walkford
