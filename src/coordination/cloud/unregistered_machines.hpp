// Machines that the cloud lists or that report, but that the registry does not contain.
#pragma once

#include <map>
#include <string>

#include "bookkeeping/types.hpp"

namespace walkford {

// Since when each unregistered machine has been known. Filled by MachineHealthWatch, which releases
// a machine that stays unregistered; owned by CloudManager.
class UnregisteredMachines {
  public:
    // When the machine was first found unregistered: now, if it is new.
    Ms first_seen(const std::string& machine, Ms now) {
        return since_.try_emplace(machine, now).first->second;
    }
    // The machine was registered, or it is gone.
    void forget(const std::string& machine) { since_.erase(machine); }

  private:
    std::map<std::string, Ms> since_;
};

}  // namespace walkford
