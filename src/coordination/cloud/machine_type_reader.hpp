// Periodically reads the machine types that the cloud offers.
#pragma once

#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Keeps the machine types in the controller context and in the cluster state up to date, and writes
// them to the store once. Owned by CloudManager.
class MachineTypeReader {
  public:
    // The context must outlive it.
    explicit MachineTypeReader(LeaderContext& context) : context_(context) {}

    // Requests the list when that is due. Only one call is open at a time.
    void tick(Ms now);

  private:
    void on_response(Ms now, const CloudResponse& response);
    void adopt(const CloudResponse& response);
    void store(const std::vector<MachineType>& machine_types);

    LeaderContext& context_;
    bool call_open_ = false;
    Ms next_read_at_ = 0;
};

}  // namespace walkford
