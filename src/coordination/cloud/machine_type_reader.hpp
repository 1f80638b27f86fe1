// Reads the machine types that the cloud offers.
#pragma once

#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Keeps the machine types of the controller and of the cluster state up to date, and stores them
// once. Owned by CloudManager.
class MachineTypeReader {
  public:
    // The context must outlive it.
    explicit MachineTypeReader(LeaderContext& context) : context_(context) {}

    // Asks the cloud when that is due; one call at a time.
    void tick(Ms now);

  private:
    void on_response(Ms now, const CloudResponse& response);
    void store(const std::vector<MachineType>& machine_types);

    LeaderContext& context_;
    bool call_open_ = false;
    Ms next_read_at_ = 0;
};

}  // namespace walkford
