// Machines that appear in the cloud's list or send heartbeats but are not in the registry.
#pragma once

#include <map>
#include <string>

#include "bookkeeping/types.hpp"

namespace walkford {

// Records when each unregistered machine was first seen. Filled by MachineHealthWatch, which
// releases a machine that stays unregistered. Owned by CloudManager.
class UnregisteredMachines {
  public:
    // Returns when the machine was first seen unregistered. Records `now` for a new machine.
    Ms first_seen(const std::string& machine, Ms now) {
        return first_seen_at_.try_emplace(machine, now).first->second;
    }
    // Removes a machine that has been registered or is gone.
    void forget(const std::string& machine) { first_seen_at_.erase(machine); }

  private:
    std::map<std::string, Ms> first_seen_at_;
};

}  // namespace walkford
