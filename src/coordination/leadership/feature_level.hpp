// Which stored forms may be written while controllers of two versions serve side by side.
//
// Every controller announces the feature level of its version durably, in a record of its own.
// The cluster's level is the lowest of all configured controllers; one that has announced nothing
// runs version 0.3.0 or older, level 0. A controller never goes back to an earlier version, so the
// level only rises, and a controller that is down does not hold it back once it has announced.
// Forms above the cluster's level are read, but not written.
#pragma once

#include "coordination/context/controller_context.hpp"

namespace walkford {

// Owned by the Controller.
class FeatureLevel {
  public:
    // The context must outlive it.
    explicit FeatureLevel(ControllerContext& context) : context_(context) {}

    // Announces this controller's level until its record shows it. Only with a loaded replica.
    void tick(Ms now);
    // To be called when announcements may have changed in the replica: raises the cluster's level
    // in the ControllerContext to the lowest that is announced.
    void replica_changed();

  private:
    // 0: that controller has announced nothing.
    std::uint32_t announced_by(const std::string& controller) const;

    ControllerContext& context_;
    bool writing_ = false;
    Ms retry_at_ = 0;
};

}  // namespace walkford
