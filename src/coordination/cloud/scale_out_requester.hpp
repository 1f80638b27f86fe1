// Scale-out: requests machines from the cloud so that each request takes effect exactly once.
#pragma once

#include <map>
#include <set>
#include <string>

#include "coordination/cloud/capacity_backoff.hpp"
#include "coordination/cloud/machine_registry.hpp"
#include "coordination/cloud/machine_releaser.hpp"
#include "coordination/cloud/unregistered_machines.hpp"

namespace walkford {

// Sends scale-out requests and registers the machines that the cloud grants. A request is durable
// in the registry before it is sent. It is repeated under the same name, also by later leaders,
// until its outcome is known. Owned by CloudManager.
class ScaleOutRequester {
  public:
    // All references must outlive it.
    ScaleOutRequester(LeaderContext& context, MachineRegistry& registry,
                      const MachineReleaser& releaser, CapacityBackoff& backoff,
                      UnregisteredMachines& unregistered);

    // Schedules a retry of the requests whose outcome an earlier leader did not learn.
    void resume(Ms now);
    // Whether the registry is initialized, the group is not backed off, and no request for the
    // group is open.
    bool can_request(const MachineGroupKey& group, Ms now) const;
    // Requests `count` machines, but at most 50. Returns false if `count` is 0, the group can't be
    // requested now, or the registry has no space left. `reason` is logged.
    bool request(Ms now, const MachineGroupKey& group, std::uint32_t count, bool permanent,
                 const std::string& reason);
    // Repeats the requests whose retry is due.
    void retry_due(Ms now);
    // Whether any request is waiting for its retry. The cloud may have granted it machines that are
    // not registered yet.
    bool retries_pending() const { return !retry_at_by_request_.empty(); }

  private:
    void send(const std::string& request_name);
    void on_response(Ms now, const std::string& request_name, const CloudResponse& response);
    void on_granted(Ms now, const ScaleOutRequest& request, const CloudResponse& response);
    void on_no_capacity(Ms now, const ScaleOutRequest& request);
    void on_malformed(Ms now, const ScaleOutRequest& request);
    void register_machine(Ms now, const ScaleOutRequest& request, const std::string& machine);
    void back_off(Ms now, const MachineGroupKey& group);

    LeaderContext& context_;
    MachineRegistry& registry_;
    const MachineReleaser& releaser_;
    CapacityBackoff& backoff_;
    UnregisteredMachines& unregistered_;
    std::set<std::string> open_calls_;  // names of requests that were sent but not answered
    std::map<std::string, Ms> retry_at_by_request_;
};

}  // namespace walkford
